//! Matches requests to routes. Free of I/O.
//!
//! The first route in the order of the file that matches a request is taken. [`Matcher`] finds it without
//! checking every route: hosts are looked up by name, paths in a trie of segments, and only routes with the
//! same host and path are checked one by one. The matcher stores the routes completely: [`Matcher::route`]
//! restores one. [`Route::mismatch`] checks a single route without compiled tables; tests compare the matcher
//! with it.
//!
//! Paths are compared segment by segment as RFC 3986 section 3.3 divides them. Each segment is
//! percent-decoded separately, so `%2F` is never a separator. [`RequestPath::parse`] rejects paths that a
//! backend might read differently from the matcher, such as `..` in any encoding.

mod host;
mod matcher;
mod methods;
mod names;
mod path;
#[cfg(test)]
#[path = "../tests/unit/differential.rs"]
mod tests;

pub use host::{HostError, HostPattern, request_host};
pub use matcher::{MatchResult, Matcher};
pub use path::{MAX_SEGMENTS, PathError, PathPattern, PatternError, RequestPath};

use http::{HeaderMap, HeaderName, HeaderValue, Method};

/// The methods that a route matches.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Methods {
    /// Every method.
    Any,
    /// Only these methods.
    Only(Vec<Method>),
}

impl Methods {
    /// Whether it includes a method.
    #[must_use]
    pub fn allows(&self, method: &Method) -> bool {
        match self {
            Self::Any => true,
            Self::Only(list) => list.contains(method),
        }
    }

    /// Whether it includes every method of `other`.
    #[must_use]
    pub fn covers(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Any, _) => true,
            (_, Self::Any) => false,
            (_, Self::Only(list)) => list.iter().all(|method| self.allows(method)),
        }
    }

    /// Adds the methods of `other`.
    fn extend(&mut self, other: &Self) {
        match (&mut *self, other) {
            (Self::Any, _) => {}
            (_, Self::Any) => *self = Self::Any,
            (Self::Only(list), Self::Only(more)) => {
                for method in more {
                    if !list.contains(method) {
                        list.push(method.clone());
                    }
                }
            }
        }
    }
}

/// A condition on a header field.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct HeaderRule {
    /// Name of the field, in lower case.
    pub name: Box<str>,
    /// The value that one of its lines must have; `None` if any value matches.
    pub value: Option<Box<[u8]>>,
}

impl HeaderRule {
    /// Whether the header fields of a request meet the condition.
    #[must_use]
    pub fn matches(&self, headers: &HeaderMap) -> bool {
        let mut values = header_values(headers, &self.name);
        match &self.value {
            None => values.next().is_some(),
            Some(wanted) => values.any(|value| value == &**wanted),
        }
    }
}

fn header_values<'a>(headers: &'a HeaderMap, name: &str) -> impl Iterator<Item = &'a [u8]> {
    // A text that is not a field name can't be in the map.
    let name = HeaderName::from_bytes(name.as_bytes()).ok();
    name.into_iter().flat_map(|name| headers.get_all(name)).map(trimmed_value)
}

/// The value that conditions are compared with: without leading and trailing whitespace.
fn trimmed_value(value: &HeaderValue) -> &[u8] {
    value.as_bytes().trim_ascii()
}

/// The conditions of a route on a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Hosts that it matches.
    pub host: HostPattern,
    /// Paths that it matches.
    pub path: PathPattern,
    /// Methods that it matches.
    pub methods: Methods,
    /// Conditions on header fields; all must be met.
    pub headers: Vec<HeaderRule>,
}

/// The first condition of a route that a request does not meet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Mismatch {
    /// The host.
    Host,
    /// The path.
    Path,
    /// The condition on the header field with this name.
    Header(Box<str>),
    /// The method.
    Method,
}

/// The parts of a request that routes match.
#[derive(Clone, Copy, Debug)]
pub struct RouteQuery<'a> {
    /// The host, as [`request_host`] returns it; empty if the request has none.
    pub host: &'a str,
    /// The path.
    pub path: &'a RequestPath<'a>,
    /// The method.
    pub method: &'a Method,
    /// The header fields.
    pub headers: &'a HeaderMap,
}

impl Route {
    /// The first condition that a request does not meet; `None` if the route matches.
    #[must_use]
    pub fn mismatch(&self, query: &RouteQuery<'_>) -> Option<Mismatch> {
        if !self.host.matches(query.host) {
            return Some(Mismatch::Host);
        }
        if !self.path.matches(query.path) {
            return Some(Mismatch::Path);
        }
        if let Some(rule) = self.headers.iter().find(|rule| !rule.matches(query.headers)) {
            return Some(Mismatch::Header(rule.name.clone()));
        }
        (!self.methods.allows(query.method)).then_some(Mismatch::Method)
    }

    /// Whether some request can match both routes. Header conditions are ignored: a request may have a field
    /// twice, with a value for each route.
    #[must_use]
    pub fn overlaps(&self, other: &Self) -> bool {
        let methods_overlap = match (&self.methods, &other.methods) {
            (Methods::Only(one), Methods::Only(other)) => one.iter().any(|method| other.contains(method)),
            _ => true,
        };
        methods_overlap && self.host.overlaps(&other.host) && self.path.overlaps(&other.path)
    }
}
