//! The threads that hollow nodes run on, each with a runtime of one thread, as the node has it.

use std::path::{Path, PathBuf};
use std::sync::{Arc, mpsc};
use std::thread::{self, JoinHandle};
use std::{fs, io};

use tokio::runtime::{Builder, Handle};
use tokio::sync::Notify;

struct EventLoop {
    handle: Handle,
    end: Arc<Notify>,
    /// Where the system tells of its thread.
    thread_folder: PathBuf,
    thread: Option<JoinHandle<()>>,
}

/// Some loops. When they are dropped, all that runs on them ends.
pub(super) struct EventLoops(Vec<EventLoop>);

impl EventLoops {
    /// Starts this many event loops.
    pub fn start(count: usize) -> io::Result<Self> {
        (0..count).map(|_| EventLoop::start()).collect::<io::Result<_>>().map(Self)
    }

    /// Processor time that all of them have used, in seconds; 0 where the system does not tell.
    pub fn cpu_seconds(&self) -> f64 {
        self.0.iter().map(|event_loop| thread_cpu_seconds(&event_loop.thread_folder)).sum()
    }

    /// The one that the node of a number runs on.
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

/// Processor time that a thread has used, by its folder under `/proc`, in seconds.
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
