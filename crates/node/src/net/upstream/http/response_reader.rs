//! Reads the response of an HTTP endpoint: as a whole within bounds, or streamed.

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

/// Memory that a streamed response reserves: the buffers of its two connections, when full.
const STREAM_RESERVATION_BYTES: usize = 96 << 10;

/// How responses are read.
#[derive(Clone)]
pub struct ResponseReader {
    /// What statuses mean.
    pub status_policy: StatusPolicy,
    /// Greatest number of bytes of a body; a longer stated length fails at once.
    pub max_body: u64,
    /// Greatest number of bytes of a body whose length is not stated.
    pub max_unsized_body: u64,
    /// Memory for long bodies.
    pub memory: Arc<MemoryBudget>,
    /// Whether long successful responses are streamed; otherwise all are read as a whole.
    pub streaming: bool,
}

/// A response as far as it was read.
pub enum ReadResponse {
    /// It is complete, or has failed.
    Complete(AttemptResult),
    /// It is streamed.
    Streaming(StreamingResponse),
}

/// A streamed response whose start has come.
pub struct StreamingResponse {
    /// The response.
    pub response: UpstreamResponse,
    /// To follow its stream.
    pub progress: Rc<StreamProgress>,
}

/// The start of a body.
struct BodyStart {
    data: Bytes,
    /// The body ends with it.
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
    /// Reads a response. One that is incomplete, too long, or not known to be complete is a reset.
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
            // The body is read to reuse the connection; it changes nothing.
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

    /// Reads the start of a body and streams the rest. One without a stated length may still turn out to be short.
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

    /// Reads a body as a whole. Memory for a stated length is reserved before any of it has come.
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

    /// Returns the fields that are forwarded. A gateway keeps the length of a response without a body, which states what
    /// the body's length would be (RFC 9110 section 8.6).
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

/// Whether the endpoint announces that the connection ends with this response. Its end may then be the body's end (RFC 9112
/// section 6.3), since a connection that broke is reset. Without the announcement a truncated response looks complete.
fn announces_close(headers: &HeaderMap) -> bool {
    let values = headers.get_all(header::CONNECTION).iter().filter_map(|value| value.to_str().ok());
    values.flat_map(|value| value.split(',')).any(|option| option.trim().eq_ignore_ascii_case("close"))
}

/// Reads a body until more than `threshold` bytes have come or it ends; `None` where it breaks off.
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

/// Reads a whole body of at most `max` bytes; `None` where it is longer, breaks off, or exceeds the memory budget.
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
        // Most bodies come in one piece, which is passed on without a copy.
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
