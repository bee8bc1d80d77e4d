//! Fleets of node processes on loopback: join, convergence, admin commands and departure. Link faults are tested by
//! `crates/chaos`.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::process::Command;
use std::time::Duration;

use pumicehead_testbed::program::{StandaloneNode, built, wait_for};
use pumicehead_testbed::scripted::{Backend, Client, ok};
use serde_json::Value;

/// The configuration of a node in a fleet.
fn config(name: &str, server: &Backend, fleet: &str, seeds: &[SocketAddr]) -> String {
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

/// Waits for a log line that ends in these words and an address. Returns the address.
fn logged_address(node: &StandaloneNode, words: &str) -> SocketAddr {
    let find = || {
        let log = node.log.lock().unwrap();
        log.iter().find_map(|line| line.split_once(words)?.1.trim().parse().ok())
    };
    wait_for(words, || find().is_some());
    find().unwrap()
}

/// A running node in a fleet.
struct Member {
    process: StandaloneNode,
    /// Address at which other members reach it.
    fleet: SocketAddr,
    /// Address of the admin listener.
    admin: SocketAddr,
}

fn start(name: &str, server: &Backend, fleet: &str, seeds: &[SocketAddr]) -> Member {
    let process = StandaloneNode::start(&config(name, server, fleet, seeds), 1);
    let fleet = logged_address(&process, " fleet_address=");
    let admin = logged_address(&process, " takes admin commands on ");
    Member { process, fleet, admin }
}

/// Exit code and output of the `fleet` command.
struct CommandOutput {
    code: Option<i32>,
    stdout: String,
    stderr: String,
}

fn fleet_command(arguments: &[&str]) -> CommandOutput {
    let output = Command::new(built("pumicehead").unwrap()).arg("fleet").args(arguments).output().unwrap();
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
    CommandOutput { code: output.status.code(), stdout: text(output.stdout), stderr: text(output.stderr) }
}

/// A node's view of the fleet.
fn view(admin: SocketAddr) -> Value {
    serde_json::from_str(&fleet_command(&["members", &admin.to_string(), "--json"]).stdout)
        .unwrap_or_default()
}

/// Names and states of the members in a node's view.
fn states(admin: SocketAddr) -> Vec<(String, String)> {
    let view = view(admin);
    let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
    let members = view["members"].as_array().cloned().unwrap_or_default();
    members.iter().map(|member| (text(&member["name"]), text(&member["state"]))).collect()
}

fn has_states(admin: SocketAddr, wanted: &[(&str, &str)]) -> bool {
    states(admin)
        == wanted.iter().map(|(name, state)| ((*name).to_owned(), (*state).to_owned())).collect::<Vec<_>>()
}

fn assert_serves(node: &Member) {
    let mut client = Client::connect(node.process.address());
    client.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    assert_eq!(client.read().unwrap().status(), 200);
}

/// Three nodes converge to one view and give themselves numbers. The others see a node in lame-duck mode, one that has left
/// and one that was killed as such, and requests are still served.
#[test]
fn nodes_join_agree_and_see_departures_and_crashes() {
    let server = Backend::start(|_| ok("x"));
    let one = start("n1", &server, "tablero", &[]);
    let mut two = start("n2", &server, "tablero", &[one.fleet]);
    let three = start("n3", &server, "tablero", &[one.fleet]);
    let all = [("n1", "alive"), ("n2", "alive"), ("n3", "alive")];
    wait_for("the same view at all nodes", || {
        let fingerprints =
            [one.admin, two.admin, three.admin].map(|admin| view(admin)["fingerprint"].clone());
        fingerprints[0] == fingerprints[1]
            && fingerprints[1] == fingerprints[2]
            && has_states(one.admin, &all)
    });
    wait_for("node numbers", || {
        let view = view(one.admin);
        let members = view["members"].as_array().unwrap();
        let mut numbers: Vec<_> = members.iter().map(|member| member["number"].as_u64().unwrap()).collect();
        numbers.sort_unstable();
        numbers == [1, 2, 3] && view["nodes"] == 3
    });
    let admin = one.admin.to_string();
    let list = fleet_command(&["members", &admin]);
    assert!(
        list.code == Some(0) && list.stdout.contains("3 active members") && list.stdout.contains("n2"),
        "{}",
        list.stdout
    );
    let why = fleet_command(&["why", "n2", &admin]);
    assert!(why.code == Some(0) && why.stdout.contains("n2: alive for "), "{}", why.stdout);
    let unknown = fleet_command(&["why", "n9", &admin]);
    assert!(
        unknown.code == Some(2) && unknown.stderr.contains("nobody here knows `n9`"),
        "{}",
        unknown.stderr
    );
    let mut call = TcpStream::connect(three.admin).unwrap();
    call.write_all(b"LAMEDUCK\n").unwrap();
    wait_for("lame-duck mode", || view(two.admin)["members"][2]["phase"] == "lameduck");
    two.process.signal("TERM");
    assert!(two.process.wait().success());
    wait_for("n2 to have left", || {
        has_states(three.admin, &[("n1", "alive"), ("n2", "left"), ("n3", "alive")])
    });
    drop(three);
    wait_for("n3 to be dead", || has_states(one.admin, &[("n1", "alive"), ("n2", "left"), ("n3", "dead")]));
    let why = fleet_command(&["why", "n3", &admin]);
    assert!(why.stdout.contains("refused connections"), "{}", why.stdout);
    assert_serves(&one);
}

/// Arbitrary bytes in datagrams and streams, and a node of another fleet, don't change a node's view; the other fleet is
/// logged.
#[test]
fn arbitrary_bytes_and_other_fleets_are_ignored() {
    let server = Backend::start(|_| ok("x"));
    let one = start("n1", &server, "tablero", &[]);
    let other = start("n2", &server, "otro", &[one.fleet]);
    let noise = UdpSocket::bind("127.0.0.1:0").unwrap();
    for length in [0, 1, 7, 60, 1_200, 9_000, 65_000] {
        let bytes: Vec<u8> = (0..length).map(|n| (n * 31 % 251) as u8).collect();
        let _ = noise.send_to(&bytes, one.fleet);
    }
    for bytes in
        [&b"GET / HTTP/1.1\r\n\r\n"[..], &[0xff; 40], &[0, 0, 0, 0], &[0, 0, 0, 9, 1], &[0, 0x10, 0, 0, 8, 1]]
    {
        let mut stream = TcpStream::connect(one.fleet).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
        let _ = stream.write_all(bytes);
        let _ = stream.shutdown(std::net::Shutdown::Write);
        let _ = stream.read_to_end(&mut Vec::new());
    }
    wait_for("messages of the other fleet to be rejected", || {
        one.process.count_log_lines("reason=of another fleet") >= 1
    });
    assert!(has_states(one.admin, &[("n1", "alive")]) && has_states(other.admin, &[("n2", "alive")]));
    assert_serves(&one);
}

/// Of two processes with the same name the later one is the member; the earlier one logs that and still serves requests.
#[test]
fn later_process_of_a_name_supersedes_the_earlier_one() {
    let server = Backend::start(|_| ok("x"));
    let one = start("n1", &server, "tablero", &[]);
    let early = start("n2", &server, "tablero", &[one.fleet]);
    wait_for("n2 to join", || has_states(one.admin, &[("n1", "alive"), ("n2", "alive")]));
    let late = start("n2", &server, "tablero", &[one.fleet]);
    wait_for("the earlier process to be superseded", || {
        early.process.count_log_lines("a later process has this node's name") == 1
            && view(early.admin)["superseded"] == true
    });
    wait_for("the later process's address", || {
        view(one.admin)["members"][1]["address"] == late.fleet.to_string()
    });
    assert_serves(&early);
}

/// Each invalid configuration is reported with its error by `check`, `run` reports an address that is in use, and the `fleet`
/// command reports a node without a fleet.
#[test]
fn invalid_configurations_are_reported() {
    let server = Backend::start(|_| ok("x"));
    let one = start("n1", &server, "tablero", &[]);
    let file = pumicehead_testbed::program::temporary(".conf");
    let good = config("n2", &server, "tablero", &[]);
    let program = built("pumicehead").unwrap();
    for (from, to, message) in [
        ("name tablero; ", "", "has no `name`"),
        ("name tablero;", "name \"a b\";", "is not a valid name for a fleet"),
        ("address 127.0.0.1:0;  }", "address 0.0.0.0:7000 }", "other members can't reach"),
        ("address 127.0.0.1:0;  }", "address 127.0.0.1:0; reach n3 }", "`reach` takes a node's name"),
        ("address 127.0.0.1:0;  }", "address 127.0.0.1:0; seeds localhost:1 }", "is not an address"),
        ("fleet {", "fleet { }\nfleet {", "a second `fleet` block"),
    ] {
        let text = good.replacen(from, to, 1);
        assert_ne!(text, good, "{from}");
        std::fs::write(&file, text).unwrap();
        let output = Command::new(&program).arg("check").arg(&file).output().unwrap();
        let printed =
            String::from_utf8_lossy(&output.stderr).into_owned() + &String::from_utf8_lossy(&output.stdout);
        assert!(!output.status.success() && printed.contains(message), "{to}: {printed}");
    }
    std::fs::write(&file, good.replacen("127.0.0.1:0;  }", &format!("{} }}", one.fleet), 1)).unwrap();
    let output = Command::new(&program).arg("run").arg(&file).output().unwrap();
    let printed = String::from_utf8_lossy(&output.stderr);
    assert!(!output.status.success() && printed.contains("for the fleet"), "{printed}");
    let alone = good.split("fleet {").next().unwrap().to_owned();
    let node = StandaloneNode::start(&alone, 1);
    let answer = fleet_command(&["members", &logged_address(&node, " takes admin commands on ").to_string()]);
    assert!(answer.code == Some(2) && answer.stderr.contains("no block `fleet`"), "{}", answer.stderr);
    let _ = std::fs::remove_file(file);
}
