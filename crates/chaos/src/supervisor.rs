//! Ends the processes of a run that ended without doing so itself, even by SIGKILL.
//!
//! The supervisor is a process of its own. It learns of each process that the run starts, and kills what is left once its
//! input closes. A process id that was reused meanwhile is recognized by the start time of its process.

use std::collections::BTreeMap;
use std::fs;
use std::io::{self, BufRead, Read, Write};
use std::os::fd::AsFd;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::{Child, ChildStdin, Command, Stdio};

use rustix::process::{Pid, Signal, kill_process};

/// What a new process reads before it executes its program: by then the supervisor watches it.
pub const START_TOKEN: &[u8] = b"!";

/// Index of the start time among the fields of `/proc/PID/stat` after the state.
const STAT_START_TIME_AFTER_STATE: usize = 18;

/// Waits for [`START_TOKEN`] on standard input, then replaces this process by a program. Returns without an error if the input
/// closes before.
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

/// The connection of a run to its supervisor. Dropping it has the supervisor end what is left, and waits for that.
pub struct Supervisor {
    child: Child,
    input: Option<ChildStdin>,
}

impl Supervisor {
    /// Starts a supervisor from this program. It has a process group of its own, so that an interrupt from the terminal does
    /// not end it.
    ///
    /// # Errors
    /// A process that can't be started.
    pub fn start(chaos_program: &Path) -> io::Result<Self> {
        let mut child =
            Command::new(chaos_program).arg("keeper").process_group(0).stdin(Stdio::piped()).spawn()?;
        let input = child.stdin.take();
        Ok(Self { child, input })
    }

    /// Has a process ended together with the run, unless it has exited by then.
    ///
    /// # Errors
    /// The supervisor is gone: no further process should be started.
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

/// Runs the supervisor: reads processes until the input closes, then kills those that are left.
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

/// Returns when a process was started, in clock ticks since boot; `None` if it is gone.
fn start_time(pid: u32) -> Option<u64> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The second field is the program's name in brackets, which may hold spaces and brackets.
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
/// Those of the system.
pub fn send_signal(pid: u32, signal: Signal) -> io::Result<()> {
    let pid =
        Pid::from_raw(i32::try_from(pid).map_err(io::Error::other)?).ok_or(io::ErrorKind::InvalidInput)?;
    kill_process(pid, signal).map_err(Into::into)
}
