//! Programs that print the addresses of their listeners.

use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Stdio};

use super::{built, pinned};

/// A running program that prints the addresses of its listeners; it is killed on drop.
pub struct ListeningProgram {
    child: Child,
    /// Addresses of its listeners, in the order of its output.
    pub addresses: Vec<SocketAddr>,
}

impl ListeningProgram {
    /// Starts a built program, pinned to `core` where one is given, and waits for its listeners.
    ///
    /// # Errors
    /// A program that is not built, or that exits before it has printed `listeners` addresses.
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

    /// Process id.
    #[must_use]
    pub fn pid(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for ListeningProgram {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
