//! Configuration reload on SIGHUP: the file is read, checked and compared on separate threads, and the changes are applied
//! on the event loop.
//!
//! Reloads run one at a time. Signals that arrive during a reload cause a single further reload, which reads the latest
//! file.

use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;

use pumicehead_config::diff::DisplayChange;
use pumicehead_policy::Nanos;
use thiserror::Error;
use tokio::task;
use tracing::{info, warn};

use super::config_diff::ConfigDiff;
use super::config_loader::{LoadError, LoadedConfig};
use super::config_revision::ConfigRevision;
use super::error::ApplyError;
use super::runtime::Runtime;
use super::transition::Transition;
use crate::report::{Format, report};

/// Why a reload can't be prepared.
#[derive(Debug, Error)]
enum PrepareError {
    #[error(transparent)]
    Load(#[from] LoadError),
    #[error(transparent)]
    Apply(#[from] ApplyError),
}

/// A reload that is ready to be applied.
struct PreparedReload {
    loaded: LoadedConfig,
    transition: Transition,
}

/// Reloads the file each time that `next_signal` returns `Some`.
pub async fn reload_on(
    runtime: Rc<Runtime>,
    path: PathBuf,
    mut next_signal: impl AsyncFnMut() -> Option<()>,
) {
    while next_signal().await.is_some() {
        reload(&runtime, path.clone()).await;
    }
}

async fn reload(runtime: &Rc<Runtime>, path: PathBuf) {
    let (current, now) = (runtime.revision(), runtime.introspection().clock().now());
    let mut prepared = match task::spawn_blocking(move || prepare(path, current, now)).await {
        Ok(Some(prepared)) => prepared,
        // The reason has already been logged.
        Ok(None) => return,
        Err(error) => return log_rejected(&error),
    };
    let former = runtime.revision();
    let applied = runtime.apply(&mut prepared.transition);
    // Runs on another thread, because logging thousands of changes and freeing the former revision would block the event
    // loop.
    let finish = move || finish(&prepared, applied, former);
    if let Err(error) = task::spawn_blocking(finish).await {
        warn!(target: "settings", %error, "reload: logging its result failed");
    }
}

fn log_rejected(error: &dyn std::error::Error) {
    warn!(target: "settings", %error, "reload: the old configuration stays");
}

/// Loads and compares the file. If it can't be used, logs the reason and returns `None`.
fn prepare(path: PathBuf, current: Arc<ConfigRevision>, now: Nanos) -> Option<PreparedReload> {
    match try_prepare(path, &current, now) {
        Ok(Some(prepared)) => return Some(prepared),
        Ok(None) => warn!(target: "settings", "reload: the old configuration stays"),
        Err(error) => log_rejected(&error),
    }
    None
}

/// Like [`prepare`], but returns errors instead of logging them. Errors in the file are reported as diagnostics, and the
/// result is then `None`.
fn try_prepare(
    path: PathBuf,
    current: &Arc<ConfigRevision>,
    now: Nanos,
) -> Result<Option<PreparedReload>, PrepareError> {
    let loaded = LoadedConfig::load_next(path, current.clone())?;
    let checked = loaded.checked();
    report(&checked.sources, &checked.diagnostics, Format::Text);
    let (Some(config), Some(diff)) = (&checked.config, loaded.diff()) else { return Ok(None) };
    let diff = diff.map_err(|error| ApplyError::InvalidResources(error.clone()))?;
    let transition = Transition::prepare(current, config, diff, now)?;
    Ok(Some(PreparedReload { loaded, transition }))
}

/// Frees the former revision and logs the changes.
fn finish(prepared: &PreparedReload, applied: Result<(), ApplyError>, former: Arc<ConfigRevision>) {
    drop(former);
    if let Err(error) = applied {
        return log_rejected(&error);
    }
    let Some(Ok(ConfigDiff { changes, .. })) = prepared.loaded.diff() else { return };
    let sources = &prepared.loaded.checked().sources;
    for change in changes {
        info!(target: "settings", "reload: {}", DisplayChange { change, sources });
    }
    let ConfigRevision { revision, digest, .. } = &*prepared.transition.next;
    let (count, counts) = (changes.len(), prepared.transition.counts);
    info!(target: "settings", "reload: done, {count} changes; revision {revision}, digest {digest}; {counts}");
}
