//! Holds the bodies of responses, up to [`SMALL_BODY_BYTES`], within the memory for responses.

use std::pin::{Pin, pin};
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use tokio::time::{Instant, sleep};

use crate::net::memory_budget::{MemoryBudget, Reservation, SMALL_BODY_BYTES};
use crate::net::response_body::{BodyPieces, PieceBuffer, ResponseBody};
use crate::net::response_commit::{CommitReason, HoldDecision};
use crate::net::upstream::response_hold::ResponseHold;

/// Bodies up to this size, in bytes, need no reservation, so that they never wait for memory.
const UNRESERVED_BODY_BYTES: usize = 4 << 10;
/// Maximum time for which a response waits unread for memory. What the endpoint sends meanwhile stays in the kernel.
const MAX_MEMORY_WAIT: Duration = Duration::from_millis(500);
/// Interval at which a response that waits for memory is checked for having arrived.
const ARRIVAL_CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// A body that was held until it was complete or the response was decided about.
pub(super) enum HeldBody {
    /// The whole body.
    Complete(ResponseBody),
    /// The start of the body of a response that is committed.
    Committed(BodyPieces, CommitReason),
    /// The response is dropped in favor of another attempt.
    Replaced,
}

impl HeldBody {
    /// Returns what becomes of a body that is not complete.
    fn decided(decision: HoldDecision, start: BodyPieces) -> Self {
        match decision {
            HoldDecision::Commit(reason) => Self::Committed(start, reason),
            HoldDecision::Replace | HoldDecision::Hold => Self::Replaced,
        }
    }
}

/// The body of a response ended without being complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct BodyAborted;

/// What the attempt knows of a response that is being read.
#[derive(Clone, Copy)]
pub(super) struct ResponseSource<'a> {
    /// Returns the number of bytes of the response that have arrived, read or not.
    pub arrived_bytes: &'a dyn Fn() -> u64,
    /// How long the response may be held.
    pub hold: ResponseHold<'a>,
}

/// The memory for responses that are held.
pub(super) struct ResponseMemory<'a> {
    /// Its budget.
    pub budget: &'a Arc<MemoryBudget>,
    /// Where the response comes from.
    pub source: ResponseSource<'a>,
    /// Size of the response in bytes, if its length is stated.
    pub size: Option<u64>,
}

impl ResponseMemory<'_> {
    /// Waits for a reservation while the response is still arriving, which costs no time. Returns `None` if there is no
    /// memory when it has arrived, when the attempt is over, or within [`MAX_MEMORY_WAIT`].
    async fn reserve(
        &self,
        size: usize,
        mut over: Pin<&mut impl Future<Output = ()>>,
    ) -> Option<Reservation> {
        let mut reservation = self.budget.reservation();
        if reservation.try_grow_to(size) {
            return Some(reservation);
        }
        let due = Instant::now() + MAX_MEMORY_WAIT;
        let mut reserved = pin!(self.budget.reserve(u32::try_from(size).unwrap_or(u32::MAX)));
        while !self.has_arrived() && Instant::now() < due {
            tokio::select! {
                biased;
                reservation = reserved.as_mut() => return Some(reservation),
                () = over.as_mut() => return None,
                () = sleep(ARRIVAL_CHECK_INTERVAL) => {}
            }
        }
        None
    }

    fn has_arrived(&self) -> bool {
        self.size.is_some_and(|size| (self.source.arrived_bytes)() >= size)
    }
}

/// The next part of a body that is held.
enum NextPart {
    Data(Bytes),
    End,
    /// The time of the attempt is over.
    AttemptOver,
}

/// Holds a body of at most [`SMALL_BODY_BYTES`], or the start of a longer one whose length is not stated.
///
/// # Errors
/// The body is incomplete.
pub(super) async fn hold_small_body(
    body: &mut Incoming,
    memory: ResponseMemory<'_>,
) -> Result<HeldBody, BodyAborted> {
    let hold = memory.source.hold;
    let mut over = pin!(hold.over());
    let stated = body.size_hint().exact().and_then(|length| usize::try_from(length).ok());
    let mut start = BytesMut::new();
    if stated.is_none_or(|length| length <= UNRESERVED_BODY_BYTES) {
        while start.len() <= UNRESERVED_BODY_BYTES {
            match next_part(body, over.as_mut()).await? {
                NextPart::Data(data) => start.extend_from_slice(&data),
                NextPart::End => return Ok(HeldBody::Complete(start.freeze().into())),
                NextPart::AttemptOver => {
                    return Ok(HeldBody::decided(hold.decide_when_over(), start.freeze().into()));
                }
            }
        }
    }
    let Some(reservation) = memory.reserve(stated.unwrap_or(SMALL_BODY_BYTES), over.as_mut()).await else {
        return hold_without_memory(body, start, hold).await;
    };
    let mut buffer = PieceBuffer::new(reservation);
    buffer.push(&start);
    drop(start);
    while buffer.len() <= SMALL_BODY_BYTES {
        match next_part(body, over.as_mut()).await? {
            NextPart::Data(data) => buffer.push(&data),
            NextPart::End => return Ok(HeldBody::Complete(ResponseBody::Pieces(buffer.finish()))),
            NextPart::AttemptOver => {
                return Ok(HeldBody::decided(hold.decide_when_over(), buffer.finish()));
            }
        }
    }
    Ok(HeldBody::decided(hold.decide_beyond_limit(), buffer.finish()))
}

/// Holds the next piece of a body for which there is no memory. A response that is broken by then can still be replaced by
/// that of another attempt.
async fn hold_without_memory(
    body: &mut Incoming,
    mut start: BytesMut,
    hold: ResponseHold<'_>,
) -> Result<HeldBody, BodyAborted> {
    let decision = match next_part(body, pin!(hold.over())).await? {
        NextPart::Data(data) => {
            start.extend_from_slice(&data);
            hold.decide_without_memory()
        }
        NextPart::End => return Ok(HeldBody::Complete(start.freeze().into())),
        NextPart::AttemptOver => hold.decide_when_over(),
    };
    Ok(HeldBody::decided(decision, start.freeze().into()))
}

/// Holds the first piece of a body that is too long to be held.
///
/// # Errors
/// The body is incomplete.
pub(super) async fn hold_first_piece(
    body: &mut Incoming,
    hold: ResponseHold<'_>,
) -> Result<HeldBody, BodyAborted> {
    Ok(match next_part(body, pin!(hold.over())).await? {
        NextPart::Data(piece) => HeldBody::decided(hold.decide_beyond_limit(), piece.into()),
        NextPart::End => HeldBody::Complete(Bytes::new().into()),
        NextPart::AttemptOver => HeldBody::decided(hold.decide_when_over(), BodyPieces::default()),
    })
}

/// Returns the next part of a body. Data that has arrived comes before the end of the attempt.
async fn next_part(
    body: &mut Incoming,
    over: Pin<&mut impl Future<Output = ()>>,
) -> Result<NextPart, BodyAborted> {
    tokio::select! {
        biased;
        data = next_data(body) => Ok(data?.map_or(NextPart::End, NextPart::Data)),
        () = over => Ok(NextPart::AttemptOver),
    }
}

/// Reads a body of at most `max` bytes without keeping it.
///
/// # Errors
/// The body is longer or incomplete.
pub(super) async fn discard(body: &mut Incoming, max: u64) -> Result<(), BodyAborted> {
    let mut size = 0;
    while let Some(data) = next_data(body).await? {
        size += data.len() as u64;
        if size > max {
            return Err(BodyAborted);
        }
    }
    Ok(())
}

/// Returns the next data of a body, which is not empty, or `None` at its end.
async fn next_data(body: &mut Incoming) -> Result<Option<Bytes>, BodyAborted> {
    while let Some(frame) = body.frame().await {
        match frame.map_err(|_| BodyAborted)?.into_data() {
            Ok(data) if !data.is_empty() => return Ok(Some(data)),
            _ => {}
        }
    }
    Ok(None)
}
