//! A connection to a FastCGI endpoint, as the attempts that use it see it.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use bytes::Bytes;
use hyper::Method;
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::time::Instant;

use crate::net::counting_stream::{CountingStream, UnreadState};
use crate::net::memory_budget::Reservation;
use crate::net::upstream::transport::AttemptResult;

/// A variable of a request.
pub(super) struct Param {
    pub name: Bytes,
    pub value: Bytes,
}

/// A request for a connection.
pub(super) struct FastCgiRequest {
    pub params: Vec<Param>,
    pub body: Bytes,
    pub method: Method,
    /// Greatest number of bytes of the response's body.
    pub max_body: u64,
    /// Memory for a long body.
    pub reservation: Reservation,
    /// Takes the result of the attempt; dropped where nothing was written.
    pub result: oneshot::Sender<AttemptResult>,
    /// Set once part of it may have been written.
    pub is_written: Rc<Cell<bool>>,
}

/// A command for the connection's driver; requests have numbers.
pub(super) enum ConnectionCommand {
    Send(u64, FastCgiRequest),
    Abort(u64),
}

/// A connection, shared by its driver and the attempts that use it.
pub(super) struct FastCgiConnection {
    commands: mpsc::UnboundedSender<ConnectionCommand>,
    /// Number of requests that have not ended.
    pub in_flight: Cell<usize>,
    /// It takes no more requests.
    pub closed: Cell<bool>,
    /// Since when it has had no request.
    pub idle_since: Cell<Instant>,
    /// Wakes the driver after `closed` was set.
    pub close: Notify,
    next_number: Cell<u64>,
    /// `None` once the driver has ended.
    pub stream: RefCell<Option<CountingStream>>,
}

/// A request on a connection. Dropped before its end, the request is aborted.
pub(super) struct AbortGuard {
    connection: Rc<FastCgiConnection>,
    number: u64,
    is_armed: bool,
}

impl AbortGuard {
    /// The request has ended.
    pub fn disarm(mut self) {
        self.is_armed = false;
    }
}

impl Drop for AbortGuard {
    fn drop(&mut self) {
        if self.is_armed {
            let _ = self.connection.commands.send(ConnectionCommand::Abort(self.number));
        }
    }
}

impl FastCgiConnection {
    pub fn new(stream: CountingStream, commands: mpsc::UnboundedSender<ConnectionCommand>) -> Rc<Self> {
        Rc::new(Self {
            commands,
            in_flight: Cell::new(0),
            closed: Cell::new(false),
            idle_since: Cell::new(Instant::now()),
            close: Notify::new(),
            next_number: Cell::new(0),
            stream: RefCell::new(Some(stream)),
        })
    }

    /// Sends a request. Where the driver has ended, the request is dropped, and its result with it.
    pub fn send(self: &Rc<Self>, request: FastCgiRequest) -> AbortGuard {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        self.in_flight.set(self.in_flight.get() + 1);
        let _ = self.commands.send(ConnectionCommand::Send(number, request));
        AbortGuard { connection: self.clone(), number, is_armed: true }
    }

    /// A request has ended.
    pub fn end_request(&self) {
        let in_flight = self.in_flight.get().saturating_sub(1);
        self.in_flight.set(in_flight);
        if in_flight == 0 {
            self.idle_since.set(Instant::now());
        }
    }

    /// Whether it has no request.
    pub fn is_idle(&self) -> bool {
        self.in_flight.get() == 0
    }

    /// Whether a request may be sent on it. The kernel is asked: the event loop may not have seen the endpoint's close.
    pub fn is_open(&self) -> bool {
        let stream = self.stream.borrow();
        !self.closed.get() && stream.as_ref().is_some_and(|stream| stream.unread() != UnreadState::Closed)
    }

    /// Closes it after its last request, at once if it has none.
    pub fn retire(&self) {
        self.closed.set(true);
        self.close.notify_one();
    }
}
