//! The process of a node that is configured by the platform.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, ExitStatus, Stdio};
use std::sync::mpsc;
use std::thread;

use super::{Client, Message, Setup};
use crate::program::{LIMIT, built, temporary, wait_for};

/// Shell command line that hands the listening socket on stdin over as descriptor 7, as the platform does.
const EXEC_WITH_SOCKET: &str = "exec \"$0\" 7<&0 0</dev/null";
/// The descriptor of [`EXEC_WITH_SOCKET`], for `EDGE_FD`.
const SOCKET_DESCRIPTOR: &str = "7";

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

/// Runs a node that is expected to exit at once, such as with an invalid configuration. Returns its exit code and its log.
pub fn run_with(text: &str) -> (Option<i32>, String) {
    let done = command(&config_file(text)).output().unwrap();
    (done.status.code(), String::from_utf8(done.stderr).unwrap())
}

/// The command that starts a node as `setup` says.
fn node_command(setup: &Setup, discovery: Option<SocketAddr>, config: &Path) -> Command {
    let shell_line = setup.socket.is_some().then_some(EXEC_WITH_SOCKET).or(setup.shell_line.as_deref());
    let mut command = match shell_line {
        None => command(config),
        Some(line) => {
            let mut command = Command::new("sh");
            command.args(["-c", line]).arg(built("pumicehead").unwrap());
            with_environment(&mut command, config);
            command
        }
    };
    if let Some(socket) = &setup.socket {
        let socket = OwnedFd::from(socket.try_clone().unwrap());
        command.env("EDGE_FD", SOCKET_DESCRIPTOR).stdin(Stdio::from(socket));
    }
    if let Some(folder) = &setup.folder {
        command.env("TMPDIR", folder);
    }
    if let Some(address) = discovery {
        command.env("EDGE_DISCOVERY", address.to_string());
    }
    command
}

/// Reads a log to its end on a thread, so that the node never blocks on it. Returns its first lines, `count` of them.
fn read_log(log: ChildStderr, count: usize) -> mpsc::Receiver<String> {
    let mut log = BufReader::new(log);
    let (sender, first_lines) = mpsc::channel();
    thread::spawn(move || {
        for _ in 0..count {
            let mut line = String::new();
            let _ = log.read_line(&mut line);
            let _ = sender.send(line);
        }
        std::io::copy(&mut log, &mut std::io::sink())
    });
    first_lines
}

/// A running node; it is killed on drop.
pub struct Node {
    child: Child,
    config: PathBuf,
    /// Where it listens.
    pub address: SocketAddr,
    /// Address of the admin listener, where it has one.
    admin: Option<SocketAddr>,
}

impl Node {
    pub(super) fn start(setup: &Setup, discovery: Option<SocketAddr>) -> Self {
        let config = config_file(&setup.text());
        let mut child = node_command(setup, discovery, &config).spawn().unwrap();
        let listeners = 1 + usize::from(setup.folder.is_some());
        let first_lines = read_log(child.stderr.take().unwrap(), listeners);
        // A node that does not start must not hang its test.
        let mut next_address = || {
            let line = first_lines.recv_timeout(LIMIT).unwrap_or_else(|_| {
                let _ = child.kill();
                "no log line before the timeout".to_owned()
            });
            let address = line.trim().rsplit(' ').next().and_then(|text| text.parse().ok());
            address.unwrap_or_else(|| panic!("no listener address in log line `{line}`"))
        };
        let address = next_address();
        let admin = setup.folder.is_some().then(&mut next_address);
        Self { child, config, address, admin }
    }

    /// Address of the admin listener.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin.expect("no admin listener: the node was started without `folder`")
    }

    /// Process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Connects to the admin listener.
    pub fn connect_admin(&self) -> TcpStream {
        let stream = TcpStream::connect(self.admin_address()).unwrap();
        stream.set_read_timeout(Some(LIMIT)).unwrap();
        stream
    }

    /// Sends an admin command and returns the whole answer.
    pub fn admin_command(&self, line: &str) -> String {
        let mut caller = self.connect_admin();
        caller.write_all(format!("{line}\n").as_bytes()).unwrap();
        std::io::read_to_string(caller).unwrap()
    }

    /// Returns a value from the answer to the admin command `INFO`; `None` where it has no such name.
    pub fn info_value(&self, name: &str) -> Option<u64> {
        let text = self.admin_command("INFO");
        assert!(text.ends_with("\nEND\n"), "{text}");
        let value = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(':'))?;
        value.split('|').next()?.parse().ok()
    }

    /// Opens a client connection.
    pub fn connect(&self) -> Client {
        Client::connect(self.address)
    }

    /// Sends a request on a connection of its own and reads the response.
    pub fn ask(&self, request: &str) -> Message {
        let mut client = self.connect();
        client.write(request);
        client.read().expect("connection closed before a response")
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Sends a signal, such as `-USR1`.
    pub fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([signal, &pid]).status().unwrap().success());
    }

    /// Replaces the configuration file and sends SIGHUP.
    pub fn reload(&self, text: &str) {
        std::fs::write(&self.config, text).unwrap();
        self.signal("-HUP");
    }

    /// The text of the configuration file.
    pub fn config(&self) -> String {
        std::fs::read_to_string(&self.config).unwrap()
    }

    /// Waits until the process exits.
    pub fn wait(&mut self) -> ExitStatus {
        wait_for("node process to exit", || self.child.try_wait().unwrap().is_some());
        self.child.wait().unwrap()
    }

    /// Resident memory in bytes.
    pub fn resident_bytes(&self) -> usize {
        self.status_bytes("VmRSS:")
    }

    /// Resident memory in bytes without the pages of files, such as the program.
    pub fn anonymous_bytes(&self) -> usize {
        self.status_bytes("RssAnon:")
    }

    /// Returns a size from the process's status, whose lines begin with the field's name.
    fn status_bytes(&self, field: &str) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let size =
            status.lines().find_map(|line| line.strip_prefix(field)).expect("a line in /proc/PID/status");
        let kibibytes: usize = size.trim().trim_end_matches(" kB").parse().unwrap();
        kibibytes << 10
    }

    /// Whether the process still runs.
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
