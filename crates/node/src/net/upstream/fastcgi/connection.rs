//! The handle of a connection to a FastCGI endpoint, which its driver shares with the attempts that use it.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::{Method, StatusCode};
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::time::Instant;

use crate::net::counting_stream::{CountingStream, UnreadState};
use crate::net::memory_budget::Reservation;
use crate::net::response_body::BodyParts;
use crate::net::upstream::transport::AttemptResult;

/// A variable of a request.
pub(super) struct Param {
    pub name: Bytes,
    pub value: Bytes,
}

/// A request to send on a connection.
pub(super) struct FastCgiRequest {
    pub params: Vec<Param>,
    pub body: Bytes,
    pub method: Method,
    /// Maximum size of the response's body, in bytes.
    pub max_body: u64,
    /// Memory reservation for a long response body.
    pub reservation: Reservation,
    /// Receives the result of the attempt; dropped without a result if nothing was written.
    pub result: oneshot::Sender<AttemptResult>,
    /// Set once part of the request may have been written.
    pub is_written: Rc<Cell<bool>>,
}

/// A command for the connection's driver. Requests are identified by numbers.
pub(super) enum ConnectionCommand {
    Send(u64, FastCgiRequest),
    Abort(u64),
    /// Passes the response on from now on, if a successful one has begun. The reply has its start.
    Commit(u64, oneshot::Sender<Option<CommittedResponse>>),
}

/// A response that has begun and is passed on before it is complete.
pub(super) struct CommittedResponse {
    pub status: StatusCode,
    pub headers: HeaderMap,
    /// Length of the body, if stated.
    pub length: Option<u64>,
    /// What has been received of the body.
    pub start: Bytes,
    /// The rest.
    pub rest: BodyParts,
}

/// A connection, shared by its driver and the attempts that use it.
pub(super) struct FastCgiConnection {
    commands: mpsc::UnboundedSender<ConnectionCommand>,
    /// Number of requests that have not ended.
    pub in_flight: Cell<usize>,
    /// Whether the connection accepts no more requests.
    pub closed: Cell<bool>,
    /// When the last request on the connection ended.
    pub idle_since: Cell<Instant>,
    /// Wakes the driver after `closed` was set.
    pub close: Notify,
    next_number: Cell<u64>,
    /// `None` once the driver has ended.
    pub stream: RefCell<Option<CountingStream>>,
}

/// Aborts a request on a connection when dropped, unless the request has ended.
pub(super) struct AbortGuard {
    connection: Rc<FastCgiConnection>,
    number: u64,
    is_armed: bool,
}

impl AbortGuard {
    /// Disarms the guard because the request has ended.
    pub fn disarm(mut self) {
        self.is_armed = false;
    }

    /// Has the response passed on from now on, if a successful one has begun; returns its start.
    pub async fn commit(&self) -> Option<CommittedResponse> {
        let (reply, committed) = oneshot::channel();
        let _ = self.connection.commands.send(ConnectionCommand::Commit(self.number, reply));
        committed.await.ok().flatten()
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

    /// Sends a request. If the driver has ended, the request is dropped together with the sender of its result.
    pub fn send(self: &Rc<Self>, request: FastCgiRequest) -> AbortGuard {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        self.in_flight.set(self.in_flight.get() + 1);
        let _ = self.commands.send(ConnectionCommand::Send(number, request));
        AbortGuard { connection: self.clone(), number, is_armed: true }
    }

    /// Counts a request as ended.
    pub fn end_request(&self) {
        let in_flight = self.in_flight.get().saturating_sub(1);
        self.in_flight.set(in_flight);
        if in_flight == 0 {
            self.idle_since.set(Instant::now());
        }
    }

    /// Whether the connection has no request in flight.
    pub fn is_idle(&self) -> bool {
        self.in_flight.get() == 0
    }

    /// Whether a request may be sent on the connection. Queries the kernel, because the event loop may not have seen
    /// yet that the endpoint has closed the connection.
    pub fn is_open(&self) -> bool {
        let stream = self.stream.borrow();
        !self.closed.get() && stream.as_ref().is_some_and(|stream| stream.unread() != UnreadState::Closed)
    }

    /// Closes the connection after its last request, or immediately if it has none.
    pub fn retire(&self) {
        self.closed.set(true);
        self.close.notify_one();
    }
}
