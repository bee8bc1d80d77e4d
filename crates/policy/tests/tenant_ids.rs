//! Tenant ids, which belong to the names in the configuration.

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

/// An id belongs to the same name before and after an update, whatever the name's position in the file.
#[test]
fn a_name_keeps_its_id() {
    let mut ids = TenantIds::default();
    update(&mut ids, &["a", "b", "c"], 0);
    let (a, c) = (ids.get("a"), ids.get("c"));
    update(&mut ids, &["d", "c", "a"], SECOND);
    assert_eq!((ids.get("a"), ids.get("c"), ids.get("b")), (a, c, None));
    assert_eq!(ids.shares().len(), 3);
}

/// A name that returns within [`RETIRED_ID_LIFETIME`] gets its previous id. Later it gets an id that no name
/// has had.
#[test]
fn a_name_that_returns_in_time_gets_its_previous_id() {
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

/// Tables that don't change keep their allocation, which all pools share.
#[test]
fn unchanged_tables_keep_their_allocation() {
    let mut ids = TenantIds::default();
    update(&mut ids, &["a", "b"], 0);
    let (names, shares) = (ids.by_name().clone(), ids.shares().clone());
    update(&mut ids, &["b", "a"], SECOND);
    assert!(std::sync::Arc::ptr_eq(&names, ids.by_name()) && shares.ptr_eq(ids.shares()));
    ids.update([("a", tenant(0.1)), ("b", tenant(0.2))], SECOND);
    assert!(std::sync::Arc::ptr_eq(&names, ids.by_name()) && shares != *ids.shares());
}

/// Shares that are negative, infinite or not a number are detected in any tenant.
#[test]
fn invalid_shares_are_detected() {
    let shares = |invalid: Tenant| TenantShares::from(vec![tenant(0.1), invalid, tenant(0.2)]);
    assert!(TenantShares::default().is_valid() && shares(tenant(0.0)).is_valid());
    for invalid in [f64::NAN, f64::INFINITY, -0.1] {
        assert!(!shares(tenant(invalid)).is_valid());
        assert!(!shares(Tenant { share: 0.1, allowance_per_s: invalid }).is_valid());
    }
}

proptest! {
    /// No id belongs to two names within the time for which it is reserved.
    #[test]
    fn no_id_belongs_to_two_names_while_it_is_reserved(changes in proptest::collection::vec((0..20 * SECOND, proptest::collection::btree_set(0..12u8, 0..12)), 1..40)) {
        let mut ids = TenantIds::default();
        let mut last_use: BTreeMap<TenantId, (String, Nanos)> = BTreeMap::new();
        let mut now = 0;
        for (after, names) in changes {
            now += after;
            let names: Vec<_> = names.iter().map(|name| format!("tenant-{name}")).collect();
            ids.update(names.iter().map(|name| (name.as_str(), tenant(0.1))), now);
            let assigned: BTreeSet<_> = names.iter().filter_map(|name| ids.get(name)).collect();
            prop_assert_eq!(assigned.len(), names.len());
            prop_assert!(assigned.iter().all(|id| ids.shares().get(*id).is_some()));
            for name in &names {
                let id = ids.get(name).unwrap();
                let former = last_use.insert(id, (name.clone(), now));
                prop_assert!(former.is_none_or(|(other, at)| other == *name || now - at > RETIRED_ID_LIFETIME));
            }
        }
    }
}
