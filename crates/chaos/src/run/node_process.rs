//! Starts the processes of nodes.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;

use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::timeout;

use super::process::ManagedProcess;
use super::{PROCESS_TIMEOUT, RunError, RunOptions};
use crate::scenario::Host;
use crate::supervisor::Supervisor;

/// Runs a node with SIGXFSZ ignored, so that a write beyond the file size limit returns an error, as on a full disk, instead of
/// raising the signal.
const STANDALONE_SCRIPT: &str = "trap '' XFSZ; exec \"$0\" run \"$1\"";
/// The same for a node on the platform, which keeps its files in the directory of its third argument.
const PLATFORM_SCRIPT: &str = "trap '' XFSZ; EDGE_CONFIG=$1 TMPDIR=$2 exec \"$0\"";

/// Text in the node's log before the address of its membership listener, in this version and in earlier ones: a run may use
/// another build of the node.
const MEMBERSHIP_ADDRESS_PREFIXES: [&str; 2] = [" fleet_address=", " speaks on "];
/// Text before the address of the client listener.
const CLIENT_ADDRESS_PREFIXES: [&str; 1] = [" listens on "];
/// Text before the address of the admin listener, in this version and in earlier ones.
const ADMIN_ADDRESS_PREFIXES: [&str; 2] = [" takes admin commands on ", " takes calls on "];

/// Addresses on which a node listens.
#[derive(Clone, Copy, Debug)]
pub(super) struct NodeAddresses {
    /// For clients.
    pub clients: SocketAddr,
    /// For admin commands.
    pub admin: SocketAddr,
    /// For other members, if the node is a member.
    pub membership: Option<SocketAddr>,
}

/// A started node that listens.
pub(super) struct StartedNode {
    pub process: ManagedProcess,
    pub addresses: NodeAddresses,
}

/// Files of a node.
#[derive(Clone, Copy, Debug)]
pub(super) struct NodeFilePaths<'a> {
    /// The configuration.
    pub config: &'a Path,
    /// The directory for its own files.
    pub directory: &'a Path,
}

/// Returns the command that starts a node.
fn node_command(options: &RunOptions, host: Host, paths: NodeFilePaths<'_>) -> Command {
    let script = match host {
        Host::Standalone => STANDALONE_SCRIPT,
        Host::Platform => PLATFORM_SCRIPT,
    };
    let mut program = Command::new("/bin/sh");
    program.args(["-c", script]).arg(&options.node_program).arg(paths.config).arg(paths.directory);
    program
}

/// Starts a node with a configuration file, and waits until it listens. Its log goes to a file in the work directory.
pub(super) async fn start_node(
    options: &RunOptions,
    node: usize,
    host: Host,
    paths: NodeFilePaths<'_>,
    supervisor: &mut Supervisor,
) -> Result<StartedNode, RunError> {
    let program = node_command(options, host, paths);
    let mut process = ManagedProcess::start(options, &program, supervisor)?;
    let log_path = options.work_dir.join(format!("n{node}.log"));
    let log = fs::File::options().create(true).append(true).open(log_path)?;
    let lines = process.stderr_lines(log)?;
    match timeout(PROCESS_TIMEOUT, read_addresses(lines)).await {
        Ok(Some(addresses)) => Ok(StartedNode { process, addresses }),
        _ => {
            process.expect_exit();
            Err(RunError::NodeDidNotStart { node, work_dir: options.work_dir.clone() })
        }
    }
}

/// Reads a node's addresses from its log; `None` if the log ends first. The admin listener is the last one that a node opens.
async fn read_addresses(mut lines: UnboundedReceiver<String>) -> Option<NodeAddresses> {
    let (mut membership, mut clients) = (None, None);
    while let Some(line) = lines.recv().await {
        membership = membership.or(address_after(&line, &MEMBERSHIP_ADDRESS_PREFIXES));
        clients = clients.or(address_after(&line, &CLIENT_ADDRESS_PREFIXES));
        if let (Some(clients), Some(admin)) = (clients, address_after(&line, &ADMIN_ADDRESS_PREFIXES)) {
            return Some(NodeAddresses { clients, admin, membership });
        }
    }
    None
}

/// Returns the address that follows one of the prefixes.
fn address_after(line: &str, prefixes: &[&str]) -> Option<SocketAddr> {
    let (_, address) = prefixes.iter().find_map(|prefix| line.split_once(prefix))?;
    address.trim().parse().ok()
}
