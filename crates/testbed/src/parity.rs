//! Scenarios that must end alike over HTTP and FastCGI, on either side of a node: same final answers, same number of
//! attempts, same count of effects.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::program::Standalone;
use crate::scripted::refusing;
use crate::scripted_backend::{
    Act, Protocol, ProtocolClient, Script, ScriptedBackends, ScriptedRequest, served,
};

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
pub struct Seen {
    /// The final answer's.
    pub status: u16,
    /// Its body.
    pub body: Vec<u8>,
    /// Fields that count, where they are there.
    pub fields: Vec<String>,
    /// Whole requests that reached servers.
    pub attempts: u32,
    /// Those that change something.
    pub effects: u32,
}

/// One of them.
pub struct Scenario {
    /// Its name.
    pub name: &'static str,
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

/// All of them.
#[must_use]
pub fn scenarios() -> Vec<Scenario> {
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

/// A node's configuration; `more` goes to the end.
#[must_use]
pub fn text(front: Protocol, back: Protocol, servers: &[SocketAddr], more: &str) -> String {
    let one = |(n, address): (usize, &SocketAddr)| format!("server s{n} {{ address {address} }}\n");
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
#[must_use]
pub fn script(acts: Vec<Act>) -> Script {
    Arc::new(move |asked: &ScriptedRequest| {
        let place = (asked.number as usize).min(acts.len().saturating_sub(1));
        acts.get(place).cloned().unwrap_or(Act::Close)
    })
}

/// What a node's clients and its servers may speak.
pub fn pairings() -> impl Iterator<Item = (Protocol, Protocol)> {
    Protocol::ALL.into_iter().flat_map(|front| Protocol::ALL.map(|back| (front, back)))
}

/// Plays one once.
///
/// # Panics
/// Where no node starts.
#[must_use]
pub fn play(scenario: &Scenario, front: Protocol, back: Protocol) -> Seen {
    let boards = ScriptedBackends::new(script(scenario.acts.clone()));
    let live = (0..scenario.servers - scenario.refusing.min(scenario.servers)).map(|_| boards.start(back));
    let mut servers: Vec<_> = live.collect();
    servers.extend((0..scenario.refusing).map(|_| refusing()));
    let node = Standalone::start(&text(front, back, &servers, ""), 1);
    let mut client = ProtocolClient::connect(node.address(), front).unwrap();
    let Ask { method, target, fields, body } = scenario.ask;
    let answer = client.ask(method, target, &format!("X-Unit: 1\r\n{fields}"), body);
    let count = |map: &BTreeMap<String, u32>| map.values().sum();
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

/// Plays one over all pairings: what each gave, and faults, which name scenario and pairing.
#[must_use]
pub fn compare(scenario: &Scenario) -> (Vec<Seen>, Vec<String>) {
    let mut all: Vec<Seen> = Vec::new();
    let mut faults = Vec::new();
    for (front, back) in pairings() {
        let seen = play(scenario, front, back);
        let pairing = format!("{} ({front:?} to {back:?})", scenario.name);
        let expected = (scenario.status, scenario.body.as_bytes());
        if (seen.status, &seen.body[..]) != expected || scenario.field.is_some() != (seen.fields.len() == 1) {
            faults.push(format!("{pairing}: {seen:?}"));
        } else if scenario.attempts.is_some_and(|attempts| attempts != seen.attempts) {
            faults.push(format!("{pairing}: {} attempts", seen.attempts));
        }
        if let Some(first) = all.first().filter(|first| scenario.attempts.is_some() && **first != seen) {
            faults.push(format!("{pairing}: {seen:?}, but {first:?} before"));
        }
        all.push(seen);
    }
    (all, faults)
}

/// Plays all, some at once, as most of the time is spent waiting: what each gave under each pairing, and faults.
///
/// # Panics
/// Where no node starts.
#[must_use]
pub fn compare_all() -> (Vec<(&'static str, Vec<Seen>)>, Vec<String>) {
    let scenarios = scenarios();
    let next = std::sync::atomic::AtomicUsize::new(0);
    let mut played: Vec<_> = thread::scope(|scope| {
        let lane = || {
            let mut mine = Vec::new();
            loop {
                let place = next.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
                let Some(scenario) = scenarios.get(place) else { return mine };
                mine.push((place, scenario.name, compare(scenario)));
            }
        };
        let lanes: Vec<_> = (0..4).map(|_| scope.spawn(lane)).collect();
        lanes.into_iter().flat_map(|lane| lane.join().expect("a lane")).collect()
    });
    played.sort_by_key(|(place, ..)| *place);
    let mut faults = Vec::new();
    let mut table = Vec::new();
    for (_, name, (seen, wrong)) in played {
        table.push((name, seen));
        faults.extend(wrong);
    }
    (table, faults)
}
