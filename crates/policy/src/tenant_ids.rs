//! Ids of tenants: a name keeps its id for as long as a configuration has it.
//!
//! A name that is removed and comes back within [`RETIRED_FOR`] gets its id back, and with it its state in
//! every pool: a new one would give a tenant over its share a fresh allowance. After that it gets another id;
//! its former state has no effect any more by then (see `tenant_table`). Ids in use or retired are not
//! assigned, so that no id means another tenant while its former tenant's state may count.

use std::sync::Arc;

use rustc_hash::{FxHashMap, FxHashSet};

use crate::tenant_shares::TenantShares;
use crate::{Nanos, SECOND, Tenant, TenantId};

/// How long a removed name's id is kept for it: the longest span that a tenant earns for.
pub const RETIRED_FOR: Nanos = 10 * SECOND;
/// Most removed names that are remembered; others come back as new ones.
const MAX_RETIRED: usize = 65_536;

/// Ids by name.
pub type IdsByName = FxHashMap<Arc<str>, TenantId>;

/// A removed name's id, and when it was removed.
#[derive(Clone, Copy, Debug)]
struct Retired {
    id: TenantId,
    at: Nanos,
}

/// The tenants of the configuration in force, with their ids.
#[derive(Clone, Debug, Default)]
pub struct TenantIds {
    ids: Arc<IdsByName>,
    shares: TenantShares,
    retired: FxHashMap<Arc<str>, Retired>,
    /// Ids in use or retired.
    taken: FxHashSet<TenantId>,
    next: u32,
}

impl TenantIds {
    /// Updates to the tenants of another configuration. What is equal stays the same in memory.
    pub fn update<'a>(&mut self, tenants: impl IntoIterator<Item = (&'a str, Tenant)>, now: Nanos) {
        self.retired.retain(|_, retired| now.saturating_sub(retired.at) < RETIRED_FOR);
        let mut ids = IdsByName::default();
        let mut shares = Vec::new();
        for (name, tenant) in tenants {
            let (name, id) = self.known(name).unwrap_or_else(|| (name.into(), self.new_id()));
            shares.push((id, tenant));
            ids.insert(name, id);
        }
        self.retire(&ids, now);
        if *self.ids != ids {
            self.ids = Arc::new(ids);
        }
        let shares: TenantShares = shares.into_iter().collect();
        if self.shares != shares {
            self.shares = shares;
        }
    }

    /// A name's id.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<TenantId> {
        self.ids.get(name).copied()
    }

    /// All names with their ids.
    #[must_use]
    pub fn by_name(&self) -> &Arc<IdsByName> {
        &self.ids
    }

    /// All shares by the ids.
    #[must_use]
    pub fn shares(&self) -> &TenantShares {
        &self.shares
    }

    /// Returns a name that has an id, with its id.
    fn known(&self, name: &str) -> Option<(Arc<str>, TenantId)> {
        let in_use = self.ids.get_key_value(name).map(|(name, id)| (name.clone(), *id));
        in_use.or_else(|| self.retired.get_key_value(name).map(|(name, retired)| (name.clone(), retired.id)))
    }

    fn new_id(&mut self) -> TenantId {
        loop {
            let id = TenantId(self.next);
            self.next = self.next.wrapping_add(1);
            if self.taken.insert(id) {
                return id;
            }
        }
    }

    /// Retires the ids of the names that are gone, and updates the ids that must not be assigned.
    fn retire(&mut self, ids: &IdsByName, now: Nanos) {
        self.retired.retain(|name, _| !ids.contains_key(name));
        for (name, id) in self.ids.iter().filter(|(name, _)| !ids.contains_key(*name)) {
            if self.retired.len() < MAX_RETIRED {
                self.retired.insert(name.clone(), Retired { id: *id, at: now });
            }
        }
        self.taken = ids.values().copied().chain(self.retired.values().map(|retired| retired.id)).collect();
    }
}
