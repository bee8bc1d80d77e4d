//! A configuration that is read, compared and freed on a thread of its own.
//!
//! Texts, trees and places take some thousand bytes a route while a configuration is checked; what a node keeps of it
//! takes some hundred. The thread has a heap of its own, which goes back to the system when all of it is freed by the
//! thread that allocated it. Freed by another one, some of it would stay in that one's caches, and with it the pages.

use std::path::PathBuf;
use std::sync::{Arc, mpsc};
use std::thread;

use pumicehead_config::disk::Disk;
use pumicehead_config::{Checked, Config, check};
use pumicehead_resources::ValidationError;
use thiserror::Error;

use super::difference::Difference;
use super::revision::NodeConfig;

/// A configuration can't be read.
#[derive(Debug, Error)]
pub enum ReadingError {
    /// No thread can be started.
    #[error("start a thread that reads the configuration: {0}")]
    Thread(#[from] std::io::Error),
    /// A fault of the program.
    #[error("reading the configuration panicked")]
    Panicked,
}

/// What the thread found out.
struct Findings {
    checked: Checked,
    /// There where the file can be used.
    difference: Option<Result<Difference, ValidationError>>,
}

/// A file that was checked, held by the thread that did it. What is kept of it must be copied.
pub struct Reading {
    // In this order: the thread must be the last one to hold the findings when it is told of the end.
    findings: Arc<Findings>,
    _end: mpsc::SyncSender<()>,
}

impl Reading {
    /// Reads and checks the first file of a process, and returns when that is done.
    ///
    /// # Errors
    /// A thread that can't be started, or that panicked. Mistakes in the file are diagnostics.
    pub fn of(path: PathBuf) -> Result<Self, ReadingError> {
        Self::compared(path, Difference::first)
    }

    /// The same for a file that is to take the place of the configuration in force.
    ///
    /// # Errors
    /// As [`of`](Self::of).
    pub fn against(path: PathBuf, current: Arc<NodeConfig>) -> Result<Self, ReadingError> {
        Self::compared(path, move |config| Difference::between(&current, config))
    }

    fn compared(
        path: PathBuf,
        compare: impl FnOnce(&Config) -> Result<Difference, ValidationError> + Send + 'static,
    ) -> Result<Self, ReadingError> {
        // Of one slot each: these are allocated here, and nothing that the other thread would allocate is freed here.
        let (result, received) = mpsc::sync_channel(1);
        let (end, ended) = mpsc::sync_channel::<()>(1);
        let read = move || {
            let checked = check(&Disk, &path);
            let difference = checked.config.as_ref().map(compare);
            let findings = Arc::new(Findings { checked, difference });
            if result.send(findings.clone()).is_ok() {
                // Nothing is sent: it ends when the other side is dropped.
                let _ = ended.recv();
            }
        };
        thread::Builder::new().name("configuration".into()).spawn(read)?;
        let findings = received.recv().map_err(|_| ReadingError::Panicked)?;
        Ok(Self { findings, _end: end })
    }

    /// What was read.
    pub fn checked(&self) -> &Checked {
        &self.findings.checked
    }

    /// How it differs from what is in force; `None` where the file can't be used.
    pub fn difference(&self) -> Option<Result<&Difference, &ValidationError>> {
        self.findings.difference.as_ref().map(Result::as_ref)
    }
}
