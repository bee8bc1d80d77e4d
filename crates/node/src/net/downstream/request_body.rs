//! Reads a request's body, and checks how its head says where that ends.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use pumicehead_slow_peer::Pace;
use tokio::time::timeout;

use crate::net::admission::RequestError;
use crate::net::memory_budget::MemoryBudget;
use crate::net::upload::{RULES, Upload};

/// How a request's head says where its body ends.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
    /// By its length, or there is none.
    Length(u64),
    /// In chunks.
    Chunked,
    /// In more than one way.
    Ambiguous,
}

impl BodyFraming {
    /// Read from the head as it came.
    pub fn of(head: &[u8]) -> Self {
        let lines = head.split(|&byte| byte == b'\n').map(<[u8]>::trim_ascii_end);
        // After the request's line, ahead of which empty ones are allowed.
        let fields = lines.skip_while(|line| line.is_empty()).skip(1);
        let (mut length, mut lengths, mut chunked) = (None, 0, false);
        for line in fields {
            let Some(colon) = line.iter().position(|&byte| byte == b':') else { continue };
            let (name, value) = (line[..colon].trim_ascii(), &line[colon + 1..]);
            if name.eq_ignore_ascii_case(b"content-length") {
                length = str::from_utf8(value).ok().and_then(|text| text.trim().parse().ok());
                lengths += 1;
            } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
                chunked = true;
            }
        }
        match (lengths, chunked) {
            (0, false) => Self::Length(0),
            (0, true) => Self::Chunked,
            (1, false) => length.map_or(Self::Ambiguous, Self::Length),
            _ => Self::Ambiguous,
        }
    }

    /// Bytes of the body, as far as is known.
    pub fn body(self) -> u64 {
        if let Self::Length(length) = self { length } else { u64::MAX }
    }
}

/// A whole body of at most so many bytes.
///
/// # Errors
/// One that is longer or breaks off.
pub async fn read_full(mut body: Incoming, longest: usize) -> Result<Bytes, RequestError> {
    if body.size_hint().lower() > longest as u64 {
        return Err(RequestError::BodyTooLong);
    }
    let mut whole = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| RequestError::BodyIncomplete)?.into_data() else { continue };
        if whole.len() + data.len() > longest {
            return Err(RequestError::BodyTooLong);
        }
        whole.extend_from_slice(&data);
    }
    Ok(whole.into())
}

/// Most that is held of a longer body, where there is room: so much can be sent again.
const HELD: usize = 1 << 20;
/// How often a body's pace is looked at.
const LOOK: Duration = Duration::from_millis(100);

/// A body as far as it has come.
pub enum ReceivedBody {
    /// All of it.
    Full(Bytes),
    /// It is longer than what is held of it.
    Partial(Bytes, Rc<Upload>),
}

impl ReceivedBody {
    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        matches!(self, Self::Full(body) if body.is_empty())
    }

    /// What is still to come.
    pub fn upload(&self) -> Option<Rc<Upload>> {
        if let Self::Partial(_, rest) = self { Some(rest.clone()) } else { None }
    }

    /// What is held, and the rest.
    pub fn into_parts(self) -> (Bytes, Option<Rc<Upload>>) {
        match self {
            Self::Full(body) => (body, None),
            Self::Partial(held, rest) => (held, Some(rest)),
        }
    }
}

/// A body, whole where it is no longer than `least` or there is room for it, else as much as is held; at most `most` bytes.
///
/// # Errors
/// One that is longer, breaks off, or is too slow.
pub async fn read_buffered(
    mut body: Incoming,
    least: usize,
    most: u64,
    left: Duration,
    room: &Arc<MemoryBudget>,
) -> Result<ReceivedBody, RequestError> {
    let length = body.size_hint().exact();
    if length.is_some_and(|length| length > most) {
        return Err(RequestError::BodyTooLong);
    }
    let mut part = room.reservation();
    // Room for what is stated is taken at once: taken by pieces, many would have some and none enough.
    let wanted = length.map_or(least, |length| usize::try_from(length).unwrap_or(HELD).min(HELD));
    let held = if wanted > least && part.try_grow(wanted) { wanted } else { least };
    let mut whole = BytesMut::new();
    let mut pace = Pace::new(RULES, Instant::now());
    loop {
        pace.wants_more(Instant::now());
        let frame = match timeout(LOOK, body.frame()).await {
            Err(_) => {
                pace.look(Instant::now()).map_err(|_| RequestError::BodyTimeout)?;
                continue;
            }
            Ok(None) => return Ok(ReceivedBody::Full(part.attach_to(whole.freeze()))),
            Ok(Some(frame)) => frame.map_err(|_| RequestError::BodyIncomplete)?,
        };
        let Ok(data) = frame.into_data() else { continue };
        pace.moved(data.len() as u64, Instant::now());
        pace.look(Instant::now()).map_err(|_| RequestError::BodyTimeout)?;
        whole.extend_from_slice(&data);
        if whole.len() > held || whole.len() == held && !body.is_end_stream() {
            let allowed = most.checked_sub(whole.len() as u64).ok_or(RequestError::BodyTooLong)?;
            let rest = Upload::new(body, length, allowed, left);
            return Ok(ReceivedBody::Partial(part.attach_to(whole.freeze()), rest));
        }
    }
}
