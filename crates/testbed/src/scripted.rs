//! The platform's node, backends and a discovery that follow scripts, and a plain client, for tests.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, mpsc};
use std::thread;
use std::time::Duration;

use socket2::{Domain, Socket, Type};

pub use crate::program::wait_for;
use crate::program::{LIMIT, built, temporary};

/// A message as it came: first line, lower-case header lines, body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub first: String,
    /// Header lines, names in lower case.
    pub headers: Vec<String>,
    /// The body.
    pub body: Vec<u8>,
}

impl Message {
    /// A header's first value.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
    }

    /// An answer's status; 0 of what is none.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    /// Reads one; `None` when the connection ends first.
    pub fn read(input: &mut impl BufRead) -> Option<Self> {
        let mut message = Self::read_head(input)?;
        let length = message.header("content-length").map_or(0, |text| text.parse().unwrap());
        message.body = vec![0; length];
        input.read_exact(&mut message.body).ok()?;
        Some(message)
    }

    /// Reads one that has no body, whatever its length says.
    pub fn read_head(input: &mut impl BufRead) -> Option<Self> {
        let mut lines = Vec::new();
        loop {
            let mut line = String::new();
            if input.read_line(&mut line).ok()? == 0 {
                return None;
            }
            match line.trim_end() {
                "" => break,
                text => lines.push(text.to_owned()),
            }
        }
        let first = lines.remove(0);
        let lower = |line: String| line.split_once(':').map(|(n, v)| n.to_lowercase() + ":" + v);
        Some(Self { first, headers: lines.into_iter().filter_map(lower).collect(), body: vec![] })
    }
}

/// What a backend does with a request.
pub enum Act {
    /// Writes this and keeps the connection.
    Write(String),
    /// Writes this and closes it.
    WriteAndClose(String),
    /// Says nothing until the other side closes.
    Hang,
}

/// A whole 200 answer.
pub fn ok(body: &str) -> Act {
    Act::Write(answer("200 OK", "", body))
}

/// An answer's text, with its length.
pub fn answer(status: &str, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// Counts what scripts have in hand at once.
#[derive(Clone, Default)]
pub struct Gauge {
    now: Arc<AtomicUsize>,
    calls: Arc<AtomicUsize>,
}

impl Gauge {
    /// In hand now.
    pub fn now(&self) -> usize {
        self.now.load(Ordering::SeqCst)
    }

    /// Takes what `took` says, by the number of the call, before it answers.
    pub fn serve(&self, took: impl Fn(usize) -> Duration, acts: impl Fn(usize) -> Act) -> Act {
        let call = self.calls.fetch_add(1, Ordering::SeqCst);
        self.now.fetch_add(1, Ordering::SeqCst);
        thread::sleep(took(call));
        self.now.fetch_sub(1, Ordering::SeqCst);
        acts(call)
    }
}

/// Clients that ask again and again, one request each at a time, until this ends or is dropped.
pub struct Crowd {
    over: Arc<AtomicBool>,
    clients: Vec<thread::JoinHandle<Vec<u16>>>,
}

impl Crowd {
    /// So many, each with requests of a class of the platform's.
    pub fn start(node: &Node, count: usize, class: &'static str) -> Self {
        Self::asking(node.address, count, move || request(class, ""))
    }

    /// So many, each with requests of its own making.
    pub fn asking(
        address: SocketAddr,
        count: usize,
        request: impl Fn() -> String + Clone + Send + 'static,
    ) -> Self {
        let over = Arc::new(AtomicBool::new(false));
        let client = |_| {
            let (over, request) = (over.clone(), request.clone());
            thread::spawn(move || {
                let mut client = Client::connect(address);
                let mut statuses = Vec::new();
                while !over.load(Ordering::SeqCst) {
                    client.write(&request());
                    let answer = client.read().expect("an answer");
                    statuses.push(answer.status());
                    if answer.status() != 200 {
                        thread::sleep(Duration::from_millis(20));
                    }
                    if answer.header("connection") == Some("close") {
                        client = Client::connect(address);
                    }
                }
                statuses
            })
        };
        let clients = (0..count).map(client).collect();
        Self { over, clients }
    }

    /// Ends it: the statuses of all answers.
    pub fn end(mut self) -> Vec<u16> {
        self.over.store(true, Ordering::SeqCst);
        let clients = std::mem::take(&mut self.clients);
        clients.into_iter().flat_map(|client| client.join().expect("a client")).collect()
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.over.store(true, Ordering::SeqCst);
        self.clients.drain(..).for_each(|client| drop(client.join()));
    }
}

/// A backend that follows a script.
pub struct Backend {
    /// Where it listens.
    pub address: SocketAddr,
    /// What has come.
    pub seen: Arc<Mutex<Vec<Message>>>,
    /// Connections that the other side or the script has closed.
    pub closed: Arc<AtomicUsize>,
    /// Connections that have come.
    pub opened: Arc<AtomicUsize>,
}

impl Backend {
    /// Starts one on a free port.
    pub fn start(script: impl Fn(&Message) -> Act + Send + Sync + 'static) -> Self {
        Self::start_at("127.0.0.1:0".parse().unwrap(), script)
    }

    /// The same at an address.
    pub fn start_at(at: SocketAddr, script: impl Fn(&Message) -> Act + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind(at).unwrap();
        let address = listener.local_addr().unwrap();
        let (seen, closed) = (Arc::new(Mutex::new(Vec::new())), Arc::new(AtomicUsize::new(0)));
        let (script, to) = (Arc::new(script), (seen.clone(), closed.clone()));
        let opened = Arc::new(AtomicUsize::new(0));
        let count = opened.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                count.fetch_add(1, Ordering::SeqCst);
                let (stream, script, (seen, closed)) = (stream.unwrap(), script.clone(), to.clone());
                thread::spawn(move || {
                    let mut input = BufReader::new(stream.try_clone().unwrap());
                    while let Some(message) = Message::read(&mut input) {
                        seen.lock().unwrap().push(message.clone());
                        let (text, more) = match script(&message) {
                            Act::Write(text) => (text, true),
                            Act::WriteAndClose(text) => (text, false),
                            Act::Hang => (String::new(), true),
                        };
                        if (&stream).write_all(text.as_bytes()).is_err() || !more {
                            break;
                        }
                    }
                    let _ = stream.shutdown(std::net::Shutdown::Both);
                    closed.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        Self { address, seen, closed, opened }
    }

    /// How many requests have come.
    pub fn count(&self) -> usize {
        self.seen.lock().unwrap().len()
    }

    /// How many connections have come.
    #[must_use]
    pub fn opened(&self) -> usize {
        self.opened.load(Ordering::SeqCst)
    }

    /// How many connections have ended.
    pub fn closed(&self) -> usize {
        self.closed.load(Ordering::SeqCst)
    }
}

/// An entry of the list.
pub fn host(name: &str, dial: SocketAddr, health: &str) -> String {
    format!(
        r#"{{"host":"{name}","dial":"{dial}","site":"a","class":"m","block":1,"health":"{health}","share":1.0,"born_ms":0,"odd":1}}"#
    )
}

/// A list of entries.
pub fn list(seq: u32, whole: bool, hosts: &[String]) -> String {
    format!(r#"{{"seq":{seq},"whole":{whole},"hosts":[{}]}}"#, hosts.join(","))
}

/// Discovery: each watch is handed over as its request and the lines to write; dropping these ends it.
pub struct Discovery {
    /// Where it listens.
    pub address: SocketAddr,
    /// Watches, as they come.
    pub watches: mpsc::Receiver<(String, mpsc::Sender<String>)>,
}

impl Discovery {
    /// Starts one.
    pub fn start() -> Self {
        Self::start_at("127.0.0.1:0".parse().unwrap())
    }

    /// Starts one at an address, such as one that refused until now.
    pub fn start_at(at: SocketAddr) -> Self {
        let listener = TcpListener::bind(at).unwrap();
        let address = listener.local_addr().unwrap();
        let (sender, watches) = mpsc::channel();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (mut stream, sender) = (stream.unwrap(), sender.clone());
                thread::spawn(move || {
                    let mut input = BufReader::new(stream.try_clone().unwrap());
                    let Some(request) = Message::read(&mut input) else { return };
                    let (lines, to_write) = mpsc::channel::<String>();
                    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                    stream.write_all(head.as_bytes()).unwrap();
                    let _ = sender.send((request.first, lines));
                    loop {
                        let line = match to_write.recv_timeout(Duration::from_secs(1)) {
                            Ok(line) => line,
                            Err(mpsc::RecvTimeoutError::Timeout) => String::new(),
                            Err(mpsc::RecvTimeoutError::Disconnected) => return,
                        };
                        let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
                        if stream.write_all(chunk.as_bytes()).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Self { address, watches }
    }

    /// The next watch.
    pub fn next(&self) -> (String, mpsc::Sender<String>) {
        self.watches.recv_timeout(LIMIT).expect("a watch")
    }
}

/// Settings with one class of each effect; `more` goes into `ceilings`.
fn settings(mode: &str, aim_ms: u64, more: &str) -> String {
    let class = |name: &str, effect: &str| {
        let (aim, deadline) = (aim_ms * 1_000_000, 20_000_000_000u64);
        format!(
            r#"{{"name":"{name}","effect":"{effect}","dedup_scope":"all","window_ns":5000000000,"target_ns":{aim},"deadline_ns":{deadline},"worth":1.0}}"#
        )
    };
    let classes = [class("read", "pure"), class("submit", "side_effect"), class("put", "token")];
    format!(
        r#"{{"classes":[{}],"zones":["a","b"],"kinds":["m"],"membership_mode":"{mode}","quantum_ns":5000000,"unheard":{{}},
        "rules":{{"ask_every_ns":200000000}},"ceilings":{{"max_attempts":3,"cancel":true,"parallel_tries":true,
        "retry_after":true,"max_retry_after_ns":2000000000,"conn_idle_ns":60000000000,"dial_timeout_ns":250000000{more}}}}}"#,
        classes.join(",")
    )
}

/// Which node of how many it is, as its settings tell it.
#[derive(Clone, Copy, Debug)]
pub struct FleetPosition {
    /// From 0 on.
    pub number: u32,
    /// All of them.
    pub nodes: u32,
}

/// How a node is started.
pub struct Setup {
    /// The list that it knows.
    pub known: String,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// How it discovers.
    pub mode: &'static str,
    /// The aim of all classes.
    pub aim_ms: u64,
    /// More of `ceilings`.
    pub ceilings: &'static str,
    /// It may take a minute and more before it asks discovery.
    pub slow_to_ask: bool,
    /// Memory that it may hold.
    pub memory_mb: usize,
    /// Where staff's calls are kept; `None`: they can't call.
    pub folder: Option<PathBuf>,
    /// A socket for clients that the platform holds, in place of one that the node opens.
    pub socket: Option<TcpListener>,
    /// A line of the shell that ends in the node, which is its `$0`.
    pub line: Option<String>,
    /// Where it shares the servers with other nodes.
    pub position: Option<FleetPosition>,
    /// Other settings: texts of the configuration, each with what stands in its place.
    pub changes: &'static [(&'static str, &'static str)],
}

impl Setup {
    /// Knows these backends, and has a discovery that nothing answers for.
    pub fn of(backends: &[&Backend]) -> Self {
        let hosts: Vec<_> =
            backends.iter().enumerate().map(|(n, b)| host(&format!("s-{n}"), b.address, "active")).collect();
        Self {
            known: list(1, true, &hosts),
            discovery: refusing(),
            mode: "subscribe",
            aim_ms: 10_000,
            ceilings: "",
            slow_to_ask: false,
            memory_mb: 192,
            folder: None,
            socket: None,
            line: None,
            position: None,
            changes: &[],
        }
    }

    /// Has the environment name discovery as well, as a deployment does.
    pub fn start_by_environment(self) -> Node {
        Node::start(&self, Some(self.discovery))
    }

    /// Starts it.
    pub fn start(self) -> Node {
        Node::start(&self, None)
    }

    /// The text of its configuration.
    pub fn text(&self) -> String {
        self.changes.iter().fold(self.positioned_text(), |text, (from, to)| {
            assert!(text.contains(from), "no {from} in {text}");
            text.replace(from, to)
        })
    }

    /// With the number of the node, and a seed of its own, where it is one of several.
    fn positioned_text(&self) -> String {
        let text = self.plain_text();
        let Some(FleetPosition { number, nodes }) = self.position else { return text };
        text.replace("\"unheard\":{}", &format!("\"me\":{number},\"replicas_of_me\":{nodes}"))
            .replace("8c1f30d27a5be964", &format!("8c1f30d27a5b{number:04x}"))
    }

    fn plain_text(&self) -> String {
        let ask_every = if self.slow_to_ask { 600_000_000_000u64 } else { 200_000_000 };
        format!(
            r#"{{"name":"n0","listen":"127.0.0.1:0"{},"discovery":"{}","seed":"8c1f30d27a5be964",
            "limits":{{"cores":1.0,"memory_mb":{},"sockets":256}},"known":{},"settings":{}}}"#,
            if self.folder.is_some() { ",\"admin\":\"127.0.0.1:0\"" } else { "" },
            self.discovery,
            self.memory_mb,
            self.known,
            settings(self.mode, self.aim_ms, self.ceilings)
                .replace("\"ask_every_ns\":200000000", &format!("\"ask_every_ns\":{ask_every}"))
        )
    }
}

/// An address that refuses connections, until somebody listens there. It is kept for as long as this process runs: one that
/// is free again may be given to any other listener of a test beside this one.
pub fn refusing() -> SocketAddr {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    // Who is to listen there later says so as well.
    socket.set_reuse_address(true).unwrap();
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    std::mem::forget(socket);
    address
}

fn config_file(text: &str) -> PathBuf {
    let path = temporary(".json");
    std::fs::write(&path, text).unwrap();
    path
}

fn command(config: &Path) -> Command {
    let mut command = Command::new(built("pumicehead").unwrap());
    with_environment(&mut command, config);
    command
}

fn with_environment(command: &mut Command, config: &Path) {
    command.env("EDGE_CONFIG", config).stderr(Stdio::piped());
    for name in ["EDGE_NAME", "EDGE_LISTEN", "EDGE_DISCOVERY", "EDGE_ADMIN", "EDGE_FD"] {
        command.env_remove(name);
    }
}

/// Runs a node that is to end by itself at once: its code and what it said.
pub fn run_with(text: &str) -> (Option<i32>, String) {
    let done = command(&config_file(text)).output().unwrap();
    (done.status.code(), String::from_utf8(done.stderr).unwrap())
}

/// A running node; killed when dropped.
pub struct Node {
    child: Child,
    config: PathBuf,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it takes calls, if it does.
    calls: Option<SocketAddr>,
}

impl Node {
    fn start(setup: &Setup, discovery: Option<SocketAddr>) -> Self {
        let config = config_file(&setup.text());
        // The shell puts a socket where the platform does.
        let handed = setup.socket.is_some().then(|| "exec \"$0\" 7<&0 0</dev/null".to_owned());
        let mut command = match handed.as_ref().or(setup.line.as_ref()) {
            None => command(&config),
            Some(line) => {
                let mut command = Command::new("sh");
                command.args(["-c", line]).arg(built("pumicehead").unwrap());
                with_environment(&mut command, &config);
                command
            }
        };
        if let Some(socket) = &setup.socket {
            let socket = std::os::fd::OwnedFd::from(socket.try_clone().unwrap());
            command.env("EDGE_FD", "7").stdin(Stdio::from(socket));
        }
        if let Some(folder) = &setup.folder {
            command.env("TMPDIR", folder);
        }
        if let Some(address) = discovery {
            command.env("EDGE_DISCOVERY", address.to_string());
        }
        let mut child = command.spawn().unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let (first_lines, said) = mpsc::channel();
        let count = 1 + usize::from(setup.folder.is_some());
        thread::spawn(move || {
            for _ in 0..count {
                let mut line = String::new();
                let _ = log.read_line(&mut line);
                let _ = first_lines.send(line);
            }
            std::io::copy(&mut log, &mut std::io::sink())
        });
        // One that does not come so far must not hang its test.
        let mut address = || {
            let line = said.recv_timeout(LIMIT).unwrap_or_else(|_| {
                let _ = child.kill();
                "nothing in time".to_owned()
            });
            let address = line.trim().rsplit(' ').next().and_then(|text| text.parse().ok());
            address.unwrap_or_else(|| panic!("no address in `{line}`"))
        };
        let (address, calls) = (address(), setup.folder.is_some().then(&mut address));
        Self { child, config, address, calls }
    }

    /// Where it takes calls.
    pub fn calls(&self) -> SocketAddr {
        self.calls.expect("it takes calls")
    }

    /// Its process.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// A connection to where staff call.
    pub fn caller(&self) -> TcpStream {
        let stream = TcpStream::connect(self.calls()).unwrap();
        stream.set_read_timeout(Some(LIMIT)).unwrap();
        stream
    }

    /// The whole answer to a call.
    pub fn call(&self, line: &str) -> String {
        let mut caller = self.caller();
        caller.write_all(format!("{line}\n").as_bytes()).unwrap();
        std::io::read_to_string(caller).unwrap()
    }

    /// One of its figures; `None` where it has none of that name.
    pub fn figure(&self, name: &str) -> Option<u64> {
        let text = self.call("INFO");
        assert!(text.ends_with("\nEND\n"), "{text}");
        let value = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(':'))?;
        value.split('|').next()?.parse().ok()
    }

    /// A new connection.
    pub fn connect(&self) -> Client {
        Client::connect(self.address)
    }

    /// One request on a connection of its own.
    pub fn ask(&self, request: &str) -> Message {
        let mut client = self.connect();
        client.write(request);
        client.read().expect("an answer")
    }

    /// Sends it SIGTERM.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Sends it a signal, such as `-USR1`.
    pub fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([signal, &pid]).status().unwrap().success());
    }

    /// Replaces its configuration by a text and has it read.
    pub fn reload(&self, text: &str) {
        std::fs::write(&self.config, text).unwrap();
        self.signal("-HUP");
    }

    /// Its configuration.
    pub fn config(&self) -> String {
        std::fs::read_to_string(&self.config).unwrap()
    }

    /// Waits for its end.
    pub fn wait(&mut self) -> ExitStatus {
        wait_for("the node's end", || self.child.try_wait().unwrap().is_some());
        self.child.wait().unwrap()
    }

    /// Bytes of memory that it holds now.
    pub fn resident(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).expect("a line");
        let kibibytes: usize = line.trim().trim_end_matches(" kB").parse().unwrap();
        kibibytes << 10
    }

    /// Whether it still runs.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A client's connection.
pub struct Client {
    stream: TcpStream,
    input: BufReader<TcpStream>,
}

impl Client {
    /// A new connection.
    pub fn connect(address: SocketAddr) -> Self {
        Self::new(TcpStream::connect(address).unwrap())
    }

    fn new(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(LIMIT)).unwrap();
        Self { input: BufReader::new(stream.try_clone().unwrap()), stream }
    }

    /// Writes a text.
    pub fn write(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).unwrap();
    }

    /// Its socket.
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// The next answer; `None` where the connection ends.
    pub fn read(&mut self) -> Option<Message> {
        Message::read(&mut self.input)
    }

    /// The next answer, which has no body whatever its length says.
    pub fn read_head(&mut self) -> Option<Message> {
        Message::read_head(&mut self.input)
    }

    /// Whether the other side has closed, or does before the limit.
    pub fn at_end(&mut self) -> bool {
        self.ends_within(LIMIT)
    }

    /// The same with a limit of its own; whatever comes before is dropped.
    pub fn ends_within(&mut self, limit: Duration) -> bool {
        use std::io::ErrorKind::{TimedOut, WouldBlock};
        self.stream.set_read_timeout(Some(limit)).unwrap();
        match std::io::copy(&mut self.input, &mut std::io::sink()) {
            Ok(_) => true,
            Err(error) => !matches!(error.kind(), TimedOut | WouldBlock),
        }
    }
}

/// A request of a class with the headers that all need.
pub fn request(class: &str, body: &str) -> String {
    request_with(class, body, "X-Time-Left: 15000m\r\n")
}

/// The same with other headers.
pub fn request_with(class: &str, body: &str, headers: &str) -> String {
    let method = if class == "read" { "GET" } else { "POST" };
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let id = NEXT.fetch_add(1, Ordering::SeqCst);
    let length = if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    format!(
        "{method} /{class}/7f3a?x=1 HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: 9b1f{id}\r\nX-Service-Class: {class}\r\n\
         X-Facts: a=1\r\nIdempotency-Key: 5c0f\r\n{headers}{length}\r\n{body}"
    )
}
