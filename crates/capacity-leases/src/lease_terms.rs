//! Durations of leases and loans, which forwarders and planners must agree on. Each machine measures
//! durations on its own clock; points in time are never sent.

use pumicehead_policy::{Nanos, SECOND};
use thiserror::Error;

/// Clocks of two machines may run apart by one part in this many, 2%. Oscillators are off by 0.01%, and a
/// clock that is being adjusted by 0.05%.
const CLOCK_DRIFT_DIVISOR: Nanos = 50;
const MIN_LEASE: Nanos = SECOND / 10;
const MAX_LEASE: Nanos = 3_600 * SECOND;
const MAX_LOAN: Nanos = 86_400 * SECOND;

/// Durations that are the same for all forwarders and planners, in nanoseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTerms {
    /// How long the grants of a plan hold, from when the report was sent that the plan answers.
    pub lease: Nanos,
    /// How long a forwarder does not use what it has lent, from when it sent the report that lends it.
    pub loan: Nanos,
}

/// Why terms can't be used.
#[derive(Debug, PartialEq, Eq, Error)]
pub enum LeaseTermsError {
    /// The lease is too short or too long.
    #[error("a lease is at least 100 ms and at most an hour")]
    InvalidLease,
    /// The loan is too long, or so short that grants could outlast the loans that they are made of.
    #[error("a loan lasts at least twice as long as a lease, and at most a day")]
    InvalidLoan,
}

impl LeaseTerms {
    /// Checks that the durations can be used together.
    ///
    /// # Errors
    /// The first duration that is out of range.
    pub fn check(&self) -> Result<(), LeaseTermsError> {
        if !(MIN_LEASE..=MAX_LEASE).contains(&self.lease) {
            return Err(LeaseTermsError::InvalidLease);
        }
        if !(2 * self.lease..=MAX_LOAN).contains(&self.loan) {
            return Err(LeaseTermsError::InvalidLoan);
        }
        Ok(())
    }

    /// The longest time on this clock in which `span` passes on another.
    #[must_use]
    pub fn max_local_span(span: Nanos) -> Nanos {
        span + span / CLOCK_DRIFT_DIVISOR
    }

    /// The shortest time on this clock in which `span` passes on another.
    #[must_use]
    pub fn min_local_span(span: Nanos) -> Nanos {
        span - span / CLOCK_DRIFT_DIVISOR
    }
}
