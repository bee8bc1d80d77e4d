//! Hop-by-hop header fields, and the header fields that a gateway adds.

use std::fmt::Write;
use std::net::IpAddr;

use hyper::Version;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};

/// Maximum size of the head of an HTTP message, in bytes.
pub const MAX_HEAD_BYTES: usize = 32 << 10;

/// Connection-specific fields (RFC 9110 section 7.6.1), and framing fields, which each connection sets for itself.
const HOP_BY_HOP: [HeaderName; 9] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
    header::CONTENT_LENGTH,
];
/// Fields that are forwarded even if `Connection` names them, because a request has a different meaning without them.
const ALWAYS_FORWARDED: [HeaderName; 2] = [header::HOST, header::COOKIE];

/// Maximum size of a `Forwarded` entry without the host, in bytes.
const MAX_FORWARDED_BYTES: usize = 80;

/// Returns a copy of a value in memory of its own. A clone shares the read buffer of the connection that the value was
/// received on, and keeps all of it in use.
#[must_use]
pub fn detached(value: &HeaderValue) -> HeaderValue {
    HeaderValue::from_bytes(value.as_bytes()).unwrap_or_else(|_| value.clone())
}

/// Removes the hop-by-hop fields: the standard ones and those that `Connection` names.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| HeaderName::from_bytes(name.trim().as_bytes()).ok())
        .filter(|name| !ALWAYS_FORWARDED.contains(name))
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}

/// Returns a `Via` entry (RFC 9110 section 7.6.3) with the version of the received message and this gateway's name.
pub fn via(version: Version, name: &str) -> Option<HeaderValue> {
    let version = if version == Version::HTTP_10 { "1.0" } else { "1.1" };
    HeaderValue::from_str(&format!("{version} {name}")).ok()
}

/// Returns a `Forwarded` entry (RFC 7239 section 4).
pub fn forwarded(peer: IpAddr, host: Option<&str>) -> Option<HeaderValue> {
    // Built for every request, so memory is allocated only once.
    let mut entry = String::with_capacity(MAX_FORWARDED_BYTES + host.map_or(0, str::len));
    let _ = match peer.to_canonical() {
        IpAddr::V4(peer) => write!(entry, "for={peer}"),
        IpAddr::V6(peer) => write!(entry, "for=\"[{peer}]\""),
    };
    if let Some(host) = host.filter(|host| !host.is_empty() && !host.contains(['"', '\\'])) {
        entry.push_str(";host=\"");
        entry.push_str(host);
        entry.push('"');
    }
    entry.push_str(";proto=http");
    HeaderValue::try_from(entry).ok()
}

#[cfg(test)]
#[path = "../../tests/unit/header_fields.rs"]
mod tests;
