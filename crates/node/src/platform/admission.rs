//! Admission of the platform's requests: the path names the service class and the ordering key, headers everything else.

use std::time::Duration;

use hyper::Method;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::http::uri::PathAndQuery;
use pumicehead_policy::deployment_settings::ClassSettings;
use pumicehead_policy::{Idempotency, Nanos, TenantId};
use rustc_hash::FxHashMap;
use tokio::time::Instant;

use super::config::Config;
use crate::net::admission::{Admission, AdmittedRequest, RequestError, RequestHead, ResponseStyle};
use crate::net::exchange::{ProxyRequest, UpstreamRequest};
use crate::net::header_fields::detached;
use crate::net::pool_handle::PoolHandle;

/// Durations stated by clients are capped at this value.
const MAX_STATED_DURATION: Duration = Duration::from_secs(600);
const MICROS_PER_SECOND: f64 = 1e6;
const MICROS_PER_MILLI: f64 = 1_000.0;

const SERVICE_CLASS: &str = "x-service-class";
const CORRELATION_ID: &str = "x-correlation-id";
const IDEMPOTENCY_KEY: &str = "idempotency-key";
const ACCOUNT: &str = "x-account";
const TIME_LEFT: &str = "x-time-left";
const COST_HINT: &str = "x-weight-hint";
/// Headers that are forwarded to the endpoint.
const FORWARDED_HEADERS: [&str; 9] = [
    "host",
    "content-type",
    CORRELATION_ID,
    IDEMPOTENCY_KEY,
    SERVICE_CLASS,
    ACCOUNT,
    "x-repeat",
    COST_HINT,
    "x-facts",
];

/// Requirements of a service class for its requests.
struct ClassRule {
    name: String,
    method: Method,
    requires_idempotency_key: bool,
    deadline: Duration,
}

impl ClassRule {
    fn new(class: &ClassSettings, settings: &pumicehead_policy::Class) -> Self {
        let requires_idempotency_key = matches!(settings.idempotency, Idempotency::IdempotencyKey { .. });
        let method = match settings.idempotency {
            Idempotency::Idempotent => Method::GET,
            _ => Method::POST,
        };
        let deadline = Duration::from_nanos(settings.deadline);
        Self { name: class.name.clone(), method, requires_idempotency_key, deadline }
    }
}

/// Admits the platform's requests.
pub struct PlatformAdmission {
    pool: PoolHandle,
    classes: Vec<ClassRule>,
    tenants: FxHashMap<String, TenantId>,
}

impl PlatformAdmission {
    /// Creates the admission for the classes and tenants of a configuration.
    pub fn new(config: &Config, pool: PoolHandle) -> Self {
        let classes = config.deployment.classes.iter().zip(&config.settings.classes);
        let mut tenants = FxHashMap::default();
        for (tenant, id) in config.deployment.tenants.iter().zip(0..) {
            // If several tenants have the same name, the first one is used.
            tenants.entry(tenant.name.clone()).or_insert(TenantId(id));
        }
        Self {
            pool,
            tenants,
            classes: classes.map(|(class, settings)| ClassRule::new(class, settings)).collect(),
        }
    }

    /// Returns the index of the class with this name, if the service class header and the method match it.
    fn class(&self, class: &str, head: &RequestHead<'_>) -> Result<usize, RequestError> {
        let index = self.classes.iter().position(|rule| rule.name == class);
        let index = index.ok_or(RequestError::UnknownTarget)?;
        let rule = &self.classes[index];
        let header_class = required(&head.headers, SERVICE_CLASS)?;
        if !self.classes.iter().any(|other| other.name == header_class) {
            return Err(RequestError::UnknownTarget);
        }
        if header_class != rule.name {
            return Err(RequestError::InvalidHeader(SERVICE_CLASS.into()));
        }
        if *head.method != rule.method {
            return Err(RequestError::MethodNotAllowed(vec![rule.method.clone()]));
        }
        Ok(index)
    }

    fn tenant(&self, headers: &HeaderMap) -> Result<Option<TenantId>, RequestError> {
        if self.tenants.is_empty() {
            return Ok(None);
        }
        let account = required(headers, ACCOUNT)?;
        let known = self.tenants.get(account).copied();
        known.map(Some).ok_or(RequestError::InvalidHeader(ACCOUNT.into()))
    }
}

impl Admission for PlatformAdmission {
    fn admit(&self, head: RequestHead<'_>) -> Result<AdmittedRequest, RequestError> {
        check_absolute_form(&head)?;
        let target = head.uri.path_and_query().ok_or(RequestError::UnknownTarget)?;
        // A copy, since a clone would keep the read buffer of the client's connection in use.
        let target: PathAndQuery = target.as_str().parse().map_err(|_| RequestError::UnknownTarget)?;
        let mut path = head.uri.path().strip_prefix('/').ok_or(RequestError::UnknownTarget)?.split('/');
        let class = self.class(path.next().ok_or(RequestError::UnknownTarget)?, &head)?;
        let rule = &self.classes[class];
        let headers = &head.headers;
        let correlation_id = required(headers, CORRELATION_ID)?;
        if rule.requires_idempotency_key {
            required(headers, IDEMPOTENCY_KEY)?;
        }
        let tenant = self.tenant(headers)?;
        let time_left = time_left(headers)?;
        let request = ProxyRequest {
            correlation_id: correlation_id.into(),
            class,
            tenant,
            cost_hint: cost_hint(headers)?,
            ordering_key: path.next_back().filter(|key| !key.is_empty()).map(Into::into),
            revision: None,
            received_at: Instant::now(),
            // The deadline of the class limits the time that the client states.
            time_left: time_left.min(rule.deadline),
            body_read_time: Duration::ZERO,
            upstream: UpstreamRequest {
                method: head.method.clone(),
                uri: target.into(),
                headers: forwarded(headers),
                ..UpstreamRequest::default()
            },
        };
        let requires_empty_body = *head.method == Method::GET;
        Ok(AdmittedRequest {
            pool: self.pool.clone(),
            request,
            style: ResponseStyle::Platform,
            requires_empty_body,
        })
    }
}

/// Checks that a target in absolute form (RFC 9112 section 3.2.2) names the same host as the `Host` field: the request is
/// forwarded in origin form with that field.
fn check_absolute_form(head: &RequestHead<'_>) -> Result<(), RequestError> {
    let Some(authority) = head.uri.authority() else { return Ok(()) };
    let host = head.headers.get(header::HOST).map(HeaderValue::as_bytes);
    if host.is_some_and(|host| host.eq_ignore_ascii_case(authority.as_str().as_bytes())) {
        Ok(())
    } else {
        Err(RequestError::UnknownTarget)
    }
}

/// Returns the value of a header that must occur exactly once. If there were two, the endpoint might use the other one.
fn required<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<&'a str, RequestError> {
    let mut values = headers.get_all(name).iter();
    let (Some(value), None) = (values.next(), values.next()) else {
        return Err(RequestError::InvalidHeader(name.into()));
    };
    let value = value.to_str().ok().map(str::trim);
    value.filter(|text| !text.is_empty()).ok_or(RequestError::InvalidHeader(name.into()))
}

/// Parses how long the client will still wait: a number with the suffix `m` (milliseconds) or `u` (microseconds).
fn time_left(headers: &HeaderMap) -> Result<Duration, RequestError> {
    let text = required(headers, TIME_LEFT)?;
    let time_left = match text.strip_suffix('m') {
        Some(millis) => parse_duration(millis, MICROS_PER_MILLI),
        None => text.strip_suffix('u').and_then(|micros| parse_duration(micros, 1.0)),
    };
    time_left.ok_or(RequestError::InvalidHeader(TIME_LEFT.into()))
}

/// Parses the expected cost of a request, which the client may state in microseconds; the result is in nanoseconds.
fn cost_hint(headers: &HeaderMap) -> Result<Option<Nanos>, RequestError> {
    let Some(value) = headers.get(COST_HINT) else { return Ok(None) };
    let hint = value.to_str().ok().and_then(|micros| parse_duration(micros, 1.0));
    let hint = hint.ok_or(RequestError::InvalidHeader(COST_HINT.into()))?;
    Ok(Some(hint.as_nanos() as Nanos))
}

/// Parses a decimal number of units of `unit_micros` microseconds each, capped at [`MAX_STATED_DURATION`].
fn parse_duration(number: &str, unit_micros: f64) -> Option<Duration> {
    let is_decimal = number.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    let number: f64 = number.parse().ok().filter(|_| is_decimal)?;
    let duration = Duration::try_from_secs_f64(number * unit_micros / MICROS_PER_SECOND);
    Some(duration.unwrap_or(MAX_STATED_DURATION).min(MAX_STATED_DURATION))
}

fn forwarded(headers: &HeaderMap) -> HeaderMap {
    let present = FORWARDED_HEADERS
        .iter()
        .filter_map(|&name| Some((HeaderName::from_static(name), detached(headers.get(name)?))));
    present.collect()
}
