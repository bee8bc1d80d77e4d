//! Tasks that live no longer than their owner.

use tokio::task::JoinHandle;

/// A task that is aborted when its owner is dropped.
#[derive(Debug)]
pub(crate) struct AbortOnDrop(JoinHandle<()>);

impl AbortOnDrop {
    pub fn new(task: JoinHandle<()>) -> Self {
        Self(task)
    }
}

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
