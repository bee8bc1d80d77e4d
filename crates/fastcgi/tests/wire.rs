//! Records written out by hand as the FastCGI specification shows them, and protocol violations of both sides.

use bytes::{Bytes, BytesMut};
use pumicehead_fastcgi::client::{self, Client, ClientError, Values};
use pumicehead_fastcgi::pairs::{PairDecoder, PairsError};
use pumicehead_fastcgi::record::{End, Kind, ProtocolStatus, RecordDecoder, RecordError};
use pumicehead_fastcgi::server::{BadRequest, Event, Limits, Server, ServerError};

const LIMITS: Limits = Limits {
    max_connections: 10,
    max_requests: 4,
    max_params_bytes: 4_096,
    max_params: 64,
    max_body_bytes: 1_024,
    max_incoming_bytes: 8_192,
    max_response_bytes: 65_536,
};

/// Section 3.3: version, type, id (two bytes, high first), content length, padding length, reserved.
fn record(kind: u8, id: u16, content: &[u8], padding: u8) -> Vec<u8> {
    let mut bytes = vec![1, kind];
    bytes.extend(id.to_be_bytes());
    bytes.extend((content.len() as u16).to_be_bytes());
    bytes.extend([padding, 0]);
    bytes.extend(content);
    bytes.extend(std::iter::repeat_n(0xee, padding.into()));
    bytes
}

fn concat(records: &[Vec<u8>]) -> Vec<u8> {
    records.concat()
}

const BEGIN: u8 = 1;
const ABORT: u8 = 2;
const END: u8 = 3;
const PARAMS: u8 = 4;
const STDIN: u8 = 5;
const STDOUT: u8 = 6;
const STDERR: u8 = 7;
const DATA: u8 = 8;
const GET_VALUES: u8 = 9;
const GET_VALUES_RESULT: u8 = 10;
const UNKNOWN_TYPE: u8 = 11;

/// Section 5.1: role (two bytes), flags, five reserved.
fn begin(id: u16, role: u8, keep: u8) -> Vec<u8> {
    record(BEGIN, id, &[0, role, keep, 0, 0, 0, 0, 0], 0)
}

/// A request to a responder with one variable and a body, in records like those of appendix B of the specification.
fn request(id: u16, keep: u8, body: &[u8]) -> Vec<u8> {
    let mut records =
        vec![begin(id, 1, keep), record(PARAMS, id, b"\x0b\x0dSERVER_PORT80SERVER_ADDR1", 0).split_off(0)];
    records[1] = record(PARAMS, id, b"\x0b\x02SERVER_PORT80", 5);
    records.push(record(PARAMS, id, b"", 0));
    if !body.is_empty() {
        records.push(record(STDIN, id, body, 1));
    }
    records.push(record(STDIN, id, b"", 0));
    concat(&records)
}

fn serve(server: &mut Server, bytes: &[u8]) -> Result<Vec<Event>, ServerError> {
    let mut events = Vec::new();
    server.receive(bytes, &mut events).map(|()| events)
}

fn output(server: &mut Server) -> Vec<u8> {
    let mut out = BytesMut::new();
    server.output(&mut out, usize::MAX);
    out.to_vec()
}

fn pair(name: &str, value: &str) -> (Bytes, Bytes) {
    (Bytes::copy_from_slice(name.as_bytes()), Bytes::copy_from_slice(value.as_bytes()))
}

#[test]
fn request_is_decoded_and_answered() {
    let mut server = Server::new(LIMITS);
    let events = serve(&mut server, &request(1, 0, b"time=1:02")).unwrap();
    let complete = Event::Request {
        id: 1,
        params: vec![pair("SERVER_PORT", "80")],
        body: Bytes::from_static(b"time=1:02"),
    };
    assert_eq!(events, [Event::Started(1), complete]);
    server.end(1, [Bytes::from_static(b"Content-Type: text/html\r\n\r\n<html>\n<head> ...")], 0);
    let expected = concat(&[
        record(STDOUT, 1, b"Content-Type: text/html\r\n\r\n<html>\n<head> ...", 4),
        record(STDOUT, 1, b"", 0),
        record(END, 1, &[0, 0, 0, 0, 0, 0, 0, 0], 0),
    ]);
    let padded: Vec<_> = output(&mut server).iter().map(|&b| if b == 0xee { 0 } else { b }).collect();
    assert_eq!(padded, expected.iter().map(|&b| if b == 0xee { 0 } else { b }).collect::<Vec<_>>());
    assert!(server.should_close());
}

#[test]
fn client_writes_requests_and_queries_as_specified() {
    let mut client = Client::default();
    let mut out = BytesMut::new();
    let id = client.begin(&mut out, true).unwrap();
    let long = [b'v'; 128];
    client.params(&mut out, id, [(&b"SERVER_PORT"[..], &b"80"[..]), (b"X", &long)]);
    client.stdin(&mut out, id, b"body");
    client.stdin_end(&mut out, id);
    let mut params = b"\x0b\x02SERVER_PORT80\x01\x80\x00\x00\x80X".to_vec();
    params.extend(long);
    let padding = (params.len().wrapping_neg() % 8) as u8;
    let mut expected = concat(&[
        begin(1, 1, 1),
        record(PARAMS, 1, &params, padding),
        record(PARAMS, 1, b"", 0),
        record(STDIN, 1, b"body", 4),
        record(STDIN, 1, b"", 0),
    ]);
    expected.iter_mut().filter(|b| **b == 0xee).for_each(|b| *b = 0);
    assert_eq!(out.to_vec(), expected);
    let mut out = BytesMut::new();
    client.get_values(&mut out);
    let mut query =
        record(GET_VALUES, 0, b"\x0e\x00FCGI_MAX_CONNS\x0d\x00FCGI_MAX_REQS\x0f\x00FCGI_MPXS_CONNS", 0);
    query[6] = (query.len() - 8).wrapping_neg() as u8 % 8;
    query.extend(vec![0; usize::from(query[6])]);
    assert_eq!(out.to_vec(), query);
}

#[test]
fn response_in_parts_is_separated_from_error_output() {
    let mut client = Client::default();
    let id = client.begin(&mut BytesMut::new(), true).unwrap();
    let mut events = Vec::new();
    let bytes = concat(&[
        record(STDERR, 1, b"config error: missing SI_UID\n", 7),
        record(STDOUT, 1, b"Content-Type: text/html\r\n", 0),
        record(STDOUT, 1, b"\r\nhello", 255),
        record(STDERR, 1, b"", 0),
        record(STDOUT, 1, b"", 0),
        record(END, 1, &[0, 0, 3, 0xab, 0, 0, 0, 0], 0),
    ]);
    client.receive(&bytes, &mut events).unwrap();
    let end = End { application: 939, protocol: ProtocolStatus::Complete };
    assert_eq!(
        events,
        [
            client::Event::Stderr(id, Bytes::from_static(b"config error: missing SI_UID\n")),
            client::Event::Stdout(id, Bytes::from_static(b"Content-Type: text/html\r\n")),
            client::Event::Stdout(id, Bytes::from_static(b"\r\nhello")),
            client::Event::StdoutEnd(id),
            client::Event::Ended(id, end),
        ]
    );
    assert_eq!(client.open(), 0);
}

#[test]
fn protocol_violations_by_an_application_are_permanent_errors() {
    let violation = |bytes: &[u8]| {
        let mut client = Client::default();
        client.begin(&mut BytesMut::new(), true).unwrap();
        let error = client.receive(bytes, &mut Vec::new()).unwrap_err();
        // Valid records afterwards return the same error.
        assert_eq!(client.receive(&record(STDERR, 1, b"x", 0), &mut Vec::new()), Err(error));
        error
    };
    let end = record(END, 1, &[0; 8], 0);
    let stdout = record(STDOUT, 1, b"x", 0);
    assert_eq!(violation(&concat(&[end.clone(), stdout])), ClientError::NotOpen { kind: STDOUT, id: 1 });
    assert_eq!(violation(&record(END, 2, &[0; 8], 0)), ClientError::NotOpen { kind: END, id: 2 });
    assert_eq!(violation(&concat(&[end.clone(), end])), ClientError::NotOpen { kind: END, id: 1 });
    assert_eq!(violation(&record(END, 1, &[0; 7], 0)), ClientError::EndTooShort(7));
    assert_eq!(violation(&record(STDOUT, 0, b"x", 0)), ClientError::Unexpected(STDOUT));
    assert_eq!(violation(&record(BEGIN, 1, &[0; 8], 0)), ClientError::Unexpected(BEGIN));
    assert_eq!(violation(&record(99, 1, b"", 0)), ClientError::Unexpected(99));
    assert_eq!(violation(&[2, 6, 0, 1]), ClientError::Record(RecordError::UnsupportedVersion(2)));
    assert_eq!(violation(b"HTTP/1.1 200 OK\r\n"), ClientError::Record(RecordError::UnsupportedVersion(b'H')));
    let twice = concat(&[record(STDOUT, 1, b"", 0), record(STDOUT, 1, b"more", 0)]);
    assert_eq!(violation(&twice), ClientError::AfterStreamEnd(1));
}

#[test]
fn aborted_request_has_no_events_until_its_end() {
    let mut client = Client::default();
    let mut out = BytesMut::new();
    let id = client.begin(&mut BytesMut::new(), true).unwrap();
    client.abort(&mut out, id);
    client.abort(&mut out, id);
    assert_eq!(out.to_vec(), record(ABORT, 1, b"", 0));
    let mut events = Vec::new();
    client
        .receive(&concat(&[record(STDOUT, 1, b"late", 0), record(STDERR, 1, b"x", 0)]), &mut events)
        .unwrap();
    assert_eq!((events.len(), client.open()), (0, 1));
    client.receive(&record(END, 1, &[0; 8], 0), &mut events).unwrap();
    assert!(matches!(events[..], [client::Event::Ended(..)]) && client.open() == 0);
    // An id is reused only after all others.
    assert_eq!(client.begin(&mut out, true).unwrap().number(), 2);
}

#[test]
fn invalid_values_of_an_application_are_ignored() {
    let values = |content: &[u8]| {
        let mut events = Vec::new();
        Client::default().receive(&record(GET_VALUES_RESULT, 0, content, 0), &mut events).unwrap();
        match events[..] {
            [client::Event::Values(received)] => received,
            ref other => panic!("{other:?}"),
        }
    };
    assert_eq!(
        values(b"\x0e\x01FCGI_MAX_CONNS1\x0d\x03FCGI_MAX_REQS100\x0f\x01FCGI_MPXS_CONNS1"),
        Values { connections: Some(1), requests: Some(100), multiplexes: Some(true) }
    );
    assert_eq!(values(b"\x0f\x01FCGI_MPXS_CONNS0").multiplexes, Some(false));
    assert_eq!(values(b"\x0d\x01FCGI_MAX_REQS0"), Values::default());
    assert_eq!(values(b"\x0d\x03FCGI_MAX_REQSabc"), Values::default());
    assert_eq!(values(b""), Values::default());
    assert_eq!(values(b"\xff\xff\xff\xff"), Values::default());
    let mut events = Vec::new();
    Client::default().receive(&record(UNKNOWN_TYPE, 0, &[9, 0, 0, 0, 0, 0, 0, 0], 0), &mut events).unwrap();
    assert_eq!(events, [client::Event::Values(Values::default())]);
}

#[test]
fn management_records_are_answered() {
    let mut server = Server::new(LIMITS);
    let query = record(GET_VALUES, 0, b"\x0f\x00FCGI_MPXS_CONNS\x05\x00OTHER\x0e\x00FCGI_MAX_CONNS", 0);
    assert_eq!(serve(&mut server, &query).unwrap(), []);
    let mut expected = record(GET_VALUES_RESULT, 0, b"\x0e\x02FCGI_MAX_CONNS10\x0f\x01FCGI_MPXS_CONNS1", 4);
    expected.iter_mut().filter(|b| **b == 0xee).for_each(|b| *b = 0);
    assert_eq!(output(&mut server), expected);
    serve(&mut server, &record(77, 0, b"odd", 2)).unwrap();
    assert_eq!(output(&mut server), record(UNKNOWN_TYPE, 0, &[77, 0, 0, 0, 0, 0, 0, 0], 0));
    // Unread replies must not accumulate without limit.
    let many = record(77, 0, b"", 0).repeat(1_000);
    assert_eq!(serve(&mut server, &many), Err(ServerError::TooManyReplies));
}

#[test]
fn unsupported_roles_and_excess_requests_are_rejected() {
    let mut server = Server::new(LIMITS);
    let end = |id, status| record(END, id, &[0, 0, 0, 0, status, 0, 0, 0], 0);
    for role in [2, 3, 9] {
        assert_eq!(serve(&mut server, &begin(7, role, 1)).unwrap(), []);
        assert_eq!(output(&mut server), end(7, 3));
    }
    for id in 1..=4 {
        assert_eq!(serve(&mut server, &begin(id, 1, 1)).unwrap(), [Event::Started(id)]);
    }
    // The remaining records of a rejected request are ignored.
    assert_eq!(serve(&mut server, &request(5, 1, b"x")).unwrap(), []);
    assert_eq!(output(&mut server), end(5, 2));
    assert_eq!(serve(&mut server, &begin(4, 1, 1)), Err(ServerError::InvalidRequestId(4)));
    assert_eq!(serve(&mut Server::new(LIMITS), &begin(0, 1, 1)), Err(ServerError::InvalidRequestId(0)));
    assert_eq!(
        serve(&mut Server::new(LIMITS), &record(BEGIN, 1, &[0, 1], 0)),
        Err(ServerError::BeginTooShort(2))
    );
    assert_eq!(
        serve(&mut Server::new(LIMITS), b"GET / HTTP/1.1\r\n"),
        Err(ServerError::Record(RecordError::UnsupportedVersion(b'G')))
    );
}

#[test]
fn records_after_a_stream_end_are_errors_and_unknown_requests_are_ignored() {
    let mut server = Server::new(LIMITS);
    let unknown = concat(&[
        record(STDIN, 9, b"x", 0),
        record(PARAMS, 9, b"x", 0),
        record(ABORT, 9, b"", 0),
        record(99, 9, b"", 0),
    ]);
    assert_eq!(serve(&mut server, &unknown).unwrap(), []);
    assert!(server.is_idle());
    let late = concat(&[request(1, 1, b""), record(STDIN, 1, b"more", 0)]);
    assert_eq!(serve(&mut server, &late), Err(ServerError::AfterStreamEnd { kind: STDIN, id: 1 }));
    let mut server = Server::new(LIMITS);
    let late = concat(&[begin(1, 1, 1), record(PARAMS, 1, b"", 0), record(PARAMS, 1, b"\x01\x01ab", 0)]);
    assert_eq!(serve(&mut server, &late), Err(ServerError::AfterStreamEnd { kind: PARAMS, id: 1 }));
    let mut server = Server::new(LIMITS);
    let early = concat(&[
        begin(1, 1, 1),
        record(STDIN, 1, b"early", 0),
        record(DATA, 1, b"x", 0),
        record(STDOUT, 1, b"x", 0),
    ]);
    assert_eq!(serve(&mut server, &early).unwrap(), [Event::Started(1)]);
    assert_eq!(server.open(), 1);
}

#[test]
fn limits_hold_for_any_stated_length() {
    let rejection = |records: &[Vec<u8>]| {
        let mut server = Server::new(LIMITS);
        let events = serve(&mut server, &concat(records)).unwrap();
        assert!(
            server.buffered_bytes() <= LIMITS.max_params_bytes + LIMITS.max_body_bytes,
            "{}",
            server.buffered_bytes()
        );
        match events[..] {
            [Event::Started(1), Event::Rejected(1, error)] => error,
            ref other => panic!("{other:?}"),
        }
    };
    // Eight bytes state two lengths of 2 GiB each.
    let huge = record(PARAMS, 1, b"\xff\xff\xff\xff\xff\xff\xff\xffX", 0);
    let stated = u64::from(u32::MAX >> 1) * 2;
    assert_eq!(
        rejection(&[begin(1, 1, 1), huge]),
        BadRequest::Params(PairsError::PairTooLong { stated, max: 4_096 })
    );
    let many = record(PARAMS, 1, &b"\x01\x00a".repeat(65), 0);
    assert_eq!(rejection(&[begin(1, 1, 1), many]), BadRequest::Params(PairsError::TooMany(64)));
    let long = record(PARAMS, 1, &[b"\x01\x80\x00\x0f\x00a".to_vec(), vec![b'x'; 5_000]].concat(), 0);
    assert_eq!(rejection(&[begin(1, 1, 1), long]), BadRequest::Params(PairsError::TooLong(4_096)));
    let cut = [begin(1, 1, 1), record(PARAMS, 1, b"\x05\x05ab", 0), record(PARAMS, 1, b"", 0)];
    assert_eq!(rejection(&cut), BadRequest::Params(PairsError::Truncated));
    let body = record(STDIN, 1, &[0; 1_000], 0);
    let all = [begin(1, 1, 1), record(PARAMS, 1, b"", 0), body.clone(), body.clone(), body];
    assert_eq!(rejection(&all), BadRequest::BodyTooLong(1_024));
}

#[test]
fn aborted_request_is_ended_without_output() {
    let mut server = Server::new(LIMITS);
    let events = serve(
        &mut server,
        &concat(&[request(1, 1, b""), record(ABORT, 1, b"", 0), record(ABORT, 1, b"", 0)]),
    )
    .unwrap();
    assert_eq!(events.iter().filter(|event| **event == Event::Aborted(1)).count(), 1);
    server.end(1, [Bytes::from_static(b"nobody reads this")], 0);
    assert_eq!(output(&mut server), concat(&[record(STDOUT, 1, b"", 0), record(END, 1, &[0; 8], 0)]));
    assert!(server.is_idle() && !server.should_close());
}

/// Guards against a long response that delays the others.
#[test]
fn responses_are_interleaved_by_record() {
    let mut server = Server::new(LIMITS);
    serve(&mut server, &concat(&[request(1, 1, b""), request(2, 1, b"")])).unwrap();
    server.end(1, [Bytes::from(vec![b'a'; 100_000])], 0);
    server.end(2, [Bytes::from_static(b"short")], 0);
    let mut out = BytesMut::new();
    server.output(&mut out, 40_000);
    let mut decoder = RecordDecoder::default();
    let mut input = &out[..];
    let mut order = Vec::new();
    while let Some(record) = decoder.next(&mut input).unwrap() {
        order.push((record.id, record.kind));
    }
    let second =
        order.iter().position(|seen| *seen == (2, Kind::EndRequest)).expect("the short response has no end");
    assert!(second <= 4, "{order:?}");
    assert!(server.has_output() && server.buffered_bytes() > 50_000);
}

#[test]
fn truncated_records_and_pairs_are_detected() {
    let complete = record(STDOUT, 1, b"abc", 5);
    for cut in 1..complete.len() {
        let mut decoder = RecordDecoder::default();
        assert_eq!(decoder.next(&mut &complete[..cut]), Ok(None), "{cut}");
        assert!(!decoder.is_at_record_boundary(), "{cut}");
        assert!(decoder.next(&mut &complete[cut..]).unwrap().is_some() && decoder.is_at_record_boundary());
    }
    let mut pairs = PairDecoder::new(100, 10);
    pairs.feed(b"\x80").unwrap();
    assert_eq!(pairs.finish(), Err(PairsError::Truncated));
}
