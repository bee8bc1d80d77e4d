//! Starts the processes of stand-ins.

use std::io;
use std::net::SocketAddr;
use std::process::Command;

use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::timeout;

use super::process::ManagedProcess;
use super::{PROCESS_TIMEOUT, RunOptions};
use crate::stand_ins::ListenAddresses;
use crate::supervisor::Supervisor;

/// A started stand-in that listens.
pub(super) struct StartedStandIn {
    pub process: ManagedProcess,
    /// Addresses on which it listens.
    pub addresses: Vec<SocketAddr>,
    /// Lines with the events that it writes.
    pub events: UnboundedReceiver<String>,
}

/// Starts a stand-in, which is this program with another command, and waits until it listens.
pub(super) async fn start_stand_in(
    options: &RunOptions,
    arguments: &[&str],
    supervisor: &mut Supervisor,
) -> io::Result<StartedStandIn> {
    let mut program = Command::new(&options.chaos_program);
    program.args(arguments);
    let mut process = ManagedProcess::start(options, &program, supervisor)?;
    let mut events = process.stdout_lines()?;
    let line = timeout(PROCESS_TIMEOUT, events.recv()).await?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let ListenAddresses { addresses } = serde_json::from_str(&line)?;
    Ok(StartedStandIn { process, addresses, events })
}
