//! A node of its own: one configuration file, any number of listeners and pools, plain HTTP clients.

mod admission;
mod record;
mod site;

use std::error::Error;
use std::path::PathBuf;
use std::rc::Rc;

use pumicehead_lang::disk::Disk;
use pumicehead_lang::{Checked, check};
use tokio::signal::unix::{SignalKind, signal};
use tokio::task;

use crate::cli::report;
use record::Recorder;
use site::Site;

/// Serves what a file says until SIGTERM; SIGHUP reads it again. What is asked is written to `record`.
///
/// # Errors
/// What keeps it from starting.
pub async fn serve(path: PathBuf, checked: Checked, record: Option<PathBuf>) -> Result<(), Box<dyn Error>> {
    let mut term = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let Checked { config, .. } = checked;
    let config = config.ok_or("the configuration can't be used")?;
    let recorder = record
        .map(|file| Recorder::start(&file).map_err(|error| format!("record to {}: {error}", file.display())));
    let site = Site::start(config, recorder.transpose()?)?;
    let reloads = task::spawn_local(reload_on(site.clone(), path, async move || hangup.recv().await));
    term.recv().await;
    // A reload that is half done would bind listeners anew.
    reloads.abort();
    site.end().await;
    Ok(())
}

/// Reads the file again at each signal. Signals that come while it is read count as one more.
async fn reload_on(site: Rc<Site>, path: PathBuf, mut next: impl AsyncFnMut() -> Option<()>) {
    while next().await.is_some() {
        let file = path.clone();
        // Off the loop: a file with thousands of routes takes longer than a request should wait.
        let Ok(checked) = task::spawn_blocking(move || check(&Disk, &file)).await else { continue };
        report(&checked.sources, &checked.diagnostics, crate::cli::Format::Text);
        match checked.config {
            None => eprintln!("reload: the old configuration stays"),
            Some(config) => match site.reload(config) {
                Ok(changes) => {
                    for change in &changes {
                        let shown = pumicehead_lang::diff::Shown { change, sources: &checked.sources };
                        eprintln!("reload: {shown}");
                    }
                    eprintln!("reload: done, {} changes", changes.len());
                }
                Err(error) => eprintln!("reload: the old configuration stays: {error}"),
            },
        }
    }
}
