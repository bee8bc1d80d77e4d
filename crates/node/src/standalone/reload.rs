//! SIGHUP: the file is read, checked and compared on a thread of its own, and what changed is applied on the loop.
//!
//! One reading is under way at a time. Signals that come meanwhile count as one further reading, which begins after the
//! one under way is applied, and so sees the newest file. Nothing is applied before all of a revision is there.

use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;

use pumicehead_config::diff::DisplayChange;
use pumicehead_policy::Nanos;
use thiserror::Error;
use tokio::task;
use tracing::{info, warn};

use super::difference::Difference;
use super::reading::{Reading, ReadingError};
use super::revision::{NodeConfig, Transition};
use super::site::{Site, SiteError};
use crate::report::{Format, report};

/// What keeps a file without mistakes from being used.
#[derive(Debug, Error)]
enum PrepareError {
    #[error(transparent)]
    Reading(#[from] ReadingError),
    #[error(transparent)]
    Site(#[from] SiteError),
}

/// A file that was read and can be used.
struct Prepared {
    reading: Reading,
    transition: Transition,
}

/// Reads the file again at each signal.
pub async fn reload_on(site: Rc<Site>, path: PathBuf, mut next: impl AsyncFnMut() -> Option<()>) {
    while next().await.is_some() {
        reload(&site, path.clone()).await;
    }
}

async fn reload(site: &Rc<Site>, path: PathBuf) {
    let (current, now) = (site.active(), site.eyes().clock().now());
    let mut prepared = match task::spawn_blocking(move || prepare(path, current, now)).await {
        Ok(Some(prepared)) => prepared,
        // It has said why.
        Ok(None) => return,
        Err(error) => return warn!(target: "settings", "reload: the old configuration stays: {error}"),
    };
    let former = site.active();
    let applied = site.apply(&mut prepared.transition);
    // The log lines of thousands of changes, and freeing what was in force, take time that no request should wait for.
    let finish = move || finish(&prepared, applied, former);
    if let Err(error) = task::spawn_blocking(finish).await {
        warn!(target: "settings", "reload: {error}");
    }
}

/// Reads, checks and compares; `None` where the file can't be used, which is reported.
fn prepare(path: PathBuf, current: Arc<NodeConfig>, now: Nanos) -> Option<Prepared> {
    match prepare_next(path, &current, now) {
        Ok(Some(prepared)) => return Some(prepared),
        Ok(None) => warn!(target: "settings", "reload: the old configuration stays"),
        Err(error) => warn!(target: "settings", "reload: the old configuration stays: {error}"),
    }
    None
}

/// `None` where the file has mistakes, which are shown.
fn prepare_next(
    path: PathBuf,
    current: &Arc<NodeConfig>,
    now: Nanos,
) -> Result<Option<Prepared>, PrepareError> {
    let reading = Reading::against(path, current.clone())?;
    let checked = reading.checked();
    report(&checked.sources, &checked.diagnostics, Format::Text);
    let (Some(config), Some(difference)) = (&checked.config, reading.difference()) else { return Ok(None) };
    let difference = difference.map_err(|fault| SiteError::Unsound(fault.clone()))?;
    let transition = Transition::prepare(current, config, difference, now)?;
    Ok(Some(Prepared { reading, transition }))
}

/// Reports what was done, and frees what is no longer in force.
fn finish(prepared: &Prepared, applied: Result<(), SiteError>, former: Arc<NodeConfig>) {
    drop(former);
    if let Err(error) = applied {
        return warn!(target: "settings", "reload: the old configuration stays: {error}");
    }
    let Some(Ok(Difference { changes, .. })) = prepared.reading.difference() else { return };
    let sources = &prepared.reading.checked().sources;
    for change in changes {
        info!(target: "settings", "reload: {}", DisplayChange { change, sources });
    }
    let NodeConfig { revision, digest, .. } = &*prepared.transition.next;
    let (count, counts) = (changes.len(), prepared.transition.counts);
    info!(target: "settings", "reload: done, {count} changes; revision {revision}, digest {digest}; {counts}");
}
