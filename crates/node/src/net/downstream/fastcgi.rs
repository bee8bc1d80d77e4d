//! Client connections over FastCGI: front ends with several requests at once on each.

use std::collections::HashMap;
use std::net::IpAddr;
use std::rc::Rc;

use bytes::{Buf, Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::header::{self, HeaderValue};
use hyper::{Method, Response, StatusCode, Version};
use pumicehead_fastcgi::cgi::{put_head, request};
use pumicehead_fastcgi::pairs::Pair;
use pumicehead_fastcgi::server::{BadRequest, Bounds, Event, Server};
use tokio::io::{AsyncReadExt, AsyncWriteExt, split};
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{Instant, sleep_until};

use crate::net::admission::{RequestError, RequestHead};
use crate::net::downstream::DownstreamListener;
use crate::net::downstream::connection::{ConnectionStage, DownstreamConnection};
use crate::net::downstream::request_body::ReceivedBody;
use crate::net::downstream::response;
use crate::net::response_body::ResponseBody;

/// Bytes that are read at once, and that are made ready to be written.
const CHUNK: usize = 32 << 10;
/// Requests at once on a connection: a front end that has more opens another.
const MOST_REQUESTS: usize = 1_000;
/// Bytes and number of a request's variables: what fits a head over HTTP, and the variables that are none.
const PARAMS: (usize, usize) = (64 << 10, 512);
/// Bytes of requests that are coming, and of answers that wait, on one connection.
const MOST_COMING: usize = 4 << 20;
const MOST_WAITING: usize = 4 << 20;

/// A connection's state.
struct FastCgiSession {
    server: Server,
    /// Requests that have begun, and until when they must be whole.
    coming: HashMap<u16, Instant>,
    /// Requests that are being answered, each with its serial number: ids come again, and an answer that crosses an
    /// abort must not meet the next request of its id.
    asking: HashMap<u16, (u64, AbortHandle)>,
    serial: u64,
    /// Dropped with the connection: those who wait are gone then.
    tasks: JoinSet<()>,
    answers: mpsc::UnboundedSender<(u16, u64, Vec<Bytes>)>,
}

impl DownstreamListener {
    /// Serves a connection to its end.
    pub(super) async fn serve_fastcgi(self: &Rc<Self>, conn: &Rc<DownstreamConnection>, peer: IpAddr) {
        let options = self.options.get();
        let mut server = Server::new(Bounds {
            connections: u32::try_from(self.budget.limit()).unwrap_or(u32::MAX),
            requests: MOST_REQUESTS,
            params: PARAMS.0,
            pairs: PARAMS.1,
            body: options.max_buffered_body,
            coming: MOST_COMING,
            waiting: MOST_WAITING,
        });
        if conn.over_limit {
            server.stop();
        }
        let (answers, mut answered) = mpsc::unbounded_channel();
        let mut exchange = FastCgiSession {
            server,
            coming: HashMap::new(),
            asking: HashMap::new(),
            serial: 0,
            tasks: JoinSet::new(),
            answers,
        };
        let (mut reader, mut writer) = split(conn.stream.clone());
        let (mut input, mut out) = (vec![0; CHUNK], BytesMut::new());
        let mut progress = Instant::now();
        loop {
            if out.is_empty() {
                exchange.server.output(&mut out, CHUNK);
                progress = Instant::now();
            }
            let idle = out.is_empty() && exchange.server.is_idle();
            if idle != (conn.stage() == ConnectionStage::Waiting) {
                conn.last_activity.set(Instant::now());
                conn.set_stage(if idle { ConnectionStage::Waiting } else { ConnectionStage::Busy }, true);
            }
            if out.is_empty() && exchange.server.is_over()
                || idle && (self.draining.get() || conn.over_limit && conn.used())
            {
                return;
            }
            let slow = exchange.coming.values().min().copied();
            let stalled = progress + options.idle_timeout;
            tokio::select! {
                // What has come is looked at before a close of this side's own, and answers go out before more is read.
                biased;
                Some((id, serial, parts)) = answered.recv() => exchange.answered(id, serial, parts),
                written = writer.write(&out), if !out.is_empty() => match written {
                    Ok(count) if count > 0 => {
                        out.advance(count);
                        progress = Instant::now();
                    }
                    _ => return,
                },
                read = reader.read(&mut input) => match read {
                    Ok(count) if count > 0 => if !self.take_records(&mut exchange, conn, peer, &input[..count]) {
                        return;
                    },
                    // Who asked is gone, and with the tasks goes what they wait for.
                    _ => return,
                },
                () = sleep_until(slow.unwrap_or(stalled)), if slow.is_some() => exchange.end_slow().await,
                // A front end that reads nothing holds its answers and its place.
                () = sleep_until(stalled), if !out.is_empty() => return,
                // Unless it has asked since it was idle: what has been read has its answer.
                () = conn.cut.notified() => if exchange.server.is_idle() {
                    return;
                },
            }
        }
    }

    /// Takes what has come; tells whether the connection is still of use.
    fn take_records(
        self: &Rc<Self>,
        exchange: &mut FastCgiSession,
        conn: &Rc<DownstreamConnection>,
        peer: IpAddr,
        input: &[u8],
    ) -> bool {
        if self.draining.get() {
            // What begins now is turned away unseen; what has begun is still answered.
            exchange.server.stop();
        }
        let until = Instant::now() + self.options.get().request_timeout;
        let mut events = Vec::new();
        let sound = exchange.server.receive(input, &mut events);
        for event in events {
            match event {
                Event::Began(id) => {
                    exchange.coming.insert(id, until);
                }
                Event::Request { id, params, body } => {
                    exchange.coming.remove(&id);
                    let (front, conn, answers) = (self.clone(), conn.clone(), exchange.answers.clone());
                    let serial = exchange.next_serial();
                    let task = exchange.tasks.spawn_local(async move {
                        let parts = front.answer_fastcgi(&conn, peer, &params, body).await;
                        let _ = answers.send((id, serial, parts));
                    });
                    exchange.asking.insert(id, (serial, task));
                }
                Event::Bad(id, why) => {
                    exchange.coming.remove(&id);
                    let bad = match why {
                        BadRequest::BodyTooLong(_) => RequestError::BodyTooLong,
                        BadRequest::Params(fault) => RequestError::AmbiguousTarget(fault.to_string()),
                    };
                    // Made on a task as any other, so that there is one way out.
                    let answers = exchange.answers.clone();
                    let serial = exchange.next_serial();
                    let task = exchange.tasks.spawn_local(async move {
                        let parts = parts(&Method::POST, response::bad(&bad)).await;
                        let _ = answers.send((id, serial, parts));
                    });
                    exchange.asking.insert(id, (serial, task));
                }
                Event::Aborted(id) => {
                    exchange.coming.remove(&id);
                    // Dropped, it tells the loop that the client is gone.
                    if let Some((_, task)) = exchange.asking.remove(&id) {
                        task.abort();
                    }
                    exchange.server.end(id, [], 0);
                }
            }
        }
        // Tasks that have ended are let go.
        while exchange.tasks.try_join_next().is_some() {}
        sound.is_ok()
    }

    async fn answer_fastcgi(
        &self,
        conn: &DownstreamConnection,
        peer: IpAddr,
        params: &[Pair],
        body: Bytes,
    ) -> Vec<Bytes> {
        let read = match request(params) {
            Ok(read) => read,
            Err(fault) => {
                return parts(&Method::GET, response::bad(&RequestError::AmbiguousTarget(fault.to_string())))
                    .await;
            }
        };
        let head = RequestHead {
            method: &read.method,
            uri: &read.uri,
            version: Version::HTTP_11,
            headers: read.headers,
            peer: read.peer.unwrap_or(peer),
        };
        let whole = read.length.is_none_or(|length| length == body.len() as u64);
        let admitted = self.admission.admit(head);
        let admitted = admitted
            .and_then(|admitted| if whole { Ok(admitted) } else { Err(RequestError::BodyIncomplete) });
        let response = self.decide(admitted, ReceivedBody::Full(body), conn.over_limit).await;
        parts(&read.method, response).await
    }
}

impl FastCgiSession {
    fn next_serial(&mut self) -> u64 {
        self.serial += 1;
        self.serial
    }

    /// Ends a request with its answer; one that was aborted meanwhile has ended already.
    fn answered(&mut self, id: u16, serial: u64, parts: Vec<Bytes>) {
        if self.asking.get(&id).is_some_and(|(asked, _)| *asked == serial) {
            self.asking.remove(&id);
            self.server.end(id, parts, 0);
        }
    }

    /// Answers requests that took too long to come.
    async fn end_slow(&mut self) {
        let now = Instant::now();
        let slow: Vec<_> =
            self.coming.iter().filter(|(_, until)| **until <= now).map(|(id, _)| *id).collect();
        for id in slow {
            self.coming.remove(&id);
            self.server.end(id, parts(&Method::GET, response::bad(&RequestError::BodyTimeout)).await, 0);
        }
    }
}

/// An answer as the output of an application.
async fn parts(method: &Method, response: Response<ResponseBody>) -> Vec<Bytes> {
    let (mut head, body) = response.into_parts();
    let body = body.collect().await.map(http_body_util::Collected::to_bytes).unwrap_or_default();
    head.headers.remove(header::CONNECTION);
    let bodiless =
        *method == Method::HEAD || matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    if !bodiless && !head.headers.contains_key(header::CONTENT_LENGTH) {
        head.headers.insert(header::CONTENT_LENGTH, HeaderValue::from(body.len()));
    }
    let mut out = BytesMut::new();
    put_head(&mut out, head.status, &head.headers);
    if bodiless { vec![out.freeze()] } else { vec![out.freeze(), body] }
}
