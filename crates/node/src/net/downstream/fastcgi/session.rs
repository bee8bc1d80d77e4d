//! The state of a client connection over FastCGI: requests that are being read or answered, and output.

use std::collections::HashMap;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use hyper::Method;
use pumicehead_fastcgi::pairs::Pair;
use pumicehead_fastcgi::server::{BadRequest, Bounds, Event, Server};
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::Instant;

use super::{CHUNK_BYTES, application_output};
use crate::net::admission::RequestError;
use crate::net::downstream::connection::{ConnectionStage, DownstreamConnection};
use crate::net::downstream::{DownstreamListener, response};

/// Greatest number of requests at once on a connection.
const MAX_REQUESTS: usize = 1_000;
/// Greatest size of a request's variables.
const MAX_PARAMS_BYTES: usize = 64 << 10;
/// Greatest number of a request's variables.
const MAX_PARAMS: usize = 512;
/// Bytes of requests that are being read, on one connection.
const MAX_INCOMING_BYTES: usize = 4 << 20;
/// Bytes of responses that wait to be written, on one connection.
const MAX_OUTGOING_BYTES: usize = 4 << 20;

/// A response in the form of an application's output.
pub(super) struct FinishedRequest {
    id: u16,
    serial: u64,
    output: Vec<Bytes>,
}

/// A request that is being answered.
struct RunningRequest {
    /// Ids are used again: a response that crosses an abort must not end the next request of its id.
    serial: u64,
    task: AbortHandle,
}

/// The state of a connection.
pub(super) struct FastCgiSession {
    listener: Rc<DownstreamListener>,
    connection: Rc<DownstreamConnection>,
    client_ip: IpAddr,
    pub server: Server,
    /// Requests that are being read, and when each must be complete.
    incoming: HashMap<u16, Instant>,
    running: HashMap<u16, RunningRequest>,
    last_serial: u64,
    /// Aborted with the connection, which reports a disconnect to the pools.
    tasks: JoinSet<()>,
    finished: mpsc::UnboundedSender<FinishedRequest>,
    pub output: BytesMut,
    /// When output was made or written last.
    last_progress: Instant,
}

impl FastCgiSession {
    pub fn new(
        listener: Rc<DownstreamListener>,
        connection: Rc<DownstreamConnection>,
        client_ip: IpAddr,
        finished: mpsc::UnboundedSender<FinishedRequest>,
    ) -> Self {
        let mut server = Server::new(Bounds {
            connections: u32::try_from(listener.budget.limit()).unwrap_or(u32::MAX),
            requests: MAX_REQUESTS,
            params: MAX_PARAMS_BYTES,
            pairs: MAX_PARAMS,
            body: listener.options.get().max_buffered_body,
            coming: MAX_INCOMING_BYTES,
            waiting: MAX_OUTGOING_BYTES,
        });
        if connection.over_limit {
            server.stop();
        }
        Self {
            listener,
            connection,
            client_ip,
            server,
            incoming: HashMap::new(),
            running: HashMap::new(),
            last_serial: 0,
            tasks: JoinSet::new(),
            finished,
            output: BytesMut::new(),
            last_progress: Instant::now(),
        }
    }

    pub fn fill_output(&mut self) {
        if self.output.is_empty() {
            self.server.output(&mut self.output, CHUNK_BYTES);
            self.last_progress = Instant::now();
        }
    }

    /// When the first request that is being read has to be complete.
    pub fn read_due(&self) -> Option<Instant> {
        self.incoming.values().min().copied()
    }

    /// When the client has stalled, unless output is written until then.
    pub fn write_due(&self, idle_timeout: Duration) -> Instant {
        self.last_progress + idle_timeout
    }

    fn is_idle(&self) -> bool {
        self.output.is_empty() && self.server.is_idle()
    }

    pub fn update_stage(&self) {
        let is_idle = self.is_idle();
        if is_idle != (self.connection.stage() == ConnectionStage::Waiting) {
            self.connection.last_activity.set(Instant::now());
            let stage = if is_idle { ConnectionStage::Waiting } else { ConnectionStage::Busy };
            self.connection.set_stage(stage, true);
        }
    }

    /// Whether the connection is of no further use.
    pub fn is_finished(&self) -> bool {
        let may_close =
            self.listener.draining.get() || self.connection.over_limit && self.connection.has_served();
        self.output.is_empty() && self.server.is_over() || self.is_idle() && may_close
    }

    pub fn on_written(&mut self, count: usize) {
        self.output.advance(count);
        self.last_progress = Instant::now();
    }

    /// Takes bytes from the client; returns whether the connection is of further use.
    pub fn on_input(&mut self, input: &[u8]) -> bool {
        if self.listener.draining.get() {
            // Requests that begin now are rejected; those that have begun are answered.
            self.server.stop();
        }
        let due = Instant::now() + self.listener.options.get().request_timeout;
        let mut events = Vec::new();
        let result = self.server.receive(input, &mut events);
        for event in events {
            match event {
                Event::Began(id) => {
                    self.incoming.insert(id, due);
                }
                Event::Request { id, params, body } => self.on_request(id, params, body),
                Event::Bad(id, error) => self.on_bad_request(id, &error),
                Event::Aborted(id) => self.on_aborted(id),
            }
        }
        // Tasks that have ended are released.
        while self.tasks.try_join_next().is_some() {}
        result.is_ok()
    }

    fn on_request(&mut self, id: u16, params: Vec<Pair>, body: Bytes) {
        let (listener, client_ip) = (self.listener.clone(), self.client_ip);
        let over_limit = self.connection.over_limit;
        self.spawn(id, async move { listener.respond_fastcgi(client_ip, &params, body, over_limit).await });
    }

    fn on_bad_request(&mut self, id: u16, error: &BadRequest) {
        let error = match error {
            BadRequest::BodyTooLong(_) => RequestError::BodyTooLong,
            BadRequest::Params(fault) => RequestError::AmbiguousTarget(fault.to_string()),
        };
        self.spawn(id, async move { application_output(&Method::POST, response::error(&error)).await });
    }

    /// Answers a request in a task that ends with the session.
    fn spawn(&mut self, id: u16, respond: impl Future<Output = Vec<Bytes>> + 'static) {
        self.incoming.remove(&id);
        self.last_serial += 1;
        let serial = self.last_serial;
        let finished = self.finished.clone();
        let task = self.tasks.spawn_local(async move {
            let output = respond.await;
            let _ = finished.send(FinishedRequest { id, serial, output });
        });
        self.running.insert(id, RunningRequest { serial, task });
    }

    /// Ends a request that the client has aborted. Dropping its task reports a disconnect to the pool.
    fn on_aborted(&mut self, id: u16) {
        self.incoming.remove(&id);
        if let Some(running) = self.running.remove(&id) {
            running.task.abort();
        }
        self.server.end(id, [], 0);
    }

    /// Ends a request with its response; one that was aborted has ended already.
    pub fn on_finished(&mut self, request: FinishedRequest) {
        let FinishedRequest { id, serial, output } = request;
        if self.running.get(&id).is_some_and(|running| running.serial == serial) {
            self.running.remove(&id);
            self.server.end(id, output, 0);
        }
    }

    /// Answers requests that took too long to read.
    pub async fn end_slow_requests(&mut self) {
        let now = Instant::now();
        let slow: Vec<_> = self.incoming.iter().filter(|(_, due)| **due <= now).map(|(id, _)| *id).collect();
        for id in slow {
            self.incoming.remove(&id);
            let response = response::error(&RequestError::BodyTimeout);
            self.server.end(id, application_output(&Method::GET, response).await, 0);
        }
    }
}
