//! Which route a request takes, and why.

use std::fmt::Write;

use http::{HeaderMap, HeaderName, HeaderValue, Method};
use pumicehead_route::{Found, Misfit, Query, RequestPath, request_host};
use thiserror::Error;

use crate::diff::facts;
use crate::model::{Config, KeyOf, Repeats, TenantOf};
use crate::span::Sources;
use crate::units::show_time;

/// Most routes that were passed over and are named.
const MOST_NAMED: usize = 8;

/// A request that can't be read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RequestFault {
    /// Not of the form.
    #[error("a request is `METHOD http://HOST/PATH`, or `METHOD /PATH`; a method that is left out is GET")]
    Form,
    /// A header not of the form.
    #[error("`{0}` is no header: write `NAME: VALUE`")]
    Header(String),
    /// What the node would turn away.
    #[error("{0}: the node answers 400")]
    Refused(String),
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
    /// Reads `METHOD URL` and header lines.
    ///
    /// # Errors
    /// What is not of that form, and what no node would route.
    pub fn parse(text: &str, headers: &[String]) -> Result<Self, RequestFault> {
        let words: Vec<_> = text.split_whitespace().collect();
        let (method, url) = match words[..] {
            [url] => ("GET", url),
            [method, url] => (method, url),
            _ => return Err(RequestFault::Form),
        };
        let method = Method::from_bytes(method.as_bytes()).map_err(|_| RequestFault::Form)?;
        let mut map = HeaderMap::new();
        for line in headers {
            let fault = || RequestFault::Header(line.clone());
            let (name, value) = line.split_once(':').ok_or_else(fault)?;
            let name = HeaderName::from_bytes(name.trim().as_bytes()).map_err(|_| fault())?;
            map.append(name, HeaderValue::from_str(value.trim()).map_err(|_| fault())?);
        }
        let (authority, path) = match url.strip_prefix("http://") {
            Some(rest) => rest.find('/').map_or((rest, "/"), |slash| rest.split_at(slash)),
            None if url.starts_with('/') => {
                (map.get("host").and_then(|v| v.to_str().ok()).unwrap_or(""), url)
            }
            None => return Err(RequestFault::Form),
        };
        let refused = |text: String| RequestFault::Refused(text);
        let host = request_host(authority).map_err(|e| refused(format!("the host is {e}")))?.into_owned();
        let path = path.split(['?', '#']).next().unwrap_or("/").to_owned();
        RequestPath::parse(&path).map_err(|e| refused(e.to_string()))?;
        Ok(Self { method, host, path, headers: map })
    }
}

/// Says what the node would do with a request.
///
/// # Errors
/// None for a request that [`Request::parse`] made.
pub fn explain(config: &Config, sources: &Sources, request: &Request) -> Result<String, RequestFault> {
    let path = RequestPath::parse(&request.path).map_err(|e| RequestFault::Refused(e.to_string()))?;
    let Request { method, host, headers, .. } = request;
    let query = Query { host, path: &path, method, headers };
    let mut out = String::new();
    let found = config.matcher().find(&query);
    let until = match &found {
        Found::Route(place) => {
            explain_route(config, sources, *place, &query, &mut out);
            *place
        }
        Found::Method(methods) => {
            let names: Vec<_> = methods.iter().map(Method::as_str).collect();
            let _ = writeln!(out, "no route: 405, with Allow: {}", names.join(", "));
            config.routes.len()
        }
        Found::Nothing => {
            out.push_str("no route: 404\n");
            config.routes.len()
        }
    };
    // Those that came nearest are what a reader looks for: all but those of other paths and hosts.
    let passed = config.routes[..until].iter().filter_map(|route| match route.pattern.misfit(&query)? {
        Misfit::Host | Misfit::Path => None,
        Misfit::Method => Some((route, "its methods are others".to_owned())),
        Misfit::Header(name) => Some((route, format!("its condition on the header {name} does not hold"))),
    });
    for (route, why) in passed.take(MOST_NAMED) {
        let _ = writeln!(out, "passed over: route {} ({}): {why}", route.name, sources.line(route.at.name));
    }
    Ok(out)
}

fn explain_route(config: &Config, sources: &Sources, place: usize, query: &Query<'_>, out: &mut String) {
    let route = &config.routes[place];
    let class = &config.classes[route.class];
    let pool = &config.pools[route.pool];
    let pattern = &route.pattern;
    let mut why = vec![format!("path {}", pattern.path)];
    if query.host.is_empty() || pattern.host.to_string() == "*" {
        why.push("any host".into());
    } else {
        why.push(format!("host {}", pattern.host));
    }
    why.extend(pattern.headers.iter().map(|rule| format!("header {}", rule.name)));
    let at = |span| sources.line(span);
    let _ = writeln!(
        out,
        "route {} ({}): the first that fits, by {}",
        route.name,
        at(route.at.name),
        why.join(", ")
    );
    let repeats = match &class.repeats {
        Repeats::Safe => "may be sent again",
        Repeats::Keyed { .. } => "may be sent again under its key",
        Repeats::Unsafe => "is never sent again once it may have run",
    };
    let _ = writeln!(out, "class {} ({}): worth {}, {repeats}", class.name, at(class.at.name), class.worth);
    let _ = writeln!(out, "deadline {}, aim {}", show_time(class.deadline), show_time(class.aim));
    let servers = match &pool.members {
        crate::model::Members::Static(servers) => format!("{} servers", servers.len()),
        crate::model::Members::Discovery { address, .. } => format!("servers from {address}"),
    };
    let _ = writeln!(out, "pool {} ({}): {servers}, {} attempts", pool.name, at(pool.at.name), pool.attempts);
    let value = |name: &str| query.headers.get(name).and_then(|value| value.to_str().ok());
    let tenant = match &route.tenant {
        TenantOf::None => "none".into(),
        TenantOf::Fixed(place) => config.tenants[*place].name.clone(),
        TenantOf::Header(name) => match value(name) {
            Some(tenant) if config.tenants.iter().any(|known| known.name == tenant) => tenant.to_owned(),
            Some(tenant) => format!("`{tenant}` of the header {name} is no tenant: 400"),
            None => format!("the header {name} is missing: 400"),
        },
    };
    let _ = writeln!(out, "tenant {tenant}");
    let key = key_of(&route.key, query);
    let key = key.map_or("none".into(), |key| String::from_utf8_lossy(&key).into_owned());
    let _ = writeln!(out, "key {key}");
    if let Repeats::Keyed { header, .. } = &class.repeats
        && value(header).is_none()
    {
        let _ = writeln!(out, "the header {header} is missing: 400");
    }
}

/// What a request is about.
#[must_use]
pub fn key_of(key: &KeyOf, query: &Query<'_>) -> Option<Vec<u8>> {
    match key {
        KeyOf::None => None,
        KeyOf::Segment(place) => query.path.segment(*place).map(Into::into),
        KeyOf::Last => query.path.last().map(Into::into),
        KeyOf::Header(name) => query.headers.get(name).map(|value| value.as_bytes().into()),
    }
}

/// All settings of a configuration in one form, for tests and for people who compare.
#[must_use]
pub fn dump(config: &Config) -> String {
    format!("{:#?}", facts(config).without_places())
}
