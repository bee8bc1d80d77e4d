//! The orderly end of a front: at SIGTERM, or when its listener is gone from the configuration.

use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::time::{Instant, sleep, timeout_at};

use crate::net::downstream::connection::MIN_IDLE_BEFORE_EVICTION;
use crate::net::downstream::{ACCEPT_PAUSE, DownstreamListener};

/// After SIGTERM new connections go on coming for up to 0.4 s: accepting ends after this ...
const ACCEPT_ON: Duration = Duration::from_millis(500);
/// ... or once so long has passed without a new one, but at the latest ...
const ACCEPT_QUIET: Duration = Duration::from_millis(200);
/// ... after this.
const ACCEPT_MOST: Duration = Duration::from_millis(1_500);
/// A new connection that has asked nothing for so long is idle.
pub(super) const FRESH: Duration = Duration::from_millis(700);
/// Where another process goes on accepting, idle connections are left alone for so long: each client asks again
/// within that, and closes with the answer.
const LEFT_ALONE: Duration = Duration::from_millis(1_000);
/// From then on all idle ones close: what was asked before still has the longest deadline to be answered.
const LAST_CALL: Duration = Duration::from_millis(2_000);
/// SIGKILL comes 0.7 s after the last deadline: what is still open so long after it fails ...
const LAST_MARGIN: Duration = Duration::from_millis(400);
/// ... and so much later the process ends, whatever is open.
const LAST_WORDS: Duration = Duration::from_millis(200);

/// Why a front ends.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum DrainReason {
    /// The process does.
    Process,
    /// Its listener is gone from the configuration; others go on.
    Listener,
}

impl DownstreamListener {
    /// Goes on accepting while new connections come, unless another process does, answers with `Connection: close`,
    /// closes what is idle, and returns when all that was taken has been answered.
    pub(super) async fn drain(self: Rc<Self>, listener: TcpListener, ending: DrainReason) {
        self.draining.set(true);
        let start = Instant::now();
        let end = start + self.options.get().max_request_deadline + LAST_MARGIN;
        if self.shared.get() {
            // Who connects from now on is another process's, also those that wait in the socket.
            drop(listener);
        } else {
            self.accept_last(listener, start, end).await;
        }
        while self.open() > 0 {
            let now = Instant::now();
            if !self.shared.get() {
                self.close_idle(MIN_IDLE_BEFORE_EVICTION, FRESH);
            } else if now >= start + LEFT_ALONE {
                // A request that crosses a close was turned back unheard: those that have long said nothing first.
                let quiet = if now >= start + LAST_CALL { MIN_IDLE_BEFORE_EVICTION } else { LEFT_ALONE };
                self.close_idle(quiet, quiet);
            }
            // A front that ends alone has no say over the requests of others; its own end by their deadlines.
            if now >= end && ending == DrainReason::Process {
                // What is read from now on is told so at once: clients send on each connection that stays open.
                self.over.set(true);
                (self.give_up)();
                self.close_idle(Duration::ZERO, Duration::ZERO);
            }
            // An end under a request that has been read, or under its answer, would lose it.
            if now >= end && !self.is_owing() || now >= end + LAST_WORDS {
                break;
            }
            sleep(ACCEPT_PAUSE).await;
        }
    }

    /// Goes on accepting while new connections come.
    async fn accept_last(self: &Rc<Self>, listener: TcpListener, start: Instant, end: Instant) {
        let mut last = start;
        loop {
            self.close_idle(MIN_IDLE_BEFORE_EVICTION, FRESH);
            let until = (start + ACCEPT_ON).max(last + ACCEPT_QUIET).min(start + ACCEPT_MOST).min(end);
            let soon = (Instant::now() + ACCEPT_PAUSE).min(until);
            match timeout_at(soon, self.accept(&listener)).await {
                Ok((stream, peer)) => {
                    last = Instant::now();
                    self.clone().take(stream, peer);
                }
                Err(_) if soon == until => break,
                Err(_) => {}
            }
        }
    }

    /// Whether a request that has come is without its whole answer, or one has just been written.
    fn is_owing(&self) -> bool {
        let mut owing = false;
        self.budget.for_each_of(self, |conn| owing |= conn.owes_response());
        owing
    }

    /// Its connections.
    fn open(&self) -> usize {
        let mut count = 0;
        self.budget.for_each_of(self, |_| count += 1);
        count
    }

    /// Closes connections on which nothing is asked, `rested` after their last answer or `fresh` after they came up.
    pub(super) fn close_idle(&self, rested: Duration, fresh: Duration) {
        self.budget.for_each_of(self, |conn| {
            // The last answer must have arrived by now.
            let rested = if conn.used() { rested } else { fresh };
            if conn.is_idle() && conn.last_activity.get().elapsed() > rested {
                conn.close_now();
            }
        });
    }
}
