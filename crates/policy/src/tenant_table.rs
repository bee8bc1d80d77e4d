//! A bounded table of the tenants' allowances in one pool. `tenant_quota` decides whether a tenant is over
//! its share; this module decides which records are kept.
//!
//! Between two requests, a tenant earns allowance for at most [`EARNING_S`] seconds. After that long without
//! a request, a tenant with a record has what was left plus the earnings of the whole span (up to its burst
//! capacity); a tenant without a record has only the earnings. It follows that:
//!
//! 1. The record of a tenant with a request within the last [`EARNING_S`] seconds is never evicted: with a
//!    new record the tenant would get back what it has spent.
//! 2. A record that is idle for longer may be evicted, the one idle for longest first. The tenant never gains
//!    by that; at most it loses what it had accumulated. Up to [`KEPT_IDLE_TENANT_RECORDS`] records, none is
//!    evicted. Above that, records idle for [`EVICT_IDLE_AFTER`] are evicted as requests arrive, and from
//!    [`MAX_TENANT_RECORDS`] on a new tenant replaces one that is idle for [`EARNING_S`] seconds.
//! 3. If all [`MAX_TENANT_RECORDS`] records are recent, a new tenant gets none. Its requests are checked
//!    against an estimate from [`Overflow`], a small table of shared counters that never understate what the
//!    tenant itself has used. If the tenant gets a record later, that record starts with the estimate.
//!
//! By 2 and 3, a tenant that earns at a constant rate never has more requests within its share, counted from
//! its first one, than with a record that is never evicted (a property test in `tests/tenant_quota.rs`).

mod overflow;
mod tenant_index;

use crate::time::seconds;
use crate::{Nanos, SECOND, TenantId};
use overflow::Overflow;
use tenant_index::TenantIndex;

/// Longest time between two requests for which a tenant earns allowance, in seconds.
pub(crate) const EARNING_S: f64 = 10.0;
/// [`EARNING_S`] as a duration. A record without a request for that long is idle.
const EARNING_SPAN: Nanos = EARNING_S as Nanos * SECOND;
/// Number of records that a pool keeps, however long they are idle.
pub const KEPT_IDLE_TENANT_RECORDS: usize = 256;
/// Maximum number of records of a pool.
pub const MAX_TENANT_RECORDS: usize = 3_584;
/// Above [`KEPT_IDLE_TENANT_RECORDS`], records without a request for this long are evicted.
const EVICT_IDLE_AFTER: Nanos = 600 * SECOND;
/// Maximum number of records evicted per request, to bound the cost of each request.
const MAX_EVICTIONS_PER_REQUEST: usize = 2;
/// End marker of the list of records.
const NONE: u32 = u32::MAX;

/// Remaining allowance of a tenant in requests, and the time of its last request.
#[derive(Clone, Copy, Default)]
pub(crate) struct TenantState {
    pub allowance: f64,
    pub updated_at: Nanos,
}

/// A request of a tenant.
#[derive(Clone, Copy)]
pub(crate) struct TenantRequest {
    pub tenant: TenantId,
    pub at: Nanos,
    /// Rate at which the tenant earns allowance, in requests per second.
    pub rate_per_s: f64,
    /// Maximum allowance that the tenant can accumulate, in requests.
    pub burst_capacity: f64,
}

impl TenantRequest {
    /// Returns the allowance of a tenant without a record: the earnings of the whole span, or of the time
    /// since the clock started if that is shorter.
    fn allowance_without_record(&self) -> f64 {
        (self.rate_per_s * seconds(self.at).min(EARNING_S)).min(self.burst_capacity)
    }

    /// Returns that allowance for a clock that has run for the whole span.
    fn full_allowance(&self) -> f64 {
        (self.rate_per_s * EARNING_S).min(self.burst_capacity)
    }
}

/// An entry in the list of records, which is ordered by the time of the last request. The links are indices
/// of records.
struct TenantRecord {
    state: TenantState,
    older: u32,
    newer: u32,
}

/// Records of the tenants with traffic in a pool.
pub(crate) struct TenantTable {
    /// The position of each tenant's record in `records`.
    index: TenantIndex,
    records: Vec<TenantRecord>,
    oldest: u32,
    newest: u32,
    overflow: Option<Overflow>,
}

impl Default for TenantTable {
    fn default() -> Self {
        let (index, records) = (TenantIndex::default(), Vec::new());
        Self { index, records, oldest: NONE, newest: NONE, overflow: None }
    }
}

impl TenantTable {
    /// Returns whether `is_over` finds a request over its tenant's share by the tenant's record, and charges
    /// the record for the request if not.
    pub fn check_and_charge(
        &mut self,
        request: TenantRequest,
        is_over: impl FnOnce(&mut TenantState) -> bool,
    ) -> bool {
        self.evict_idle(request.at);
        let position = self.index.position(request.tenant);
        let position = position.or_else(|| self.make_room(request.at).then(|| self.insert(request)));
        let Some(position) = position else { return self.check_and_charge_without_record(request, is_over) };
        self.move_to_newest(position);
        let state = &mut self.records[position as usize].state;
        let over = is_over(state);
        state.updated_at = request.at;
        if !over {
            state.allowance -= 1.0;
        }
        over
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns the memory that the table takes, in bytes.
    pub fn bytes(&self) -> usize {
        self.records.capacity() * size_of::<TenantRecord>()
            + self.index.bytes()
            + self.overflow.as_ref().map_or(0, Overflow::bytes)
    }

    /// Evicts the idle records of tenants that are no longer known.
    pub fn evict_idle_unknown(&mut self, now: Nanos, is_known: impl Fn(TenantId) -> bool) {
        let mut position = self.oldest;
        let mut unknown = Vec::new();
        while position != NONE && self.is_idle(position, now, EARNING_SPAN) {
            let tenant = self.index.tenant(position);
            if !is_known(tenant) {
                unknown.push(tenant);
            }
            position = self.records[position as usize].newer;
        }
        for tenant in unknown {
            if let Some(position) = self.index.position(tenant) {
                self.remove(position);
            }
        }
    }

    /// Like [`Self::check_and_charge`], for a tenant that has no record and can't get one.
    fn check_and_charge_without_record(
        &mut self,
        request: TenantRequest,
        is_over: impl FnOnce(&mut TenantState) -> bool,
    ) -> bool {
        let overflow = self.overflow.get_or_insert_default();
        let mut state = overflow.estimated_state(request);
        let over = is_over(&mut state);
        if !over {
            overflow.charge(request, state.allowance - 1.0);
        }
        over
    }

    fn is_idle(&self, position: u32, now: Nanos, span: Nanos) -> bool {
        now.saturating_sub(self.records[position as usize].state.updated_at) >= span
    }

    /// Frees the overflow counters once no tenant has a debt, and evicts a bounded number of idle records.
    fn evict_idle(&mut self, now: Nanos) {
        if self.overflow.as_ref().is_some_and(|overflow| overflow.is_clear(now)) {
            self.overflow = None;
        }
        for _ in 0..MAX_EVICTIONS_PER_REQUEST {
            if self.records.len() <= KEPT_IDLE_TENANT_RECORDS
                || !self.is_idle(self.oldest, now, EVICT_IDLE_AFTER)
            {
                return;
            }
            self.remove(self.oldest);
        }
    }

    /// Ensures that there is room for another record, if need be by evicting an idle one. Returns whether
    /// there is.
    fn make_room(&mut self, now: Nanos) -> bool {
        if self.records.len() < MAX_TENANT_RECORDS {
            return true;
        }
        let idle = self.is_idle(self.oldest, now, EARNING_SPAN);
        if idle {
            self.remove(self.oldest);
        }
        idle
    }

    fn insert(&mut self, request: TenantRequest) -> u32 {
        let overflow = self.overflow.as_ref().filter(|overflow| overflow.has_debt(request));
        let state = overflow.map_or_else(TenantState::default, |overflow| overflow.estimated_state(request));
        let position = self.index.push(request.tenant);
        self.records.push(TenantRecord { state, older: NONE, newer: NONE });
        self.push_newest(position);
        position
    }

    fn remove(&mut self, position: u32) {
        self.unlink(position);
        self.records.swap_remove(position as usize);
        self.index.swap_remove(position);
        // The last record has moved to the freed position.
        if let Some(moved) = self.records.get(position as usize) {
            let (older, newer) = (moved.older, moved.newer);
            *self.newer_of(older) = position;
            *self.older_of(newer) = position;
        }
        if self.records.len() * 4 <= self.records.capacity() && self.records.len() >= KEPT_IDLE_TENANT_RECORDS
        {
            self.records.shrink_to(self.records.len() * 2);
            self.index.shrink_to(self.records.len() * 2);
        }
    }

    fn move_to_newest(&mut self, position: u32) {
        if self.newest != position {
            self.unlink(position);
            self.push_newest(position);
        }
    }

    fn push_newest(&mut self, position: u32) {
        let older = self.newest;
        let record = &mut self.records[position as usize];
        (record.older, record.newer) = (older, NONE);
        *self.newer_of(older) = position;
        self.newest = position;
    }

    fn unlink(&mut self, position: u32) {
        let TenantRecord { older, newer, .. } = self.records[position as usize];
        *self.newer_of(older) = newer;
        *self.older_of(newer) = older;
    }

    /// Returns the link to the next newer record. At [`NONE`] this is the link to the oldest record.
    fn newer_of(&mut self, position: u32) -> &mut u32 {
        if position == NONE { &mut self.oldest } else { &mut self.records[position as usize].newer }
    }

    /// Returns the link to the next older record. At [`NONE`] this is the link to the newest record.
    fn older_of(&mut self, position: u32) -> &mut u32 {
        if position == NONE { &mut self.newest } else { &mut self.records[position as usize].older }
    }
}
