//! Properties for arbitrary bytes: events don't depend on how the input is split, nothing panics, and buffers stay
//! within their limits.

use bytes::{Bytes, BytesMut};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use pumicehead_fastcgi::cgi::{GatewayContext, HeadReader, parse_request, variables};
use pumicehead_fastcgi::client::{self, Client};
use pumicehead_fastcgi::pairs::{self, PairDecoder};
use pumicehead_fastcgi::record::{Begin, Kind, Record, RecordDecoder, Role, put_record};
use pumicehead_fastcgi::server::{Event, Limits, Server, ServerError};

const LIMITS: Limits = Limits {
    max_connections: 10,
    max_requests: 4,
    max_params_bytes: 2_048,
    max_params: 64,
    max_body_bytes: 1_024,
    max_incoming_bytes: 4_096,
    max_response_bytes: 8_192,
};

fn records() -> impl Strategy<Value = Vec<(u8, u16, Vec<u8>)>> {
    let kind = prop_oneof![8 => 1u8..12, 1 => any::<u8>()];
    let content = prop_oneof![
        2 => Just(vec![]),
        2 => Just(vec![0, 1, 1, 0, 0, 0, 0, 0]),
        1 => Just(b"\x04\x03NAMEval".to_vec()),
        2 => prop::collection::vec(any::<u8>(), 0..60),
    ];
    prop::collection::vec((kind, 0u16..4, content), 0..40)
}

fn wire(records: &[(u8, u16, Vec<u8>)]) -> Vec<u8> {
    let mut out = BytesMut::new();
    records.iter().for_each(|(kind, id, content)| put_record(&mut out, Kind::from_code(*kind), *id, content));
    out.to_vec()
}

/// Splits bytes at generated positions.
fn split<'a>(bytes: &'a [u8], cuts: &[prop::sample::Index]) -> Vec<&'a [u8]> {
    let mut positions: Vec<_> = cuts.iter().map(|cut| cut.index(bytes.len() + 1)).collect();
    positions.push(bytes.len());
    positions.sort_unstable();
    let mut start = 0;
    positions.into_iter().map(|end| &bytes[std::mem::replace(&mut start, end)..end]).collect()
}

fn receive_as_server(parts: &[&[u8]]) -> (Vec<Event>, Option<ServerError>, Vec<u8>) {
    let mut server = Server::new(LIMITS);
    let mut events = Vec::new();
    let error = parts.iter().find_map(|part| server.receive(part, &mut events).err());
    let max = LIMITS.max_requests * (LIMITS.max_params_bytes + LIMITS.max_body_bytes)
        + LIMITS.max_params_bytes
        + 65_536;
    assert!(server.buffered_bytes() <= max, "{}", server.buffered_bytes());
    let mut out = BytesMut::new();
    server.output(&mut out, usize::MAX);
    (events, error, out.to_vec())
}

fn receive_as_client(parts: &[&[u8]]) -> (Vec<client::Event>, bool) {
    let mut client = Client::default();
    let mut out = BytesMut::new();
    for _ in 0..3 {
        client.begin(&mut out, true).unwrap();
    }
    let mut events = Vec::new();
    let failed = parts.iter().any(|part| client.receive(part, &mut events).is_err());
    (events, failed)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1_500, rng_seed: RngSeed::Fixed(5), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn events_do_not_depend_on_how_input_is_split(
        records in records(),
        cuts in prop::collection::vec(any::<prop::sample::Index>(), 0..20),
    ) {
        let bytes = wire(&records);
        let parts = split(&bytes, &cuts);
        prop_assert_eq!(receive_as_server(&parts), receive_as_server(&[&bytes]));
        prop_assert_eq!(receive_as_client(&parts), receive_as_client(&[&bytes]));
        let single: Vec<_> = bytes.chunks(1).collect();
        prop_assert_eq!(receive_as_server(&single), receive_as_server(&[&bytes]));
        prop_assert_eq!(receive_as_client(&single), receive_as_client(&[&bytes]));
    }

    #[test]
    fn arbitrary_bytes_neither_panic_nor_exceed_limits(mut bytes in prop::collection::vec(any::<u8>(), 0..3_000), version in any::<bool>()) {
        if version && !bytes.is_empty() {
            bytes[0] = 1;
        }
        receive_as_server(&[&bytes]);
        receive_as_client(&[&bytes]);
        let mut reader = HeadReader::default();
        let _ = reader.feed(&bytes);
        let mut list = PairDecoder::new(500, 20);
        if list.feed(&bytes).is_ok() && let Ok(list) = list.finish() {
            let _ = parse_request(&list);
        }
    }

    #[test]
    fn written_records_are_decoded_unchanged(records in records()) {
        let bytes = wire(&records);
        let mut decoder = RecordDecoder::default();
        let mut input = &bytes[..];
        for (kind, id, content) in records {
            let expected = Record { kind: Kind::from_code(kind), id, content: Bytes::from(content) };
            prop_assert_eq!(decoder.next(&mut input).unwrap(), Some(expected));
            prop_assert_eq!(Kind::from_code(kind).code(), kind);
        }
        prop_assert!(input.is_empty() && decoder.is_at_record_boundary());
    }

    #[test]
    fn request_and_response_pass_through_client_and_server(
        list in prop::collection::vec((prop::collection::vec(any::<u8>(), 0..150), prop::collection::vec(any::<u8>(), 0..150)), 0..6),
        body in prop::collection::vec(any::<u8>(), 0..1_000),
        size in 1usize..64,
    ) {
        let mut client = Client::default();
        let mut out = BytesMut::new();
        let id = client.begin(&mut out, true).unwrap();
        client.params(&mut out, id, list.iter().map(|(name, value)| (&name[..], &value[..])));
        client.stdin(&mut out, id, &body);
        client.stdin_end(&mut out, id);
        let mut server = Server::new(LIMITS);
        let mut events = Vec::new();
        out.chunks(size).for_each(|part| server.receive(part, &mut events).unwrap());
        let params: Vec<_> = list.iter().map(|(name, value)| (Bytes::from(name.clone()), Bytes::from(value.clone()))).collect();
        let complete = Event::Request { id: 1, params, body: Bytes::from(body.clone()) };
        prop_assert_eq!(events, vec![Event::Started(1), complete]);
        server.end(1, [Bytes::from(body.clone())], 0);
        let mut back = BytesMut::new();
        server.output(&mut back, usize::MAX);
        let mut events = Vec::new();
        back.chunks(size).for_each(|part| client.receive(part, &mut events).unwrap());
        let text: Vec<u8> = events.iter().flat_map(|event| match event {
            client::Event::Stdout(_, part) => part.to_vec(),
            _ => Vec::new(),
        }).collect();
        prop_assert_eq!(text, body);
        prop_assert_eq!(client.open(), 0);
    }

    /// The decoded pairs don't depend on how the stream is split into records.
    #[test]
    fn pairs_may_span_several_records(
        list in prop::collection::vec((prop::collection::vec(any::<u8>(), 0..200), prop::collection::vec(any::<u8>(), 0..200)), 0..8),
        size in 1usize..50,
    ) {
        let mut out = BytesMut::new();
        list.iter().for_each(|(name, value)| pairs::put_pair(&mut out, name, value));
        let mut reader = PairDecoder::new(10_000, 100);
        out.chunks(size).for_each(|part| reader.feed(part).unwrap());
        let read: Vec<_> = reader.finish().unwrap().into_iter().map(|(n, v)| (n.to_vec(), v.to_vec())).collect();
        prop_assert_eq!(read, list);
    }

    /// A request that is converted to variables and back stays the same, without `Proxy` and fields with `_`.
    #[test]
    fn request_is_unchanged_by_conversion_to_variables_and_back(
        path in "(/[a-z0-9.~!$&'()*+,;=:@_-]{0,6}(%[2-7][1-9A-E])?){1,4}",
        query in prop::option::of("[a-z0-9=&%]{0,10}"),
        value in "[ -~]{1,20}",
        document_root in prop::sample::select(vec!["", "/srv"]),
    ) {
        prop_assume!(!path.to_uppercase().contains("%2F"));
        let target = query.map_or(path.clone(), |query| format!("{path}?{query}"));
        let Ok(uri) = target.parse::<http::Uri>() else { return Ok(()) };
        let method = http::Method::POST;
        let mut headers = http::HeaderMap::new();
        for (name, text) in [("host", "a.org:81"), ("x-own", value.trim()), ("content-type", "text/plain"), ("proxy", "evil"), ("x_y", "spoof")] {
            headers.insert(name, text.parse().unwrap());
        }
        let client_address = "10.0.0.7".parse().ok();
        let list = variables(&method, &uri, &headers, GatewayContext { client_address, script_name: "", document_root, body_length: 3 }).unwrap();
        prop_assert!(list.iter().all(|(name, _)| name != "HTTP_PROXY" && name != "HTTP_X_Y"));
        let list: Vec<_> = list.into_iter().map(|(n, v)| (Bytes::from(n.into_owned()), Bytes::from(v.into_owned()))).collect();
        let back = parse_request(&list).unwrap();
        headers.remove("proxy");
        headers.remove("x_y");
        prop_assert_eq!((back.method, back.uri, back.client_address, back.body_length), (method, uri, client_address, Some(3)));
        prop_assert_eq!(back.headers.len(), headers.len());
        prop_assert!(headers.iter().all(|(name, value)| back.headers.get(name) == Some(value)));
    }
}

#[test]
fn begin_request_content_is_decoded_unchanged() {
    for role in [Role::Responder, Role::Authorizer, Role::Filter, Role::Other(9)] {
        let begin = Begin { role, keep: true };
        assert_eq!(Begin::decode(&begin.encode()), Some(begin));
    }
}
