//! Introspection of a node on loopback sockets: recorded reasons, recordings, admin commands, and a log without a reader.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::thread;
use std::time::Duration;

use pumicehead_flight_recorder::breakdown::Breakdown;
use pumicehead_flight_recorder::event::Event;
use pumicehead_flight_recorder::event_ring::decode_records;
use pumicehead_flight_recorder::recording::Recording;
use pumicehead_policy::decision_event::{DecisionEvent, NoRetryReason, RejectionReason};
use pumicehead_testbed::program::{LIMIT, StandaloneNode, built, temporary, wait_for};
use pumicehead_testbed::scripted::*;

fn new_folder() -> PathBuf {
    let path = temporary(".introspection");
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir_all(&path).unwrap();
    path
}

/// Returns the recording of the node with this admin address.
fn recording(admin: SocketAddr) -> Recording {
    let mut stream = TcpStream::connect(admin).unwrap();
    stream.set_read_timeout(Some(LIMIT)).unwrap();
    stream.write_all(b"TRACE\n").unwrap();
    let mut answer = BufReader::new(stream);
    let mut line = String::new();
    answer.read_line(&mut line).unwrap();
    let length: usize = line.strip_prefix("OK ").unwrap().trim().parse().unwrap();
    let mut bytes = Vec::new();
    answer.read_to_end(&mut bytes).unwrap();
    assert_eq!(bytes.len(), length);
    Recording::read(&bytes).unwrap()
}

/// Returns the recorded reasons of all requests that the node answered without an endpoint's response.
fn rejection_reasons(recording: &Recording) -> Vec<RejectionReason> {
    let events = recording.timelines.iter().flat_map(|timeline| decode_records(&timeline.encoded_events).0);
    let reasons = events.filter_map(|record| match record.event {
        Event::Decision(DecisionEvent::AnsweredWithoutEndpoint { reason, .. }) => Some(reason),
        _ => None,
    });
    reasons.collect()
}

fn recorded_node(backends: &[&Backend]) -> Setup {
    Setup { folder: Some(new_folder()), ..Setup::of(backends) }
}

/// Guards that the reason why a request is not retried is recorded.
#[test]
fn reasons_not_to_retry_are_recorded() {
    let resets =
        Backend::start(|_| Act::WriteAndClose("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n".into()));
    let node = recorded_node(&[&resets]).start();
    assert_eq!(node.ask(&request("submit", "x")).status(), 502);
    assert_eq!(
        rejection_reasons(&recording(node.admin_address())),
        [RejectionReason::NoRetry(NoRetryReason::NotIdempotent)]
    );

    let errors: Vec<_> = (0..4).map(|_| Backend::start(|_| Act::Write(answer("500 Oh", "", "")))).collect();
    let node = recorded_node(&errors.iter().collect::<Vec<_>>()).start();
    assert_eq!(
        node.ask(&request("read", "")).status(),
        503,
        "an idempotent request may be retried by its client"
    );
    assert_eq!(
        rejection_reasons(&recording(node.admin_address())),
        [RejectionReason::NoRetry(NoRetryReason::AttemptsExhausted)]
    );
    wait_for("the retry budget to be spent", || {
        node.ask(&request("read", ""));
        rejection_reasons(&recording(node.admin_address()))
            .contains(&RejectionReason::NoRetry(NoRetryReason::RetryBudgetSpent))
    });

    let late = Backend::start(|_| {
        thread::sleep(Duration::from_millis(450));
        Act::Write(answer("500 Oh", "", ""))
    });
    let node = Setup { latency_objective_ms: 400, ..recorded_node(&[&late]) }.start();
    node.ask(&request("read", ""));
    assert_eq!(
        rejection_reasons(&recording(node.admin_address())),
        [RejectionReason::NoRetry(NoRetryReason::NoTimeLeft)]
    );
}

/// Guards that rejections are recorded with their reasons, and that in each breakdown the lost weight of all parts adds up to
/// the total.
#[test]
fn rejections_are_recorded_by_reason_and_losses_add_up() {
    let slow = Backend::start(|_| {
        thread::sleep(Duration::from_millis(150));
        ok("done")
    });
    let node = Setup { latency_objective_ms: 300, ..recorded_node(&[&slow]) }.start();
    let load = LoadClients::start(&node, 40, "read");
    wait_for("a rejection because of the expected wait", || {
        rejection_reasons(&recording(node.admin_address())).contains(&RejectionReason::ExpectedWaitTooLong)
    });
    let statuses = load.stop();
    assert!(statuses.contains(&503));
    let recording = recording(node.admin_address());
    let breakdown = Breakdown::of_recording(&recording, 0, u64::MAX).unwrap();
    assert_eq!(breakdown.requests as usize, statuses.len());
    for (name, parts) in &breakdown.views {
        assert_eq!(parts.iter().map(|part| part.lost).sum::<u64>(), breakdown.lost(), "by {name}");
    }
    // The metrics count the same requests.
    let text = node.admin_command("METRICS");
    let counted: usize = text
        .lines()
        .filter(|line| line.starts_with("pumicehead_requests_total"))
        .filter_map(|line| line.rsplit(' ').next()?.parse::<usize>().ok())
        .sum();
    assert_eq!(counted, statuses.len(), "{text}");
    assert!(text.contains("# {request=\"9b1f") && text.ends_with("# EOF\n"));
}

/// Guards that a request that is queued until its time is nearly up is recorded as a queue timeout.
#[test]
fn queue_timeouts_are_recorded() {
    let hung = Backend::start(|_| Act::Hang);
    let text = format!(
        "listener public {{ address 127.0.0.1:0 }}\npool boards {{ server s {{ address {} }} }}\n\
         class low {{ aim 300ms; deadline 20s; repeats safe }}\nclass high {{ aim 300ms; deadline 20s; worth 10; repeats safe }}\n\
         route low {{ path /low; class low; pool boards }}\nroute high {{ path /**; class high; pool boards }}\n\
         observe {{ calls 127.0.0.1:0 }}\n",
        hung.address
    );
    let node = StandaloneNode::start(&text, 1);
    let admin = admin_address(&node);
    // Requests of the highest tier are not rejected because of the queue's length.
    let get = || "GET /high HTTP/1.1\r\nHost: a\r\n\r\n".to_owned();
    let load = LoadClients::with_requests(node.address(), 12, get);
    wait_for("a queue timeout", || {
        rejection_reasons(&recording(admin)).contains(&RejectionReason::QueueTimeout)
    });
    drop(node);
    drop(load);
}

/// Returns the admin address of a standalone node.
fn admin_address(node: &StandaloneNode) -> SocketAddr {
    wait_for("the admin listener", || node.count_log_lines("takes admin commands on") == 1);
    let log = node.log.lock().unwrap();
    log.iter().find_map(|line| line.split_once("takes admin commands on ")?.1.parse().ok()).unwrap()
}

/// Guards that a request's timeline is found by the id that its client gave it, however long and whatever its characters.
#[test]
fn a_request_timeline_is_found_by_the_clients_id() {
    let backend = Backend::start(|_| Act::Write(answer("500 Oh", "", "")));
    let node = recorded_node(&[&backend]).start();
    let unusual = "\"quoted\\and <b>".to_owned() + &"long".repeat(1_000);
    let text =
        request("submit", "x").replace("X-Correlation-Id: 9b1f", &format!("X-Correlation-Id: {unusual}"));
    let id = text.lines().find_map(|line| line.strip_prefix("X-Correlation-Id: ")).unwrap().to_owned();
    assert_eq!(node.ask(&text).status(), 502);
    let file = temporary(".rec");
    let pumicehead = || Command::new(built("pumicehead").unwrap());
    let output = pumicehead()
        .arg("trace")
        .arg(node.admin_address().to_string())
        .arg("--out")
        .arg(&file)
        .output()
        .unwrap();
    assert!(output.status.success(), "{output:?}");
    let output = pumicehead().arg("why").arg(&file).arg(&id).output().unwrap();
    let timeline = String::from_utf8(output.stdout).unwrap();
    assert!(
        output.status.success() && timeline.contains("answered with an error") && timeline.contains("s-0"),
        "{timeline}"
    );
    assert!(timeline.chars().all(|character| character == '\n' || !character.is_control()));
    let unknown = pumicehead().arg("why").arg(&file).arg("nobody").output().unwrap();
    assert_eq!(unknown.status.code(), Some(2));
    let invalid = pumicehead().arg("why").arg(&file).args(["--between", "1", "noon"]).output().unwrap();
    assert!(String::from_utf8(invalid.stderr).unwrap().contains("`noon` is no moment"));
    for format in ["otlp", "chrome", "html"] {
        let output = pumicehead().arg("export").arg(&file).args(["--as", format]).output().unwrap();
        assert!(output.status.success() && !output.stdout.is_empty(), "{format}");
    }
    std::fs::remove_file(file).unwrap();
}

/// Guards that admin commands with invalid arguments are errors, and that the log filter and the recording level can be
/// changed.
#[test]
fn commands_change_log_filter_and_recording_level() {
    let backend = Backend::start(|_| ok("done"));
    let node = recorded_node(&[&backend]).start();
    for invalid in [
        "FILTER",
        "FILTER loud",
        "FILTER info,",
        "FILTER a b",
        "RECORD",
        "RECORD much",
        "TRACE all",
        "METRICS x",
    ] {
        let answer = node.admin_command(invalid);
        assert!(answer.starts_with("ERR ") && answer.lines().count() == 1, "{invalid}: {answer}");
    }
    assert_eq!(node.admin_command("FILTER warn,discovery=trace"), "OK\n");
    assert_eq!(node.admin_command("RECORD off"), "OK\n");
    node.ask(&request("read", ""));
    assert!(recording(node.admin_address()).timelines.is_empty());
    assert_eq!(node.admin_command("RECORD full"), "OK\n");
    node.ask(&request("read", ""));
    assert_eq!(recording(node.admin_address()).timelines.len(), 1);
}

/// Guards that SIGUSR1 writes a complete recording, and that two files at most are kept, also where two processes share a
/// folder.
#[test]
fn sigusr1_writes_a_recording() {
    let backend = Backend::start(|_| ok("done"));
    let folder = new_folder();
    let start = || Setup { folder: Some(folder.clone()), ..Setup::of(&[&backend]) }.start();
    let (one, other) = (start(), start());
    let files = || {
        let entries = std::fs::read_dir(&folder).unwrap().map(|entry| entry.unwrap().path());
        entries.filter(|path| path.extension().is_some_and(|end| end == "rec")).collect::<Vec<_>>()
    };
    for round in 0..3 {
        one.ask(&request("read", ""));
        one.signal("-USR1");
        other.signal("-USR1");
        wait_for("the recordings of both processes", || {
            let names: Vec<_> = files().iter().map(|path| path.display().to_string()).collect();
            let written = |node: &Node| {
                names.iter().any(|name| name.contains(&format!("-{}-{}.", node.pid(), round + 1)))
            };
            written(&one) && written(&other)
        });
        // A process removes old recordings after its own has its final name.
        wait_for("two recordings at most", || files().len() <= 2);
    }
    for file in files() {
        let recording = Recording::read(&std::fs::read(file).unwrap()).unwrap();
        assert_eq!((recording.damage, recording.header.reason.as_str()), (None, "asked by a signal"));
    }
    std::fs::remove_dir_all(&folder).unwrap();
}

/// Guards that the event loop does not block or fail when the log reader goes away: requests and commands are answered.
#[test]
fn a_log_without_a_reader_does_not_block_requests() {
    let backend = Backend::start(|_| ok("done"));
    let text = format!(
        "listener public {{ address 127.0.0.1:0 }}\npool boards {{ server s {{ address {} }} }}\n\
         class read {{ aim 5s; deadline 20s; repeats safe }}\nroute read {{ path /**; class read; pool boards }}\n\
         observe {{ calls 127.0.0.1:0; log trace; log-form json }}\n",
        backend.address
    );
    let file = temporary(".conf");
    std::fs::write(&file, &text).unwrap();
    let mut command = Command::new(built("pumicehead").unwrap());
    let mut child = command.arg("run").arg(&file).stderr(Stdio::piped()).spawn().unwrap();
    let mut log = BufReader::new(child.stderr.take().unwrap());
    let mut address = || {
        let mut line = String::new();
        log.read_line(&mut line).unwrap();
        assert!(line.starts_with('{') && line.trim_end().ends_with('}'), "{line}");
        line.rsplit("on ").next().unwrap().split('"').next().unwrap().parse::<SocketAddr>().unwrap()
    };
    let (listener, admin) = (address(), address());
    drop(log);
    for level in ["info", "trace", "off", "trace"].repeat(10) {
        let mut stream = TcpStream::connect(admin).unwrap();
        stream.set_read_timeout(Some(LIMIT)).unwrap();
        stream.write_all(format!("FILTER {level}\n").as_bytes()).unwrap();
        assert_eq!(std::io::read_to_string(stream).unwrap(), "OK\n");
        let mut client = Client::connect(listener);
        client.write("GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
        assert_eq!(client.read().unwrap().status(), 200);
    }
    assert!(child.try_wait().unwrap().is_none(), "the process has exited");
    let _ = child.kill();
    let _ = child.wait();
    std::fs::remove_file(file).unwrap();
}

/// Guards that the recording of a standalone node has the names of pools and classes, and that a new log filter in the
/// configuration needs no restart.
#[test]
fn a_standalone_node_records_names_of_pools_and_classes() {
    let backend = Backend::start(|_| Act::Hang);
    let text = format!(
        "listener public {{ address 127.0.0.1:0 }}\npool boards {{ server s {{ address {} }} }}\n\
         class hasty {{ aim 100ms; deadline 200ms; repeats unsafe }}\nroute all {{ path /**; method POST; class hasty; pool boards }}\n\
         observe {{ calls 127.0.0.1:0 }}\n",
        backend.address
    );
    let node = StandaloneNode::start(&text, 1);
    let admin = admin_address(&node);
    let mut client = Client::connect(node.address());
    client.write("POST /run HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx");
    assert_eq!(client.read().unwrap().status(), 504);
    wait_for("the request's timeline", || !recording(admin).timelines.is_empty());
    let recording = recording(admin);
    let breakdown = Breakdown::of_recording(&recording, 0, u64::MAX).unwrap().to_string();
    assert!(breakdown.contains("hasty in boards") && breakdown.contains("100.00%"), "{breakdown}");
    node.reload(&text.replace("calls 127.0.0.1:0", "calls 127.0.0.1:0; log warn,settings=info"));
    assert_eq!(node.count_log_lines("at the next start"), 0);
}
