//! The compact form of a configuration keeps all values and stays within its memory limit.

mod common;

use std::fmt::Write;
use std::sync::Arc;

use common::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use pumicehead_config::Config;
use pumicehead_config::compact_config::CompactConfig;
use pumicehead_config::diff::{ChangeKind, diff, effective_settings};
use pumicehead_config::model::{EntrySpans, PoolEndpoints};
use pumicehead_config::route_table::RouteTable;

/// Maximum memory of the route table per route, in bytes.
const MAX_BYTES_PER_ROUTE: usize = 300;

fn compact(config: &Config) -> CompactConfig {
    CompactConfig::new(config, Arc::new(RouteTable::new(&config.routes)))
}

/// A configuration like that of a large site, with many routes to some pools.
fn large(routes: usize) -> String {
    let mut text = String::from(
        "listener public { address 127.0.0.1:8080 }\n\
         class read { aim 600ms; deadline 2s; repeats safe }\n\
         class submit { aim 1s; deadline 4s; repeats unsafe }\n\
         tenant acme { share 20%; rate 100/s }\n",
    );
    for pool in 0..POOLS {
        let _ =
            writeln!(text, "pool service-{pool} {{ server s-{pool} {{ address 10.0.0.{}:80 }} }}", pool + 1);
    }
    for number in 0..routes {
        let pool = number % POOLS;
        let (path, settings) = match number % 5 {
            0 => (format!("/api/v1/resource-{number}/*"), ""),
            1 => (format!("/api/v1/resource-{number}/*/items/**"), "key segment 4; tenant acme;"),
            2 => (format!("/api/v2/resource-{number}"), "method POST;"),
            3 => (format!("/boards/{number}/**"), "header x-api-version 2; tenant header X-Account;"),
            _ => (format!("/reports/{number}/*"), "key last-segment;"),
        };
        let class = if number % 5 == 2 { "submit" } else { "read" };
        let _ = writeln!(
            text,
            "route route-{number}-of-service-{pool} {{ host service-{pool}.region-{}.example.org; path {path}; \
             {settings} class {class}; pool service-{pool} }}",
            number % 3
        );
    }
    text
}

/// Number of pools of the large configuration.
const POOLS: usize = 140;

#[test]
fn a_restored_configuration_equals_the_original() {
    for text in [VALID.to_owned(), large(500)] {
        let config = config(&text);
        let restored = compact(&config).restore();
        assert_eq!(diff(&restored, &config), []);
        assert_eq!(diff(&config, &restored), []);
        assert_eq!(
            effective_settings(&restored).without_spans(),
            effective_settings(&config).without_spans()
        );
        assert_eq!(restored.cluster, config.cluster);
    }
}

#[test]
fn a_restored_configuration_gives_the_same_differences() {
    let old = config(VALID);
    let changes = [
        ("key segment 2; tenant acme", "key segment 3"),
        ("path /runs/**", "path /runs/*/**"),
        ("method PUT", "method PUT PURGE"),
        ("host *.old.example.org", "host old.example.org"),
        ("route read {", "route all {"),
        ("share 20%", "share 21%"),
    ];
    for (before, after) in changes {
        let text = VALID.replace(before, after);
        assert_ne!(text, VALID);
        let new = config(&text);
        let expected = diff(&old, &new);
        let mut found = diff(&compact(&old).restore(), &new);
        // The span of a removed entry refers to a text that the compact form does not keep.
        for (change, expected) in found.iter_mut().zip(&expected) {
            if change.kind == ChangeKind::Removed {
                change.span = expected.span;
            }
        }
        assert_eq!(found, expected, "{before} -> {after}");
        assert!(!found.is_empty());
    }
}

#[test]
fn the_route_table_restores_every_route() {
    let config = config(VALID);
    let table = RouteTable::new(&config.routes);
    assert_eq!(table.len(), config.routes.len());
    for (index, route) in config.routes.iter().enumerate() {
        assert_eq!(table.name(index), route.name);
        assert_eq!((table.class(index), table.pool(index)), (route.class, route.pool));
        assert_eq!((table.tenant(index), table.key(index)), (&route.tenant, &route.key));
        let without_spans = pumicehead_config::model::Route { spans: EntrySpans::default(), ..route.clone() };
        assert_eq!(table.route(index), without_spans);
    }
    assert!(RouteTable::new(&[]).is_empty());
}

#[test]
fn spans_of_routes_endpoints_and_tenants_are_dropped() {
    let compacted = compact(&config(VALID));
    let settings = compacted.settings();
    assert!(settings.routes.is_empty());
    assert!(settings.tenants.iter().all(|tenant| tenant.spans == EntrySpans::default()));
    let PoolEndpoints::Static(servers) = &settings.pools[0].endpoints else {
        panic!("the pool must have a list of servers")
    };
    assert!(servers.iter().all(|server| server.spans == EntrySpans::default()));
}

#[test]
fn memory_per_route_stays_below_the_limit() {
    let bytes_per_route =
        |routes: usize| RouteTable::new(&config(&large(routes)).routes).memory_bytes() / routes;
    let sizes = [1_000, 4_000, 8_000, 15_000].map(bytes_per_route);
    println!("bytes per route with 1,000, 4,000, 8,000 and 15,000 routes: {sizes:?}");
    assert!(sizes.iter().all(|&bytes| bytes <= MAX_BYTES_PER_ROUTE), "{sizes:?}");
    let (min, max) = (sizes.iter().min().unwrap(), sizes.iter().max().unwrap());
    // The hash table of names doubles when it grows, so it takes 8 to 16 bytes per name.
    assert!(max * 2 <= min * 3, "memory must grow linearly with the number of routes: {sizes:?}");
}

#[test]
fn memory_of_longest_names_stays_below_the_limit() {
    let long = |number: usize| format!("r{number:x>63}");
    let mut text = String::from(
        "listener public { address 127.0.0.1:8080 }\nclass read { aim 600ms; deadline 2s; repeats safe }\n\
         pool boards { server a { address 127.0.0.1:9001 } }\n",
    );
    for number in 0..15_000 {
        let name = long(number);
        let _ = writeln!(text, "route {name} {{ path /{name}/*; class read; pool boards }}");
    }
    let table = RouteTable::new(&config(&text).routes);
    let bytes = table.memory_bytes() / table.len();
    println!("bytes per route with names of 64 characters: {bytes}");
    assert!(bytes <= MAX_BYTES_PER_ROUTE, "{bytes}");
}

/// The table is built on another thread than the one that serves requests.
#[test]
fn the_route_table_can_be_shared_between_threads() {
    fn assert_send_sync<T: Send + Sync>() {}
    assert_send_sync::<RouteTable>();
    assert_send_sync::<CompactConfig>();
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(40),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Changes only the order of routes: the restored configuration must give the same differences as the
    /// original.
    #[test]
    fn a_restored_configuration_gives_the_same_moves_of_routes(order in Just((0..20).collect::<Vec<usize>>()).prop_shuffle()) {
        let old = config(&large(20));
        let mut new = old.clone();
        new.routes = order.iter().map(|&index| old.routes[index].clone()).collect();
        prop_assert_eq!(diff(&compact(&old).restore(), &new), diff(&old, &new));
        let restored = compact(&new).restore();
        let names = |config: &Config| config.routes.iter().map(|route| route.name.clone()).collect::<Vec<_>>();
        prop_assert_eq!(names(&restored), names(&new));
    }
}
