//! Sees to it that nothing that a storm started outlives it: a process of its own that learns of each start and, once the
//! storm is gone however it went, kills what is left by process id. A number that has gone to another process since is
//! told by that process's time of start.

use std::collections::BTreeMap;
use std::fs;
use std::io::{self, BufRead, Read, Write};
use std::os::fd::AsFd;
use std::os::unix::process::CommandExt;
use std::process::{Child, ChildStdin, Command, Stdio};

use rustix::process::{Pid, Signal, kill_process};

/// What a process waits for before it becomes what it was started as: by then the keeper knows it.
pub const GO: &[u8] = b"!";

/// Becomes a program once the storm says so, under the process id that the keeper knows; ends where the storm is gone.
///
/// # Errors
/// A program that can't be started.
pub fn begin(program: &str, arguments: &[String]) -> io::Result<()> {
    // Not buffered: what comes after is the program's.
    let mut input = fs::File::from(io::stdin().as_fd().try_clone_to_owned()?);
    let mut word = [0; GO.len()];
    if input.read_exact(&mut word).is_err() || word != GO {
        return Ok(());
    }
    drop(input);
    Err(Command::new(program).args(arguments).exec())
}

/// The way to the keeper.
pub struct Keeper {
    child: Child,
    to: Option<ChildStdin>,
}

impl Keeper {
    /// Starts one: this program with `keeper` as its argument, in a group of its own, so that what ends the storm from a
    /// terminal does not end it.
    ///
    /// # Errors
    /// A process that can't be started.
    pub fn start(program: &std::path::Path) -> io::Result<Self> {
        let mut child = Command::new(program).arg("keeper").process_group(0).stdin(Stdio::piped()).spawn()?;
        let to = child.stdin.take();
        Ok(Self { child, to })
    }

    /// A process was started. One that has ended by the time of the storm's end is left alone.
    ///
    /// # Errors
    /// A keeper that is gone: then nothing more should be started.
    pub fn watch(&mut self, pid: u32) -> io::Result<()> {
        let start = started(pid).unwrap_or_default();
        let to = self.to.as_mut().ok_or(io::ErrorKind::BrokenPipe)?;
        writeln!(to, "{pid} {start}")?;
        to.flush()
    }
}

impl Drop for Keeper {
    fn drop(&mut self) {
        drop(self.to.take());
        let _ = self.child.wait();
    }
}

/// The keeper's own work: reads until the storm is gone, then ends what is left.
///
/// # Errors
/// An input that can't be read.
pub fn keep(from: impl BufRead) -> io::Result<()> {
    let mut all = BTreeMap::new();
    for line in from.lines() {
        let line = line?;
        let parts = line
            .split_once(' ')
            .and_then(|(pid, start)| Some((pid.parse::<u32>().ok()?, start.parse::<u64>().ok()?)));
        all.extend(parts);
    }
    for (pid, start) in all {
        if started(pid) == Some(start) {
            let _ = signal(pid, Signal::KILL);
        }
    }
    Ok(())
}

/// When a process was started, in ticks since the machine's own start; `None` where it is gone.
fn started(pid: u32) -> Option<u64> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The name, in brackets, may hold anything; the time is field 22, the state of one that nobody has waited for is Z.
    let mut fields = stat.rsplit(") ").next()?.split(' ');
    if fields.next()? == "Z" {
        return None;
    }
    fields.nth(18)?.parse().ok()
}

/// Sends a signal to a process.
///
/// # Errors
/// Those of the system.
pub fn signal(pid: u32, signal: Signal) -> io::Result<()> {
    let pid =
        Pid::from_raw(i32::try_from(pid).map_err(io::Error::other)?).ok_or(io::ErrorKind::InvalidInput)?;
    kill_process(pid, signal).map_err(Into::into)
}
