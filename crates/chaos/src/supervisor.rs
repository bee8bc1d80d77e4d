//! Kills the processes that a run left behind, even if the run itself was ended by SIGKILL.
//!
//! The supervisor is a separate process. The run reports each process that it starts; once the supervisor's standard input
//! closes, it kills those that still run. It compares start times, so that a process that reuses an id is not killed.

use std::collections::BTreeMap;
use std::fs;
use std::io::{self, BufRead, Read, Write};
use std::os::fd::AsFd;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::{Child, ChildStdin, Command, Stdio};

use rustix::process::{Pid, Signal, kill_process};

/// Token that a new process waits for before it executes its program: the run sends it once the supervisor watches the
/// process.
pub const START_TOKEN: &[u8] = b"!";

/// Index of the start time among the fields of `/proc/PID/stat` after the state.
const STAT_START_TIME_AFTER_STATE: usize = 18;

/// Waits for [`START_TOKEN`] on standard input, then replaces this process by a program. Returns without an error if the input
/// closes first or has other bytes.
///
/// # Errors
/// A program that can't be executed.
pub fn exec_when_watched(program: &str, arguments: &[String]) -> io::Result<()> {
    // Unbuffered: the bytes after the token are for the program.
    let mut input = fs::File::from(io::stdin().as_fd().try_clone_to_owned()?);
    let mut token = [0; START_TOKEN.len()];
    if input.read_exact(&mut token).is_err() || token != START_TOKEN {
        return Ok(());
    }
    drop(input);
    Err(Command::new(program).args(arguments).exec())
}

/// The connection of a run to its supervisor. Dropping it makes the supervisor kill the processes that are left, and waits
/// until it has exited.
pub struct Supervisor {
    child: Child,
    input: Option<ChildStdin>,
}

impl Supervisor {
    /// Starts a supervisor: this program with another command. It has its own process group, so that an interrupt from the
    /// terminal does not end it.
    ///
    /// # Errors
    /// A process that can't be started.
    pub fn start(chaos_program: &Path) -> io::Result<Self> {
        let mut child =
            Command::new(chaos_program).arg("keeper").process_group(0).stdin(Stdio::piped()).spawn()?;
        let input = child.stdin.take();
        Ok(Self { child, input })
    }

    /// Registers a process, to be killed at the end of the run if it still runs then.
    ///
    /// # Errors
    /// The pipe to the supervisor is closed: no further process should be started.
    pub fn watch(&mut self, pid: u32) -> io::Result<()> {
        let start_time = start_time(pid).unwrap_or_default();
        let input = self.input.as_mut().ok_or(io::ErrorKind::BrokenPipe)?;
        writeln!(input, "{pid} {start_time}")?;
        input.flush()
    }
}

impl Drop for Supervisor {
    fn drop(&mut self) {
        drop(self.input.take());
        let _ = self.child.wait();
    }
}

/// Runs the supervisor: reads process ids and start times until the input closes, then kills the processes that still run.
///
/// # Errors
/// An input that can't be read.
pub fn supervise(input: impl BufRead) -> io::Result<()> {
    let mut watched = BTreeMap::new();
    for line in input.lines() {
        let line = line?;
        let process = line
            .split_once(' ')
            .and_then(|(pid, start)| Some((pid.parse::<u32>().ok()?, start.parse::<u64>().ok()?)));
        watched.extend(process);
    }
    for (pid, watched_start) in watched {
        if start_time(pid) == Some(watched_start) {
            let _ = send_signal(pid, Signal::KILL);
        }
    }
    Ok(())
}

/// Returns when a process was started, in clock ticks since boot; `None` if it does not exist or is a zombie.
fn start_time(pid: u32) -> Option<u64> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The second field is the program's name in parentheses, which may itself contain spaces and parentheses.
    let mut fields = stat.rsplit(") ").next()?.split(' ');
    let state = fields.next()?;
    if state == "Z" {
        return None;
    }
    fields.nth(STAT_START_TIME_AFTER_STATE)?.parse().ok()
}

/// Sends a signal to a process.
///
/// # Errors
/// The error of `kill`, or of a process id that is out of range.
pub fn send_signal(pid: u32, signal: Signal) -> io::Result<()> {
    let pid =
        Pid::from_raw(i32::try_from(pid).map_err(io::Error::other)?).ok_or(io::ErrorKind::InvalidInput)?;
    kill_process(pid, signal).map_err(Into::into)
}
