//! Builds, starts and stops the programs of this repository.

mod listening;
mod process_stats;
mod standalone;

use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use std::{env, io, thread};

pub use listening::ListeningProgram;
pub use process_stats::{cpu_seconds, memory};
pub use standalone::StandaloneNode;

/// Timeout of all waits, far above the time of any operation that succeeds.
pub const LIMIT: Duration = Duration::from_secs(30);

/// Interval at which [`wait_for`] evaluates its condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Waits until a condition holds.
///
/// # Panics
/// Where it does not hold within [`LIMIT`].
pub fn wait_for(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < LIMIT, "timed out after {LIMIT:?} waiting for {what}");
        thread::sleep(POLL_INTERVAL);
    }
}

/// Returns the path of a built program: in the folder of the running executable, or in the parent folder, as for tests.
///
/// # Errors
/// `NotFound` where it is not built.
pub fn built(name: &str) -> io::Result<PathBuf> {
    let own = env::current_exe()?;
    let mut folders = own.ancestors().skip(1).take(2);
    let found = folders.find_map(|folder| Some(folder.join(name)).filter(|path| path.is_file()));
    found.ok_or_else(|| {
        io::Error::new(io::ErrorKind::NotFound, format!("{name} is not built beside {}", own.display()))
    })
}

/// Builds the node in the release profile, so that the node of the current sources is measured.
///
/// # Errors
/// A build that fails.
pub fn build_node() -> io::Result<()> {
    build("pumicehead")
}

/// Builds a package in the release profile. Without cargo's environment, as in a program started by hand, the built programs
/// are used as they are.
///
/// # Errors
/// A build that fails.
pub fn build(package: &str) -> io::Result<()> {
    let Some(cargo) = env::var_os("CARGO") else { return Ok(()) };
    let status =
        Command::new(cargo).args(["build", "--release", "--locked", "--quiet", "-p", package]).status()?;
    if status.success() { Ok(()) } else { Err(io::Error::other(format!("cargo build of {package} failed"))) }
}

/// Returns an unused path in the system's temporary folder, with this file name suffix.
pub fn temporary(ending: &str) -> PathBuf {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let number = NEXT.fetch_add(1, Ordering::SeqCst);
    env::temp_dir().join(format!("pumicehead-{}-{number}{ending}", std::process::id()))
}

const TASKSET: &str = "/usr/bin/taskset";

/// A command that runs a program on one core, where the system has `taskset`.
fn pinned(program: &Path, core: Option<usize>) -> Command {
    let Some(core) = core.filter(|_| Path::new(TASKSET).exists()) else {
        return Command::new(program);
    };
    let mut command = Command::new("taskset");
    command.args(["-c", &core.to_string()]).arg(program);
    command
}
