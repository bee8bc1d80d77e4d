//! SIGHUP: the file is read, checked and compared on a thread of its own, and what changed is applied on the loop.
//!
//! One reading is under way at a time. Signals that come meanwhile count as one further reading, which begins after the
//! one under way is applied, and so sees the newest file. Nothing is applied before all of a revision is there.

use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;

use pumicehead_lang::diff::Shown;
use pumicehead_lang::disk::Disk;
use pumicehead_lang::{Sources, check};
use tokio::task;
use tracing::{info, warn};

use super::revision::{NodeConfig, Transition};
use super::site::{Site, SiteError};
use crate::report::{Format, report};

/// A file that was read.
struct Prepared {
    /// The texts, for showing places.
    sources: Sources,
    transition: Transition,
}

/// Reads the file again at each signal.
pub async fn reload_on(site: Rc<Site>, path: PathBuf, mut next: impl AsyncFnMut() -> Option<()>) {
    while next().await.is_some() {
        reload(&site, path.clone()).await;
    }
}

async fn reload(site: &Rc<Site>, path: PathBuf) {
    let current = site.active();
    let mut prepared = match task::spawn_blocking(move || prepare(&path, &current)).await {
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
fn prepare(path: &Path, current: &NodeConfig) -> Option<Prepared> {
    let checked = check(&Disk, path);
    report(&checked.sources, &checked.diagnostics, Format::Text);
    let Some(config) = checked.config else {
        warn!(target: "settings", "reload: the old configuration stays");
        return None;
    };
    match Transition::prepare(current, config) {
        Ok(transition) => Some(Prepared { sources: checked.sources, transition }),
        Err(error) => {
            warn!(target: "settings", "reload: the old configuration stays: {error}");
            None
        }
    }
}

/// Reports what was done, and frees what is no longer in force.
fn finish(prepared: &Prepared, applied: Result<(), SiteError>, former: Arc<NodeConfig>) {
    drop(former);
    if let Err(error) = applied {
        return warn!(target: "settings", "reload: the old configuration stays: {error}");
    }
    let changes = &prepared.transition.changes;
    for change in changes {
        info!(target: "settings", "reload: {}", Shown { change, sources: &prepared.sources });
    }
    let NodeConfig { revision, digest, .. } = &*prepared.transition.next;
    let (count, counts) = (changes.len(), prepared.transition.counts);
    info!(target: "settings", "reload: done, {count} changes; revision {revision}, digest {digest}; {counts}");
}
