//! Durations of leases and loans, on which forwarders and planners must agree. Each machine measures
//! durations with its own clock; timestamps are never sent.

use pumicehead_policy::{Nanos, SECOND};
use thiserror::Error;

/// Reciprocal of the maximum drift between the clocks of two machines, 2%. Oscillators are off by 0.01%, and
/// clocks that are being adjusted by 0.05%.
const CLOCK_DRIFT_DIVISOR: Nanos = 50;
const MIN_LEASE: Nanos = SECOND / 10;
const MAX_LEASE: Nanos = 3_600 * SECOND;
const MAX_LOAN: Nanos = 86_400 * SECOND;

/// Durations that are the same for all forwarders and planners, in nanoseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTerms {
    /// How long the grants of a plan are valid, counted from the sending of the report that the plan answers.
    pub lease: Nanos,
    /// How long a forwarder does not use a rate that it lends, counted from the sending of the report.
    pub loan: Nanos,
}

/// Why lease terms are invalid.
#[derive(Debug, PartialEq, Eq, Error)]
pub enum LeaseTermsError {
    /// The lease is too short or too long.
    #[error("the lease duration must be between 100 ms and 1 h")]
    InvalidLease,
    /// The loan is too long, or so short that grants could outlast the loans that they are made of.
    #[error("the loan duration must be between twice the lease duration and 24 h")]
    InvalidLoan,
}

impl LeaseTerms {
    /// Checks that the durations are in range.
    ///
    /// # Errors
    /// Returns the first duration that is out of range.
    pub fn check(&self) -> Result<(), LeaseTermsError> {
        if !(MIN_LEASE..=MAX_LEASE).contains(&self.lease) {
            return Err(LeaseTermsError::InvalidLease);
        }
        if !(2 * self.lease..=MAX_LOAN).contains(&self.loan) {
            return Err(LeaseTermsError::InvalidLoan);
        }
        Ok(())
    }

    /// Returns the longest time on the local clock while `span` passes on another clock.
    #[must_use]
    pub fn max_local_span(span: Nanos) -> Nanos {
        span + span / CLOCK_DRIFT_DIVISOR
    }

    /// Returns the shortest time on the local clock while `span` passes on another clock.
    #[must_use]
    pub fn min_local_span(span: Nanos) -> Nanos {
        span - span / CLOCK_DRIFT_DIVISOR
    }
}
