//! The newest events in a fixed memory, as pages that can be read each by itself: the oldest page makes way for a new one,
//! so that a reader always finds whole records.

use std::collections::VecDeque;

use pumicehead_policy::Nanos;

use crate::event::{Event, PoolId};
use crate::wire_format::{Reader, put};

/// Bytes of a page: what is lost at once when the ring wraps. A record takes some 20 bytes.
pub const PAGE_BYTES: usize = 4 << 10;
/// A record's own overhead is far below this, and names are cut: a longer one is a fault.
const LONGEST_RECORD: usize = 512;
/// Nanoseconds of a unit of recorded times.
pub const TIME_UNIT: Nanos = 1_000;

/// Events in the order of their times.
#[derive(Debug)]
pub struct EventRing {
    pages: VecDeque<Vec<u8>>,
    most: usize,
    /// The time of the last record of the newest page.
    last: Nanos,
    /// Records that had to make way.
    wrapped: u64,
    /// Records on each page.
    counts: VecDeque<u32>,
}

/// A record as it is read.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// When, to the microsecond.
    pub at: Nanos,
    /// Of which pool.
    pub pool: PoolId,
    /// What.
    pub event: Event,
}

impl EventRing {
    /// Of at most so many bytes, two pages at the least.
    #[must_use]
    pub fn new(memory: usize) -> Self {
        Self {
            pages: VecDeque::new(),
            most: (memory / PAGE_BYTES).max(2),
            last: 0,
            wrapped: 0,
            counts: VecDeque::new(),
        }
    }

    /// Adds an encoded event. Times may not go back; one that does counts as the last.
    pub fn push(&mut self, at: Nanos, pool: PoolId, event: &[u8]) {
        if event.len() > LONGEST_RECORD {
            return;
        }
        // Room for the three numbers ahead at their longest.
        let full = self.pages.back().is_none_or(|page| page.len() + event.len() + 30 > PAGE_BYTES);
        if full {
            self.start_page(at);
        }
        let Some(page) = self.pages.back_mut() else { return };
        append_record(page, &mut self.last, at, pool, event);
        if let Some(count) = self.counts.back_mut() {
            *count += 1;
        }
    }

    /// Begins a page.
    fn start_page(&mut self, at: Nanos) {
        let mut page = if self.pages.len() >= self.most {
            self.wrapped += u64::from(self.counts.pop_front().unwrap_or_default());
            self.pages.pop_front().unwrap_or_default()
        } else {
            Vec::with_capacity(PAGE_BYTES)
        };
        page.clear();
        self.last = at / TIME_UNIT * TIME_UNIT;
        page.extend_from_slice(&self.last.to_le_bytes());
        self.pages.push_back(page);
        self.counts.push_back(0);
    }

    /// The pages, the oldest first.
    pub fn pages(&self) -> impl Iterator<Item = &[u8]> {
        self.pages.iter().map(Vec::as_slice)
    }

    /// Records that have made way since the start.
    #[must_use]
    pub fn overwritten_events(&self) -> u64 {
        self.wrapped
    }

    /// Bytes that it holds.
    #[must_use]
    pub fn memory_used(&self) -> usize {
        self.pages.iter().map(Vec::capacity).sum()
    }
}

/// Appends a record to a page or a story that began at `last` or whose last record is of then.
pub fn append_record(page: &mut Vec<u8>, last: &mut Nanos, at: Nanos, pool: PoolId, event: &[u8]) {
    let steps = at.saturating_sub(*last) / TIME_UNIT;
    *last += steps * TIME_UNIT;
    put(page, event.len() as u64);
    put(page, steps);
    put(page, u64::from(pool.0));
    page.extend_from_slice(event);
}

/// The records of a page or a story, as far as they can be read, and whether that is all.
#[must_use]
pub fn decode_records(page: &[u8]) -> (Vec<Record>, bool) {
    let mut from = Reader(page);
    let mut all = Vec::new();
    let Some(start) = from.take(8).and_then(|bytes| bytes.try_into().ok()) else {
        return (all, page.is_empty());
    };
    let mut at = Nanos::from_le_bytes(start);
    while !from.is_empty() {
        let mut next = || {
            let length = from.small::<usize>()?;
            let (steps, pool) = (from.number()?, PoolId(from.small()?));
            Some((steps, pool, from.take(length)?))
        };
        let Some((steps, pool, bytes)) = next() else { return (all, false) };
        at = at.saturating_add(steps.saturating_mul(TIME_UNIT));
        // One that a later version has added is passed over.
        if let Some(event) = Event::decode(&mut Reader(bytes)) {
            all.push(Record { at, pool, event });
        }
    }
    (all, true)
}
