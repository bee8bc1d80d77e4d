//! Graceful shutdown of a listener, on SIGTERM or when it is removed from the configuration.

use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::time::{Instant, sleep, timeout_at};

use super::DownstreamListener;
use super::accept::ACCEPT_RETRY_DELAY;
use super::connection::MIN_IDLE_BEFORE_EVICTION;

/// Minimum time for which a draining listener continues to accept, because connections still arrive for up to 0.4 s
/// after SIGTERM.
const MIN_ACCEPT_TIME: Duration = Duration::from_millis(500);
/// After the minimum time, a draining listener continues to accept until no connection has arrived for this time.
const ACCEPT_QUIET_TIME: Duration = Duration::from_millis(200);
/// Maximum time for which a draining listener continues to accept.
const MAX_ACCEPT_TIME: Duration = Duration::from_millis(1_500);
/// Time after which a new connection without a request counts as idle.
pub(super) const NEW_CONNECTION_GRACE: Duration = Duration::from_millis(700);
/// If another process continues to accept, idle connections are kept for this long, so that they can be closed
/// together with a response.
const SHARED_IDLE_GRACE: Duration = Duration::from_millis(1_000);
/// Time after which all idle connections are closed. The rest of the drain covers the longest deadline.
const CLOSE_ALL_IDLE_AFTER: Duration = Duration::from_millis(2_000);
/// Time after the last deadline at which requests fail. SIGKILL follows 0.7 s after the last deadline.
const FAIL_MARGIN: Duration = Duration::from_millis(400);
/// Further time after which the process exits, regardless of open connections.
const EXIT_MARGIN: Duration = Duration::from_millis(200);
/// Interval at which the progress of a drain is checked.
const CHECK_INTERVAL: Duration = ACCEPT_RETRY_DELAY;

/// Why a listener drains.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum DrainReason {
    /// The process is about to exit.
    Process,
    /// The listener was removed from the configuration; others continue.
    Listener,
}

impl DownstreamListener {
    /// Continues to accept while new connections arrive, unless another process accepts from the socket; responds
    /// with `Connection: close`; closes idle connections; and returns when all requests that were taken have been
    /// answered, or at the latest [`EXIT_MARGIN`] after the time at which requests fail.
    pub(super) async fn drain(self: Rc<Self>, listener: TcpListener, reason: DrainReason) {
        self.draining.set(true);
        let start = Instant::now();
        let fail_at = start + self.options.get().max_request_deadline + FAIL_MARGIN;
        if self.is_socket_shared.get() {
            // Another process gets all further connections, including those that are waiting in the socket.
            drop(listener);
        } else {
            self.accept_remaining(listener, start, fail_at).await;
        }
        while self.connection_count() > 0 {
            let now = Instant::now();
            self.close_idle_while_draining(start, now);
            // A single listener must not fail the requests of other listeners; its own requests end by their
            // deadlines.
            if now >= fail_at && reason == DrainReason::Process {
                // Requests that are read from now on are rejected, because clients use every connection that stays
                // open.
                self.is_exiting.set(true);
                (self.fail_all)();
                self.close_idle(Duration::ZERO, Duration::ZERO);
            }
            // Exiting after a request was read, or while its response is being written, would lose the request.
            if now >= fail_at && !self.has_pending_response() || now >= fail_at + EXIT_MARGIN {
                break;
            }
            sleep(CHECK_INTERVAL).await;
        }
    }

    /// Continues to accept while new connections arrive.
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
            // A request that is sent while its connection is being closed is lost, so connections that have been idle
            // for long are closed first.
            let all = now >= start + CLOSE_ALL_IDLE_AFTER;
            let idle_time = if all { MIN_IDLE_BEFORE_EVICTION } else { SHARED_IDLE_GRACE };
            self.close_idle(idle_time, idle_time);
        }
    }

    /// Whether a request has been received whose response is not finished, or was only just written.
    fn has_pending_response(&self) -> bool {
        let mut has_pending = false;
        self.budget
            .for_each_connection_of(self, |connection| has_pending |= connection.has_pending_response());
        has_pending
    }

    fn connection_count(&self) -> usize {
        let mut count = 0;
        self.budget.for_each_connection_of(self, |_| count += 1);
        count
    }

    /// Closes connections without a request that have been idle for `used_idle` since their last response, or for
    /// `new_idle` since they were accepted.
    pub(super) fn close_idle(&self, used_idle: Duration, new_idle: Duration) {
        self.budget.for_each_connection_of(self, |connection| {
            let min_idle = if connection.has_served() { used_idle } else { new_idle };
            if connection.is_idle() && connection.last_activity.get().elapsed() > min_idle {
                connection.close_now();
            }
        });
    }
}
