//! Injected faults of servers, limits and classes, and the cause that a recording ranks first for each.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use pumicehead_flight_recorder::findings::{Finding, Subject, Symptom, find};
use pumicehead_flight_recorder::recording::Recording;

use super::SERVERS;
use super::node::{Admin, configuration};
use crate::program::StandaloneNode;
use crate::report::Report;
use crate::scripted::{Act, Backend, Client, ok};

/// Time that a healthy server takes for a request.
const SERVICE_TIME: Duration = Duration::from_millis(20);
/// Clients that send one request after another.
const CLIENTS: usize = 12;
/// Length of the load.
const LOAD_SPAN: Duration = Duration::from_millis(2_500);
/// Pause of a client after a request that was not served.
const PAUSE_AFTER_ERROR: Duration = Duration::from_millis(10);

/// An injected fault, and the cause that a recording must name.
struct Fault {
    name: &'static str,
    /// What the other servers do.
    healthy: fn() -> Act,
    /// What the faulty server does.
    faulty: fn() -> Act,
    /// Classes and limits of the configuration.
    classes: &'static str,
    limits: &'static str,
    /// Clients beyond [`CLIENTS`].
    more_clients: usize,
    /// Whether a finding names the fault.
    is_named_by: fn(&Recording, &Finding) -> bool,
}

const CLASSES: &str = "class read { aim 200ms; deadline 400ms; repeats safe }\n\
                       class submit { aim 200ms; deadline 400ms; worth 10; repeats unsafe }";

/// Answers after [`SERVICE_TIME`].
fn answer_in_time() -> Act {
    thread::sleep(SERVICE_TIME);
    ok("done")
}

/// Returns 30 to 70 ms, varying from call to call.
fn varied_service_time() -> Duration {
    static CALLS: AtomicU64 = AtomicU64::new(0);
    Duration::from_millis(30 + CALLS.fetch_add(1, Ordering::Relaxed) * 17 % 41)
}

/// Returns whether a finding is about the faulty server.
fn is_faulty_server(recording: &Recording, finding: &Finding, symptom: Symptom) -> bool {
    let last = format!("s{}", SERVERS - 1);
    finding.symptom == symptom
        && matches!(finding.subject, Subject::Endpoint(pool, id) if recording.header.endpoint_name(pool, id) == last)
}

const FAULTS: [Fault; 5] = [
    Fault {
        name: "an unresponsive server",
        healthy: answer_in_time,
        faulty: || Act::Hang,
        classes: CLASSES,
        limits: "held 2000",
        more_clients: 0,
        is_named_by: |recording, finding| is_faulty_server(recording, finding, Symptom::Unresponsive),
    },
    Fault {
        name: "a server that closes connections early",
        healthy: answer_in_time,
        faulty: || {
            thread::sleep(SERVICE_TIME);
            Act::WriteAndClose("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n".into())
        },
        classes: CLASSES,
        limits: "held 2000",
        more_clients: 0,
        is_named_by: |recording, finding| is_faulty_server(recording, finding, Symptom::ConnectionResets),
    },
    Fault {
        name: "a server twice as slow",
        healthy: || {
            thread::sleep(varied_service_time());
            ok("done")
        },
        faulty: || {
            thread::sleep(2 * varied_service_time());
            ok("done")
        },
        classes: "class read { aim 110ms; deadline 400ms; repeats safe }\n\
                  class submit { aim 110ms; deadline 400ms; worth 10; repeats unsafe }",
        limits: "held 2000",
        more_clients: 0,
        is_named_by: |recording, finding| is_faulty_server(recording, finding, Symptom::SlowResponses),
    },
    Fault {
        name: "a listener short of descriptors",
        healthy: answer_in_time,
        faulty: answer_in_time,
        classes: CLASSES,
        limits: "held 2000; descriptors 128",
        more_clients: 60,
        is_named_by: |_, finding| {
            (finding.subject, finding.symptom) == (Subject::Node, Symptom::DescriptorsExhausted)
        },
    },
    Fault {
        name: "a class with a wrong deadline",
        healthy: answer_in_time,
        faulty: answer_in_time,
        classes: "class read { aim 200ms; deadline 400ms; repeats safe }\n\
                  class submit { aim 5ms; deadline 10ms; worth 10; repeats unsafe }",
        limits: "held 2000",
        more_clients: 0,
        is_named_by: |recording, finding| {
            let class = matches!(finding.subject,
                Subject::Class(pool, class) if recording.header.class_name(pool, class) == "submit");
            class && finding.symptom == Symptom::ObjectiveTooShort
        },
    },
];

pub(super) fn measure(report: &mut Report) -> io::Result<()> {
    let mut named = 0;
    for fault in &FAULTS {
        named += u32::from(measure_fault(fault, report)?);
    }
    report.figure("named", format!("{named}/{}", FAULTS.len()));
    report.claim(named as usize == FAULTS.len(), "each fault is the first cause in its recording");
    Ok(())
}

/// Adds the first cause of a recording. Returns whether it is the injected fault.
fn measure_fault(fault: &Fault, report: &mut Report) -> io::Result<bool> {
    let server = |n| {
        let act = if n == SERVERS - 1 { fault.faulty } else { fault.healthy };
        Backend::start(move |_| act())
    };
    let addresses: Vec<_> = (0..SERVERS).map(|n| server(n).address).collect();
    let node = StandaloneNode::start(&configuration(&addresses, fault.classes, fault.limits), 1);
    let admin = Admin::of(&node);
    load(node.address(), CLIENTS + fault.more_clients);
    let start = Instant::now();
    let recording = admin.recording()?;
    let ledger = recording
        .ledger
        .as_ref()
        .ok_or_else(|| io::Error::other("the recording has no readable totals of lost weight"))?;
    let findings = find(&recording.header, ledger, 0, u64::MAX);
    let seconds = start.elapsed().as_secs_f64();
    let first = findings.first();
    let named = first.is_some_and(|first| first.lost > 0 && (fault.is_named_by)(&recording, first));
    let text = first.map_or("nothing", |first| &first.text);
    let cause = if named { text.to_owned() } else { format!("WRONG: {text}") };
    report.row(&[fault.name.into(), String::new(), String::new(), cause, format!("{seconds:.3}")]);
    Ok(named)
}

/// Runs clients that send requests of both classes in turn.
fn load(address: SocketAddr, clients: usize) {
    let stopped = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..clients)
        .map(|n| {
            let stopped = stopped.clone();
            thread::spawn(move || send_until_stopped(address, n, &stopped))
        })
        .collect();
    thread::sleep(LOAD_SPAN);
    stopped.store(true, Ordering::Relaxed);
    // A client panics on a broken connection; the measurement does not depend on it.
    clients.into_iter().for_each(|client| drop(client.join()));
}

fn send_until_stopped(address: SocketAddr, first: usize, stopped: &AtomicBool) {
    let mut connection = None;
    let mut number = first;
    while !stopped.load(Ordering::Relaxed) {
        number += 1;
        let request = if number.is_multiple_of(2) {
            "GET /boards/x HTTP/1.1\r\nHost: a\r\n\r\n"
        } else {
            "POST /runs/x HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx"
        };
        let client = connection.get_or_insert_with(|| Client::connect(address));
        client.write(request);
        let response = client.read();
        if response.as_ref().is_none_or(|response| response.header("connection") == Some("close")) {
            connection = None;
        }
        if response.is_none_or(|response| response.status() != 200) {
            thread::sleep(PAUSE_AFTER_ERROR);
        }
    }
}
