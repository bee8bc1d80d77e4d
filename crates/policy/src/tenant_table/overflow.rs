//! Shared counters for tenants that have no record of their own.
//!
//! A tenant without a record has a debt: the time in which it earns what it lacks of a full allowance. Its
//! counters hold the time at which the debt is paid. Counters are shared between tenants. A tenant has one
//! counter in each row, and the smallest of them applies (a count-min sketch with conservative update). Each
//! request raises the tenant's counters to at least its own debt, so no counter understates it. The estimate
//! is only too high if other tenants use all of the tenant's counters.

use super::{TenantRequest, TenantState};
use crate::Nanos;
use crate::hash_ring::mix64;
use crate::time::{nanos, seconds};

/// Number of counters in a row: enough for 16,000 tenants at once.
const COUNTERS_PER_ROW: usize = 16_384;
/// Number of rows. A tenant has one counter in each.
const ROWS: usize = 2;

/// Times at which the debts of tenants without a record are paid.
pub(super) struct Overflow {
    /// The counters, row by row.
    paid_at: Box<[Nanos]>,
    /// Time at which all debts are paid.
    all_paid_at: Nanos,
}

impl Default for Overflow {
    fn default() -> Self {
        Self { paid_at: vec![0; COUNTERS_PER_ROW * ROWS].into(), all_paid_at: 0 }
    }
}

impl Overflow {
    /// Returns the memory that the counters take, in bytes.
    pub fn bytes(&self) -> usize {
        size_of::<Self>() + size_of_val(&*self.paid_at)
    }

    /// Returns whether the tenant has a debt.
    pub fn has_debt(&self, request: TenantRequest) -> bool {
        self.paid_at(request) > request.at
    }

    /// Returns whether no tenant has a debt.
    pub fn is_clear(&self, now: Nanos) -> bool {
        self.all_paid_at <= now
    }

    /// Returns the estimated state of a tenant without a record.
    pub fn estimated_state(&self, request: TenantRequest) -> TenantState {
        let debt = seconds(self.paid_at(request).saturating_sub(request.at));
        let allowance = (request.full_allowance() - debt * request.rate_per_s)
            .clamp(0.0, request.allowance_without_record());
        TenantState { allowance, updated_at: request.at }
    }

    /// Records that a request leaves its tenant with the allowance `left`. The tenant's rate must be
    /// positive.
    pub fn charge(&mut self, request: TenantRequest, left: f64) {
        let debt = nanos((request.full_allowance() - left) / request.rate_per_s);
        // Rounded up, so that the stored debt is never smaller than the actual one.
        let paid_at = request.at.saturating_add(debt).saturating_add(1);
        for counter in counter_indices(request) {
            self.paid_at[counter] = self.paid_at[counter].max(paid_at);
        }
        self.all_paid_at = self.all_paid_at.max(paid_at);
    }

    fn paid_at(&self, request: TenantRequest) -> Nanos {
        counter_indices(request).map(|counter| self.paid_at[counter]).min().unwrap_or_default()
    }
}

/// Returns the indices of a tenant's counters, one in each row.
fn counter_indices(request: TenantRequest) -> impl Iterator<Item = usize> {
    let id = u64::from(request.tenant.0) << 8;
    (0..ROWS).map(move |row| {
        row * COUNTERS_PER_ROW + (mix64(id + row as u64 + 1) % COUNTERS_PER_ROW as u64) as usize
    })
}
