//! Small snapshots, and random changes to them.

#![allow(dead_code, reason = "each test program uses only some of the items")]

use std::sync::Arc;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use pumicehead_resources::{
    Address, Change, Class, ClassSettings, Delta, Endpoint, EndpointSource, Idempotency, KeySource, Listener,
    Name, Node, Pool, PoolSettings, Protocol, Resource, ResourceId, Route, Snapshot, Tenant, TenantSource,
};
use pumicehead_route::{HostPattern, Methods, Route as Pattern};

pub const SECOND: u64 = 1_000_000_000;

pub fn cases(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(23),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

pub fn name(text: &str) -> Name {
    text.into()
}

pub fn node() -> Resource {
    Resource::Node(Arc::new(Node {
        name: name("n1"),
        zones: vec![name("a"), name("b")],
        zone: name("a"),
        node_count: 1,
        ..Node::default()
    }))
}

pub fn listener(own_name: &str, port: u16) -> Resource {
    let address = ([127, 0, 0, 1], port).into();
    Resource::Listener(Arc::new(Listener { name: name(own_name), address, protocol: Protocol::Http }))
}

pub fn pool(own_name: &str, attempts: u32) -> Resource {
    Resource::Pool(Arc::new(Pool {
        name: name(own_name),
        endpoint_source: EndpointSource::Static,
        settings: PoolSettings {
            protocol: Protocol::Http,
            script_name: String::new(),
            document_root: String::new(),
            warmup_duration: SECOND,
            warmup_initial_fraction: 0.1,
            overload_multiple: 2.0,
            overload_duration: SECOND,
            connect_timeout: SECOND,
            idle_timeout: SECOND,
            max_attempts: attempts,
            concurrent_attempts: false,
            cross_zone_cost: 0.01,
        },
    }))
}

pub fn endpoint(pool: &str, own_name: &str, zone: &str, weight: f64) -> Resource {
    let address = Address::Tcp(([127, 0, 0, 1], 9_000).into());
    let (pool, zone) = (name(pool), name(zone));
    Resource::Endpoint(Arc::new(Endpoint { pool, name: name(own_name), address, zone, weight, cell: 0 }))
}

pub fn class(own_name: &str, priority_weight: f64, idempotency: Idempotency) -> Resource {
    let settings = ClassSettings {
        latency_objective: SECOND,
        deadline: 2 * SECOND,
        priority_weight,
        late_weight: 0.0,
        idempotency,
        ordered_by_key: false,
    };
    Resource::Class(Arc::new(Class { name: name(own_name), settings }))
}

pub fn tenant(own_name: &str, share: f64) -> Resource {
    Resource::Tenant(Arc::new(Tenant { name: name(own_name), share, allowance_per_s: 10.0 }))
}

pub fn route(own_name: &str, path: &str, class: &str, pool: &str, tenant: Option<&str>) -> Resource {
    Resource::Route(Arc::new(Route {
        name: name(own_name),
        pattern: Pattern {
            host: HostPattern::Any,
            path: path.parse().expect("a valid path pattern"),
            methods: Methods::Any,
            headers: Vec::new(),
        },
        class: name(class),
        pool: name(pool),
        tenant: tenant.map_or(TenantSource::None, |tenant| TenantSource::Fixed(name(tenant))),
        key: KeySource::None,
    }))
}

/// Resources of a snapshot with two of most kinds.
pub fn base() -> Vec<Resource> {
    vec![
        node(),
        listener("l0", 8_000),
        pool("p0", 3),
        pool("p1", 3),
        endpoint("p0", "s0", "a", 1.0),
        endpoint("p1", "s0", "b", 1.0),
        class("c0", 1.0, Idempotency::Idempotent),
        class("c1", 10.0, Idempotency::NotIdempotent),
        tenant("t0", 0.5),
        route("r0", "/a/**", "c0", "p0", None),
        route("r1", "/b/**", "c1", "p1", Some("t0")),
        route("r2", "/**", "c0", "p1", None),
    ]
}

pub fn snapshot(resources: impl IntoIterator<Item = Resource>) -> Snapshot {
    Snapshot::build(resources).expect("the resources are valid")
}

pub fn delta(changes: impl IntoIterator<Item = Change>) -> Delta {
    Delta { changes: changes.into_iter().collect() }
}

/// All resources of a snapshot, routes last and in their order.
pub fn resources(state: &Snapshot) -> Vec<Resource> {
    let mut all = vec![Resource::Node(Arc::new(state.node().clone()))];
    all.extend(state.listeners().cloned().map(Resource::Listener));
    for pool in state.pools() {
        all.push(Resource::Pool(pool.clone()));
        all.extend(state.endpoints(&pool.name).cloned().map(Resource::Endpoint));
    }
    all.extend(state.classes().cloned().map(Resource::Class));
    all.extend(state.tenants().cloned().map(Resource::Tenant));
    all.extend(state.routes().cloned().map(Resource::Route));
    all
}

/// A random change of any kind; whether it can be applied depends on the snapshot.
pub fn change() -> impl Strategy<Value = Change> {
    let few = 0..4_u8;
    prop_oneof![
        (few.clone(), 1..5_u32).prop_map(|(n, attempts)| Change::Set(pool(&format!("p{n}"), attempts))),
        (few.clone(), 8_000..8_004_u16).prop_map(|(n, port)| Change::Set(listener(&format!("l{n}"), port))),
        (few.clone(), few.clone(), 0..3_u8, 0..3_u8).prop_map(|(of, n, zone, weight)| {
            let zone = ["a", "b", "nowhere"][usize::from(zone)];
            Change::Set(endpoint(&format!("p{of}"), &format!("s{n}"), zone, weight.into()))
        }),
        (few.clone(), 0..3_u8, any::<bool>()).prop_map(|(n, weight, idempotent)| {
            let idempotency = if idempotent { Idempotency::Idempotent } else { Idempotency::NotIdempotent };
            Change::Set(class(&format!("c{n}"), weight.into(), idempotency))
        }),
        (few.clone(), 0..3_u8)
            .prop_map(|(n, share)| { Change::Set(tenant(&format!("t{n}"), f64::from(share) / 2.0)) }),
        (0..8_u8, few.clone(), few.clone(), prop::option::of(few.clone())).prop_map(
            |(n, class, pool, tenant)| {
                let tenant = tenant.map(|n| format!("t{n}"));
                let (class, pool) = (format!("c{class}"), format!("p{pool}"));
                Change::Set(route(&format!("r{n}"), &format!("/{n}/**"), &class, &pool, tenant.as_deref()))
            }
        ),
        (0..8_u8, prop::option::of(0..8_u8)).prop_map(|(n, before)| Change::MoveRoute {
            route: name(&format!("r{n}")),
            before: before.map(|n| name(&format!("r{n}"))),
        }),
        (0..6_u8, few.clone(), 0..8_u8).prop_map(|(kind, n, more)| Change::Remove(match kind {
            0 => ResourceId::Listener(name(&format!("l{n}"))),
            1 => ResourceId::Pool(name(&format!("p{n}"))),
            2 => ResourceId::Endpoint { pool: name(&format!("p{n}")), name: name(&format!("s{}", more % 4)) },
            3 => ResourceId::Class(name(&format!("c{n}"))),
            4 => ResourceId::Tenant(name(&format!("t{n}"))),
            _ => ResourceId::Route(name(&format!("r{more}"))),
        })),
    ]
}
