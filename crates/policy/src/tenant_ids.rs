//! Tenant ids: a name keeps its id as long as the configuration contains it.
//!
//! A name that is removed and added again within [`RETIRED_ID_LIFETIME`] gets its previous id back, and with
//! it its state in every pool: a new id would give a tenant over its share a fresh allowance. After that time
//! it gets a new id; its former state has no effect any more by then (see `tenant_table`). Ids in use or
//! retired are not assigned, so that no id refers to another tenant while the state of its former tenant may
//! still have an effect.

use std::sync::Arc;

use rustc_hash::{FxHashMap, FxHashSet};

use crate::tenant_shares::TenantShares;
use crate::{Nanos, SECOND, Tenant, TenantId};

/// How long the id of a removed name stays reserved for it: the longest span for which a tenant earns
/// allowance.
pub const RETIRED_ID_LIFETIME: Nanos = 10 * SECOND;
/// Maximum number of retired ids. Names removed beyond that get a new id when they are added again.
const MAX_RETIRED: usize = 65_536;

/// Tenant ids by name.
pub type IdsByName = FxHashMap<Arc<str>, TenantId>;

/// The id of a removed name, and when it was removed.
#[derive(Clone, Copy, Debug)]
struct RetiredId {
    id: TenantId,
    retired_at: Nanos,
}

/// The tenants of the current configuration with their ids.
#[derive(Clone, Debug, Default)]
pub struct TenantIds {
    ids: Arc<IdsByName>,
    shares: TenantShares,
    retired: FxHashMap<Arc<str>, RetiredId>,
    /// Ids in use or retired, which must not be assigned.
    reserved: FxHashSet<TenantId>,
    next: u32,
}

impl TenantIds {
    /// Replaces the tenants by those of another configuration. An unchanged id or share table keeps its
    /// allocation.
    pub fn update<'a>(&mut self, tenants: impl IntoIterator<Item = (&'a str, Tenant)>, now: Nanos) {
        self.retired.retain(|_, retired| now.saturating_sub(retired.retired_at) < RETIRED_ID_LIFETIME);
        let mut ids = IdsByName::default();
        let mut shares = Vec::new();
        for (name, tenant) in tenants {
            let (name, id) = self.find_id(name).unwrap_or_else(|| (name.into(), self.new_id()));
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

    /// Returns the id of a name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<TenantId> {
        self.ids.get(name).copied()
    }

    /// Returns all ids by name.
    #[must_use]
    pub fn by_name(&self) -> &Arc<IdsByName> {
        &self.ids
    }

    /// Returns the shares of all tenants by id.
    #[must_use]
    pub fn shares(&self) -> &TenantShares {
        &self.shares
    }

    /// Returns a name and its id if the id is in use or retired.
    fn find_id(&self, name: &str) -> Option<(Arc<str>, TenantId)> {
        let in_use = self.ids.get_key_value(name).map(|(name, id)| (name.clone(), *id));
        in_use.or_else(|| self.retired.get_key_value(name).map(|(name, retired)| (name.clone(), retired.id)))
    }

    fn new_id(&mut self) -> TenantId {
        loop {
            let id = TenantId(self.next);
            self.next = self.next.wrapping_add(1);
            if self.reserved.insert(id) {
                return id;
            }
        }
    }

    /// Retires the ids of names missing from `ids`, and rebuilds the set of ids that must not be assigned.
    fn retire(&mut self, ids: &IdsByName, now: Nanos) {
        self.retired.retain(|name, _| !ids.contains_key(name));
        for (name, id) in self.ids.iter().filter(|(name, _)| !ids.contains_key(*name)) {
            if self.retired.len() < MAX_RETIRED {
                self.retired.insert(name.clone(), RetiredId { id: *id, retired_at: now });
            }
        }
        self.reserved =
            ids.values().copied().chain(self.retired.values().map(|retired| retired.id)).collect();
    }
}
