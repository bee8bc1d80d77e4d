//! Which route a request takes. Free of I/O.
//!
//! The first route in the order of the file that fits wins. [`Matcher`] finds it without asking every route:
//! hosts are looked up by name, paths walk a trie of segments, and only routes that share host and path are
//! compared among themselves. It is all that needs to be kept of the routes: what one wants is read back by
//! [`Matcher::route`]. [`Route::misfit`] is the same question for one route, asked plainly; the tests hold the
//! matcher to it.
//!
//! Paths are compared segment by segment as RFC 3986 section 3.3 divides them, each percent-decoded by itself:
//! `%2F` never divides. What a backend might read as another path than the matcher does, such as `..` in any
//! encoding, is refused by [`RequestPath::parse`] and never matched.

mod host;
mod matcher;
mod methods;
mod names;
mod path;
#[cfg(test)]
#[path = "../tests/unit/differential.rs"]
mod tests;

pub use host::{HostError, HostPattern, request_host};
pub use matcher::{Found, Matcher};
pub use path::{MOST_SEGMENTS, PathError, PathPattern, PatternError, RequestPath};

use http::{HeaderMap, HeaderName, HeaderValue, Method};

/// Methods that a route takes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Methods {
    /// Every method.
    Any,
    /// These.
    Only(Vec<Method>),
}

impl Methods {
    /// Whether it takes this one.
    #[must_use]
    pub fn allow(&self, method: &Method) -> bool {
        match self {
            Self::Any => true,
            Self::Only(list) => list.contains(method),
        }
    }

    /// Whether it takes all that another takes.
    #[must_use]
    pub fn cover(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Any, _) => true,
            (_, Self::Any) => false,
            (_, Self::Only(list)) => list.iter().all(|method| self.allow(method)),
        }
    }

    /// Both together.
    fn join(&mut self, other: &Self) {
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
    /// Its name, in lower case.
    pub name: Box<str>,
    /// The value that one of its lines must have; `None` is any.
    pub value: Option<Box<[u8]>>,
}

impl HeaderRule {
    /// Whether a request's fields hold it.
    #[must_use]
    pub fn holds(&self, headers: &HeaderMap) -> bool {
        let mut values = values(headers, &self.name);
        match &self.value {
            None => values.next().is_some(),
            Some(wanted) => values.any(|value| value == &**wanted),
        }
    }
}

fn values<'a>(headers: &'a HeaderMap, name: &str) -> impl Iterator<Item = &'a [u8]> {
    // A name that is none can't be in the map.
    let name = HeaderName::from_bytes(name.as_bytes()).ok();
    name.into_iter().flat_map(|name| headers.get_all(name)).map(compared)
}

/// A value as conditions compare it: without the space around it.
fn compared(value: &HeaderValue) -> &[u8] {
    value.as_bytes().trim_ascii()
}

/// What a route wants of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The host asked for.
    pub host: HostPattern,
    /// The path.
    pub path: PathPattern,
    /// The method.
    pub methods: Methods,
    /// All of these must hold.
    pub headers: Vec<HeaderRule>,
}

/// The first thing about a request that a route does not want.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Misfit {
    /// Its host.
    Host,
    /// Its path.
    Path,
    /// A header field, by its name.
    Header(Box<str>),
    /// Its method.
    Method,
}

/// A request as routes see it.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// From [`request_host`]; empty where the request names none.
    pub host: &'a str,
    /// Its path.
    pub path: &'a RequestPath<'a>,
    /// Its method.
    pub method: &'a Method,
    /// Its header fields.
    pub headers: &'a HeaderMap,
}

impl Route {
    /// Why a request does not fit, or nothing where it does.
    #[must_use]
    pub fn misfit(&self, query: &Query<'_>) -> Option<Misfit> {
        if !self.host.matches(query.host) {
            return Some(Misfit::Host);
        }
        if !self.path.matches(query.path) {
            return Some(Misfit::Path);
        }
        if let Some(rule) = self.headers.iter().find(|rule| !rule.holds(query.headers)) {
            return Some(Misfit::Header(rule.name.clone()));
        }
        (!self.methods.allow(query.method)).then_some(Misfit::Method)
    }

    /// Whether some request may fit both. Header conditions never keep two routes apart: a request may have a
    /// field twice.
    #[must_use]
    pub fn overlaps(&self, other: &Self) -> bool {
        let methods = match (&self.methods, &other.methods) {
            (Methods::Only(one), Methods::Only(other)) => one.iter().any(|method| other.contains(method)),
            _ => true,
        };
        methods && self.host.overlaps(&other.host) && self.path.overlaps(&other.path)
    }
}
