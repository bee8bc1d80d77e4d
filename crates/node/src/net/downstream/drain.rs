//! The orderly end of a listener: at SIGTERM, or when it is gone from the configuration.

use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::time::{Instant, sleep, timeout_at};

use super::DownstreamListener;
use super::accept::ACCEPT_RETRY_DELAY;
use super::connection::MIN_IDLE_BEFORE_EVICTION;

/// Connections still come for up to 0.4 s after SIGTERM; accepting goes on at least for this ...
const MIN_ACCEPT_TIME: Duration = Duration::from_millis(500);
/// ... and until no connection has come for this ...
const ACCEPT_QUIET_TIME: Duration = Duration::from_millis(200);
/// ... but at most for this.
const MAX_ACCEPT_TIME: Duration = Duration::from_millis(1_500);
/// A new connection without a request counts as idle after this.
pub(super) const NEW_CONNECTION_GRACE: Duration = Duration::from_millis(700);
/// Where another process goes on accepting, idle connections are kept for this, to be closed with a response.
const SHARED_IDLE_GRACE: Duration = Duration::from_millis(1_000);
/// After this all idle connections close: the rest of the drain covers the longest deadline.
const CLOSE_ALL_IDLE_AFTER: Duration = Duration::from_millis(2_000);
/// SIGKILL comes 0.7 s after the last deadline: requests fail this long after it ...
const FAIL_MARGIN: Duration = Duration::from_millis(400);
/// ... and the process exits this much later, whatever is open.
const EXIT_MARGIN: Duration = Duration::from_millis(200);
/// Interval at which a drain is checked.
const CHECK_INTERVAL: Duration = ACCEPT_RETRY_DELAY;

/// Why a listener drains.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum DrainReason {
    /// The process is about to exit.
    Process,
    /// The listener is gone from the configuration; others go on.
    Listener,
}

impl DownstreamListener {
    /// Goes on accepting while new connections come, unless another process does, answers with `Connection: close`,
    /// closes what is idle, and returns when all requests that were taken have been answered.
    pub(super) async fn drain(self: Rc<Self>, listener: TcpListener, reason: DrainReason) {
        self.draining.set(true);
        let start = Instant::now();
        let fail_at = start + self.options.get().max_request_deadline + FAIL_MARGIN;
        if self.is_socket_shared.get() {
            // Connections from now on are another process's, those that wait in the socket too.
            drop(listener);
        } else {
            self.accept_remaining(listener, start, fail_at).await;
        }
        while self.connection_count() > 0 {
            let now = Instant::now();
            self.close_idle_while_draining(start, now);
            // A single listener must not fail the requests of others; its own end by their deadlines.
            if now >= fail_at && reason == DrainReason::Process {
                // Requests that are read from now on are rejected: clients use each connection that stays open.
                self.is_exiting.set(true);
                (self.fail_all)();
                self.close_idle(Duration::ZERO, Duration::ZERO);
            }
            // An exit after a request was read, or while its response is written, would lose it.
            if now >= fail_at && !self.has_pending_response() || now >= fail_at + EXIT_MARGIN {
                break;
            }
            sleep(CHECK_INTERVAL).await;
        }
    }

    /// Goes on accepting while new connections come.
    async fn accept_remaining(self: &Rc<Self>, listener: TcpListener, start: Instant, end: Instant) {
        let mut last = start;
        loop {
            self.close_idle(MIN_IDLE_BEFORE_EVICTION, NEW_CONNECTION_GRACE);
            let until =
                (start + MIN_ACCEPT_TIME).max(last + ACCEPT_QUIET_TIME).min(start + MAX_ACCEPT_TIME).min(end);
            let soon = (Instant::now() + CHECK_INTERVAL).min(until);
            match timeout_at(soon, self.accept(&listener)).await {
                Ok(accepted) => {
                    last = Instant::now();
                    self.clone().spawn_connection(accepted);
                }
                Err(_) if soon == until => break,
                Err(_) => {}
            }
        }
    }

    fn close_idle_while_draining(&self, start: Instant, now: Instant) {
        if !self.is_socket_shared.get() {
            self.close_idle(MIN_IDLE_BEFORE_EVICTION, NEW_CONNECTION_GRACE);
        } else if now >= start + SHARED_IDLE_GRACE {
            // A request that meets a close is lost, so connections that have long been silent go first.
            let all = now >= start + CLOSE_ALL_IDLE_AFTER;
            let idle_time = if all { MIN_IDLE_BEFORE_EVICTION } else { SHARED_IDLE_GRACE };
            self.close_idle(idle_time, idle_time);
        }
    }

    /// Whether a request has come that is without its whole response, or one was written just now.
    fn has_pending_response(&self) -> bool {
        let mut has_pending = false;
        self.budget.for_each_of(self, |connection| has_pending |= connection.has_pending_response());
        has_pending
    }

    fn connection_count(&self) -> usize {
        let mut count = 0;
        self.budget.for_each_of(self, |_| count += 1);
        count
    }

    /// Closes connections without a request: `used_idle` after their last response, or `new_idle` after the accept.
    pub(super) fn close_idle(&self, used_idle: Duration, new_idle: Duration) {
        self.budget.for_each_of(self, |connection| {
            let min_idle = if connection.has_served() { used_idle } else { new_idle };
            if connection.is_idle() && connection.last_activity.get().elapsed() > min_idle {
                connection.close_now();
            }
        });
    }
}
