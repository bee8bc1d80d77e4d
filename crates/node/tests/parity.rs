//! The same scenarios over HTTP and FastCGI on either side of a node: the same final response, the same number of attempts and
//! of effects. A difference is reported with its scenario and pair of protocols.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use pumicehead_testbed::parity::{compare_all, node_config_text, protocol_pairs, script};
use pumicehead_testbed::program::{StandaloneNode, wait_for};
use pumicehead_testbed::scripted::refusing;
use pumicehead_testbed::scripted_backend::{Act, ProtocolClient, ScriptedBackends, served};

#[test]
fn all_protocol_pairs_have_the_same_results() {
    let results = compare_all();
    assert!(results.len() >= 35);
    let differences: Vec<_> = results.into_iter().flat_map(|scenario| scenario.differences).collect();
    assert!(differences.is_empty(), "{}", differences.join("\n"));
}

/// Guards that a client's disconnect cancels its attempt, and that the request is not retried.
#[test]
fn a_client_disconnect_cancels_the_attempt_over_each_protocol() {
    for (front, back) in protocol_pairs() {
        let boards = ScriptedBackends::new(script(vec![Act::Silent]));
        let servers = [boards.start(back), boards.start(back)];
        let node = StandaloneNode::start(
            &node_config_text(front, back, &servers, "").replace("deadline 1500ms", "deadline 1min"),
            1,
        );
        let mut client = ProtocolClient::connect(node.address(), front).unwrap();
        client.send("POST", "/runs/any", "X-Unit: 1\r\n", b"x").unwrap();
        wait_for("the attempt", || boards.seen().lines.len() == 1);
        drop(client);
        wait_for(&format!("the attempt to be cancelled, {front:?} to {back:?}"), || {
            boards.seen().dropped == 1
        });
        assert_eq!(boards.seen().attempts.get("1"), Some(&1));
    }
}

/// Guards the limit of requests that a node holds: a request beyond it is rejected at once, with `Retry-After`, and the one
/// that is held is served.
#[test]
fn requests_beyond_the_limit_are_rejected_over_each_protocol() {
    for (front, back) in protocol_pairs() {
        let boards = ScriptedBackends::new(script(vec![Act::Later(
            Duration::from_millis(400),
            Box::new(served("rank 1")),
        )]));
        let servers = [boards.start(back)];
        let node = StandaloneNode::start(&node_config_text(front, back, &servers, "limits { held 1 }\n"), 1);
        let mut first = ProtocolClient::connect(node.address(), front).unwrap();
        first.send("GET", "/boards/x", "X-Unit: 1\r\n", b"").unwrap();
        wait_for("the first request", || boards.seen().lines.len() == 1);
        let mut second = ProtocolClient::connect(node.address(), front).unwrap();
        let rejected = second.ask("GET", "/boards/x", "X-Unit: 2\r\n", b"");
        assert_eq!(
            (rejected.status, rejected.field("retry-after")),
            (503, Some("1")),
            "{front:?} to {back:?}"
        );
        assert_eq!(first.read("GET").status, 200);
        assert_eq!(boards.seen().lines.len(), 1);
    }
}

/// Guards drains and SIGTERM: requests at an endpoint that is removed are answered, and no new ones go there; after SIGTERM
/// requests in flight are answered and the exit code is 0.
#[test]
fn drains_and_sigterm_answer_requests_in_flight() {
    for (front, back) in protocol_pairs() {
        let pairing = format!("{front:?} to {back:?}");
        // Without this an endpoint that is new in the file is in slow start, and as the only one it would serve few requests at
        // first.
        let text = |server| {
            node_config_text(front, back, &[server], "")
                .replace("pool boards {", "pool boards { warm-up 0s from 100%\n")
        };
        let later =
            || vec![Act::Later(Duration::from_millis(600), Box::new(served("rank 1"))), served("rank 2")];
        let (removed, added) =
            (ScriptedBackends::new(script(later())), ScriptedBackends::new(script(vec![served("stays")])));
        let (first, second) = (removed.start(back), added.start(back));
        let mut node = StandaloneNode::start(&text(first), 1);
        let mut client = ProtocolClient::connect(node.address(), front).unwrap();
        client.send("POST", "/runs/x", "X-Unit: 1\r\n", b"x").unwrap();
        wait_for("the request in flight", || removed.seen().lines.len() == 1);
        node.reload(&text(second).replace("server s0", "server s1"));
        let mut new = ProtocolClient::connect(node.address(), front).unwrap();
        assert_eq!(new.ask("POST", "/runs/x", "X-Unit: 2\r\n", b"x").body, b"stays", "{pairing}");
        assert_eq!(client.read("POST").body, b"rank 1", "{pairing}");
        assert_eq!(removed.seen().lines.len(), 1, "{pairing}");
        let slow = ScriptedBackends::new(script(later()));
        node.reload(&text(slow.start(back)).replace("server s0", "server s2"));
        client.send("POST", "/runs/x", "X-Unit: 3\r\n", b"x").unwrap();
        wait_for("the last request", || slow.seen().lines.len() == 1);
        node.signal("TERM");
        assert_eq!(client.read("POST").body, b"rank 1", "{pairing}");
        assert_eq!(node.wait().code(), Some(0), "{pairing}");
    }
}

/// Guards slow start over each pair of protocols: an endpoint that refused connections and accepts them again gets few requests
/// at first.
#[test]
fn an_endpoint_that_accepts_connections_again_slow_starts() {
    for (front, back) in protocol_pairs() {
        let work = || script(vec![Act::Later(Duration::from_millis(10), Box::new(served("rank 1")))]);
        let (steady, returns) = (ScriptedBackends::new(work()), ScriptedBackends::new(work()));
        let address = refusing();
        let text = node_config_text(front, back, &[steady.start(back), address], "");
        let text = text.replace("pool boards {", "pool boards { warm-up 1h from 1%\n");
        let node = StandaloneNode::start(&text, 1);
        let stopped = Arc::new(std::sync::atomic::AtomicBool::new(false));
        let clients: Vec<_> = (0..6)
            .map(|_| {
                let (stopped, address) = (stopped.clone(), node.address());
                thread::spawn(move || {
                    let mut client = ProtocolClient::connect(address, front).unwrap();
                    let mut unexpected = Vec::new();
                    while !stopped.load(std::sync::atomic::Ordering::SeqCst) {
                        let status = client.ask("GET", "/boards/x", "X-Unit: 1\r\n", b"").status;
                        if !matches!(status, 200 | 503) {
                            unexpected.push(status);
                        }
                    }
                    unexpected
                })
            })
            .collect();
        wait_for("requests at the steady endpoint", || steady.seen().lines.len() > 100);
        returns.serve(std::net::TcpListener::bind(address).unwrap(), back);
        wait_for("a first request at the returned endpoint", || !returns.seen().lines.is_empty());
        let (steady_before, returned_before) = (steady.seen().lines.len(), returns.seen().lines.len());
        wait_for("300 more requests at the steady endpoint", || {
            steady.seen().lines.len() > steady_before + 300
        });
        let count = returns.seen().lines.len() - returned_before;
        assert!(count * 5 < 300, "{front:?} to {back:?}: {count} requests, against 300");
        stopped.store(true, std::sync::atomic::Ordering::SeqCst);
        for client in clients {
            assert_eq!(client.join().unwrap(), Vec::<u16>::new(), "{front:?} to {back:?}");
        }
    }
}
