//! Handover of state from one process of a node to the next, through a file in a shared directory that is replaced
//! atomically.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use pumicehead_policy::WarmState;
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tracing::warn;

use crate::net::endpoint_directory::unseeded_hash;

/// Maximum length in bytes of a file that is read: enough for the warm state of 20,000 endpoints and as many names.
const MAX_FILE_BYTES: u64 = 8 << 20;

/// State that is handed over to the next process.
#[derive(Serialize, Deserialize)]
pub struct HandoverRecord {
    /// Names of all backends that have ever been listed.
    #[serde(rename = "listed")]
    pub known_backends: Vec<String>,
    /// What the decision module has learned. Its times are Unix times of the machine's clock.
    #[serde(rename = "knowledge")]
    pub warm_state: WarmState,
    /// Whether the node is in lame-duck mode. Missing in files of older versions.
    #[serde(rename = "lame", default)]
    pub lame_duck: bool,
}

/// Why the handover file can't be read or written.
#[derive(Debug, Error)]
pub enum HandoverError {
    /// A file operation failed.
    #[error("{path}: {source}", path = .path.display())]
    Io {
        /// Path of the file.
        path: PathBuf,
        /// The I/O error.
        source: io::Error,
    },
    /// The file is too long to be read.
    #[error("{path}: {length} bytes, more than {MAX_FILE_BYTES}", path = .path.display())]
    TooLong {
        /// Path of the file.
        path: PathBuf,
        /// Length of the file in bytes.
        length: u64,
    },
    /// The file is not valid JSON of the expected structure, or the record can't be serialized.
    #[error("{path}: {source}", path = .path.display())]
    Json {
        /// Path of the file.
        path: PathBuf,
        /// The JSON error.
        source: serde_json::Error,
    },
}

/// The handover file.
pub struct HandoverFile(PathBuf);

impl HandoverFile {
    /// Creates a handle to the handover file of a node in a directory, without any I/O.
    pub fn new(directory: &Path, node: &str) -> Self {
        let hash = unseeded_hash(node.as_bytes());
        Self(directory.join(format!("pumicehead-{hash:016x}.learned")))
    }

    /// Returns the record of the previous process, or `None` if there is none that can be used; the node then starts cold.
    pub fn read(&self) -> Option<HandoverRecord> {
        match self.try_read() {
            Ok(record) => Some(record),
            // At the first start of a node there is no file. Any other I/O error leads to a cold start as well.
            Err(HandoverError::Io { .. }) => None,
            Err(error) => {
                warn!(target: "upgrade", %error, "handover file not used; starting cold");
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
    /// Fails if the record can't be written; the previous record then stays.
    pub fn write(&self, record: &HandoverRecord) -> Result<(), HandoverError> {
        let stored = serde_json::to_vec(record).map_err(|source| self.json_error(source))?;
        // Two processes may write at the same time, so each uses its own temporary file.
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
