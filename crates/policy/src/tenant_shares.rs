//! The tenants of a configuration and their shares, held once for all pools.

use std::sync::Arc;

use rustc_hash::FxHashMap;

use crate::hash_ring::mix;
use crate::{Tenant, TenantId};

#[derive(Debug)]
struct Shares {
    by_id: FxHashMap<TenantId, Tenant>,
    /// Equal for equal shares, whatever their order: unequal ones are found fast.
    digest: u64,
    /// Computed once, since each pool asks for it at each change.
    is_sound: bool,
}

/// Shares by the tenants' ids. A clone is another reference to the same shares.
#[derive(Clone, Debug)]
pub struct TenantShares(Arc<Shares>);

impl Default for TenantShares {
    fn default() -> Self {
        std::iter::empty::<Tenant>().collect()
    }
}

impl TenantShares {
    /// A tenant's share, where it is known.
    #[must_use]
    pub fn get(&self, id: TenantId) -> Option<&Tenant> {
        self.0.by_id.get(&id)
    }

    /// How many tenants there are.
    #[must_use]
    pub fn len(&self) -> usize {
        self.0.by_id.len()
    }

    /// Whether there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.by_id.is_empty()
    }

    /// All tenants, in no order.
    pub fn iter(&self) -> impl Iterator<Item = (TenantId, &Tenant)> {
        self.0.by_id.iter().map(|(id, tenant)| (*id, tenant))
    }

    /// Whether all shares and allowances are numbers that can be used: finite and not negative.
    #[must_use]
    pub fn is_sound(&self) -> bool {
        self.0.is_sound
    }

    /// Whether both are one and the same in memory.
    #[must_use]
    pub fn is_same(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.0, &other.0)
    }
}

impl PartialEq for TenantShares {
    fn eq(&self, other: &Self) -> bool {
        self.is_same(other) || (self.0.digest == other.0.digest && self.0.by_id == other.0.by_id)
    }
}

impl FromIterator<(TenantId, Tenant)> for TenantShares {
    fn from_iter<T: IntoIterator<Item = (TenantId, Tenant)>>(tenants: T) -> Self {
        let by_id: FxHashMap<_, _> = tenants.into_iter().collect();
        let digest = by_id.iter().fold(0, |sum: u64, (id, tenant)| sum.wrapping_add(digest(*id, tenant)));
        let is_sound = by_id.values().all(is_sound);
        Self(Arc::new(Shares { by_id, digest, is_sound }))
    }
}

/// Tenants whose ids are their positions.
impl FromIterator<Tenant> for TenantShares {
    fn from_iter<T: IntoIterator<Item = Tenant>>(tenants: T) -> Self {
        (0..).map(TenantId).zip(tenants).collect()
    }
}

impl From<Vec<Tenant>> for TenantShares {
    fn from(tenants: Vec<Tenant>) -> Self {
        tenants.into_iter().collect()
    }
}

fn is_sound(tenant: &Tenant) -> bool {
    [tenant.share, tenant.allowance_per_s].iter().all(|number| number.is_finite() && *number >= 0.0)
}

fn digest(id: TenantId, tenant: &Tenant) -> u64 {
    let share = mix(u64::from(id.0) ^ mix(tenant.share.to_bits()));
    mix(share ^ tenant.allowance_per_s.to_bits())
}
