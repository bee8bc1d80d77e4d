//! State file of the disabled backends, which the processes of a node share. Each process reads it again when another one
//! has changed it.

use std::fs::{self, File, Metadata, TryLockError};
use std::io::{self, Write};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

use pumicehead_admin::disabled_backends::{
    DisabledBackends, MAX_STORED_BYTES, StoredFormError, TooManyDisabledError,
};
use thiserror::Error;
use tokio::time::{Instant, sleep};
use tracing::warn;

use crate::net::endpoint_directory::unseeded_hash;

/// How long to wait for the lock, which a process holds only while it updates the file. The wait is bounded because a
/// process that was stopped during an update must not block this one, and an admin command must be answered within 1 s.
const LOCK_TIMEOUT: Duration = Duration::from_millis(400);
/// Delay between two attempts to acquire the lock.
const LOCK_RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// Why the state file can't be read or changed.
#[derive(Debug, Error)]
pub enum StateFileError {
    /// A file operation failed.
    #[error("{path}: {source}", path = .path.display())]
    Io {
        /// Path of the state file or its lock file.
        path: PathBuf,
        /// The I/O error.
        source: io::Error,
    },
    /// Another process held the lock for longer than [`LOCK_TIMEOUT`].
    #[error("another process holds the lock of the state file")]
    Locked,
    /// The content is invalid.
    #[error("{path}: {source}", path = .path.display())]
    Content {
        /// Path of the state file.
        path: PathBuf,
        /// What is wrong with the content.
        source: StoredFormError,
    },
    /// No further backend can be disabled.
    #[error(transparent)]
    TooManyDisabled(#[from] TooManyDisabledError),
}

/// Metadata that identifies a version of the file without reading its content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct FileVersion {
    inode: u64,
    length: u64,
    modified: SystemTime,
}

impl FileVersion {
    fn of(metadata: &Metadata) -> Self {
        let modified = metadata.modified().unwrap_or(SystemTime::UNIX_EPOCH);
        Self { inode: metadata.ino(), length: metadata.len(), modified }
    }
}

/// The state file of the disabled backends.
pub struct StateFile {
    path: PathBuf,
    /// Version that was last read or written, or `None` if the file did not exist.
    last_seen: Option<FileVersion>,
}

impl StateFile {
    /// Creates a handle to the state file of a node in a directory, without any I/O.
    pub fn new(directory: &Path, node: &str) -> Self {
        // The file name contains a hash, as the node name may have characters that are not allowed in file names.
        let hash = unseeded_hash(node.as_bytes());
        Self { path: directory.join(format!("pumicehead-{hash:016x}.out")), last_seen: None }
    }

    /// Returns the content if the file has changed since this process last read or wrote it.
    ///
    /// # Errors
    /// Fails if the file can't be read. It is read again only after its next change.
    pub fn read_if_changed(&mut self) -> Result<Option<DisabledBackends>, StateFileError> {
        let version = fs::metadata(&self.path).ok().map(|metadata| FileVersion::of(&metadata));
        if version == self.last_seen {
            return Ok(None);
        }
        self.last_seen = version;
        self.read().map(Some)
    }

    fn read(&self) -> Result<DisabledBackends, StateFileError> {
        match fs::metadata(&self.path) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(DisabledBackends::default()),
            Err(error) => return Err(self.io_error(error)),
            Ok(metadata) if metadata.len() > MAX_STORED_BYTES as u64 => {
                return Err(self.content_error(StoredFormError::TooLong { length: metadata.len() }));
            }
            Ok(_) => {}
        }
        let stored = fs::read(&self.path).map_err(|error| self.io_error(error))?;
        DisabledBackends::from_stored(&stored).map_err(|error| self.content_error(error))
    }

    /// Applies a change to the current content of the file and returns the new content. If the content is invalid, the
    /// change is applied to `fallback` instead and the file is replaced.
    ///
    /// # Errors
    /// Fails if the file can't be locked, read or replaced; its content is then unchanged.
    pub async fn update(
        &mut self,
        fallback: &DisabledBackends,
        change: impl FnOnce(&mut DisabledBackends) -> Result<(), TooManyDisabledError>,
    ) -> Result<DisabledBackends, StateFileError> {
        // The lock is on a separate file, because each write replaces the state file.
        let _lock = self.lock().await?;
        let mut disabled = match self.read() {
            Ok(disabled) => disabled,
            Err(error @ StateFileError::Content { .. }) => {
                warn!(target: "admin", %error, "invalid state file of disabled backends replaced");
                fallback.clone()
            }
            Err(error) => return Err(error),
        };
        change(&mut disabled)?;
        self.write(&disabled).map_err(|error| self.io_error(error))?;
        Ok(disabled)
    }

    async fn lock(&self) -> Result<File, StateFileError> {
        let path = self.path.with_extension("lock");
        let io_error = |source| StateFileError::Io { path: path.clone(), source };
        let file = File::create(&path).map_err(io_error)?;
        let deadline = Instant::now() + LOCK_TIMEOUT;
        loop {
            match file.try_lock() {
                Ok(()) => return Ok(file),
                Err(TryLockError::WouldBlock) if Instant::now() < deadline => {
                    sleep(LOCK_RETRY_INTERVAL).await
                }
                Err(TryLockError::WouldBlock) => return Err(StateFileError::Locked),
                Err(TryLockError::Error(error)) => return Err(io_error(error)),
            }
        }
    }

    fn write(&mut self, disabled: &DisabledBackends) -> io::Result<()> {
        let new_path = self.path.with_extension("new");
        let mut file = File::create(&new_path)?;
        file.write_all(disabled.to_stored().as_bytes())?;
        file.sync_all()?;
        fs::rename(&new_path, &self.path)?;
        self.last_seen = Some(FileVersion::of(&fs::metadata(&self.path)?));
        Ok(())
    }

    fn io_error(&self, source: io::Error) -> StateFileError {
        StateFileError::Io { path: self.path.clone(), source }
    }

    fn content_error(&self, source: StoredFormError) -> StateFileError {
        StateFileError::Content { path: self.path.clone(), source }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/state_file.rs"]
mod tests;
