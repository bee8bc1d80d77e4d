//! Processes that a run starts. They are killed by their process ids, also when the run fails.

use std::fs;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::os::unix::process::CommandExt;
use std::process::{Child, ChildStdin, Command, Stdio};
use std::time::Duration;

use rustix::process::{Pid, Resource, Rlimit, Signal, getrlimit, prlimit};
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::time::{sleep, timeout};

use super::RunOptions;
use crate::supervisor::{START_TOKEN, Supervisor, send_signal};

/// Interval at which a stopping process is checked for an exit.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Resources that a process holds.
#[derive(Clone, Copy, Debug)]
pub(super) struct ProcessResources {
    /// Open file descriptors.
    pub descriptors: u64,
    /// Resident memory, in KiB.
    pub memory_kib: u64,
}

/// A process of a run; killed when dropped.
pub(super) struct ManagedProcess {
    child: Child,
    input: Option<ChildStdin>,
    /// SIGTERM or SIGKILL was sent, or the exit is expected for another reason.
    stop_requested: bool,
    /// The process has been waited for: its process id may have been reused.
    exited: bool,
}

impl ManagedProcess {
    /// Starts a program. It is executed only once the supervisor watches it, so that no process can outlive the run.
    pub fn start(options: &RunOptions, program: &Command, supervisor: &mut Supervisor) -> io::Result<Self> {
        let mut command = Command::new(&options.chaos_program);
        command.arg("begin").arg(program.get_program()).args(program.get_args()).env_remove("EDGE_CONFIG");
        // A separate process group: an interrupt from the terminal reaches only the run, which then ends this process.
        command.process_group(0).stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::piped());
        let mut child = command.spawn()?;
        let input = child.stdin.take();
        let mut process = Self { child, input, stop_requested: false, exited: false };
        supervisor.watch(process.child.id())?;
        process.input()?.write_all(START_TOKEN)?;
        Ok(process)
    }

    fn input(&mut self) -> io::Result<&mut ChildStdin> {
        self.input.as_mut().ok_or_else(|| io::ErrorKind::BrokenPipe.into())
    }

    /// Reads the lines of standard output.
    pub fn stdout_lines(&mut self) -> io::Result<UnboundedReceiver<String>> {
        read_lines(self.child.stdout.take(), None)
    }

    /// Reads the lines of standard error and copies them to a file.
    pub fn stderr_lines(&mut self, copy: fs::File) -> io::Result<UnboundedReceiver<String>> {
        read_lines(self.child.stderr.take(), Some(copy))
    }

    /// Writes a line to standard input.
    pub fn write_line(&mut self, line: &str) -> io::Result<()> {
        let input = self.input()?;
        writeln!(input, "{line}")?;
        input.flush()
    }

    /// Returns whether the process was stopped by the run, or its exit is expected or was already reported.
    pub fn is_stop_requested(&self) -> bool {
        self.stop_requested
    }

    /// Marks the exit of the process as expected.
    pub fn expect_exit(&mut self) {
        self.stop_requested = true;
    }

    /// Sends a signal. After SIGKILL or SIGTERM the exit of the process is expected.
    pub fn send(&mut self, signal: Signal) -> io::Result<()> {
        self.check_not_exited()?;
        send_signal(self.child.id(), signal)?;
        self.stop_requested |= signal == Signal::KILL || signal == Signal::TERM;
        Ok(())
    }

    /// Sets the file size limit of the process to 0, so that none of its files can grow, or restores it.
    pub fn set_disk_full(&self, full: bool) -> io::Result<()> {
        self.check_not_exited()?;
        let pid = Pid::from_raw(i32::try_from(self.child.id()).map_err(io::Error::other)?);
        let maximum = getrlimit(Resource::Fsize).maximum;
        let current = if full { Some(0) } else { maximum };
        prlimit(pid, Resource::Fsize, Rlimit { current, maximum })?;
        Ok(())
    }

    fn check_not_exited(&self) -> io::Result<()> {
        if self.exited { Err(io::ErrorKind::NotFound.into()) } else { Ok(()) }
    }

    /// Resumes the process if it is paused, and waits for its exit. A process that does not exit within the limit is killed.
    pub async fn wait_for_exit(&mut self, limit: Duration) {
        if self.exited {
            return;
        }
        // A paused process handles SIGTERM only once it is resumed.
        let _ = send_signal(self.child.id(), Signal::CONT);
        let exit = async {
            while !matches!(self.child.try_wait(), Ok(Some(_)) | Err(_)) {
                sleep(EXIT_POLL_INTERVAL).await;
            }
        };
        if timeout(limit, exit).await.is_err() {
            let _ = self.child.kill();
            let _ = self.child.wait();
        }
        self.exited = true;
    }

    /// Returns the exit status, only once, if the process exited although the run had not stopped it.
    pub fn take_unexpected_exit(&mut self) -> Option<String> {
        if self.stop_requested || self.exited {
            return None;
        }
        let status = self.child.try_wait().ok()??;
        self.exited = true;
        self.stop_requested = true;
        Some(status.to_string())
    }

    /// Returns the resources that the process holds; `None` if it has exited.
    pub fn resources(&self) -> Option<ProcessResources> {
        let pid = self.child.id();
        let descriptors = fs::read_dir(format!("/proc/{pid}/fd")).ok()?.count() as u64;
        let memory_kib = pumicehead_testbed::program::memory(pid) >> 10;
        (!self.exited && memory_kib > 0).then_some(ProcessResources { descriptors, memory_kib })
    }
}

impl Drop for ManagedProcess {
    fn drop(&mut self) {
        if !self.exited {
            let _ = self.child.kill();
            let _ = self.child.wait();
        }
    }
}

/// Reads lines on a separate thread, which ends with the output.
fn read_lines(
    output: Option<impl Read + Send + 'static>,
    mut copy: Option<fs::File>,
) -> io::Result<UnboundedReceiver<String>> {
    let output = output.ok_or(io::ErrorKind::BrokenPipe)?;
    let (sender, lines) = unbounded_channel();
    std::thread::Builder::new().spawn(move || {
        for line in BufReader::new(output).lines().map_while(Result::ok) {
            if let Some(copy) = &mut copy {
                let _ = writeln!(copy, "{line}");
            }
            // A closed channel is ignored: the lines must still be copied.
            let _ = sender.send(line);
        }
    })?;
    Ok(lines)
}
