//! Requests as the platform's clients send them: the class in the path, all else in headers.

use std::time::Duration;

use hyper::Method;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use pumicehead_policy::deployment_settings::BootClass;
use pumicehead_policy::{Idempotency, Nanos, TenantId};
use rustc_hash::FxHashMap;

use super::config::Config;
use crate::net::admission::{Admission, AdmittedRequest, RequestError, RequestHead, ResponseStyle};
use crate::net::exchange::{ProxyRequest, UpstreamRequest};
use crate::net::pool_handle::PoolHandle;

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
pub struct PlatformAdmission {
    core: PoolHandle,
    classes: Vec<ClassRule>,
    tenants: FxHashMap<String, TenantId>,
}

impl PlatformAdmission {
    /// With the classes and tenants of a configuration.
    pub fn new(config: &Config, core: PoolHandle) -> Self {
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

impl Admission for PlatformAdmission {
    fn admit(&self, head: RequestHead<'_>) -> Result<AdmittedRequest, RequestError> {
        let headers = &head.headers;
        // In absolute form (RFC 9112 section 3.2.2) it is addressed twice; what goes on is in origin form.
        if let Some(authority) = head.uri.authority() {
            let host = headers.get(header::HOST).map(HeaderValue::as_bytes);
            if host.is_none_or(|host| !host.eq_ignore_ascii_case(authority.as_str().as_bytes())) {
                return Err(RequestError::UnknownTarget);
            }
        }
        let target = head.uri.path_and_query().cloned().ok_or(RequestError::UnknownTarget)?;
        let mut path = head.uri.path().strip_prefix('/').ok_or(RequestError::UnknownTarget)?.split('/');
        let class = path.next().ok_or(RequestError::UnknownTarget)?;
        let class =
            self.classes.iter().position(|rule| rule.name == class).ok_or(RequestError::UnknownTarget)?;
        let rule = &self.classes[class];
        let named = required(headers, "x-service-class")?;
        if !self.classes.iter().any(|other| other.name == named) {
            return Err(RequestError::UnknownTarget);
        }
        if named != rule.name {
            return Err(RequestError::InvalidHeader("x-service-class".into()));
        }
        if *head.method != rule.method {
            return Err(RequestError::MethodNotAllowed(vec![rule.method.clone()]));
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
            Some(known.ok_or(RequestError::InvalidHeader("x-account".into()))?)
        };
        let left = required(headers, "x-time-left")?;
        let left = span(left).ok_or(RequestError::InvalidHeader("x-time-left".into()))?;
        let hint = match headers.get("x-weight-hint") {
            None => None,
            Some(value) => {
                let hint = value.to_str().ok().and_then(|text| micros(text, 1.0));
                Some(hint.ok_or(RequestError::InvalidHeader("x-weight-hint".into()))?.as_nanos() as Nanos)
            }
        };
        let call = UpstreamRequest {
            method: head.method.clone(),
            uri: target.into(),
            headers: forwarded(headers),
            ..UpstreamRequest::default()
        };
        let ask = ProxyRequest {
            correlation_id: correlation.into(),
            class,
            tenant,
            cost_hint: hint,
            ordering_key: path.next_back().filter(|key| !key.is_empty()).map(Into::into),
            // Whatever the client says, nobody waits longer than its class does.
            revision: None,
            time_left: left.min(rule.deadline),
            body_read_time: Duration::ZERO,
            upstream: call,
        };
        let bodiless = *head.method == Method::GET;
        Ok(AdmittedRequest {
            pool: self.core.clone(),
            request: ask,
            style: ResponseStyle::Platform,
            must_be_empty: bodiless,
        })
    }
}

fn required<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<&'a str, RequestError> {
    let mut values = headers.get_all(name).iter();
    // A second one is as bad as none: who reads on may take the other.
    let (Some(value), None) = (values.next(), values.next()) else {
        return Err(RequestError::InvalidHeader(name.into()));
    };
    let value = value.to_str().ok().map(str::trim);
    value.filter(|text| !text.is_empty()).ok_or(RequestError::InvalidHeader(name.into()))
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
