//! Shared counters for tenants that have no record of their own.
//!
//! A tenant without a record has a debt: the time in which it earns what it lacks of a full allowance. The
//! counters of its row hold the moment at which a debt is paid. Tenants share counters, and the smaller of a
//! tenant's two counts (a count-min sketch with conservative update). Each counter is raised to at least the
//! debt of whoever uses it, so none ever says less than the tenant's own debt. A tenant's count is too high
//! only where others use both of its counters.

use super::{TenantRequest, TenantState};
use crate::Nanos;
use crate::hash_ring::mix;
use crate::time::{nanos, seconds};

/// Counters of a row: enough for 16,000 tenants at once.
const WIDTH: usize = 16_384;
/// Rows of counters: a tenant has a counter in each.
const ROWS: usize = 2;

/// When the debts of tenants without a record are paid.
pub(super) struct Overflow {
    /// Row by row.
    paid_at: Box<[Nanos]>,
    /// When all of them are.
    all_paid_at: Nanos,
}

impl Default for Overflow {
    fn default() -> Self {
        Self { paid_at: vec![0; WIDTH * ROWS].into(), all_paid_at: 0 }
    }
}

impl Overflow {
    /// Bytes of memory that the counters hold.
    pub fn bytes(&self) -> usize {
        size_of::<Self>() + size_of_val(&*self.paid_at)
    }

    /// Whether the tenant has a debt.
    pub fn owes(&self, request: TenantRequest) -> bool {
        self.paid_at(request) > request.at
    }

    /// Whether nobody has a debt.
    pub fn is_clear(&self, now: Nanos) -> bool {
        self.all_paid_at <= now
    }

    /// The record of a tenant that has none.
    pub fn state(&self, request: TenantRequest) -> TenantState {
        let debt = seconds(self.paid_at(request).saturating_sub(request.at));
        let allowance = (request.full_allowance() - debt * request.rate_per_s)
            .clamp(0.0, request.allowance_without_record());
        TenantState { allowance, updated_at: request.at }
    }

    /// Sets what a request has left of the tenant's allowance. The tenant's rate must be positive.
    pub fn charge(&mut self, request: TenantRequest, left: f64) {
        let debt = nanos((request.full_allowance() - left) / request.rate_per_s);
        // Rounded up: a debt must not shrink by being stored.
        let paid_at = request.at.saturating_add(debt).saturating_add(1);
        for counter in counters(request) {
            self.paid_at[counter] = self.paid_at[counter].max(paid_at);
        }
        self.all_paid_at = self.all_paid_at.max(paid_at);
    }

    fn paid_at(&self, request: TenantRequest) -> Nanos {
        counters(request).map(|counter| self.paid_at[counter]).min().unwrap_or_default()
    }
}

/// A tenant's counters, one in each row.
fn counters(request: TenantRequest) -> impl Iterator<Item = usize> {
    let id = u64::from(request.tenant.0) << 8;
    (0..ROWS).map(move |row| row * WIDTH + (mix(id + row as u64 + 1) % WIDTH as u64) as usize)
}
