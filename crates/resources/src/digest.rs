//! A fingerprint of a whole state, the same on every machine and in every build.
//!
//! Each value goes into the hash in a fixed form: numbers in little-endian order, texts behind their length, choices
//! behind a number of their own. The tables are sorted by name, so the order in which changes came does not show; the
//! order of routes and of zones does, since it has a meaning. SipHash with a fixed key is no defence against someone who
//! wants two states to look alike: it tells apart what differs by accident or by fault.

use std::fmt;
use std::hash::Hasher;
use std::net::SocketAddr;

use pumicehead_policy::{DedupScope, Discovery};
use pumicehead_route::{HeaderRule, Methods};
use siphasher::sip128::{Hasher128, SipHasher13};

use crate::resource::{
    Address, Backend, Class, Endpoints, Fleet, KeySource, Limits, Listener, Node, Observe, Pool, Protocol,
    Repeats, Route, Tenant, TenantSource,
};
use crate::snapshot::Snapshot;

/// Key of the hash, and with it the version of the form: another form takes another key.
const KEY: (u64, u64) = (0x7075_6d69_6365_6865, 1);

/// A fingerprint of a whole state. Equal states have equal ones; others differ but for a chance of one in 2^64 a pair.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest(pub u128);

/// Bits of a digest that a metric's value, a 64-bit float, holds exactly.
const METRIC_BITS: u32 = 52;

impl Digest {
    /// The upper bits, as many as a metric's value holds exactly: nodes of equal state show equal values.
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
    /// The fingerprint of this state.
    #[must_use]
    pub fn digest(&self) -> Digest {
        let mut encoder = Encoder(SipHasher13::new_with_keys(KEY.0, KEY.1));
        encoder.node(&self.node);
        encoder.table(self.listeners.values(), |encoder, one| encoder.listener(one));
        encoder.table(self.pools.values(), |encoder, one| encoder.pool(one));
        encoder.table(self.backends.values(), |encoder, one| encoder.backend(one));
        encoder.table(self.classes.values(), |encoder, one| encoder.class(one));
        encoder.table(self.tenants.values(), |encoder, one| encoder.tenant(one));
        // In the order in which they are asked, not by name.
        encoder.count(self.routes.len());
        self.routes().for_each(|route| encoder.route(route));
        Digest(encoder.0.finish128().as_u128())
    }
}

/// Feeds values to the hash in their fixed form.
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
        // 0 and -0 are equal, and so must their forms be.
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
        let Node { name, zones, zone, nodes, number, limits, observe, fleet } = node;
        self.text(name);
        self.count(zones.len());
        zones.iter().for_each(|zone| self.text(zone));
        self.text(zone);
        self.number((*nodes).into());
        self.number((*number).into());
        self.limits(limits);
        self.observe(observe);
        self.optional(fleet.as_ref(), Self::fleet);
    }

    fn limits(&mut self, limits: &Limits) {
        let Limits { memory, descriptors, held, request_body, answer_body, request_time, idle, retry_after } =
            limits;
        let all = [memory, descriptors, held, request_body, answer_body, request_time, idle, retry_after];
        all.into_iter().for_each(|value| self.number(*value));
    }

    fn observe(&mut self, observe: &Observe) {
        let Observe { calls, log, json, recorder, recordings } = observe;
        self.optional(calls.as_ref(), Self::socket);
        self.text(log);
        self.flag(*json);
        self.number(*recorder);
        self.bytes(recordings.as_os_str().as_encoded_bytes());
    }

    fn fleet(&mut self, fleet: &Fleet) {
        let Fleet { name, address, advertise, seeds, reach } = fleet;
        self.text(name);
        self.socket(address);
        self.optional(advertise.as_ref(), Self::socket);
        self.count(seeds.len());
        seeds.iter().for_each(|seed| self.socket(seed));
        self.count(reach.len());
        for (name, address) in reach {
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
        let Pool {
            name, endpoints, protocol, script, root, warm_up, cold_from, tips_at, tips_within, ..
        } = pool;
        let Pool { connect_timeout, idle, attempts, hedge, crossing, .. } = pool;
        self.text(name);
        match endpoints {
            Endpoints::Listed => self.byte(0),
            Endpoints::Discovered(address, mode) => {
                self.byte(match mode {
                    Discovery::Push => 1,
                    Discovery::Poll => 2,
                });
                self.socket(address);
            }
        }
        self.protocol(*protocol);
        self.text(script);
        self.text(root);
        self.number(*warm_up);
        self.decimal(*cold_from);
        self.decimal(*tips_at);
        self.number(*tips_within);
        self.number(*connect_timeout);
        self.number(*idle);
        self.number((*attempts).into());
        self.flag(*hedge);
        self.decimal(*crossing);
    }

    fn backend(&mut self, backend: &Backend) {
        let Backend { pool, name, address, zone, weight, cell } = backend;
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
        let Class { name, aim, deadline, worth, late_worth, repeats, ordered } = class;
        self.text(name);
        self.number(*aim);
        self.number(*deadline);
        self.decimal(*worth);
        self.decimal(*late_worth);
        match repeats {
            Repeats::Safe => self.byte(0),
            Repeats::Unsafe => self.byte(1),
            Repeats::Keyed { header, group, window } => {
                self.byte(match group {
                    DedupScope::All => 2,
                    DedupScope::Zone => 3,
                    DedupScope::Cell => 4,
                });
                self.text(header);
                self.number(*window);
            }
        }
        self.flag(*ordered);
    }

    fn tenant(&mut self, tenant: &Tenant) {
        let Tenant { name, share, rate } = tenant;
        self.text(name);
        self.decimal(*share);
        self.decimal(*rate);
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
            KeySource::Segment(place) => {
                self.byte(1);
                self.count(*place);
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
