//! How much of its time a thread of the generator had nothing to do.
//!
//! A thread that begins every request in time can still be what is slow: its answers wait to be read, its connections
//! are held that much longer, and those behind them wait for a place. All of that would pass for the server's time.
//! What tells the two apart is whether the thread ever stood idle.

use crate::Nanos;

/// Time over which it is judged: long beside a burst that the thread works off, short beside a run.
pub const WINDOW: Nanos = 100_000_000;
/// Least idle share of a window. Under it the thread was the bottleneck, or so near to one that queues of its own
/// build up.
pub const LEAST_IDLE: f64 = 0.02;

#[derive(Clone, Copy, Debug, Default)]
struct Window {
    idle: Nanos,
    due: u64,
}

/// Idle time and requests of one thread, by window from the start of the run.
#[derive(Clone, Debug, Default)]
pub struct Slack {
    windows: Vec<Window>,
}

impl Slack {
    fn window(&mut self, number: usize) -> &mut Window {
        if self.windows.len() <= number {
            self.windows.resize(number + 1, Window::default());
        }
        &mut self.windows[number]
    }

    /// A request was due at `at`.
    pub fn due(&mut self, at: Nanos) {
        self.window((at / WINDOW) as usize).due += 1;
    }

    /// The thread had nothing to do from `from` to `to`.
    pub fn idle(&mut self, from: Nanos, to: Nanos) {
        let mut from = from;
        while from < to {
            let number = from / WINDOW;
            let end = to.min((number + 1) * WINDOW);
            self.window(number as usize).idle += end - from;
            from = end;
        }
    }

    /// Requests that were due in a window without idle time, of a run that ended at `ended`.
    #[must_use]
    pub fn breathless(&self, ended: Nanos) -> u64 {
        let share = |(number, window): (usize, &Window)| {
            let start = number as Nanos * WINDOW;
            let span = ended.saturating_sub(start).min(WINDOW);
            let had = window.idle as f64 >= LEAST_IDLE * span as f64;
            if had { 0 } else { window.due }
        };
        self.windows.iter().enumerate().map(share).sum()
    }
}

#[cfg(test)]
#[path = "../tests/unit/slack.rs"]
mod tests;
