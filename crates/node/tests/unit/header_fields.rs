use super::*;

#[test]
fn hop_by_hop_fields_are_not_forwarded() {
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
fn via_and_forwarded_name_gateway_and_client() {
    assert_eq!(via(Version::HTTP_10, "n1").unwrap(), "1.0 n1");
    assert_eq!(via(Version::HTTP_11, "n1").unwrap(), "1.1 n1");
    assert_eq!(via(Version::HTTP_11, "a\nb"), None);
    let four = forwarded("127.0.0.1".parse().unwrap(), Some("a.org:80")).unwrap();
    assert_eq!(four, "for=127.0.0.1;host=\"a.org:80\";proto=http");
    assert_eq!(forwarded("::1".parse().unwrap(), Some("a\"b")).unwrap(), "for=\"[::1]\";proto=http");
    assert_eq!(forwarded("::ffff:10.0.0.1".parse().unwrap(), None).unwrap(), "for=10.0.0.1;proto=http");
}
