//! What one process of a node leaves for the next: a file in the folder that they share, replaced as a whole.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use pumicehead_policy::WarmState;
use serde::{Deserialize, Serialize};
use tracing::warn;

/// Longest file that is read: knowledge of 20,000 servers, and as many names.
const LONGEST: u64 = 8 << 20;

/// What is left.
#[derive(Serialize, Deserialize)]
pub struct Left {
    /// Names of servers that were listed.
    pub listed: Vec<String>,
    /// What the module has learned. Its times are Unix time, of the one machine.
    pub knowledge: WarmState,
    /// Staff have the node empty. Files of versions that did not say so have none.
    #[serde(default)]
    pub lame: bool,
}

/// The file.
pub struct Handover(PathBuf);

impl Handover {
    /// In a folder, for a node's name.
    pub fn new(folder: &Path, node: &str) -> Self {
        let hash = crate::net::endpoint_directory::unseeded_hash(node.as_bytes());
        Self(folder.join(format!("pumicehead-{hash:016x}.learned")))
    }

    /// What was left, if it can be read: a start without it is as good as any other.
    pub fn read(&self) -> Option<Left> {
        let length = fs::metadata(&self.0).ok()?.len();
        if length > LONGEST {
            warn!(target: "upgrade", "{}: {length} bytes, more than {LONGEST}: not read", self.0.display());
            return None;
        }
        let text = fs::read(&self.0).ok()?;
        let left = serde_json::from_slice(&text);
        left.inspect_err(|error| warn!(target: "upgrade", "{}: not used: {error}", self.0.display())).ok()
    }

    /// Leaves it in place of what was left before.
    pub fn write(&self, left: &Left) -> io::Result<()> {
        let text = serde_json::to_vec(left)?;
        // Two processes may write at a time; each its own.
        let fresh = self.0.with_extension(std::process::id().to_string());
        fs::write(&fresh, text)?;
        fs::rename(&fresh, &self.0)
    }
}
