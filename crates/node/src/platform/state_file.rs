//! State file of the disabled backends: shared by the processes of a node, read whenever another one has changed it.

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

/// How long to wait for the lock, which another process holds only while it writes; a process that was stopped in a
/// write must not stop this one. An admin command must be answered within 1 s.
const LOCK_TIMEOUT: Duration = Duration::from_millis(400);
/// Between two attempts to take the lock.
const LOCK_RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// The state file can't be read or changed.
#[derive(Debug, Error)]
pub enum StateFileError {
    /// A file operation failed.
    #[error("{path}: {source}", path = .path.display())]
    Io {
        /// The state file or its lock file.
        path: PathBuf,
        /// The operating system's error.
        source: io::Error,
    },
    /// Another process held the lock for longer than [`LOCK_TIMEOUT`].
    #[error("another process holds the book")]
    Locked,
    /// The content can't be read.
    #[error("{path}: {source}", path = .path.display())]
    Content {
        /// The state file.
        path: PathBuf,
        /// What is wrong with it.
        source: StoredFormError,
    },
    /// One more backend can't be disabled.
    #[error(transparent)]
    TooManyDisabled(#[from] TooManyDisabledError),
}

/// Identifies a version of the file's content without reading it.
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

/// The state file.
pub struct StateFile {
    path: PathBuf,
    /// Version that was read or written last; `None` where there was no file.
    last_seen: Option<FileVersion>,
}

impl StateFile {
    /// The state file of a node in a folder. Nothing is read or written yet.
    pub fn new(folder: &Path, node: &str) -> Self {
        // A node's name may have characters that a file name can't.
        let hash = unseeded_hash(node.as_bytes());
        Self { path: folder.join(format!("pumicehead-{hash:016x}.out")), last_seen: None }
    }

    /// The content, if it has changed since it was last read or written by this process.
    ///
    /// # Errors
    /// What keeps it from being read. It is read again after the next change.
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

    /// Changes the content, whichever process wrote it last, and returns the new one. A damaged file is replaced,
    /// starting from `known`.
    ///
    /// # Errors
    /// What keeps it from being changed; the file is then as it was.
    pub async fn update(
        &mut self,
        known: &DisabledBackends,
        change: impl FnOnce(&mut DisabledBackends) -> Result<(), TooManyDisabledError>,
    ) -> Result<DisabledBackends, StateFileError> {
        // The lock file is never replaced, as the state file is.
        let _lock = self.lock().await?;
        let mut disabled = match self.read() {
            Ok(disabled) => disabled,
            Err(error @ StateFileError::Content { .. }) => {
                warn!(target: "admin", %error, "state file of disabled backends replaced");
                known.clone()
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
