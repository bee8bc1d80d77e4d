//! Operation of a running node on loopback sockets: admin commands, disabled backends, lame-duck mode, upgrades.

use std::io::Write;
use std::net::TcpListener;
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use pumicehead_testbed::scripted::*;

/// Creates an empty folder.
fn new_folder() -> PathBuf {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let number = NEXT.fetch_add(1, Ordering::SeqCst);
    let path = std::env::temp_dir().join(format!("pumicehead-operations-{}-{number}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir_all(&path).unwrap();
    path
}

fn with_admin(backends: &[&Backend]) -> Setup {
    Setup { folder: Some(new_folder()), ..Setup::of(backends) }
}

/// Guards that commands are answered, invalid ones with a reason, while other admin connections send nothing or part of a
/// line.
#[test]
fn commands_are_answered_beside_silent_admin_connections() {
    let backend = Backend::start(|_| ok("done"));
    let node = with_admin(&[&backend]).start();
    let silent: Vec<_> = (0..40)
        .map(|n| {
            let mut caller = node.connect_admin();
            if n % 2 == 0 {
                caller.write_all(b"DETACH s-0").unwrap();
            }
            caller
        })
        .collect();
    assert_eq!(node.admin_command("PING"), "OK\n");
    assert_eq!(node.admin_command("PING\r"), "OK\n");
    for bad in ["", "ping", "DETACH", "DETACH s-9", "ATTACH s-9", "LAMEDUCK now", &"x".repeat(100_000)] {
        let answer = node.admin_command(bad);
        assert!(
            answer.starts_with("ERR ") && answer.ends_with('\n') && answer.lines().count() == 1,
            "{answer}"
        );
    }
    drop(silent);
    // An incomplete line is not executed: otherwise the only backend would be disabled.
    assert_eq!(node.ask(&request("read", "")).status(), 200);
}

/// Guards the counters of request outcomes, attempts, endpoints and reloads.
#[test]
fn stats_count_every_outcome() {
    let backend = Backend::start(|message| {
        if message.first.contains("submit") { Act::Write(answer("500 Oh", "", "")) } else { ok("done") }
    });
    let node = with_admin(&[&backend]).start();
    for _ in 0..5 {
        assert_eq!(node.ask(&request("read", "")).status(), 200);
    }
    assert_eq!(node.ask(&request("submit", "x")).status(), 502);
    let figure = |name: &str| node.info_value(&format!("node.{name}"));
    assert_eq!(figure("downstream_requests.read.completed"), Some(5));
    assert_eq!(figure("downstream_requests.submit.failed"), Some(1));
    assert_eq!(figure("downstream_requests.submit.completed"), Some(0));
    assert_eq!((figure("upstream_requests"), figure("pending")), (Some(6), Some(0)));
    assert_eq!((figure("members"), figure("members_unavailable")), (Some(1), Some(0)));
    let config = node.config();
    node.reload("{");
    wait_for("the rejected reload", || figure("config_reload_errors") == Some(1));
    node.reload(&config);
    wait_for("the reload", || figure("config_reloads") == Some(1));
}

/// Guards that an attempt counts once it is written, not when it ends, and that queued requests are pending.
#[test]
fn attempts_count_once_written_and_queued_requests_are_pending() {
    let backend = Backend::start(|_| Act::Hang);
    let node = with_admin(&[&backend]).start();
    let mut client = node.connect();
    client.write(&request("submit", "x"));
    wait_for("the attempt", || node.info_value("node.upstream_requests") == Some(1));
    assert_eq!(node.info_value("node.pending"), Some(1));
    drop(client);
    wait_for("the end of the request", || node.info_value("node.pending") == Some(0));
}

/// Guards that a disabled backend gets no requests, whatever discovery reports, until an operator enables it.
#[test]
fn a_disabled_backend_gets_no_requests_until_enabled() {
    let (one, other) = (Backend::start(|_| ok("done")), Backend::start(|_| ok("done")));
    let discovery = Discovery::start();
    let node = Setup { discovery: discovery.address, ..with_admin(&[&one, &other]) }.start();
    let (_, lines) = discovery.next();
    let ask = |count| (0..count).for_each(|_| assert_eq!(node.ask(&request("read", "")).status(), 200));
    // Several clients: for one request at a time a node may use a single backend.
    let load = LoadClients::start(&node, 8, "read");
    wait_for("requests at both backends", || one.count() > 0 && other.count() > 0);
    drop(load);
    assert_eq!(node.admin_command("DETACH s-0"), "OK\n");
    assert_eq!(node.admin_command("DETACH s-0"), "OK\n", "a repeated command is an error");
    assert_eq!(node.info_value("node.members_unavailable"), Some(1));
    let before = one.count();
    ask(30);
    // Discovery lists it as restarted and active: the admin command has priority.
    let [a, b] = [host("s-0", one.address, "active"), host("s-1", other.address, "active")];
    let restarted = a.replace("\"born_ms\":0", "\"born_ms\":77");
    lines.send(list(2, true, &[restarted, b.clone()])).unwrap();
    ask(30);
    // It is removed from the list, and added again.
    lines.send(list(3, true, &[b])).unwrap();
    wait_for("one endpoint", || node.info_value("node.members") == Some(1));
    lines.send(list(4, false, &[a])).unwrap();
    wait_for("two endpoints", || node.info_value("node.members") == Some(2));
    ask(30);
    assert_eq!(one.count(), before);
    assert_eq!(node.admin_command("ATTACH s-0"), "OK\n");
    let load = LoadClients::start(&node, 8, "read");
    wait_for("requests at the enabled backend", || one.count() > before);
    drop(load);
}

/// Guards that a node whose backends are all disabled rejects requests and makes no attempts.
#[test]
fn requests_are_rejected_when_all_backends_are_disabled() {
    let backend = Backend::start(|_| ok("done"));
    let node = Setup { latency_objective_ms: 300, ..with_admin(&[&backend]) }.start();
    assert_eq!(node.admin_command("DETACH s-0"), "OK\n");
    let answer = node.ask(&request("read", ""));
    assert!(matches!(answer.status(), 429 | 503) && answer.header("retry-after").is_some(), "{answer:?}");
    assert_eq!(backend.count(), 0);
}

/// Guards that a node in lame-duck mode fails its health check, still serves requests and closes every connection, until
/// `REJOIN` ends the mode.
#[test]
fn lame_duck_mode_closes_connections_until_rejoin() {
    let backend = Backend::start(|_| ok("done"));
    let mut node = with_admin(&[&backend]).start();
    let health = || node.ask("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n").status();
    assert_eq!(health(), 200);
    let (mut active, mut idle) = (node.connect(), node.connect());
    for client in [&mut active, &mut idle] {
        client.write(&request("read", ""));
        assert_eq!(client.read().unwrap().header("connection"), None);
    }
    let mut fresh = node.connect();
    assert_eq!(node.admin_command("LAMEDUCK"), "OK\n");
    assert_eq!(health(), 503);
    active.write(&request("read", ""));
    let answer = active.read().unwrap();
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    assert!(active.at_end() && idle.at_end() && fresh.at_end());
    // The load balancer in front may go on sending requests for a moment.
    assert_eq!(node.ask(&request("read", "")).status(), 200);
    assert!(node.is_running());
    assert_eq!(node.admin_command("REJOIN"), "OK\n");
    let mut client = node.connect();
    client.write(&request("read", ""));
    assert_eq!(client.read().unwrap().header("connection"), None);
    assert_eq!(node.ask("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n").status(), 200);
}

/// Guards an upgrade: with two processes on the platform's socket no connection is refused and no request is lost, and
/// commands to one process take effect in the other, also once the first process has exited.
#[test]
fn a_new_process_takes_over_under_load_without_loss() {
    let (one, other) = (Backend::start(|_| ok("done")), Backend::start(|_| ok("done")));
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = socket.local_addr().unwrap();
    let shared_folder = new_folder();
    let start = || {
        let socket = Some(socket.try_clone().unwrap());
        Setup { folder: Some(shared_folder.clone()), socket, ..Setup::of(&[&one, &other]) }.start()
    };
    let mut old = start();
    assert_eq!(old.address, address);
    assert_eq!(old.admin_command("DETACH s-0"), "OK\n");
    let before = one.count();
    let load = LoadClients::with_requests(address, 8, || request("read", ""));
    wait_for("load", || other.count() > 100);
    let new = start();
    wait_for("the new process to be ready", || new.admin_command("PING") == "OK\n");
    let idle = Client::connect(address);
    old.terminate();
    assert!(old.wait().success());
    let served = other.count();
    wait_for("load on the new process", || other.count() > served + 100);
    assert_eq!(one.count(), before, "the new process uses a backend that is disabled");
    // A command to one process takes effect in another that runs at the same time.
    let mut third = start();
    wait_for("the third process to be ready", || third.admin_command("PING") == "OK\n");
    assert_eq!(new.admin_command("ATTACH s-0"), "OK\n");
    wait_for("the backend to be enabled in the third process", || {
        third.info_value("node.members_unavailable") == Some(0)
    });
    wait_for("requests at the enabled backend", || one.count() > before);
    third.terminate();
    assert!(third.wait().success());
    drop(idle);
    let statuses = load.stop();
    let lost: Vec<_> = statuses.iter().filter(|&&status| status != 200 && status != 503).collect();
    assert!(lost.is_empty() && statuses.iter().filter(|&&status| status == 200).count() > 200, "{lost:?}");
}

/// Guards that a process which takes over polls discovery at once, since it must honour drains that its predecessor knew
/// of, and that it knows the backends that its predecessor had in its list.
#[test]
fn a_new_process_polls_discovery_at_start() {
    let (one, other) = (Backend::start(|_| ok("done")), Backend::start(|_| ok("done")));
    let discovery = Discovery::start();
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    let shared_folder = new_folder();
    let start = || {
        let socket = Some(socket.try_clone().unwrap());
        let folder = Some(shared_folder.clone());
        Setup {
            folder,
            socket,
            discovery: discovery.address,
            slow_polling: true,
            ..Setup::of(&[&one, &other])
        }
        .start()
    };
    let old = start();
    let (_, lines) = discovery.next();
    let third = host("s-2", other.address, "active");
    lines.send(list(2, false, &[third])).unwrap();
    wait_for("three endpoints", || old.info_value("node.members") == Some(3));
    assert_eq!(old.admin_command("DETACH s-2"), "OK\n");
    let gone = host("s-2", other.address, "left");
    lines.send(list(3, false, &[gone])).unwrap();
    wait_for("two endpoints", || old.info_value("node.members") == Some(2));
    let new = start();
    let (_, lines) = discovery.next();
    let leaving = host("s-0", one.address, "leaving");
    lines.send(list(4, false, &[leaving])).unwrap();
    wait_for("the drain", || new.info_value("node.members_unavailable") == Some(1));
    // This backend was never listed for the new process, only for its predecessor.
    assert_eq!(new.admin_command("ATTACH s-2"), "OK\n");
    assert!(new.admin_command("ATTACH s-3").starts_with("ERR "));
}

/// Guards that a process with a damaged state file, or without a folder for the file, still serves requests, and that a
/// command that can't be stored is an error and has no effect.
#[test]
fn a_missing_or_damaged_state_file_does_not_stop_a_node() {
    let backend = Backend::start(|_| ok("done"));
    let shared_folder = new_folder();
    let first = Setup { folder: Some(shared_folder.clone()), ..Setup::of(&[&backend]) }.start();
    assert_eq!(first.admin_command("DETACH s-0"), "OK\n");
    let files = std::fs::read_dir(&shared_folder).unwrap().map(|entry| entry.unwrap().path());
    let state_file = files.into_iter().find(|path| path.extension().is_some_and(|end| end == "out")).unwrap();
    std::fs::write(&state_file, "{\"v\":1,").unwrap();
    // The running process keeps the state that it had before the file was damaged; a new process starts without that state.
    std::thread::sleep(Duration::from_millis(500));
    assert_eq!(first.info_value("node.members_unavailable"), Some(1));
    let second = Setup { folder: Some(shared_folder.clone()), ..Setup::of(&[&backend]) }.start();
    assert_eq!(second.ask(&request("read", "")).status(), 200);
    assert_eq!(first.admin_command("ATTACH s-0"), "OK\n");
    // The only backend is in slow start and may not take the first request.
    wait_for("service after the backend is enabled", || first.ask(&request("read", "")).status() == 200);
    std::fs::remove_dir_all(&shared_folder).unwrap();
    let answer = first.admin_command("DETACH s-0");
    assert!(answer.starts_with("ERR "), "{answer}");
    wait_for("service after the failed command", || first.ask(&request("read", "")).status() == 200);
}

/// Guards that a process which takes over is in lame-duck mode if its predecessor was, and isn't after `REJOIN`.
#[test]
fn lame_duck_mode_survives_an_upgrade() {
    let backend = Backend::start(|_| ok("done"));
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    let shared_folder = new_folder();
    let start = || {
        let socket = Some(socket.try_clone().unwrap());
        Setup { folder: Some(shared_folder.clone()), socket, ..Setup::of(&[&backend]) }.start()
    };
    let is_lame_duck = |node: &Node| node.admin_command("PING").contains("emptied");
    let mut first = start();
    wait_for("the first process to be ready", || first.admin_command("PING") == "OK\n");
    assert_eq!(first.admin_command("LAMEDUCK"), "OK\n");
    let mut second = start();
    assert!(is_lame_duck(&second));
    first.terminate();
    assert!(first.wait().success());
    assert_eq!(second.admin_command("REJOIN"), "OK\n");
    let third = start();
    assert!(!is_lame_duck(&third));
    second.terminate();
    assert!(second.wait().success());
}
