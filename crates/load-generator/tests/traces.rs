//! Parsing of valid and malformed traces.

use pumicehead_load_generator::SECOND;
use pumicehead_load_generator::mix::{Mix, Plan};
use pumicehead_load_generator::trace::{Entry, Format, Replay, TraceError, format_of, parse, write_csv};

const PLAIN: Replay = Replay { speed: 1.0, copies: 1, allow_gaps: false };

fn times(text: &str, replay: Replay) -> Vec<f64> {
    parse(text, replay).unwrap().iter().map(|entry| entry.at as f64 / SECOND as f64).collect()
}

const LOG: &str = r#"192.0.2.1 - frank [10/Oct/2000:13:55:36 -0700] "GET /boards/any HTTP/1.0" 200 2326
192.0.2.1 - - [10/Oct/2000:13:55:36 -0700] "POST /runs/7?x=1 HTTP/1.1" 201 12 "http://a.org/" "agent \"quoted\""
192.0.2.2 - - [10/Oct/2000:13:55:38 -0700] "GET /b HTTP/1.1" 304 -
"#;

#[test]
fn access_logs_are_parsed_and_spread_within_seconds() {
    let list = parse(LOG, PLAIN).unwrap();
    assert_eq!(times(LOG, PLAIN), [0.0, 0.5, 2.0]);
    assert_eq!((list[1].method.as_str(), list[1].path.as_str()), ("POST", "/runs/7?x=1"));
    // Time zones and leap days.
    let line = |time: &str| format!("h - - [{time}] \"GET / HTTP/1.1\" 200 1\n");
    let across = line("29/Feb/2024:23:59:59 +0000") + &line("01/Mar/2024:01:00:00 +0100");
    assert_eq!(times(&across, PLAIN), [0.0, 1.0]);
}

#[test]
fn csv_and_json_traces_are_parsed_and_csv_is_written() {
    let csv = "at,method,path,body\n0.0,GET,/a,0\n\n0.25,POST,/b,120\n";
    let json = "{\"at\":5.0,\"method\":\"GET\",\"path\":\"/a\"}\n{\"at\":5.25,\"method\":\"POST\",\"path\":\"/b\",\"body\":120}\n";
    assert_eq!((format_of(csv), format_of(json), format_of(LOG)), (Format::Csv, Format::Json, Format::Log));
    let list = parse(csv, PLAIN).unwrap();
    assert_eq!(parse(json, PLAIN).unwrap(), list);
    assert_eq!(list[1], Entry { at: SECOND / 4, method: "POST".into(), path: "/b".into(), body: 120 });
    assert_eq!(parse(&write_csv(&list), PLAIN).unwrap(), list);
    let log = parse(LOG, PLAIN).unwrap();
    assert_eq!(parse(&write_csv(&log), PLAIN).unwrap(), log);
}

#[test]
fn replay_applies_speed_copies_and_gaps() {
    let csv = "0,GET,/a,0\n1,GET,/b,0\n4,GET,/c,0\n";
    assert_eq!(times(csv, Replay { speed: 2.0, ..PLAIN }), [0.0, 0.5, 2.0]);
    assert_eq!(times(csv, Replay { speed: 0.5, ..PLAIN }), [0.0, 2.0, 8.0]);
    assert_eq!(times(csv, Replay { copies: 2, ..PLAIN }), [0.0, 0.5, 1.0, 2.5, 4.0, 4.0]);
    let day = "0,GET,/a,0\n100000,GET,/b,0\n";
    assert_eq!(parse(day, PLAIN), Err(TraceError::Gap { line: 2, gap: 100_000 }));
    assert_eq!(times(day, Replay { allow_gaps: true, ..PLAIN }), [0.0, 100_000.0]);
    // Logs are slightly out of order, because they are written when requests end.
    assert_eq!(times("10,GET,/a,0\n5,GET,/b,0\n", PLAIN), [0.0, 5.0]);
    assert_eq!(parse("100,GET,/a,0\n5,GET,/b,0\n", PLAIN), Err(TraceError::Backwards { line: 2, back: 95 }));
    for replay in
        [Replay { speed: 0.0, ..PLAIN }, Replay { speed: f64::NAN, ..PLAIN }, Replay { copies: 0, ..PLAIN }]
    {
        assert_eq!(parse(csv, replay), Err(TraceError::InvalidReplay));
    }
}

#[test]
fn replayed_requests_are_assigned_to_classes() {
    let entries = parse("0,GET,/boards/x,0\n0,POST,/runs/x,9\n1,PUT,/other,0\n", PLAIN).unwrap();
    let plan: Vec<_> = Plan::recorded(entries, Mix::default()).collect();
    let seen: Vec<_> =
        plan.iter().map(|request| (request.class, request.method.as_deref(), request.body)).collect();
    assert_eq!(seen, [(0, Some("GET"), 0), (1, Some("POST"), 9), (0, Some("PUT"), 0)]);
}

#[test]
fn malformed_traces_are_rejected_with_line_and_reason() {
    let log = |time: &str, request: &str| format!("{LOG}h - - [{time}] {request} 200 1\n");
    let valid = "10/Oct/2000:13:55:39 -0700";
    let cases = [
        (String::new(), "trace contains no requests"),
        ("\n\n".into(), "trace contains no requests"),
        ("nonsense\n".into(), "line 1: not `at,method,path,body`"),
        ("0,GET,/a\n".into(), "line 1: not `at,method,path,body`"),
        ("x,GET,/a,0\n".into(), "line 1: invalid time"),
        ("NaN,GET,/a,0\n".into(), "line 1: invalid time"),
        ("1e300,GET,/a,0\n".into(), "line 1: invalid time"),
        ("0,GET,/a,x\n".into(), "line 1: body is not a number of bytes"),
        ("0,GET,/a,-1\n".into(), "line 1: body is not a number of bytes"),
        ("0,G T,/a,0\n".into(), "line 1: invalid method"),
        ("0,,/a,0\n".into(), "line 1: invalid method"),
        ("0,GET,a,0\n".into(), "line 1: invalid path"),
        ("0,GET,/a b,0\n".into(), "line 1: invalid path"),
        ("{\"at\":0}\n".into(), "line 1: not a JSON object with at, method, path and body"),
        (
            "{\"at\":0,\"method\":\"GET\",\"path\":\"/\",\"odd\":1}\n".into(),
            "line 1: not a JSON object with at, method, path and body",
        ),
        (
            "{\"at\":0,\"method\":\"GET\",\"path\":\"/\"}\n{\n".into(),
            "line 2: not a JSON object with at, method, path and body",
        ),
        (log("10/Okt/2000:13:55:36 -0700", "\"GET / HTTP/1.1\""), "line 4: invalid time"),
        (log("32/Oct/2000:13:55:36 -0700", "\"GET / HTTP/1.1\""), "line 4: invalid time"),
        (log("10/Oct/2000:25:55:36 -0700", "\"GET / HTTP/1.1\""), "line 4: invalid time"),
        (log("10/Oct/2000:13:55:36", "\"GET / HTTP/1.1\""), "line 4: invalid time"),
        (log("10/Oct/2000:13:55:36 \u{e9}700", "\"GET / HTTP/1.1\""), "line 4: invalid time"),
        (log(valid, "GET / HTTP/1.1"), "line 4: no request in quotes"),
        (log(valid, "\"GET /\""), "line 4: request is not `METHOD path HTTP/x`"),
        (log(valid, "\"GET / x HTTP/1.1\""), "line 4: request is not `METHOD path HTTP/x`"),
        (log(valid, "\"\\x16\\x03\""), "line 4: request is not `METHOD path HTTP/x`"),
        (log(valid, "\"GET http HTTP/1.1\""), "line 4: invalid path"),
        (
            log("10/Oct/1999:13:55:36 -0700", "\"GET / HTTP/1.1\""),
            "line 4: time is 31622402 s before the latest earlier line",
        ),
        (
            log("11/Oct/2000:13:55:38 -0700", "\"GET / HTTP/1.1\""),
            "line 4: time is 86400 s after the latest earlier line",
        ),
        (format!("0,GET,/{},0\n", "x".repeat(70_000)), "line 1: longer than 64 KiB"),
    ];
    for (text, expected) in cases {
        let error = parse(&text, PLAIN).unwrap_err().to_string();
        let shown: String = text.chars().rev().take(80).collect::<Vec<_>>().into_iter().rev().collect();
        assert!(error.starts_with(expected), "{shown:?}: {error}");
    }
}
