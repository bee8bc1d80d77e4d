//! The interface that attempts are made through, with one implementation for each protocol that endpoints speak.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use pumicehead_config::model::Address;
use pumicehead_policy::AttemptOutcome;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::net::exchange::{UpstreamRequest, UpstreamResponse};

/// How an attempt ended.
pub struct AttemptResult {
    /// For the decision module.
    pub outcome: AttemptOutcome,
    /// The complete response, where it may be forwarded: the final one with [`AttemptOutcome::Success`], a substitute in
    /// case nothing better comes with [`AttemptOutcome::Error`].
    pub response: Option<UpstreamResponse>,
    /// The address refused the connection: no process listens there.
    pub connection_refused: bool,
    /// How long the endpoint took, where that is not the duration of the attempt: up to the first bytes of a streamed
    /// response, or from the last byte of a streamed request on.
    pub server_time: Option<Duration>,
    /// Time to establish the connection; zero for one that was reused.
    pub connect_time: Duration,
    /// How long a reused connection had been idle.
    pub idle_time: Option<Duration>,
    /// The node has reached its limit of upstream connections.
    pub connection_limit_reached: bool,
}

impl AttemptResult {
    /// A result that has an outcome alone.
    pub fn without_response(outcome: AttemptOutcome) -> Self {
        Self {
            outcome,
            response: None,
            connection_refused: false,
            server_time: None,
            connect_time: Duration::ZERO,
            idle_time: None,
            connection_limit_reached: false,
        }
    }

    /// No connection was established; `refused` where no process listens at the address.
    pub fn connect_failed(refused: bool) -> Self {
        Self { connection_refused: refused, ..Self::without_response(AttemptOutcome::ConnectFailed) }
    }

    /// The node has no descriptor for another connection, which says nothing about the endpoint.
    pub fn connection_limit_reached() -> Self {
        Self { connection_limit_reached: true, ..Self::without_response(AttemptOutcome::NotSent) }
    }
}

/// Takes a response that is streamed, once its first bytes have come: it is the final one.
pub type OnResponseStarted = Box<dyn FnOnce(UpstreamResponse)>;

/// A running attempt.
pub type AttemptFuture = Pin<Box<dyn Future<Output = AttemptResult>>>;

/// Makes connectors for the endpoints of a pool.
pub trait Transport {
    /// Returns a connector for one process of an endpoint: after a restart or at another address it needs a new one.
    fn connector(&self, address: &Address) -> Rc<dyn EndpointConnector>;

    /// Closes connections that have been idle for too long. Called about once a second.
    fn sweep(&self);
}

/// The times of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptDeadlines {
    /// The attempt times out.
    pub deadline: Instant,
    /// A request that is not written by then must not be written: the attempt retries one that may have been executed.
    pub start_before: Instant,
}

impl AttemptDeadlines {
    /// Time left for an attempt that is written now; zero where it must not be.
    #[must_use]
    pub fn time_left(&self, now: Instant) -> Duration {
        if now < self.start_before { self.deadline.saturating_duration_since(now) } else { Duration::ZERO }
    }
}

/// Makes attempts at one process of an endpoint.
pub trait EndpointConnector {
    /// The endpoint's address.
    fn address(&self) -> &Address;

    /// Whether requests may be written.
    fn is_usable(&self) -> bool;

    /// Writes no new request from now on: the endpoint drains, is gone or has restarted. Attempts that are still
    /// connecting end as not sent.
    fn retire(&self);

    /// Closes idle connections.
    fn close_idle(&self);

    /// Makes one attempt, until its deadline or a message on `cancel`; the request is written at most once. Once
    /// `on_started` was called, both are ignored, and the attempt ends when the endpoint has sent the whole response.
    fn attempt(
        self: Rc<Self>,
        request: Rc<UpstreamRequest>,
        deadlines: AttemptDeadlines,
        cancel: oneshot::Receiver<()>,
        on_started: OnResponseStarted,
    ) -> AttemptFuture;
}
