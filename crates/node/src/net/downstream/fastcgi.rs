//! Client connections over FastCGI: web servers with several requests at once on each.

use std::collections::HashMap;
use std::net::IpAddr;
use std::rc::Rc;

use bytes::{Buf, Bytes, BytesMut};
use http_body_util::{BodyExt, Collected};
use hyper::header::{self, HeaderValue};
use hyper::{Method, Response, StatusCode, Version};
use pumicehead_fastcgi::cgi::{put_head, request};
use pumicehead_fastcgi::pairs::Pair;
use pumicehead_fastcgi::server::{BadRequest, Bounds, Event, Server};
use tokio::io::{AsyncReadExt, AsyncWriteExt, split};
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{Instant, sleep_until};

use super::connection::{ConnectionStage, DownstreamConnection};
use super::request_body::ReceivedBody;
use super::{DownstreamListener, response};
use crate::net::admission::{RequestError, RequestHead};
use crate::net::response_body::ResponseBody;

/// Bytes that are read at once, and that are made ready to be written.
const CHUNK_BYTES: usize = 32 << 10;
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
struct FinishedRequest {
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
struct FastCgiSession {
    listener: Rc<DownstreamListener>,
    connection: Rc<DownstreamConnection>,
    client_ip: IpAddr,
    server: Server,
    /// Requests that are being read, and when each must be complete.
    incoming: HashMap<u16, Instant>,
    running: HashMap<u16, RunningRequest>,
    last_serial: u64,
    /// Aborted with the connection, which reports a disconnect to the pools.
    tasks: JoinSet<()>,
    finished: mpsc::UnboundedSender<FinishedRequest>,
    output: BytesMut,
    /// When output was made or written last.
    last_progress: Instant,
}

impl DownstreamListener {
    /// Serves a connection to its end.
    pub(super) async fn serve_fastcgi(
        self: &Rc<Self>,
        connection: &Rc<DownstreamConnection>,
        client_ip: IpAddr,
    ) {
        let (to_finished, mut finished) = mpsc::unbounded_channel();
        let idle_timeout = self.options.get().idle_timeout;
        let mut session = FastCgiSession::new(self.clone(), connection.clone(), client_ip, to_finished);
        let (mut reader, mut writer) = split(connection.stream.clone());
        let mut input = vec![0; CHUNK_BYTES];
        loop {
            session.fill_output();
            session.update_stage();
            if session.is_over() {
                return;
            }
            let read_due = session.incoming.values().min().copied();
            let write_due = session.last_progress + idle_timeout;
            tokio::select! {
                // What has been read goes ahead of a close from this side, and responses ahead of further reads.
                biased;
                Some(request) = finished.recv() => session.on_finished(request),
                written = writer.write(&session.output), if !session.output.is_empty() => match written {
                    Ok(count) if count > 0 => session.on_written(count),
                    _ => return,
                },
                read = reader.read(&mut input) => match read {
                    Ok(count) if count > 0 => if !session.on_input(&input[..count]) {
                        return;
                    },
                    // The client is gone; its requests end with the session's tasks.
                    _ => return,
                },
                () = sleep_until(read_due.unwrap_or(write_due)), if read_due.is_some() => {
                    session.end_slow_requests().await;
                }
                // A client that reads nothing holds the memory of its responses.
                () = sleep_until(write_due), if !session.output.is_empty() => return,
                // Unless a request has been read since the connection was idle.
                () = connection.close.notified() => if session.server.is_idle() {
                    return;
                },
            }
        }
    }

    async fn respond_fastcgi(
        &self,
        client_ip: IpAddr,
        params: &[Pair],
        body: Bytes,
        over_limit: bool,
    ) -> Vec<Bytes> {
        let read = match request(params) {
            Ok(read) => read,
            Err(fault) => {
                let error = RequestError::AmbiguousTarget(fault.to_string());
                return application_output(&Method::GET, response::error(&error)).await;
            }
        };
        let head = RequestHead {
            method: &read.method,
            uri: &read.uri,
            version: Version::HTTP_11,
            headers: read.headers,
            peer: read.peer.unwrap_or(client_ip),
        };
        let is_complete = read.length.is_none_or(|length| length == body.len() as u64);
        let admitted = self.admission.admit(head);
        let response = match admitted {
            Err(error) => response::error(&error),
            Ok(_) if !is_complete => response::error(&RequestError::BodyIncomplete),
            Ok(admitted) => self.proxy(admitted, ReceivedBody::Full(body), over_limit).await,
        };
        application_output(&read.method, response).await
    }
}

impl FastCgiSession {
    fn new(
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

    fn fill_output(&mut self) {
        if self.output.is_empty() {
            self.server.output(&mut self.output, CHUNK_BYTES);
            self.last_progress = Instant::now();
        }
    }

    fn is_idle(&self) -> bool {
        self.output.is_empty() && self.server.is_idle()
    }

    fn update_stage(&self) {
        let is_idle = self.is_idle();
        if is_idle != (self.connection.stage() == ConnectionStage::Waiting) {
            self.connection.last_activity.set(Instant::now());
            let stage = if is_idle { ConnectionStage::Waiting } else { ConnectionStage::Busy };
            self.connection.set_stage(stage, true);
        }
    }

    /// Whether the connection is of no further use.
    fn is_over(&self) -> bool {
        let may_close = self.listener.draining.get() || self.connection.over_limit && self.connection.used();
        self.output.is_empty() && self.server.is_over() || self.is_idle() && may_close
    }

    fn on_written(&mut self, count: usize) {
        self.output.advance(count);
        self.last_progress = Instant::now();
    }

    /// Takes bytes from the client; returns whether the connection is of further use.
    fn on_input(&mut self, input: &[u8]) -> bool {
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
    fn on_finished(&mut self, request: FinishedRequest) {
        let FinishedRequest { id, serial, output } = request;
        if self.running.get(&id).is_some_and(|running| running.serial == serial) {
            self.running.remove(&id);
            self.server.end(id, output, 0);
        }
    }

    /// Answers requests that took too long to read.
    async fn end_slow_requests(&mut self) {
        let now = Instant::now();
        let slow: Vec<_> = self.incoming.iter().filter(|(_, due)| **due <= now).map(|(id, _)| *id).collect();
        for id in slow {
            self.incoming.remove(&id);
            let response = response::error(&RequestError::BodyTimeout);
            self.server.end(id, application_output(&Method::GET, response).await, 0);
        }
    }
}

/// Returns a response in the form of an application's output.
async fn application_output(method: &Method, response: Response<ResponseBody>) -> Vec<Bytes> {
    let (mut head, body) = response.into_parts();
    let body = body.collect().await.map(Collected::to_bytes).unwrap_or_default();
    head.headers.remove(header::CONNECTION);
    let is_bodiless =
        *method == Method::HEAD || matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    if !is_bodiless && !head.headers.contains_key(header::CONTENT_LENGTH) {
        head.headers.insert(header::CONTENT_LENGTH, HeaderValue::from(body.len()));
    }
    let mut out = BytesMut::new();
    put_head(&mut out, head.status, &head.headers);
    if is_bodiless { vec![out.freeze()] } else { vec![out.freeze(), body] }
}
