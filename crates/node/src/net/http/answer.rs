//! Reads a server's answer as a whole, within bounds.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderMap};
use hyper::{Method, Response, StatusCode};
use pumicehead_policy::interface::Outcome;

use crate::net::ask::Served;
use crate::net::room::{Room, SHORT};
use crate::net::transport::End;
use crate::net::verdict::{Reading, Seen};

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
}

impl Reader {
    /// Reads an answer to the end. What is not whole, too long, or can't be known to be whole is a reset.
    pub async fn read(&self, response: Response<Incoming>, method: &Method) -> End {
        let (parts, body) = response.into_parts();
        // Where only the connection's end would end the body, a cut answer looks like a whole one.
        let length = body.size_hint().exact();
        let seen = Seen {
            status: parts.status,
            unprocessed: parts.headers.get("x-unprocessed").is_some_and(|value| value == "1"),
            framed: length.is_some() || parts.headers.contains_key(header::TRANSFER_ENCODING),
        };
        if self.reading.turned_away(&seen) {
            // Whatever becomes of the body.
            let _ = Limited::new(body, SHORT).collect().await;
            return End::of(Outcome::Full);
        }
        let most = length.unwrap_or(self.longest_unstated);
        if most > self.longest {
            return End::of(Outcome::Reset);
        }
        // Room for what is stated is taken before any of it has come, so that it can't run out on the way.
        let mut part = self.room.part();
        if length.is_some_and(|length| length > SHORT as u64) && !part.grow(most as usize) {
            return End::of(Outcome::Reset);
        }
        let Some(body) = collect(body, most, &mut part).await else { return End::of(Outcome::Reset) };
        let verdict = self.reading.whole(&seen);
        let answer = verdict.pass.then(|| Served {
            status: parts.status,
            headers: self.fields(parts.headers, parts.status, method),
            body: part.keep(body),
        });
        End { outcome: verdict.outcome, answer, refused: false }
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
