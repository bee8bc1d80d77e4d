//! Explains which route matches a request, and why.

use std::fmt::Write;

use http::{HeaderMap, HeaderName, HeaderValue, Method};
use pumicehead_route::{MatchResult, Mismatch, RequestPath, RouteQuery, request_host};
use thiserror::Error;

use crate::model::{Class, Config, Idempotency, KeySource, Pool, PoolEndpoints, Route, TenantSource};
use crate::span::{Sources, Span};
use crate::units::format_duration;

/// Most routes without a match that are listed.
const MAX_PASSED_OVER: usize = 8;

/// Why a request can't be parsed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RequestError {
    /// The request line is malformed.
    #[error("write a request as `METHOD http://HOST/PATH` or `METHOD /PATH`; the default method is GET")]
    Form,
    /// This header line is malformed.
    #[error("`{0}` is not a header: write `NAME: VALUE`")]
    Header(String),
    /// The node would reject the request with 400, for this reason.
    #[error("{0}: the node responds with 400")]
    Rejected(String),
}

/// A request to explain.
#[derive(Clone, Debug)]
pub struct Request {
    method: Method,
    host: String,
    path: String,
    headers: HeaderMap,
}

impl Request {
    /// Parses `METHOD URL` and header lines.
    ///
    /// # Errors
    /// Malformed text, and requests that a node rejects before it routes them.
    pub fn parse(text: &str, headers: &[String]) -> Result<Self, RequestError> {
        let words: Vec<_> = text.split_whitespace().collect();
        let (method, url) = match words[..] {
            [url] => ("GET", url),
            [method, url] => (method, url),
            _ => return Err(RequestError::Form),
        };
        let method = Method::from_bytes(method.as_bytes()).map_err(|_| RequestError::Form)?;
        let headers = parse_headers(headers)?;
        let (authority, path) = match url.strip_prefix("http://") {
            Some(rest) => rest.find('/').map_or((rest, "/"), |slash| rest.split_at(slash)),
            None if url.starts_with('/') => {
                let host = headers.get("host").and_then(|value| value.to_str().ok());
                (host.unwrap_or_default(), url)
            }
            None => return Err(RequestError::Form),
        };
        let host = request_host(authority)
            .map_err(|error| RequestError::Rejected(format!("the host is {error}")))?
            .into_owned();
        let path = path.split(['?', '#']).next().unwrap_or("/").to_owned();
        parse_path(&path)?;
        Ok(Self { method, host, path, headers })
    }
}

fn parse_headers(lines: &[String]) -> Result<HeaderMap, RequestError> {
    let mut headers = HeaderMap::new();
    for line in lines {
        let error = || RequestError::Header(line.clone());
        let (name, value) = line.split_once(':').ok_or_else(error)?;
        let name = HeaderName::from_bytes(name.trim().as_bytes()).map_err(|_| error())?;
        headers.append(name, HeaderValue::from_str(value.trim()).map_err(|_| error())?);
    }
    Ok(headers)
}

fn parse_path(path: &str) -> Result<RequestPath<'_>, RequestError> {
    RequestPath::parse(path).map_err(|error| RequestError::Rejected(error.to_string()))
}

/// Explains how the node handles a request, as lines of text.
///
/// # Errors
/// None for a request that [`Request::parse`] returned.
pub fn explain(config: &Config, sources: &Sources, request: &Request) -> Result<String, RequestError> {
    let path = parse_path(&request.path)?;
    let Request { method, host, headers, .. } = request;
    let query = RouteQuery { host, path: &path, method, headers };
    let mut text = String::new();
    let passed_over_end = match config.matcher().find(&query) {
        MatchResult::Route(index) => {
            let explanation = RouteExplanation { config, sources, query: &query };
            explanation.write_route(&config.routes[index], &mut text);
            index
        }
        MatchResult::MethodNotAllowed(methods) => {
            let names: Vec<_> = methods.iter().map(Method::as_str).collect();
            let _ = writeln!(text, "no route: 405, with Allow: {}", names.join(", "));
            config.routes.len()
        }
        MatchResult::NoMatch => {
            text.push_str("no route: 404\n");
            config.routes.len()
        }
    };
    write_passed_over(&config.routes[..passed_over_end], sources, &query, &mut text);
    Ok(text)
}

/// Lists the routes that match host and path, but not the method or a header.
fn write_passed_over(routes: &[Route], sources: &Sources, query: &RouteQuery<'_>, text: &mut String) {
    let passed_over = routes.iter().filter_map(|route| match route.pattern.mismatch(query)? {
        Mismatch::Host | Mismatch::Path => None,
        Mismatch::Method => Some((route, "its methods are others".to_owned())),
        Mismatch::Header(name) => Some((route, format!("its condition on the header {name} does not hold"))),
    });
    for (route, reason) in passed_over.take(MAX_PASSED_OVER) {
        let position = sources.path_and_line(route.spans.name);
        let _ = writeln!(text, "passed over: route {} ({position}): {reason}", route.name);
    }
}

/// The inputs for the explanation of a route.
struct RouteExplanation<'a> {
    config: &'a Config,
    sources: &'a Sources,
    query: &'a RouteQuery<'a>,
}

impl RouteExplanation<'_> {
    fn write_route(&self, route: &Route, text: &mut String) {
        let class = &self.config.classes[route.class];
        let position = self.position(route.spans.name);
        let conditions = self.conditions(route).join(", ");
        let _ = writeln!(text, "route {} ({position}): the first that fits, by {conditions}", route.name);
        self.write_class(class, text);
        self.write_pool(&self.config.pools[route.pool], text);
        let _ = writeln!(text, "tenant {}", self.tenant(&route.tenant));
        let key = key_of(&route.key, self.query);
        let key = key.map_or("none".into(), |key| String::from_utf8_lossy(&key).into_owned());
        let _ = writeln!(text, "key {key}");
        if let Idempotency::IdempotencyKey { header, .. } = &class.settings.idempotency
            && self.header(header).is_none()
        {
            let _ = writeln!(text, "the header {header} is missing: 400");
        }
    }

    /// The conditions of a route, all of which the request meets.
    fn conditions(&self, route: &Route) -> Vec<String> {
        let pattern = &route.pattern;
        let host = if self.query.host.is_empty() || pattern.host.to_string() == "*" {
            "any host".to_owned()
        } else {
            format!("host {}", pattern.host)
        };
        let mut conditions = vec![format!("path {}", pattern.path), host];
        conditions.extend(pattern.headers.iter().map(|rule| format!("header {}", rule.name)));
        conditions
    }

    fn write_class(&self, class: &Class, text: &mut String) {
        let settings = &class.settings;
        let repeats = match settings.idempotency {
            Idempotency::Idempotent => "may be sent again",
            Idempotency::IdempotencyKey { .. } => "may be sent again under its key",
            Idempotency::NotIdempotent => "is never sent again once it may have run",
        };
        let (position, weight) = (self.position(class.spans.name), settings.priority_weight);
        let _ = writeln!(text, "class {} ({position}): worth {weight}, {repeats}", class.name);
        let deadline = format_duration(settings.deadline);
        let _ = writeln!(text, "deadline {deadline}, aim {}", format_duration(settings.latency_objective));
    }

    fn write_pool(&self, pool: &Pool, text: &mut String) {
        let endpoints = match &pool.endpoints {
            PoolEndpoints::Static(endpoints) => format!("{} servers", endpoints.len()),
            PoolEndpoints::Discovered { address, .. } => format!("servers from {address}"),
        };
        let (position, attempts) = (self.position(pool.spans.name), pool.settings.max_attempts);
        let _ = writeln!(text, "pool {} ({position}): {endpoints}, {attempts} attempts", pool.name);
    }

    fn tenant(&self, source: &TenantSource) -> String {
        let tenants = &self.config.tenants;
        match source {
            TenantSource::None => "none".into(),
            TenantSource::Fixed(index) => tenants[*index].name.clone(),
            TenantSource::Header(name) => match self.header(name) {
                Some(tenant) if tenants.iter().any(|known| known.name == tenant) => tenant.to_owned(),
                Some(tenant) => format!("`{tenant}` of the header {name} is no tenant: 400"),
                None => format!("the header {name} is missing: 400"),
            },
        }
    }

    fn header(&self, name: &str) -> Option<&str> {
        self.query.headers.get(name).and_then(|value| value.to_str().ok())
    }

    fn position(&self, span: Span) -> String {
        self.sources.path_and_line(span)
    }
}

/// The key of a request, if it has one.
#[must_use]
pub fn key_of(source: &KeySource, query: &RouteQuery<'_>) -> Option<Vec<u8>> {
    match source {
        KeySource::None => None,
        KeySource::Segment(index) => query.path.segment(*index).map(Into::into),
        KeySource::Last => query.path.last().map(Into::into),
        KeySource::Header(name) => query.headers.get(name).map(|value| value.as_bytes().into()),
    }
}
