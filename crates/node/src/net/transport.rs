//! How an attempt travels: one implementation for each protocol that servers speak.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use pumicehead_config::model::Address;
use pumicehead_policy::AttemptOutcome;
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::ask::{Call, Served};

/// How an attempt ended.
pub struct End {
    /// For the module.
    pub outcome: AttemptOutcome,
    /// The whole answer, where it may be passed on: with [`AttemptOutcome::Success`] it is the final one, with
    /// [`AttemptOutcome::Error`] it is what the client gets if nothing better comes.
    pub answer: Option<Served>,
    /// The address refused the connection: no process listens there.
    pub refused: bool,
    /// How long the server took, where that is not the time of the attempt: to the first bytes of an answer that passes
    /// through, or from the last byte of a request that did.
    pub took: Option<Duration>,
    /// How long it took to get a connection; nothing where one was kept.
    pub dial: Duration,
    /// How long a kept connection had been idle before.
    pub idle: Option<Duration>,
    /// There was no place for another connection.
    pub short: bool,
}

impl End {
    /// Without an answer.
    pub fn of(outcome: AttemptOutcome) -> Self {
        Self {
            outcome,
            answer: None,
            refused: false,
            took: None,
            dial: Duration::ZERO,
            idle: None,
            short: false,
        }
    }
}

/// Takes an answer that passes through, once its start is there: it is final.
pub type Begin = Box<dyn FnOnce(Served)>;

/// An attempt under way.
pub type Attempt = Pin<Box<dyn Future<Output = End>>>;

/// Makes servers of addresses.
pub trait Transport {
    /// The life of one server process: a restart, another address or its end needs another one.
    fn server(&self, dial: &Address) -> Rc<dyn Server>;

    /// Closes what has been idle for too long. Called about once a second.
    fn sweep(&self);
}

/// The times of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    /// It ends then, if it has not before.
    pub deadline: Instant,
    /// What is not written by then must not be: the attempt repeats one that may have run.
    pub by: Instant,
}

impl Times {
    /// How long an attempt has that sets out now; nothing where it must not.
    #[must_use]
    pub fn left(&self, now: Instant) -> Duration {
        if now < self.by { self.deadline.saturating_duration_since(now) } else { Duration::ZERO }
    }
}

/// The life of one server process.
pub trait Server {
    /// Its address.
    fn dial(&self) -> &Address;

    /// Whether requests may be written to it.
    fn is_usable(&self) -> bool;

    /// Nothing new is written to it from now on: it drains, is gone or has restarted. Attempts still without a
    /// connection will find it so.
    fn retire(&self);

    /// Closes its idle connections.
    fn hang_up(&self);

    /// One attempt, until its deadline or a word on `cancel`. It is never sent a second time from here. Once `begin` has
    /// been called, neither counts any more, and the attempt ends when the server's part is done.
    fn attempt(
        self: Rc<Self>,
        call: Rc<Call>,
        times: Times,
        cancel: oneshot::Receiver<()>,
        begin: Begin,
    ) -> Attempt;
}
