//! Sinks for finished lines. A sink never blocks the logging thread on a reader.

use std::io;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tracing_appender::non_blocking::{ErrorCounter, NonBlocking, NonBlockingBuilder, WorkerGuard};

/// Lines that are queued at most: a burst at a start or in a fault, some 100 KiB at the usual length.
pub const MAX_QUEUED_LINES: usize = 1_000;

/// Writes lines whole and in order, or drops and counts them.
pub trait Sink: Send + Sync {
    /// Takes a line with its line feed.
    fn write(&self, line: &str);

    /// Lines dropped so far.
    fn dropped(&self) -> usize;

    /// Writes queued lines for `limit` at most. Called before the process ends: a sink need not take lines after it.
    fn flush(&self, limit: Duration);
}

/// Writes on a thread of its own, so that not even a slow disk blocks the event loop.
pub struct ThreadSink {
    writer: NonBlocking,
    dropped: ErrorCounter,
    /// Dropping it ends the thread, once that has written the queued lines.
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
        // This is a channel: it takes the line, or drops and counts it.
        let _ = io::Write::write_all(&mut self.writer.clone(), line.as_bytes());
    }

    fn dropped(&self) -> usize {
        self.dropped.dropped_lines()
    }

    /// The limit is the library's own, about a second.
    fn flush(&self, _: Duration) {
        drop(self.guard.lock().unwrap_or_else(PoisonError::into_inner).take());
    }
}
