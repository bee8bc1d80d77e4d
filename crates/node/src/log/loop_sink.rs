//! A sink without a thread: the thread that logs, the event loop's, writes lines that the descriptor takes at once, and
//! queues a bounded number of others.
//!
//! A line costs the loop two system calls, `poll` and `write`. A reader that stops costs lines but no time. A slow disk as
//! standard error costs time: `poll` reports a regular file as always writable, and a write to it blocks while the kernel
//! has no room for dirty pages. That time is bounded to a fraction of the loop's: after a slow write, lines are only queued
//! for [`SLOW_WRITE_PAUSE_FACTOR`] times as long as it took.

use std::collections::VecDeque;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, TryLockError};
use std::time::{Duration, Instant};

use tokio::sync::Notify;
use tokio::task::yield_now;
use tokio::time::sleep;

use super::output::Output;
use super::sink::{MAX_QUEUED_LINES, Sink};

/// Lines that are written in one turn of the event loop, some 0.1 ms.
const MAX_LINES_PER_TURN: usize = 32;
/// A longer write counts as slow; to a pipe or memory it takes some microseconds.
const SLOW_WRITE: Duration = Duration::from_millis(1);
/// Pause after a slow write as a multiple of its duration: the log takes 1/20 of the loop's time at most.
const SLOW_WRITE_PAUSE_FACTOR: u32 = 20;
/// Longest pause after a slow write.
const MAX_SLOW_WRITE_PAUSE: Duration = Duration::from_secs(10);
/// First pause after the descriptor took no line; it doubles ...
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(10);
/// ... up to this.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(250);

/// The sink; see the module's documentation.
pub struct LoopSink {
    queue: Mutex<Queue>,
    /// Wakes [`LoopSink::write_queued`].
    line_queued: Notify,
}

impl LoopSink {
    /// A sink that writes to `output`.
    pub fn new(output: impl Output + 'static) -> Arc<Self> {
        let queue = Queue {
            output: Box::new(output),
            lines: VecDeque::new(),
            written_of_first: 0,
            dropped: 0,
            paused_until: None,
        };
        Arc::new(Self { queue: Mutex::new(queue), line_queued: Notify::new() })
    }

    /// Writes queued lines, for as long as the event loop runs. It wakes only while lines are queued.
    pub async fn write_queued(self: Arc<Self>) {
        loop {
            self.line_queued.notified().await;
            let mut pause = MIN_RETRY_PAUSE;
            loop {
                // The lock is released before a pause.
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
                    State::Paused(left) => sleep(left).await,
                }
            }
        }
    }

    /// Writes and flushes lines from a panic hook. It does nothing where the panic came out of this sink, which still
    /// holds the lock.
    pub fn write_and_flush(&self, lines: &[String], limit: Duration) {
        let mut queue = match self.queue.try_lock() {
            Ok(queue) => queue,
            Err(TryLockError::Poisoned(poisoned)) => poisoned.into_inner(),
            Err(TryLockError::WouldBlock) => return,
        };
        lines.iter().for_each(|line| queue.take(line));
        queue.flush(limit);
    }

    /// Writes some lines; returns the state after it and whether any line was written, as a slow reader still reads.
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
        queue.take(line);
        if !queue.lines.is_empty() {
            self.line_queued.notify_one();
        }
    }

    fn dropped(&self) -> usize {
        self.queue().dropped
    }

    fn flush(&self, limit: Duration) {
        self.queue().flush(limit);
    }
}

/// State of the queue after some lines were written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// No lines are queued.
    Empty,
    /// Lines are queued, and the descriptor may take more.
    More,
    /// Lines are queued, and the descriptor takes none now.
    NotReady,
    /// Lines are queued for this long, after a slow write.
    Paused(Duration),
}

/// At most [`MAX_QUEUED_LINES`] lines, and where they go.
struct Queue {
    output: Box<dyn Output>,
    lines: VecDeque<Box<str>>,
    /// Bytes of the first line that a partial write took. The rest of it comes next, so that readers see whole lines.
    written_of_first: usize,
    dropped: usize,
    paused_until: Option<Instant>,
}

impl Queue {
    /// Queues a line, or drops it if the queue is full, and writes what the descriptor takes.
    fn take(&mut self, line: &str) {
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

    /// Writes lines that the descriptor takes without blocking, at most [`MAX_LINES_PER_TURN`].
    fn write_some(&mut self) -> State {
        for _ in 0..MAX_LINES_PER_TURN {
            if self.lines.is_empty() {
                return State::Empty;
            }
            let now = Instant::now();
            if let Some(left) = self.paused_until.map(|until| until.saturating_duration_since(now))
                && !left.is_zero()
            {
                return State::Paused(left);
            }
            if !self.output.is_ready(Duration::ZERO) || !self.write_first() {
                return State::NotReady;
            }
            let took = now.elapsed();
            self.paused_until = (took > SLOW_WRITE)
                .then(|| now + took + (took * SLOW_WRITE_PAUSE_FACTOR).min(MAX_SLOW_WRITE_PAUSE));
        }
        if self.lines.is_empty() { State::Empty } else { State::More }
    }

    /// Writes the rest of the first line in one write; `false` if the descriptor takes nothing now.
    fn write_first(&mut self) -> bool {
        let Some(first) = self.lines.front() else { return true };
        match self.output.write(&first.as_bytes()[self.written_of_first..]) {
            // Another process may have made the descriptor non-blocking.
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return false,
            // The reader is gone or the disk is full: this line is dropped, and the next ones as they are tried.
            Err(_) => {
                self.dropped += 1;
                self.remove_first();
            }
            Ok(taken) => {
                self.written_of_first += taken;
                if self.written_of_first >= first.len() {
                    self.remove_first();
                }
            }
        }
        true
    }

    fn remove_first(&mut self) {
        self.lines.pop_front();
        self.written_of_first = 0;
    }

    /// Writes all queued lines, blocking on the descriptor for `limit` in sum.
    fn flush(&mut self, limit: Duration) {
        let start = Instant::now();
        while !self.lines.is_empty() {
            let left = limit.saturating_sub(start.elapsed());
            if left.is_zero() || !self.output.is_ready(left) || !self.write_first() {
                return;
            }
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/loop_sink.rs"]
mod tests;
