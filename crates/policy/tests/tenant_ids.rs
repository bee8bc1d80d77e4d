//! Ids of tenants that configurations know by name.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use pumicehead_policy::tenant_ids::{RETIRED_ID_LIFETIME, TenantIds};
use pumicehead_policy::tenant_shares::TenantShares;
use pumicehead_policy::{Nanos, SECOND, Tenant, TenantId};

fn tenant(share: f64) -> Tenant {
    Tenant { share, allowance_per_s: 1.0 }
}

fn update(ids: &mut TenantIds, names: &[&str], now: Nanos) {
    ids.update(names.iter().map(|name| (*name, tenant(0.1))), now);
}

/// An id means the same name before and after a change, wherever it stands in the file.
#[test]
fn a_name_keeps_its_id() {
    let mut ids = TenantIds::default();
    update(&mut ids, &["a", "b", "c"], 0);
    let (a, c) = (ids.get("a"), ids.get("c"));
    update(&mut ids, &["d", "c", "a"], SECOND);
    assert_eq!((ids.get("a"), ids.get("c"), ids.get("b")), (a, c, None));
    assert_eq!(ids.shares().len(), 3);
}

/// A name that comes back soon gets its own id, later one that nobody had.
#[test]
fn a_name_that_comes_back_soon_has_its_own_id() {
    let mut ids = TenantIds::default();
    update(&mut ids, &["a", "b"], 0);
    let b = ids.get("b").unwrap();
    update(&mut ids, &["a"], SECOND);
    update(&mut ids, &["a", "new"], SECOND);
    update(&mut ids, &["a", "new", "b"], SECOND + RETIRED_ID_LIFETIME - 1);
    assert_eq!(ids.get("b"), Some(b));
    update(&mut ids, &["a", "new"], 100 * SECOND);
    update(&mut ids, &["a", "new", "b"], 100 * SECOND + RETIRED_ID_LIFETIME);
    assert!(ids.get("b").is_some_and(|id| id != b));
}

/// What does not change stays the same in memory, for all pools.
#[test]
fn what_is_the_same_is_shared() {
    let mut ids = TenantIds::default();
    update(&mut ids, &["a", "b"], 0);
    let (names, shares) = (ids.by_name().clone(), ids.shares().clone());
    update(&mut ids, &["b", "a"], SECOND);
    assert!(std::sync::Arc::ptr_eq(&names, ids.by_name()) && shares.ptr_eq(ids.shares()));
    ids.update([("a", tenant(0.1)), ("b", tenant(0.2))], SECOND);
    assert!(std::sync::Arc::ptr_eq(&names, ids.by_name()) && shares != *ids.shares());
}

/// Shares that are no numbers, or negative, are found in whatever tenant.
#[test]
fn unsound_shares_are_found() {
    let shares = |bad: Tenant| TenantShares::from(vec![tenant(0.1), bad, tenant(0.2)]);
    assert!(TenantShares::default().is_valid() && shares(tenant(0.0)).is_valid());
    for bad in [f64::NAN, f64::INFINITY, -0.1] {
        assert!(!shares(tenant(bad)).is_valid());
        assert!(!shares(Tenant { share: 0.1, allowance_per_s: bad }).is_valid());
    }
}

proptest! {
    /// No id means two names within the time for which it is kept.
    #[test]
    fn no_id_has_two_names(changes in proptest::collection::vec((0..20 * SECOND, proptest::collection::btree_set(0..12u8, 0..12)), 1..40)) {
        let mut ids = TenantIds::default();
        let mut last: BTreeMap<TenantId, (String, Nanos)> = BTreeMap::new();
        let mut now = 0;
        for (after, names) in changes {
            now += after;
            let names: Vec<_> = names.iter().map(|name| format!("tenant-{name}")).collect();
            ids.update(names.iter().map(|name| (name.as_str(), tenant(0.1))), now);
            let given: BTreeSet<_> = names.iter().filter_map(|name| ids.get(name)).collect();
            prop_assert_eq!(given.len(), names.len());
            prop_assert!(given.iter().all(|id| ids.shares().get(*id).is_some()));
            for name in &names {
                let id = ids.get(name).unwrap();
                let former = last.insert(id, (name.clone(), now));
                prop_assert!(former.is_none_or(|(other, at)| other == *name || now - at > RETIRED_ID_LIFETIME));
            }
        }
    }
}
