//! The threads that hollow nodes run on, each with a current-thread runtime, like the real node's.

use std::path::{Path, PathBuf};
use std::sync::{Arc, mpsc};
use std::thread::{self, JoinHandle};
use std::{fs, io};

use tokio::runtime::{Builder, Handle};
use tokio::sync::Notify;

struct EventLoop {
    handle: Handle,
    end: Arc<Notify>,
    /// Folder of its thread under `/proc`.
    thread_folder: PathBuf,
    thread: Option<JoinHandle<()>>,
}

/// A set of event loops. Dropping it ends all tasks that run on them.
pub(super) struct EventLoops(Vec<EventLoop>);

impl EventLoops {
    pub fn start(count: usize) -> io::Result<Self> {
        (0..count).map(|_| EventLoop::start()).collect::<io::Result<_>>().map(Self)
    }

    /// Processor time of all loops, in seconds; 0 where `/proc` does not have it.
    pub fn cpu_seconds(&self) -> f64 {
        self.0.iter().map(|event_loop| thread_cpu_seconds(&event_loop.thread_folder)).sum()
    }

    /// The runtime of the node with this number; nodes are assigned round-robin.
    pub fn handle(&self, number: usize) -> &Handle {
        &self.0[number % self.0.len()].handle
    }
}

impl EventLoop {
    fn start() -> io::Result<Self> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let (handle, end) = (runtime.handle().clone(), Arc::new(Notify::new()));
        let (ended, (sender, receiver)) = (end.clone(), mpsc::channel());
        let thread = thread::Builder::new().spawn(move || {
            let own = fs::read_link("/proc/thread-self").unwrap_or_default();
            let _ = sender.send(Path::new("/proc").join(own));
            runtime.block_on(ended.notified());
        })?;
        let thread_folder = receiver.recv().map_err(io::Error::other)?;
        Ok(Self { handle, end, thread_folder, thread: Some(thread) })
    }
}

/// Processor time of a thread, given by its folder under `/proc`, in seconds.
pub(super) fn thread_cpu_seconds(folder: &Path) -> f64 {
    let schedule = fs::read_to_string(folder.join("schedstat")).unwrap_or_default();
    schedule.split(' ').next().and_then(|nanos| nanos.parse::<f64>().ok()).unwrap_or_default() / 1e9
}

impl Drop for EventLoop {
    fn drop(&mut self) {
        self.end.notify_one();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
