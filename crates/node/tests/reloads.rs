//! Changes of the configuration of a running standalone node, on loopback sockets: pools that a change does
//! not concern keep their loops, each revision is applied whole or not at all, and requests in flight end under the rules
//! that they were admitted under.

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
use pumicehead_testbed::program::{LIMIT, Standalone, wait_for};
use pumicehead_testbed::scripted::{Act, Backend, Client, Crowd, Message, ok, refusing};

/// A pool with these servers.
fn pool(name: &str, servers: &[(&str, SocketAddr)]) -> String {
    let servers = servers.iter().map(|(name, address)| format!("server {name} {{ address {address} }}; "));
    format!("pool {name} {{ {} }}\n", servers.collect::<String>())
}

/// One listener on any free port, two classes, a route to each of two pools.
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

/// The same with an admin address.
fn with_admin(text: &str) -> (String, SocketAddr) {
    let address = refusing();
    (format!("{text}observe {{ calls {address}; recorder 1MiB }}\n"), address)
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: a\r\n\r\n")
}

fn ask(node: &Standalone, path: &str) -> Message {
    let mut client = Client::connect(node.address());
    client.write(&get(path));
    client.read().expect("an answer")
}

/// The whole reply to an admin command.
fn admin_command(admin: SocketAddr, line: &str) -> Vec<u8> {
    let mut caller = TcpStream::connect(admin).expect("an admin connection");
    caller.set_read_timeout(Some(LIMIT)).expect("a time-out");
    caller.write_all(format!("{line}\n").as_bytes()).expect("a line");
    let mut answer = Vec::new();
    caller.read_to_end(&mut answer).expect("an answer");
    answer
}

/// The revision in force with its digest, by the reply to `CONFIG`.
fn in_force(admin: SocketAddr) -> (u64, String) {
    let answer = String::from_utf8(admin_command(admin, "CONFIG")).expect("text");
    let words: Vec<_> = answer.split_whitespace().collect();
    let [ok, "revision", revision, "digest", digest] = words[..] else { panic!("{answer}") };
    assert_eq!(ok, "OK");
    (revision.parse().expect("a number"), digest.to_owned())
}

/// A server that keeps requests for `slow` until the gate opens.
fn gated(gate: &Arc<AtomicBool>, body: &'static str) -> Backend {
    let gate = gate.clone();
    Backend::start(move |request| {
        if request.first.contains("/slow") {
            wait_for("the gate", || gate.load(Ordering::SeqCst));
        }
        ok(body)
    })
}

fn plain(body: &'static str) -> Backend {
    Backend::start(move |_| ok(body))
}

/// A request for something slow that is out at a server.
fn slow(node: &Standalone, path: &str) -> Client {
    let mut client = Client::connect(node.address());
    client.write(&get(path));
    client
}

/// Guards that a change updates only what it names.
#[test]
fn a_change_updates_only_the_pools_it_names() {
    let (one, two, more) = (plain("one"), plain("two"), plain("more"));
    let pools = pool("one", &[("a", one.address)]) + &pool("two", &[("b", two.address)]);
    let before = text(&pools);
    let node = Standalone::start(&before, 1);
    // Its meaning is the same.
    node.reload(&format!("# nothing new\n{}", before.replace("; ", ";\n  ")));
    wait_for("no change", || node.said("0 changes; revision 1,") == 1);
    assert_eq!(node.said("pools: 2 kept, 0 updated, 0 started"), 1);
    let grown = text(
        &(pool("one", &[("a", one.address), ("c", more.address)]) + &pool("two", &[("b", two.address)])),
    );
    node.reload(&grown);
    assert_eq!(node.said("revision 2,"), 1);
    assert_eq!(node.said("pools: 1 kept, 1 updated, 0 started"), 1);
    // Other routes of the same classes need other decisions of no pool, and neither does another order.
    node.reload(&grown.replace("path /two/**", "path /second/**"));
    assert_eq!(node.said("pools: 2 kept, 0 updated, 0 started"), 2);
    assert_eq!((ask(&node, "/second/x").status(), ask(&node, "/two/x").status()), (200, 404));
    // A class that is new in a pool, and one whose worth changed, are taken in place.
    node.reload(
        &grown.replace("class submit; pool one", "class submit; pool two").replace("aim 5s", "aim 4s"),
    );
    assert_eq!(node.said("pools: 0 kept, 2 updated, 0 started"), 1);
    assert_eq!(node.said("started") - node.said("0 started"), 0);
}

/// Guards the order of routes: another order is a change of its own that concerns no pool.
#[test]
fn reordered_routes_change_no_pool() {
    let (one, two) = (plain("one"), plain("two"));
    let pools = pool("one", &[("a", one.address)]) + &pool("two", &[("b", two.address)]);
    let (first, second) = (
        "route all { path /*/x; class read; pool two }\n",
        "route some { path /some/*; class read; pool one }\n",
    );
    let (base, admin) = with_admin(&text(&pools));
    let node = Standalone::start(&format!("{base}{first}{second}"), 1);
    assert_eq!(ask(&node, "/some/x").body, b"two");
    let (_, digest) = in_force(admin);
    node.reload(&format!("{base}{second}{first}"));
    assert_eq!(ask(&node, "/some/x").body, b"one");
    assert_eq!(node.said("now before route"), 1);
    assert_eq!(node.said("pools: 2 kept, 0 updated, 0 started"), 1);
    let (revision, other) = in_force(admin);
    assert_eq!(revision, 2);
    assert_ne!(other, digest);
    // Back again it is the state that it was, under a number of its own.
    node.reload(&format!("{base}{first}{second}"));
    assert_eq!(in_force(admin), (3, digest));
}

/// Guards the digest: a node that came to a state by changes, and one that began with it in another form, say the same;
/// log, metrics and replies agree.
#[test]
fn the_digest_depends_on_the_state_alone() {
    let (one, two) = (plain("one"), plain("two"));
    let pools = pool("one", &[("a", one.address)]) + &pool("two", &[("b", two.address)]);
    let (base, admin) = with_admin(&text(&pools));
    let node = Standalone::start(&base, 1);
    let changed = base.replace("aim 5s", "aim 3s");
    node.reload(&changed);
    node.reload(&changed.replace("/submit/**", "/send/**"));
    node.reload(&changed);
    let (revision, digest) = in_force(admin);
    assert_eq!(revision, 4);
    assert!(node.said(&format!("revision 4, digest {digest}")) == 1);
    let metrics = String::from_utf8(admin_command(admin, "METRICS")).expect("text");
    assert!(metrics.contains("pumicehead_config_revision 4\n"), "{metrics}");
    let short = u64::from_str_radix(&digest[..13], 16).expect("a digest");
    let value = metrics.lines().find_map(|line| line.strip_prefix("pumicehead_config_digest "));
    assert_eq!(value.and_then(|value| value.parse::<f64>().ok()), Some(short as f64), "{metrics}");
    // Listeners, pools, classes in another order, with comments and other spacing.
    let lines: Vec<_> = changed.lines().collect();
    let routes = lines.iter().filter(|line| line.starts_with("route"));
    let others = lines.iter().rev().filter(|line| !line.starts_with("route"));
    let other_form: String =
        others.chain(routes).map(|line| format!("# a comment\n{}\n", line.replace(' ', "  "))).collect();
    drop(node);
    let twin = Standalone::start(&other_form, 1);
    assert_eq!(in_force(admin), (1, digest));
    drop(twin);
}

/// Guards that each request's recording names the revision that it was admitted under.
#[test]
fn a_recording_names_the_revision_of_each_request() {
    let gate = Arc::new(AtomicBool::new(false));
    let servers = [gated(&gate, "one"), gated(&gate, "one")];
    let two = plain("two");
    let pools = pool("one", &[("a", servers[0].address), ("b", servers[1].address)])
        + &pool("two", &[("c", two.address)]);
    let (base, admin) = with_admin(&text(&pools));
    let node = Standalone::start(&base, 1);
    admin_command(admin, "RECORD full");
    let mut early = slow(&node, "/one/slow");
    wait_for("the slow request", || servers.iter().map(Backend::count).sum::<usize>() == 1);
    node.reload(&base.replace("aim 5s", "aim 3s"));
    assert_eq!(ask(&node, "/two/x").status(), 200);
    gate.store(true, Ordering::SeqCst);
    assert_eq!(early.read().expect("an answer").status(), 200);
    let answer = admin_command(admin, "TRACE");
    let line = answer.iter().position(|&byte| byte == b'\n').expect("a first line");
    let dump = Recording::read(&answer[line + 1..]).expect("a recording");
    let mut revisions: Vec<_> = dump
        .timelines
        .iter()
        .flat_map(|story| decode_records(&story.encoded_events).0)
        .filter_map(|record| match record.event {
            Event::RequestAdmitted { revision, .. } => Some(revision),
            _ => None,
        })
        .collect();
    revisions.sort_unstable();
    assert_eq!(revisions, [Some(1), Some(2)]);
}

/// Guards requests that a pool holds when it is removed: each has one answer, and its servers get nothing new once the
/// drain is over.
#[test]
fn a_removed_pool_answers_its_queued_requests() {
    let gate = Arc::new(AtomicBool::new(false));
    let (one, two) = (gated(&gate, "one"), plain("two"));
    let pools = pool("one", &[("a", one.address)]) + &pool("two", &[("b", two.address)]);
    let before =
        text(&pools).replace("route one", "route gone { path /gone/**; class read; pool two }\nroute one");
    let node = Standalone::start(&before, 1);
    let mut out = slow(&node, "/one/slow");
    wait_for("the one that is out", || one.count() == 1);
    // Its one place is taken: these are held.
    let mut held: Vec<_> = (0..3).map(|_| slow(&node, "/one/held")).collect();
    let stays = |line: &&str| !line.contains("pool one");
    let after: String = before.lines().filter(stays).map(|line| format!("{line}\n")).collect();
    node.reload(&after);
    assert_eq!(node.said("reload: pool one: removed"), 1, "{after}");
    assert_eq!(ask(&node, "/one/x").status(), 404);
    assert_eq!(ask(&node, "/two/x").body, b"two");
    gate.store(true, Ordering::SeqCst);
    assert_eq!(out.read().expect("an answer").body, b"one");
    for client in &mut held {
        let answer = client.read().expect("an answer");
        // One that was still held when the drain was over is refused.
        assert!(matches!(answer.status(), 200 | 502 | 503), "{}", answer.status());
    }
    wait_for("closed connections", || one.closed() >= 1);
}

/// Guards a class that becomes unsafe, or ordered, while its requests are out: those end by the rules that they were
/// admitted under, and new ones go by the new rules.
#[test]
fn requests_in_flight_keep_the_class_rules_they_were_admitted_under() {
    for rule in ["repeats unsafe", "repeats safe; order key"] {
        let gate = Arc::new(AtomicBool::new(false));
        let cut = |gate: &Arc<AtomicBool>| {
            let gate = gate.clone();
            Backend::start(move |request| {
                if request.first.contains("/slow") {
                    wait_for("the gate", || gate.load(Ordering::SeqCst));
                }
                if request.first.contains("/cut") {
                    return Act::WriteAndClose("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf".into());
                }
                ok("one")
            })
        };
        let servers = [cut(&gate), cut(&gate)];
        let two = plain("two");
        let pools = pool("one", &[("a", servers[0].address), ("b", servers[1].address)])
            + &pool("two", &[("c", two.address)]);
        let seen = |path: &str| {
            let count = |server: &Backend| {
                let seen = server.seen.lock().expect("what came");
                seen.iter().filter(|message| message.first.contains(path)).count()
            };
            servers.iter().map(count).sum::<usize>()
        };
        let before = text(&pools).replace("class read; pool", "key last-segment; class read; pool");
        let node = Standalone::start(&before, 1);
        let mut early = slow(&node, "/one/slow-cut/cut");
        wait_for("the one that is out", || seen("/slow-cut") == 1);
        let after = before.replace("deadline 20s; repeats safe", &format!("deadline 20s; {rule}"));
        node.reload(&after);
        assert_eq!(node.said("pools: 0 kept, 0 updated, 2 started"), 1, "{rule}");
        gate.store(true, Ordering::SeqCst);
        // It was admitted as safe: it is sent again, and refused when that has no end.
        assert_eq!(early.read().expect("an answer").status(), 503);
        assert!(seen("/slow-cut") > 1, "{rule}");
        let late = ask(&node, "/one/late/cut").status();
        match rule {
            "repeats unsafe" => assert_eq!((late, seen("/late")), (502, 1), "{rule}"),
            _ => assert!(late == 503 && seen("/late") > 1, "{rule}: {late} after {}", seen("/late")),
        }
        wait_for("other requests", || ask(&node, "/one/x").status() == 200);
    }
}

/// Guards a backend that moves to another pool under its name, or to another zone: its open requests are answered, and
/// new ones reach it by its new pool alone.
#[test]
fn a_backend_that_changes_pool_or_zone_answers_its_open_requests() {
    let gate = Arc::new(AtomicBool::new(false));
    let moving = gated(&gate, "moving");
    let (one, two) = (plain("one"), plain("two"));
    let zones = "node { zones east west; zone east }\n";
    let server = |name: &str, address: SocketAddr, zone: &str| {
        format!("server {name} {{ address {address}; zone {zone} }}\n")
    };
    let pools = |ones: &[String], twos: &[String]| {
        let text = text(&format!("pool one {{ {} }}\npool two {{ {} }}\n", ones.concat(), twos.concat()));
        format!("{zones}{text}")
    };
    let (fixed_one, fixed_two) = (server("a", one.address, "east"), server("b", two.address, "east"));
    let mover = |zone: &str| server("m", moving.address, zone);
    let node =
        Standalone::start(&pools(&[fixed_one.clone(), mover("east")], std::slice::from_ref(&fixed_two)), 1);
    let mut out = Vec::new();
    wait_for("an open request at the one that moves", || {
        // Each of the two has one place at first; what the other gets is answered at once.
        out.push(slow(&node, "/one/slow"));
        moving.count() > 0
    });
    node.reload(&pools(&[fixed_one.clone(), mover("west")], std::slice::from_ref(&fixed_two)));
    assert_eq!(node.said("zone east -> west"), 1);
    assert_eq!(node.said("pools: 1 kept, 1 updated, 0 started"), 1);
    // In place of the one that was there: it is reached by its new pool, or nothing is.
    node.reload(&pools(&[fixed_one], &[mover("west")]));
    assert_eq!(node.said("pools: 0 kept, 2 updated, 0 started"), 1);
    let before = moving.count();
    for _ in 0..20 {
        assert_eq!(ask(&node, "/one/x").body, b"one");
    }
    assert_eq!(moving.count(), before);
    gate.store(true, Ordering::SeqCst);
    for mut client in out {
        assert_eq!(client.read().expect("an answer").status(), 200);
    }
    wait_for("a request by way of the other pool", || ask(&node, "/two/x").body == b"moving");
}

/// Guards a change that can't be used half way: of all that it names nothing stays, and the revision is the old one.
#[test]
fn a_rejected_change_leaves_the_old_revision_in_force() {
    let (one, two, other) = (plain("one"), plain("two"), plain("other"));
    let pools =
        |second: &Backend| pool("one", &[("a", one.address)]) + &pool("two", &[("b", second.address)]);
    let (before, admin) = with_admin(&text(&pools(&two)));
    let node = Standalone::start(&before, 1);
    let state = in_force(admin);
    let taken = TcpListener::bind("127.0.0.1:0").expect("a socket");
    let clash = taken.local_addr().expect("an address");
    let free = refusing();
    let change = before
        .replace(&two.address.to_string(), &other.address.to_string())
        .replace("path /one/**", "path /first/**")
        .replace("aim 5s", "aim 1s");
    // The free one is bound first, and closed again.
    let listeners = format!("listener free {{ address {free} }}\nlistener clash {{ address {clash} }}\n");
    node.reload(&format!("{listeners}{change}"));
    assert_eq!(node.said(&format!("listen on {clash}")), 1);
    assert_eq!(node.said("reload: the old configuration stays"), 1);
    assert_eq!(in_force(admin), state);
    assert!(TcpStream::connect(free).is_err());
    assert_eq!((ask(&node, "/one/x").body, ask(&node, "/two/x").body), (b"one".to_vec(), b"two".to_vec()));
    assert_eq!(ask(&node, "/first/x").status(), 404);
    assert_eq!(other.count(), 0);
    // Without the listeners it is used as a whole.
    drop(taken);
    node.reload(&change);
    assert_eq!(in_force(admin).0, state.0 + 1);
    assert_eq!((ask(&node, "/first/x").status(), ask(&node, "/one/x").status()), (200, 404));
    // A server that is new is cold, and may refuse at first.
    wait_for("the other server", || ask(&node, "/two/x").body == b"other");
    assert_eq!(two.count(), 1);
}

/// Many routes: reading them takes a while.
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

/// Guards signals that come while a file is read: they count as one further reading, and the last file is in force in
/// the end, as a node has it that never had another.
#[test]
fn signals_during_a_reload_cause_one_more_reload() {
    let (one, two) = (plain("one"), plain("two"));
    let pools = pool("one", &[("a", one.address)]) + &pool("two", &[("b", two.address)]);
    let (base, admin) = with_admin(&(text(&pools) + &many_routes(3_000)));
    let node = Standalone::start(&base, 1);
    let last = base.replace("path /two/**", "path /third/**");
    // Two in one moment, and a third while these are read.
    node.replace(&base.replace("path /two/**", "path /first/**"));
    node.signal("HUP");
    node.replace(&base.replace("path /two/**", "path /second/**"));
    node.signal("HUP");
    node.replace(&last);
    for _ in 0..20 {
        node.signal("HUP");
    }
    wait_for("the last file", || ask(&node, "/third/x").status() == 200);
    // One more answers once all before it are done.
    let done = node.said("reload: done");
    node.signal("HUP");
    wait_for("one more reading", || node.said("reload: done") > done);
    // Of 22 signals in a moment some became one.
    assert!(node.said("reload: done") < 22, "{}", node.said("reload: done"));
    assert_eq!((ask(&node, "/two/x").status(), ask(&node, "/second/x").status()), (404, 404));
    let (revision, digest) = in_force(admin);
    assert!(revision <= 4, "{revision}");
    drop(node);
    let _twin = Standalone::start(&last, 1);
    assert_eq!(in_force(admin).1, digest);
}

/// Guards SIGTERM while a file is read: what was taken is answered, the process ends with 0, and nothing of the file is
/// applied after that.
#[test]
fn sigterm_during_a_reload_drains_and_applies_nothing() {
    let gate = Arc::new(AtomicBool::new(false));
    let servers = [gated(&gate, "one"), gated(&gate, "one")];
    let two = plain("two");
    let pools = pool("one", &[("a", servers[0].address), ("b", servers[1].address)])
        + &pool("two", &[("c", two.address)]);
    let base = text(&pools) + &many_routes(5_000);
    let mut node = Standalone::start(&base, 1);
    let mut early = slow(&node, "/one/slow");
    wait_for("the slow request", || servers.iter().map(Backend::count).sum::<usize>() == 1);
    node.replace(&format!(
        "{base}listener late {{ address 127.0.0.1:0 }}\nclass other {{ aim 1s; deadline 2s; repeats safe }}\n"
    ));
    node.signal("HUP");
    node.signal("TERM");
    wait_for("no more connections", || TcpStream::connect(node.address()).is_err());
    gate.store(true, Ordering::SeqCst);
    let answer = early.read().expect("an answer");
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    assert_eq!(node.wait().code(), Some(0));
    // Applied whole before the end began, or not at all.
    assert_eq!(node.said("reload: done"), node.said("reload: class other: added"));
}

/// As many as the log tells one by one: of one kind of message it has the first ten in ten seconds.
const RELOADS: u32 = 9;

/// Guards a node under load whose file changes all the time in a pool that the load does not go to: not one request is
/// refused or lost.
#[test]
fn repeated_reloads_under_load_disturb_no_other_pool() {
    let servers: Vec<_> = (0..4).map(|_| plain("one")).collect();
    let (two, three) = (plain("two"), plain("three"));
    let names = ["a", "b", "c", "d"];
    let ones: Vec<_> = names.into_iter().zip(servers.iter().map(|server| server.address)).collect();
    let with = |server: &Backend, weight: u32| {
        let pools = pool("one", &ones) + &pool("two", &[("e", server.address)]);
        text(&(pools.replace("server e {", &format!("server e {{ weight {weight};"))))
    };
    let node = Standalone::start(&with(&two, 1), 1);
    let crowd = Crowd::asking(node.address(), 3, || get("/one/x"));
    for round in 0..RELOADS {
        let server = if round % 2 == 0 { &three } else { &two };
        node.reload(&with(server, 1 + round));
        thread::sleep(Duration::from_millis(100));
    }
    let answers = crowd.end();
    assert_eq!(node.said("pools: 1 kept, 1 updated, 0 started"), RELOADS as usize);
    assert!(answers.len() > 100, "{}", answers.len());
    assert!(answers.iter().all(|status| *status == 200), "{answers:?}");
}
