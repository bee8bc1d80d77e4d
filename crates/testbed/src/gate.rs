//! A gate that holds scripts back.

use std::sync::{Arc, Condvar, Mutex, PoisonError};

use crate::program::LIMIT;

/// Holds back whoever comes to it until it is opened, from then on nobody.
#[derive(Clone, Default)]
pub struct Gate(Arc<(Mutex<bool>, Condvar)>);

impl Gate {
    /// Lets all go on.
    pub fn open(&self) {
        *self.0.0.lock().unwrap_or_else(PoisonError::into_inner) = true;
        self.0.1.notify_all();
    }

    /// Waits until it is open, for [`LIMIT`] at most.
    pub fn pass(&self) {
        let open = self.0.0.lock().unwrap_or_else(PoisonError::into_inner);
        drop(self.0.1.wait_timeout_while(open, LIMIT, |open| !*open));
    }
}
