//! A gate that scripts of backends wait at.

use std::sync::{Arc, Condvar, Mutex, PoisonError};

use crate::program::LIMIT;

/// Blocks all waiting threads until it is opened; it stays open from then on. Clones share one state.
#[derive(Clone, Default)]
pub struct Barrier(Arc<(Mutex<bool>, Condvar)>);

impl Barrier {
    /// Opens it and wakes all waiting threads.
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
