//! Hosts: what a request asks for, and what a route wants.

use std::borrow::Cow;
use std::fmt;
use std::str::FromStr;

use thiserror::Error;

/// Longest host name (RFC 1035 section 2.3.4, in text form).
const LONGEST_HOST: usize = 253;

/// A host that is none.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum HostError {
    /// A character that no host holds, or a port that is no number.
    #[error("not a host name, an address, or `*.` before a name")]
    Malformed,
    /// Too long.
    #[error("a host name has at most {LONGEST_HOST} characters")]
    TooLong,
}

/// Hosts that a route takes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum HostPattern {
    /// Every host, and none.
    Any,
    /// This one.
    Exact(Box<str>),
    /// Those under this one, at any depth, but not itself.
    Under(Box<str>),
}

impl HostPattern {
    /// Whether it takes a host as [`request_host`] gives it.
    #[must_use]
    pub fn matches(&self, host: &str) -> bool {
        match self {
            Self::Any => true,
            Self::Exact(name) => **name == *host,
            Self::Under(name) => under(host, name),
        }
    }

    /// Whether it takes every host that the other takes.
    #[must_use]
    pub fn covers(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Any, _) => true,
            (_, Self::Any) => false,
            (Self::Exact(name), Self::Exact(other)) => name == other,
            (Self::Exact(_), Self::Under(_)) => false,
            (Self::Under(name), Self::Exact(other)) => under(other, name),
            (Self::Under(name), Self::Under(other)) => name == other || under(other, name),
        }
    }

    /// Whether some host is taken by both.
    #[must_use]
    pub fn overlaps(&self, other: &Self) -> bool {
        // Of two sets of hosts under a name one lies in the other, or they are apart.
        self.covers(other) || other.covers(self)
    }
}

fn under(host: &str, name: &str) -> bool {
    host.strip_suffix(name).is_some_and(|rest| rest.len() > 1 && rest.ends_with('.'))
}

impl FromStr for HostPattern {
    type Err = HostError;

    /// A name, an address, or `*.` before a name; a port has no place here.
    fn from_str(text: &str) -> Result<Self, HostError> {
        if text == "*" {
            return Ok(Self::Any);
        }
        let (name, wild) = text.strip_prefix("*.").map_or((text, false), |name| (name, true));
        let host = request_host(name)?;
        let has_port = !name.starts_with('[') && name.contains(':') || name.ends_with(':');
        if host.is_empty() || has_port || name.rsplit_once("]:").is_some() {
            return Err(HostError::Malformed);
        }
        let host: Box<str> = host.into_owned().into();
        Ok(if wild { Self::Under(host) } else { Self::Exact(host) })
    }
}

impl fmt::Display for HostPattern {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Any => f.write_str("*"),
            Self::Exact(name) => f.write_str(name),
            Self::Under(name) => write!(f, "*.{name}"),
        }
    }
}

/// The host of a `Host` field or an authority (RFC 9110 section 7.2): without its port and a last dot, in lower
/// case. An empty one stays empty, as RFC 9112 section 3.2 allows it.
///
/// # Errors
/// What is no host.
pub fn request_host(text: &str) -> Result<Cow<'_, str>, HostError> {
    let (host, port) = match text.strip_prefix('[') {
        Some(rest) => {
            let (inside, after) = rest.split_once(']').ok_or(HostError::Malformed)?;
            let address = inside.bytes().all(|b| b.is_ascii_hexdigit() || b == b':' || b == b'.');
            if !address || inside.is_empty() {
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
    if host.len() > LONGEST_HOST {
        return Err(HostError::TooLong);
    }
    let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'.' | b'_');
    if !host.starts_with('[') && !host.bytes().all(plain) {
        return Err(HostError::Malformed);
    }
    if host.split('.').any(str::is_empty) && !host.is_empty() {
        return Err(HostError::Malformed);
    }
    let upper = host.bytes().any(|b| b.is_ascii_uppercase());
    Ok(if upper { Cow::Owned(host.to_ascii_lowercase()) } else { Cow::Borrowed(host) })
}
