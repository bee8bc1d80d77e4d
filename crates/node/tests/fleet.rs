//! Nodes that know of each other, as processes on loopback: how they are started, asked and ended. What links do to them is the
//! storm's (`crates/chaos`).

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::process::Command;
use std::time::Duration;

use pumicehead_testbed::program::{Standalone, built, wait_for};
use pumicehead_testbed::scripted::{Backend, Client, ok};
use serde_json::Value;

fn text(name: &str, server: &Backend, fleet: &str, seeds: &[SocketAddr]) -> String {
    let seeds = seeds.iter().map(|seed| format!(" {seed}")).collect::<String>();
    let seeds = if seeds.is_empty() { String::new() } else { format!("seeds{seeds};") };
    format!(
        "node {{ name {name}; zones a; zone a }}\n\
         listener public {{ address 127.0.0.1:0 }}\n\
         pool boards {{ server s {{ address {} }} }}\n\
         class read {{ aim 5s; deadline 20s; repeats safe }}\n\
         route all {{ path /**; class read; pool boards }}\n\
         observe {{ calls 127.0.0.1:0 }}\n\
         fleet {{ name {fleet}; address 127.0.0.1:0; {seeds} }}\n",
        server.address
    )
}

fn at(node: &Standalone, words: &str) -> SocketAddr {
    let find = || {
        let log = node.log.lock().unwrap();
        log.iter().find_map(|line| line.split_once(words)?.1.trim().parse().ok())
    };
    wait_for(words, || find().is_some());
    find().unwrap()
}

fn start(
    name: &str,
    server: &Backend,
    fleet: &str,
    seeds: &[SocketAddr],
) -> (Standalone, SocketAddr, SocketAddr) {
    let node = Standalone::start(&text(name, server, fleet, seeds), 1);
    let (speaks, calls) = (at(&node, " speaks on "), at(&node, " takes admin commands on "));
    (node, speaks, calls)
}

fn cli(arguments: &[&str]) -> (Option<i32>, String, String) {
    let done = Command::new(built("pumicehead").unwrap()).arg("fleet").args(arguments).output().unwrap();
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
    (done.status.code(), text(done.stdout), text(done.stderr))
}

fn view(calls: SocketAddr) -> Value {
    serde_json::from_str(&cli(&["members", &calls.to_string(), "--json"]).1).unwrap_or_default()
}

/// Names and states in a view.
fn held(calls: SocketAddr) -> Vec<(String, String)> {
    let view = view(calls);
    let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
    let members = view["members"].as_array().cloned().unwrap_or_default();
    members.iter().map(|one| (text(&one["name"]), text(&one["state"]))).collect()
}

fn is_held(calls: SocketAddr, wanted: &[(&str, &str)]) -> bool {
    held(calls)
        == wanted.iter().map(|(name, state)| ((*name).to_owned(), (*state).to_owned())).collect::<Vec<_>>()
}

/// Guards use: three nodes find each other, agree, number themselves, tell people; one leaves in order, one is killed, and
/// requests are served all along.
#[test]
fn nodes_find_lose_and_tell_of_each_other() {
    let server = Backend::start(|_| ok("x"));
    let (one, speaks, calls) = start("n1", &server, "tablero", &[]);
    let (mut two, _, second) = start("n2", &server, "tablero", &[speaks]);
    let (three, _, third) = start("n3", &server, "tablero", &[speaks]);
    let all = [("n1", "alive"), ("n2", "alive"), ("n3", "alive")];
    wait_for("one view", || {
        let prints = [calls, second, third].map(|at| view(at)["fingerprint"].clone());
        prints[0] == prints[1] && prints[1] == prints[2] && is_held(calls, &all)
    });
    wait_for("numbers", || {
        let view = view(calls);
        let numbers = view["members"].as_array().unwrap().iter().map(|one| one["number"].as_u64().unwrap());
        let mut numbers: Vec<_> = numbers.collect();
        numbers.sort_unstable();
        numbers == [1, 2, 3] && view["nodes"] == 3
    });
    let (code, table, _) = cli(&["members", &calls.to_string()]);
    assert!(code == Some(0) && table.contains("3 there") && table.contains("n2"), "{table}");
    let (code, why, _) = cli(&["why", "n2", &calls.to_string()]);
    assert!(code == Some(0) && why.contains("n2 is held alive"), "{why}");
    let (code, _, said) = cli(&["why", "n9", &calls.to_string()]);
    assert!(code == Some(2) && said.contains("nobody here knows `n9`"), "{said}");
    // Staff empty one: all are told.
    let mut call = TcpStream::connect(third).unwrap();
    call.write_all(b"LAMEDUCK\n").unwrap();
    wait_for("lameduck told", || view(second)["members"][2]["phase"] == "lameduck");
    two.signal("TERM");
    assert!(two.wait().success());
    wait_for("left", || is_held(third, &[("n1", "alive"), ("n2", "left"), ("n3", "alive")]));
    drop(three);
    wait_for("dead", || is_held(calls, &[("n1", "alive"), ("n2", "left"), ("n3", "dead")]));
    let (_, why, _) = cli(&["why", "n3", &calls.to_string()]);
    assert!(why.contains("refused connections"), "{why}");
    let mut client = Client::connect(one.address());
    client.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    assert_eq!(client.read().unwrap().status(), 200);
}

/// Guards against strangers: bytes of all kinds, datagrams and streams, another fleet; the node serves on, and says once what it
/// refuses.
#[test]
fn strangers_change_nothing() {
    let server = Backend::start(|_| ok("x"));
    let (one, speaks, calls) = start("n1", &server, "tablero", &[]);
    let (_other, _, elsewhere) = start("n2", &server, "otro", &[speaks]);
    let noise = UdpSocket::bind("127.0.0.1:0").unwrap();
    for length in [0, 1, 7, 60, 1_200, 9_000, 65_000] {
        let bytes: Vec<u8> = (0..length).map(|n| (n * 31 % 251) as u8).collect();
        let _ = noise.send_to(&bytes, speaks);
    }
    for bytes in
        [&b"GET / HTTP/1.1\r\n\r\n"[..], &[0xff; 40], &[0, 0, 0, 0], &[0, 0, 0, 9, 1], &[0, 0x10, 0, 0, 8, 1]]
    {
        let mut stream = TcpStream::connect(speaks).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
        let _ = stream.write_all(bytes);
        let _ = stream.shutdown(std::net::Shutdown::Write);
        let _ = stream.read_to_end(&mut Vec::new());
    }
    wait_for("the other fleet refused", || one.said("is refused: of another fleet") >= 1);
    assert!(is_held(calls, &[("n1", "alive")]) && is_held(elsewhere, &[("n2", "alive")]));
    let mut client = Client::connect(one.address());
    client.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    assert_eq!(client.read().unwrap().status(), 200);
}

/// Guards one name in two processes: the later one is the member, the earlier one says so and serves on.
#[test]
fn the_later_process_of_a_name_is_the_member() {
    let server = Backend::start(|_| ok("x"));
    let (_one, speaks, calls) = start("n1", &server, "tablero", &[]);
    let (early, _, first) = start("n2", &server, "tablero", &[speaks]);
    wait_for("joined", || is_held(calls, &[("n1", "alive"), ("n2", "alive")]));
    let (_late, again, _) = start("n2", &server, "tablero", &[speaks]);
    wait_for("superseded", || {
        early.said("a later process has this node's name") == 1 && view(first)["superseded"] == true
    });
    wait_for("the later one's address", || view(calls)["members"][1]["address"] == again.to_string());
    let mut client = Client::connect(early.address());
    client.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    assert_eq!(client.read().unwrap().status(), 200);
}

/// Guards what can't be: one clear message, nothing started; and a node without a fleet says so.
#[test]
fn what_cannot_be_is_told() {
    let server = Backend::start(|_| ok("x"));
    let (_one, speaks, _) = start("n1", &server, "tablero", &[]);
    let file = pumicehead_testbed::program::temporary(".conf");
    let good = text("n2", &server, "tablero", &[]);
    for (from, to, says) in [
        ("name tablero; ", "", "has no `name`"),
        ("name tablero;", "name \"a b\";", "is no name for a fleet"),
        ("address 127.0.0.1:0;  }", "address 0.0.0.0:7000 }", "others can't reach"),
        ("address 127.0.0.1:0;  }", "address 127.0.0.1:0; reach n3 }", "`reach` takes a node's name"),
        ("address 127.0.0.1:0;  }", "address 127.0.0.1:0; seeds localhost:1 }", "is no address"),
        ("fleet {", "fleet { }\nfleet {", "a second `fleet` block"),
    ] {
        let text = good.replacen(from, to, 1);
        assert_ne!(text, good, "{from}");
        std::fs::write(&file, text).unwrap();
        let done = Command::new(built("pumicehead").unwrap()).arg("check").arg(&file).output().unwrap();
        let said =
            String::from_utf8_lossy(&done.stderr).into_owned() + &String::from_utf8_lossy(&done.stdout);
        assert!(!done.status.success() && said.contains(says), "{to}: {said}");
    }
    std::fs::write(&file, good.replacen("127.0.0.1:0;  }", &format!("{speaks} }}"), 1)).unwrap();
    let done = Command::new(built("pumicehead").unwrap()).arg("run").arg(&file).output().unwrap();
    let said = String::from_utf8_lossy(&done.stderr);
    assert!(!done.status.success() && said.contains("for the fleet"), "{said}");
    let alone = good.split("fleet {").next().unwrap().to_owned();
    let node = Standalone::start(&alone, 1);
    let (code, _, said) = cli(&["members", &at(&node, " takes admin commands on ").to_string()]);
    assert!(code == Some(2) && said.contains("no block `fleet`"), "{said}");
    let _ = std::fs::remove_file(file);
}
