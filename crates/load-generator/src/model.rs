//! Servers whose latency can be computed: what a generator must find.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::Nanos;
use crate::schedule::unit;

/// How long a request is worked on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Service {
    /// Always the same.
    Fixed(Nanos),
    /// Exponential around a mean.
    Exponential(Nanos),
    /// One or the other.
    Bimodal {
        /// Mostly.
        short: Nanos,
        /// Sometimes.
        long: Nanos,
        /// Share of the long ones.
        share: f64,
    },
}

impl Service {
    /// Draws one.
    pub fn draw(&self, rng: &mut Pcg64Mcg) -> Nanos {
        let drawn = unit(rng);
        match *self {
            Self::Fixed(span) => span,
            Self::Exponential(mean) => (-(1.0 - drawn).ln() * mean as f64) as Nanos,
            Self::Bimodal { short, long, share } => {
                if drawn < share {
                    long
                } else {
                    short
                }
            }
        }
    }

    /// The service time that a share of requests stays within.
    #[must_use]
    pub fn quantile(&self, share: f64) -> Nanos {
        match *self {
            Self::Fixed(span) => span,
            Self::Exponential(mean) => (-(1.0 - share).ln() * mean as f64) as Nanos,
            Self::Bimodal { short, long, share: longs } => {
                if share > 1.0 - longs {
                    long
                } else {
                    short
                }
            }
        }
    }
}

/// Times in which a server answers nothing: what would be answered then is, at the end of the stall.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stalls(pub Vec<(Nanos, Nanos)>);

impl Stalls {
    /// When something that is ready at a time comes out.
    #[must_use]
    pub fn out(&self, ready: Nanos) -> Nanos {
        // Stalls may overlap.
        let mut at = ready;
        while let Some((_, end)) = self.0.iter().find(|(start, end)| (*start..*end).contains(&at)) {
            at = *end;
        }
        at
    }
}

/// A server.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// How long it works on each.
    pub service: Service,
    /// On the way there and back, together.
    pub delay: Nanos,
    /// When it stands still.
    pub stalls: Stalls,
    /// Requests that it works on at once; others wait in order.
    pub limit: usize,
    /// For the draws.
    pub seed: u64,
}

/// A server at work.
#[derive(Clone, Debug)]
pub struct Running<'a> {
    model: &'a Model,
    rng: Pcg64Mcg,
    free: BinaryHeap<Reverse<Nanos>>,
}

impl Running<'_> {
    /// When a request is answered; they come in order.
    pub fn answer(&mut self, arrival: Nanos) -> Nanos {
        let mut begins = arrival;
        if self.free.len() >= self.model.limit
            && let Some(Reverse(earliest)) = self.free.pop()
        {
            begins = begins.max(earliest);
        }
        let ready = self.model.stalls.out(begins + self.model.service.draw(&mut self.rng));
        self.free.push(Reverse(ready));
        ready + self.model.delay
    }
}

impl Model {
    /// Begins its work.
    #[must_use]
    pub fn start(&self) -> Running<'_> {
        Running { model: self, rng: Pcg64Mcg::seed_from_u64(self.seed), free: BinaryHeap::new() }
    }

    /// The latency that a share of requests stays within, where they come evenly over a span, none waits for another
    /// and service is fixed: a stall of length `s` holds those that would be ready in it for between 0 and `s`, evenly.
    #[must_use]
    pub fn stalled_quantile(&self, share: f64, span: Nanos) -> Nanos {
        let base = self.service.quantile(share) + self.delay;
        let stalled: Nanos = self.stalls.0.iter().map(|(start, end)| end - start).sum();
        let calm = 1.0 - stalled as f64 / span as f64;
        if share <= calm {
            return base;
        }
        // Over equal stalls the waits fill 0 to the stall's length evenly; over unequal ones the longest count last.
        let longest = self.stalls.0.iter().map(|(start, end)| end - start).max().unwrap_or(0);
        base + ((share - calm) / (1.0 - calm) * longest as f64) as Nanos
    }
}
