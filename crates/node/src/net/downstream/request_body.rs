//! Reads the body of an HTTP request.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use pumicehead_slow_peer::{PaceLimits, PaceMonitor};
use tokio::time::timeout;

use super::body_buffer::{BodyBuffer, BodySource, MemoryWait, reservation_for};
use super::connection::{DownstreamConnection, MIN_BODY_STALL_BEFORE_EVICTION};
use crate::net::admission::RequestError;
use crate::net::memory_budget::MemoryBudget;
use crate::net::upload::{UPLOAD_PACE_LIMITS, Upload, UploadStart};

/// Maximum part of a streamed body that is buffered if the memory budget allows it, in bytes. A request can be
/// retried until more than the buffered part is sent.
const MAX_RETRYABLE_BYTES: usize = 1 << 20;
/// Interval at which the pace of a body is checked.
const PACE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A body that was read completely or in part.
pub enum ReceivedBody {
    /// The complete body.
    Full(Bytes),
    /// The start of the body, and the rest that has not been read yet.
    Partial(Bytes, Rc<Upload>),
}

impl ReceivedBody {
    /// Whether there is no body.
    pub fn is_empty(&self) -> bool {
        matches!(self, Self::Full(body) if body.is_empty())
    }

    /// Returns the rest that has not been read yet.
    pub fn upload(&self) -> Option<Rc<Upload>> {
        if let Self::Partial(_, upload) = self { Some(upload.clone()) } else { None }
    }

    /// Returns the buffered part and the rest.
    pub fn into_parts(self) -> (Bytes, Option<Rc<Upload>>) {
        match self {
            Self::Full(body) => (body, None),
            Self::Partial(start, upload) => (start, Some(upload)),
        }
    }
}

/// Reads a complete body of at most `max` bytes.
///
/// # Errors
/// The body is longer or incomplete, or there is no memory for it.
pub async fn read_full(
    mut body: Incoming,
    max: usize,
    source: BodySource<'_>,
) -> Result<Bytes, RequestError> {
    let length = body.size_hint().upper().and_then(|length| usize::try_from(length).ok());
    let mut buffer = BodyBuffer::new(source, length.unwrap_or(max).min(max));
    if length.is_some() {
        buffer.prepare().await?;
    }
    while let Some(data) = next_data(&mut body, max, buffer.len()).await? {
        buffer.push(&data).await?;
    }
    Ok(buffer.finish())
}

/// Reads a complete body of at most `max` bytes without keeping it.
///
/// # Errors
/// The body is longer or incomplete.
pub async fn discard(
    mut body: Incoming,
    max: usize,
    connection: &DownstreamConnection,
) -> Result<(), RequestError> {
    connection.start_receiving();
    let mut received = 0;
    while let Some(data) = next_data(&mut body, max, received).await? {
        received += data.len();
    }
    connection.set_busy();
    Ok(())
}

/// Returns the next part of a body of at most `max` bytes of which `received` were read, or `None` at its end.
async fn next_data(body: &mut Incoming, max: usize, received: usize) -> Result<Option<Bytes>, RequestError> {
    if received as u64 + body.size_hint().lower() > max as u64 {
        return Err(RequestError::BodyTooLong);
    }
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| RequestError::BodyIncomplete)?.into_data() else { continue };
        if received + data.len() > max {
            return Err(RequestError::BodyTooLong);
        }
        return Ok(Some(data));
    }
    Ok(None)
}

/// Returns the monitor of a body that waited for memory. As long as memory is that scarce, a client may pause no longer
/// than until it may be evicted; it may have stopped before the wait.
fn pace_after_wait() -> PaceMonitor {
    let limits = PaceLimits { idle_timeout: MIN_BODY_STALL_BEFORE_EVICTION, ..UPLOAD_PACE_LIMITS };
    PaceMonitor::new(limits, Instant::now())
}

/// Reads a body of at most `max_streamed` bytes: completely if it has at most `max_buffered` bytes or the memory
/// budget allows more, otherwise only its start. `time_left` is how long the client waits after the last byte.
///
/// # Errors
/// The body is longer, incomplete or too slow, or there is no memory for it.
pub async fn read_buffered(
    mut body: Incoming,
    max_buffered: usize,
    max_streamed: u64,
    time_left: Duration,
    memory: &Arc<MemoryBudget>,
    source: BodySource<'_>,
) -> Result<ReceivedBody, RequestError> {
    let length = body.size_hint().exact();
    if length.is_some_and(|length| length > max_streamed) {
        return Err(RequestError::BodyTooLong);
    }
    let mut reservation = memory.reservation();
    // Memory for the stated length is reserved all at once. If it were reserved in pieces, many bodies could hold
    // some memory and none of them enough.
    let wanted = length.map_or(max_buffered, |length| {
        usize::try_from(length).unwrap_or(MAX_RETRYABLE_BYTES).min(MAX_RETRYABLE_BYTES)
    });
    let (mut buffer, limit) = if wanted > max_buffered && reservation.try_grow_to(reservation_for(wanted)) {
        (BodyBuffer::reserved(source, wanted, reservation), wanted)
    } else {
        (BodyBuffer::new(source, wanted.min(max_buffered)), max_buffered)
    };
    let mut pace = PaceMonitor::new(UPLOAD_PACE_LIMITS, Instant::now());
    if length.is_some() && buffer.prepare().await? == MemoryWait::Waited {
        pace = pace_after_wait();
    }
    loop {
        pace.on_demand(Instant::now());
        let frame = match timeout(PACE_CHECK_INTERVAL, body.frame()).await {
            Err(_) => {
                pace.check(Instant::now()).map_err(|_| RequestError::BodyTimeout)?;
                continue;
            }
            Ok(None) => return Ok(ReceivedBody::Full(buffer.finish())),
            Ok(Some(frame)) => frame.map_err(|_| RequestError::BodyIncomplete)?,
        };
        let Ok(data) = frame.into_data() else { continue };
        pace.on_bytes(data.len() as u64, Instant::now());
        pace.check(Instant::now()).map_err(|_| RequestError::BodyTimeout)?;
        if buffer.len() + data.len() > limit {
            let allowed = max_streamed.checked_sub(buffer.len() as u64).ok_or(RequestError::BodyTooLong)?;
            let start = UploadStart { next: data, rest: body, length, allowed, time_left };
            let upload = Upload::new(start, source.connection.stream.clone(), memory.clone());
            return Ok(ReceivedBody::Partial(buffer.finish(), upload));
        }
        if buffer.push(&data).await? == MemoryWait::Waited {
            pace = pace_after_wait();
        }
    }
}
