//! The same scenarios over HTTP and FastCGI on either side: same final answers, same number of attempts, same count of
//! effects. A difference is a failure that names scenario and pairing.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use pumicehead_testbed::parity::{compare_all, pairings, script, text};
use pumicehead_testbed::program::{Standalone, wait_for};
use pumicehead_testbed::scripted::refusing;
use pumicehead_testbed::scripted_backend::{Act, ProtocolClient, ScriptedBackends, served};

#[test]
fn all_pairings_end_alike() {
    let results = compare_all();
    assert!(results.len() >= 35);
    let differences: Vec<_> = results.into_iter().flat_map(|scenario| scenario.differences).collect();
    assert!(differences.is_empty(), "{}", differences.join("\n"));
}

/// Guards the client that goes away: its attempt is called back, and nothing is sent again.
#[test]
fn a_client_that_leaves_has_its_attempt_called_back() {
    for (front, back) in pairings() {
        let boards = ScriptedBackends::new(script(vec![Act::Silent]));
        let servers = [boards.start(back), boards.start(back)];
        let node = Standalone::start(
            &text(front, back, &servers, "").replace("deadline 1500ms", "deadline 1min"),
            1,
        );
        let mut client = ProtocolClient::connect(node.address(), front).unwrap();
        client.send("POST", "/runs/any", "X-Unit: 1\r\n", b"x").unwrap();
        wait_for("the attempt", || boards.seen().lines.len() == 1);
        drop(client);
        wait_for(&format!("a call back, {front:?} to {back:?}"), || boards.seen().dropped == 1);
        assert_eq!(boards.seen().attempts.get("1"), Some(&1));
    }
}

/// Guards overload: what is over the bound is refused at once, with advice, and what is held is served.
#[test]
fn beyond_the_most_held_all_refuse() {
    for (front, back) in pairings() {
        let boards = ScriptedBackends::new(script(vec![Act::Later(
            Duration::from_millis(400),
            Box::new(served("rank 1")),
        )]));
        let servers = [boards.start(back)];
        let node = Standalone::start(&text(front, back, &servers, "limits { held 1 }\n"), 1);
        let mut first = ProtocolClient::connect(node.address(), front).unwrap();
        first.send("GET", "/boards/x", "X-Unit: 1\r\n", b"").unwrap();
        wait_for("the first", || boards.seen().lines.len() == 1);
        let mut second = ProtocolClient::connect(node.address(), front).unwrap();
        let refused = second.ask("GET", "/boards/x", "X-Unit: 2\r\n", b"");
        assert_eq!((refused.status, refused.field("retry-after")), (503, Some("1")), "{front:?} to {back:?}");
        assert_eq!(first.read("GET").status, 200);
        assert_eq!(boards.seen().lines.len(), 1);
    }
}

/// Guards drains and the end: what is open on a server that leaves is answered, and nothing new goes there; SIGTERM
/// answers what was taken and ends with 0.
#[test]
fn drains_and_sigterm_keep_what_was_taken() {
    for (front, back) in pairings() {
        let pairing = format!("{front:?} to {back:?}");
        // A server that is new to the file is cold, and alone it would serve little at first.
        let text = |server| {
            text(front, back, &[server], "").replace("pool boards {", "pool boards { warm-up 0s from 100%\n")
        };
        let later =
            || vec![Act::Later(Duration::from_millis(600), Box::new(served("rank 1"))), served("rank 2")];
        let (leaves, stays) =
            (ScriptedBackends::new(script(later())), ScriptedBackends::new(script(vec![served("stays")])));
        let (one, other) = (leaves.start(back), stays.start(back));
        let mut node = Standalone::start(&text(one), 1);
        let mut client = ProtocolClient::connect(node.address(), front).unwrap();
        client.send("POST", "/runs/x", "X-Unit: 1\r\n", b"x").unwrap();
        wait_for("the open request", || leaves.seen().lines.len() == 1);
        node.reload(&text(other).replace("server s0", "server s1"));
        let mut new = ProtocolClient::connect(node.address(), front).unwrap();
        assert_eq!(new.ask("POST", "/runs/x", "X-Unit: 2\r\n", b"x").body, b"stays", "{pairing}");
        assert_eq!(client.read("POST").body, b"rank 1", "{pairing}");
        assert_eq!(leaves.seen().lines.len(), 1, "{pairing}");
        let slow = ScriptedBackends::new(script(later()));
        node.reload(&text(slow.start(back)).replace("server s0", "server s2"));
        client.send("POST", "/runs/x", "X-Unit: 3\r\n", b"x").unwrap();
        wait_for("the last request", || slow.seen().lines.len() == 1);
        node.signal("TERM");
        assert_eq!(client.read("POST").body, b"rank 1", "{pairing}");
        assert_eq!(node.wait().code(), Some(0), "{pairing}");
    }
}

/// Guards rule 4 under both protocols: a server that comes back after refusing connections is cold.
#[test]
fn a_server_that_comes_back_is_cold() {
    for (front, back) in pairings() {
        let work = || script(vec![Act::Later(Duration::from_millis(10), Box::new(served("rank 1")))]);
        let (steady, returns) = (ScriptedBackends::new(work()), ScriptedBackends::new(work()));
        let address = refusing();
        let text = text(front, back, &[steady.start(back), address], "");
        let text = text.replace("pool boards {", "pool boards { warm-up 1h from 1%\n");
        let node = Standalone::start(&text, 1);
        let over = Arc::new(std::sync::atomic::AtomicBool::new(false));
        let clients: Vec<_> = (0..6)
            .map(|_| {
                let (over, address) = (over.clone(), node.address());
                thread::spawn(move || {
                    let mut client = ProtocolClient::connect(address, front).unwrap();
                    let mut odd = Vec::new();
                    while !over.load(std::sync::atomic::Ordering::SeqCst) {
                        let status = client.ask("GET", "/boards/x", "X-Unit: 1\r\n", b"").status;
                        if !matches!(status, 200 | 503) {
                            odd.push(status);
                        }
                    }
                    odd
                })
            })
            .collect();
        wait_for("steady work", || steady.seen().lines.len() > 100);
        returns.serve(std::net::TcpListener::bind(address).unwrap(), back);
        wait_for("a first request", || !returns.seen().lines.is_empty());
        let (then, returned) = (steady.seen().lines.len(), returns.seen().lines.len());
        wait_for("more work", || steady.seen().lines.len() > then + 300);
        let more = returns.seen().lines.len() - returned;
        assert!(more * 5 < 300, "{front:?} to {back:?}: {more} of 300");
        over.store(true, std::sync::atomic::Ordering::SeqCst);
        for client in clients {
            assert_eq!(client.join().unwrap(), Vec::<u16>::new(), "{front:?} to {back:?}");
        }
    }
}
