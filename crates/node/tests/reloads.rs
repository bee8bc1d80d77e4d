//! Configuration changes of a running standalone node, on loopback sockets: pools that a change does not affect keep their
//! loops, each revision is applied completely or not at all, and requests in flight end under the rules that they were
//! admitted under.

use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use pumicehead_flight_recorder::event::Event;
use pumicehead_flight_recorder::event_ring::decode_records;
use pumicehead_flight_recorder::recording::Recording;
use pumicehead_testbed::program::{LIMIT, StandaloneNode, wait_for};
use pumicehead_testbed::scripted::{Act, Backend, Client, LoadClients, Message, ok, refusing};

/// The text of a pool with these endpoints.
fn pool(name: &str, servers: &[(&str, SocketAddr)]) -> String {
    let servers = servers.iter().map(|(name, address)| format!("server {name} {{ address {address} }}; "));
    format!("pool {name} {{ {} }}\n", servers.collect::<String>())
}

/// A configuration with these pools, a listener on a free port, two classes, and routes to the pools `one` and `two`.
fn text(pools: &str) -> String {
    format!(
        "listener public {{ address 127.0.0.1:0 }}\n{pools}\
         class read {{ aim 5s; deadline 20s; repeats safe }}\n\
         class submit {{ aim 5s; deadline 20s; repeats unsafe }}\n\
         route one {{ path /one/**; class read; pool one }}\n\
         route two {{ path /two/**; class read; pool two }}\n\
         route submit {{ path /submit/**; class submit; pool one }}\n"
    )
}

/// Adds an admin listener to a configuration. Returns the text and the listener's address.
fn with_admin(text: &str) -> (String, SocketAddr) {
    let address = refusing();
    (format!("{text}observe {{ calls {address}; recorder 1MiB }}\n"), address)
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: a\r\n\r\n")
}

fn ask(node: &StandaloneNode, path: &str) -> Message {
    let mut client = Client::connect(node.address());
    client.write(&get(path));
    client.read().expect("a response")
}

/// Sends an admin command and returns the whole response.
fn admin_command(admin: SocketAddr, line: &str) -> Vec<u8> {
    let mut stream = TcpStream::connect(admin).expect("an admin connection");
    stream.set_read_timeout(Some(LIMIT)).expect("a read timeout");
    stream.write_all(format!("{line}\n").as_bytes()).expect("the command is written");
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).expect("a response");
    answer
}

/// Returns the revision in force and its digest, from the response to `CONFIG`.
fn in_force(admin: SocketAddr) -> (u64, String) {
    let answer = String::from_utf8(admin_command(admin, "CONFIG")).expect("text");
    let words: Vec<_> = answer.split_whitespace().collect();
    let [ok, "revision", revision, "digest", digest] = words[..] else { panic!("{answer}") };
    assert_eq!(ok, "OK");
    (revision.parse().expect("a number"), digest.to_owned())
}

/// A backend that holds requests for `/slow` until `released` is set.
fn holding_backend(released: &Arc<AtomicBool>, body: &'static str) -> Backend {
    let released = released.clone();
    Backend::start(move |request| {
        if request.first.contains("/slow") {
            wait_for("the release of held requests", || released.load(Ordering::SeqCst));
        }
        ok(body)
    })
}

fn backend(body: &'static str) -> Backend {
    Backend::start(move |_| ok(body))
}

/// Sends a request without reading the response.
fn send(node: &StandaloneNode, path: &str) -> Client {
    let mut client = Client::connect(node.address());
    client.write(&get(path));
    client
}

/// Guards that a change updates only the pools that it affects.
#[test]
fn a_change_updates_only_the_pools_it_names() {
    let (one, two, more) = (backend("one"), backend("two"), backend("more"));
    let pools = pool("one", &[("a", one.address)]) + &pool("two", &[("b", two.address)]);
    let before = text(&pools);
    let node = StandaloneNode::start(&before, 1);
    // The text is another, the configuration is the same.
    node.reload(&format!("# nothing new\n{}", before.replace("; ", ";\n  ")));
    wait_for("no change", || node.count_log_lines("0 changes; revision 1,") == 1);
    assert_eq!(node.count_log_lines("pools: 2 kept, 0 updated, 0 started"), 1);
    let grown = text(
        &(pool("one", &[("a", one.address), ("c", more.address)]) + &pool("two", &[("b", two.address)])),
    );
    node.reload(&grown);
    assert_eq!(node.count_log_lines("revision 2,"), 1);
    assert_eq!(node.count_log_lines("pools: 1 kept, 1 updated, 0 started"), 1);
    // Another path for a route of the same class affects no pool.
    node.reload(&grown.replace("path /two/**", "path /second/**"));
    assert_eq!(node.count_log_lines("pools: 2 kept, 0 updated, 0 started"), 2);
    assert_eq!((ask(&node, "/second/x").status(), ask(&node, "/two/x").status()), (200, 404));
    // A class that is new in a pool, and one whose latency objective has changed, are updated in place.
    node.reload(
        &grown.replace("class submit; pool one", "class submit; pool two").replace("aim 5s", "aim 4s"),
    );
    assert_eq!(node.count_log_lines("pools: 0 kept, 2 updated, 0 started"), 1);
    assert_eq!(node.count_log_lines("started") - node.count_log_lines("0 started"), 0);
}

/// Guards that a new order of routes is a change, and that it affects no pool.
#[test]
fn reordered_routes_change_no_pool() {
    let (one, two) = (backend("one"), backend("two"));
    let pools = pool("one", &[("a", one.address)]) + &pool("two", &[("b", two.address)]);
    let (first, second) = (
        "route all { path /*/x; class read; pool two }\n",
        "route some { path /some/*; class read; pool one }\n",
    );
    let (base, admin) = with_admin(&text(&pools));
    let node = StandaloneNode::start(&format!("{base}{first}{second}"), 1);
    assert_eq!(ask(&node, "/some/x").body, b"two");
    let (_, digest) = in_force(admin);
    node.reload(&format!("{base}{second}{first}"));
    assert_eq!(ask(&node, "/some/x").body, b"one");
    assert_eq!(node.count_log_lines("now before route"), 1);
    assert_eq!(node.count_log_lines("pools: 2 kept, 0 updated, 0 started"), 1);
    let (revision, other) = in_force(admin);
    assert_eq!(revision, 2);
    assert_ne!(other, digest);
    // The old order has the old digest, and a new revision number.
    node.reload(&format!("{base}{first}{second}"));
    assert_eq!(in_force(admin), (3, digest));
}

/// Guards the digest: a node that has a configuration by reloads, and one that started with it in another form, have the
/// same digest. Log, metrics and admin responses agree.
#[test]
fn the_digest_depends_on_the_configuration_alone() {
    let (one, two) = (backend("one"), backend("two"));
    let pools = pool("one", &[("a", one.address)]) + &pool("two", &[("b", two.address)]);
    let (base, admin) = with_admin(&text(&pools));
    let node = StandaloneNode::start(&base, 1);
    let changed = base.replace("aim 5s", "aim 3s");
    node.reload(&changed);
    node.reload(&changed.replace("/submit/**", "/send/**"));
    node.reload(&changed);
    let (revision, digest) = in_force(admin);
    assert_eq!(revision, 4);
    assert!(node.count_log_lines(&format!("revision 4, digest {digest}")) == 1);
    let metrics = String::from_utf8(admin_command(admin, "METRICS")).expect("text");
    assert!(metrics.contains("pumicehead_config_revision 4\n"), "{metrics}");
    let short = u64::from_str_radix(&digest[..13], 16).expect("a digest");
    let value = metrics.lines().find_map(|line| line.strip_prefix("pumicehead_config_digest "));
    assert_eq!(value.and_then(|value| value.parse::<f64>().ok()), Some(short as f64), "{metrics}");
    // Blocks other than routes in another order, with comments and other spacing.
    let lines: Vec<_> = changed.lines().collect();
    let routes = lines.iter().filter(|line| line.starts_with("route"));
    let others = lines.iter().rev().filter(|line| !line.starts_with("route"));
    let other_form: String =
        others.chain(routes).map(|line| format!("# a comment\n{}\n", line.replace(' ', "  "))).collect();
    drop(node);
    let restarted = StandaloneNode::start(&other_form, 1);
    assert_eq!(in_force(admin), (1, digest));
    drop(restarted);
}

/// Guards that the recording has, for each request, the revision that it was admitted under.
#[test]
fn a_recording_names_the_revision_of_each_request() {
    let released = Arc::new(AtomicBool::new(false));
    let servers = [holding_backend(&released, "one"), holding_backend(&released, "one")];
    let two = backend("two");
    let pools = pool("one", &[("a", servers[0].address), ("b", servers[1].address)])
        + &pool("two", &[("c", two.address)]);
    let (base, admin) = with_admin(&text(&pools));
    let node = StandaloneNode::start(&base, 1);
    admin_command(admin, "RECORD full");
    let mut early = send(&node, "/one/slow");
    wait_for("the slow request", || servers.iter().map(Backend::count).sum::<usize>() == 1);
    node.reload(&base.replace("aim 5s", "aim 3s"));
    assert_eq!(ask(&node, "/two/x").status(), 200);
    released.store(true, Ordering::SeqCst);
    assert_eq!(early.read().expect("a response").status(), 200);
    let answer = admin_command(admin, "TRACE");
    let line = answer.iter().position(|&byte| byte == b'\n').expect("a first line");
    let recording = Recording::read(&answer[line + 1..]).expect("a recording");
    let mut revisions: Vec<_> = recording
        .timelines
        .iter()
        .flat_map(|timeline| decode_records(&timeline.encoded_events).0)
        .filter_map(|record| match record.event {
            Event::RequestAdmitted { revision, .. } => Some(revision),
            _ => None,
        })
        .collect();
    revisions.sort_unstable();
    assert_eq!(revisions, [Some(1), Some(2)]);
}

/// Guards requests that are in flight or queued in a pool when it is removed: each has a response, and after the drain the
/// connections to its endpoint are closed.
#[test]
fn a_removed_pool_answers_its_queued_requests() {
    let released = Arc::new(AtomicBool::new(false));
    let (one, two) = (holding_backend(&released, "one"), backend("two"));
    let pools = pool("one", &[("a", one.address)]) + &pool("two", &[("b", two.address)]);
    let before =
        text(&pools).replace("route one", "route gone { path /gone/**; class read; pool two }\nroute one");
    let node = StandaloneNode::start(&before, 1);
    let mut in_flight = send(&node, "/one/slow");
    wait_for("the request in flight", || one.count() == 1);
    // The endpoint's in-flight limit is 1: these requests are queued.
    let mut queued: Vec<_> = (0..3).map(|_| send(&node, "/one/held")).collect();
    let is_kept = |line: &&str| !line.contains("pool one");
    let after: String = before.lines().filter(is_kept).map(|line| format!("{line}\n")).collect();
    node.reload(&after);
    assert_eq!(node.count_log_lines("reload: pool one: removed"), 1, "{after}");
    assert_eq!(ask(&node, "/one/x").status(), 404);
    assert_eq!(ask(&node, "/two/x").body, b"two");
    released.store(true, Ordering::SeqCst);
    assert_eq!(in_flight.read().expect("a response").body, b"one");
    for client in &mut queued {
        let answer = client.read().expect("a response");
        // A request that is still queued when the drain is over is rejected.
        assert!(matches!(answer.status(), 200 | 502 | 503), "{}", answer.status());
    }
    wait_for("closed connections", || one.closed() >= 1);
}

/// Guards a class that becomes non-idempotent, or ordered, while its requests are in flight: these end by the rules that they
/// were admitted under, and new requests go by the new rules.
#[test]
fn requests_in_flight_keep_the_class_rules_they_were_admitted_under() {
    for rule in ["repeats unsafe", "repeats safe; order key"] {
        let released = Arc::new(AtomicBool::new(false));
        let failing_backend = |released: &Arc<AtomicBool>| {
            let released = released.clone();
            Backend::start(move |request| {
                if request.first.contains("/slow") {
                    wait_for("the release of held requests", || released.load(Ordering::SeqCst));
                }
                if request.first.contains("/cut") {
                    return Act::WriteAndClose("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf".into());
                }
                ok("one")
            })
        };
        let servers = [failing_backend(&released), failing_backend(&released)];
        let two = backend("two");
        let pools = pool("one", &[("a", servers[0].address), ("b", servers[1].address)])
            + &pool("two", &[("c", two.address)]);
        let seen = |path: &str| {
            let count = |server: &Backend| {
                let seen = server.seen.lock().expect("the script does not panic");
                seen.iter().filter(|message| message.first.contains(path)).count()
            };
            servers.iter().map(count).sum::<usize>()
        };
        let before = text(&pools).replace("class read; pool", "key last-segment; class read; pool");
        let node = StandaloneNode::start(&before, 1);
        let mut early = send(&node, "/one/slow-cut/cut");
        wait_for("the request in flight", || seen("/slow-cut") == 1);
        let after = before.replace("deadline 20s; repeats safe", &format!("deadline 20s; {rule}"));
        node.reload(&after);
        assert_eq!(node.count_log_lines("pools: 0 kept, 0 updated, 2 started"), 1, "{rule}");
        released.store(true, Ordering::SeqCst);
        // It was admitted as idempotent: it is retried, and rejected when its attempts are exhausted.
        assert_eq!(early.read().expect("a response").status(), 503);
        assert!(seen("/slow-cut") > 1, "{rule}");
        let late = ask(&node, "/one/late/cut").status();
        match rule {
            "repeats unsafe" => assert_eq!((late, seen("/late")), (502, 1), "{rule}"),
            _ => assert!(late == 503 && seen("/late") > 1, "{rule}: {late} after {}", seen("/late")),
        }
        wait_for("service of other requests", || ask(&node, "/one/x").status() == 200);
    }
}

/// Guards an endpoint that moves to another zone, or to another pool under its name: its requests in flight are answered, and
/// new ones reach it through its new pool alone.
#[test]
fn an_endpoint_that_changes_pool_or_zone_answers_its_requests_in_flight() {
    let released = Arc::new(AtomicBool::new(false));
    let moving = holding_backend(&released, "moving");
    let (one, two) = (backend("one"), backend("two"));
    let zones = "node { zones east west; zone east }\n";
    let server = |name: &str, address: SocketAddr, zone: &str| {
        format!("server {name} {{ address {address}; zone {zone} }}\n")
    };
    let pools = |ones: &[String], twos: &[String]| {
        let text = text(&format!("pool one {{ {} }}\npool two {{ {} }}\n", ones.concat(), twos.concat()));
        format!("{zones}{text}")
    };
    let (fixed_one, fixed_two) = (server("a", one.address, "east"), server("b", two.address, "east"));
    let moving_server = |zone: &str| server("m", moving.address, zone);
    let node = StandaloneNode::start(
        &pools(&[fixed_one.clone(), moving_server("east")], std::slice::from_ref(&fixed_two)),
        1,
    );
    let mut in_flight = Vec::new();
    wait_for("a request in flight at the endpoint that moves", || {
        // The in-flight limit of both endpoints starts at 1; requests at the other one are answered at once.
        in_flight.push(send(&node, "/one/slow"));
        moving.count() > 0
    });
    node.reload(&pools(&[fixed_one.clone(), moving_server("west")], std::slice::from_ref(&fixed_two)));
    assert_eq!(node.count_log_lines("zone east -> west"), 1);
    assert_eq!(node.count_log_lines("pools: 1 kept, 1 updated, 0 started"), 1);
    // It replaces the endpoint of the new pool, so that the requests of that pool reach it or none.
    node.reload(&pools(&[fixed_one], &[moving_server("west")]));
    assert_eq!(node.count_log_lines("pools: 0 kept, 2 updated, 0 started"), 1);
    let before = moving.count();
    for _ in 0..20 {
        assert_eq!(ask(&node, "/one/x").body, b"one");
    }
    assert_eq!(moving.count(), before);
    released.store(true, Ordering::SeqCst);
    for mut client in in_flight {
        assert_eq!(client.read().expect("a response").status(), 200);
    }
    wait_for("a request through the new pool", || ask(&node, "/two/x").body == b"moving");
}

/// Guards a change of which a part can't be applied: none of it is, and the old revision stays in force.
#[test]
fn a_rejected_change_leaves_the_old_revision_in_force() {
    let (one, two, other) = (backend("one"), backend("two"), backend("other"));
    let pools =
        |second: &Backend| pool("one", &[("a", one.address)]) + &pool("two", &[("b", second.address)]);
    let (before, admin) = with_admin(&text(&pools(&two)));
    let node = StandaloneNode::start(&before, 1);
    let revision_before = in_force(admin);
    let other_socket = TcpListener::bind("127.0.0.1:0").expect("a socket");
    let in_use = other_socket.local_addr().expect("an address");
    let free = refusing();
    let change = before
        .replace(&two.address.to_string(), &other.address.to_string())
        .replace("path /one/**", "path /first/**")
        .replace("aim 5s", "aim 1s");
    // The listener at the free address is bound first, and closed again.
    let listeners = format!("listener free {{ address {free} }}\nlistener clash {{ address {in_use} }}\n");
    node.reload(&format!("{listeners}{change}"));
    assert_eq!(node.count_log_lines(&format!("listen on {in_use}")), 1);
    assert_eq!(node.count_log_lines("reload: the old configuration stays"), 1);
    assert_eq!(in_force(admin), revision_before);
    assert!(TcpStream::connect(free).is_err());
    assert_eq!((ask(&node, "/one/x").body, ask(&node, "/two/x").body), (b"one".to_vec(), b"two".to_vec()));
    assert_eq!(ask(&node, "/first/x").status(), 404);
    assert_eq!(other.count(), 0);
    // Without the listeners the whole change is applied.
    drop(other_socket);
    node.reload(&change);
    assert_eq!(in_force(admin).0, revision_before.0 + 1);
    assert_eq!((ask(&node, "/first/x").status(), ask(&node, "/one/x").status()), (200, 404));
    // The new endpoint is in slow start, so that requests may be rejected at first.
    wait_for("the new endpoint", || ask(&node, "/two/x").body == b"other");
    assert_eq!(two.count(), 1);
}

/// The text of many routes, so that reading the file takes a while.
fn many_routes(count: usize) -> String {
    let mut routes = String::new();
    for n in 0..count {
        let _ = writeln!(
            routes,
            "route r{n} {{ host h{}.example.org; path /{n}/*; class read; pool one }}",
            n % 90
        );
    }
    routes
}

/// Guards signals that come during a reload: together they cause one more reload. In the end the last file is in force, with
/// the digest that it has in a node that started with it.
#[test]
fn signals_during_a_reload_cause_one_more_reload() {
    let (one, two) = (backend("one"), backend("two"));
    let pools = pool("one", &[("a", one.address)]) + &pool("two", &[("b", two.address)]);
    let (base, admin) = with_admin(&(text(&pools) + &many_routes(3_000)));
    let node = StandaloneNode::start(&base, 1);
    let last = base.replace("path /two/**", "path /third/**");
    // Two files in quick succession, and a third while these are read.
    node.replace(&base.replace("path /two/**", "path /first/**"));
    node.signal("HUP");
    node.replace(&base.replace("path /two/**", "path /second/**"));
    node.signal("HUP");
    node.replace(&last);
    for _ in 0..20 {
        node.signal("HUP");
    }
    wait_for("the last file", || ask(&node, "/third/x").status() == 200);
    // A further reload is done after all before it.
    let done = node.count_log_lines("reload: done");
    node.signal("HUP");
    wait_for("a further reload", || node.count_log_lines("reload: done") > done);
    // The 22 signals in quick succession caused fewer reloads.
    assert!(node.count_log_lines("reload: done") < 22, "{}", node.count_log_lines("reload: done"));
    assert_eq!((ask(&node, "/two/x").status(), ask(&node, "/second/x").status()), (404, 404));
    let (revision, digest) = in_force(admin);
    assert!(revision <= 4, "{revision}");
    drop(node);
    let _restarted = StandaloneNode::start(&last, 1);
    assert_eq!(in_force(admin).1, digest);
}

/// Guards SIGTERM during a reload: requests in flight are answered, the exit code is 0, and the file is applied completely or
/// not at all.
#[test]
fn sigterm_during_a_reload_drains_and_applies_nothing() {
    let released = Arc::new(AtomicBool::new(false));
    let servers = [holding_backend(&released, "one"), holding_backend(&released, "one")];
    let two = backend("two");
    let pools = pool("one", &[("a", servers[0].address), ("b", servers[1].address)])
        + &pool("two", &[("c", two.address)]);
    let base = text(&pools) + &many_routes(5_000);
    let mut node = StandaloneNode::start(&base, 1);
    let mut early = send(&node, "/one/slow");
    wait_for("the slow request", || servers.iter().map(Backend::count).sum::<usize>() == 1);
    node.replace(&format!(
        "{base}listener late {{ address 127.0.0.1:0 }}\nclass other {{ aim 1s; deadline 2s; repeats safe }}\n"
    ));
    node.signal("HUP");
    node.signal("TERM");
    wait_for("the listener to close", || TcpStream::connect(node.address()).is_err());
    released.store(true, Ordering::SeqCst);
    let answer = early.read().expect("a response");
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    assert_eq!(node.wait().code(), Some(0));
    // The file was applied completely before the drain began, or not at all.
    assert_eq!(node.count_log_lines("reload: done"), node.count_log_lines("reload: class other: added"));
}

/// Few enough that each is logged: of each kind of message the log has the first ten in ten seconds.
const RELOADS: u32 = 9;

/// Guards a node under load whose file changes repeatedly, in a pool that has no load: no request is rejected or lost.
#[test]
fn repeated_reloads_under_load_disturb_no_other_pool() {
    let servers: Vec<_> = (0..4).map(|_| backend("one")).collect();
    let (two, three) = (backend("two"), backend("three"));
    let names = ["a", "b", "c", "d"];
    let ones: Vec<_> = names.into_iter().zip(servers.iter().map(|server| server.address)).collect();
    let with = |server: &Backend, weight: u32| {
        let pools = pool("one", &ones) + &pool("two", &[("e", server.address)]);
        text(&(pools.replace("server e {", &format!("server e {{ weight {weight};"))))
    };
    let node = StandaloneNode::start(&with(&two, 1), 1);
    let load = LoadClients::with_requests(node.address(), 3, || get("/one/x"));
    for round in 0..RELOADS {
        let server = if round % 2 == 0 { &three } else { &two };
        node.reload(&with(server, 1 + round));
        thread::sleep(Duration::from_millis(100));
    }
    let statuses = load.stop();
    assert_eq!(node.count_log_lines("pools: 1 kept, 1 updated, 0 started"), RELOADS as usize);
    assert!(statuses.len() > 100, "{}", statuses.len());
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
}
