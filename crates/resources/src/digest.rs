//! A digest of a snapshot that is the same on every machine and in every build.
//!
//! Each value is hashed in a fixed encoding: numbers in little-endian order, strings and lists prefixed by
//! their length, enum variants prefixed by a number. Tables are hashed in the order of names, so the digest
//! does not depend on the order of changes. It does depend on the order of routes and of zones, which has a
//! meaning. SipHash with a fixed key detects accidental differences and those caused by faults; it does not
//! protect against deliberate collisions.

use std::fmt;
use std::hash::Hasher;
use std::net::SocketAddr;

use pumicehead_policy::{DedupScope, Discovery};
use pumicehead_route::{HeaderRule, Methods};
use siphasher::sip128::{Hasher128, SipHasher13};

use crate::class::{Class, ClassSettings, Idempotency, Tenant};
use crate::node::{Cluster, Limits, Listener, Node, Observability};
use crate::pool::{Address, Endpoint, EndpointSource, Pool, PoolSettings, Protocol};
use crate::route::{KeySource, Route, TenantSource};
use crate::snapshot::Snapshot;

/// Key of the hash. It identifies the encoding: a changed encoding needs another key.
const KEY: (u64, u64) = (0x7075_6d69_6365_6865, 1);

/// A digest of a snapshot. Equal snapshots have equal digests; two different ones collide with a probability
/// of at most 2^-64.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest(pub u128);

/// Bits of a digest that the value of a metric, a 64-bit float, represents exactly.
const METRIC_BITS: u32 = 52;

impl Digest {
    /// The upper bits, as many as the value of a metric represents exactly. Nodes with equal snapshots export
    /// equal values.
    #[must_use]
    pub fn short(self) -> u64 {
        (self.0 >> (u128::BITS - METRIC_BITS)) as u64
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl Snapshot {
    /// The digest of this snapshot.
    #[must_use]
    pub fn digest(&self) -> Digest {
        let mut encoder = Encoder(SipHasher13::new_with_keys(KEY.0, KEY.1));
        encoder.node(&self.node);
        encoder.table(self.listeners.values(), |encoder, one| encoder.listener(one));
        encoder.table(self.pools.values(), |encoder, one| encoder.pool(one));
        encoder.table(self.endpoints.values(), |encoder, one| encoder.endpoint(one));
        encoder.table(self.classes.values(), |encoder, one| encoder.class(one));
        encoder.table(self.tenants.values(), |encoder, one| encoder.tenant(one));
        // Routes are hashed in the order in which they are matched, not by name.
        encoder.count(self.routes.len());
        self.routes().for_each(|route| encoder.route(route));
        Digest(encoder.0.finish128().as_u128())
    }
}

/// Feeds values to the hash in their fixed encoding.
struct Encoder(SipHasher13);

impl Encoder {
    fn byte(&mut self, value: u8) {
        self.0.write(&[value]);
    }

    fn flag(&mut self, value: bool) {
        self.byte(value.into());
    }

    fn number(&mut self, value: u64) {
        self.0.write(&value.to_le_bytes());
    }

    fn count(&mut self, value: usize) {
        self.number(value as u64);
    }

    fn decimal(&mut self, value: f64) {
        // 0 and -0 are equal, so they need the same encoding.
        let value = if value == 0.0 { 0.0 } else { value };
        self.number(value.to_bits());
    }

    fn bytes(&mut self, value: &[u8]) {
        self.count(value.len());
        self.0.write(value);
    }

    fn text(&mut self, value: &str) {
        self.bytes(value.as_bytes());
    }

    fn socket(&mut self, value: &SocketAddr) {
        self.text(&value.to_string());
    }

    fn optional<T>(&mut self, value: Option<&T>, encode: impl FnOnce(&mut Self, &T)) {
        self.flag(value.is_some());
        if let Some(value) = value {
            encode(self, value);
        }
    }

    fn table<T: ?Sized, I>(&mut self, rows: I, encode: impl Fn(&mut Self, &T))
    where
        I: ExactSizeIterator,
        I::Item: AsRef<T>,
    {
        self.count(rows.len());
        for row in rows {
            encode(self, row.as_ref());
        }
    }

    fn node(&mut self, node: &Node) {
        let Node { name, zones, zone, node_count, node_index, limits, observability, cluster } = node;
        self.text(name);
        self.count(zones.len());
        zones.iter().for_each(|zone| self.text(zone));
        self.text(zone);
        self.number((*node_count).into());
        self.number((*node_index).into());
        self.limits(limits);
        self.observability(observability);
        self.optional(cluster.as_ref(), Self::cluster);
    }

    fn limits(&mut self, limits: &Limits) {
        let Limits { memory_bytes, max_descriptors, max_active_requests, .. } = limits;
        let Limits { max_request_body_bytes, max_response_body_bytes, .. } = limits;
        let Limits { request_timeout, idle_timeout, max_retry_after, .. } = limits;
        self.number(*memory_bytes);
        self.count(*max_descriptors);
        self.count(*max_active_requests);
        self.number(*max_request_body_bytes);
        self.number(*max_response_body_bytes);
        self.number(*request_timeout);
        self.number(*idle_timeout);
        self.number(*max_retry_after);
    }

    fn observability(&mut self, observability: &Observability) {
        let Observability { admin_address, log_filter, log_json, recorder_bytes, recording_directory } =
            observability;
        self.optional(admin_address.as_ref(), Self::socket);
        self.text(log_filter);
        self.flag(*log_json);
        self.number(*recorder_bytes);
        self.bytes(recording_directory.as_os_str().as_encoded_bytes());
    }

    fn cluster(&mut self, cluster: &Cluster) {
        let Cluster { name, bind_address, advertise_address, seeds, peer_addresses } = cluster;
        self.text(name);
        self.socket(bind_address);
        self.optional(advertise_address.as_ref(), Self::socket);
        self.count(seeds.len());
        seeds.iter().for_each(|seed| self.socket(seed));
        self.count(peer_addresses.len());
        for (name, address) in peer_addresses {
            self.text(name);
            self.socket(address);
        }
    }

    fn listener(&mut self, listener: &Listener) {
        let Listener { name, address, protocol } = listener;
        self.text(name);
        self.socket(address);
        self.protocol(*protocol);
    }

    fn protocol(&mut self, protocol: Protocol) {
        self.byte(match protocol {
            Protocol::Http => 0,
            Protocol::FastCgi => 1,
        });
    }

    fn pool(&mut self, pool: &Pool) {
        let Pool { name, endpoint_source, settings } = pool;
        self.text(name);
        match endpoint_source {
            EndpointSource::Static => self.byte(0),
            EndpointSource::Discovered { address, mode } => {
                self.byte(match mode {
                    Discovery::Push => 1,
                    Discovery::Poll => 2,
                });
                self.socket(address);
            }
        }
        self.pool_settings(settings);
    }

    fn pool_settings(&mut self, settings: &PoolSettings) {
        let PoolSettings { protocol, script_name, document_root, .. } = settings;
        let PoolSettings { warmup_duration, warmup_initial_fraction, .. } = settings;
        let PoolSettings { overload_multiple, overload_duration, .. } = settings;
        let PoolSettings { connect_timeout, idle_timeout, max_attempts, .. } = settings;
        let PoolSettings { concurrent_attempts, cross_zone_cost, .. } = settings;
        self.protocol(*protocol);
        self.text(script_name);
        self.text(document_root);
        self.number(*warmup_duration);
        self.decimal(*warmup_initial_fraction);
        self.decimal(*overload_multiple);
        self.number(*overload_duration);
        self.number(*connect_timeout);
        self.number(*idle_timeout);
        self.number((*max_attempts).into());
        self.flag(*concurrent_attempts);
        self.decimal(*cross_zone_cost);
    }

    fn endpoint(&mut self, endpoint: &Endpoint) {
        let Endpoint { pool, name, address, zone, weight, cell } = endpoint;
        self.text(pool);
        self.text(name);
        match address {
            Address::Tcp(address) => {
                self.byte(0);
                self.socket(address);
            }
            Address::Unix(path) => {
                self.byte(1);
                self.bytes(path.as_os_str().as_encoded_bytes());
            }
        }
        self.text(zone);
        self.decimal(*weight);
        self.number((*cell).into());
    }

    fn class(&mut self, class: &Class) {
        let Class { name, settings } = class;
        let ClassSettings { latency_objective, deadline, priority_weight, .. } = settings;
        let ClassSettings { late_weight, idempotency, ordered_by_key, .. } = settings;
        self.text(name);
        self.number(*latency_objective);
        self.number(*deadline);
        self.decimal(*priority_weight);
        self.decimal(*late_weight);
        match idempotency {
            Idempotency::Idempotent => self.byte(0),
            Idempotency::NotIdempotent => self.byte(1),
            Idempotency::IdempotencyKey { header, scope, window } => {
                self.byte(match scope {
                    DedupScope::All => 2,
                    DedupScope::Zone => 3,
                    DedupScope::Cell => 4,
                });
                self.text(header);
                self.number(*window);
            }
        }
        self.flag(*ordered_by_key);
    }

    fn tenant(&mut self, tenant: &Tenant) {
        let Tenant { name, share, allowance_per_s } = tenant;
        self.text(name);
        self.decimal(*share);
        self.decimal(*allowance_per_s);
    }

    fn route(&mut self, route: &Route) {
        let Route { name, pattern, class, pool, tenant, key } = route;
        self.text(name);
        self.text(&pattern.host.to_string());
        self.text(&pattern.path.to_string());
        self.methods(&pattern.methods);
        self.count(pattern.headers.len());
        pattern.headers.iter().for_each(|rule| self.header_rule(rule));
        self.text(class);
        self.text(pool);
        match tenant {
            TenantSource::None => self.byte(0),
            TenantSource::Fixed(name) => {
                self.byte(1);
                self.text(name);
            }
            TenantSource::Header(name) => {
                self.byte(2);
                self.text(name);
            }
        }
        match key {
            KeySource::None => self.byte(0),
            KeySource::Segment(index) => {
                self.byte(1);
                self.count(*index);
            }
            KeySource::Last => self.byte(2),
            KeySource::Header(name) => {
                self.byte(3);
                self.text(name);
            }
        }
    }

    fn methods(&mut self, methods: &Methods) {
        match methods {
            Methods::Any => self.byte(0),
            Methods::Only(list) => {
                self.byte(1);
                self.count(list.len());
                list.iter().for_each(|method| self.text(method.as_str()));
            }
        }
    }

    fn header_rule(&mut self, rule: &HeaderRule) {
        self.text(&rule.name);
        self.optional(rule.value.as_ref(), |encoder, value| encoder.bytes(value));
    }
}
