//! A real node process: started with the text of a configuration, reloaded with SIGHUP, killed on drop.

use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{self, Receiver};
use std::time::{Duration, Instant};
use std::{fs, thread};

use super::probe::ProbeClient;
use super::procfs::CpuTimes;
use crate::program::temporary;

/// Timeout of a start and of a configuration change.
const LIMIT: Duration = Duration::from_secs(60);
/// Log text of a change that is in force.
const IN_FORCE: &str = "reload: done";
/// Log text of a rejected change.
const REFUSED: &str = "the old configuration stays";
/// Log texts of a stall of the event loop or the process, in all versions that are compared.
const STALL_LINES: [&str; 3] = ["event loop stalled", "membership loop stalled", "stood still for"];

struct LogLine {
    at: Instant,
    text: String,
}

impl LogLine {
    fn is_stall(&self) -> bool {
        STALL_LINES.iter().any(|words| self.text.contains(words))
    }
}

/// A running node.
pub struct NodeProcess {
    child: Child,
    file: PathBuf,
    log: Receiver<LogLine>,
    stalls: usize,
    /// Address of its listener.
    pub address: SocketAddr,
    /// From its start until its first answer.
    pub ready_after: Duration,
    /// Processor time of all its threads by then.
    pub start_cpu: Duration,
}

impl NodeProcess {
    /// Starts a build of the node with the text of a configuration, and waits for its first response.
    ///
    /// # Errors
    /// A program that can't be started, or does not answer.
    pub fn start(program: &Path, text: &str) -> io::Result<Self> {
        let file = temporary(".conf");
        fs::write(&file, text)?;
        let start = Instant::now();
        let mut command = Command::new(program);
        command.arg("run").arg(&file).stdout(Stdio::null()).stderr(Stdio::piped()).env_remove("EDGE_CONFIG");
        let mut child = command.spawn()?;
        let stderr = child.stderr.take().ok_or(io::ErrorKind::BrokenPipe)?;
        let mut node = Self {
            child,
            file,
            log: read_log(stderr),
            stalls: 0,
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            ready_after: Duration::ZERO,
            start_cpu: Duration::ZERO,
        };
        let listens = node.wait_for_line(|line| line.contains(" listens on "))?;
        let address = listens.text.rsplit(' ').next().and_then(|address| address.parse().ok());
        node.address = address.ok_or_else(|| io::Error::other(listens.text))?;
        ProbeClient::connect(node.address)?.time_own_answer()?;
        node.ready_after = start.elapsed();
        node.start_cpu = CpuTimes::read(node.id())?.all();
        Ok(node)
    }

    /// Process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Replaces the configuration file, sends SIGHUP and waits until the change is in force. Returns the time since the signal.
    ///
    /// # Errors
    /// A change that is rejected, or takes too long.
    pub fn change_to(&mut self, text: &str) -> io::Result<Duration> {
        let fresh = temporary(".conf");
        fs::write(&fresh, text)?;
        fs::rename(&fresh, &self.file)?;
        let start = Instant::now();
        let status = Command::new("kill").args(["-HUP", &self.id().to_string()]).status()?;
        if !status.success() {
            return Err(io::Error::other("kill -HUP failed"));
        }
        let done = self.wait_for_line(|line| line.contains(IN_FORCE) || line.contains(REFUSED))?;
        if done.text.contains(REFUSED) {
            return Err(io::Error::other(done.text));
        }
        Ok(done.at.saturating_duration_since(start))
    }

    /// Number of stalls logged so far.
    pub fn stalls(&mut self) -> usize {
        let lines: Vec<_> = self.log.try_iter().collect();
        self.stalls += lines.iter().filter(|line| line.is_stall()).count();
        self.stalls
    }

    fn wait_for_line(&mut self, wanted: impl Fn(&str) -> bool) -> io::Result<LogLine> {
        let end = Instant::now() + LIMIT;
        loop {
            let left = end.saturating_duration_since(Instant::now());
            let line = self
                .log
                .recv_timeout(left)
                .map_err(|_| io::Error::other("the node exited, or did not log the expected line in time"))?;
            self.stalls += usize::from(line.is_stall());
            if wanted(&line.text) {
                return Ok(line);
            }
        }
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.file);
    }
}

/// Lines of a log, each with the time at which it was read.
fn read_log(stderr: impl io::Read + Send + 'static) -> Receiver<LogLine> {
    let (sender, lines) = mpsc::channel();
    thread::spawn(move || {
        for text in BufReader::new(stderr).lines().map_while(Result::ok) {
            if sender.send(LogLine { at: Instant::now(), text }).is_err() {
                return;
            }
        }
    });
    lines
}
