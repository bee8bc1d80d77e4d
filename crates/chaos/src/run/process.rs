//! Processes that a storm starts: ended by their own ids, also where it fails.

use std::cell::RefCell;
use std::fs;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::{Child, ChildStdin, Command, Stdio};
use std::time::Duration;

use rustix::process::{Pid, Resource, Rlimit, Signal, getrlimit, prlimit};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

use super::{Notes, Tools, gather};
use crate::keeper::{GO, Keeper, signal};
use crate::stand::Hello;

/// Lines that a process writes.
pub(crate) type Lines = mpsc::UnboundedReceiver<String>;

/// Between two looks at whether a process has ended.
const LOOK: Duration = Duration::from_millis(10);

/// Where a node listens.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Listens {
    /// For clients.
    pub clients: SocketAddr,
    /// For calls of staff.
    pub calls: SocketAddr,
    /// For other members.
    pub fleet: Option<SocketAddr>,
}

/// A process; killed when dropped.
pub(crate) struct Process {
    child: Child,
    to: Option<ChildStdin>,
    lines: RefCell<Option<Lines>>,
    /// It was told to end, or killed: its end is no surprise.
    told: bool,
    over: bool,
}

impl Process {
    /// Starts a program behind this one's `begin`, which goes on only once the keeper knows of it: however a storm ends,
    /// there is no moment at which something runs that nobody would end.
    fn start(tools: &Tools, command: &mut Command, keeper: &mut Keeper) -> io::Result<(Child, ChildStdin)> {
        let mut begin = Command::new(&tools.storm);
        begin.arg("begin").arg(command.get_program()).args(command.get_args()).env_remove("EDGE_CONFIG");
        // A group of its own: what ends the storm from a terminal leaves it to the storm to end this.
        begin.process_group(0).stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::piped());
        let mut child = begin.spawn()?;
        let told = keeper.watch(child.id()).and_then(|()| {
            let mut to = child.stdin.take().ok_or(io::ErrorKind::BrokenPipe)?;
            to.write_all(GO)?;
            Ok(to)
        });
        match told {
            Ok(to) => Ok((child, to)),
            Err(error) => {
                let _ = child.kill();
                let _ = child.wait();
                Err(error)
            }
        }
    }

    /// Starts a stand-in: this program with another command.
    pub fn stand_in(tools: &Tools, arguments: &[&str], keeper: &mut Keeper) -> io::Result<Self> {
        let (mut child, to) = Self::start(tools, Command::new(&tools.storm).args(arguments), keeper)?;
        let lines = read(child.stdout.take(), None)?;
        Ok(Self { child, to: Some(to), lines: RefCell::new(Some(lines)), told: false, over: false })
    }

    /// Starts a node, and waits until it listens where it is to. Its log goes to a file.
    pub async fn node(
        tools: &Tools,
        number: usize,
        file: &Path,
        keeper: &mut Keeper,
        limit: Duration,
    ) -> io::Result<(Self, Listens)> {
        // The shell steps aside: a file that can't grow is to be an error to the node, as a full disk is, and no signal.
        let mut command = Command::new("/bin/sh");
        command.args(["-c", "trap '' XFSZ; exec \"$0\" run \"$1\""]).arg(&tools.node).arg(file);
        let (mut child, to) = Self::start(tools, &mut command, keeper)?;
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(tools.folder.join(format!("n{number}.log")))?;
        let mut lines = read(child.stderr.take(), Some(log))?;
        let mut process = Self { child, to: Some(to), lines: RefCell::new(None), told: false, over: false };
        let said = async {
            let (mut fleet, mut clients) = (None, None);
            while let Some(line) = lines.recv().await {
                let after =
                    |words: &str| line.split_once(words).and_then(|(_, address)| address.trim().parse().ok());
                fleet = fleet.or(after(" speaks on "));
                clients = clients.or(after(" listens on "));
                // The last of what it says of addresses.
                if let (Some(clients), Some(calls)) = (clients, after(" takes admin commands on ")) {
                    return Some(Listens { clients, calls, fleet });
                }
            }
            None
        };
        match timeout(limit, said).await {
            Ok(Some(listens)) => Ok((process, listens)),
            _ => {
                process.told = true;
                Err(io::Error::other(format!("node {number} does not start: see {}", tools.folder.display())))
            }
        }
    }

    /// Waits until a stand-in says where it listens.
    pub async fn hello(&self, limit: Duration) -> io::Result<Vec<SocketAddr>> {
        let mut lines = self.lines.borrow_mut().take().ok_or(io::ErrorKind::BrokenPipe)?;
        let line = timeout(limit, lines.recv()).await?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let hello: Hello = serde_json::from_str(&line)?;
        *self.lines.borrow_mut() = Some(lines);
        Ok(hello.listens)
    }

    /// Gathers what it writes from now on.
    pub fn lines(&self, notes: Notes) {
        if let Some(lines) = self.lines.borrow_mut().take() {
            gather(lines, notes);
        }
    }

    /// Writes it a line.
    pub fn write(&mut self, line: &str) -> io::Result<()> {
        let to = self.to.as_mut().ok_or(io::ErrorKind::BrokenPipe)?;
        writeln!(to, "{line}")?;
        to.flush()
    }

    /// Whether it was told to end.
    pub fn is_told(&self) -> bool {
        self.told
    }

    /// Sends it a signal.
    pub fn send(&mut self, sign: Signal) -> io::Result<()> {
        if self.over {
            return Err(io::ErrorKind::NotFound.into());
        }
        signal(self.child.id(), sign)?;
        self.told |= sign == Signal::KILL || sign == Signal::TERM;
        Ok(())
    }

    /// Lets none of its files grow, or all again.
    pub fn full(&self, full: bool) -> io::Result<()> {
        if self.over {
            return Err(io::ErrorKind::NotFound.into());
        }
        let pid = Pid::from_raw(i32::try_from(self.child.id()).map_err(io::Error::other)?);
        let most = getrlimit(Resource::Fsize).maximum;
        let limit = Rlimit { current: if full { Some(0) } else { most }, maximum: most };
        prlimit(pid, Resource::Fsize, limit)?;
        Ok(())
    }

    /// Waits for its end; one that does not end, or stands still, is killed.
    pub async fn ended(&mut self, limit: Duration) {
        // Its number may be another's by now.
        if self.over {
            return;
        }
        let _ = signal(self.child.id(), Signal::CONT);
        let end = async {
            while !matches!(self.child.try_wait(), Ok(Some(_)) | Err(_)) {
                sleep(LOOK).await;
            }
        };
        if timeout(limit, end).await.is_err() {
            let _ = self.child.kill();
            let _ = self.child.wait();
        }
        self.over = true;
    }

    /// How it ended, where nobody had told it to; told once.
    pub fn crashed(&mut self) -> Option<String> {
        if self.told || self.over {
            return None;
        }
        let status = self.child.try_wait().ok()??;
        (self.over, self.told) = (true, true);
        Some(status.to_string())
    }

    /// Descriptors, and memory in KiB; `None` where it is not there.
    pub fn holds(&self) -> Option<(u64, u64)> {
        let pid = self.child.id();
        let descriptors = fs::read_dir(format!("/proc/{pid}/fd")).ok()?.count() as u64;
        let memory = pumicehead_testbed::program::memory(pid) >> 10;
        (!self.over && memory > 0).then_some((descriptors, memory))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if !self.over {
            let _ = self.child.kill();
            let _ = self.child.wait();
        }
    }
}

/// Lines of an output, on a thread that ends with it.
fn read(from: Option<impl Read + Send + 'static>, mut copy: Option<fs::File>) -> io::Result<Lines> {
    let from = from.ok_or(io::ErrorKind::BrokenPipe)?;
    let (sender, lines) = mpsc::unbounded_channel();
    std::thread::Builder::new().spawn(move || {
        for line in BufReader::new(from).lines().map_while(Result::ok) {
            if let Some(copy) = &mut copy {
                let _ = writeln!(copy, "{line}");
            }
            // Who waits for no more lines still wants them in the file.
            let _ = sender.send(line);
        }
    })?;
    Ok(lines)
}
