//! A bounded table of the tenants' allowances in one pool. Whether a tenant is over its share is decided in
//! `tenant_quota`; this module decides whose record is kept.
//!
//! A tenant earns an allowance for at most [`EARNING_S`] seconds at a time. After so long without a request,
//! a tenant with a record has what it had left and the earnings of the whole span (up to the most it may
//! save); one without a record has the earnings alone. Hence:
//!
//! 1. The record of a tenant with a request within the last [`EARNING_S`] seconds is never evicted: a new
//!    record would give the tenant back what it has spent.
//! 2. A record that is idle for longer may be evicted, the one idle for longest first. Its tenant never gains
//!    by that; it loses at most what it had saved. Up to [`KEPT_IDLE_TENANT_RECORDS`] none is evicted. Beyond
//!    that, records idle for [`EVICT_IDLE_AFTER`] are evicted as requests come, and from
//!    [`MAX_TENANT_RECORDS`] on a new tenant takes the place of one idle for [`EARNING_S`] seconds.
//! 3. If all [`MAX_TENANT_RECORDS`] records are recent, a new tenant gets none. It is judged by a record made
//!    up from [`Overflow`], a small table of shared counters that never say less than what the tenant itself
//!    has used. Once it gets a record, that one begins with what the counters say.
//!
//! By 2 and 3 a tenant that earns at a steady rate never has more requests within its share, counted from its
//! first one, than with a record that is never evicted (`tests/tenant_quota.rs` has this as a property).

mod overflow;

use rustc_hash::FxHashMap;

use crate::time::seconds;
use crate::{Nanos, SECOND, TenantId};
use overflow::Overflow;

/// Longest time that a tenant earns for between two of its requests, in seconds.
pub(crate) const EARNING_S: f64 = 10.0;
/// The same as a span: a record without a request for so long is idle.
const EARNING_SPAN: Nanos = EARNING_S as Nanos * SECOND;
/// Records that a pool keeps however long they are idle.
pub const KEPT_IDLE_TENANT_RECORDS: usize = 256;
/// Most records of a pool: what fills a hash table of 4,096 buckets.
pub const MAX_TENANT_RECORDS: usize = 3_584;
/// Beyond [`KEPT_IDLE_TENANT_RECORDS`], records without a request for so long are evicted.
const EVICT_IDLE_AFTER: Nanos = 600 * SECOND;
/// Most records evicted with each request, so that none pays for many.
const MAX_EVICTIONS_PER_REQUEST: usize = 2;
/// End of the list of records.
const NONE: u32 = u32::MAX;

/// What a tenant has left, in requests, and the time of its last request.
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
    /// What the tenant earns a second, in requests.
    pub rate_per_s: f64,
    /// What it may save at most, in requests.
    pub max_saved: f64,
}

impl TenantRequest {
    /// What a tenant without a record has: the earnings of the whole span, or since the clock began.
    fn allowance_without_record(&self) -> f64 {
        (self.rate_per_s * seconds(self.at).min(EARNING_S)).min(self.max_saved)
    }

    /// What it has if the clock has run for so long.
    fn full_allowance(&self) -> f64 {
        (self.rate_per_s * EARNING_S).min(self.max_saved)
    }
}

/// A record in the list from the oldest to the newest last request; the links are positions.
struct TenantRecord {
    tenant: TenantId,
    state: TenantState,
    older: u32,
    newer: u32,
}

/// Records of the tenants that have traffic in a pool.
pub(crate) struct TenantTable {
    positions: FxHashMap<TenantId, u32>,
    records: Vec<TenantRecord>,
    oldest: u32,
    newest: u32,
    overflow: Option<Overflow>,
}

impl Default for TenantTable {
    fn default() -> Self {
        let (positions, records) = (FxHashMap::default(), Vec::new());
        Self { positions, records, oldest: NONE, newest: NONE, overflow: None }
    }
}

impl TenantTable {
    /// Returns what `is_over` says of a request by its tenant's record, and charges the record if it isn't
    /// over.
    pub fn judge(&mut self, request: TenantRequest, is_over: impl FnOnce(&mut TenantState) -> bool) -> bool {
        self.evict_idle(request.at);
        let position = self.positions.get(&request.tenant).copied();
        let position = position.or_else(|| self.make_room(request.at).then(|| self.insert(request)));
        let Some(position) = position else { return self.judge_unlisted(request, is_over) };
        self.touch(position);
        let state = &mut self.records[position as usize].state;
        let over = is_over(state);
        state.updated_at = request.at;
        if !over {
            state.allowance -= 1.0;
        }
        over
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Bytes of memory that the table holds; a bucket of the hash table is its entry and a control byte.
    pub fn bytes(&self) -> usize {
        let bucket = size_of::<(TenantId, u32)>() + 1;
        self.records.capacity() * size_of::<TenantRecord>()
            + self.positions.capacity() * 8 / 7 * bucket
            + self.overflow.as_ref().map_or(0, Overflow::bytes)
    }

    /// Evicts idle records of tenants that are no longer known.
    pub fn forget_unknown(&mut self, now: Nanos, is_known: impl Fn(TenantId) -> bool) {
        let mut position = self.oldest;
        let mut unknown = Vec::new();
        while position != NONE && self.is_idle(position, now, EARNING_SPAN) {
            let record = &self.records[position as usize];
            if !is_known(record.tenant) {
                unknown.push(record.tenant);
            }
            position = record.newer;
        }
        for tenant in unknown {
            if let Some(&position) = self.positions.get(&tenant) {
                self.remove(position);
            }
        }
    }

    /// Judges a request of a tenant that has no record and can't get one.
    fn judge_unlisted(
        &mut self,
        request: TenantRequest,
        is_over: impl FnOnce(&mut TenantState) -> bool,
    ) -> bool {
        let overflow = self.overflow.get_or_insert_default();
        let mut state = overflow.state(request);
        let over = is_over(&mut state);
        if !over {
            overflow.charge(request, state.allowance - 1.0);
        }
        over
    }

    fn is_idle(&self, position: u32, now: Nanos, span: Nanos) -> bool {
        now.saturating_sub(self.records[position as usize].state.updated_at) >= span
    }

    /// Evicts what is of no more use, a little at a time.
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

    /// Makes room for another record; returns whether there is any.
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
        let overflow = self.overflow.as_ref().filter(|overflow| overflow.owes(request));
        let state = overflow.map_or_else(TenantState::default, |overflow| overflow.state(request));
        let position = self.records.len() as u32;
        self.records.push(TenantRecord { tenant: request.tenant, state, older: NONE, newer: NONE });
        self.positions.insert(request.tenant, position);
        self.link(position);
        position
    }

    fn remove(&mut self, position: u32) {
        self.unlink(position);
        let record = self.records.swap_remove(position as usize);
        self.positions.remove(&record.tenant);
        // The last record has moved to the free position.
        if let Some(moved) = self.records.get(position as usize) {
            let (tenant, older, newer) = (moved.tenant, moved.older, moved.newer);
            self.positions.insert(tenant, position);
            *self.newer_of(older) = position;
            *self.older_of(newer) = position;
        }
        if self.records.len() * 4 <= self.records.capacity() && self.records.len() >= KEPT_IDLE_TENANT_RECORDS
        {
            self.records.shrink_to(self.records.len() * 2);
            self.positions.shrink_to(self.records.len() * 2);
        }
    }

    fn touch(&mut self, position: u32) {
        if self.newest != position {
            self.unlink(position);
            self.link(position);
        }
    }

    fn link(&mut self, position: u32) {
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

    /// The link to the record that is newer than another; newer than the end is the oldest.
    fn newer_of(&mut self, position: u32) -> &mut u32 {
        if position == NONE { &mut self.oldest } else { &mut self.records[position as usize].newer }
    }

    /// The link to the record that is older than another; older than the end is the newest.
    fn older_of(&mut self, position: u32) -> &mut u32 {
        if position == NONE { &mut self.newest } else { &mut self.records[position as usize].older }
    }
}
