//! Tenants that are added, changed and removed by SIGHUP, on loopback sockets: every pool keeps its loop, and no request is
//! rejected or lost.

use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use pumicehead_flight_recorder::event::Event;
use pumicehead_flight_recorder::recording::Recording;
use pumicehead_flight_recorder::timeline_text;
use pumicehead_policy::decision_event::DecisionEvent;
use pumicehead_testbed::program::{LIMIT, StandaloneNode, wait_for};
use pumicehead_testbed::scripted::{Backend, Client, LoadClients, ok};

/// A configuration with one pool and routes with and without tenants. The pool may have several endpoints, so that there is
/// capacity beside requests that hang. Each request has one attempt: a cancelled one would close its connection.
fn text(backends: &[Backend], tenants: &[(&str, u32)]) -> String {
    let numbered = backends.iter().enumerate();
    let servers: String =
        numbered.map(|(n, backend)| format!("server s{n} {{ address {} }}\n", backend.address)).collect();
    let mut text = format!(
        "listener public {{ address 127.0.0.1:0 }}\n\
         pool boards {{ hedge off\n attempts 1\n {servers} }}\n\
         class read {{ aim 5s; deadline 20s; repeats safe }}\n\
         class submit {{ aim 5s; deadline 20s; repeats unsafe }}\n\
         route plain {{ path /plain/**; class read; pool boards }}\n\
         route read {{ path /boards/**; class read; pool boards; tenant header X-Account }}\n\
         route submit {{ path /runs/**; method POST; class submit; pool boards; tenant header X-Account }}\n",
    );
    for (name, rate) in tenants {
        let _ = writeln!(text, "tenant {name} {{ share 10%; rate {rate}/s }}");
    }
    text
}

fn get(path: &str, tenant: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: a\r\nX-Account: {tenant}\r\n\r\n")
}

fn post(path: &str, tenant: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nHost: a\r\nX-Account: {tenant}\r\nContent-Length: 1\r\n\r\nx")
}

fn status(node: &StandaloneNode, request: &str) -> u16 {
    let mut client = Client::connect(node.address());
    client.write(request);
    client.read().expect("a response").status()
}

/// Longer than the time for which a connection to an endpoint rests after a response.
const CONNECTION_REST: Duration = Duration::from_millis(40);

/// Guards that a pool keeps its loop, and with it what it has learned, when tenants change: its one connection stays open.
#[test]
fn tenant_changes_keep_the_pool_loop() {
    let servers = [Backend::start(|_| ok("done"))];
    let node = StandaloneNode::start(&text(&servers, &[("acme", 100)]), 1);
    let changes: [&[(&str, u32)]; 6] = [
        &[("acme", 100), ("zeta", 100)],
        &[("new", 100), ("zeta", 100), ("acme", 100)],
        &[("new", 5), ("acme", 50)],
        &[("zeta", 100)],
        &[("acme", 100)],
        &[("acme", 100), ("a", 1), ("b", 2), ("c", 3)],
    ];
    assert_eq!(status(&node, &get("/plain/x", "")), 200);
    assert_eq!(servers[0].opened(), 1);
    for tenants in changes {
        node.reload(&text(&servers, tenants));
        for (name, _) in tenants {
            thread::sleep(CONNECTION_REST);
            assert_eq!(status(&node, &get("/boards/x", name)), 200);
        }
        assert_eq!(status(&node, &get("/boards/x", "unheard-of")), 400);
        assert_eq!((servers[0].opened(), servers[0].closed()), (1, 0), "{tenants:?}");
    }
}

/// Guards that no request is rejected or lost while a pool is under load and tenants are added, changed, removed, and added
/// again with requests in flight; each non-idempotent request is executed once.
#[test]
fn tenant_changes_under_load_lose_no_request() {
    let (released, executions) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
    let start = |_| {
        let (released, executions) = (released.clone(), executions.clone());
        Backend::start(move |request| {
            if request.first.contains("/slow") {
                executions.fetch_add(1, Ordering::SeqCst);
                wait_for("the release of held requests", || released.load(Ordering::SeqCst));
            }
            ok("done")
        })
    };
    let servers: Vec<_> = (0..4).map(start).collect();
    let served = || servers.iter().map(Backend::count).sum::<usize>();
    let both = [("acme", 100), ("zeta", 100)];
    let node = StandaloneNode::start(&text(&servers, &both), 1);
    let loads = [
        LoadClients::with_requests(node.address(), 2, || get("/boards/x", "acme")),
        LoadClients::with_requests(node.address(), 2, || get("/plain/x", "")),
    ];
    wait_for("load", || served() > 100);

    let progress = |what: &str| {
        let before = served();
        wait_for(what, || served() > before + 50);
    };

    assert_eq!(status(&node, &get("/boards/x", "new")), 400);
    // The new tenant comes before the others in the file, so that their indices change.
    node.reload(&text(&servers, &[("new", 100), ("acme", 100), ("zeta", 100)]));
    assert_eq!(status(&node, &get("/boards/x", "new")), 200);
    progress("load after a tenant was added");

    node.reload(&text(&servers, &[("new", 7), ("acme", 90), ("zeta", 100)]));
    progress("load after tenants were changed");

    let mut waiting: Vec<_> = (0..2).map(|_| Client::connect(node.address())).collect();
    waiting.iter_mut().for_each(|client| client.write(&post("/runs/slow", "zeta")));
    wait_for("requests of the tenant", || executions.load(Ordering::SeqCst) >= waiting.len());
    node.reload(&text(&servers, &[("acme", 90)]));
    assert_eq!(status(&node, &get("/boards/x", "zeta")), 400);
    node.reload(&text(&servers, &both));
    assert_eq!(status(&node, &get("/boards/x", "zeta")), 200);
    progress("load after a tenant was removed and added again");

    released.store(true, Ordering::SeqCst);
    for client in &mut waiting {
        assert_eq!(client.read().expect("a response").status(), 200);
    }
    for load in loads {
        let statuses = load.stop();
        let failed: Vec<_> = statuses.iter().enumerate().filter(|(_, status)| **status != 200).collect();
        assert!(failed.is_empty(), "{failed:?} of {}", statuses.len());
    }
    let executions = executions.load(Ordering::SeqCst);
    assert_eq!(executions, waiting.len(), "a non-idempotent request was executed twice or not at all");
}

/// Returns the recording of the node.
fn recording(node: &StandaloneNode) -> Recording {
    wait_for("the admin listener", || node.count_log_lines("takes admin commands on") == 1);
    let admin = {
        let log = node.log.lock().unwrap();
        log.iter()
            .find_map(|line| line.split_once("takes admin commands on ")?.1.parse::<SocketAddr>().ok())
            .unwrap()
    };
    let mut stream = TcpStream::connect(admin).unwrap();
    stream.set_read_timeout(Some(LIMIT)).unwrap();
    stream.write_all(b"TRACE\n").unwrap();
    let mut answer = BufReader::new(stream);
    answer.read_line(&mut String::new()).unwrap();
    let mut bytes = Vec::new();
    answer.read_to_end(&mut bytes).unwrap();
    Recording::read(&bytes).unwrap()
}

/// Guards that a tenant which has used up its quota gains nothing by being removed and added again: it keeps what it had left,
/// and its requests are recorded under its name.
#[test]
fn a_tenant_removed_and_added_again_keeps_its_used_quota() {
    /// Quota of the tenant below, in requests per second: 12 per minute over all nodes.
    const RATE: f64 = 0.2;
    /// Its initial quota in requests: ten seconds of the rate.
    const INITIAL: f64 = 2.0;
    let servers = [Backend::start(|_| ok("done"))];
    let with = |tenants: &str| text(&servers, &[("other", 1)]) + "observe { calls 127.0.0.1:0 }\n" + tenants;
    let greedy = "tenant greedy { share 0%; rate 12/min }\n";
    let node = StandaloneNode::start(&with(greedy), 1);
    let started = Instant::now();
    let ask = || (0..10).for_each(|_| assert_eq!(status(&node, &get("/boards/x", "greedy")), 200));
    for _ in 0..3 {
        ask();
        node.reload(&with(""));
        node.reload(&with(greedy));
    }
    ask();
    let limit = INITIAL + RATE * started.elapsed().as_secs_f64();
    let recording = recording(&node);
    let weights = recording.records.iter().filter_map(|record| match record.event {
        Event::Decision(DecisionEvent::Classified { priority_weight, .. }) => Some(priority_weight),
        _ => None,
    });
    let (within, over): (Vec<_>, Vec<_>) = weights.partition(|weight| *weight >= 1.0);
    assert_eq!(within.len() + over.len(), 40);
    assert!(
        !within.is_empty() && within.len() as f64 <= limit,
        "{} within the quota of {limit}",
        within.len()
    );
    let texts = recording.timelines.iter().map(|timeline| timeline_text::render(&recording.header, timeline));
    assert!(texts.into_iter().any(|text| text.contains("Tenant: greedy.")));
}

/// Guards that a tenant that was added by a reload keeps what it had left of its quota when others are put before it in the
/// file, and that it is recorded under its name: its id is not its index.
#[test]
fn a_tenant_keeps_its_used_quota_when_others_come_before_it() {
    /// Quota of the tenant below, in requests per second: 12 per minute over all nodes.
    const RATE: f64 = 0.2;
    /// Its initial quota in requests: ten seconds of the rate.
    const INITIAL: f64 = 2.0;
    let servers = [Backend::start(|_| ok("done"))];
    let with = |others: &[(&str, u32)], greedy: &str| {
        text(&servers, others) + "observe { calls 127.0.0.1:0 }\n" + greedy
    };
    let greedy = "tenant greedy { share 0%; rate 12/min }\n";
    let node = StandaloneNode::start(&with(&[("a", 1)], ""), 1);
    let started = Instant::now();
    let others: [&[(&str, u32)]; 4] =
        [&[("a", 1)], &[("a", 1), ("b", 1)], &[], &[("c", 1), ("d", 1), ("a", 1)]];
    for others in others {
        node.reload(&with(others, greedy));
        (0..10).for_each(|_| assert_eq!(status(&node, &get("/boards/x", "greedy")), 200));
    }
    let limit = INITIAL + RATE * started.elapsed().as_secs_f64();
    let recording = recording(&node);
    let weights = recording.records.iter().filter_map(|record| match record.event {
        Event::Decision(DecisionEvent::Classified { priority_weight, .. }) => Some(priority_weight),
        _ => None,
    });
    let (within, over): (Vec<_>, Vec<_>) = weights.partition(|weight| *weight >= 1.0);
    assert_eq!(within.len() + over.len(), 40);
    assert!(
        !within.is_empty() && within.len() as f64 <= limit,
        "{} within the quota of {limit}",
        within.len()
    );
    let mut texts =
        recording.timelines.iter().map(|timeline| timeline_text::render(&recording.header, timeline));
    assert!(texts.any(|text| text.contains("Tenant: greedy.")));
}
