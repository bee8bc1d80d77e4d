//! What both levels must agree on. All spans are measured on one machine's own clock; points in time never travel.

use pumicehead_policy::{Nanos, SECOND};
use thiserror::Error;

/// Clocks of two machines may run apart by one part in so many, 2%: oscillators are off by 0.01%, and a clock that is
/// being corrected by 0.05%, so that this is some thirty times what is met.
const DRIFT: Nanos = 50;

/// The spans of a fleet, the same on all its members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// How long a plan holds, from when the report was sent that it answers.
    pub lease: Nanos,
    /// How long a forwarder does without what it has lent, from when it said so.
    pub loan: Nanos,
}

/// Terms that can't hold.
#[derive(Debug, PartialEq, Eq, Error)]
pub enum TermsError {
    /// A lease of nothing, or one that no clock can measure well.
    #[error("a lease is at least 100 ms and at most an hour")]
    Lease,
    /// Grants could outlast what they are made of.
    #[error("a loan lasts at least twice as long as a lease, and at most a day")]
    Loan,
}

impl Terms {
    /// Checks that the spans can be used together.
    ///
    /// # Errors
    /// The first that can't.
    pub fn check(&self) -> Result<(), TermsError> {
        let wrong = |bad: bool, error| if bad { Err(error) } else { Ok(()) };
        wrong(!(SECOND / 10..=3_600 * SECOND).contains(&self.lease), TermsError::Lease)?;
        wrong(!(2 * self.lease..=86_400 * SECOND).contains(&self.loan), TermsError::Loan)
    }

    /// What may pass on this clock while so much passes on another.
    #[must_use]
    pub fn at_most(span: Nanos) -> Nanos {
        span + span / DRIFT
    }

    /// What surely passes on this clock while so much passes on another.
    #[must_use]
    pub fn at_least(span: Nanos) -> Nanos {
        span - span / DRIFT
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn terms_that_cannot_hold_are_named() {
        let good = Terms { lease: 2 * SECOND, loan: 6 * SECOND };
        assert_eq!(good.check(), Ok(()));
        assert_eq!(Terms { lease: 0, ..good }.check(), Err(TermsError::Lease));
        assert_eq!(Terms { lease: u64::MAX, ..good }.check(), Err(TermsError::Lease));
        assert_eq!(Terms { loan: 3 * SECOND, ..good }.check(), Err(TermsError::Loan));
        assert_eq!(Terms { loan: u64::MAX, ..good }.check(), Err(TermsError::Loan));
    }
}
