//! Idle time of the generator's threads.
//!
//! A thread that starts every request in time can still be the bottleneck: responses wait to be read, connections stay
//! occupied longer, and later requests wait for a connection. All of this would be attributed to the server. A thread
//! that is regularly idle is not the bottleneck.

use crate::Nanos;

/// Length of the window in which idle time is measured: long compared to a burst that the thread works off, short
/// compared to a run.
pub const WINDOW: Nanos = 100_000_000;
/// Minimum idle share of a window. Below it the thread was the bottleneck, or so close to it that queues build up in
/// the generator.
pub const MIN_IDLE_SHARE: f64 = 0.02;

#[derive(Clone, Copy, Debug, Default)]
struct Window {
    idle: Nanos,
    due: u64,
}

/// Idle time and number of due requests of one thread, by window since the start of the run.
#[derive(Clone, Debug, Default)]
pub struct IdleTime {
    windows: Vec<Window>,
}

impl IdleTime {
    fn window(&mut self, index: usize) -> &mut Window {
        if self.windows.len() <= index {
            self.windows.resize(index + 1, Window::default());
        }
        &mut self.windows[index]
    }

    /// Records that a request was due at `at`.
    pub fn record_due(&mut self, at: Nanos) {
        self.window((at / WINDOW) as usize).due += 1;
    }

    /// Records that the thread was idle from `from` to `to`.
    pub fn record_idle(&mut self, from: Nanos, to: Nanos) {
        let mut from = from;
        while from < to {
            let index = from / WINDOW;
            let end = to.min((index + 1) * WINDOW);
            self.window(index as usize).idle += end - from;
            from = end;
        }
    }

    /// Returns the number of requests that were due in windows with too little idle time, for a run that ended at
    /// `ended`.
    #[must_use]
    pub fn saturated_requests(&self, ended: Nanos) -> u64 {
        let due_if_saturated = |(index, window): (usize, &Window)| {
            let start = index as Nanos * WINDOW;
            let span = ended.saturating_sub(start).min(WINDOW);
            let was_idle = window.idle as f64 >= MIN_IDLE_SHARE * span as f64;
            if was_idle { 0 } else { window.due }
        };
        self.windows.iter().enumerate().map(due_if_saturated).sum()
    }
}

#[cfg(test)]
#[path = "../tests/unit/idle_time.rs"]
mod tests;
