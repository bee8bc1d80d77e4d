//! Sinks: where lines go once they are put together. A sink never keeps whoever logs waiting for a reader.

use std::io;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tracing_appender::non_blocking::{ErrorCounter, NonBlocking, NonBlockingBuilder, WorkerGuard};

/// Most lines that wait to be written: a burst at a start or in a fault, and some 100 KiB at the most usual length.
pub const MAX_QUEUED_LINES: usize = 1_000;

/// Takes lines and writes them in their order, whole, or drops and counts them.
pub trait Sink: Send + Sync {
    /// Takes a line, which ends in a line feed.
    fn write(&self, line: &str);

    /// LineLayer that were dropped so far.
    fn dropped(&self) -> usize;

    /// Writes what waits, for so long at the most. To be called before the process ends: a sink need not take lines
    /// after it.
    fn flush(&self, limit: Duration);
}

/// Has a thread of its own do the writing: not even a slow disk keeps the loop waiting.
pub struct ThreadSink {
    writer: NonBlocking,
    dropped: ErrorCounter,
    /// Its end is the thread's, after it has written what waits.
    guard: Mutex<Option<WorkerGuard>>,
}

impl ThreadSink {
    /// Starts the thread.
    pub fn new(output: impl io::Write + Send + 'static) -> Self {
        let builder = NonBlockingBuilder::default();
        let builder = builder.lossy(true).buffered_lines_limit(MAX_QUEUED_LINES).thread_name("log");
        let (writer, guard) = builder.finish(output);
        let dropped = writer.error_counter();
        Self { writer, dropped, guard: Mutex::new(Some(guard)) }
    }
}

impl Sink for ThreadSink {
    fn write(&self, line: &str) {
        // A channel's end: it takes the line or drops and counts it.
        let _ = io::Write::write_all(&mut self.writer.clone(), line.as_bytes());
    }

    fn dropped(&self) -> usize {
        self.dropped.dropped_lines()
    }

    /// The library has limits of its own, of about a second.
    fn flush(&self, _: Duration) {
        drop(self.guard.lock().unwrap_or_else(PoisonError::into_inner).take());
    }
}
