//! Reads the response of an HTTP endpoint, either completely, up to size limits, or as a stream.

use std::rc::Rc;
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body as _, Incoming};
use hyper::header::{self, HeaderMap};
use hyper::http::response::Parts;
use hyper::{Method, Response, StatusCode};
use pumicehead_policy::AttemptOutcome;

use crate::net::exchange::UpstreamResponse;
use crate::net::header_fields::strip_hop_by_hop;
use crate::net::memory_budget::{MemoryBudget, Reservation, SMALL_BODY_BYTES};
use crate::net::response_body::{ResponseBody, StreamProgress, StreamedBody};
use crate::net::upstream::response_classification::{
    ResponseClass, ResponseHead, StatusPolicy, is_marked_unprocessed,
};
use crate::net::upstream::transport::AttemptResult;

/// Memory that a streamed response reserves, which covers the full buffers of its two connections.
const STREAM_RESERVATION_BYTES: usize = 96 << 10;

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
    /// Whether long successful responses are streamed; otherwise all responses are read completely.
    pub streaming: bool,
}

/// A response that was read completely or whose start was read.
pub enum ReadResponse {
    /// The response is complete or has failed.
    Complete(AttemptResult),
    /// The response is streamed.
    Streaming(StreamingResponse),
}

/// A streamed response whose start has been received.
pub struct StreamingResponse {
    /// The response.
    pub response: UpstreamResponse,
    /// Progress of the stream.
    pub progress: Rc<StreamProgress>,
}

/// The start of a body.
struct BodyStart {
    data: Bytes,
    /// Whether the body ends with this data.
    is_complete: bool,
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
    pub async fn read(&self, response: Response<Incoming>, method: &Method) -> ReadResponse {
        let (parts, body) = response.into_parts();
        let length = body.size_hint().exact();
        let head = ResponseHead {
            status: parts.status,
            unprocessed: is_marked_unprocessed(&parts.headers),
            delimited: length.is_some()
                || parts.headers.contains_key(header::TRANSFER_ENCODING)
                || announces_close(&parts.headers),
        };
        if self.status_policy.is_unprocessed_rejection(&head) {
            // The body is read only so that the connection can be reused.
            let _ = Limited::new(body, SMALL_BODY_BYTES).collect().await;
            return ReadResponse::with_outcome(AttemptOutcome::Rejected);
        }
        let max = length.unwrap_or(self.max_unsized_body);
        if max > self.max_body {
            return ReadResponse::reset();
        }
        let class = self.status_policy.classify(&head);
        let is_long = length.is_none_or(|length| length > SMALL_BODY_BYTES as u64);
        let is_success = class == ResponseClass { outcome: AttemptOutcome::Success, forward: true };
        if self.streaming && is_success && is_long {
            self.read_streamed(parts, body, length, method).await
        } else {
            self.read_complete(parts, body, length, max, class, method).await
        }
    }

    /// Reads the start of a body and streams the rest. A body without a stated length may turn out to be short; it is
    /// then not streamed.
    async fn read_streamed(
        &self,
        parts: Parts,
        mut body: Incoming,
        length: Option<u64>,
        method: &Method,
    ) -> ReadResponse {
        let threshold = if length.is_some() { 0 } else { SMALL_BODY_BYTES };
        let Some(start) = read_start(&mut body, threshold).await else { return ReadResponse::reset() };
        if start.is_complete {
            let response = Some(self.response(parts, start.data.into(), method));
            let result = AttemptResult::without_response(AttemptOutcome::Success);
            return ReadResponse::Complete(AttemptResult { response, ..result });
        }
        let mut reservation = self.memory.reservation();
        if !reservation.try_grow_to(STREAM_RESERVATION_BYTES) {
            return ReadResponse::reset();
        }
        let (stream, progress) = StreamedBody::new(start.data, body, length, reservation);
        let response = self.response(parts, ResponseBody::Stream(Box::new(stream)), method);
        ReadResponse::Streaming(StreamingResponse { response, progress })
    }

    /// Reads a complete body. Memory for a stated length is reserved before the body is read.
    async fn read_complete(
        &self,
        parts: Parts,
        body: Incoming,
        length: Option<u64>,
        max: u64,
        class: ResponseClass,
        method: &Method,
    ) -> ReadResponse {
        let mut reservation = self.memory.reservation();
        if length.is_some_and(|length| length > SMALL_BODY_BYTES as u64)
            && !reservation.try_grow_to(max as usize)
        {
            return ReadResponse::reset();
        }
        let Some(body) = read_full(body, max, &mut reservation).await else { return ReadResponse::reset() };
        let response =
            class.forward.then(|| self.response(parts, reservation.attach_to(body).into(), method));
        ReadResponse::Complete(AttemptResult { response, ..AttemptResult::without_response(class.outcome) })
    }

    fn response(&self, parts: Parts, body: ResponseBody, method: &Method) -> UpstreamResponse {
        let headers = self.forwarded_headers(parts.headers, parts.status, method);
        UpstreamResponse { status: parts.status, headers, body }
    }

    /// Returns the header fields to forward. A gateway keeps the `Content-Length` of a response without a body, which
    /// states how long the body would be (RFC 9110 section 8.6).
    fn forwarded_headers(&self, mut headers: HeaderMap, status: StatusCode, method: &Method) -> HeaderMap {
        if self.status_policy == StatusPolicy::Gateway {
            let is_bodiless = *method == Method::HEAD || status == StatusCode::NOT_MODIFIED;
            let length = headers.remove(header::CONTENT_LENGTH).filter(|_| is_bodiless);
            strip_hop_by_hop(&mut headers);
            if let Some(length) = length {
                headers.insert(header::CONTENT_LENGTH, length);
            }
        }
        headers
    }
}

/// Whether the endpoint announces that it closes the connection after this response. The close may then mark the end
/// of the body (RFC 9112 section 6.3), because a broken connection shows as a reset. Without the announcement, a
/// truncated response would look complete.
fn announces_close(headers: &HeaderMap) -> bool {
    let values = headers.get_all(header::CONNECTION).iter().filter_map(|value| value.to_str().ok());
    values.flat_map(|value| value.split(',')).any(|option| option.trim().eq_ignore_ascii_case("close"))
}

/// Reads a body until more than `threshold` bytes have been received or it ends; returns `None` if it is aborted.
async fn read_start(body: &mut Incoming, threshold: usize) -> Option<BodyStart> {
    let mut start = BytesMut::new();
    while start.len() <= threshold {
        let Some(frame) = body.frame().await else {
            return Some(BodyStart { data: start.freeze(), is_complete: true });
        };
        if let Ok(data) = frame.ok()?.into_data() {
            start.extend_from_slice(&data);
        }
    }
    Some(BodyStart { data: start.freeze(), is_complete: false })
}

/// Reads a complete body of at most `max` bytes; returns `None` if it is longer, is aborted, or exceeds the memory
/// budget.
async fn read_full(mut body: Incoming, max: u64, reservation: &mut Reservation) -> Option<Bytes> {
    let mut first: Option<Bytes> = None;
    let mut joined = BytesMut::new();
    let mut size = 0;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.ok()?.into_data() else { continue };
        size += data.len();
        if size as u64 > max || !reservation.try_grow_to_fit(size) {
            return None;
        }
        // Most bodies arrive in a single frame, which is passed on without copying.
        match first.take() {
            None if joined.is_empty() => first = Some(data),
            None => joined.extend_from_slice(&data),
            Some(piece) => {
                joined.reserve(piece.len() + data.len());
                joined.extend_from_slice(&piece);
                joined.extend_from_slice(&data);
            }
        }
    }
    Some(first.unwrap_or_else(|| joined.freeze()))
}
