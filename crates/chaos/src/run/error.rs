//! Why a scenario could not be run to its end.

use std::io;
use std::path::PathBuf;

/// Why a scenario could not be run to its end.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// A file, socket or process failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A message to a stand-in could not be encoded.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A node did not listen in time, or exited before.
    #[error("node {node} did not start; its log is in {}", work_dir.display())]
    NodeDidNotStart {
        /// The node.
        node: usize,
        /// Directory with its log.
        work_dir: PathBuf,
    },
    /// The run was interrupted from the terminal.
    #[error("interrupted")]
    Interrupted,
}
