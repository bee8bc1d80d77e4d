//! Reads a server's answer as a whole, within bounds.

use std::rc::Rc;
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body as _, Incoming};
use hyper::header::{self, HeaderMap};
use hyper::{Method, Response, StatusCode};
use pumicehead_policy::AttemptOutcome;

use crate::net::exchange::UpstreamResponse;
use crate::net::memory_budget::{MemoryBudget, SMALL_BODY_BYTES};
use crate::net::response_body::{ResponseBody, StreamProgress, StreamedBody};
use crate::net::upstream::response_classification::{ResponseClass, ResponseHead, StatusPolicy};
use crate::net::upstream::transport::AttemptResult;

/// How answers are read.
#[derive(Clone)]
pub struct ResponseReader {
    /// What they mean.
    pub status_policy: StatusPolicy,
    /// Longest body; what is stated longer fails at once.
    pub max_body: u64,
    /// Longest one whose length is not stated.
    pub max_unsized_body: u64,
    /// Memory for long ones.
    pub memory: Arc<MemoryBudget>,
    /// Long ones pass through as they come; else all are read whole.
    pub streaming: bool,
}

/// What becomes of an answer.
pub enum ReadResponse {
    /// It is over.
    Complete(AttemptResult),
    /// It passes through: what is there of it, and how to follow it.
    Streaming(UpstreamResponse, Rc<StreamProgress>),
}

/// What a stream takes of the room for long answers: the buffers of its two connections at their fullest.
const STREAM: usize = 96 << 10;

impl ResponseReader {
    /// Reads an answer to the end. What is not whole, too long, or can't be known to be whole is a reset.
    pub async fn read(&self, response: Response<Incoming>, method: &Method) -> ReadResponse {
        let (parts, mut body) = response.into_parts();
        let length = body.size_hint().exact();
        let seen = ResponseHead {
            status: parts.status,
            unprocessed: parts.headers.get("x-unprocessed").is_some_and(|value| value == "1"),
            delimited: length.is_some()
                || parts.headers.contains_key(header::TRANSFER_ENCODING)
                || says_close(&parts.headers),
        };
        if self.status_policy.is_unprocessed_rejection(&seen) {
            // Whatever becomes of the body.
            let _ = Limited::new(body, SMALL_BODY_BYTES).collect().await;
            return ReadResponse::Complete(AttemptResult::without_response(AttemptOutcome::Rejected));
        }
        let reset = || ReadResponse::Complete(AttemptResult::without_response(AttemptOutcome::Reset));
        let most = length.unwrap_or(self.max_unsized_body);
        if most > self.max_body {
            return reset();
        }
        let verdict = self.status_policy.classify(&seen);
        let passes =
            self.streaming && verdict == ResponseClass { outcome: AttemptOutcome::Success, forward: true };
        let head = |headers, body| UpstreamResponse {
            status: parts.status,
            headers: self.fields(headers, parts.status, method),
            body,
        };
        if passes && length.is_none_or(|length| length > SMALL_BODY_BYTES as u64) {
            let least = if length.is_some() { 0 } else { SMALL_BODY_BYTES };
            let Some((start, ended)) = start(&mut body, least).await else { return reset() };
            if ended {
                let answer = Some(head(parts.headers, start.into()));
                return ReadResponse::Complete(AttemptResult {
                    response: answer,
                    ..AttemptResult::without_response(verdict.outcome)
                });
            }
            let mut part = self.memory.reservation();
            if !part.try_grow(STREAM) {
                return reset();
            }
            let (stream, passing) = StreamedBody::new(start, body, length, part);
            return ReadResponse::Streaming(
                head(parts.headers, ResponseBody::Stream(Box::new(stream))),
                passing,
            );
        }
        // Room for what is stated is taken before any of it has come, so that it can't run out on the way.
        let mut part = self.memory.reservation();
        if length.is_some_and(|length| length > SMALL_BODY_BYTES as u64) && !part.try_grow(most as usize) {
            return reset();
        }
        let Some(body) = collect(body, most, &mut part).await else { return reset() };
        let answer = verdict.forward.then(|| head(parts.headers, part.attach_to(body).into()));
        ReadResponse::Complete(AttemptResult {
            response: answer,
            ..AttemptResult::without_response(verdict.outcome)
        })
    }

    fn fields(&self, mut headers: HeaderMap, status: StatusCode, method: &Method) -> HeaderMap {
        if self.status_policy == StatusPolicy::Gateway {
            // Of an answer without a body it tells what there would be (RFC 9110 section 8.6).
            let bodiless = *method == Method::HEAD || status == StatusCode::NOT_MODIFIED;
            let length = headers.remove(header::CONTENT_LENGTH).filter(|_| bodiless);
            crate::net::header_fields::strip_hop_by_hop(&mut headers);
            if let Some(length) = length {
                headers.insert(header::CONTENT_LENGTH, length);
            }
        }
        headers
    }
}

/// Whether the server says that the connection ends with this answer. Then its end may be the body's end (RFC 9112 section
/// 6.3), and one that broke is still told from it: it is reset. Without that word a cut answer looks like a whole one.
fn says_close(headers: &HeaderMap) -> bool {
    let values = headers.get_all(header::CONNECTION).iter().filter_map(|value| value.to_str().ok());
    values.flat_map(|value| value.split(',')).any(|option| option.trim().eq_ignore_ascii_case("close"))
}

/// The start of a body, more than so many bytes unless it ends, and whether it has; `None` where it breaks off.
async fn start(body: &mut Incoming, more_than: usize) -> Option<(Bytes, bool)> {
    let mut start = BytesMut::new();
    while start.len() <= more_than {
        let Some(frame) = body.frame().await else { return Some((start.freeze(), true)) };
        if let Ok(data) = frame.ok()?.into_data() {
            start.extend_from_slice(&data);
        }
    }
    Some((start.freeze(), false))
}

/// A body of at most so many bytes; `None` where it is longer, breaks off, or finds no room.
async fn collect(
    mut body: Incoming,
    most: u64,
    part: &mut crate::net::memory_budget::Reservation,
) -> Option<Bytes> {
    let mut first: Option<Bytes> = None;
    let mut whole = BytesMut::new();
    let mut size = 0;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.ok()?.into_data() else { continue };
        size += data.len();
        if size as u64 > most
            || size > SMALL_BODY_BYTES.max(part.size())
                && !part.try_grow(size.next_multiple_of(SMALL_BODY_BYTES))
        {
            return None;
        }
        // Most answers come in one piece, which is passed on as it is.
        match first.take() {
            None if whole.is_empty() => first = Some(data),
            None => whole.extend_from_slice(&data),
            Some(piece) => {
                whole.reserve(piece.len() + data.len());
                whole.extend_from_slice(&piece);
                whole.extend_from_slice(&data);
            }
        }
    }
    Some(first.unwrap_or_else(|| whole.freeze()))
}
