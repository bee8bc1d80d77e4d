//! The configuration of the measured node, and its admin listener.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use pumicehead_flight_recorder::recording::Recording;

use crate::program::{StandaloneNode, wait_for};

/// Read timeout of the answer to an admin command.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(10);
/// Words of the log line that has the address of the admin listener.
const ADMIN_LOG_WORDS: &str = "takes admin commands on ";

/// The configuration of a node in front of servers; `classes` and `limits` are in the configuration language.
pub(super) fn configuration(servers: &[SocketAddr], classes: &str, limits: &str) -> String {
    let servers =
        servers.iter().enumerate().map(|(n, address)| format!("server s{n} {{ address {address} }}\n"));
    format!(
        "listener public {{ address 127.0.0.1:0 }}\npool boards {{\n{}}}\n{classes}\n\
         route submit {{ path /runs/**; method POST; class submit; pool boards }}\n\
         route read {{ path /boards/**; class read; pool boards }}\n\
         limits {{ {limits} }}\nobserve {{ calls 127.0.0.1:0; recorder 1MiB }}\n",
        servers.collect::<String>()
    )
}

/// The admin listener of a node.
#[derive(Clone, Copy)]
pub(super) struct Admin(SocketAddr);

impl Admin {
    /// Waits until a node has logged the address of its admin listener.
    pub(super) fn of(node: &StandaloneNode) -> Self {
        wait_for("the admin listener", || node.count_log_lines(ADMIN_LOG_WORDS.trim_end()) == 1);
        let log = node.log.lock().map(|log| log.clone()).unwrap_or_default();
        let found = log.iter().find_map(|line| line.split_once(ADMIN_LOG_WORDS)?.1.parse().ok());
        Self(found.unwrap_or_else(|| node.address()))
    }

    /// Sends a command and returns the whole answer.
    pub(super) fn call(self, command: &str) -> io::Result<String> {
        io::read_to_string(self.send(command)?)
    }

    /// Fetches the recording of the node.
    pub(super) fn recording(self) -> io::Result<Recording> {
        let mut answer = self.send("TRACE")?;
        answer.read_line(&mut String::new())?;
        let mut file = Vec::new();
        answer.read_to_end(&mut file)?;
        Recording::read(&file).map_err(io::Error::other)
    }

    fn send(self, command: &str) -> io::Result<BufReader<TcpStream>> {
        let mut stream = TcpStream::connect(self.0)?;
        stream.set_read_timeout(Some(ADMIN_TIMEOUT))?;
        stream.write_all(format!("{command}\n").as_bytes())?;
        Ok(BufReader::new(stream))
    }
}
