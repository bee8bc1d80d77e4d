//! Traffic recordings of a running node, which the load generator replays.

use std::fs;

use pumicehead_load_generator::trace::{Replay, parse};
use pumicehead_testbed::program::{StandaloneNode, temporary};
use pumicehead_testbed::scripted::{Backend, Client, ok};

#[test]
fn recorded_traffic_can_be_replayed() {
    let server = Backend::start(|_| ok("served"));
    let (config, record) = (temporary(".conf"), temporary(".jsonl"));
    let text = format!(
        "listener public {{ address 127.0.0.1:0 }}\npool boards {{ server s0 {{ address {} }} }}\n\
         class read {{ aim 5s; deadline 20s; repeats safe }}\nclass submit {{ aim 5s; deadline 20s; repeats unsafe }}\n\
         route submit {{ path /runs/**; method POST; class submit; pool boards }}\n\
         route read {{ path /boards/**; class read; pool boards }}\n",
        server.address
    );
    fs::write(&config, text).unwrap();
    let path = record.to_str().unwrap();
    let mut node = StandaloneNode::start_with(&config, 1, None, &["--record", path]);
    let mut client = Client::connect(node.address());
    for (request, status) in [
        ("GET /boards/any?page=2 HTTP/1.1\r\nHost: a\r\n\r\n", 200),
        ("POST /runs/7 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc", 200),
        // A request that the node rejects is recorded as well, so that a replay sends it again.
        ("GET /nowhere HTTP/1.1\r\nHost: a\r\n\r\n", 404),
    ] {
        client.write(request);
        assert_eq!(client.read().unwrap().status(), status, "{request}");
    }
    node.signal("TERM");
    assert_eq!(node.wait().code(), Some(0));
    assert_eq!(node.count_log_lines("traffic recording ended requests=3 dropped=0"), 1);
    let text = fs::read_to_string(&record).unwrap();
    let replayed = parse(&text, Replay { speed: 1.0, copies: 1, allow_gaps: false }).unwrap();
    let requests: Vec<_> =
        replayed.iter().map(|entry| (entry.method.as_str(), entry.path.as_str(), entry.body)).collect();
    assert_eq!(requests, [("GET", "/boards/any?page=2", 0), ("POST", "/runs/7", 3), ("GET", "/nowhere", 0)]);
    assert!(replayed.is_sorted_by_key(|entry| entry.at));
    // A second recording must not overwrite the first.
    let second = std::process::Command::new(pumicehead_testbed::program::built("pumicehead").unwrap())
        .args(["run", config.to_str().unwrap(), "--record", path])
        .output()
        .unwrap();
    assert_eq!(second.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&second.stderr).contains("can't record to "));
    fs::remove_file(config).unwrap();
    fs::remove_file(record).unwrap();
}
