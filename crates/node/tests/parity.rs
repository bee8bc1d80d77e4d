//! The same scenarios over HTTP and FastCGI on either side: same final answers, same number of attempts, same count of
//! effects. A difference is a failure that names scenario and pairing.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use pumicehead_rig::board::{Act, Asked, Asker, Boards, Speaks, served};
use pumicehead_rig::program::{Standalone, wait_for};
use pumicehead_rig::scripted::refusing;

/// What a client asks.
#[derive(Clone, Copy)]
struct Ask {
    method: &'static str,
    target: &'static str,
    fields: &'static str,
    body: &'static [u8],
}

const READ: Ask = Ask { method: "GET", target: "/boards/any?x=1", fields: "", body: b"" };
const SUBMIT: Ask = Ask { method: "POST", target: "/runs/any", fields: "", body: b"time=1:02" };
const EDIT: Ask = Ask { method: "PUT", target: "/edits/7", fields: "Idempotency-Key: 7\r\n", body: b"x" };

/// What must come of it.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Seen {
    status: u16,
    body: Vec<u8>,
    /// Fields that count, where they are there.
    fields: Vec<String>,
    attempts: u32,
    effects: u32,
}

struct Scenario {
    name: &'static str,
    ask: Ask,
    /// What servers do with the first request that reaches them, the second, and all others.
    acts: Vec<Act>,
    /// Servers, of which this many refuse connections.
    servers: usize,
    refusing: usize,
    status: u16,
    body: &'static str,
    /// Attempts that must reach servers; `None` where the module may choose, the same under all pairings.
    attempts: Option<u32>,
    field: Option<&'static str>,
}

impl Scenario {
    fn of(
        name: &'static str,
        ask: Ask,
        acts: Vec<Act>,
        status: u16,
        body: &'static str,
        attempts: u32,
    ) -> Self {
        Self { name, ask, acts, servers: 2, refusing: 0, status, body, attempts: Some(attempts), field: None }
    }

    fn field(self, field: &'static str) -> Self {
        Self { field: Some(field), ..self }
    }
}

fn scenarios() -> Vec<Scenario> {
    let of = Scenario::of;
    let ok = || served("rank 1");
    let away = || Act::Answer(503, "X-Unprocessed: 1\r\n", "");
    let error = || Act::Answer(500, "X-Why: disk\r\n", "broken");
    let mut list = vec![
        of("a read is served", READ, vec![ok()], 200, "rank 1", 1),
        of("a submit is served", SUBMIT, vec![ok()], 200, "rank 1", 1),
        of("an edit is served", EDIT, vec![ok()], 200, "rank 1", 1),
        of("an error on a submit is final", SUBMIT, vec![error(), ok()], 500, "broken", 1)
            .field("x-why: disk"),
        of("an error on a read is tried again", READ, vec![error(), ok()], 200, "rank 1", 2),
        of("an error on an edit is tried again", EDIT, vec![error(), ok()], 200, "rank 1", 2),
        of("a submit that was turned away is tried again", SUBMIT, vec![away(), ok()], 200, "rank 1", 2),
        of("a read that was turned away is tried again", READ, vec![away(), ok()], 200, "rank 1", 2),
        of(
            "503 alone on a submit is final",
            SUBMIT,
            vec![Act::Answer(503, "", "busy"), ok()],
            503,
            "busy",
            1,
        ),
        of(
            "429 alone on a submit is final",
            SUBMIT,
            vec![Act::Answer(429, "", "slow"), ok()],
            429,
            "slow",
            1,
        ),
        of("a submit to a silent server is sent once", SUBMIT, vec![Act::Silent], 504, "", 1),
        of("404 is an answer", READ, vec![Act::Answer(404, "", "none")], 404, "none", 1),
        of("501 is an answer", SUBMIT, vec![Act::Answer(501, "", "no")], 501, "no", 1),
        of("204 has no body", SUBMIT, vec![Act::Answer(204, "", "")], 204, "", 1),
        of("304 has no body", READ, vec![Act::Answer(304, "ETag: \"7\"\r\n", "")], 304, "", 1)
            .field("etag: \"7\""),
        of("a redirect passes", READ, vec![Act::Answer(302, "Location: /other\r\n", "")], 302, "", 1)
            .field("location: /other"),
        of("an answer by single bytes is whole", SUBMIT, vec![Act::ByBytes("rank 1")], 200, "rank 1", 1),
        of("no route", Ask { target: "/nowhere", ..READ }, vec![ok()], 404, "no such class or path", 0),
        of(
            "no route for this method",
            Ask { method: "DELETE", ..READ },
            vec![ok()],
            405,
            "method not allowed",
            0,
        ),
        of(
            "dots in the path",
            Ask { target: "/boards/%2e%2e/x", ..READ },
            vec![ok()],
            400,
            "the path holds `.` or `..` as a segment",
            0,
        ),
        of(
            "no idempotency key",
            Ask { fields: "", ..EDIT },
            vec![ok()],
            400,
            "header idempotency-key is missing or malformed",
            0,
        ),
        of("too long a body", Ask { body: &[b'x'; 70 << 10], ..SUBMIT }, vec![ok()], 413, "body too long", 0),
        Scenario {
            field: Some("content-length: 700"),
            ..of(
                "HEAD tells a length",
                Ask { method: "HEAD", ..READ },
                vec![Act::Answer(200, "Content-Length: 700\r\n", "")],
                200,
                "",
                1,
            )
        },
        Scenario {
            refusing: 1,
            ..of("a server that refuses has not run a submit", SUBMIT, vec![ok()], 200, "rank 1", 1)
        },
        Scenario {
            servers: 0,
            refusing: 1,
            field: Some("retry-after: "),
            ..of("no server: a refusal", READ, vec![], 503, "", 0)
        },
        Scenario {
            attempts: None,
            field: Some("retry-after: "),
            ..of("turned away by all: a refusal", SUBMIT, vec![away()], 503, "", 0)
        },
    ];
    let broken = [
        ("closes", Act::Close),
        ("cuts a body", Act::CutBody),
        ("cuts a head", Act::CutHead),
        ("sends no head", Act::Garbage),
        ("sends a head without end", Act::EndlessHead),
        ("states too long a body", Act::TooLong),
    ];
    for (what, act) in broken {
        let name = |kind: &str| -> &'static str { format!("a server {what} on a {kind}").leak() };
        list.push(of(name("submit"), SUBMIT, vec![act.clone(), ok()], 502, "", 1));
        list.push(of(name("read"), READ, vec![act, ok()], 200, "rank 1", 2));
    }
    list
}

fn text(front: Speaks, back: Speaks, servers: &[std::net::SocketAddr], more: &str) -> String {
    let one = |(n, address): (usize, &std::net::SocketAddr)| format!("server s{n} {{ address {address} }}\n");
    let servers: String = servers.iter().enumerate().map(one).collect();
    format!(
        "listener public {{ address 127.0.0.1:0; protocol {} }}\n\
         pool boards {{ protocol {}\n {servers} }}\n\
         class read {{ aim 1s; deadline 3s; repeats safe }}\n\
         class submit {{ aim 500ms; deadline 1500ms; worth 10; repeats unsafe }}\n\
         class edit {{ aim 1s; deadline 3s; repeats keyed by Idempotency-Key within pool for 5min }}\n\
         route submit {{ path /runs/**; method POST; class submit; pool boards }}\n\
         route edit {{ path /edits/*; method PUT; class edit; pool boards }}\n\
         route read {{ path /boards/**; class read; pool boards }}\n\
         {more}",
        front.name(),
        back.name(),
    )
}

/// A script that goes by the number of the request; its last act stays.
fn script(acts: Vec<Act>) -> Arc<dyn Fn(&Asked) -> Act + Send + Sync> {
    Arc::new(move |asked| {
        let place = (asked.number as usize).min(acts.len().saturating_sub(1));
        acts.get(place).cloned().unwrap_or(Act::Close)
    })
}

fn pairings() -> impl Iterator<Item = (Speaks, Speaks)> {
    Speaks::ALL.into_iter().flat_map(|front| Speaks::ALL.map(|back| (front, back)))
}

fn play(scenario: &Scenario, front: Speaks, back: Speaks) -> Seen {
    let boards = Boards::new(script(scenario.acts.clone()));
    let live = (0..scenario.servers - scenario.refusing.min(scenario.servers)).map(|_| boards.start(back));
    let mut servers: Vec<_> = live.collect();
    servers.extend((0..scenario.refusing).map(|_| refusing()));
    let node = Standalone::start(&text(front, back, &servers, ""), 1);
    let mut client = Asker::connect(node.address(), front).unwrap();
    let Ask { method, target, fields, body } = scenario.ask;
    let answer = client.ask(method, target, &format!("X-Unit: 1\r\n{fields}"), body);
    let count = |map: &std::collections::BTreeMap<String, u32>| map.values().sum();
    // What is told to a server last may still be on its way there.
    thread::sleep(Duration::from_millis(20));
    let seen = boards.seen();
    let wanted = scenario.field.and_then(|field| answer.fields.iter().find(|line| line.starts_with(field)));
    Seen {
        status: answer.status,
        body: answer.body,
        fields: wanted.into_iter().cloned().collect(),
        attempts: count(&seen.attempts),
        effects: count(&seen.effects),
    }
}

#[test]
fn all_pairings_end_alike() {
    let scenarios = Arc::new(scenarios());
    assert!(scenarios.len() >= 35);
    // Some at once: most of the time is spent waiting.
    let faults: Vec<String> = thread::scope(|scope| {
        let lanes: Vec<_> = (0..4)
            .map(|lane| {
                let scenarios = scenarios.clone();
                scope.spawn(move || {
                    let mut faults = Vec::new();
                    for scenario in scenarios.iter().skip(lane).step_by(4) {
                        let mut first: Option<Seen> = None;
                        for (front, back) in pairings() {
                            let seen = play(scenario, front, back);
                            let pairing = format!("{} ({front:?} to {back:?})", scenario.name);
                            let expected = (scenario.status, scenario.body.as_bytes());
                            if (seen.status, &seen.body[..]) != expected
                                || scenario.field.is_some() != (seen.fields.len() == 1)
                            {
                                faults.push(format!("{pairing}: {seen:?}"));
                            } else if scenario.attempts.is_some_and(|attempts| attempts != seen.attempts) {
                                faults.push(format!("{pairing}: {} attempts", seen.attempts));
                            }
                            let first = first.get_or_insert_with(|| seen.clone());
                            if scenario.attempts.is_some() && *first != seen {
                                faults.push(format!("{pairing}: {seen:?}, but {first:?} before"));
                            }
                        }
                    }
                    faults
                })
            })
            .collect();
        lanes.into_iter().flat_map(|lane| lane.join().unwrap()).collect()
    });
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}

/// Guards the client that goes away: its attempt is called back, and nothing is sent again.
#[test]
fn a_client_that_leaves_has_its_attempt_called_back() {
    for (front, back) in pairings() {
        let boards = Boards::new(script(vec![Act::Silent]));
        let servers = [boards.start(back), boards.start(back)];
        let node = Standalone::start(
            &text(front, back, &servers, "").replace("deadline 1500ms", "deadline 1min"),
            1,
        );
        let mut client = Asker::connect(node.address(), front).unwrap();
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
        let boards =
            Boards::new(script(vec![Act::Later(Duration::from_millis(400), Box::new(served("rank 1")))]));
        let servers = [boards.start(back)];
        let node = Standalone::start(&text(front, back, &servers, "limits { held 1 }\n"), 1);
        let mut first = Asker::connect(node.address(), front).unwrap();
        first.send("GET", "/boards/x", "X-Unit: 1\r\n", b"").unwrap();
        wait_for("the first", || boards.seen().lines.len() == 1);
        let mut second = Asker::connect(node.address(), front).unwrap();
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
        let (leaves, stays) = (Boards::new(script(later())), Boards::new(script(vec![served("stays")])));
        let (one, other) = (leaves.start(back), stays.start(back));
        let mut node = Standalone::start(&text(one), 1);
        let mut client = Asker::connect(node.address(), front).unwrap();
        client.send("POST", "/runs/x", "X-Unit: 1\r\n", b"x").unwrap();
        wait_for("the open request", || leaves.seen().lines.len() == 1);
        node.reload(&text(other).replace("server s0", "server s1"));
        let mut new = Asker::connect(node.address(), front).unwrap();
        assert_eq!(new.ask("POST", "/runs/x", "X-Unit: 2\r\n", b"x").body, b"stays", "{pairing}");
        assert_eq!(client.read("POST").body, b"rank 1", "{pairing}");
        assert_eq!(leaves.seen().lines.len(), 1, "{pairing}");
        let slow = Boards::new(script(later()));
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
        let (steady, returns) = (Boards::new(work()), Boards::new(work()));
        let address = refusing();
        let text = text(front, back, &[steady.start(back), address], "");
        let text = text.replace("pool boards {", "pool boards { warm-up 1h from 1%\n");
        let node = Standalone::start(&text, 1);
        let over = Arc::new(std::sync::atomic::AtomicBool::new(false));
        let clients: Vec<_> = (0..6)
            .map(|_| {
                let (over, address) = (over.clone(), node.address());
                thread::spawn(move || {
                    let mut client = Asker::connect(address, front).unwrap();
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
