//! The generator on loopback against servers that respond, stall, break connections, reject requests or stay silent.
//! Assertions are on exact or bounded counts; no time limit is tight.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Command, Stdio};
use std::sync::{Arc, mpsc};
use std::thread;
use std::time::Duration;

use pumicehead_load_generator::engine::{Progress, Protocol, Setup, run};
use pumicehead_load_generator::mix::{Mix, Plan};
use pumicehead_load_generator::model::{ServerModel, Service, Stalls};
use pumicehead_load_generator::outcome::{Outcome, Tally};
use pumicehead_load_generator::report::Summary;
use pumicehead_load_generator::schedule::{Arrivals, Schedule};
use pumicehead_load_generator::{Nanos, SECOND, html, standin};
use tokio::runtime::Builder;
use tokio::task::LocalSet;

const MS: Nanos = 1_000_000;

fn stand_in(service: Service, stalls: &[(Nanos, Nanos)]) -> SocketAddr {
    let model =
        ServerModel { service, delay: 0, stalls: Stalls(stalls.to_vec()), max_in_service: 10_000, seed: 1 };
    let (sender, bound) = mpsc::channel();
    thread::spawn(move || {
        let runtime = Builder::new_current_thread().enable_all().build().unwrap();
        let local = "127.0.0.1:0".parse().unwrap();
        let serve = standin::serve(local, model, 100, |address| sender.send(address).unwrap());
        LocalSet::new().block_on(&runtime, serve).unwrap();
    });
    bound.recv().unwrap()
}

/// Starts a server that calls `act` with each connection.
fn scripted_server(act: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let act = Arc::new(act);
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let act = act.clone();
            thread::spawn(move || act(stream));
        }
    });
    address
}

fn setup(target: SocketAddr) -> Setup {
    Setup {
        targets: vec![target],
        protocol: Protocol::Http,
        threads: 2,
        connections: 1_000,
        closed: None,
        relaxed: false,
        seed: 1,
    }
}

fn plan(shape: &str, span: Nanos, mix: Mix) -> Plan {
    Plan::generated(Schedule::new(shape.parse().unwrap(), Arrivals::Even, span, 1), mix, 1)
}

/// Clients that wait for at most one second and don't retry.
fn one_second_mix() -> Mix {
    let mut mix = Mix { patience: (1.0, 1.0), ..Mix::default() };
    mix.classes.iter_mut().for_each(|class| class.deadline_ms = 1_000);
    mix
}

fn thirty_second_mix() -> Mix {
    let mut mix = one_second_mix();
    mix.classes.iter_mut().for_each(|class| class.deadline_ms = 30_000);
    mix
}

fn run_plan(plan: &Plan, setup: &Setup) -> Tally {
    run(plan, setup, &Arc::new(Progress::default())).unwrap()
}

#[test]
fn every_request_is_counted_once() {
    let server = stand_in(Service::Fixed(2 * MS), &[]);
    let tally = run_plan(&plan("constant:500/s", 2 * SECOND, one_second_mix()), &setup(server));
    assert_eq!((tally.requests(), tally.count_of(Outcome::Served)), (1_000, 1_000));
    assert_eq!(tally.seconds.iter().map(|second| second.ends[0]).sum::<u64>(), 1_000);
    assert!(tally.served().min() >= 1_900, "no latency is below the service time");
    assert!(tally.connections < 200);
    let summary = Summary::of("a <run>", 2 * SECOND, &tally);
    assert!(summary.table().contains("board-read") && summary.table().contains("p99.9"));
    let page = html::page(&summary);
    assert!(page.contains("a &lt;run&gt;") && page.contains("<svg") && !page.contains("http://"));
    let back: Summary = serde_json::from_str(&serde_json::to_string(&summary).unwrap()).unwrap();
    assert_eq!(back, summary);
}

/// Guards against coordinated omission: for a stall of 2 s the open loop measures all requests that were due in it, the
/// closed loop only those that its clients had open.
#[test]
fn open_loop_measures_a_stall_that_the_closed_loop_hides() {
    // The stall starts one second after the server.
    let stalls = [(SECOND, 3 * SECOND)];
    let open = run_plan(
        &plan("constant:200/s", 4 * SECOND, thirty_second_mix()),
        &setup(stand_in(Service::Fixed(MS), &stalls)),
    );
    assert_eq!(open.count_of(Outcome::Served), 800);
    let served = open.served();
    assert!(served.max() > 1_700_000, "{}", served.max());
    // Half of all requests were due in the stall, and waited for 1 s on average.
    let waited = served.count_between(100_000, 100_000_000);
    assert!((300..=460).contains(&waited), "{waited}");
    let long = served.count_between(1_000_000, 100_000_000);
    assert!((120..=260).contains(&long), "{long}");
    let mut closed = setup(stand_in(Service::Fixed(MS), &stalls));
    closed.closed = Some(4);
    let hidden = run_plan(&plan("constant:200/s", 4 * SECOND, thirty_second_mix()), &closed);
    let waited = hidden.served().count_between(100_000, 100_000_000);
    assert!(waited <= 4, "{waited} of {}", hidden.requests());
}

#[test]
fn silent_refusing_and_broken_servers_have_different_outcomes() {
    let few = |mix| plan("constant:50/s", SECOND, mix);
    let silent = scripted_server(|mut stream| {
        let _ = stream.read_to_end(&mut Vec::new());
    });
    let tally = run_plan(&few(one_second_mix()), &setup(silent));
    assert_eq!((tally.count_of(Outcome::GaveUp), tally.requests()), (50, 50));
    assert!(tally.classes[0].all.min() >= 990_000, "each client waited for its deadline");
    let refusing = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    assert_eq!(run_plan(&few(one_second_mix()), &setup(refusing)).count_of(Outcome::NoConnection), 50);
    let broken = scripted_server(|mut stream| {
        let _ = stream.read(&mut [0; 4_096]);
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf");
    });
    assert_eq!(run_plan(&few(one_second_mix()), &setup(broken)).count_of(Outcome::Broken), 50);
    let garbage = scripted_server(|mut stream| {
        let _ = stream.read(&mut [0; 4_096]);
        let _ = stream.write_all(b"what is this\r\n\r\n");
    });
    assert_eq!(run_plan(&few(one_second_mix()), &setup(garbage)).count_of(Outcome::Malformed), 50);
    let refusals = scripted_server(|mut stream| {
        let _ = stream.read(&mut [0; 4_096]);
        let _ = stream.write_all(
            b"HTTP/1.1 503 X\r\nConnection: close\r\nRetry-After: 0.05\r\nContent-Length: 0\r\n\r\n",
        );
    });
    let tally = run_plan(&few(Mix { retry: true, ..one_second_mix() }), &setup(refusals));
    assert_eq!(tally.count_of(Outcome::Refused), 50);
    assert_eq!(tally.classes.iter().map(|class| class.retried).sum::<u64>(), 50);
}

#[test]
fn requests_without_a_free_connection_are_reported() {
    let silent = scripted_server(|mut stream| {
        let _ = stream.read_to_end(&mut Vec::new());
    });
    // Some clients wait far longer than others, so that requests queued behind theirs are never sent.
    let mix = Mix { patience: (0.1, 1.0), ..one_second_mix() };
    let tally =
        run_plan(&plan("constant:50/s", SECOND, mix), &Setup { connections: 1, threads: 1, ..setup(silent) });
    let (gave_up, no_room) = (tally.count_of(Outcome::GaveUp), tally.count_of(Outcome::NoRoom));
    assert!(gave_up >= 2 && no_room >= 10 && gave_up + no_room == 50, "{gave_up} {no_room}");
    // If every request gets a response, all are sent over one connection.
    let slow = stand_in(Service::Fixed(10 * MS), &[]);
    let tally = run_plan(
        &plan("constant:50/s", SECOND, thirty_second_mix()),
        &Setup { connections: 1, threads: 1, ..setup(slow) },
    );
    assert_eq!((tally.count_of(Outcome::Served), tally.connections), (50, 1));
}

/// Guards against a run that hangs or misreports requests when the process runs out of file descriptors.
#[test]
fn requests_without_a_file_descriptor_are_reported() {
    let silent = scripted_server(|mut stream| {
        let _ = stream.read_to_end(&mut Vec::new());
    });
    let program = env!("CARGO_BIN_EXE_pumicehead-load");
    let file = std::env::temp_dir().join(format!("load-{}.json", std::process::id()));
    let line = format!(
        "ulimit -n 40; exec {program} run --target {silent} --shape constant:100/s --span 1s --even --json {}",
        file.display()
    );
    let done = Command::new("sh").args(["-c", &line]).output().unwrap();
    let summary: Summary = serde_json::from_str(&std::fs::read_to_string(&file).unwrap()).unwrap();
    let _ = std::fs::remove_file(file);
    assert_eq!(summary.classes[0].requests, 100);
    assert!(summary.count_of(Outcome::NoDescriptor) > 20, "{}", String::from_utf8_lossy(&done.stdout));
    assert!(summary.count_of(Outcome::GaveUp) > 10);
}

/// Guards against trusting the results of a late generator. The process is stopped for half of its run, so that it
/// can't keep its schedule on any machine.
#[test]
fn late_generator_marks_the_run_invalid() {
    let server = stand_in(Service::Fixed(0), &[]).to_string();
    let program = env!("CARGO_BIN_EXE_pumicehead-load");
    let arguments = ["run", "--target", &server, "--shape", "constant:100/s", "--span", "2s", "--even"];
    let spawned = Command::new(program).args(arguments).stdout(Stdio::piped()).spawn().unwrap();
    let pid = spawned.id().to_string();
    let signal =
        |name: &str| assert!(Command::new("kill").args([name, pid.as_str()]).status().unwrap().success());
    thread::sleep(Duration::from_millis(500));
    signal("-STOP");
    thread::sleep(Duration::from_secs(1));
    signal("-CONT");
    let done = spawned.wait_with_output().unwrap();
    let table = String::from_utf8(done.stdout).unwrap();
    assert!(done.status.code() == Some(1) && table.contains("INVALID"), "{table}");
}

/// Guards against trusting the results of a generator that starts all requests in time but has no time to read the
/// responses. Its thread is given more requests than any machine can send.
#[test]
fn saturated_generator_marks_the_run_invalid() {
    let server = stand_in(Service::Fixed(0), &[]);
    let overloaded = Setup { threads: 1, connections: 50, ..setup(server) };
    // Far more than one thread can send over sockets.
    let tally = run_plan(&plan("constant:1000000/s", SECOND / 5, one_second_mix()), &overloaded);
    assert_eq!(tally.requests(), 200_000);
    let summary = Summary::of("too much", SECOND / 5, &tally);
    assert!(summary.breathless_share > 0.9, "{}", summary.breathless_share);
    assert!(!summary.valid && summary.table().contains("INVALID"));
    // A generator with enough idle time is not reported.
    let tally = run_plan(&plan("constant:50/s", SECOND, thirty_second_mix()), &setup(server));
    assert_eq!(tally.saturated, 0);
}

#[test]
fn platform_headers_and_fastcgi_are_supported() {
    let (sender, heads) = mpsc::channel();
    let sender = std::sync::Mutex::new(sender);
    let http = scripted_server(move |mut stream| {
        let mut bytes = vec![0; 4_096];
        while let Ok(count) = stream.read(&mut bytes)
            && count > 0
        {
            let _ = sender.lock().unwrap().send(String::from_utf8_lossy(&bytes[..count]).into_owned());
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        }
    });
    let mix = Mix { accounts: vec!["acme".into()], ..one_second_mix() };
    let tally =
        run_plan(&plan("constant:20/s", SECOND, mix), &Setup { protocol: Protocol::Platform, ..setup(http) });
    assert_eq!(tally.count_of(Outcome::Served), 20);
    let head = heads.recv().unwrap();
    for part in ["x-correlation-id: ", "x-service-class: ", "x-time-left: ", "x-account: acme"] {
        assert!(head.contains(part), "{part} in {head}");
    }
    assert!(head.starts_with("GET /board-read/") || head.starts_with("POST /run-submit/"), "{head}");
    let refusing = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let tally = run_plan(
        &plan("constant:20/s", SECOND, one_second_mix()),
        &Setup { protocol: Protocol::FastCgi, ..setup(refusing) },
    );
    assert_eq!(tally.count_of(Outcome::NoConnection), 20);
    let fastcgi = scripted_server(|mut stream| {
        use pumicehead_fastcgi::server::{Event, Limits, Server};
        let mut server = Server::new(Limits {
            max_connections: 1,
            max_requests: 1,
            max_params_bytes: 9_000,
            max_params: 99,
            max_body_bytes: 9_000,
            max_incoming_bytes: 99_000,
            max_response_bytes: 99_000,
        });
        let mut bytes = vec![0; 4_096];
        while let Ok(count) = stream.read(&mut bytes)
            && count > 0
        {
            let mut events = Vec::new();
            server.receive(&bytes[..count], &mut events).unwrap();
            for event in events {
                if let Event::Request { id, .. } = event {
                    server.end(id, [bytes::Bytes::from_static(b"Status: 200 OK\r\n\r\nrank 1")], 0);
                }
            }
            let mut out = bytes::BytesMut::new();
            server.output(&mut out, usize::MAX);
            let _ = stream.write_all(&out);
        }
    });
    let tally = run_plan(
        &plan("constant:20/s", SECOND, one_second_mix()),
        &Setup { protocol: Protocol::FastCgi, ..setup(fastcgi) },
    );
    assert_eq!(tally.count_of(Outcome::Served), 20);
}
