//! What one process of a node hands over to the next: a file in the folder that they share, replaced as a whole.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use pumicehead_policy::WarmState;
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tracing::warn;

use crate::net::endpoint_directory::unseeded_hash;

/// Longest file that is read, in bytes: the warm state of 20,000 endpoints, and as many names.
const MAX_FILE_BYTES: u64 = 8 << 20;

/// What is handed over.
#[derive(Serialize, Deserialize)]
pub struct HandoverRecord {
    /// Names of backends that were ever listed.
    #[serde(rename = "listed")]
    pub known_backends: Vec<String>,
    /// What the decision module has learned. Its times are Unix time of the one machine.
    #[serde(rename = "knowledge")]
    pub warm_state: WarmState,
    /// The node is in lame-duck mode. Files of older versions lack it.
    #[serde(rename = "lame", default)]
    pub lame_duck: bool,
}

/// The handover file can't be read or written.
#[derive(Debug, Error)]
pub enum HandoverError {
    /// A file operation failed.
    #[error("{path}: {source}", path = .path.display())]
    Io {
        /// The file.
        path: PathBuf,
        /// The operating system's error.
        source: io::Error,
    },
    /// The file is too long to be read.
    #[error("{path}: {length} bytes, more than {MAX_FILE_BYTES}", path = .path.display())]
    TooLong {
        /// The file.
        path: PathBuf,
        /// Its length in bytes.
        length: u64,
    },
    /// The file is not the expected JSON, or the record can't be written as JSON.
    #[error("{path}: {source}", path = .path.display())]
    Json {
        /// The file.
        path: PathBuf,
        /// What the parser says.
        source: serde_json::Error,
    },
}

/// The handover file.
pub struct HandoverFile(PathBuf);

impl HandoverFile {
    /// The handover file of a node in a folder.
    pub fn new(folder: &Path, node: &str) -> Self {
        let hash = unseeded_hash(node.as_bytes());
        Self(folder.join(format!("pumicehead-{hash:016x}.learned")))
    }

    /// The record of the process before, if there is one that can be read; a cold start is always possible.
    pub fn read(&self) -> Option<HandoverRecord> {
        match self.try_read() {
            Ok(record) => Some(record),
            // There is no file after the first start of a node. Any other error of reading it means a cold start too.
            Err(HandoverError::Io { .. }) => None,
            Err(error) => {
                warn!(target: "upgrade", %error, "warm state not used");
                None
            }
        }
    }

    fn try_read(&self) -> Result<HandoverRecord, HandoverError> {
        let length = fs::metadata(&self.0).map_err(|error| self.io_error(error))?.len();
        if length > MAX_FILE_BYTES {
            return Err(HandoverError::TooLong { path: self.0.clone(), length });
        }
        let stored = fs::read(&self.0).map_err(|error| self.io_error(error))?;
        serde_json::from_slice(&stored).map_err(|source| self.json_error(source))
    }

    /// Replaces the record.
    ///
    /// # Errors
    /// What keeps it from being written; the record before then stays.
    pub fn write(&self, record: &HandoverRecord) -> Result<(), HandoverError> {
        let stored = serde_json::to_vec(record).map_err(|source| self.json_error(source))?;
        // Two processes may write at a time, each to a file of its own.
        let new_path = self.0.with_extension(std::process::id().to_string());
        let written = fs::write(&new_path, stored).and_then(|()| fs::rename(&new_path, &self.0));
        written.map_err(|error| self.io_error(error))
    }

    fn io_error(&self, source: io::Error) -> HandoverError {
        HandoverError::Io { path: self.0.clone(), source }
    }

    fn json_error(&self, source: serde_json::Error) -> HandoverError {
        HandoverError::Json { path: self.0.clone(), source }
    }
}
