//! A barrier that scripts wait at.

use std::sync::{Arc, Condvar, Mutex, PoisonError};

use crate::program::LIMIT;

/// Blocks those who wait at it until it is opened; it stays open from then on. Clones are the same barrier.
#[derive(Clone, Default)]
pub struct Barrier(Arc<(Mutex<bool>, Condvar)>);

impl Barrier {
    /// Opens it and wakes all who wait.
    pub fn open(&self) {
        let (open, opened) = &*self.0;
        *open.lock().unwrap_or_else(PoisonError::into_inner) = true;
        opened.notify_all();
    }

    /// Waits until it is open, for [`LIMIT`] at most.
    pub fn wait(&self) {
        let (open, opened) = &*self.0;
        let guard = open.lock().unwrap_or_else(PoisonError::into_inner);
        drop(opened.wait_timeout_while(guard, LIMIT, |open| !*open));
    }
}
