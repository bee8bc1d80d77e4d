//! A sink without a thread: lines are written by the thread that logs, the event loop's, where the descriptor takes
//! them at once, and wait within a bound where it does not.
//!
//! What it costs: a line is two system calls on the loop, `poll` and `write`. A reader that stops costs lines and never
//! time. A slow disk as standard error does cost time, since a regular file is always said to be writable and a write to
//! it waits for the disk where the kernel has no room for more dirty pages. It can't be avoided without a thread; it is
//! held within a share of the loop's time instead ([`SLOW_WRITE_PAUSE_FACTOR`]): after a write that took long, lines only wait for
//! [`SLOW_WRITE_PAUSE_FACTOR`] times as long as it took.

use std::collections::VecDeque;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, TryLockError};
use std::time::{Duration, Instant};

use tokio::sync::Notify;
use tokio::task::yield_now;
use tokio::time::sleep;

use super::output::Output;
use super::sink::{MAX_QUEUED_LINES, Sink};

/// Most lines that are written in one go: some 0.1 ms of the loop's time.
const MAX_LINES_PER_TURN: usize = 32;
/// A write that takes longer was slow: to a pipe or into memory it takes some microseconds.
const SLOW_WRITE: Duration = Duration::from_millis(1);
/// Pause after a slow write, as a multiple of what it took: the log takes a twentieth of the loop's time at most.
const SLOW_WRITE_PAUSE_FACTOR: u32 = 20;
/// Longest such pause.
const MAX_SLOW_WRITE_PAUSE: Duration = Duration::from_secs(10);
/// First pause until a descriptor that did not take a line is asked again, and the longest.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(10);
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(250);

/// The sink; see the module.
pub struct LoopSink {
    queue: Mutex<Queue>,
    /// Wakes [`LoopSink::write_queued`].
    waits: Notify,
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
        Arc::new(Self { queue: Mutex::new(queue), waits: Notify::new() })
    }

    /// Writes what could not be written at the time of its event, for as long as the loop runs. It wakes only while a
    /// line waits.
    pub async fn write_queued(self: Arc<Self>) {
        loop {
            self.waits.notified().await;
            let mut pause = MIN_RETRY_PAUSE;
            loop {
                // The lock is not held over a pause.
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

    /// The same as [`Sink::flush`] after one more line, from a panic hook: where the panic comes out of this sink, it
    /// does nothing.
    pub fn write_and_flush(&self, lines: &[String], limit: Duration) {
        let mut queue = match self.queue.try_lock() {
            Ok(queue) => queue,
            Err(TryLockError::Poisoned(poisoned)) => poisoned.into_inner(),
            Err(TryLockError::WouldBlock) => return,
        };
        lines.iter().for_each(|line| queue.take(line));
        queue.flush(limit);
    }

    /// How things stand after a turn, and whether a line was written in it: a reader that reads slowly is no stopped one.
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
            self.waits.notify_one();
        }
    }

    fn dropped(&self) -> usize {
        self.queue().dropped
    }

    fn flush(&self, limit: Duration) {
        self.queue().flush(limit);
    }
}

/// How things stand after some lines were written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Nothing waits.
    Empty,
    /// LineLayer wait, and the descriptor may take more.
    More,
    /// LineLayer wait, and the descriptor takes none now.
    NotReady,
    /// LineLayer wait until a slow write has been made up for, in so long.
    Paused(Duration),
}

/// LineLayer that wait, and where they go. At most [`MAX_QUEUED_LINES`] lines.
struct Queue {
    output: Box<dyn Output>,
    lines: VecDeque<Box<str>>,
    /// Bytes of the first line that were taken already, where a write was cut short. The rest of it comes next, so that
    /// whoever reads sees whole lines.
    written_of_first: usize,
    dropped: usize,
    paused_until: Option<Instant>,
}

impl Queue {
    /// Puts a line behind those that wait, or drops it, and writes what the descriptor takes.
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

    /// Writes as many lines as the descriptor takes without a wait, and as belong into one turn of the loop.
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

    /// Writes what is left of the first line, in one write. `false` where the descriptor takes nothing now.
    fn write_first(&mut self) -> bool {
        let Some(first) = self.lines.front() else { return true };
        match self.output.write(&first.as_bytes()[self.written_of_first..]) {
            // The mode is another process's to choose: it may be a non-blocking one.
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return false,
            // Nobody reads any more, or the disk is full: it is the same for all that wait, one by one.
            Err(_) => {
                self.dropped += 1;
                self.forget_first();
            }
            Ok(taken) => {
                self.written_of_first += taken;
                if self.written_of_first >= first.len() {
                    self.forget_first();
                }
            }
        }
        true
    }

    fn forget_first(&mut self) {
        self.lines.pop_front();
        self.written_of_first = 0;
    }

    /// Writes all, and waits for the descriptor where it has to, for so long in sum.
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
