//! What became of requests: counts by class and second, and latencies from the intended time.

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::{Nanos, SECOND};

/// Longest latency that is told apart, in microseconds: an hour.
const LONGEST_US: u64 = 3_600_000_000;
/// Most seconds that are counted one by one; later ones count to the last.
const MOST_SECONDS: usize = 100_000;
/// A request that was sent so much after its intended time was late by the generator's fault.
pub const LATE: Nanos = 5_000_000;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// Answered with 2xx or 3xx.
    Served,
    /// Answered with 429 or 503: harmless to ask again.
    Refused,
    /// Answered with any other status.
    Failed,
    /// No answer in the client's time.
    GaveUp,
    /// The connection was refused or did not come up.
    NoConnection,
    /// The connection broke before the answer was whole.
    Broken,
    /// What came was no answer.
    Malformed,
    /// There was no connection within the bound in the client's time: never sent.
    NoRoom,
    /// The generator had no descriptor left: never sent.
    NoDescriptor,
}

/// All ends, in the order of their columns.
pub const ENDS: [End; 9] = [
    End::Served,
    End::Refused,
    End::Failed,
    End::GaveUp,
    End::NoConnection,
    End::Broken,
    End::Malformed,
    End::NoRoom,
    End::NoDescriptor,
];

impl End {
    /// Its name in tables.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Served => "served",
            Self::Refused => "refused",
            Self::Failed => "failed",
            Self::GaveUp => "gave-up",
            Self::NoConnection => "no-connection",
            Self::Broken => "broken",
            Self::Malformed => "malformed",
            Self::NoRoom => "no-room",
            Self::NoDescriptor => "no-descriptor",
        }
    }

    /// Of a status.
    #[must_use]
    pub fn of_status(status: u16) -> Self {
        match status {
            200..=399 => Self::Served,
            429 | 503 => Self::Refused,
            _ => Self::Failed,
        }
    }
}

/// One request's story.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Story {
    /// Its class.
    pub class: usize,
    /// Its intended time.
    pub intended: Nanos,
    /// When it was first sent; `None` where it never was.
    pub sent: Option<Nanos>,
    /// When it ended.
    pub ended: Nanos,
    /// How.
    pub end: End,
    /// It was asked a second time.
    pub retried: bool,
}

/// Counts of a second, by intended time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Second {
    /// Requests by their ends, in the order of [`ENDS`].
    pub ends: [u64; 9],
    /// Served after the aim.
    pub late: u64,
    /// Sum and most of latencies of what was served, in microseconds.
    pub sum_us: u64,
    /// The most.
    pub most_us: u64,
}

/// Counts of a class.
#[derive(Clone, Debug)]
pub struct ClassTally {
    /// Its name.
    pub name: String,
    /// Served after this is late.
    pub aim: Nanos,
    /// Requests by their ends, in the order of [`ENDS`].
    pub ends: [u64; 9],
    /// Served after the aim.
    pub late: u64,
    /// Asked a second time.
    pub retried: u64,
    /// Latencies of what was served, in microseconds from the intended time.
    pub served: Histogram<u64>,
    /// Latencies of all that ended, however.
    pub all: Histogram<u64>,
}

/// Everything that is counted.
#[derive(Clone, Debug)]
pub struct Tally {
    /// By class.
    pub classes: Vec<ClassTally>,
    /// By second.
    pub seconds: Vec<Second>,
    /// How late the generator was, in microseconds, over all that was due.
    pub lateness: Histogram<u64>,
    /// Requests that it sent more than [`LATE`] after their time, by its own fault.
    pub sent_late: u64,
    /// Requests that were due while a thread of it had no idle time: see [`crate::slack`].
    pub breathless: u64,
    /// Connections that it opened.
    pub connections: u64,
}

fn histogram() -> Histogram<u64> {
    // Three digits up to an hour can't be refused by the library.
    Histogram::new_with_bounds(1, LONGEST_US, 3).unwrap_or_else(|_| unreachable!("fixed bounds"))
}

impl Tally {
    /// Nothing yet, of classes with names and aims.
    pub fn new(classes: impl IntoIterator<Item = (String, Nanos)>) -> Self {
        let class = |(name, aim)| ClassTally {
            name,
            aim,
            ends: [0; 9],
            late: 0,
            retried: 0,
            served: histogram(),
            all: histogram(),
        };
        Self {
            classes: classes.into_iter().map(class).collect(),
            seconds: Vec::new(),
            lateness: histogram(),
            sent_late: 0,
            breathless: 0,
            connections: 0,
        }
    }

    /// Counts a request.
    pub fn count(&mut self, story: &Story) {
        let Some(class) = self.classes.get_mut(story.class) else { return };
        let took = story.ended.saturating_sub(story.intended);
        let us = (took / 1_000).clamp(1, LONGEST_US);
        let place = ENDS.iter().position(|end| *end == story.end).unwrap_or(0);
        let late = story.end == End::Served && took > class.aim;
        class.ends[place] += 1;
        class.late += u64::from(late);
        class.retried += u64::from(story.retried);
        class.all.saturating_record(us);
        let second = ((story.intended / SECOND) as usize).min(MOST_SECONDS - 1);
        if self.seconds.len() <= second {
            self.seconds.resize(second + 1, Second::default());
        }
        let second = &mut self.seconds[second];
        second.ends[place] += 1;
        second.late += u64::from(late);
        if story.end == End::Served {
            class.served.saturating_record(us);
            second.sum_us += us;
            second.most_us = second.most_us.max(us);
        }
    }

    /// Notes how long after its intended time the generator came to a request.
    pub fn came(&mut self, late: Nanos) {
        self.lateness.saturating_record((late / 1_000).max(1));
        self.sent_late += u64::from(late > LATE);
    }

    /// Adds another's counts: the same as if all had been counted here.
    pub fn merge(&mut self, other: &Self) {
        for (class, more) in self.classes.iter_mut().zip(&other.classes) {
            class.ends.iter_mut().zip(&more.ends).for_each(|(count, more)| *count += more);
            class.late += more.late;
            class.retried += more.retried;
            // Both have the same bounds, so nothing can be refused.
            let _ = class.served.add(&more.served);
            let _ = class.all.add(&more.all);
        }
        if self.seconds.len() < other.seconds.len() {
            self.seconds.resize(other.seconds.len(), Second::default());
        }
        for (second, more) in self.seconds.iter_mut().zip(&other.seconds) {
            second.ends.iter_mut().zip(&more.ends).for_each(|(count, more)| *count += more);
            second.late += more.late;
            second.sum_us += more.sum_us;
            second.most_us = second.most_us.max(more.most_us);
        }
        let _ = self.lateness.add(&other.lateness);
        self.sent_late += other.sent_late;
        self.breathless += other.breathless;
        self.connections += other.connections;
    }

    /// Requests of an end, over all classes.
    #[must_use]
    pub fn of(&self, end: End) -> u64 {
        let place = ENDS.iter().position(|known| *known == end).unwrap_or(0);
        self.classes.iter().map(|class| class.ends[place]).sum()
    }

    /// All requests.
    #[must_use]
    pub fn requests(&self) -> u64 {
        self.classes.iter().flat_map(|class| class.ends).sum()
    }

    /// Latencies of what was served, over all classes.
    #[must_use]
    pub fn served(&self) -> Histogram<u64> {
        let mut all = histogram();
        self.classes.iter().for_each(|class| {
            let _ = all.add(&class.served);
        });
        all
    }

    /// Share of requests to which the generator came late.
    #[must_use]
    pub fn late_share(&self) -> f64 {
        self.sent_late as f64 / (self.lateness.len().max(1)) as f64
    }
    /// Share of requests that were due while the generator had no idle time.
    #[must_use]
    pub fn breathless_share(&self) -> f64 {
        self.breathless as f64 / (self.lateness.len().max(1)) as f64
    }
}
