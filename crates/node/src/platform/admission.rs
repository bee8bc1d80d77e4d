//! Requests as the platform's clients send them: the class in the path, all else in headers.

use std::time::Duration;

use hyper::Method;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use pumicehead_policy::deployment_settings::BootClass;
use pumicehead_policy::{Idempotency, Nanos, TenantId};
use rustc_hash::FxHashMap;

use super::config::Config;
use crate::net::admission::{Admission, Admitted, Bad, Head, Manner};
use crate::net::ask::{Ask, Call};
use crate::net::handle::Handle;

/// Longest that a client's word is taken for how long it waits.
const LONGEST_WAIT: Duration = Duration::from_secs(600);
/// Headers that go on; what else a client sends is for this connection, or for nobody.
const FORWARDED: [&str; 9] = [
    "host",
    "content-type",
    "x-correlation-id",
    "idempotency-key",
    "x-service-class",
    "x-account",
    "x-repeat",
    "x-weight-hint",
    "x-facts",
];

/// What a class asks of its requests.
struct ClassRule {
    name: String,
    method: Method,
    keyed: bool,
    deadline: Duration,
}

/// Knows the platform's requests.
pub struct Platform {
    core: Handle,
    classes: Vec<ClassRule>,
    tenants: FxHashMap<String, TenantId>,
}

impl Platform {
    /// With the classes and tenants of a configuration.
    pub fn new(config: &Config, core: Handle) -> Self {
        let (boot, settings) = (&config.boot, &config.settings);
        let rule = |(index, class): (usize, &BootClass)| ClassRule {
            name: class.name.clone(),
            method: match settings.classes[index].idempotency {
                Idempotency::Idempotent => Method::GET,
                _ => Method::POST,
            },
            keyed: matches!(settings.classes[index].idempotency, Idempotency::IdempotencyKey { .. }),
            deadline: Duration::from_nanos(settings.classes[index].deadline),
        };
        let mut tenants = FxHashMap::default();
        for (tenant, id) in boot.tenants.iter().zip(0..) {
            // Of two of one name the first counts.
            tenants.entry(tenant.name.clone()).or_insert(TenantId(id));
        }
        Self { core, tenants, classes: boot.classes.iter().enumerate().map(rule).collect() }
    }
}

impl Admission for Platform {
    fn admit(&self, head: Head<'_>) -> Result<Admitted, Bad> {
        let headers = &head.headers;
        // In absolute form (RFC 9112 section 3.2.2) it is addressed twice; what goes on is in origin form.
        if let Some(authority) = head.uri.authority() {
            let host = headers.get(header::HOST).map(HeaderValue::as_bytes);
            if host.is_none_or(|host| !host.eq_ignore_ascii_case(authority.as_str().as_bytes())) {
                return Err(Bad::Unknown);
            }
        }
        let target = head.uri.path_and_query().cloned().ok_or(Bad::Unknown)?;
        let mut path = head.uri.path().strip_prefix('/').ok_or(Bad::Unknown)?.split('/');
        let class = path.next().ok_or(Bad::Unknown)?;
        let class = self.classes.iter().position(|rule| rule.name == class).ok_or(Bad::Unknown)?;
        let rule = &self.classes[class];
        let named = required(headers, "x-service-class")?;
        if !self.classes.iter().any(|other| other.name == named) {
            return Err(Bad::Unknown);
        }
        if named != rule.name {
            return Err(Bad::Header("x-service-class".into()));
        }
        if *head.method != rule.method {
            return Err(Bad::Method(vec![rule.method.clone()]));
        }
        let correlation = required(headers, "x-correlation-id")?;
        if rule.keyed {
            required(headers, "idempotency-key")?;
        }
        let tenant = if self.tenants.is_empty() {
            None
        } else {
            let account = required(headers, "x-account")?;
            let known = self.tenants.get(account).copied();
            Some(known.ok_or(Bad::Header("x-account".into()))?)
        };
        let left = required(headers, "x-time-left")?;
        let left = span(left).ok_or(Bad::Header("x-time-left".into()))?;
        let hint = match headers.get("x-weight-hint") {
            None => None,
            Some(value) => {
                let hint = value.to_str().ok().and_then(|text| micros(text, 1.0));
                Some(hint.ok_or(Bad::Header("x-weight-hint".into()))?.as_nanos() as Nanos)
            }
        };
        let call = Call {
            method: head.method.clone(),
            uri: target.into(),
            headers: forwarded(headers),
            ..Call::default()
        };
        let ask = Ask {
            correlation: correlation.into(),
            class,
            tenant,
            hint,
            key: path.next_back().filter(|key| !key.is_empty()).map(Into::into),
            // Whatever the client says, nobody waits longer than its class does.
            revision: None,
            left: left.min(rule.deadline),
            sending: Duration::ZERO,
            call,
        };
        let bodiless = *head.method == Method::GET;
        Ok(Admitted { core: self.core.clone(), ask, manner: Manner::Platform, bodiless })
    }
}

fn required<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<&'a str, Bad> {
    let mut values = headers.get_all(name).iter();
    // A second one is as bad as none: who reads on may take the other.
    let (Some(value), None) = (values.next(), values.next()) else { return Err(Bad::Header(name.into())) };
    let value = value.to_str().ok().map(str::trim);
    value.filter(|text| !text.is_empty()).ok_or(Bad::Header(name.into()))
}

/// A number and a unit: `m` milliseconds, `u` microseconds.
fn span(text: &str) -> Option<Duration> {
    if let Some(number) = text.strip_suffix('m') {
        return micros(number, 1000.0);
    }
    micros(text.strip_suffix('u')?, 1.0)
}

fn micros(number: &str, unit: f64) -> Option<Duration> {
    let digits = number.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    let number: f64 = number.parse().ok().filter(|_| digits)?;
    let span = Duration::try_from_secs_f64(number * unit / 1e6).unwrap_or(LONGEST_WAIT);
    Some(span.min(LONGEST_WAIT))
}

fn forwarded(headers: &HeaderMap) -> HeaderMap {
    let named =
        FORWARDED.iter().filter_map(|&name| Some((HeaderName::from_static(name), headers.get(name)?)));
    named.map(|(name, value)| (name, value.clone())).collect()
}
