//! The state of a client connection over FastCGI: its requests that are being read or answered, and its output.

use std::collections::HashMap;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use hyper::Method;
use pumicehead_fastcgi::pairs::Pair;
use pumicehead_fastcgi::server::{BadRequest, Event, Limits, Server};
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::Instant;

use super::{CHUNK_BYTES, application_output};
use crate::net::admission::RequestError;
use crate::net::downstream::connection::{ConnectionStage, DownstreamConnection};
use crate::net::downstream::{DownstreamListener, response};

/// Maximum number of concurrent requests on a connection.
const MAX_REQUESTS: usize = 1_000;
/// Maximum total size of a request's variables, in bytes.
const MAX_PARAMS_BYTES: usize = 64 << 10;
/// Maximum number of a request's variables.
const MAX_PARAMS: usize = 512;
/// Maximum size of the requests that are being read on one connection, in bytes.
const MAX_INCOMING_BYTES: usize = 4 << 20;
/// Maximum size of the responses that wait to be written on one connection, in bytes.
const MAX_OUTGOING_BYTES: usize = 4 << 20;

/// A request with its response as the output of a FastCGI application.
pub(super) struct FinishedRequest {
    id: u16,
    serial: u64,
    output: Vec<Bytes>,
}

/// A request that is being answered.
struct RunningRequest {
    /// Distinguishes requests that use the same id one after the other: a response that is sent while its request is
    /// being aborted must not end the next request with the same id.
    serial: u64,
    task: AbortHandle,
}

/// The state of a connection.
pub(super) struct FastCgiSession {
    listener: Rc<DownstreamListener>,
    connection: Rc<DownstreamConnection>,
    client_ip: IpAddr,
    pub server: Server,
    /// Requests that are being read, and when each of them must be complete.
    incoming: HashMap<u16, Instant>,
    running: HashMap<u16, RunningRequest>,
    last_serial: u64,
    /// Aborted when the connection ends, which reports a disconnect to the pools.
    tasks: JoinSet<()>,
    finished: mpsc::UnboundedSender<FinishedRequest>,
    pub output: BytesMut,
    /// When output was last produced or written, or there was none.
    last_progress: Instant,
}

impl FastCgiSession {
    pub fn new(
        listener: Rc<DownstreamListener>,
        connection: Rc<DownstreamConnection>,
        client_ip: IpAddr,
        finished: mpsc::UnboundedSender<FinishedRequest>,
    ) -> Self {
        let mut server = Server::new(Limits {
            max_connections: u32::try_from(listener.budget.limit()).unwrap_or(u32::MAX),
            max_requests: MAX_REQUESTS,
            max_params_bytes: MAX_PARAMS_BYTES,
            max_params: MAX_PARAMS,
            max_body_bytes: listener.options.get().max_buffered_body,
            max_incoming_bytes: MAX_INCOMING_BYTES,
            max_response_bytes: MAX_OUTGOING_BYTES,
        });
        if connection.over_limit {
            server.reject_new_requests();
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

    /// Returns when the first of the requests that are being read has to be complete.
    pub fn read_due(&self) -> Option<Instant> {
        self.incoming.values().min().copied()
    }

    /// Returns when the client counts as stalled, unless output is written before.
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

    /// Whether the connection is no longer needed.
    pub fn is_finished(&self) -> bool {
        let may_close =
            self.listener.draining.get() || self.connection.over_limit && self.connection.has_served();
        self.output.is_empty() && self.server.should_close() || self.is_idle() && may_close
    }

    pub fn on_written(&mut self, count: usize) {
        self.output.advance(count);
        self.last_progress = Instant::now();
    }

    /// Handles bytes from the client; returns whether they were valid, so that the connection can still be used.
    pub fn on_input(&mut self, input: &[u8]) -> bool {
        if self.listener.draining.get() {
            // Requests that begin from now on are rejected; those that have begun are answered.
            self.server.reject_new_requests();
        }
        let due = Instant::now() + self.listener.options.get().request_timeout;
        let mut events = Vec::new();
        let result = self.server.receive(input, &mut events);
        for event in events {
            match event {
                Event::Started(id) => {
                    self.incoming.insert(id, due);
                }
                Event::Request { id, params, body } => self.on_request(id, params, body),
                Event::Rejected(id, error) => self.on_bad_request(id, &error),
                Event::Aborted(id) => self.on_aborted(id),
            }
        }
        // Releases tasks that have ended.
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

    /// Ends a request that the client has aborted. Aborting its task reports a disconnect to the pool.
    fn on_aborted(&mut self, id: u16) {
        self.incoming.remove(&id);
        if let Some(running) = self.running.remove(&id) {
            running.task.abort();
        }
        self.server.end(id, [], 0);
    }

    /// Ends a request with its response, unless the request was aborted and has already ended.
    pub fn on_finished(&mut self, request: FinishedRequest) {
        let FinishedRequest { id, serial, output } = request;
        if self.running.get(&id).is_some_and(|running| running.serial == serial) {
            self.running.remove(&id);
            self.server.end(id, output, 0);
        }
    }

    /// Responds to requests that took too long to read.
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
