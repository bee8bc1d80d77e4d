//! Models of servers whose latency can be computed, to check what the generator measures.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::Nanos;
use crate::schedule::random_unit;

/// Distribution of the service time of requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Service {
    /// Constant.
    Fixed(Nanos),
    /// Exponential with this mean.
    Exponential(Nanos),
    /// One of two values.
    Bimodal {
        /// The usual service time.
        short: Nanos,
        /// The occasional long service time.
        long: Nanos,
        /// Share of requests with the long service time.
        share: f64,
    },
}

impl Service {
    /// Samples a service time.
    pub fn sample(&self, rng: &mut Pcg64Mcg) -> Nanos {
        let sampled = random_unit(rng);
        match *self {
            Self::Fixed(span) => span,
            Self::Exponential(mean) => (-(1.0 - sampled).ln() * mean as f64) as Nanos,
            Self::Bimodal { short, long, share } => {
                if sampled < share {
                    long
                } else {
                    short
                }
            }
        }
    }

    /// Returns the quantile of the service time at `share`.
    #[must_use]
    pub fn quantile(&self, share: f64) -> Nanos {
        match *self {
            Self::Fixed(span) => span,
            Self::Exponential(mean) => (-(1.0 - share).ln() * mean as f64) as Nanos,
            Self::Bimodal { short, long, share: long_share } => {
                if share > 1.0 - long_share {
                    long
                } else {
                    short
                }
            }
        }
    }
}

/// Intervals (start and end) in which a server sends no responses; they are sent at the end of the stall instead.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stalls(pub Vec<(Nanos, Nanos)>);

impl Stalls {
    /// Returns when a response that is ready at `ready` is sent.
    #[must_use]
    pub fn release_time(&self, ready: Nanos) -> Nanos {
        // Stalls may overlap.
        let mut at = ready;
        while let Some((_, end)) = self.0.iter().find(|(start, end)| (*start..*end).contains(&at)) {
            at = *end;
        }
        at
    }
}

/// Model of a server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerModel {
    /// Service time of requests.
    pub service: Service,
    /// Network delay in both directions together.
    pub delay: Nanos,
    /// When the server stalls.
    pub stalls: Stalls,
    /// Maximum number of requests in service; others wait in order of arrival.
    pub max_in_service: usize,
    /// Seed of the random service times.
    pub seed: u64,
}

/// State of a running server model.
#[derive(Clone, Debug)]
pub struct RunningServer<'a> {
    model: &'a ServerModel,
    rng: Pcg64Mcg,
    busy_until: BinaryHeap<Reverse<Nanos>>,
}

impl RunningServer<'_> {
    /// Returns when the response to a request that arrives at `arrival` is received. Requests must be passed in order
    /// of arrival.
    pub fn response_at(&mut self, arrival: Nanos) -> Nanos {
        let mut start = arrival;
        if self.busy_until.len() >= self.model.max_in_service
            && let Some(Reverse(earliest)) = self.busy_until.pop()
        {
            start = start.max(earliest);
        }
        let ready = self.model.stalls.release_time(start + self.model.service.sample(&mut self.rng));
        self.busy_until.push(Reverse(ready));
        ready + self.model.delay
    }
}

impl ServerModel {
    /// Returns the initial state.
    #[must_use]
    pub fn start(&self) -> RunningServer<'_> {
        RunningServer { model: self, rng: Pcg64Mcg::seed_from_u64(self.seed), busy_until: BinaryHeap::new() }
    }

    /// Returns the quantile of the latency at `share` for requests that arrive evenly over `span`, if no request waits
    /// for another and the service time is fixed. A stall of length `s` delays the responses that would be ready during
    /// it by between 0 and `s`, uniformly distributed.
    #[must_use]
    pub fn stalled_quantile(&self, share: f64, span: Nanos) -> Nanos {
        let base = self.service.quantile(share) + self.delay;
        let stalled: Nanos = self.stalls.0.iter().map(|(start, end)| end - start).sum();
        let unstalled = 1.0 - stalled as f64 / span as f64;
        if share <= unstalled {
            return base;
        }
        // With stalls of equal length the delays are uniformly distributed between 0 and that length. With unequal ones
        // this is an upper bound, which the longest delays reach.
        let longest = self.stalls.0.iter().map(|(start, end)| end - start).max().unwrap_or(0);
        base + ((share - unstalled) / (1.0 - unstalled) * longest as f64) as Nanos
    }
}
