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
mod tests {
    use super::*;

    #[test]
    fn what_is_for_one_hop_ends_there() {
        let mut headers = HeaderMap::new();
        for (name, value) in [
            ("connection", "keep-alive, X-Private , host,, cookie"),
            ("connection", "close"),
            ("keep-alive", "timeout=5"),
            ("te", "trailers"),
            ("trailer", "x"),
            ("transfer-encoding", "chunked"),
            ("upgrade", "websocket"),
            ("content-length", "3"),
            ("proxy-connection", "close"),
            ("expect", "100-continue"),
            ("x-private", "1"),
            ("host", "a"),
            ("cookie", "b=c"),
            ("x-public", "2"),
        ] {
            headers.append(name, HeaderValue::from_static(value));
        }
        strip_hop_by_hop(&mut headers);
        let mut left: Vec<_> = headers.keys().map(HeaderName::as_str).collect();
        left.sort_unstable();
        assert_eq!(left, ["cookie", "host", "x-public"]);
    }

    #[test]
    fn a_gateway_names_itself_and_its_client() {
        assert_eq!(via(Version::HTTP_10, "n1").unwrap(), "1.0 n1");
        assert_eq!(via(Version::HTTP_11, "n1").unwrap(), "1.1 n1");
        assert_eq!(via(Version::HTTP_11, "a\nb"), None);
        let four = forwarded("127.0.0.1".parse().unwrap(), Some("a.org:80")).unwrap();
        assert_eq!(four, "for=127.0.0.1;host=\"a.org:80\";proto=http");
        assert_eq!(forwarded("::1".parse().unwrap(), Some("a\"b")).unwrap(), "for=\"[::1]\";proto=http");
        assert_eq!(forwarded("::ffff:10.0.0.1".parse().unwrap(), None).unwrap(), "for=10.0.0.1;proto=http");
    }
}
