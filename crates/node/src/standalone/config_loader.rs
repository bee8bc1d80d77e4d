//! Loads a configuration on a dedicated thread, which reads, checks and compares the file and also frees the result.
//!
//! Source texts, syntax trees and spans take a few thousand bytes per route; a node keeps only a few hundred of them. The
//! memory is returned to the system only if the thread that allocated it also frees it: freed by another thread, part of it
//! would stay in the allocator caches of that thread and keep its pages in use.

use std::path::PathBuf;
use std::sync::{Arc, mpsc};
use std::thread;

use pumicehead_config::disk::Disk;
use pumicehead_config::{Checked, Config, check};
use pumicehead_resources::ValidationError;
use thiserror::Error;

use super::config_diff::ConfigDiff;
use super::config_revision::ConfigRevision;

/// Why a configuration can't be loaded. Errors in the file are not reported this way, but as diagnostics.
#[derive(Debug, Error)]
pub enum LoadError {
    /// The thread can't be started.
    #[error("can't start the thread that loads the configuration: {0}")]
    Thread(#[from] std::io::Error),
    /// The thread panicked, which is a bug.
    #[error("the thread that loads the configuration panicked")]
    Panicked,
}

/// The result of a load.
struct LoadResult {
    checked: Checked,
    /// `None` if the file has errors.
    diff: Option<Result<ConfigDiff, ValidationError>>,
}

/// A checked configuration that is freed by its loader thread. The node must copy what it keeps of it.
pub struct LoadedConfig {
    // Fields are dropped in declaration order: the thread must hold the last reference when `_release` is dropped.
    result: Arc<LoadResult>,
    _release: mpsc::SyncSender<()>,
}

impl LoadedConfig {
    /// Loads the first configuration of a process. Blocks until it is checked.
    ///
    /// # Errors
    /// Returns [`LoadError`] if the loader thread can't be started or panics.
    pub fn load_first(path: PathBuf) -> Result<Self, LoadError> {
        Self::load(path, ConfigDiff::first)
    }

    /// Loads a configuration that is to replace the one in force. Blocks until it is checked and compared.
    ///
    /// # Errors
    /// Returns [`LoadError`] if the loader thread can't be started or panics.
    pub fn load_next(path: PathBuf, current: Arc<ConfigRevision>) -> Result<Self, LoadError> {
        Self::load(path, move |config| ConfigDiff::between(&current.config, config))
    }

    fn load(
        path: PathBuf,
        compare: impl FnOnce(&Config) -> Result<ConfigDiff, ValidationError> + Send + 'static,
    ) -> Result<Self, LoadError> {
        // Bounded channels allocate their slots on this thread, so that it never frees memory of the loader thread.
        let (result_sender, result_receiver) = mpsc::sync_channel(1);
        let (release_sender, release_receiver) = mpsc::sync_channel::<()>(1);
        let load_and_free = move || {
            let checked = check(&Disk, &path);
            let diff = checked.config.as_ref().map(compare);
            let result = Arc::new(LoadResult { checked, diff });
            if result_sender.send(result.clone()).is_ok() {
                // Nothing is ever sent: this returns when the `LoadedConfig` is dropped.
                let _ = release_receiver.recv();
            }
        };
        thread::Builder::new().name("configuration".into()).spawn(load_and_free)?;
        let result = result_receiver.recv().map_err(|_| LoadError::Panicked)?;
        Ok(Self { result, _release: release_sender })
    }

    /// Returns the result of checking the file.
    pub fn checked(&self) -> &Checked {
        &self.result.checked
    }

    /// Returns the difference from the configuration in force, or `None` if the file has errors.
    pub fn diff(&self) -> Option<Result<&ConfigDiff, &ValidationError>> {
        self.result.diff.as_ref().map(Result::as_ref)
    }
}
