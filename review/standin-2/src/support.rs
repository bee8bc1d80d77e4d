//! What every case uses: the record, the node's process, discovery, backends, clients.

use std::collections::HashMap;
use std::env;
use std::fmt::Write as _;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const MS: Duration = Duration::from_millis(1);

/// Milliseconds as a duration.
pub const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// `record.txt`, and the clock of the case.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Arc<Self> {
        let file = File::create(path).expect("record.txt can be written");
        Arc::new(Self { file: Mutex::new(file), start: Instant::now() })
    }

    /// Seconds since the start of the case.
    pub fn at(&self, time: Instant) -> f64 {
        time.saturating_duration_since(self.start).as_secs_f64()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.at(Instant::now());
        let _ = writeln!(self.file.lock().unwrap(), "{at:9.4} {}", text.as_ref());
    }

    /// A line that also goes to standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        // Nobody has to read it.
        let _ = writeln!(io::stdout(), "{}", text.as_ref());
        self.line(text);
    }
}

/// How a case ends.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun(String),
}

impl Verdict {
    pub fn exit(self, record: &Record) -> ExitCode {
        match self {
            Self::Held => {
                record.say("verdict: the rule held");
                ExitCode::from(0)
            }
            Self::Broken => {
                record.say("verdict: the rule was broken");
                ExitCode::from(1)
            }
            Self::CouldNotRun(why) => {
                record.say(format!("verdict: the case could not run: {why}"));
                ExitCode::from(2)
            }
        }
    }
}

/// Whether the disruption takes place.
pub fn trouble() -> bool {
    env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// An address of this machine's loopback interface that is free now.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("a free port")
}

/// A backend's entry in discovery's list.
#[derive(Clone, Debug)]
pub struct Entry {
    pub host: String,
    pub dial: SocketAddr,
    pub site: String,
    pub block: u16,
    pub health: &'static str,
    pub born_ms: u64,
}

impl Entry {
    pub fn active(host: &str, dial: SocketAddr) -> Self {
        Self { host: host.into(), dial, site: "a".into(), block: 0, health: "active", born_ms: 0 }
    }

    fn json(&self) -> String {
        format!(
            r#"{{"host":"{}","dial":"{}","site":"{}","class":"m","block":{},"health":"{}","share":1.0,"born_ms":{}}}"#,
            self.host, self.dial, self.site, self.block, self.health, self.born_ms
        )
    }
}

pub fn list_json(seq: u64, whole: bool, entries: &[Entry]) -> String {
    let hosts: Vec<_> = entries.iter().map(Entry::json).collect();
    format!(r#"{{"seq":{seq},"whole":{whole},"hosts":[{}]}}"#, hosts.join(","))
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// What a node is told.
pub struct NodeConfig {
    pub name: String,
    pub number: usize,
    pub nodes: usize,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub memory_mb: u64,
    pub sockets: u64,
    pub seed: u64,
    pub known: String,
    /// The members of `settings`, without the braces.
    pub settings: String,
}

impl NodeConfig {
    pub fn text(&self) -> String {
        format!(
            r#"{{"name":"{}","listen":"{}","discovery":"{}","seed":"{:016x}",
"limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},
"known":{},
"settings":{{"me":{},"replicas_of_me":{},{}}}}}"#,
            self.name,
            self.listen,
            self.discovery,
            self.seed,
            self.memory_mb,
            self.sockets,
            self.known,
            self.number,
            self.nodes,
            self.settings
        )
    }
}

/// A temporary folder.
pub struct Folder(pub PathBuf);

impl Folder {
    /// The folder that `run.sh` has made, in CASE_TEMP.
    pub fn of_case() -> Self {
        let path = env::var_os("CASE_TEMP").expect("CASE_TEMP: the cases are started by run.sh");
        Self(path.into())
    }

    /// Tells `run.sh` that no process is left.
    pub fn forget_processes(&self) {
        let _ = fs::remove_file(self.0.join("processes"));
    }

    /// Notes a process for `run.sh`, which ends it if this program can't.
    fn note_process(&self, pid: u32) -> io::Result<()> {
        writeln!(File::options().create(true).append(true).open(self.0.join("processes"))?, "{pid}")
    }
}

/// Sends a signal to a process that this program started.
pub fn signal(pid: u32, name: &str) {
    let _ = Command::new("sh").args(["-c", &format!("kill -{name} {pid}")]).stderr(Stdio::null()).status();
}

/// A node's process; killed on drop.
pub struct Node {
    pub child: Child,
    pub address: SocketAddr,
}

impl Node {
    /// Starts the node with the command `run` of the deploy file, which `run.sh` hands over in RUN_COMMAND, from the
    /// root of the repository, in ROOT. Its log goes to a file in the folder.
    pub fn start(folder: &Folder, config: &NodeConfig) -> io::Result<Self> {
        let path = folder.0.join(format!("{}.json", config.name));
        fs::write(&path, config.text())?;
        let log =
            File::options().create(true).append(true).open(folder.0.join(format!("{}.log", config.name)))?;
        let tmp = folder.0.join(format!("{}-tmp", config.name));
        let _ = fs::remove_dir_all(&tmp);
        fs::create_dir_all(&tmp)?;
        let run = env::var("RUN_COMMAND").unwrap_or_else(|_| "exec target/release/pumicehead".into());
        let root = env::var("ROOT").unwrap_or_else(|_| ".".into());
        let child = Command::new("/bin/sh")
            .args(["-c", &run])
            .current_dir(root)
            .env("EDGE_NAME", &config.name)
            .env("EDGE_LISTEN", config.listen.to_string())
            .env("EDGE_DISCOVERY", config.discovery.to_string())
            .env("EDGE_CONFIG", &path)
            .env("TMPDIR", &tmp)
            .env_remove("EDGE_ADMIN")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::from(log))
            .spawn()?;
        folder.note_process(child.id())?;
        Ok(Self { child, address: config.listen })
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Waits until `GET /healthz` answers 200.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if let Ok(mut client) = Client::connect(self.address)
                && let Ok(answer) = client.exchange(b"GET /healthz HTTP/1.1\r\nHost: node\r\n\r\n", ms(500))
                && answer.status == 200
            {
                return true;
            }
            thread::sleep(ms(20));
        }
        false
    }

    /// Whether the process has ended, and how.
    pub fn ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A value of `/proc/PID/status` in KiB.
pub fn status_kib(pid: u32, name: &str) -> Option<u64> {
    let text = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = text.lines().find(|line| line.starts_with(name) && line[name.len()..].starts_with(':'))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

/// The head of a message, and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub start: String,
    /// Field names are in lower case.
    pub fields: HashMap<String, String>,
    pub body: Vec<u8>,
    pub status: u16,
    /// When the last byte had been read.
    pub ended: Option<Instant>,
}

impl Message {
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }

    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }
}

fn invalid(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text)
}

/// Reads a head; `None` at an end before its first byte.
pub fn read_head(input: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    loop {
        line.clear();
        if input.read_line(&mut line)? == 0 {
            return if message.start.is_empty() { Ok(None) } else { Err(invalid("end within a head")) };
        }
        let text = line.trim_end();
        if text.is_empty() {
            if message.start.is_empty() {
                continue;
            }
            return Ok(Some(message));
        }
        if message.start.is_empty() {
            message.start = text.into();
            message.status = text.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0);
        } else if let Some((name, value)) = text.split_once(':') {
            message.fields.insert(name.to_ascii_lowercase(), value.trim().into());
        }
    }
}

/// Reads the body that the head states: by length, chunked, or none.
pub fn read_body(input: &mut impl BufRead, message: &mut Message) -> io::Result<()> {
    if message.field("transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            let mut line = String::new();
            if input.read_line(&mut line)? == 0 {
                return Err(invalid("end within a chunked body"));
            }
            let size = line.trim().split(';').next().unwrap_or("");
            let size = usize::from_str_radix(size, 16).map_err(|_| invalid("chunk size"))?;
            let mut chunk = vec![0; size + 2];
            input.read_exact(&mut chunk)?;
            if size == 0 {
                break;
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    } else if let Ok(length) = message.field("content-length").parse::<usize>() {
        message.body = vec![0; length];
        input.read_exact(&mut message.body)?;
    }
    message.ended = Some(Instant::now());
    Ok(())
}

/// A client's connection.
pub struct Client(BufReader<TcpStream>);

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, ms(1000))?;
        stream.set_nodelay(true)?;
        Ok(Self(BufReader::with_capacity(16 << 10, stream)))
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.0.get_mut().write_all(bytes)
    }

    /// Reads one answer within the limit, which applies to each read.
    pub fn receive(&mut self, limit: Duration) -> io::Result<Message> {
        self.0.get_ref().set_read_timeout(Some(limit.max(MS)))?;
        loop {
            let head = read_head(&mut self.0)?;
            let mut message = head.ok_or_else(|| io::Error::new(io::ErrorKind::UnexpectedEof, "closed"))?;
            if message.status / 100 == 1 {
                continue;
            }
            read_body(&mut self.0, &mut message)?;
            return Ok(message);
        }
    }

    pub fn exchange(&mut self, bytes: &[u8], limit: Duration) -> io::Result<Message> {
        self.send(bytes)?;
        self.receive(limit)
    }
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A new correlation id.
pub fn new_id() -> String {
    let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// A request of a client.
pub fn request(
    method: &str,
    class: &str,
    id: &str,
    key: Option<&str>,
    time_left_ms: u64,
    body: &[u8],
) -> Vec<u8> {
    let mut head = format!(
        "{method} /{class}/{id} HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: {id}\r\nX-Service-Class: {class}\r\nX-Time-Left: {time_left_ms}m\r\n"
    );
    if let Some(key) = key {
        let _ = write!(head, "Idempotency-Key: {key}\r\n");
    }
    if method != "GET" {
        let _ = write!(head, "Content-Length: {}\r\n", body.len());
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// What a backend does with a request; returns whether the connection stays open.
pub type Handler = dyn Fn(&Message, &mut TcpStream) -> io::Result<bool> + Send + Sync;

/// A backend; its threads end with the process.
pub struct Backend {
    pub name: String,
    pub address: SocketAddr,
}

impl Backend {
    pub fn start(name: &str, handler: Arc<Handler>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for a backend");
        let address = listener.local_addr().expect("the address of a backend");
        thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(stream) = stream else { continue };
                let handler = handler.clone();
                let _ = thread::Builder::new().stack_size(256 << 10).spawn(move || {
                    let _ = serve(stream, &*handler);
                });
            }
        });
        Self { name: name.into(), address }
    }

    pub fn entry(&self) -> Entry {
        Entry::active(&self.name, self.address)
    }
}

fn serve(stream: TcpStream, handler: &Handler) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut input = BufReader::with_capacity(16 << 10, stream);
    while let Some(mut message) = read_head(&mut input)? {
        read_body(&mut input, &mut message)?;
        if !handler(&message, input.get_mut())? {
            return Ok(());
        }
    }
    Ok(())
}

/// A 200 answer with a stated length.
pub fn answer_200(body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// A discovery service whose list does not change; its threads end with the process.
pub struct Discovery {
    pub address: SocketAddr,
    entries: Vec<Entry>,
}

impl Discovery {
    pub fn start(entries: Vec<Entry>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for discovery");
        let address = listener.local_addr().expect("the address of discovery");
        let this = Arc::new(Self { address, entries });
        let serving = this.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(stream) = stream else { continue };
                let serving = serving.clone();
                thread::spawn(move || {
                    let _ = serving.serve(stream);
                });
            }
        });
        this
    }

    /// The whole list, as a node is told it at its start.
    pub fn known(&self) -> String {
        list_json(1, true, &self.entries)
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut input = BufReader::new(stream.try_clone()?);
        while let Some(message) = read_head(&mut input)? {
            if message.path().contains("watch=1") {
                return self.watch(stream, message.path().ends_with("after=0"));
            }
            let text = self.known();
            let length = text.len();
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n"
            );
            stream.write_all(head.as_bytes())?;
            stream.write_all(text.as_bytes())?;
        }
        Ok(())
    }

    /// What changed, which is nothing, or the whole list; then an empty line every 2 s.
    fn watch(&self, mut stream: TcpStream, is_whole: bool) -> io::Result<()> {
        stream.write_all(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n",
        )?;
        let mut text = if is_whole { self.known() } else { list_json(1, false, &[]) };
        loop {
            text.push('\n');
            stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
            text.clear();
            thread::sleep(ms(2000));
        }
    }
}

/// The environment of a case: its folder for `record.txt`, and a temporary one.
pub struct Case {
    pub record: Arc<Record>,
    pub folder: Folder,
    pub trouble: bool,
}

impl Case {
    pub fn begin() -> Self {
        let here = env::var("CASE_FOLDER").unwrap_or_else(|_| ".".into());
        let record = Record::create(&Path::new(&here).join("record.txt"));
        let trouble = trouble();
        record.line(format!("trouble: {trouble}"));
        Self { record, folder: Folder::of_case(), trouble }
    }
}

/// The members of `settings` of a deployment with two classes: `board-read`, which is safe to repeat, and `run-submit`,
/// which is not. Times are in milliseconds.
pub fn settings(submit_target_ms: u64, submit_deadline_ms: u64) -> String {
    let class = |name: &str, effect: &str, target: u64, deadline: u64, worth: f64| {
        format!(
            r#"{{"name":"{name}","effect":"{effect}","dedup_scope":"all","window_ns":5000000000,"stream":false,"target_ns":{},"deadline_ns":{},"late_worth":0.3,"worth":{worth:?}}}"#,
            target * 1_000_000,
            deadline * 1_000_000
        )
    };
    let classes = [
        class("board-read", "pure", 1200, 6000, 1.0),
        class("run-submit", "side_effect", submit_target_ms, submit_deadline_ms, 10.0),
    ];
    format!(
        r#""ceilings":{{"cancel":true,"conn_idle_ns":60000000000,"cpu_us_per_request":0.0,"cpu_us_per_s":8167571,"dial_timeout_ns":250000000,"max_attempts":3,"max_retry_after_ns":2000000000,"most_held":204189,"multiplex":1,"parallel_tries":true,"peers":false,"probes":true,"retry_after":true}},
"classes":[{}],
"clients":{{"marks_retry":true}},"counted_by":"work","family_info":{{"warm_keys":false}},
"goal":{{"whole":0.7,"worst_class":0.2,"worst_tenant":0.0,"worst_window":0.1}},"kinds":["m"],"layers":["l"],
"membership_mode":"subscribe","my_zone":0,"over_share_worth":0.1,
"prices":{{"connection":0.05,"cross_zone":0.01,"handshake":0.05,"late_fail":0.08,"membership_mode":0.0,"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.01,"waste":0.05}},
"quantum_ns":5000000,"report":{{"fields":[],"how":"off"}},
"rules":{{"answer_slack_ns":20000000,"ask_every_ns":10000000000,"cold_from":0.16,"cold_ns":23000000000,"fall_multiple":4.0,"fall_ns":1500000000,"stop_sending_within_ns":2000000000}},
"service_type":"proxy","tenants":[],"tier":0,"weights":"off","zones":["a","b","c"]"#,
        classes.join(",")
    )
}

/// A single node with these backends: discovery, and the node's process once it is ready.
pub fn single_node(
    case: &Case,
    backends: &[Backend],
    memory_mb: u64,
    settings: String,
) -> Result<(Arc<Discovery>, Node), Verdict> {
    let discovery = Discovery::start(backends.iter().map(Backend::entry).collect());
    let config = NodeConfig {
        name: "n0".into(),
        number: 0,
        nodes: 1,
        listen: free_address(),
        discovery: discovery.address,
        memory_mb,
        sockets: 1024,
        seed: unix_ms(),
        known: discovery.known(),
        settings,
    };
    let node = Node::start(&case.folder, &config)
        .map_err(|error| Verdict::CouldNotRun(format!("the node was not started: {error}")))?;
    if node.wait_ready(ms(10_000)) {
        case.record.line(format!("node ready, process {}, memory_mb {memory_mb}, sockets 1024", node.pid()));
        Ok((discovery, node))
    } else {
        Err(Verdict::CouldNotRun("the node was not ready within 10 s".into()))
    }
}
