//! Reads a server's answer as a whole, within bounds.

use std::rc::Rc;
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body as _, Incoming};
use hyper::header::{self, HeaderMap};
use hyper::{Method, Response, StatusCode};
use pumicehead_policy::AttemptOutcome;

use crate::net::ask::Served;
use crate::net::body::{Body, Passing, Stream};
use crate::net::room::{Room, SHORT};
use crate::net::transport::End;
use crate::net::verdict::{Reading, Seen, Verdict};

/// How answers are read.
#[derive(Clone)]
pub struct Reader {
    /// What they mean.
    pub reading: Reading,
    /// Longest body; what is stated longer fails at once.
    pub longest: u64,
    /// Longest one whose length is not stated.
    pub longest_unstated: u64,
    /// Memory for long ones.
    pub room: Arc<Room>,
    /// Long ones pass through as they come; else all are read whole.
    pub passes: bool,
}

/// What becomes of an answer.
pub enum Read {
    /// It is over.
    Whole(End),
    /// It passes through: what is there of it, and how to follow it.
    Begun(Served, Rc<Passing>),
}

/// What a stream takes of the room for long answers: the buffers of its two connections at their fullest.
const STREAM: usize = 96 << 10;

impl Reader {
    /// Reads an answer to the end. What is not whole, too long, or can't be known to be whole is a reset.
    pub async fn read(&self, response: Response<Incoming>, method: &Method) -> Read {
        let (parts, mut body) = response.into_parts();
        let length = body.size_hint().exact();
        let seen = Seen {
            status: parts.status,
            unprocessed: parts.headers.get("x-unprocessed").is_some_and(|value| value == "1"),
            framed: length.is_some()
                || parts.headers.contains_key(header::TRANSFER_ENCODING)
                || says_close(&parts.headers),
        };
        if self.reading.turned_away(&seen) {
            // Whatever becomes of the body.
            let _ = Limited::new(body, SHORT).collect().await;
            return Read::Whole(End::of(AttemptOutcome::Rejected));
        }
        let reset = || Read::Whole(End::of(AttemptOutcome::Reset));
        let most = length.unwrap_or(self.longest_unstated);
        if most > self.longest {
            return reset();
        }
        let verdict = self.reading.whole(&seen);
        let passes = self.passes && verdict == Verdict { outcome: AttemptOutcome::Success, pass: true };
        let head = |headers, body| Served {
            status: parts.status,
            headers: self.fields(headers, parts.status, method),
            body,
        };
        if passes && length.is_none_or(|length| length > SHORT as u64) {
            let least = if length.is_some() { 0 } else { SHORT };
            let Some((start, ended)) = start(&mut body, least).await else { return reset() };
            if ended {
                let answer = Some(head(parts.headers, start.into()));
                return Read::Whole(End { answer, ..End::of(verdict.outcome) });
            }
            let mut part = self.room.part();
            if !part.grow(STREAM) {
                return reset();
            }
            let (stream, passing) = Stream::new(start, body, length, part);
            return Read::Begun(head(parts.headers, Body::Stream(Box::new(stream))), passing);
        }
        // Room for what is stated is taken before any of it has come, so that it can't run out on the way.
        let mut part = self.room.part();
        if length.is_some_and(|length| length > SHORT as u64) && !part.grow(most as usize) {
            return reset();
        }
        let Some(body) = collect(body, most, &mut part).await else { return reset() };
        let answer = verdict.pass.then(|| head(parts.headers, part.keep(body).into()));
        Read::Whole(End { answer, ..End::of(verdict.outcome) })
    }

    fn fields(&self, mut headers: HeaderMap, status: StatusCode, method: &Method) -> HeaderMap {
        if self.reading == Reading::Gateway {
            // Of an answer without a body it tells what there would be (RFC 9110 section 8.6).
            let bodiless = *method == Method::HEAD || status == StatusCode::NOT_MODIFIED;
            let length = headers.remove(header::CONTENT_LENGTH).filter(|_| bodiless);
            crate::net::fields::strip_hop_by_hop(&mut headers);
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
async fn collect(mut body: Incoming, most: u64, part: &mut crate::net::room::Part) -> Option<Bytes> {
    let mut first: Option<Bytes> = None;
    let mut whole = BytesMut::new();
    let mut size = 0;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.ok()?.into_data() else { continue };
        size += data.len();
        if size as u64 > most || size > SHORT.max(part.size()) && !part.grow(size.next_multiple_of(SHORT)) {
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
