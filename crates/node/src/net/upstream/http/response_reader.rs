//! Reads the response of an HTTP endpoint, either completely, up to size limits, or as a stream.

use std::rc::Rc;
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use hyper::header::{self, HeaderMap};
use hyper::http::response::Parts;
use hyper::{Method, Response, StatusCode};
use pumicehead_admin::stats::{ResponseCounters, increment};
use pumicehead_policy::AttemptOutcome;

use super::held_body::{
    BodyAborted, HeldBody, ResponseMemory, ResponseSource, discard, hold_first_piece, hold_small_body,
};
use crate::net::exchange::UpstreamResponse;
use crate::net::header_fields::{detached, strip_hop_by_hop};
use crate::net::memory_budget::{MemoryBudget, Reservation, SMALL_BODY_BYTES};
use crate::net::response_body::{
    BodySource, ResponseBody, StreamProgress, StreamStart, StreamWindow, StreamedBody,
};
use crate::net::response_commit::{CommitReason, HoldDecision};
use crate::net::upstream::response_classification::{
    ResponseClass, ResponseHead, StatusPolicy, is_marked_unprocessed,
};
use crate::net::upstream::transport::AttemptResult;

/// Memory that a streamed response with a full window reserves, which covers the full buffers of its two connections.
const FULL_WINDOW_BYTES: usize = 96 << 10;
/// Memory that a streamed response with a small window reserves: a piece and its own state, beside what its connections may
/// hold in any case.
const SMALL_WINDOW_BYTES: usize = 9 << 10;

/// How responses are read.
#[derive(Clone)]
pub struct ResponseReader {
    /// How statuses are classified.
    pub status_policy: StatusPolicy,
    /// Maximum size of a body, in bytes. A longer stated length fails immediately.
    pub max_body: u64,
    /// Maximum size of a body without a stated length, in bytes.
    pub max_unsized_body: u64,
    /// Memory budget for long bodies.
    pub memory: Arc<MemoryBudget>,
    /// Memory budget for short bodies where long ones are streamed.
    pub response_memory: Arc<MemoryBudget>,
    /// Whether long successful responses are streamed; otherwise responses are held, up to the maximum size, until they are
    /// complete or the time of their attempt is over.
    pub streaming: bool,
    /// Counts what becomes of responses that are not complete in time.
    pub counters: Rc<ResponseCounters>,
}

/// A response that was read completely or whose start was read.
pub enum ReadResponse {
    /// The response is complete or has failed.
    Complete(AttemptResult),
    /// The response was not complete when the time of the attempt was over.
    AttemptOver {
        /// Whether it would have been forwarded if no other attempt could follow.
        is_replaced: bool,
    },
    /// The response is streamed.
    Streaming(StreamingResponse),
}

/// A streamed response whose start has been received.
pub struct StreamingResponse {
    /// The response.
    pub response: UpstreamResponse,
    /// Progress of the stream.
    pub progress: Rc<StreamProgress>,
    /// How much of the body may wait for the client.
    pub window: StreamWindow,
    /// Why it is streamed.
    pub reason: CommitReason,
    /// Number of bytes of the body that have been received.
    pub held_bytes: usize,
}

/// The head of a response that may be forwarded.
struct ForwardedHead {
    status: StatusCode,
    headers: HeaderMap,
}

impl ForwardedHead {
    fn with_body(self, body: ResponseBody) -> UpstreamResponse {
        UpstreamResponse { status: self.status, headers: self.headers, body }
    }
}

impl ReadResponse {
    fn with_outcome(outcome: AttemptOutcome) -> Self {
        Self::Complete(AttemptResult::without_response(outcome))
    }

    fn reset() -> Self {
        Self::with_outcome(AttemptOutcome::Reset)
    }
}

impl ResponseReader {
    /// Reads a response. A response that is incomplete, too long, or not known to be complete counts as a reset.
    pub(super) async fn read(
        &self,
        response: Response<Incoming>,
        method: &Method,
        source: ResponseSource<'_>,
    ) -> ReadResponse {
        let (parts, mut body) = response.into_parts();
        let length = body.size_hint().exact();
        let head = ResponseHead {
            status: parts.status,
            unprocessed: is_marked_unprocessed(&parts.headers),
            delimited: length.is_some()
                || parts.headers.contains_key(header::TRANSFER_ENCODING)
                || announces_close(&parts.headers),
        };
        let over = source.hold.over();
        if self.status_policy.is_unprocessed_rejection(&head) {
            // The body is read only so that the connection can be reused.
            return tokio::select! {
                biased;
                _ = discard(&mut body, SMALL_BODY_BYTES as u64) => {
                    ReadResponse::with_outcome(AttemptOutcome::Rejected)
                }
                () = over => ReadResponse::AttemptOver { is_replaced: false },
            };
        }
        let max = length.unwrap_or(self.max_unsized_body);
        if max > self.max_body {
            return ReadResponse::reset();
        }
        let class = self.status_policy.classify(&head);
        if !class.forward {
            return tokio::select! {
                biased;
                discarded = discard(&mut body, max) => match discarded {
                    Ok(()) => ReadResponse::with_outcome(class.outcome),
                    Err(BodyAborted) => ReadResponse::reset(),
                },
                () = over => ReadResponse::AttemptOver { is_replaced: false },
            };
        }
        if self.streaming && class.outcome == AttemptOutcome::Success {
            self.read_or_stream(parts, body, method, source).await
        } else {
            self.read_complete(parts, body, max, class, method, source).await
        }
    }

    /// Reads a short body completely, if there is memory for it, and streams any other one after its start.
    async fn read_or_stream(
        &self,
        parts: Parts,
        mut body: Incoming,
        method: &Method,
        source: ResponseSource<'_>,
    ) -> ReadResponse {
        let length = body.size_hint().exact();
        let memory = ResponseMemory {
            budget: &self.response_memory,
            source,
            size: length.map(|length| head_size(&parts) + length),
        };
        let response = self.response_head(parts, method);
        let is_long = length.is_some_and(|length| length > SMALL_BODY_BYTES as u64);
        let held = if is_long {
            hold_first_piece(&mut body, source.hold).await
        } else {
            hold_small_body(&mut body, memory).await
        };
        match held {
            Err(BodyAborted) => ReadResponse::reset(),
            Ok(HeldBody::Replaced) => ReadResponse::AttemptOver { is_replaced: true },
            Ok(HeldBody::Complete(body)) => {
                let response = Some(response.with_body(body));
                let result = AttemptResult::without_response(AttemptOutcome::Success);
                ReadResponse::Complete(AttemptResult { response, ..result })
            }
            Ok(HeldBody::Committed(start, reason)) => {
                let is_short = length.is_some_and(|length| length <= SMALL_BODY_BYTES as u64);
                let Some((window, reservation)) = self.reserve_window(is_short, reason) else {
                    increment(&self.counters.dropped_without_memory);
                    return ReadResponse::reset();
                };
                let start = StreamStart { pieces: start, length, max_bytes: None, window, reservation };
                stream(response, start, body, reason)
            }
        }
    }

    /// Reserves memory for a streamed response, while it is scarce only for a small window. One that is short, or that is
    /// committed because the time of its attempt is over, does without. Returns `None` if the memory is exhausted.
    fn reserve_window(&self, is_short: bool, reason: CommitReason) -> Option<(StreamWindow, Reservation)> {
        let mut reservation = self.memory.reservation();
        if is_short {
            return Some((StreamWindow::Small, reservation));
        }
        if !self.memory.is_scarce_for(FULL_WINDOW_BYTES) && reservation.try_grow_to(FULL_WINDOW_BYTES) {
            return Some((StreamWindow::Full, reservation));
        }
        let has_memory = reservation.try_grow_to(SMALL_WINDOW_BYTES) || reason == CommitReason::AttemptOver;
        has_memory.then_some((StreamWindow::Small, reservation))
    }

    /// Reads a complete body, or commits a successful response when the time of its attempt is over. Memory for a long
    /// stated length is reserved before the body is read.
    async fn read_complete(
        &self,
        parts: Parts,
        mut body: Incoming,
        max: u64,
        class: ResponseClass,
        method: &Method,
        source: ResponseSource<'_>,
    ) -> ReadResponse {
        let length = body.size_hint().exact();
        let mut reservation = self.memory.reservation();
        if length.is_some_and(|length| length > SMALL_BODY_BYTES as u64)
            && !reservation.try_grow_to(max as usize)
        {
            increment(&self.counters.dropped_without_memory);
            return ReadResponse::reset();
        }
        let mut held = JoinedBody::default();
        let is_complete = tokio::select! {
            biased;
            read = held.read(&mut body, max, &mut reservation) => match read {
                Ok(()) => true,
                Err(BodyAborted) => return ReadResponse::reset(),
            },
            () = source.hold.over() => false,
        };
        let head = self.response_head(parts, method);
        let start = reservation.attach_to(held.finish());
        if is_complete {
            let response = Some(head.with_body(start.into()));
            let result = AttemptResult::without_response(class.outcome);
            return ReadResponse::Complete(AttemptResult { response, ..result });
        }
        let is_success = class.outcome == AttemptOutcome::Success;
        match source.hold.decide_when_over() {
            HoldDecision::Commit(reason) if is_success => {
                let start = StreamStart {
                    pieces: start.into(),
                    length,
                    max_bytes: Some(max),
                    window: StreamWindow::Small,
                    reservation: self.memory.reservation(),
                };
                stream(head, start, body, reason)
            }
            _ => ReadResponse::AttemptOver { is_replaced: is_success },
        }
    }

    fn response_head(&self, parts: Parts, method: &Method) -> ForwardedHead {
        let status = parts.status;
        ForwardedHead { status, headers: self.forwarded_headers(parts.headers, status, method) }
    }

    /// Returns the header fields to forward, of which the platform's format has only the type of the body.
    fn forwarded_headers(&self, headers: HeaderMap, status: StatusCode, method: &Method) -> HeaderMap {
        match self.status_policy {
            StatusPolicy::Platform => {
                let content_type = headers.get(header::CONTENT_TYPE).map(detached);
                content_type.map(|value| (header::CONTENT_TYPE, value)).into_iter().collect()
            }
            StatusPolicy::Gateway => gateway_headers(headers, status, method),
        }
    }
}

/// Returns the header fields that a gateway forwards. It keeps the `Content-Length` of a response without a body, which
/// states how long the body would be (RFC 9110 section 8.6).
fn gateway_headers(mut headers: HeaderMap, status: StatusCode, method: &Method) -> HeaderMap {
    let is_bodiless = *method == Method::HEAD || status == StatusCode::NOT_MODIFIED;
    let length = headers.remove(header::CONTENT_LENGTH).filter(|_| is_bodiless);
    strip_hop_by_hop(&mut headers);
    if let Some(length) = length {
        headers.insert(header::CONTENT_LENGTH, length);
    }
    headers
}

/// Returns the approximate size of a response's head, in bytes.
fn head_size(parts: &Parts) -> u64 {
    let fields = parts.headers.iter().map(|(name, value)| name.as_str().len() + value.len() + ": \r\n".len());
    (fields.sum::<usize>() + "HTTP/1.1 200 OK\r\n\r\n".len()) as u64
}

/// Whether the endpoint announces that it closes the connection after this response. The close may then mark the end
/// of the body (RFC 9112 section 6.3), because a broken connection shows as a reset. Without the announcement, a
/// truncated response would look complete.
fn announces_close(headers: &HeaderMap) -> bool {
    let values = headers.get_all(header::CONNECTION).iter().filter_map(|value| value.to_str().ok());
    values.flat_map(|value| value.split(',')).any(|option| option.trim().eq_ignore_ascii_case("close"))
}

/// Starts to stream a response.
fn stream(head: ForwardedHead, start: StreamStart, rest: Incoming, reason: CommitReason) -> ReadResponse {
    let (held_bytes, window) = (start.pieces.len(), start.window);
    let (stream, progress) = StreamedBody::new(start, BodySource::Http(rest));
    let response = head.with_body(ResponseBody::Stream(Box::new(stream)));
    ReadResponse::Streaming(StreamingResponse { response, progress, window, reason, held_bytes })
}

/// A body in one piece of memory.
#[derive(Default)]
struct JoinedBody {
    /// The first frame. Most bodies arrive in a single one, which is passed on without copying.
    first: Option<Bytes>,
    joined: BytesMut,
    size: usize,
}

impl JoinedBody {
    /// Reads a body of at most `max` bytes. When dropped, what was read until then is kept.
    ///
    /// # Errors
    /// The body is longer or incomplete, or exceeds the memory budget.
    async fn read(
        &mut self,
        body: &mut Incoming,
        max: u64,
        reservation: &mut Reservation,
    ) -> Result<(), BodyAborted> {
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(|_| BodyAborted)?.into_data() else { continue };
            self.size += data.len();
            if self.size as u64 > max || !reservation.try_grow_to_fit(self.size) {
                return Err(BodyAborted);
            }
            self.push(data);
        }
        Ok(())
    }

    fn push(&mut self, data: Bytes) {
        match self.first.take() {
            None if self.joined.is_empty() => self.first = Some(data),
            None => self.joined.extend_from_slice(&data),
            Some(piece) => {
                self.joined.reserve(piece.len() + data.len());
                self.joined.extend_from_slice(&piece);
                self.joined.extend_from_slice(&data);
            }
        }
    }

    fn finish(self) -> Bytes {
        self.first.unwrap_or_else(|| self.joined.freeze())
    }
}
