//! What a running node can be asked about itself: its recording, its figures, its log; and where recordings are put.

use std::cell::Cell;
use std::fs;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use pumicehead_admin::call::{Amount, Call, no, yes};
use pumicehead_flight_recorder::event::PoolId;
use pumicehead_flight_recorder::recorder::{ClassInfo, Level, Recorder};
use pumicehead_policy::{Settings, TenantId};
use tokio::signal::unix::{SignalKind, signal};
use tokio::task;
use tokio::time::sleep;
use tracing::{info, warn};

use crate::log::Log;
use crate::net::clock::Clock;
use crate::net::endpoint_directory::unseeded_hash;
use crate::net::recorder_sink::{RecorderSink, SharedRecorder};

/// Recordings of a node that stay in the folder; older ones make way. Where the folder counts as memory it should be few.
const KEPT: usize = 2;
/// Bytes of a recording that the event loop writes in one turn.
const SLICE: usize = 64 << 10;
/// How often what the log has held back is looked for.
const LOOK: Duration = Duration::from_secs(1);
/// Part of a node's memory that its recorder may take: 1 MiB of 32 MiB.
pub const SHARE: usize = 32;
/// Most that it takes where nobody says how much.
pub const USUAL_MOST: usize = 4 << 20;

thread_local! {
    /// For the panic hook, which is handed nothing.
    static AT_PANIC: std::cell::RefCell<Option<Rc<Eyes>>> = const { std::cell::RefCell::new(None) };
}

/// Where recordings are put on a signal or in a crash, and who writes them.
pub enum Saving {
    /// There is no folder for them.
    Nowhere,
    /// The event loop, in slices: the process has no other thread. Where the folder is in memory, as on the platform, a
    /// slice takes some microseconds.
    OnLoop(PathBuf),
    /// A thread of the runtime: a disk may take its time.
    OffLoop(PathBuf),
}

/// The eyes of a node.
pub struct Eyes {
    recorder: SharedRecorder,
    clock: Clock,
    log: Log,
    saving: Saving,
    /// Of the node's name, for the names of files.
    node: u64,
    dumps: Cell<u32>,
    dropped: Cell<usize>,
}

impl Eyes {
    /// Of a node, with so much memory for its recorder.
    pub fn new(node: &str, clock: Clock, memory: usize, seed: u64, log: Log, saving: Saving) -> Rc<Self> {
        let recorder = SharedRecorder::new(Recorder::new(node, clock.started_at(), memory, seed));
        let node = unseeded_hash(node.as_bytes());
        let eyes = Self { recorder, clock, log, saving, node, dumps: Cell::new(0), dropped: Cell::new(0) };
        Rc::new(eyes)
    }

    /// The log.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// The clock that all loops go by.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// A pool's way to the recorder, with the names of its classes in the order of its settings.
    pub fn tap(&self, pool: &str, settings: &Settings, classes: &[String]) -> RecorderSink {
        let class = |(name, class): (&String, &pumicehead_policy::Class)| ClassInfo {
            name: name.clone(),
            latency_objective: class.latency_objective,
            deadline: class.deadline,
            priority_weight: class.priority_weight,
            late_weight: class.late_weight,
        };
        let classes: Vec<_> = classes.iter().zip(&settings.classes).map(class).collect();
        let pool = self.recorder.with(|recorder| recorder.register_pool(pool, &classes));
        RecorderSink::new(&self.recorder, self.clock, pool.unwrap_or(PoolId(u16::MAX)))
    }

    /// What the tenants of all pools are called from now on.
    pub fn name_tenants(&self, names: impl Iterator<Item = (TenantId, Arc<str>)>) {
        let names = names.map(|(id, name)| (id.0, name)).collect();
        self.recorder.with(|recorder| recorder.name_tenants(names));
    }

    /// The way to the recorder for what no pool sees.
    pub fn front_tap(&self) -> RecorderSink {
        RecorderSink::new(&self.recorder, self.clock, PoolId(0))
    }

    /// How much is recorded from now on.
    pub fn set_level(&self, level: Level) {
        self.recorder.set_level(level);
    }

    /// The recording as a file.
    pub fn dump(&self, reason: &str) -> Option<Vec<u8>> {
        self.recorder.with(|recorder| recorder.recording(self.clock.now(), reason))
    }

    /// The figures, with what the node holds now.
    pub fn metrics(&self, now: &[(&'static str, f64)]) -> String {
        let text = self.recorder.with(|recorder| {
            let taken = (recorder.memory_used() as f64, recorder.memory_limit() as f64);
            let meters = recorder.metrics();
            now.iter().for_each(|(name, value)| meters.gauge(name, *value));
            meters.gauge("pumicehead_recorder_bytes", taken.0);
            meters.gauge("pumicehead_recorder_most_bytes", taken.1);
            meters.gauge("pumicehead_log_lines_dropped", self.log.dropped() as f64);
            recorder.metrics_text()
        });
        text.unwrap_or_else(|| "# EOF\n".into())
    }

    /// Looks after the log, and writes a recording on each SIGUSR1, for as long as the process lives.
    ///
    /// # Errors
    /// A signal that can't be waited for.
    pub fn open(self: &Rc<Self>) -> io::Result<()> {
        let mut usr1 = signal(SignalKind::user_defined1())?;
        let eyes = self.clone();
        task::spawn_local(async move {
            loop {
                tokio::select! {
                    came = usr1.recv() => match came {
                        Some(()) => eyes.clone().write("asked by a signal").await,
                        None => return,
                    },
                    () = sleep(LOOK) => eyes.look(),
                }
            }
        });
        AT_PANIC.with(|at_panic| *at_panic.borrow_mut() = Some(self.clone()));
        let usual = std::panic::take_hook();
        std::panic::set_hook(Box::new(move |panic| {
            usual(panic);
            let eyes = AT_PANIC.with(|at_panic| at_panic.try_borrow().ok().and_then(|eyes| eyes.clone()));
            if let Some(eyes) = eyes {
                eyes.at_panic(&panic.to_string());
            }
        }));
        Ok(())
    }

    /// The answer to a call that is about what the node sees; `None` where it is about something else.
    pub async fn answer(
        &self,
        call: &Call,
        gauges: impl AsyncFn() -> Vec<(&'static str, f64)>,
    ) -> Option<Vec<u8>> {
        Some(match call {
            Call::Trace => match self.dump("asked by a call") {
                Some(file) => [yes(&file.len().to_string()).into_bytes(), file].concat(),
                None => no("the recorder is in use").into_bytes(),
            },
            Call::Metrics => self.metrics(&gauges().await).into_bytes(),
            Call::Filter(levels) => match self.log.set_filter(levels) {
                Ok(()) => {
                    info!(target: "log", "told from now on: {levels}");
                    yes("").into_bytes()
                }
                Err(error) => no(&error.to_string()).into_bytes(),
            },
            Call::Record(amount) => {
                self.set_level(match amount {
                    Amount::Off => Level::Off,
                    Amount::On => Level::On,
                    Amount::Full => Level::Full,
                });
                yes("").into_bytes()
            }
            _ => return None,
        })
    }

    fn look(&self) {
        self.log.look();
        let dropped = self.log.dropped();
        if dropped > self.dropped.replace(dropped) {
            warn!(target: "log", dropped, "lines were dropped since nobody read them");
        }
    }

    async fn write(self: Rc<Self>, reason: &str) {
        let Some((folder, bytes)) = self.folder().zip(self.dump(reason)) else {
            warn!(target: "recording", "there is no folder for recordings");
            return;
        };
        let file = RecordingFile::new(folder, self.node, self.next());
        let written = match self.saving {
            Saving::OffLoop(_) => {
                task::spawn_blocking(move || file.write(&bytes)).await.map_err(io::Error::other).flatten()
            }
            Saving::OnLoop(_) | Saving::Nowhere => file.write_in_slices(&bytes).await,
        };
        match written {
            Ok(path) => info!(target: "recording", "written to {}", path.display()),
            Err(error) => warn!(target: "recording", "not written: {error}"),
        }
    }

    fn folder(&self) -> Option<&Path> {
        match &self.saving {
            Saving::Nowhere => None,
            Saving::OnLoop(folder) | Saving::OffLoop(folder) => Some(folder),
        }
    }

    fn next(&self) -> u32 {
        self.dumps.set(self.dumps.get() + 1);
        self.dumps.get()
    }

    fn at_panic(&self, what: &str) {
        let Some(folder) = self.folder() else { return };
        if let Some(bytes) =
            self.dump(&format!("panic: {}", pumicehead_flight_recorder::bounded_text::escape(what)))
        {
            // There is nothing left to do where this fails.
            let _ = RecordingFile::new(folder, self.node, self.next()).write(&bytes);
        }
    }
}

/// A recording's file, under a name of its own, that comes to be whole or not at all.
struct RecordingFile {
    folder: PathBuf,
    /// How the names of all recordings of the node begin.
    prefix: String,
    path: PathBuf,
    /// Its name until it is whole.
    fresh: PathBuf,
}

impl RecordingFile {
    fn new(folder: &Path, node: u64, number: u32) -> Self {
        let prefix = format!("pumicehead-{node:016x}-");
        // Two processes of a node may write into one folder: the process is part of the name.
        let path = folder.join(format!("{prefix}{}-{number}.rec", std::process::id()));
        let fresh = path.with_extension("part");
        Self { folder: folder.to_owned(), prefix, path, fresh }
    }

    /// Writes it in one go, and lets the oldest ones of the node go.
    fn write(self, bytes: &[u8]) -> io::Result<PathBuf> {
        let written = fs::write(&self.fresh, bytes);
        self.finish(written)
    }

    /// The same on the event loop, which has a turn after each slice.
    async fn write_in_slices(self, bytes: &[u8]) -> io::Result<PathBuf> {
        let written = self.write_slices(bytes).await;
        self.finish(written)
    }

    async fn write_slices(&self, bytes: &[u8]) -> io::Result<()> {
        let mut file = fs::File::create(&self.fresh)?;
        for slice in bytes.chunks(SLICE) {
            file.write_all(slice)?;
            task::yield_now().await;
        }
        Ok(())
    }

    fn finish(self, written: io::Result<()>) -> io::Result<PathBuf> {
        let finished = written.and_then(|()| fs::rename(&self.fresh, &self.path));
        if finished.is_err() {
            let _ = fs::remove_file(&self.fresh);
        }
        finished?;
        self.remove_old_ones()?;
        Ok(self.path)
    }

    fn remove_old_ones(&self) -> io::Result<()> {
        let is_own = |name: &str| {
            name.starts_with(&self.prefix) && (name.ends_with(".rec") || name.ends_with(".part"))
        };
        let mut own: Vec<_> = fs::read_dir(&self.folder)?
            .filter_map(Result::ok)
            .filter(|entry| entry.file_name().to_str().is_some_and(is_own))
            .filter_map(|entry| Some((entry.metadata().ok()?.modified().ok()?, entry.path())))
            .filter(|(_, other)| *other != self.path)
            .collect();
        own.sort();
        let spare = (own.len() + 1).saturating_sub(KEPT);
        for (_, old) in own.into_iter().take(spare) {
            let _ = fs::remove_file(old);
        }
        Ok(())
    }
}

#[cfg(test)]
#[path = "../tests/unit/eyes.rs"]
mod tests;
