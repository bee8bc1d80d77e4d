//! Sinks for formatted log lines. A slow reader never blocks the logging thread.

use std::io;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tracing_appender::non_blocking::{ErrorCounter, NonBlocking, NonBlockingBuilder, WorkerGuard};

/// Maximum number of queued lines: enough for a burst at startup or during a failure, about 100 KiB at the usual line
/// length.
pub const MAX_QUEUED_LINES: usize = 1_000;

/// Writes complete lines in order; lines that it can't write are dropped and counted.
pub trait Sink: Send + Sync {
    /// Writes or queues a line, which must end with a line feed.
    fn write(&self, line: &str);

    /// Returns the number of lines dropped so far.
    fn dropped(&self) -> usize;

    /// Writes queued lines for at most `timeout`. Called before the process exits; a sink need not accept lines afterwards.
    fn flush(&self, timeout: Duration);
}

/// Sink that writes on a separate thread, so that not even a slow disk blocks the event loop.
pub struct ThreadSink {
    writer: NonBlocking,
    dropped: ErrorCounter,
    /// Dropping the guard stops the thread after it has written the queued lines.
    guard: Mutex<Option<WorkerGuard>>,
}

impl ThreadSink {
    /// Starts the thread, which writes to `output`.
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
        // The writer is a channel: it queues the line, or drops and counts it.
        let _ = io::Write::write_all(&mut self.writer.clone(), line.as_bytes());
    }

    fn dropped(&self) -> usize {
        self.dropped.dropped_lines()
    }

    /// Ignores the timeout: `tracing-appender` has its own limit of about one second.
    fn flush(&self, _: Duration) {
        drop(self.guard.lock().unwrap_or_else(PoisonError::into_inner).take());
    }
}
