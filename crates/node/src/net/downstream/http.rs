//! Client connections over HTTP/1.1.

use std::cell::Cell;
use std::convert::Infallible;
use std::net::IpAddr;
use std::pin::pin;
use std::rc::Rc;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::time::{Instant, timeout_at};

use super::body_buffer::BodySource;
use super::body_framing::BodyFraming;
use super::connection::{ConnectionStage, DownstreamConnection};
use super::proxy::ClaimedRequest;
use super::request_body::{ReceivedBody, discard, read_buffered, read_full};
use super::{DownstreamListener, ListenerOptions, response};
use crate::net::admission::{RequestError, RequestHead, ResponseStyle};
use crate::net::header_fields::MAX_HEAD_BYTES;
use crate::net::response_body::ResponseBody;

/// Written to a client that began a request and did not complete its head.
const REQUEST_TIMEOUT_RESPONSE: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/// Progress of the current request of a connection.
#[derive(Default)]
struct RequestProgress {
    /// Whether the request is being read or has no response yet.
    awaits_response: Cell<bool>,
    /// Whether the request is being read.
    is_receiving: Cell<bool>,
    /// Whether the response is being streamed.
    is_streaming: Cell<bool>,
}

/// How a connection has ended.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ConnectionEnd {
    /// It is to be closed immediately.
    Close,
    /// What the client still sends is to be read, so that the last response arrives.
    Linger,
}

/// A request whose head was received.
struct IncomingRequest {
    request: Request<Incoming>,
    client_ip: IpAddr,
    framing: BodyFraming,
    /// When the request must have been received.
    due: Instant,
}

/// A request that was read and admitted.
struct ReadRequest {
    claimed: ClaimedRequest,
    body: ReceivedBody,
}

/// A response, and whether the client may still be sending the request's body.
struct HttpReply {
    response: Response<ResponseBody>,
    is_upload_unfinished: bool,
}

impl From<Response<ResponseBody>> for HttpReply {
    fn from(response: Response<ResponseBody>) -> Self {
        Self { response, is_upload_unfinished: false }
    }
}

impl DownstreamListener {
    /// Serves a connection until it ends.
    pub(super) async fn serve_http(&self, connection: &Rc<DownstreamConnection>, client_ip: IpAddr) {
        // The buffers of the connection are freed before it lingers.
        if self.serve_requests(connection, client_ip).await == ConnectionEnd::Linger {
            self.linger(connection).await;
        }
    }

    async fn serve_requests(
        &self,
        connection: &Rc<DownstreamConnection>,
        client_ip: IpAddr,
    ) -> ConnectionEnd {
        let progress = RequestProgress::default();
        let service = service_fn(|request| async {
            Ok::<_, Infallible>(self.serve_request(connection, client_ip, request, &progress).await)
        });
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_HEAD_BYTES);
        let mut served = pin!(builder.serve_connection(TokioIo::new(connection.stream.clone()), service));
        let mut peer_closed = pin!(connection.stream.peer_closed());
        let mut has_peer_closed = false;
        loop {
            tokio::select! {
                // Requests that have been read have priority over a close by this side.
                biased;
                // Dropping a waiting request reports the disconnect to its pool. The HTTP library finishes a response
                // that is being written; a pipelined request after it is rejected in `reply`.
                () = peer_closed.as_mut(), if !has_peer_closed => {
                    if progress.awaits_response.get() {
                        return ConnectionEnd::Close;
                    }
                    has_peer_closed = true;
                }
                // After an error, nothing more can be sent to the client.
                _ = served.as_mut() => return ConnectionEnd::Linger,
                () = connection.close.notified() => {
                    // The connection was idle or stalled when it was selected; a request that has been read since
                    // then is answered.
                    let was_stalled = progress.is_receiving.get() && connection.stage() == ConnectionStage::Ending;
                    if progress.awaits_response.get() && !was_stalled {
                        served.as_mut().graceful_shutdown();
                        continue;
                    }
                    if !was_stalled && connection.keep_for_unread_request() {
                        continue;
                    }
                    // This must not be written into the middle of a response.
                    let has_part_of_request = was_stalled || connection.stream.head_started_at().is_some();
                    if has_part_of_request && !progress.is_streaming.get() {
                        connection.stream.write_best_effort(REQUEST_TIMEOUT_RESPONSE);
                    }
                    return ConnectionEnd::Close;
                }
            }
        }
    }

    /// Serves one request, and updates the stage of its connection.
    async fn serve_request(
        &self,
        connection: &Rc<DownstreamConnection>,
        client_ip: IpAddr,
        request: Request<Incoming>,
        progress: &RequestProgress,
    ) -> Response<ResponseBody> {
        connection.set_stage(ConnectionStage::Busy, connection.has_served());
        progress.awaits_response.set(true);
        let mut response = self.respond(connection, client_ip, request, progress).await;
        progress.awaits_response.set(false);
        let body = response.body_mut();
        progress.is_streaming.set(body.is_stream());
        if body.is_stream() {
            let (aborted, answered) = (connection.clone(), connection.clone());
            body.limit_unread_data(&connection.stream);
            body.set_abort_hook(move || aborted.close_now());
            body.on_end(move |_| answered.mark_answered());
        } else {
            connection.mark_answered();
        }
        response
    }

    /// Responds to a request, and decides whether the connection is closed after the response.
    async fn respond(
        &self,
        connection: &DownstreamConnection,
        client_ip: IpAddr,
        request: Request<Incoming>,
        progress: &RequestProgress,
    ) -> Response<ResponseBody> {
        let read_from = if connection.has_served() { Instant::now() } else { connection.last_activity.get() };
        let framing = BodyFraming::parse(&connection.stream.take_head());
        connection.stream.skip_body(framing.body_length());
        let expects_continue = request.headers().contains_key(header::EXPECT);
        let read_due = read_from + self.options.get().request_timeout;
        let incoming = IncomingRequest { request, client_ip, framing, due: read_due };
        let reply = self.reply(connection, incoming, progress).await;
        let HttpReply { mut response, is_upload_unfinished } = reply;
        let closes_after_response = connection.over_limit || self.budget.disables_keep_alive();
        // After an error status, a client that expects `100 Continue` may either send its body anyway or send the
        // next request.
        let is_next_ambiguous = expects_continue && response.status().as_u16() >= 400;
        if self.draining.get()
            || self.is_lame_duck()
            || closes_after_response
            || is_next_ambiguous
            || is_upload_unfinished
            || !matches!(framing, BodyFraming::Length(_))
        {
            response::close(&mut response);
        }
        response
    }

    async fn reply(
        &self,
        connection: &DownstreamConnection,
        incoming: IncomingRequest,
        progress: &RequestProgress,
    ) -> HttpReply {
        if self.options.get().serves_health_check && incoming.request.uri().path() == "/healthz" {
            return self.health_response().into();
        }
        if connection.stream.has_peer_closed() {
            // The client pipelined this request after another one and closed the connection, so it does not wait for
            // the response.
            return response::rejection(&ResponseStyle::Platform, None).into();
        }
        let head_received_at = Instant::now();
        progress.is_receiving.set(true);
        let received = self.read_request(connection, incoming).await;
        progress.is_receiving.set(false);
        connection.set_stage(ConnectionStage::Busy, connection.has_served());
        match received {
            Err(error) => response::error(&error).into(),
            Ok(ReadRequest { mut claimed, body }) => {
                let upload = body.upload();
                let request = &mut claimed.admitted.request;
                request.body_read_time = head_received_at.elapsed();
                request.received_at = match upload {
                    // The head may have arrived behind that of a request that was answered first.
                    None => connection.stream.last_arrival_at().max(head_received_at),
                    Some(_) => Instant::now(),
                };
                let response = self.proxy(claimed, body, connection.over_limit).await;
                let is_upload_unfinished = upload.is_some_and(|upload| upload.completed_at().is_none());
                HttpReply { response, is_upload_unfinished }
            }
        }
    }

    fn health_response(&self) -> Response<ResponseBody> {
        let takes_requests = !self.draining.get() && !self.is_lame_duck();
        let status = if takes_requests { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        response::plain(status, "")
    }

    /// Reads a request, and asks for its admission.
    async fn read_request(
        &self,
        connection: &DownstreamConnection,
        incoming: IncomingRequest,
    ) -> Result<ReadRequest, RequestError> {
        let IncomingRequest { request, client_ip, framing, due } = incoming;
        if framing == BodyFraming::Ambiguous {
            return Err(RequestError::AmbiguousFraming);
        }
        let (parts, body) = request.into_parts();
        let head = RequestHead {
            method: &parts.method,
            uri: &parts.uri,
            version: parts.version,
            headers: parts.headers,
            client_ip,
        };
        let expects_continue = head.headers.contains_key(header::EXPECT);
        let claimed = self.admit(head);
        if claimed.is_err() && expects_continue {
            // The client has not sent its body and need not send it (RFC 9110 section 10.1.1).
            return claimed.map(|claimed| ReadRequest { claimed, body: ReceivedBody::Full(Bytes::new()) });
        }
        // The body is read before an error is reported, so that the response is not sent to a client that is still
        // writing.
        let ListenerOptions { max_buffered_body, max_streamed_body, .. } = self.options.get();
        let claimed = match claimed {
            Ok(claimed) => claimed,
            Err(error) => {
                let discarded = timeout_at(due, discard(body, max_buffered_body, connection)).await;
                return Err(discarded.unwrap_or(Err(RequestError::BodyTimeout)).err().unwrap_or(error));
            }
        };
        let time_left = claimed.admitted.request.time_left;
        let source =
            BodySource { connection, budget: &self.budget, due: due.min(Instant::now() + time_left) };
        let body = match max_streamed_body {
            Some(max) => read_buffered(body, max_buffered_body, max, time_left, &self.memory, source).await?,
            None => {
                let body = timeout_at(due, read_full(body, max_buffered_body, source)).await;
                ReceivedBody::Full(body.unwrap_or(Err(RequestError::BodyTimeout))?)
            }
        };
        Ok(ReadRequest { claimed, body })
    }
}
