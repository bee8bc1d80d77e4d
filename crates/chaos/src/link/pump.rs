//! Relays the bytes of one direction of a connection and delivers them at the times that [`LinkDirection`] computes.

use std::collections::VecDeque;
use std::io;
use std::time::Duration;

use rand::rngs::StdRng;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

use super::{LatenessGauge, LinkConditions, LinkDirection, LinkSettings, LinkState};
use crate::{Nanos, clock};

/// Size of the buffer for one read, in bytes.
const READ_BYTES: usize = 16 << 10;
/// Largest number of segments in flight in a direction. Beyond it nothing is read, so that the sender waits, as for a full
/// TCP window.
const MAX_SEGMENTS_IN_FLIGHT: usize = 64;

/// Bytes in flight: the result of one read.
struct Segment {
    /// When it arrives; `None` while the link is partitioned.
    due: Option<Nanos>,
    /// The bytes; empty at the end of the stream.
    bytes: Vec<u8>,
}

/// Options of one direction of a connection.
pub(super) struct PumpOptions {
    /// Settings of the link.
    pub settings: watch::Receiver<LinkSettings>,
    /// Selects the conditions of this direction from the state of the link.
    pub conditions: fn(&LinkState) -> &LinkConditions,
    /// Random numbers of this direction.
    pub rng: StdRng,
    /// Where its lateness is recorded.
    pub lateness: LatenessGauge,
}

/// One direction of a connection.
pub(super) struct Pump<R, W> {
    reader: R,
    writer: W,
    options: PumpOptions,
    direction: LinkDirection,
    in_flight: VecDeque<Segment>,
    reader_ended: bool,
}

impl<R: AsyncRead + Unpin, W: AsyncWrite + Unpin> Pump<R, W> {
    pub fn new(reader: R, writer: W, options: PumpOptions) -> Self {
        Self {
            reader,
            writer,
            options,
            direction: LinkDirection::default(),
            in_flight: VecDeque::new(),
            reader_ended: false,
        }
    }

    /// Relays bytes until the end of the stream has arrived, or the link is closed.
    pub async fn run(mut self) -> io::Result<()> {
        let mut buffer = vec![0; READ_BYTES];
        loop {
            let partitioned = self.schedule_held_segments();
            let next_due = self.in_flight.front().and_then(|segment| segment.due);
            tokio::select! {
                biased;
                // Segments that are in flight when the link is partitioned arrive once the partition has healed.
                () = wait_until(next_due), if !partitioned => {
                    if self.deliver_next().await? {
                        return Ok(());
                    }
                }
                changed = self.options.settings.changed() => if changed.is_err() {
                    return Ok(());
                },
                read = self.reader.read(&mut buffer),
                    if !self.reader_ended && self.in_flight.len() < MAX_SEGMENTS_IN_FLIGHT =>
                {
                    self.send(&buffer[..read?]);
                }
            }
        }
    }

    /// Schedules segments that a partition held back, if it has healed; returns whether the link is partitioned.
    fn schedule_held_segments(&mut self) -> bool {
        let settings = self.options.settings.borrow_and_update();
        let conditions = (self.options.conditions)(&settings.state);
        for segment in self.in_flight.iter_mut().filter(|segment| segment.due.is_none()) {
            segment.due = self.direction.segment_arrival(
                clock::now(),
                segment.bytes.len(),
                conditions,
                &mut self.options.rng,
            );
        }
        conditions.partitioned
    }

    /// Puts bytes in flight; no bytes mean the end of the stream.
    fn send(&mut self, bytes: &[u8]) {
        self.reader_ended = bytes.is_empty();
        let settings = self.options.settings.borrow();
        let conditions = (self.options.conditions)(&settings.state);
        let due =
            self.direction.segment_arrival(clock::now(), bytes.len(), conditions, &mut self.options.rng);
        self.in_flight.push_back(Segment { due, bytes: bytes.to_vec() });
    }

    /// Delivers the first segment; returns whether it was the end of the stream.
    async fn deliver_next(&mut self) -> io::Result<bool> {
        let Some(Segment { due: Some(due), bytes }) = self.in_flight.pop_front() else { return Ok(false) };
        self.options.lateness.record(due);
        if bytes.is_empty() {
            self.writer.shutdown().await?;
            return Ok(true);
        }
        self.writer.write_all(&bytes).await?;
        Ok(false)
    }
}

/// Waits until a time; forever if there is none.
async fn wait_until(due: Option<Nanos>) {
    let Some(due) = due else { return std::future::pending().await };
    let left = Duration::from_nanos(due.saturating_sub(clock::now()));
    if !left.is_zero() {
        sleep_until(Instant::now() + left).await;
    }
}
