//! Header fields that end at a hop, and those that a gateway adds. Free of I/O.

use std::fmt::Write;
use std::net::IpAddr;

use hyper::Version;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};

/// Fields for one connection only (RFC 9110 section 7.6.1), and those that tell of its framing, which the other
/// side has its own of.
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
/// Fields that no `Connection` can make end here: without them a request is another one.
const KEPT: [HeaderName; 2] = [header::HOST, header::COOKIE];

/// Of an entry of `Forwarded` without the host.
const LONGEST_PEER: usize = 80;

/// Removes what is for this connection, by its own name or by that of `Connection`.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| HeaderName::from_bytes(name.trim().as_bytes()).ok())
        .filter(|name| !KEPT.contains(name))
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}

/// An entry of `Via` (RFC 9110 section 7.6.3): the version of the message as it came, and a name.
pub fn via(version: Version, name: &str) -> Option<HeaderValue> {
    let version = if version == Version::HTTP_10 { "1.0" } else { "1.1" };
    HeaderValue::from_str(&format!("{version} {name}")).ok()
}

/// An entry of `Forwarded` (RFC 7239 section 4).
pub fn forwarded(peer: IpAddr, host: Option<&str>) -> Option<HeaderValue> {
    // With every request: in one piece, and without the machinery of formats for what is plain text.
    let mut entry = String::with_capacity(LONGEST_PEER + host.map_or(0, str::len));
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
