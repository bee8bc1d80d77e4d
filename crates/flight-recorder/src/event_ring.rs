//! The newest events in fixed memory, as pages that can be decoded independently. The oldest page is overwritten first, as a
//! whole, so that readers never find partial records.

use std::collections::VecDeque;

use pumicehead_policy::Nanos;

use crate::event::{Event, PoolId};
use crate::wire_format::{Reader, put_varint};

/// Size of a page in bytes; a page is overwritten as a whole.
pub const PAGE_BYTES: usize = 4 << 10;
/// Size of the largest event that is recorded, in bytes; larger ones are dropped.
const MAX_EVENT_BYTES: usize = 512;
/// Resolution of recorded times, in nanoseconds.
pub const TIME_UNIT: Nanos = 1_000;

/// A ring of pages with events in order of time.
#[derive(Debug)]
pub struct EventRing {
    pages: VecDeque<Vec<u8>>,
    max_pages: usize,
    /// Time of the newest record.
    last_at: Nanos,
    /// Number of overwritten records.
    overwritten: u64,
    /// Number of records on each page.
    record_counts: VecDeque<u32>,
}

/// A decoded record.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// Time, to the microsecond.
    pub at: Nanos,
    /// Pool of the event.
    pub pool: PoolId,
    /// The event.
    pub event: Event,
}

impl EventRing {
    /// Creates a ring of at most `memory` bytes, but at least two pages.
    #[must_use]
    pub fn new(memory: usize) -> Self {
        Self {
            pages: VecDeque::new(),
            max_pages: (memory / PAGE_BYTES).max(2),
            last_at: 0,
            overwritten: 0,
            record_counts: VecDeque::new(),
        }
    }

    /// Appends an encoded event. A time before that of the last event is replaced with that of the last event.
    pub fn push(&mut self, at: Nanos, pool: PoolId, event: &[u8]) {
        if event.len() > MAX_EVENT_BYTES {
            return;
        }
        // Three integers of at most ten bytes each precede the event.
        let page_full = self.pages.back().is_none_or(|page| page.len() + event.len() + 30 > PAGE_BYTES);
        if page_full {
            self.start_page(at);
        }
        let Some(page) = self.pages.back_mut() else { return };
        append_record(page, &mut self.last_at, at, pool, event);
        if let Some(count) = self.record_counts.back_mut() {
            *count += 1;
        }
    }

    /// Starts a page; if the ring is full, the oldest page is overwritten.
    fn start_page(&mut self, at: Nanos) {
        let mut page = if self.pages.len() >= self.max_pages {
            self.overwritten += u64::from(self.record_counts.pop_front().unwrap_or_default());
            self.pages.pop_front().unwrap_or_default()
        } else {
            Vec::with_capacity(PAGE_BYTES)
        };
        page.clear();
        self.last_at = at / TIME_UNIT * TIME_UNIT;
        page.extend_from_slice(&self.last_at.to_le_bytes());
        self.pages.push_back(page);
        self.record_counts.push_back(0);
    }

    /// Returns the pages, the oldest first.
    pub fn pages(&self) -> impl Iterator<Item = &[u8]> {
        self.pages.iter().map(Vec::as_slice)
    }

    /// Returns the number of records that were overwritten.
    #[must_use]
    pub fn overwritten_events(&self) -> u64 {
        self.overwritten
    }

    /// Returns the allocated bytes.
    #[must_use]
    pub fn memory_used(&self) -> usize {
        self.pages.iter().map(Vec::capacity).sum()
    }
}

/// Appends a record to a page whose last record, or whose start if it has none, is at `last_at`.
pub fn append_record(page: &mut Vec<u8>, last_at: &mut Nanos, at: Nanos, pool: PoolId, event: &[u8]) {
    let steps = at.saturating_sub(*last_at) / TIME_UNIT;
    *last_at += steps * TIME_UNIT;
    put_varint(page, event.len() as u64);
    put_varint(page, steps);
    put_varint(page, u64::from(pool.0));
    page.extend_from_slice(event);
}

/// Returns the readable records of a page, and whether the page could be read to its end.
#[must_use]
pub fn decode_records(page: &[u8]) -> (Vec<Record>, bool) {
    let mut from = Reader(page);
    let mut records = Vec::new();
    let Some(start) = from.take(8).and_then(|bytes| bytes.try_into().ok()) else {
        return (records, page.is_empty());
    };
    let mut at = Nanos::from_le_bytes(start);
    while !from.is_empty() {
        let mut next = || {
            let length = from.varint_as::<usize>()?;
            let (steps, pool) = (from.varint()?, PoolId(from.varint_as()?));
            Some((steps, pool, from.take(length)?))
        };
        let Some((steps, pool, bytes)) = next() else { return (records, false) };
        at = at.saturating_add(steps.saturating_mul(TIME_UNIT));
        // Events that this version does not know are skipped.
        if let Some(event) = Event::decode(&mut Reader(bytes)) {
            records.push(Record { at, pool, event });
        }
    }
    (records, true)
}
