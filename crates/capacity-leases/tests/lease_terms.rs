//! Validation of lease terms.

use pumicehead_capacity_leases::lease_terms::{LeaseTerms, LeaseTermsError};
use pumicehead_policy::SECOND;

#[test]
fn invalid_lease_terms_are_rejected() {
    let good = LeaseTerms { lease: 2 * SECOND, loan: 6 * SECOND };
    assert_eq!(good.check(), Ok(()));
    assert_eq!(LeaseTerms { lease: 0, ..good }.check(), Err(LeaseTermsError::InvalidLease));
    assert_eq!(LeaseTerms { lease: u64::MAX, ..good }.check(), Err(LeaseTermsError::InvalidLease));
    assert_eq!(LeaseTerms { loan: 3 * SECOND, ..good }.check(), Err(LeaseTermsError::InvalidLoan));
    assert_eq!(LeaseTerms { loan: u64::MAX, ..good }.check(), Err(LeaseTermsError::InvalidLoan));
}
