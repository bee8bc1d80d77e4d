//! A log sink without a thread of its own. The event loop thread, which logs, writes each line directly if the descriptor
//! accepts it without blocking, and otherwise queues it; the queue is bounded.
//!
//! A line costs the event loop two system calls, `poll` and `write`. A reader that stops reading causes lines to be dropped
//! but does not block the loop. A slow disk as standard error does block it: `poll` reports a regular file as always
//! writable, and a write to it blocks while the kernel limits dirty pages. To bound the share of the loop's time, lines are
//! only queued after a slow write, for [`SLOW_WRITE_PAUSE_FACTOR`] times its duration.

use std::collections::VecDeque;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, TryLockError};
use std::time::{Duration, Instant};

use tokio::sync::Notify;
use tokio::task::yield_now;
use tokio::time::sleep;

use super::output::Output;
use super::sink::{MAX_QUEUED_LINES, Sink};

/// Maximum number of lines written before the event loop runs other tasks; takes about 0.1 ms.
const MAX_LINES_PER_TURN: usize = 32;
/// Writes that take longer than this count as slow. A write to a pipe or to memory takes a few microseconds.
const SLOW_WRITE: Duration = Duration::from_millis(1);
/// Pause after a slow write as a multiple of its duration, so that writing takes at most 1/20 of the event loop's time, as
/// long as [`MAX_SLOW_WRITE_PAUSE`] does not shorten the pause.
const SLOW_WRITE_PAUSE_FACTOR: u32 = 20;
/// Maximum pause after a slow write.
const MAX_SLOW_WRITE_PAUSE: Duration = Duration::from_secs(10);
/// Initial pause when the descriptor is not ready; doubles on each failed retry.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(10);
/// Maximum pause between retries when the descriptor is not ready.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Log sink of the event loop; see the module documentation.
pub struct LoopSink {
    queue: Mutex<Queue>,
    /// Wakes [`LoopSink::write_queued`].
    line_queued: Notify,
}

impl LoopSink {
    /// Creates a sink that writes to `output`.
    pub fn new(output: impl Output + 'static) -> Arc<Self> {
        let queue = Queue {
            output: Box::new(output),
            lines: VecDeque::new(),
            front_bytes_written: 0,
            dropped: 0,
            paused_until: None,
        };
        Arc::new(Self { queue: Mutex::new(queue), line_queued: Notify::new() })
    }

    /// Writes queued lines until the event loop stops. Wakes up only while lines are queued.
    pub async fn write_queued(self: Arc<Self>) {
        loop {
            self.line_queued.notified().await;
            let mut pause = MIN_RETRY_PAUSE;
            loop {
                // `write_some` releases the lock before the task pauses.
                let (state, has_written) = self.write_some();
                if has_written {
                    pause = MIN_RETRY_PAUSE;
                }
                match state {
                    State::Empty => break,
                    State::More => yield_now().await,
                    State::NotReady => {
                        sleep(pause).await;
                        pause = (pause * 2).min(MAX_RETRY_PAUSE);
                    }
                    State::Paused(remaining) => sleep(remaining).await,
                }
            }
        }
    }

    /// Writes lines and flushes the queue, for use in a panic hook. Does nothing if the lock is held, as it is when the panic
    /// occurred in this sink.
    pub fn write_and_flush(&self, lines: &[String], timeout: Duration) {
        let mut queue = match self.queue.try_lock() {
            Ok(queue) => queue,
            Err(TryLockError::Poisoned(poisoned)) => poisoned.into_inner(),
            Err(TryLockError::WouldBlock) => return,
        };
        lines.iter().for_each(|line| queue.push(line));
        queue.flush(timeout);
    }

    /// Writes some lines. Returns the resulting state, and whether any line was removed from the queue, which shows that a
    /// slow reader is still reading.
    fn write_some(&self) -> (State, bool) {
        let mut queue = self.queue();
        let before = queue.lines.len();
        let state = queue.write_some();
        (state, queue.lines.len() < before)
    }

    fn queue(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Sink for LoopSink {
    fn write(&self, line: &str) {
        let mut queue = self.queue();
        queue.push(line);
        if !queue.lines.is_empty() {
            self.line_queued.notify_one();
        }
    }

    fn dropped(&self) -> usize {
        self.queue().dropped
    }

    fn flush(&self, timeout: Duration) {
        self.queue().flush(timeout);
    }
}

/// State of the queue after an attempt to write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// No lines are queued.
    Empty,
    /// Lines are queued, and the descriptor may accept more.
    More,
    /// Lines are queued, and a write would block.
    NotReady,
    /// Lines are queued, and nothing is written for this long because of a slow write.
    Paused(Duration),
}

/// An output and at most [`MAX_QUEUED_LINES`] lines that wait for it.
struct Queue {
    output: Box<dyn Output>,
    lines: VecDeque<Box<str>>,
    /// Bytes of the front line that a partial write has already written. The rest of it is written next, so that readers see
    /// complete lines.
    front_bytes_written: usize,
    dropped: usize,
    paused_until: Option<Instant>,
}

impl Queue {
    /// Queues a line, or drops it if the queue is full, and writes what the descriptor accepts.
    fn push(&mut self, line: &str) {
        if self.lines.len() >= MAX_QUEUED_LINES {
            self.write_some();
        }
        if self.lines.len() >= MAX_QUEUED_LINES {
            self.dropped += 1;
            return;
        }
        self.lines.push_back(line.into());
        self.write_some();
    }

    /// Writes lines while the descriptor is ready, at most [`MAX_LINES_PER_TURN`].
    fn write_some(&mut self) -> State {
        for _ in 0..MAX_LINES_PER_TURN {
            if self.lines.is_empty() {
                return State::Empty;
            }
            let now = Instant::now();
            if let Some(remaining) = self.paused_until.map(|until| until.saturating_duration_since(now))
                && !remaining.is_zero()
            {
                return State::Paused(remaining);
            }
            if !self.output.is_ready(Duration::ZERO) || !self.write_front() {
                return State::NotReady;
            }
            let elapsed = now.elapsed();
            self.paused_until = (elapsed > SLOW_WRITE)
                .then(|| now + elapsed + (elapsed * SLOW_WRITE_PAUSE_FACTOR).min(MAX_SLOW_WRITE_PAUSE));
        }
        if self.lines.is_empty() { State::Empty } else { State::More }
    }

    /// Writes the rest of the front line with a single write. Returns `false` if the write would block.
    fn write_front(&mut self) -> bool {
        let Some(front) = self.lines.front() else { return true };
        match self.output.write(&front.as_bytes()[self.front_bytes_written..]) {
            // Another process that shares the descriptor may have made it non-blocking.
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return false,
            // The reader has closed the pipe or the disk is full: the line is dropped, and so is each later one that fails.
            Err(_) => {
                self.dropped += 1;
                self.remove_front();
            }
            Ok(written) => {
                self.front_bytes_written += written;
                if self.front_bytes_written >= front.len() {
                    self.remove_front();
                }
            }
        }
        true
    }

    fn remove_front(&mut self) {
        self.lines.pop_front();
        self.front_bytes_written = 0;
    }

    /// Writes all queued lines, waiting for the descriptor for at most `timeout` in total.
    fn flush(&mut self, timeout: Duration) {
        let start = Instant::now();
        while !self.lines.is_empty() {
            let remaining = timeout.saturating_sub(start.elapsed());
            if remaining.is_zero() || !self.output.is_ready(remaining) || !self.write_front() {
                return;
            }
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/loop_sink.rs"]
mod tests;
