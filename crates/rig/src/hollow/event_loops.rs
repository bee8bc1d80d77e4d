//! The threads that hollow nodes run on, each with a runtime of one thread, as the node has it.

use std::io;
use std::sync::Arc;
use std::thread::{self, JoinHandle};

use tokio::runtime::{Builder, Handle};
use tokio::sync::Notify;

struct EventLoop {
    handle: Handle,
    end: Arc<Notify>,
    thread: Option<JoinHandle<()>>,
}

/// Some loops. When they are dropped, all that runs on them ends.
pub(super) struct EventLoops(Vec<EventLoop>);

impl EventLoops {
    /// Starts so many.
    pub fn start(count: usize) -> io::Result<Self> {
        (0..count).map(|_| EventLoop::start()).collect::<io::Result<_>>().map(Self)
    }

    /// The one that the node of a number runs on.
    pub fn of(&self, number: usize) -> &Handle {
        &self.0[number % self.0.len()].handle
    }
}

impl EventLoop {
    fn start() -> io::Result<Self> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let (handle, end) = (runtime.handle().clone(), Arc::new(Notify::new()));
        let ended = end.clone();
        let thread = thread::Builder::new().spawn(move || runtime.block_on(ended.notified()))?;
        Ok(Self { handle, end, thread: Some(thread) })
    }
}

impl Drop for EventLoop {
    fn drop(&mut self) {
        self.end.notify_one();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
