//! Single deltas: which are rejected, and that a rejected one changes nothing.

mod common;

use std::sync::Arc;

use common::*;
use pumicehead_policy::DedupScope;
use pumicehead_resources::{
    ApplyError, Change, ClassSettings, Idempotency, Kind, PoolSettings, Resource, ResourceId, ValidationError,
};

/// Applies changes that must be rejected, and returns the error.
fn rejection_of(changes: impl IntoIterator<Item = Change>) -> ApplyError {
    let mut state = snapshot(base());
    let (before, digest) = (state.clone(), state.digest());
    let error = state.apply(&delta(changes)).expect_err("the changes must be rejected");
    assert_eq!(state, before, "a rejected delta must not change the snapshot");
    assert_eq!(state.digest(), digest);
    error
}

fn route_id(route_name: &str) -> ResourceId {
    ResourceId::Route(name(route_name))
}

#[test]
fn a_rejected_delta_changes_nothing() {
    // Valid changes before and after one that refers to a missing pool.
    let error = rejection_of([
        Change::Set(pool("p9", 2)),
        Change::Remove(route_id("r0")),
        Change::Set(route("r8", "/8", "c0", "nowhere", None)),
        Change::Set(class("c9", 1.0, Idempotency::Idempotent)),
    ]);
    let dangling =
        ValidationError::DanglingReference { from: route_id("r8"), to: ResourceId::Pool(name("nowhere")) };
    assert_eq!(error, ApplyError::Invalid(dangling));
    // A change that can't be applied, after one that can.
    let missing = ResourceId::Tenant(name("t9"));
    let error = rejection_of([Change::Set(pool("p9", 2)), Change::Remove(missing.clone())]);
    assert_eq!(error, ApplyError::NotFound(missing));
}

#[test]
fn referenced_and_required_resources_are_not_removed() {
    for (removed, from) in [
        (ResourceId::Pool(name("p0")), ResourceId::Endpoint { pool: name("p0"), name: name("s0") }),
        (ResourceId::Class(name("c1")), route_id("r1")),
        (ResourceId::Tenant(name("t0")), route_id("r1")),
    ] {
        let error = rejection_of([Change::Remove(removed.clone())]);
        assert_eq!(error, ApplyError::Invalid(ValidationError::DanglingReference { from, to: removed }));
    }
    assert_eq!(rejection_of([Change::Remove(ResourceId::Node)]), ApplyError::NodeRemoved);
    let all_listeners = [Change::Remove(ResourceId::Listener(name("l0")))];
    assert_eq!(rejection_of(all_listeners), ApplyError::Invalid(ValidationError::NoneOfKind(Kind::Listener)));
}

#[test]
fn invalid_values_are_rejected() {
    let of = ResourceId::Endpoint { pool: name("p0"), name: name("s0") };
    for weight in [0.0, -1.0, f64::NAN, f64::INFINITY] {
        let error = rejection_of([Change::Set(endpoint("p0", "s0", "a", weight))]);
        assert_eq!(
            error,
            ApplyError::Invalid(ValidationError::OutOfRange { resource: of.clone(), setting: "weight" })
        );
    }
    let error = rejection_of([Change::Set(endpoint("p0", "s0", "nowhere", 1.0))]);
    assert_eq!(error, ApplyError::Invalid(ValidationError::UnknownZone { from: of, zone: "nowhere".into() }));
    let error = rejection_of([Change::Set(listener("l1", 8_000))]);
    let (one, other) = (ResourceId::Listener(name("l0")), ResourceId::Listener(name("l1")));
    assert_eq!(error, ApplyError::Invalid(ValidationError::DuplicateAddress(one, other)));
}

#[test]
fn only_the_state_after_all_changes_is_validated() {
    let mut state = snapshot(base());
    // The class is removed before the route that uses it changes.
    let changes = [
        Change::Remove(ResourceId::Class(name("c1"))),
        Change::Remove(ResourceId::Tenant(name("t0"))),
        Change::Set(route("r1", "/b/**", "c0", "p1", None)),
    ];
    state.apply(&delta(changes)).unwrap();
    assert_eq!(state.classes().count(), 1);
}

#[test]
fn the_difference_moves_an_endpoint_to_another_pool_or_zone() {
    let from = snapshot(base());
    let moved = |pool: &str, zone: &str| {
        let others = base().into_iter().filter(|one| one.id() != endpoint("p0", "s0", "a", 1.0).id());
        snapshot(others.chain([endpoint(pool, "s1", zone, 1.0)]))
    };
    let removed = ResourceId::Endpoint { pool: name("p0"), name: name("s0") };
    let to_pool = from.difference(&moved("p1", "a"));
    assert_eq!(to_pool, delta([Change::Remove(removed), Change::Set(endpoint("p1", "s1", "a", 1.0))]));
    let in_zone = base().into_iter().map(|one| match one {
        Resource::Endpoint(one) if *one.pool == *"p0" => endpoint("p0", "s0", "b", 1.0),
        other => other,
    });
    let to_zone = from.difference(&snapshot(in_zone));
    assert_eq!(to_zone, delta([Change::Set(endpoint("p0", "s0", "b", 1.0))]));
}

#[test]
fn moving_a_route_changes_order_digest_and_difference() {
    let mut state = snapshot(base());
    let digest = state.digest();
    let first = Change::MoveRoute { route: name("r2"), before: Some(name("r0")) };
    state.apply(&delta([first.clone()])).unwrap();
    let order: Vec<_> = state.routes().map(|route| route.name.to_string()).collect();
    assert_eq!(order, ["r2", "r0", "r1"]);
    assert_ne!(state.digest(), digest);
    assert_eq!(snapshot(base()).difference(&state), delta([first]));
    state.apply(&delta([Change::MoveRoute { route: name("r2"), before: None }])).unwrap();
    assert_eq!((state.digest(), &state), (digest, &snapshot(base())));
    let missing = rejection_of([Change::MoveRoute { route: name("r0"), before: Some(name("r7")) }]);
    assert_eq!(missing, ApplyError::NotFound(route_id("r7")));
}

/// Nodes of different versions compare digests: a changed encoding needs another hash key, and another value
/// here.
#[test]
fn the_digest_of_a_snapshot_is_stable_between_versions() {
    assert_eq!(snapshot(base()).digest().to_string(), "1c6cfc1bb86d5c17e355b3d5327829eb");
    assert_eq!(snapshot(base()).digest().short(), (snapshot(base()).digest().0 >> 76) as u64);
}

/// A pool with one setting changed.
fn changed_pool(change: impl FnOnce(&mut PoolSettings)) -> Resource {
    let Resource::Pool(pool) = pool("p0", 3) else { panic!("a pool") };
    let mut pool = Arc::unwrap_or_clone(pool);
    change(&mut pool.settings);
    Resource::Pool(Arc::new(pool))
}

/// A class with one setting changed.
fn changed_class(change: impl FnOnce(&mut ClassSettings)) -> Resource {
    let Resource::Class(class) = class("c0", 1.0, Idempotency::Idempotent) else { panic!("a class") };
    let mut class = Arc::unwrap_or_clone(class);
    change(&mut class.settings);
    Resource::Class(Arc::new(class))
}

/// Messages use names of settings that differ from those of the fields, and that operators know from older
/// versions.
#[test]
fn messages_of_values_out_of_range_keep_the_names_of_settings() {
    let no_header = |class: &mut ClassSettings| {
        let (header, scope, window) = (String::new(), DedupScope::All, SECOND);
        class.idempotency = Idempotency::IdempotencyKey { header, scope, window };
    };
    let out_of_range = [
        (changed_pool(|pool| pool.max_attempts = 0), "pool p0: attempts"),
        (changed_pool(|pool| pool.warmup_initial_fraction = 1.5), "pool p0: cold_from"),
        (changed_pool(|pool| pool.overload_multiple = f64::NAN), "pool p0: tips_at"),
        (changed_pool(|pool| pool.cross_zone_cost = -1.0), "pool p0: crossing"),
        (endpoint("p0", "s0", "a", 0.0), "backend s0 of pool p0: weight"),
        (changed_class(|class| class.deadline = 0), "class c0: deadline"),
        (changed_class(|class| class.latency_objective = 3 * SECOND), "class c0: aim"),
        (changed_class(|class| class.priority_weight = -1.0), "class c0: worth"),
        (changed_class(|class| class.late_weight = 2.0), "class c0: late_worth"),
        (changed_class(no_header), "class c0: header"),
        (tenant("t0", 1.5), "tenant t0: share"),
    ];
    for (resource, message) in out_of_range {
        assert_eq!(rejection_of([Change::Set(resource)]).to_string(), format!("{message} is out of range"));
    }
}
