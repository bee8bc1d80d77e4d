//! Requirements of the platform on the process: a start with few resources, the system calls that are forbidden, and events at
//! inconvenient times.

use std::collections::BTreeSet;
use std::fs;
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::{Arc, Mutex, mpsc};
use std::thread;
use std::time::Duration;

use object::{Object, ObjectSymbol};
use pumicehead_testbed::program::{LIMIT, built, temporary, wait_for};
use pumicehead_testbed::scripted::*;

/// Whether a response says that the request was not executed, so that the client may retry it.
fn is_rejection(status: u16) -> bool {
    matches!(status, 429 | 503)
}

/// Starts a backend that holds a request with the body `slow` until a message on the channel, and answers others at once.
fn backend_holding_slow_requests(released: mpsc::Receiver<()>) -> Backend {
    backend_with_shared_release(&Arc::new(Mutex::new(released)))
}

/// Like [`backend_holding_slow_requests`], with a channel that several backends share.
fn backend_with_shared_release(released: &Arc<Mutex<mpsc::Receiver<()>>>) -> Backend {
    let released = released.clone();
    Backend::start(move |message| {
        if message.body == b"slow" {
            let _ = released.lock().unwrap().recv_timeout(LIMIT);
        }
        ok("done")
    })
}

/// Guards a start without a terminal, with standard input closed, without a writable folder and with fewer descriptors than
/// configured: the node serves requests, also after clients have taken all descriptors, and exits with 0 on SIGTERM.
#[test]
fn a_node_starts_without_terminal_stdin_or_folder_and_with_few_descriptors() {
    let backend = Backend::start(|_| ok("done"));
    let mut node = Setup {
        // Not even root can create a file there.
        folder: Some(PathBuf::from("/proc")),
        shell_line: Some("ulimit -n 64; exec setsid \"$0\" <&-".into()),
        ..Setup::of(&[&backend])
    }
    .start();
    let limits = fs::read_to_string(format!("/proc/{}/limits", node.pid())).unwrap();
    assert!(
        limits.lines().any(|line| line.starts_with("Max open files") && line.contains(" 64 ")),
        "{limits}"
    );
    assert_eq!(node.ask(&request("submit", "x")).status(), 200);
    let idle: Vec<_> = (0..150).map(|_| node.connect()).collect();
    // Without a free descriptor this client's connection may fail, but not the node.
    let mut client = node.connect();
    client.write(&request("read", ""));
    let _ = client.read();
    node.signal("-USR1");
    drop((idle, client));
    wait_for("service after the idle connections are closed", || {
        let mut client = node.connect();
        client.write(&request("submit", "x"));
        client.read().is_some_and(|answer| answer.status() == 200)
    });
    assert!(node.is_running());
    node.terminate();
    assert_eq!(node.wait().code(), Some(0));
}

/// Returns the names of the symbols that a program imports from shared libraries.
fn imported_symbols(program: &Path) -> BTreeSet<String> {
    let bytes = fs::read(program).unwrap();
    let file = object::File::parse(&*bytes).unwrap();
    let undefined = file.dynamic_symbols().filter(ObjectSymbol::is_undefined);
    undefined.filter_map(|symbol| symbol.name().ok().map(str::to_owned)).collect()
}

/// Guards the rules of the platform: the program imports no function that starts a process, copies data within the kernel or
/// uses io_uring, and it is linked dynamically, so that the platform can preload a library.
#[test]
fn the_program_imports_no_forbidden_functions() {
    let names = imported_symbols(&built("pumicehead").unwrap());
    assert!(
        names.contains("connect") && names.contains("getaddrinfo") || names.contains("bind"),
        "{names:?}"
    );
    let forbidden = [
        "fork",
        "vfork",
        "clone",
        "posix_spawn",
        "posix_spawnp",
        "system",
        "popen",
        "splice",
        "vmsplice",
        "tee",
    ]
    .into_iter()
    .chain(["sendfile", "sendfile64", "io_uring_setup", "io_uring_enter", "io_uring_queue_init"]);
    let found: Vec<_> = forbidden.filter(|name| names.contains(*name)).collect();
    assert!(found.is_empty(), "{found:?}");
    // The check finds such a function where there is one: this test program starts processes.
    let own = imported_symbols(&std::env::current_exe().unwrap());
    assert!(own.contains("fork") || own.contains("posix_spawnp"), "{own:?}");
}

/// Returns the system's Unix sockets that have a path or listen, as the links in `/proc/PID/fd` name them.
fn reachable_unix_sockets() -> BTreeSet<String> {
    let table = fs::read_to_string("/proc/net/unix").unwrap_or_default();
    let rows = table.lines().skip(1).map(|line| line.split_whitespace().collect::<Vec<_>>());
    // Num RefCount Protocol Flags Type St Inode Path; flag 0x10000: the socket listens.
    let reachable = rows.filter(|row| row.len() > 7 || row.get(3).is_some_and(|flags| *flags == "00010000"));
    reachable.filter_map(|row| row.get(6).map(|inode| format!("socket:[{inode}]"))).collect()
}

/// Guards the same rules at run time, under load, across a reload and until the exit: no child process, no io_uring, no Unix
/// socket that others could connect to (the runtime has a socket pair of its own for signals). System calls are traced where
/// `strace` works.
#[test]
fn the_process_makes_no_forbidden_system_call() {
    let backend = Backend::start(|_| ok("done"));
    let trace_file = temporary(".calls");
    let system_calls =
        "clone,clone3,fork,vfork,execve,execveat,io_uring_setup,splice,vmsplice,sendfile,socket";
    let probe = ["-f", "-o", "/dev/null", "-e", &format!("trace={system_calls}"), "true"];
    let is_traced = Command::new("strace").args(probe).output().is_ok_and(|done| done.status.success());
    let line = format!("exec strace -D -f -o {} -e trace={system_calls} \"$0\"", trace_file.display());
    let mut node = Setup { shell_line: is_traced.then_some(line), ..Setup::of(&[&backend]) }.start();
    let load = LoadClients::start(&node, 8, "submit");
    wait_for("load", || backend.count() > 200);
    node.reload(&node.config());
    node.signal("-USR1");
    let pid = node.pid();
    let mut checks = 0;
    wait_for("twenty checks of the process", || {
        let open: Vec<_> = fs::read_dir(format!("/proc/{pid}/fd"))
            .unwrap()
            .filter_map(|entry| fs::read_link(entry.ok()?.path()).ok())
            .map(|link| link.to_string_lossy().into_owned())
            .collect();
        let reachable = reachable_unix_sockets();
        assert!(open.iter().any(|link| link.starts_with("socket:")), "{open:?}");
        let forbidden: Vec<_> =
            open.iter().filter(|link| link.contains("io_uring") || reachable.contains(*link)).collect();
        assert!(forbidden.is_empty(), "{forbidden:?}");
        for task in fs::read_dir(format!("/proc/{pid}/task")).unwrap().filter_map(Result::ok) {
            // Not every kernel lists children.
            let children = fs::read_to_string(task.path().join("children")).unwrap_or_default();
            assert!(children.trim().is_empty(), "children {children}");
        }
        checks += 1;
        checks > 20
    });
    assert!(load.stop().contains(&200));
    node.terminate();
    assert_eq!(node.wait().code(), Some(0));
    if is_traced {
        let trace = fs::read_to_string(&trace_file).unwrap();
        let _ = fs::remove_file(&trace_file);
        assert!(trace.contains("socket(AF_INET"), "nothing was traced: {trace}");
        let is_forbidden = |line: &&str| {
            let calls = |name: &str| line.contains(&format!(" {name}("));
            calls("clone") && !line.contains("CLONE_THREAD")
                || calls("clone3") && !line.contains("CLONE_THREAD")
                || ["fork", "vfork", "io_uring_setup", "splice", "vmsplice", "sendfile"]
                    .iter()
                    .any(|name| calls(name))
                || calls("socket") && line.contains("AF_UNIX")
        };
        let forbidden: Vec<_> = trace.lines().filter(is_forbidden).collect();
        assert!(forbidden.is_empty(), "{forbidden:#?}");
        let started = trace.lines().filter(|line| line.contains(" execve(")).count();
        assert_eq!(started, 1, "{trace}");
    }
}

/// Guards a node without endpoints while discovery is down: requests that time out in the queue are rejected, and once
/// discovery is back it serves.
#[test]
fn a_node_without_endpoints_serves_once_discovery_is_back() {
    let backend = Backend::start(|_| ok("done"));
    let at = refusing();
    let node = Setup {
        latency_objective_ms: 300,
        endpoint_list: list(1, true, &[]),
        discovery: at,
        ..Setup::of(&[])
    }
    .start();
    assert!(is_rejection(node.ask(&request("read", "")).status()));
    let discovery = Discovery::start_at(at);
    let (_, lines) = discovery.next();
    lines.send(list(2, true, &[host("s-0", backend.address, "active")])).unwrap();
    wait_for("service", || node.ask(&request("submit", "x")).status() == 200);
}

/// Guards a stale endpoint list while discovery is down: half of its endpoints no longer exist. Each request has three
/// attempts, so none needs to be rejected.
#[test]
fn a_stale_list_serves_while_discovery_is_down() {
    let backends: Vec<_> = (0..2).map(|_| Backend::start(|_| ok("done"))).collect();
    let gone = (0..2).map(|n| host(&format!("gone-{n}"), refusing(), "active"));
    let running = backends.iter().enumerate().map(|(n, one)| host(&format!("s-{n}"), one.address, "active"));
    let known = list(1, true, &gone.chain(running).collect::<Vec<_>>());
    // Latency below the quantum does not count. At a smaller quantum an endpoint that a busy machine once made slow would be a
    // worse choice than one that refuses connections, and all three attempts of a request could go to the latter.
    let changes = &[("\"quantum_ns\":5000000", "\"quantum_ns\":1000000000")];
    let node = Setup { endpoint_list: known, replacements: changes, ..Setup::of(&[]) }.start();
    for class in ["submit", "read"].into_iter().cycle().take(40) {
        let answer = node.ask(&request(class, if class == "read" { "" } else { "x" }));
        assert_eq!(answer.status(), 200, "{answer:?}");
    }
}

/// Guards SIGTERM together with SIGHUP, in both orders, while discovery is down: requests in flight are answered.
#[test]
fn sigterm_with_a_reload_drains_in_either_order() {
    for signals in [["-HUP", "-TERM"], ["-TERM", "-HUP"]] {
        let (release, released) = mpsc::channel::<()>();
        // Two backends: the in-flight limit of one starts at 1, and whether it has risen by then depends on timing.
        let released = Arc::new(Mutex::new(released));
        let backends = [backend_with_shared_release(&released), backend_with_shared_release(&released)];
        // The address of discovery refuses connections.
        let mut node = Setup::of(&[&backends[0], &backends[1]]).start();
        assert_eq!(node.ask(&request("submit", "quick")).status(), 200);
        let mut busy = node.connect();
        busy.write(&request("submit", "slow"));
        wait_for("the attempt", || backends.iter().map(Backend::count).sum::<usize>() == 2);
        signals.iter().for_each(|signal| node.signal(signal));
        let late = node.ask(&request("submit", "late"));
        assert_eq!(late.status(), 200);
        release.send(()).unwrap();
        assert_eq!(busy.read().unwrap().status(), 200);
        assert_eq!(node.wait().code(), Some(0));
    }
}

/// Guards against a clock that jumps between two reads, as after the process was stopped: expired requests are answered
/// with a failure, others are served, and later ones are not rejected because of it.
#[test]
fn a_clock_jump_fails_only_expired_requests() {
    let (release, released) = mpsc::channel::<()>();
    let backend = backend_holding_slow_requests(released);
    let node = Setup::of(&[&backend]).start();
    let mut short = node.connect();
    short.write(&request_with("submit", "slow", "X-Time-Left: 900m\r\n"));
    wait_for("the attempt", || backend.count() == 1);
    node.signal("-STOP");
    let mut long = node.connect();
    long.write(&request("submit", "x"));
    // Longer than the time of the first request; how much longer does not matter.
    thread::sleep(Duration::from_millis(1_200));
    node.signal("-CONT");
    let status = short.read().expect("a response").status();
    assert!(status >= 500 && !is_rejection(status), "the request may have been executed: {status}");
    assert_eq!(long.read().expect("a response").status(), 200);
    for _ in 0..20 {
        assert_eq!(node.ask(&request("read", "")).status(), 200);
    }
    drop(release);
}

/// Guards the start of a process: of hundreds of connections that were made before the program ran, each has a response or is
/// closed, and the node goes on serving.
#[test]
fn connections_made_before_the_start_are_all_answered_or_closed() {
    let backend = Backend::start(|_| ok("done"));
    // As on the platform, the listening socket exists before the program runs, and the kernel queues connections.
    let socket = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = socket.local_addr().unwrap();
    let clients: Vec<_> = (0..400)
        .map(|_| {
            thread::spawn(move || {
                let mut client = Client::connect(address);
                client.write(&request("submit", "x"));
                client.read().map(|answer| answer.status())
            })
        })
        .collect();
    // Some clients are connected by then; the others connect while the node starts.
    thread::sleep(Duration::from_millis(50));
    let mut node = Setup { socket: Some(socket), ..Setup::of(&[&backend]) }.start();
    let statuses: Vec<_> = clients.into_iter().map(|client| client.join().unwrap()).collect();
    let served = statuses.iter().filter(|status| **status == Some(200)).count();
    assert!(statuses.iter().flatten().all(|status| *status == 200 || is_rejection(*status)), "{statuses:?}");
    assert!(served > 0 && backend.count() >= served, "{served}");
    assert!(node.is_running());
    wait_for("service", || node.ask(&request("submit", "x")).status() == 200);
    assert!(TcpStream::connect(address).is_ok());
}

/// Guards the drain against further SIGTERMs and a SIGHUP: requests in flight are still answered.
#[test]
fn further_signals_do_not_interrupt_the_drain() {
    let (release, released) = mpsc::channel::<()>();
    let released = std::sync::Mutex::new(released);
    let backend = Backend::start(move |_| {
        let _ = released.lock().unwrap().recv_timeout(Duration::from_secs(30));
        ok("done")
    });
    let mut node = Setup::of(&[&backend]).start();
    let mut client = node.connect();
    client.write(&request("submit", "x"));
    wait_for("the attempt", || backend.count() == 1);
    node.terminate();
    node.signal("-HUP");
    node.terminate();
    wait_for("the drain to begin", || node.ask("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n").status() == 503);
    node.terminate();
    release.send(()).unwrap();
    assert_eq!(client.read().expect("a response").status(), 200);
    assert_eq!(node.wait().code(), Some(0));
}
