//! What each tenant has earned in one pool: a bounded table of records. Whether a tenant is over its share is
//! decided in `src/policy.rs` (`over_share`); this module says whose record is kept.
//!
//! A tenant earns an allowance for at most [`EARNING_S`] seconds at a time. After so long without a request,
//! one with a record has what it had left plus the whole span's earnings (up to the most it may save); one
//! without a record has the span's earnings alone. Hence the rule:
//!
//! 1. A record of a tenant that has asked within the last [`EARNING_S`] seconds is never dropped: a new
//!    record would give its tenant back what it has spent.
//! 2. A record that is idle for longer may be dropped, the one idle for longest first. Its tenant never
//!    gains by that; it loses at most what it had saved. While a pool has no more than [`KEPT_STATES`]
//!    records none is dropped, so with few tenants every answer is the one of a record for each. Beyond
//!    that, records idle for [`RELEASE_AFTER`] are dropped as requests come, and from [`MOST_STATES`] on a
//!    new tenant takes the place of one idle for [`EARNING_S`] seconds.
//! 3. Where all [`MOST_STATES`] records are recent, a new tenant gets none. It is judged by a record made
//!    up from [`Overflow`], a small table of shared counters that never says less than what the tenant
//!    itself has used. It is neither over its share for lack of a record nor within it without a count.
//!    Once it gets a record, that one begins with what the counters say.
//!
//! By 2 and 3 a tenant that earns at a steady rate never has more requests within its share, counted from its
//! first one, than with a record that is never dropped (`tests/tenants.rs` has this as a property).

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
pub const KEPT_STATES: usize = 256;
/// Most records of a pool: what fills a hash table of 4,096 buckets.
pub const MOST_STATES: usize = 3_584;
/// Beyond [`KEPT_STATES`], records without a request for so long are dropped.
const RELEASE_AFTER: Nanos = 600 * SECOND;
/// Records dropped at most with each request, so that none pays for many.
const RELEASED_AT_ONCE: usize = 2;
/// End of the list of records.
const NONE: u32 = u32::MAX;

/// What a tenant has left, and when it was last asked for.
#[derive(Clone, Copy, Default)]
pub(crate) struct TenantState {
    pub allowance: f64,
    pub at: Nanos,
}

/// A request of a tenant, as the table has to know it.
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
    fn fresh(&self) -> f64 {
        (self.rate_per_s * seconds(self.at).min(EARNING_S)).min(self.max_saved)
    }

    /// What it has once the clock has gone on for so long.
    fn full(&self) -> f64 {
        (self.rate_per_s * EARNING_S).min(self.max_saved)
    }
}

/// A record in the list from the oldest to the newest last request.
struct Slot {
    tenant: TenantId,
    state: TenantState,
    older: u32,
    newer: u32,
}

/// Records of the tenants that have traffic in a pool.
pub(crate) struct TenantTable {
    places: FxHashMap<TenantId, u32>,
    slots: Vec<Slot>,
    oldest: u32,
    newest: u32,
    overflow: Option<Overflow>,
}

impl Default for TenantTable {
    fn default() -> Self {
        let (places, slots) = (FxHashMap::default(), Vec::new());
        Self { places, slots, oldest: NONE, newest: NONE, overflow: None }
    }
}

impl TenantTable {
    /// Has `is_over` judge a request by its tenant's record, and takes one request off the allowance where it
    /// is not.
    pub fn judge(&mut self, request: TenantRequest, is_over: impl FnOnce(&mut TenantState) -> bool) -> bool {
        self.release(request.at);
        let place = self.places.get(&request.tenant).copied();
        let place = place.or_else(|| self.make_room(request.at).then(|| self.insert(request)));
        let Some(place) = place else { return self.judge_unlisted(request, is_over) };
        self.touch(place);
        let state = &mut self.slots[place as usize].state;
        let over = is_over(state);
        state.at = request.at;
        if !over {
            state.allowance -= 1.0;
        }
        over
    }

    /// Records in use.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Bytes of memory that the table holds; of the hash table a bucket's entry and its byte of control.
    pub fn bytes(&self) -> usize {
        let bucket = size_of::<(TenantId, u32)>() + 1;
        self.slots.capacity() * size_of::<Slot>()
            + self.places.capacity() * 8 / 7 * bucket
            + self.overflow.as_ref().map_or(0, Overflow::bytes)
    }

    /// Drops idle records of tenants that are no longer known.
    pub fn forget_unknown(&mut self, now: Nanos, is_known: impl Fn(TenantId) -> bool) {
        let mut place = self.oldest;
        let mut unknown = Vec::new();
        while place != NONE && self.is_idle(place, now, EARNING_SPAN) {
            let slot = &self.slots[place as usize];
            if !is_known(slot.tenant) {
                unknown.push(slot.tenant);
            }
            place = slot.newer;
        }
        for tenant in unknown {
            if let Some(&place) = self.places.get(&tenant) {
                self.remove(place);
            }
        }
    }

    /// A request of a tenant that has no record and can't get one.
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

    fn is_idle(&self, place: u32, now: Nanos, span: Nanos) -> bool {
        now.saturating_sub(self.slots[place as usize].state.at) >= span
    }

    /// Drops what is of no more use, a little at a time.
    fn release(&mut self, now: Nanos) {
        if self.overflow.as_ref().is_some_and(|overflow| overflow.is_paid(now)) {
            self.overflow = None;
        }
        for _ in 0..RELEASED_AT_ONCE {
            if self.slots.len() <= KEPT_STATES || !self.is_idle(self.oldest, now, RELEASE_AFTER) {
                return;
            }
            self.remove(self.oldest);
        }
    }

    /// Whether there is room for another record.
    fn make_room(&mut self, now: Nanos) -> bool {
        if self.slots.len() < MOST_STATES {
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
        let place = self.slots.len() as u32;
        self.slots.push(Slot { tenant: request.tenant, state, older: NONE, newer: NONE });
        self.places.insert(request.tenant, place);
        self.link(place);
        place
    }

    fn remove(&mut self, place: u32) {
        self.unlink(place);
        let slot = self.slots.swap_remove(place as usize);
        self.places.remove(&slot.tenant);
        // The last record has taken the free place.
        if let Some(moved) = self.slots.get(place as usize) {
            let (tenant, older, newer) = (moved.tenant, moved.older, moved.newer);
            self.places.insert(tenant, place);
            *self.newer_of(older) = place;
            *self.older_of(newer) = place;
        }
        if self.slots.len() * 4 <= self.slots.capacity() && self.slots.len() >= KEPT_STATES {
            self.slots.shrink_to(self.slots.len() * 2);
            self.places.shrink_to(self.slots.len() * 2);
        }
    }

    fn touch(&mut self, place: u32) {
        if self.newest != place {
            self.unlink(place);
            self.link(place);
        }
    }

    fn link(&mut self, place: u32) {
        let older = self.newest;
        let slot = &mut self.slots[place as usize];
        (slot.older, slot.newer) = (older, NONE);
        *self.newer_of(older) = place;
        self.newest = place;
    }

    fn unlink(&mut self, place: u32) {
        let Slot { older, newer, .. } = self.slots[place as usize];
        *self.newer_of(older) = newer;
        *self.older_of(newer) = older;
    }

    /// Where the record behind another is noted; behind the end is the oldest.
    fn newer_of(&mut self, place: u32) -> &mut u32 {
        if place == NONE { &mut self.oldest } else { &mut self.slots[place as usize].newer }
    }

    /// Where the record before another is noted; before the end is the newest.
    fn older_of(&mut self, place: u32) -> &mut u32 {
        if place == NONE { &mut self.newest } else { &mut self.slots[place as usize].older }
    }
}
