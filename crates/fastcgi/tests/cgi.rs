//! CGI variables and response heads according to RFC 3875.

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode, Uri};
use pumicehead_fastcgi::cgi::*;

fn to_pairs(pairs: &[(&str, &str)]) -> Vec<(Bytes, Bytes)> {
    let bytes = |text: &str| Bytes::copy_from_slice(text.as_bytes());
    pairs.iter().map(|(name, value)| (bytes(name), bytes(value))).collect()
}

fn variables_of(
    target: &str,
    script_name: &str,
    headers: &[(&'static str, &str)],
) -> Result<Vec<(String, String)>, RequestError> {
    let mut map = HeaderMap::new();
    for (name, value) in headers {
        map.append(*name, value.parse().unwrap());
    }
    let uri: Uri = target.parse().unwrap();
    let client_address = "::ffff:10.0.0.7".parse().ok();
    let list = variables(
        &Method::GET,
        &uri,
        &map,
        GatewayContext { client_address, script_name, document_root: "/srv", body_length: 0 },
    )?;
    let text = |bytes: &[u8]| String::from_utf8(bytes.to_vec()).unwrap();
    Ok(list.iter().map(|(name, value)| (name.to_string(), text(value))).collect())
}

#[test]
fn path_is_decoded_and_split_at_the_script_name() {
    let get = |list: &[(String, String)], name: &str| {
        list.iter().find(|(known, _)| known == name).map(|(_, value)| value.clone())
    };
    let all = variables_of(
        "/app/runs/any%25?x=%2F",
        "/app",
        &[("host", "[::1]:81"), ("cookie", "a=1"), ("cookie", "b=2")],
    )
    .unwrap();
    for (name, value) in [
        ("SCRIPT_NAME", "/app"),
        ("PATH_INFO", "/runs/any%"),
        ("QUERY_STRING", "x=%2F"),
        ("REQUEST_URI", "/app/runs/any%25?x=%2F"),
        ("SCRIPT_FILENAME", "/srv/app"),
        ("SERVER_NAME", "[::1]"),
        ("SERVER_PORT", "81"),
        ("REMOTE_ADDR", "10.0.0.7"),
        ("HTTP_COOKIE", "a=1; b=2"),
    ] {
        assert_eq!(get(&all, name).as_deref(), Some(value), "{name}");
    }
    assert_eq!(get(&all, "CONTENT_LENGTH"), None);
    // A path that merely starts with the same characters does not belong to the application.
    let other = variables_of("/apple", "/app", &[]).unwrap();
    assert_eq!(
        (get(&other, "SCRIPT_NAME").unwrap(), get(&other, "PATH_INFO").unwrap()),
        (String::new(), "/apple".into())
    );
    assert_eq!(variables_of("/a%2Fb", "", &[]), Err(RequestError::Path));
    assert_eq!(variables_of("/a%00b", "", &[]), Err(RequestError::Path));
}

#[test]
fn variables_are_converted_to_a_request_or_rejected() {
    let plain = [
        ("REQUEST_METHOD", "GET"),
        ("SCRIPT_NAME", "/a b"),
        ("PATH_INFO", "/\u{e9}%"),
        ("QUERY_STRING", "x"),
    ];
    let read = parse_request(&to_pairs(&plain)).unwrap();
    assert_eq!(read.uri, "/a%20b/%C3%A9%25?x");
    assert_eq!(read.body_length, None);
    let with = |more: &[(&str, &str)]| {
        parse_request(&to_pairs(&[&[("REQUEST_METHOD", "POST"), ("REQUEST_URI", "/x")][..], more].concat()))
    };
    assert_eq!(with(&[("HTTP_PROXY", "evil"), ("HTTP_X_OWN", "1")]).unwrap().headers.len(), 1);
    assert_eq!(with(&[("SERVER_NAME", "a.org"), ("SERVER_PORT", "81")]).unwrap().headers["host"], "a.org:81");
    assert_eq!(with(&[("CONTENT_LENGTH", "")]).unwrap().body_length, None);
    for bad in ["-1", "+1", "1 2", "x", "99999999999999999999999"] {
        assert_eq!(with(&[("CONTENT_LENGTH", bad)]), Err(VariablesError::Length), "{bad}");
    }
    assert_eq!(with(&[("REQUEST_URI", "/y")]), Err(VariablesError::Repeated));
    assert_eq!(parse_request(&to_pairs(&[("REQUEST_URI", "/")])), Err(VariablesError::Method));
    assert_eq!(
        parse_request(&to_pairs(&[("REQUEST_METHOD", "G T"), ("REQUEST_URI", "/")])),
        Err(VariablesError::Method)
    );
    assert_eq!(parse_request(&to_pairs(&[("REQUEST_METHOD", "GET")])), Err(VariablesError::Target));
    assert_eq!(
        parse_request(&to_pairs(&[("REQUEST_METHOD", "GET"), ("REQUEST_URI", "x y")])),
        Err(VariablesError::Target)
    );
    let absolute =
        parse_request(&to_pairs(&[("REQUEST_METHOD", "GET"), ("REQUEST_URI", "http://a.org/x?y")])).unwrap();
    assert_eq!(absolute.uri, "/x?y");
}

#[test]
fn response_heads_need_a_valid_status_and_stay_within_limits() {
    let read = |text: &str| {
        let mut reader = HeadReader::default();
        // Fed byte by byte, so that the head spans more than ten records.
        let parts: Vec<_> = text.as_bytes().chunks(1).collect();
        for (index, part) in parts.iter().enumerate() {
            match reader.feed(part) {
                Ok(None) => {}
                Ok(Some((head, rest))) => return Ok((head, rest.len() + parts.len() - index - 1)),
                Err(error) => return Err(error),
            }
        }
        panic!("the head has no end: {text:?}")
    };
    let status = |text: &str| read(text).map(|(head, _)| head.status.as_u16());
    assert_eq!(status("Content-Type: text/plain\r\n\r\n"), Ok(200));
    assert_eq!(status("Content-Type: text/plain\n\nbody"), Ok(200));
    assert_eq!(status("Status: 404 Not Found\r\n\r\n"), Ok(404));
    assert_eq!(status("Status: 299\n\n"), Ok(299));
    assert_eq!(status("Location: http://a.org/\n\n"), Ok(302));
    assert_eq!(status("Location: /local?x\n\n"), Ok(302));
    assert_eq!(status("Status: 307 x\nLocation: /\n\n"), Ok(307));
    assert_eq!(read("Content-Type: a\r\nX: b\r\n\r\nbody").unwrap().1, 4);
    assert_eq!(read("Content-Type: a\r\nX: b\r\n\r\n").unwrap().0.headers["x"], "b");
    for bad in [
        "Status: x\n\n",
        "Status: 100 Continue\n\n",
        "Status: 2000\n\n",
        "Status: 200\nStatus: 200\n\n",
        "Status: \n\n",
    ] {
        assert_eq!(status(bad), Err(ResponseHeadError::Status), "{bad}");
    }
    assert_eq!(status("X-Other: 1\n\n"), Err(ResponseHeadError::NoStatus));
    assert_eq!(status("\r\n"), Err(ResponseHeadError::NoStatus));
    assert_eq!(status("no field\n\n"), Err(ResponseHeadError::Field));
    assert_eq!(status("a b: c\n\n"), Err(ResponseHeadError::Field));
    let fields: String = (0..=MAX_HEAD_FIELDS).map(|n| format!("X-{n}: 1\n")).collect();
    assert_eq!(status(&(fields + "\n")), Err(ResponseHeadError::TooManyFields));
    let mut endless = HeadReader::default();
    let error = (0..1_000).find_map(|_| endless.feed(b"X-More: and more and more and more and more\n").err());
    assert_eq!(error, Some(ResponseHeadError::HeadTooLong));
}

#[test]
fn written_response_head_is_decoded_unchanged() {
    let mut headers = HeaderMap::new();
    headers.append("content-type", "text/plain".parse().unwrap());
    headers.append("set-cookie", "a=1".parse().unwrap());
    headers.append("set-cookie", "b=2".parse().unwrap());
    for status in [StatusCode::OK, StatusCode::NO_CONTENT, StatusCode::from_u16(299).unwrap()] {
        let mut out = bytes::BytesMut::new();
        put_head(&mut out, status, &headers);
        out.extend_from_slice(b"body");
        let (head, rest) = HeadReader::default().feed(&out).unwrap().unwrap();
        assert_eq!((head.status, &head.headers, &rest[..]), (status, &headers, &b"body"[..]));
    }
}
