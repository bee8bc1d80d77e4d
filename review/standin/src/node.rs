//! The node: its configuration, its process, and what the platform sees of it.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use crate::record::Record;

/// How long a node may take to be ready (STANDING: "takes over 30 s to be ready").
const READY_LIMIT: Duration = Duration::from_secs(30);

/// An entry of discovery's list.
pub fn host(name: &str, dial: SocketAddr, site: &str) -> String {
    format!(
        r#"{{"host":"{name}","dial":"{dial}","site":"{site}","class":"std-4","block":1,"health":"active","share":1.0,"born_ms":0}}"#
    )
}

/// A list of discovery.
pub fn list(seq: u64, hosts: &[String]) -> String {
    format!(r#"{{"seq":{seq},"whole":true,"hosts":[{}]}}"#, hosts.join(","))
}

/// What a node is told.
pub struct Setup {
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// The entries of the list that the node starts with.
    pub hosts: Vec<String>,
    /// Memory limit in MB.
    pub memory_mb: usize,
    /// Limit on descriptors.
    pub sockets: usize,
}

impl Setup {
    /// The configuration. The settings are those of the example in WIRE, for one node.
    fn text(&self, listen: SocketAddr) -> String {
        let Self { discovery, hosts, memory_mb, sockets } = self;
        let known = list(1, hosts);
        let classes = r#"[
 {"name":"board-read","effect":"pure","dedup_scope":"all","window_ns":5000000000,"target_ns":1200000000,"deadline_ns":6000000000,"late_worth":0.3,"worth":1.0,"stream":false},
 {"name":"run-submit","effect":"side_effect","dedup_scope":"all","window_ns":5000000000,"target_ns":600000000,"deadline_ns":1200000000,"late_worth":0.3,"worth":10.0,"stream":false}]"#;
        format!(
            r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},
"known":{known},
"settings":{{
"ceilings":{{"cancel":true,"conn_idle_ns":60000000000,"cpu_us_per_request":0.0,"cpu_us_per_s":8167571,"dial_timeout_ns":250000000,"max_attempts":3,"max_retry_after_ns":2000000000,"most_held":204189,"multiplex":1,"parallel_tries":true,"peers":false,"probes":true,"retry_after":true}},
"classes":{classes},
"clients":{{"marks_retry":true}},"counted_by":"request","family_info":{{"warm_keys":false}},
"goal":{{"whole":0.7,"worst_class":0.2,"worst_tenant":0.0,"worst_window":0.1}},
"kinds":["std-4"],"layers":["tablas"],"me":0,"membership_mode":"subscribe","my_zone":0,"over_share_worth":0.1,
"prices":{{"connection":0.05,"cross_zone":0.01,"handshake":0.05,"late_fail":0.08,"membership_mode":0.0,"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.01,"waste":0.05}},
"quantum_ns":5000000,"replicas_of_me":1,"report":{{"fields":[],"how":"off"}},
"rules":{{"answer_slack_ns":20000000,"ask_every_ns":10000000000,"cold_from":0.16,"cold_ns":23000000000,"fall_multiple":4.0,"fall_ns":1500000000,"stop_sending_within_ns":2000000000}},
"service_type":"proxy","tenants":[],"tier":0,"weights":"off","zones":["cdmx","queretaro","monterrey"]}}}}"#
        )
    }
}

/// A running node. It is killed on drop.
pub struct Node {
    /// Where clients connect.
    pub address: SocketAddr,
    child: Mutex<Child>,
    pid: u32,
    folder: PathBuf,
}

/// The root of the project: two folders above the case.
fn root() -> Result<PathBuf, String> {
    std::env::current_dir()
        .and_then(|folder| folder.join("../..").canonicalize())
        .map_err(|error| format!("root of the project: {error}"))
}

/// The command `run` of the deploy file.
fn run_command(root: &Path) -> Result<String, String> {
    let path = root.join("deploy/balancer.toml");
    let text = std::fs::read_to_string(&path).map_err(|error| format!("{}: {error}", path.display()))?;
    let line = text.lines().find(|line| line.starts_with("run = \"")).ok_or("no `run` in the deploy file")?;
    line.split('"').nth(1).map(str::to_owned).ok_or("`run` has no value".into())
}

/// A free port; nothing else of a case binds to it.
fn free_address() -> Result<SocketAddr, String> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
    listener.local_addr().map_err(|error| error.to_string())
}

impl Node {
    /// Starts a node and waits until `/healthz` answers 200.
    pub fn start(setup: &Setup, record: &Record) -> Result<Self, String> {
        let root = root()?;
        let run = run_command(&root)?;
        let address = free_address()?;
        let folder = std::env::temp_dir().join(format!("review-{}-{}", std::process::id(), address.port()));
        let private = folder.join("tmp");
        std::fs::create_dir_all(&private).map_err(|error| error.to_string())?;
        let config = folder.join("config.json");
        std::fs::write(&config, setup.text(address)).map_err(|error| error.to_string())?;
        let log = std::fs::File::create(folder.join("log")).map_err(|error| error.to_string())?;
        let child = Command::new("/bin/sh")
            .args(["-c", &run])
            .current_dir(&root)
            .env("EDGE_CONFIG", &config)
            .env("EDGE_NAME", "n0")
            .env("EDGE_LISTEN", address.to_string())
            .env("EDGE_DISCOVERY", setup.discovery.to_string())
            .env_remove("EDGE_ADMIN")
            .env_remove("EDGE_FD")
            .env("TMPDIR", &private)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(|error| format!("{run}: {error}"))?;
        let pid = child.id();
        if let Ok(path) = std::env::var("PID_FILE") {
            let _ = std::fs::write(path, format!("{pid}\n"));
        }
        let node = Self { address, child: Mutex::new(child), pid, folder };
        record.line(format!(
            "node started: `{run}`, memory_mb {}, sockets {}, listens on {address}",
            setup.memory_mb, setup.sockets
        ));
        let start = Instant::now();
        while !node.is_healthy() {
            if start.elapsed() > READY_LIMIT || !node.is_running() {
                return Err("the node did not get ready".into());
            }
            thread::sleep(Duration::from_millis(20));
        }
        record.line("node ready: /healthz answered 200");
        Ok(node)
    }

    fn is_healthy(&self) -> bool {
        let ask = || {
            let mut stream = TcpStream::connect(self.address)?;
            stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            stream.write_all(b"GET /healthz HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n\r\n")?;
            let mut answer = String::new();
            stream.read_to_string(&mut answer)?;
            std::io::Result::Ok(answer)
        };
        ask().is_ok_and(|answer| answer.starts_with("HTTP/1.1 200"))
    }

    /// Whether the process runs.
    pub fn is_running(&self) -> bool {
        matches!(self.child.lock().unwrap().try_wait(), Ok(None))
    }

    /// Resident memory of the process itself in bytes, without the pages of its program file and libraries; `None` if the
    /// process has ended.
    pub fn resident_bytes(&self) -> Option<usize> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid)).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"))?;
        line.trim().strip_suffix(" kB")?.trim().parse::<usize>().ok().map(|kib| kib << 10)
    }

    /// Number of open descriptors.
    pub fn descriptors(&self) -> Option<usize> {
        Some(std::fs::read_dir(format!("/proc/{}/fd", self.pid)).ok()?.count())
    }

    /// Kills the node, as the platform does with one that is over its memory limit.
    pub fn kill(&self) {
        let mut child = self.child.lock().unwrap();
        let _ = child.kill();
        let _ = child.wait();
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
