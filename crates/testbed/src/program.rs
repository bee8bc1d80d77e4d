//! Starts programs of this repository and ends them.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use std::{env, fs, io, thread};

/// Far longer than anything takes; what reaches it has failed.
pub const LIMIT: Duration = Duration::from_secs(30);

/// Waits until something holds.
///
/// # Panics
/// When it does not within [`LIMIT`].
pub fn wait_for(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < LIMIT, "waited in vain: {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// A built program: it lies beside the one that runs, or above the tests of it.
///
/// # Errors
/// Where it is not there.
pub fn built(name: &str) -> io::Result<PathBuf> {
    let own = env::current_exe()?;
    let mut folders = own.ancestors().skip(1).take(2);
    let found = folders.find_map(|folder| Some(folder.join(name)).filter(|path| path.is_file()));
    found.ok_or_else(|| {
        io::Error::new(io::ErrorKind::NotFound, format!("{name} is not built beside {}", own.display()))
    })
}

/// Has cargo build the node, so that what is measured is what the sources say.
///
/// # Errors
/// A build that fails.
pub fn build_node() -> io::Result<()> {
    build("pumicehead")
}

/// The same with another package.
///
/// # Errors
/// A build that fails.
pub fn build(package: &str) -> io::Result<()> {
    // Set where cargo runs this; started by hand, what lies beside it is taken as it is.
    let Some(cargo) = env::var_os("CARGO") else { return Ok(()) };
    let status =
        Command::new(cargo).args(["build", "--release", "--locked", "--quiet", "-p", package]).status()?;
    if status.success() { Ok(()) } else { Err(io::Error::other(format!("{package} does not build"))) }
}

/// A file of its own in the system's folder for such.
pub fn temporary(end: &str) -> PathBuf {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let number = NEXT.fetch_add(1, Ordering::SeqCst);
    env::temp_dir().join(format!("pumicehead-{}-{number}{end}", std::process::id()))
}

/// A program that prints where it listens; killed when dropped.
pub struct Tool {
    child: Child,
    /// Where it listens.
    pub addresses: Vec<SocketAddr>,
}

impl Tool {
    /// Starts a built program, on a core of its own where `core` names one, and waits until it listens so often.
    ///
    /// # Errors
    /// Where it does not.
    pub fn start(
        name: &str,
        arguments: &[String],
        core: Option<usize>,
        listeners: usize,
    ) -> io::Result<Self> {
        let mut command = pinned(&built(name)?, core);
        let mut child = command.args(arguments).stdout(Stdio::piped()).spawn()?;
        let output = child.stdout.take().ok_or(io::ErrorKind::BrokenPipe)?;
        let mut lines = BufReader::new(output).lines();
        let mut addresses = Vec::new();
        while addresses.len() < listeners {
            let line = lines.next().ok_or(io::ErrorKind::UnexpectedEof)??;
            addresses.extend(line.rsplit(' ').next().and_then(|address| address.parse::<SocketAddr>().ok()));
        }
        Ok(Self { child, addresses })
    }

    /// Its process.
    #[must_use]
    pub fn pid(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for Tool {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A command on a core of its own, where the system has the tool for that.
fn pinned(program: &Path, core: Option<usize>) -> Command {
    let Some(core) = core.filter(|_| Path::new("/usr/bin/taskset").exists()) else {
        return Command::new(program);
    };
    let mut command = Command::new("taskset");
    command.args(["-c", &core.to_string()]).arg(program);
    command
}

/// Processor time that a process has used so far, in seconds; 0 where the system does not tell.
#[must_use]
pub fn cpu_seconds(pid: u32) -> f64 {
    // In nanoseconds, of its one thread that works.
    let schedule = fs::read_to_string(format!("/proc/{pid}/schedstat")).unwrap_or_default();
    if let Some(ran) = schedule.split(' ').next().and_then(|ran| ran.parse::<f64>().ok()) {
        return ran / 1e9;
    }
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // The name, in brackets, may hold anything; fields 14 and 15 count ticks of 10 ms.
    let fields = stat.rsplit(") ").next().unwrap_or_default();
    let ticks = fields.split(' ').skip(11).take(2).filter_map(|field| field.parse::<f64>().ok());
    ticks.sum::<f64>() / 100.0
}

/// Memory that a process holds now, in bytes; 0 where the system does not tell.
#[must_use]
pub fn memory(pid: u32) -> u64 {
    status_kib(pid, "VmRSS:")
}

fn status_kib(pid: u32, name: &str) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let found = status.lines().find_map(|line| line.strip_prefix(name));
    found.and_then(|text| text.trim().trim_end_matches(" kB").parse::<u64>().ok()).unwrap_or_default() * 1024
}

/// A standalone node; killed when dropped.
pub struct Standalone {
    child: Child,
    /// Its configuration.
    pub file: PathBuf,
    /// What it has said so far, by lines.
    pub log: Arc<Mutex<Vec<String>>>,
    own_file: bool,
    /// Reads its log to the end, which comes with that of the process.
    reader: Option<thread::JoinHandle<()>>,
}

impl Standalone {
    /// Starts one with a text as its configuration, and waits until it listens so often.
    ///
    /// # Panics
    /// Where it does not.
    #[must_use]
    pub fn start(text: &str, listeners: usize) -> Self {
        let file = temporary(".conf");
        fs::write(&file, text).expect("a temporary file");
        let mut node = Self::start_file(&file, listeners);
        node.own_file = true;
        node
    }

    /// The same with a file that is there.
    ///
    /// # Panics
    /// Where it does not start.
    #[must_use]
    pub fn start_file(file: &Path, listeners: usize) -> Self {
        Self::start_on(file, listeners, None)
    }

    /// The same on a core of its own.
    ///
    /// # Panics
    /// Where it does not start.
    #[must_use]
    pub fn start_on(file: &Path, listeners: usize, core: Option<usize>) -> Self {
        Self::start_with(file, listeners, core, &[])
    }

    /// The same with more arguments.
    ///
    /// # Panics
    /// Where it does not start.
    #[must_use]
    pub fn start_with(file: &Path, listeners: usize, core: Option<usize>, more: &[&str]) -> Self {
        let mut command = pinned(&built("pumicehead").expect("a built node"), core);
        command.arg("run").arg(file).args(more).stderr(Stdio::piped()).env_remove("EDGE_CONFIG");
        let mut child = command.spawn().expect("the node starts");
        let log = Arc::new(Mutex::new(Vec::new()));
        let (lines, input) = (log.clone(), BufReader::new(child.stderr.take().expect("its log")));
        let reader = thread::spawn(move || {
            for line in input.lines().map_while(Result::ok) {
                lines.lock().expect("the log").push(line);
            }
        });
        let node = Self { child, file: file.into(), log, own_file: false, reader: Some(reader) };
        wait_for("listeners", || node.addresses().len() >= listeners);
        node
    }

    /// Where it has listened since its start, in order.
    #[must_use]
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let log = self.log.lock().expect("the log");
        log.iter().filter_map(|line| line.split_once(" listens on ")?.1.parse().ok()).collect()
    }

    /// Its first listener.
    ///
    /// # Panics
    /// Where it has none.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.addresses()[0]
    }

    /// Lines of its log that hold a text.
    #[must_use]
    pub fn said(&self, text: &str) -> usize {
        self.log.lock().expect("the log").iter().filter(|line| line.contains(text)).count()
    }

    /// Sends it a signal, such as `HUP`.
    ///
    /// # Panics
    /// Where that fails.
    pub fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args([&format!("-{signal}"), &pid]).status();
        assert!(status.is_ok_and(|status| status.success()), "kill -{signal}");
    }

    /// Replaces its configuration at once as a whole, and has it read; returns when that is done.
    ///
    /// # Panics
    /// Where it is not.
    pub fn reload(&self, text: &str) {
        let before = self.said("reload: done") + self.said("reload: the old configuration stays");
        self.replace(text);
        self.signal("HUP");
        wait_for("a reload", || {
            self.said("reload: done") + self.said("reload: the old configuration stays") > before
        });
    }

    /// Replaces its configuration.
    ///
    /// # Panics
    /// Where that fails.
    pub fn replace(&self, text: &str) {
        let fresh = temporary(".conf");
        fs::write(&fresh, text).expect("a temporary file");
        fs::rename(&fresh, &self.file).expect("a rename");
    }

    /// Whether it still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Its process.
    #[must_use]
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Waits for its end.
    ///
    /// # Panics
    /// Where it does not come.
    pub fn wait(&mut self) -> ExitStatus {
        wait_for("the node's end", || !self.is_running());
        // Its last lines may not have been read yet.
        if let Some(reader) = self.reader.take() {
            reader.join().expect("its log");
        }
        self.child.wait().expect("a status")
    }

    /// Processor time that it has used so far, in seconds; 0 where the system does not tell.
    #[must_use]
    pub fn cpu_seconds(&self) -> f64 {
        cpu_seconds(self.child.id())
    }

    /// Most memory that it has held, in bytes; 0 where the system does not tell.
    #[must_use]
    pub fn peak_memory(&self) -> u64 {
        status_kib(self.child.id(), "VmHWM:")
    }
}

impl Drop for Standalone {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if self.own_file {
            let _ = fs::remove_file(&self.file);
        }
    }
}
