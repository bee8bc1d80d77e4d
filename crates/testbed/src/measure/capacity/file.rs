//! Generates the configuration of a size, and the variants that a configuration change switches between.

use std::fmt::Write;
use std::net::SocketAddr;

use pumicehead_load_generator::mix::{Class, Mix};

use super::size::Size;

/// Zones of the deployment; the node is in the first.
const ZONES: usize = 8;
/// The header by which a request names its tenant; the load generator writes it.
pub const TENANT_HEADER: &str = "x-account";
/// The host of the requests; all routes match it.
pub const HOST: &str = "site.example.org";
/// Sum of the shares of all tenants, in percent.
const TENANTS_SHARE: f64 = 90.0;

/// A variant of the configuration of a size: the values that differ from the default one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Variant {
    /// Whether the first backend has weight 2: a change of one value.
    pub heavy: bool,
    /// Whether there is one more tenant.
    pub more_tenants: bool,
}

/// Kinds of configuration changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// One value of one backend.
    Value,
    /// A tenant is added, or removed again.
    Tenant,
}

impl Change {
    /// The variant after the change with this number; changes alternate between two variants.
    #[must_use]
    pub fn variant(self, number: usize) -> Variant {
        let changed = number.is_multiple_of(2);
        match self {
            Self::Value => Variant { heavy: changed, ..Variant::default() },
            Self::Tenant => Variant { more_tenants: changed, ..Variant::default() },
        }
    }
}

/// The text of the configuration of a size; it uses the first `size.backends` of the addresses.
#[must_use]
pub fn text(size: Size, backends: &[SocketAddr], variant: Variant) -> String {
    let mut out = String::new();
    write_node(&mut out);
    write_pools(&mut out, size, &backends[..size.backends], variant);
    out.push_str("class read { aim 1200ms; deadline 6s; repeats safe }\n");
    write_tenants(&mut out, size, variant);
    write_routes(&mut out, size);
    out.push_str("limits { descriptors 8192 }\n");
    out
}

fn write_node(out: &mut String) {
    let zones: Vec<_> = (0..ZONES).map(zone).collect();
    let _ = writeln!(out, "node {{ zones {}; zone {} }}", zones.join(" "), zone(0));
    out.push_str("listener public { address 127.0.0.1:0 }\n");
}

fn write_pools(out: &mut String, size: Size, backends: &[SocketAddr], variant: Variant) {
    for pool in 0..size.pools {
        let _ = writeln!(out, "pool p{pool} {{");
        for (number, address) in backends.iter().enumerate().skip(pool).step_by(size.pools) {
            let weight = if variant.heavy && number == 0 { "; weight 2" } else { "" };
            let zone = zone(number / size.pools);
            let _ = writeln!(out, "    server s{number} {{ address {address}; zone {zone}{weight} }}");
        }
        out.push_str("}\n");
    }
}

fn write_tenants(out: &mut String, size: Size, variant: Variant) {
    // Shares don't depend on the extra tenant, so that it is the only change.
    let share = TENANTS_SHARE / (size.tenants + 1) as f64;
    for tenant in 0..size.tenants + usize::from(variant.more_tenants) {
        let _ = writeln!(out, "tenant {} {{ share {share:.6}%; rate 1000/s }}", tenant_name(tenant));
    }
}

fn write_routes(out: &mut String, size: Size) {
    let tenant = if size.tenants == 0 { String::new() } else { format!("; tenant header {TENANT_HEADER}") };
    for route in 0..size.routes {
        let pool = route % size.pools;
        let _ = writeln!(
            out,
            "route r{route} {{ host *.example.org; path /k{route}/**; class read; pool p{pool}{tenant} }}"
        );
    }
}

fn zone(number: usize) -> String {
    format!("zone-{}", number % ZONES)
}

fn tenant_name(number: usize) -> String {
    format!("tenant-{number}")
}

/// Read requests for the configuration of a size, spread evenly over all routes and tenants.
#[must_use]
pub fn mix(size: Size) -> Mix {
    let class = Class {
        name: "read".into(),
        share: 1.0,
        method: "GET".into(),
        path: "/k{key}/board".into(),
        aim_ms: 1_200,
        deadline_ms: 6_000,
        keys: size.routes,
        zipf: 0.0,
        body: (0, 0),
        keyed: false,
    };
    Mix {
        classes: vec![class],
        accounts: (0..size.tenants).map(tenant_name).collect(),
        sites: vec![HOST.into()],
        patience: (1.0, 1.0),
        ..Mix::default()
    }
}
