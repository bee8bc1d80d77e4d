//! Hosts of requests, and host patterns of routes.

use std::borrow::Cow;
use std::fmt;
use std::str::FromStr;

use thiserror::Error;

/// Longest host name in text form, in bytes (RFC 1035 section 2.3.4).
const MAX_HOST_BYTES: usize = 253;

/// Why a text is not a host or a host pattern.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum HostError {
    /// It has a character that is not allowed in a host, an empty label or a malformed port, or it is a
    /// pattern that is empty or has a port.
    #[error("not a host name, an address, or `*.` before a name")]
    Malformed,
    /// Longer than a host name can be.
    #[error("a host name has at most {MAX_HOST_BYTES} characters")]
    TooLong,
}

/// The hosts that a route matches.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum HostPattern {
    /// Every host, and requests without one.
    Any,
    /// Only this host.
    Exact(Box<str>),
    /// The subdomains of this name, at any depth, but not the name itself.
    Subdomains(Box<str>),
}

impl HostPattern {
    /// Whether it matches a host in the form that [`request_host`] returns.
    #[must_use]
    pub fn matches(&self, host: &str) -> bool {
        match self {
            Self::Any => true,
            Self::Exact(name) => **name == *host,
            Self::Subdomains(name) => is_subdomain(host, name),
        }
    }

    /// Whether it matches every host that `other` matches.
    #[must_use]
    pub fn covers(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Any, _) => true,
            (_, Self::Any) => false,
            (Self::Exact(name), Self::Exact(other)) => name == other,
            (Self::Exact(_), Self::Subdomains(_)) => false,
            (Self::Subdomains(name), Self::Exact(other)) => is_subdomain(other, name),
            (Self::Subdomains(name), Self::Subdomains(other)) => name == other || is_subdomain(other, name),
        }
    }

    /// Whether some host matches both patterns.
    #[must_use]
    pub fn overlaps(&self, other: &Self) -> bool {
        // The subdomains of two names are disjoint, or one set contains the other.
        self.covers(other) || other.covers(self)
    }
}

fn is_subdomain(host: &str, name: &str) -> bool {
    host.strip_suffix(name).is_some_and(|rest| rest.len() > 1 && rest.ends_with('.'))
}

impl FromStr for HostPattern {
    type Err = HostError;

    /// Parses `*`, a host name, an IP address, or `*.` followed by a host name. A port is an error.
    fn from_str(text: &str) -> Result<Self, HostError> {
        if text == "*" {
            return Ok(Self::Any);
        }
        let (name, is_wildcard) = text.strip_prefix("*.").map_or((text, false), |name| (name, true));
        let host = request_host(name)?;
        let has_port = !name.starts_with('[') && name.contains(':') || name.ends_with(':');
        if host.is_empty() || has_port || name.rsplit_once("]:").is_some() {
            return Err(HostError::Malformed);
        }
        let host: Box<str> = host.into_owned().into();
        Ok(if is_wildcard { Self::Subdomains(host) } else { Self::Exact(host) })
    }
}

impl fmt::Display for HostPattern {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Any => f.write_str("*"),
            Self::Exact(name) => f.write_str(name),
            Self::Subdomains(name) => write!(f, "*.{name}"),
        }
    }
}

/// Returns the host of a `Host` field or an authority (RFC 9110 section 7.2) in lower case, without the port
/// and without a dot at its end. An empty host stays empty, as RFC 9112 section 3.2 allows it.
///
/// # Errors
/// Text that is not a host.
pub fn request_host(text: &str) -> Result<Cow<'_, str>, HostError> {
    let (host, port) = match text.strip_prefix('[') {
        Some(rest) => {
            let (inside, after) = rest.split_once(']').ok_or(HostError::Malformed)?;
            let is_address = inside.bytes().all(|b| b.is_ascii_hexdigit() || b == b':' || b == b'.');
            if !is_address || inside.is_empty() {
                return Err(HostError::Malformed);
            }
            (&text[..inside.len() + 2], after)
        }
        None => text.find(':').map_or((text, ""), |colon| text.split_at(colon)),
    };
    let port = port.strip_prefix(':').or_else(|| port.is_empty().then_some(""));
    if !port.is_some_and(|port| port.len() <= 5 && port.bytes().all(|b| b.is_ascii_digit())) {
        return Err(HostError::Malformed);
    }
    let host = host.strip_suffix('.').unwrap_or(host);
    if host.len() > MAX_HOST_BYTES {
        return Err(HostError::TooLong);
    }
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'.' | b'_');
    if !host.starts_with('[') && !host.bytes().all(is_allowed) {
        return Err(HostError::Malformed);
    }
    if host.split('.').any(str::is_empty) && !host.is_empty() {
        return Err(HostError::Malformed);
    }
    let has_upper_case = host.bytes().any(|b| b.is_ascii_uppercase());
    Ok(if has_upper_case { Cow::Owned(host.to_ascii_lowercase()) } else { Cow::Borrowed(host) })
}
