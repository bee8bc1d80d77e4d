//! A node process that is configured by a file.

use std::fs;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;

use super::process_stats::{cpu_seconds, peak_memory};
use super::{built, pinned, temporary, wait_for};

/// A running node that is configured by a file; it is killed on drop.
pub struct StandaloneNode {
    child: Child,
    /// Path of the configuration file.
    pub file: PathBuf,
    /// Lines of its log so far.
    pub log: Arc<Mutex<Vec<String>>>,
    /// Whether the configuration file is removed on drop.
    own_file: bool,
    /// Reads the log until the process ends.
    reader: Option<thread::JoinHandle<()>>,
}

impl StandaloneNode {
    /// Starts a node with a configuration's text, and waits for its listeners.
    ///
    /// # Panics
    /// Where the node does not start.
    #[must_use]
    pub fn start(text: &str, listeners: usize) -> Self {
        let file = temporary(".conf");
        fs::write(&file, text).expect("temporary file could not be written");
        let mut node = Self::start_file(&file, listeners);
        node.own_file = true;
        node
    }

    /// Starts a node with a configuration file, and waits for its listeners.
    ///
    /// # Panics
    /// Where the node does not start.
    #[must_use]
    pub fn start_file(file: &Path, listeners: usize) -> Self {
        Self::start_on(file, listeners, None)
    }

    /// Like [`Self::start_file`], pinned to `core` where one is given.
    ///
    /// # Panics
    /// Where the node does not start.
    #[must_use]
    pub fn start_on(file: &Path, listeners: usize, core: Option<usize>) -> Self {
        Self::start_with(file, listeners, core, &[])
    }

    /// Like [`Self::start_on`], with more arguments on the command line.
    ///
    /// # Panics
    /// Where the node does not start.
    #[must_use]
    pub fn start_with(file: &Path, listeners: usize, core: Option<usize>, more: &[&str]) -> Self {
        let mut command = pinned(&built("pumicehead").expect("pumicehead is not built"), core);
        command.arg("run").arg(file).args(more).stderr(Stdio::piped()).env_remove("EDGE_CONFIG");
        let mut child = command.spawn().expect("node failed to start");
        let log = Arc::new(Mutex::new(Vec::new()));
        let (lines, input) = (log.clone(), BufReader::new(child.stderr.take().expect("stderr is piped")));
        let reader = thread::spawn(move || {
            for line in input.lines().map_while(Result::ok) {
                lines.lock().expect("log reader panicked").push(line);
            }
        });
        let node = Self { child, file: file.into(), log, own_file: false, reader: Some(reader) };
        wait_for("listeners", || node.addresses().len() >= listeners);
        node
    }

    /// Addresses of all listeners opened since the start, in order.
    #[must_use]
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let log = self.log.lock().expect("log reader panicked");
        log.iter().filter_map(|line| line.split_once(" listens on ")?.1.parse().ok()).collect()
    }

    /// The address of its first listener.
    ///
    /// # Panics
    /// Where it has none.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.addresses()[0]
    }

    /// Counts the log lines that contain a text.
    #[must_use]
    pub fn count_log_lines(&self, text: &str) -> usize {
        self.log.lock().expect("log reader panicked").iter().filter(|line| line.contains(text)).count()
    }

    /// Sends a signal, such as `HUP`.
    ///
    /// # Panics
    /// Where `kill` fails.
    pub fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args([&format!("-{signal}"), &pid]).status();
        assert!(status.is_ok_and(|status| status.success()), "kill -{signal}");
    }

    /// Replaces the configuration file, sends SIGHUP and waits until the reload is done or rejected.
    ///
    /// # Panics
    /// Where neither is logged within [`LIMIT`](super::LIMIT).
    pub fn reload(&self, text: &str) {
        let reloads = || {
            self.count_log_lines("reload: done") + self.count_log_lines("reload: the old configuration stays")
        };
        let before = reloads();
        self.replace(text);
        self.signal("HUP");
        wait_for("a reload to finish", || reloads() > before);
    }

    /// Replaces the configuration file atomically.
    ///
    /// # Panics
    /// Where the file can't be written.
    pub fn replace(&self, text: &str) {
        let fresh = temporary(".conf");
        fs::write(&fresh, text).expect("temporary file could not be written");
        fs::rename(&fresh, &self.file).expect("configuration file could not be replaced");
    }

    /// Returns whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Process id.
    #[must_use]
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Waits until the process has exited and its log is read.
    ///
    /// # Panics
    /// Where it does not exit within [`LIMIT`](super::LIMIT).
    pub fn wait(&mut self) -> ExitStatus {
        wait_for("node process to exit", || !self.is_running());
        if let Some(reader) = self.reader.take() {
            reader.join().expect("log reader panicked");
        }
        self.child.wait().expect("no exit status")
    }

    /// Processor time used, in seconds; see [`cpu_seconds`].
    #[must_use]
    pub fn cpu_seconds(&self) -> f64 {
        cpu_seconds(self.child.id())
    }

    /// Peak resident memory, in bytes; 0 where `/proc` does not have it.
    #[must_use]
    pub fn peak_memory(&self) -> u64 {
        peak_memory(self.child.id())
    }
}

impl Drop for StandaloneNode {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if self.own_file {
            let _ = fs::remove_file(&self.file);
        }
    }
}
