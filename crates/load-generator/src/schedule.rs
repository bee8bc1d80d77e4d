//! Arrival times of requests: generated deterministically from a seed, independent of responses.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::shape::Shape;
use crate::{Nanos, SECOND};

/// Distribution of the arrivals for a rate over time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrivals {
    /// Evenly spaced according to the rate.
    Even,
    /// A Poisson process with the shape as its rate, as many independent clients produce it.
    Poisson,
}

/// Iterator over the intended times, in order, up to the end of the schedule.
#[derive(Clone, Debug)]
pub struct Schedule {
    shape: Shape,
    arrivals: Arrivals,
    end: f64,
    rng: Pcg64Mcg,
    /// Expected number of requests up to the last arrival.
    count: f64,
    /// Time of the last arrival, in seconds.
    at: f64,
}

impl Schedule {
    /// Creates a schedule of arrivals from 0 to before `span`.
    #[must_use]
    pub fn new(shape: Shape, arrivals: Arrivals, span: Nanos, seed: u64) -> Self {
        let end = span as f64 / SECOND as f64;
        Self { shape, arrivals, end, rng: Pcg64Mcg::seed_from_u64(seed), count: 0.0, at: 0.0 }
    }
}

impl Iterator for Schedule {
    type Item = Nanos;

    fn next(&mut self) -> Option<Nanos> {
        // In units of the expected number of requests the process has rate 1 (time-rescaling theorem). Distances are
        // sampled there and converted to times by the inverse of the rate's integral.
        self.count += match self.arrivals {
            // The first arrival is at the middle of the interval in which one request is expected.
            Arrivals::Even if self.count == 0.0 => 0.5,
            Arrivals::Even => 1.0,
            Arrivals::Poisson => -(1.0 - random_unit(&mut self.rng)).ln(),
        };
        let at = self.shape.time_of(self.count, self.at, self.end)?;
        self.at = at;
        (at < self.end).then_some((at * SECOND as f64) as Nanos)
    }
}

/// Returns a random number from 0 to below 1.
pub fn random_unit(rng: &mut Pcg64Mcg) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}
