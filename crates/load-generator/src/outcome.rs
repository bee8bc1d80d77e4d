//! Results of requests: counts by class and second, and latencies from the intended time.

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::{Nanos, SECOND};

/// Longest latency that is recorded, in microseconds: one hour. Longer ones count as this.
const MAX_LATENCY_US: u64 = 3_600_000_000;
/// Maximum number of seconds with counts of their own; later requests are counted in the last one.
const MAX_SECONDS: usize = 100_000;
/// A request that the generator starts more than this after its intended time was late because of the generator.
pub const LATE_THRESHOLD: Nanos = 5_000_000;

/// Outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// A response with status 2xx or 3xx.
    Served,
    /// A response with status 429 or 503, after which the request can safely be repeated.
    Refused,
    /// A response with any other status.
    Failed,
    /// No response before the client gave up.
    GaveUp,
    /// The connection was refused or could not be established.
    NoConnection,
    /// The connection broke before the response was complete.
    Broken,
    /// The received data was not a valid response.
    Malformed,
    /// No connection within the limit became free before the client gave up; the request was never sent.
    NoRoom,
    /// The generator ran out of file descriptors; the request was never sent.
    NoDescriptor,
}

/// All outcomes, in the order of their columns.
pub const OUTCOMES: [Outcome; 9] = [
    Outcome::Served,
    Outcome::Refused,
    Outcome::Failed,
    Outcome::GaveUp,
    Outcome::NoConnection,
    Outcome::Broken,
    Outcome::Malformed,
    Outcome::NoRoom,
    Outcome::NoDescriptor,
];

impl Outcome {
    /// Returns the name in tables.
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

    /// Returns the outcome for a response with this status code.
    #[must_use]
    pub fn of_status(status: u16) -> Self {
        match status {
            200..=399 => Self::Served,
            429 | 503 => Self::Refused,
            _ => Self::Failed,
        }
    }
}

/// Result of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestResult {
    /// Index of the class.
    pub class: usize,
    /// Intended time.
    pub intended: Nanos,
    /// When the first attempt was sent; `None` if it was not sent.
    pub sent: Option<Nanos>,
    /// When the request ended.
    pub ended: Nanos,
    /// Outcome.
    pub outcome: Outcome,
    /// Whether the request was retried.
    pub retried: bool,
}

/// Counts of the requests that were intended for one second.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Second {
    /// Number of requests by outcome, in the order of [`OUTCOMES`].
    pub ends: [u64; 9],
    /// Number of requests served after the target latency.
    pub late: u64,
    /// Sum of the latencies of served requests, in microseconds.
    pub sum_us: u64,
    /// Maximum latency of a served request, in microseconds.
    pub most_us: u64,
}

/// Counts of a class.
#[derive(Clone, Debug)]
pub struct ClassTally {
    /// Name of the class.
    pub name: String,
    /// Target latency; requests served later are late.
    pub target_latency: Nanos,
    /// Number of requests by outcome, in the order of [`OUTCOMES`].
    pub ends: [u64; 9],
    /// Number of requests served after the target latency.
    pub late: u64,
    /// Number of retried requests.
    pub retried: u64,
    /// Latencies of served requests, in microseconds from the intended time.
    pub served: Histogram<u64>,
    /// Latencies of all requests, regardless of the outcome.
    pub all: Histogram<u64>,
}

/// All counts of a run.
#[derive(Clone, Debug)]
pub struct Tally {
    /// Counts by class.
    pub classes: Vec<ClassTally>,
    /// Counts by second of the intended time.
    pub seconds: Vec<Second>,
    /// Lateness of the generator for all due requests, in microseconds.
    pub lateness: Histogram<u64>,
    /// Number of requests that the generator started more than [`LATE_THRESHOLD`] after their intended time.
    pub sent_late: u64,
    /// Number of requests that were due while their thread had too little idle time; see [`crate::idle_time`].
    pub saturated: u64,
    /// Number of opened connections.
    pub connections: u64,
}

fn histogram() -> Histogram<u64> {
    // The library accepts these bounds: three significant digits up to one hour.
    Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).unwrap_or_else(|_| unreachable!("fixed bounds"))
}

impl Tally {
    /// Creates empty counts for classes with these names and target latencies.
    pub fn new(classes: impl IntoIterator<Item = (String, Nanos)>) -> Self {
        let class = |(name, target_latency)| ClassTally {
            name,
            target_latency,
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
            saturated: 0,
            connections: 0,
        }
    }

    /// Counts the result of a request.
    pub fn count(&mut self, result: &RequestResult) {
        let Some(class) = self.classes.get_mut(result.class) else { return };
        let took = result.ended.saturating_sub(result.intended);
        let us = (took / 1_000).clamp(1, MAX_LATENCY_US);
        let index = OUTCOMES.iter().position(|known| *known == result.outcome).unwrap_or(0);
        let late = result.outcome == Outcome::Served && took > class.target_latency;
        class.ends[index] += 1;
        class.late += u64::from(late);
        class.retried += u64::from(result.retried);
        class.all.saturating_record(us);
        let second = ((result.intended / SECOND) as usize).min(MAX_SECONDS - 1);
        if self.seconds.len() <= second {
            self.seconds.resize(second + 1, Second::default());
        }
        let second = &mut self.seconds[second];
        second.ends[index] += 1;
        second.late += u64::from(late);
        if result.outcome == Outcome::Served {
            class.served.saturating_record(us);
            second.sum_us += us;
            second.most_us = second.most_us.max(us);
        }
    }

    /// Records how long after its intended time the generator started a request.
    pub fn record_lateness(&mut self, late: Nanos) {
        self.lateness.saturating_record((late / 1_000).max(1));
        self.sent_late += u64::from(late > LATE_THRESHOLD);
    }

    /// Adds the counts of `other`. The result is the same as if everything had been counted here.
    pub fn merge(&mut self, other: &Self) {
        for (class, more) in self.classes.iter_mut().zip(&other.classes) {
            class.ends.iter_mut().zip(&more.ends).for_each(|(count, more)| *count += more);
            class.late += more.late;
            class.retried += more.retried;
            // Both histograms have the same bounds, so adding can't fail.
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
        self.saturated += other.saturated;
        self.connections += other.connections;
    }

    /// Returns the number of requests with this outcome, over all classes.
    #[must_use]
    pub fn count_of(&self, outcome: Outcome) -> u64 {
        let index = OUTCOMES.iter().position(|known| *known == outcome).unwrap_or(0);
        self.classes.iter().map(|class| class.ends[index]).sum()
    }

    /// Returns the number of all requests.
    #[must_use]
    pub fn requests(&self) -> u64 {
        self.classes.iter().flat_map(|class| class.ends).sum()
    }

    /// Returns the latencies of served requests, over all classes.
    #[must_use]
    pub fn served(&self) -> Histogram<u64> {
        let mut all = histogram();
        self.classes.iter().for_each(|class| {
            let _ = all.add(&class.served);
        });
        all
    }

    /// Returns the share of requests that the generator started late.
    #[must_use]
    pub fn late_share(&self) -> f64 {
        self.sent_late as f64 / (self.lateness.len().max(1)) as f64
    }

    /// Returns the share of requests that were due while the generator had too little idle time.
    #[must_use]
    pub fn saturated_share(&self) -> f64 {
        self.saturated as f64 / (self.lateness.len().max(1)) as f64
    }
}
