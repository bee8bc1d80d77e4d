//! How an attempt travels: one implementation for each protocol that servers speak.

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
    /// For the module.
    pub outcome: AttemptOutcome,
    /// The whole answer, where it may be passed on: with [`AttemptOutcome::Success`] it is the final one, with
    /// [`AttemptOutcome::Error`] it is what the client gets if nothing better comes.
    pub response: Option<UpstreamResponse>,
    /// The address refused the connection: no process listens there.
    pub connection_refused: bool,
    /// How long the server took, where that is not the time of the attempt: to the first bytes of an answer that passes
    /// through, or from the last byte of a request that did.
    pub server_time: Option<Duration>,
    /// How long it took to get a connection; nothing where one was kept.
    pub connect_time: Duration,
    /// How long a kept connection had been idle before.
    pub idle_time: Option<Duration>,
    /// There was no place for another connection.
    pub connection_limit_reached: bool,
}

impl AttemptResult {
    /// Without an answer.
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
}

/// Takes an answer that passes through, once its start is there: it is final.
pub type ResponseStarted = Box<dyn FnOnce(UpstreamResponse)>;

/// An attempt under way.
pub type AttemptFuture = Pin<Box<dyn Future<Output = AttemptResult>>>;

/// Makes servers of addresses.
pub trait Transport {
    /// The life of one server process: a restart, another address or its end needs another one.
    fn connector(&self, dial: &Address) -> Rc<dyn EndpointConnector>;

    /// Closes what has been idle for too long. Called about once a second.
    fn sweep(&self);
}

/// The times of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptDeadlines {
    /// It ends then, if it has not before.
    pub deadline: Instant,
    /// What is not written by then must not be: the attempt repeats one that may have run.
    pub start_before: Instant,
}

impl AttemptDeadlines {
    /// How long an attempt has that sets out now; nothing where it must not.
    #[must_use]
    pub fn time_left(&self, now: Instant) -> Duration {
        if now < self.start_before { self.deadline.saturating_duration_since(now) } else { Duration::ZERO }
    }
}

/// The life of one server process.
pub trait EndpointConnector {
    /// Its address.
    fn address(&self) -> &Address;

    /// Whether requests may be written to it.
    fn is_usable(&self) -> bool;

    /// Nothing new is written to it from now on: it drains, is gone or has restarted. Attempts still without a
    /// connection will find it so.
    fn retire(&self);

    /// Closes its idle connections.
    fn close_idle(&self);

    /// One attempt, until its deadline or a word on `cancel`. It is never sent a second time from here. Once `begin` has
    /// been called, neither counts any more, and the attempt ends when the server's part is done.
    fn attempt(
        self: Rc<Self>,
        call: Rc<UpstreamRequest>,
        times: AttemptDeadlines,
        cancel: oneshot::Receiver<()>,
        begin: ResponseStarted,
    ) -> AttemptFuture;
}
