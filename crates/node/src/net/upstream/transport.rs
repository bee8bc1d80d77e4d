//! The transport interface for attempts, with one implementation for each protocol of the endpoints.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use pumicehead_config::model::Address;
use pumicehead_policy::AttemptOutcome;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::net::exchange::{UpstreamRequest, UpstreamResponse};

/// The result of an attempt.
pub struct AttemptResult {
    /// Outcome for the decision module.
    pub outcome: AttemptOutcome,
    /// The complete response, if it may be forwarded. With [`AttemptOutcome::Success`] it is the final response; with
    /// [`AttemptOutcome::Error`] it is only used if no attempt succeeds.
    pub response: Option<UpstreamResponse>,
    /// Whether the connection was refused, because no process listens at the address.
    pub connection_refused: bool,
    /// How long the endpoint took, if this differs from the duration of the attempt: measured up to the first bytes
    /// of a streamed response, or from the last byte of a streamed request.
    pub server_time: Option<Duration>,
    /// Time to establish the connection; zero for a reused connection.
    pub connect_time: Duration,
    /// How long a reused connection had been idle.
    pub idle_time: Option<Duration>,
    /// Whether the node had reached its limit of upstream connections.
    pub connection_limit_reached: bool,
}

impl AttemptResult {
    /// Returns a result without a response.
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

    /// Returns the result if no connection was established. `refused` means that no process listens at the address.
    pub fn connect_failed(refused: bool) -> Self {
        Self { connection_refused: refused, ..Self::without_response(AttemptOutcome::ConnectFailed) }
    }

    /// Returns the result if the node has no descriptor for another connection, which says nothing about the
    /// endpoint.
    pub fn connection_limit_reached() -> Self {
        Self { connection_limit_reached: true, ..Self::without_response(AttemptOutcome::NotSent) }
    }
}

/// Called with a streamed response once its first bytes have been received. It is the final response.
pub type OnResponseStarted = Box<dyn FnOnce(UpstreamResponse)>;

/// A running attempt.
pub type AttemptFuture = Pin<Box<dyn Future<Output = AttemptResult>>>;

/// Creates connectors for the endpoints of a pool.
pub trait Transport {
    /// Returns a connector for one process of an endpoint. After a restart or a change of address, the endpoint needs
    /// a new connector.
    fn connector(&self, address: &Address) -> Rc<dyn EndpointConnector>;

    /// Closes connections that have been idle for too long. Called about once a second.
    fn sweep(&self);
}

/// Deadlines of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptDeadlines {
    /// When the attempt times out.
    pub deadline: Instant,
    /// The request must not be written at or after this time, which is set for retries of requests that may have been
    /// executed, because endpoints may forget the earlier attempt.
    pub start_before: Instant,
    /// When the client stops waiting.
    pub request_deadline: Instant,
}

impl AttemptDeadlines {
    /// Whether another attempt may follow when this one times out, for which the decision module ends it early.
    #[must_use]
    pub fn is_replaceable(&self) -> bool {
        self.deadline < self.request_deadline
    }

    /// Returns the time left for an attempt whose request is written now; zero if it must not be written.
    #[must_use]
    pub fn time_left(&self, now: Instant) -> Duration {
        if now < self.start_before { self.deadline.saturating_duration_since(now) } else { Duration::ZERO }
    }
}

/// Makes attempts at one process of an endpoint.
pub trait EndpointConnector {
    /// Returns the address of the endpoint.
    fn address(&self) -> &Address;

    /// Whether requests may be written.
    fn is_usable(&self) -> bool;

    /// Prevents new requests from being written, because the endpoint drains, was removed or has restarted. Attempts
    /// that are still connecting end as not sent.
    fn retire(&self);

    /// Closes idle connections.
    fn close_idle(&self);

    /// Makes one attempt, which ends at the latest at its deadline or with a message on `cancel`. The request is
    /// written at most once. Once `on_started` was called, neither of the two stops the response, the deadline is
    /// ignored, and the attempt ends when the endpoint has sent the whole response.
    fn attempt(
        self: Rc<Self>,
        request: Rc<UpstreamRequest>,
        deadlines: AttemptDeadlines,
        cancel: oneshot::Receiver<()>,
        on_started: OnResponseStarted,
    ) -> AttemptFuture;
}
