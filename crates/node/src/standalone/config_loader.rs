//! Loads a configuration on a thread of its own: the file is read, checked and compared there, and freed there.
//!
//! Texts, syntax trees and spans take some thousand bytes a route, and what a node keeps of them some hundred. The thread's
//! allocations go back to the system only if the thread itself frees them: freed by another one, some would stay in that
//! one's allocator caches, and their pages with them.

use std::path::PathBuf;
use std::sync::{Arc, mpsc};
use std::thread;

use pumicehead_config::disk::Disk;
use pumicehead_config::{Checked, Config, check};
use pumicehead_resources::ValidationError;
use thiserror::Error;

use super::config_diff::ConfigDiff;
use super::config_revision::ConfigRevision;

/// A configuration can't be loaded. Mistakes in the file are no such error but diagnostics.
#[derive(Debug, Error)]
pub enum LoadError {
    /// The thread can't be started.
    #[error("start a thread that reads the configuration: {0}")]
    Thread(#[from] std::io::Error),
    /// The thread panicked, which is a bug.
    #[error("reading the configuration panicked")]
    Panicked,
}

/// The result of a load.
struct LoadResult {
    checked: Checked,
    /// `None` where the file has mistakes.
    diff: Option<Result<ConfigDiff, ValidationError>>,
}

/// A checked configuration that its loader thread owns. What a node keeps of it must be copied.
pub struct LoadedConfig {
    // Field order is drop order: the thread must hold the last reference when `_end` closes.
    result: Arc<LoadResult>,
    _end: mpsc::SyncSender<()>,
}

impl LoadedConfig {
    /// Loads the first configuration of a process; blocks until it is checked.
    ///
    /// # Errors
    /// [`LoadError`].
    pub fn load_first(path: PathBuf) -> Result<Self, LoadError> {
        Self::load(path, ConfigDiff::first)
    }

    /// Loads a configuration that is to replace the one in force; blocks until it is checked and compared.
    ///
    /// # Errors
    /// [`LoadError`].
    pub fn load_next(path: PathBuf, current: Arc<ConfigRevision>) -> Result<Self, LoadError> {
        Self::load(path, move |config| ConfigDiff::between(&current.config, config))
    }

    fn load(
        path: PathBuf,
        compare: impl FnOnce(&Config) -> Result<ConfigDiff, ValidationError> + Send + 'static,
    ) -> Result<Self, LoadError> {
        // Bounded channels allocate their slots here, so that this thread frees nothing that the other one allocated.
        let (result_sender, result_receiver) = mpsc::sync_channel(1);
        let (end_sender, end_receiver) = mpsc::sync_channel::<()>(1);
        let read = move || {
            let checked = check(&Disk, &path);
            let diff = checked.config.as_ref().map(compare);
            let result = Arc::new(LoadResult { checked, diff });
            if result_sender.send(result.clone()).is_ok() {
                // Nothing is ever sent: this returns when `LoadedConfig` is dropped.
                let _ = end_receiver.recv();
            }
        };
        thread::Builder::new().name("configuration".into()).spawn(read)?;
        let result = result_receiver.recv().map_err(|_| LoadError::Panicked)?;
        Ok(Self { result, _end: end_sender })
    }

    /// The checked file.
    pub fn checked(&self) -> &Checked {
        &self.result.checked
    }

    /// The difference from the configuration in force; `None` where the file has mistakes.
    pub fn diff(&self) -> Option<Result<&ConfigDiff, &ValidationError>> {
        self.result.diff.as_ref().map(Result::as_ref)
    }
}
