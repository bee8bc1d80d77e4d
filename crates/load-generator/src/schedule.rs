//! When requests come: drawn from a seed, the same every time, and never waiting for answers.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::shape::Shape;
use crate::{Nanos, SECOND};

/// How arrivals are placed under a shape.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrivals {
    /// At even distances of the rate.
    Even,
    /// As of many independent clients: a Poisson process with the shape as its rate.
    Poisson,
}

/// Intended times in order, as an endless draw that ends with its span.
#[derive(Clone, Debug)]
pub struct Schedule {
    shape: Shape,
    arrivals: Arrivals,
    end: f64,
    rng: Pcg64Mcg,
    /// Requests on average up to the last arrival, and its time.
    count: f64,
    at: f64,
}

impl Schedule {
    /// Arrivals from 0 to before `span`.
    #[must_use]
    pub fn new(shape: Shape, arrivals: Arrivals, span: Nanos, seed: u64) -> Self {
        let end = span as f64 / SECOND as f64;
        Self { shape, arrivals, end, rng: Pcg64Mcg::seed_from_u64(seed), count: 0.0, at: 0.0 }
    }
}

impl Iterator for Schedule {
    type Item = Nanos;

    fn next(&mut self) -> Option<Nanos> {
        // In the time in which one comes on average, the process has rate 1 (time-rescaling): distances are drawn
        // there and carried over by the integral's inverse.
        self.count += match self.arrivals {
            // The first one in the middle of its share.
            Arrivals::Even if self.count == 0.0 => 0.5,
            Arrivals::Even => 1.0,
            Arrivals::Poisson => -(1.0 - unit(&mut self.rng)).ln(),
        };
        let at = self.shape.time_of(self.count, self.at, self.end)?;
        self.at = at;
        (at < self.end).then_some((at * SECOND as f64) as Nanos)
    }
}

/// A number from 0 to before 1.
pub fn unit(rng: &mut Pcg64Mcg) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}
