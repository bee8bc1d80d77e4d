//! Real nodes as processes. Each runs under a shell that waits on a pipe of this process: when the pipe closes, also because
//! this process was killed, the shell kills the node and ends.

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

/// Starts the node, prints its process id, and ends the node and removes its file at the end of standard input.
const GUARD: &str =
    r#""$0" run "$1" </dev/null & echo $!; read _; kill -KILL $! 2>/dev/null; wait; rm -f "$1""#;
/// Between two looks at a log.
const LOG_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Longest wait for an answer to staff.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// A real node without traffic; killed when dropped.
pub struct RealNode {
    name: String,
    guard: Child,
    pid: u32,
    file: PathBuf,
    log: Arc<Mutex<Vec<String>>>,
    /// Where other members reach it.
    pub address: SocketAddr,
    admin_address: SocketAddr,
}

/// A node's answer to staff about its view.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct MemberView {
    /// Of the whole view, in hexadecimal.
    pub fingerprint: String,
    /// Members that are there.
    #[serde(rename = "there")]
    pub active_members: usize,
}

/// What a node holds a member for.
#[derive(Deserialize)]
struct MemberEntry {
    state: String,
}

fn text(name: &str, fleet: &str, zone: &str, seeds: &[SocketAddr]) -> String {
    let seeds: String = seeds.iter().map(|seed| format!(" {seed}")).collect();
    let seeds = if seeds.is_empty() { seeds } else { format!("seeds{seeds}") };
    // No request comes, so nothing is ever sent to the server.
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
    /// Starts one, and waits until it listens.
    ///
    /// # Errors
    /// A program that is not built, or a node that does not come up.
    pub fn start(name: &str, fleet: &str, zone: &str, seeds: &[SocketAddr]) -> io::Result<Self> {
        let file = temporary(".conf");
        fs::write(&file, text(name, fleet, zone, seeds))?;
        let mut command = Command::new("/bin/sh");
        command.args(["-c", GUARD]).arg(built("pumicehead")?).arg(&file).env_remove("EDGE_CONFIG");
        // A group of its own: what interrupts this process from a terminal leaves the guard to do its work.
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
            let told = log.iter().find_map(|line| line.split_once(words)?.1.trim().parse().ok());
            if let Some(address) = told {
                return Ok(address);
            }
            thread::sleep(LOG_POLL_INTERVAL);
        }
        Err(io::Error::new(io::ErrorKind::TimedOut, format!("{} does not start", self.name)))
    }

    /// Its name.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Its member table, from the admin listener.
    ///
    /// # Errors
    /// No answer, or one that is no view.
    pub fn view(&self) -> io::Result<MemberView> {
        Ok(serde_json::from_str(&self.admin_command("FLEET members")?)?)
    }

    /// Whether it holds a member dead, from the admin listener: the log is rate-limited, and too late for this.
    ///
    /// # Errors
    /// No answer, or one that is about no member.
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

    /// Its process.
    #[must_use]
    pub fn pid(&self) -> u32 {
        self.pid
    }

    /// Memory that it holds now, in bytes.
    #[must_use]
    pub fn memory(&self) -> u64 {
        memory(self.pid)
    }

    /// Processor time that all its threads have used, in seconds.
    #[must_use]
    pub fn cpu_seconds(&self) -> f64 {
        all_threads_cpu_seconds(self.pid)
    }

    /// Kills it, without a word to the others.
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

/// Processor time that the living threads of a process have used, in seconds; 0 where the system does not tell.
fn all_threads_cpu_seconds(pid: u32) -> f64 {
    let Ok(threads) = fs::read_dir(format!("/proc/{pid}/task")) else { return 0.0 };
    threads.filter_map(Result::ok).map(|thread| thread_cpu_seconds(&thread.path())).sum()
}
