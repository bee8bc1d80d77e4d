//! Real nodes as child processes. Each runs under a shell that waits on a pipe from this process: when the pipe closes, also
//! because this process was killed, the shell kills the node and exits.

use std::fs;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use pumicehead_membership::MemberState;
use serde::Deserialize;

use super::event_loops::thread_cpu_seconds;
use crate::program::{LIMIT, built, memory, temporary};

/// Starts the node and prints its process id; at the end of standard input, kills the node and removes its configuration file.
const GUARD: &str =
    r#""$0" run "$1" </dev/null & echo $!; read _; kill -KILL $! 2>/dev/null; wait; rm -f "$1""#;
/// Interval at which the log is polled for an address.
const LOG_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Read timeout of the answer to an admin command.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// A real node without traffic; it is killed on drop.
pub struct RealNode {
    name: String,
    guard: Child,
    pid: u32,
    file: PathBuf,
    log: Arc<Mutex<Vec<String>>>,
    /// Its membership address.
    pub address: SocketAddr,
    admin_address: SocketAddr,
}

/// A node's answer to the admin command `FLEET members`.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct MemberView {
    /// Fingerprint of the whole member table, in hexadecimal.
    pub fingerprint: String,
    /// Number of active members.
    #[serde(rename = "there")]
    pub active_members: usize,
}

/// A node's answer to the admin command `FLEET why`, as far as it is needed.
#[derive(Deserialize)]
struct MemberEntry {
    state: String,
}

fn text(name: &str, fleet: &str, zone: &str, seeds: &[SocketAddr]) -> String {
    let seeds: String = seeds.iter().map(|seed| format!(" {seed}")).collect();
    let seeds = if seeds.is_empty() { seeds } else { format!("seeds{seeds}") };
    // The server address is never used, as the node receives no requests.
    format!(
        "node {{ name {name}; zones {zone}; zone {zone} }}\n\
         listener public {{ address 127.0.0.1:0 }}\n\
         pool boards {{ server s {{ address 127.0.0.1:9 }} }}\n\
         class read {{ aim 5s; deadline 20s; repeats safe }}\n\
         route all {{ path /**; class read; pool boards }}\n\
         observe {{ calls 127.0.0.1:0 }}\n\
         fleet {{ name {fleet}; address 127.0.0.1:0; {seeds} }}\n"
    )
}

impl RealNode {
    /// Starts a node and waits until its listeners are open.
    ///
    /// # Errors
    /// A program that is not built, or a node that fails to start.
    pub fn start(name: &str, fleet: &str, zone: &str, seeds: &[SocketAddr]) -> io::Result<Self> {
        let file = temporary(".conf");
        fs::write(&file, text(name, fleet, zone, seeds))?;
        let mut command = Command::new("/bin/sh");
        command.args(["-c", GUARD]).arg(built("pumicehead")?).arg(&file).env_remove("EDGE_CONFIG");
        // A separate process group: an interrupt from the terminal must not reach the guard, which still has to clean up.
        command.process_group(0).stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::piped());
        let mut guard = command.spawn()?;
        let output = guard.stdout.take().ok_or(io::ErrorKind::BrokenPipe)?;
        let mut pid = String::new();
        BufReader::new(output).read_line(&mut pid)?;
        let pid = pid.trim().parse().map_err(io::Error::other)?;
        let errors = guard.stderr.take().ok_or(io::ErrorKind::BrokenPipe)?;
        let log = Arc::new(Mutex::new(Vec::new()));
        let lines = log.clone();
        thread::spawn(move || {
            for line in BufReader::new(errors).lines().map_while(Result::ok) {
                lines.lock().unwrap_or_else(PoisonError::into_inner).push(line);
            }
        });
        let nowhere = ([127, 0, 0, 1], 0).into();
        let mut node =
            Self { name: name.into(), guard, pid, file, log, address: nowhere, admin_address: nowhere };
        node.address = node.wait_for_address(" fleet_address=")?;
        node.admin_address = node.wait_for_address(" takes admin commands on ")?;
        Ok(node)
    }

    fn wait_for_address(&self, words: &str) -> io::Result<SocketAddr> {
        let start = Instant::now();
        while start.elapsed() < LIMIT {
            let log = self.log.lock().unwrap_or_else(PoisonError::into_inner).clone();
            let logged = log.iter().find_map(|line| line.split_once(words)?.1.trim().parse().ok());
            if let Some(address) = logged {
                return Ok(address);
            }
            thread::sleep(LOG_POLL_INTERVAL);
        }
        Err(io::Error::new(
            io::ErrorKind::TimedOut,
            format!("{} has not logged `{}` within {LIMIT:?}", self.name, words.trim()),
        ))
    }

    /// Its name.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Its member table, from the admin listener.
    ///
    /// # Errors
    /// No answer, or a malformed one.
    pub fn view(&self) -> io::Result<MemberView> {
        Ok(serde_json::from_str(&self.admin_command("FLEET members")?)?)
    }

    /// Whether it considers a member dead, from the admin listener: the log is rate-limited, so its lines may be late or missing.
    ///
    /// # Errors
    /// No answer, or one for an unknown member.
    pub fn considers_dead(&self, name: &str) -> io::Result<bool> {
        let entry: MemberEntry = serde_json::from_str(&self.admin_command(&format!("FLEET why {name}"))?)?;
        Ok(entry.state == MemberState::Dead.as_str())
    }

    fn admin_command(&self, call: &str) -> io::Result<String> {
        let mut stream = TcpStream::connect(self.admin_address)?;
        stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
        stream.write_all(format!("{call}\n").as_bytes())?;
        let mut text = String::new();
        stream.read_to_string(&mut text)?;
        Ok(text)
    }

    /// Process id of the node, not of its guard.
    #[must_use]
    pub fn pid(&self) -> u32 {
        self.pid
    }

    /// Resident memory, in bytes.
    #[must_use]
    pub fn memory(&self) -> u64 {
        memory(self.pid)
    }

    /// Processor time that all its threads have used, in seconds.
    #[must_use]
    pub fn cpu_seconds(&self) -> f64 {
        all_threads_cpu_seconds(self.pid)
    }

    /// Kills the node without a leave message to other members, and waits for its guard to exit.
    pub fn kill(&mut self) {
        drop(self.guard.stdin.take());
        let _ = self.guard.wait();
    }
}

impl Drop for RealNode {
    fn drop(&mut self) {
        self.kill();
        let _ = fs::remove_file(&self.file);
    }
}

/// Processor time of all current threads of a process, in seconds; 0 where `/proc` does not have it.
fn all_threads_cpu_seconds(pid: u32) -> f64 {
    let Ok(threads) = fs::read_dir(format!("/proc/{pid}/task")) else { return 0.0 };
    threads.filter_map(Result::ok).map(|thread| thread_cpu_seconds(&thread.path())).sum()
}
