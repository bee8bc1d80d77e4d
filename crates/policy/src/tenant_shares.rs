//! The tenants of a configuration and their shares, stored once for all pools.

use std::sync::Arc;

use rustc_hash::FxHashMap;

use crate::hash_ring::mix64;
use crate::{Tenant, TenantId};

#[derive(Debug)]
struct Shares {
    by_id: FxHashMap<TenantId, Tenant>,
    /// Independent of the order of tenants. Detects unequal shares without a comparison of all tenants.
    digest: u64,
    /// Computed once, since every pool asks for it at each change.
    is_valid: bool,
}

/// Shares by tenant id. A clone refers to the same allocation.
#[derive(Clone, Debug)]
pub struct TenantShares(Arc<Shares>);

impl Default for TenantShares {
    fn default() -> Self {
        std::iter::empty::<Tenant>().collect()
    }
}

impl TenantShares {
    /// Returns the share of a tenant, if the tenant is known.
    #[must_use]
    pub fn get(&self, id: TenantId) -> Option<&Tenant> {
        self.0.by_id.get(&id)
    }

    /// Returns the number of tenants.
    #[must_use]
    pub fn len(&self) -> usize {
        self.0.by_id.len()
    }

    /// Returns whether there are no tenants.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.by_id.is_empty()
    }

    /// Returns all tenants, in unspecified order.
    pub fn iter(&self) -> impl Iterator<Item = (TenantId, &Tenant)> {
        self.0.by_id.iter().map(|(id, tenant)| (*id, tenant))
    }

    /// Returns whether all shares and allowances are valid: finite and not negative.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        self.0.is_valid
    }

    /// Returns whether both refer to the same allocation.
    #[must_use]
    pub fn ptr_eq(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.0, &other.0)
    }
}

impl PartialEq for TenantShares {
    fn eq(&self, other: &Self) -> bool {
        self.ptr_eq(other) || (self.0.digest == other.0.digest && self.0.by_id == other.0.by_id)
    }
}

impl FromIterator<(TenantId, Tenant)> for TenantShares {
    fn from_iter<T: IntoIterator<Item = (TenantId, Tenant)>>(tenants: T) -> Self {
        let by_id: FxHashMap<_, _> = tenants.into_iter().collect();
        let digest = by_id.iter().fold(0, |sum: u64, (id, tenant)| sum.wrapping_add(digest(*id, tenant)));
        let is_valid = by_id.values().all(is_valid);
        Self(Arc::new(Shares { by_id, digest, is_valid }))
    }
}

/// Assigns ids by position, starting at 0.
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

fn is_valid(tenant: &Tenant) -> bool {
    [tenant.share, tenant.allowance_per_s].iter().all(|number| number.is_finite() && *number >= 0.0)
}

fn digest(id: TenantId, tenant: &Tenant) -> u64 {
    let share = mix64(u64::from(id.0) ^ mix64(tenant.share.to_bits()));
    mix64(share ^ tenant.allowance_per_s.to_bits())
}
