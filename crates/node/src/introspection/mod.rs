//! Introspection of a running node: flight recording, metrics and log, as admin commands expose them. Recordings are also
//! written to a directory on SIGUSR1 and on a panic.

mod recording_file;

use std::cell::{Cell, RefCell};
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use pumicehead_admin::command::{Command, RecordingLevel, error_reply, ok_reply};
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
use recording_file::RecordingFile;

/// Interval at which suppressed and dropped log lines are reported.
const LOG_REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// By default, the recorder may use the node's memory limit divided by this: 1 MiB of 32 MiB.
pub const RECORDER_MEMORY_DIVISOR: usize = 32;
/// Maximum default size of the recorder's memory, in bytes.
pub const MAX_DEFAULT_RECORDER_BYTES: usize = 4 << 20;

/// Reason for writing a recording, as stored in its header.
const REASON_SIGNAL: &str = "asked by a signal";
const REASON_COMMAND: &str = "asked by a call";
/// Prefix of the reason after a panic, followed by the panic message.
const REASON_PANIC: &str = "panic";

thread_local! {
    /// Read by the panic hook, which is called with no arguments other than the panic information.
    static PANIC_HOOK_INTROSPECTION: RefCell<Option<Rc<Introspection>>> = const { RefCell::new(None) };
}

/// Directory for recordings that are written on a signal or a panic, and how they are written on a signal.
pub enum RecordingDestination {
    /// There is no directory, and no recordings are written.
    None,
    /// The event loop writes them in slices: for a single-threaded process and a directory in memory.
    EventLoop(PathBuf),
    /// A blocking thread of the runtime writes them, as a disk may be slow.
    BlockingThread(PathBuf),
}

/// Flight recorder, metrics and log of a node.
pub struct Introspection {
    recorder: SharedRecorder,
    clock: Clock,
    log: Log,
    destination: RecordingDestination,
    /// Hash of the node's name, used in file names.
    node_hash: u64,
    files_written: Cell<u32>,
    reported_dropped_lines: Cell<usize>,
}

impl Introspection {
    /// Creates the introspection of the node with this name. The recorder gets `memory` bytes.
    pub fn new(
        node: &str,
        clock: Clock,
        memory: usize,
        seed: u64,
        log: Log,
        destination: RecordingDestination,
    ) -> Rc<Self> {
        Rc::new(Self {
            recorder: SharedRecorder::new(Recorder::new(node, clock.started_at(), memory, seed)),
            clock,
            log,
            destination,
            node_hash: unseeded_hash(node.as_bytes()),
            files_written: Cell::new(0),
            reported_dropped_lines: Cell::new(0),
        })
    }

    pub fn log(&self) -> &Log {
        &self.log
    }

    /// The clock that all event loops of the node share.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Registers a pool with the recorder and returns the sink for its events. `classes` are the names of the pool's
    /// classes, in the order of its settings.
    pub fn pool_recorder(&self, pool: &str, settings: &Settings, classes: &[String]) -> RecorderSink {
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

    /// Sets the tenant names, which apply to all pools.
    pub fn set_tenant_names(&self, names: impl Iterator<Item = (TenantId, Arc<str>)>) {
        let names = names.map(|(id, name)| (id.0, name)).collect();
        self.recorder.with(|recorder| recorder.set_tenant_names(names));
    }

    /// Returns a sink for events that belong to no pool.
    pub fn node_recorder(&self) -> RecorderSink {
        RecorderSink::new(&self.recorder, self.clock, PoolId(0))
    }

    /// Sets how much is recorded.
    pub fn set_recording_level(&self, level: Level) {
        self.recorder.set_level(level);
    }

    /// Returns the recording as the bytes of a file, or `None` while the recorder is in use, which can happen in a panic.
    fn recording(&self, reason: &str) -> Option<Vec<u8>> {
        self.recorder.with(|recorder| recorder.recording(self.clock.now(), reason))
    }

    /// Returns the metrics with the given gauges as OpenMetrics text.
    fn metrics(&self, gauges: &[(&'static str, f64)]) -> String {
        let text = self.recorder.with(|recorder| {
            let (memory, max_memory) = (recorder.memory_used() as f64, recorder.memory_limit() as f64);
            let meters = recorder.metrics();
            gauges.iter().for_each(|(name, value)| meters.gauge(name, *value));
            meters.gauge("pumicehead_recorder_bytes", memory);
            meters.gauge("pumicehead_recorder_most_bytes", max_memory);
            meters.gauge("pumicehead_log_lines_dropped", self.log.dropped() as f64);
            recorder.metrics_text()
        });
        text.unwrap_or_else(|| "# EOF\n".into())
    }

    /// Starts the periodic report of suppressed and dropped log lines, and the writing of a recording on each SIGUSR1 and on
    /// a panic.
    ///
    /// # Errors
    /// Fails if the signal handler can't be installed.
    pub fn start(self: &Rc<Self>) -> io::Result<()> {
        let mut usr1 = signal(SignalKind::user_defined1())?;
        let introspection = self.clone();
        task::spawn_local(async move {
            loop {
                tokio::select! {
                    received = usr1.recv() => match received {
                        Some(()) => introspection.write_recording(REASON_SIGNAL).await,
                        None => return,
                    },
                    () = sleep(LOG_REPORT_INTERVAL) => introspection.report_on_log(),
                }
            }
        });
        self.install_panic_hook();
        Ok(())
    }

    fn install_panic_hook(self: &Rc<Self>) {
        PANIC_HOOK_INTROSPECTION.with(|slot| *slot.borrow_mut() = Some(self.clone()));
        let previous = std::panic::take_hook();
        std::panic::set_hook(Box::new(move |panic| {
            previous(panic);
            let introspection = PANIC_HOOK_INTROSPECTION
                .with(|slot| slot.try_borrow().ok().and_then(|introspection| introspection.clone()));
            if let Some(introspection) = introspection {
                introspection.write_recording_at_panic(&panic.to_string());
            }
        }));
    }

    /// Returns the reply to a command about the recorder, the metrics or the log, or `None` for any other command.
    pub async fn reply(
        &self,
        command: &Command,
        gauges: impl AsyncFn() -> Vec<(&'static str, f64)>,
    ) -> Option<Vec<u8>> {
        Some(match command {
            Command::Recording => match self.recording(REASON_COMMAND) {
                Some(recording) => [ok_reply(&recording.len().to_string()).into_bytes(), recording].concat(),
                None => error_reply("the recorder is in use").into_bytes(),
            },
            Command::Metrics => self.metrics(&gauges().await).into_bytes(),
            Command::LogFilter(filter) => self.set_log_filter(filter).into_bytes(),
            Command::RecordingLevel(level) => {
                self.set_recording_level(match level {
                    RecordingLevel::Off => Level::Off,
                    RecordingLevel::On => Level::On,
                    RecordingLevel::Full => Level::Full,
                });
                ok_reply("").into_bytes()
            }
            _ => return None,
        })
    }

    fn set_log_filter(&self, filter: &str) -> String {
        match self.log.set_filter(filter) {
            Ok(()) => {
                info!(target: "log", "log filter changed: {filter}");
                ok_reply("")
            }
            Err(error) => error_reply(&error.to_string()),
        }
    }

    fn report_on_log(&self) {
        self.log.report_suppressed();
        let dropped = self.log.dropped();
        if dropped > self.reported_dropped_lines.replace(dropped) {
            warn!(target: "log", dropped, "log lines dropped: standard error is blocked, slow or failing");
        }
    }

    async fn write_recording(&self, reason: &str) {
        let Some((directory, bytes)) = self.directory().zip(self.recording(reason)) else {
            warn!(target: "recording", "recording not written: no directory is configured, or the recorder is in use");
            return;
        };
        let file = RecordingFile::new(directory, self.node_hash, self.next_file_number());
        let written = match self.destination {
            RecordingDestination::BlockingThread(_) => {
                task::spawn_blocking(move || file.write(&bytes)).await.map_err(io::Error::other).flatten()
            }
            RecordingDestination::EventLoop(_) | RecordingDestination::None => {
                file.write_in_slices(&bytes).await
            }
        };
        match written {
            Ok(path) => info!(target: "recording", path = %path.display(), "recording written"),
            Err(error) => warn!(target: "recording", %error, "recording not written"),
        }
    }

    fn directory(&self) -> Option<&Path> {
        match &self.destination {
            RecordingDestination::None => None,
            RecordingDestination::EventLoop(directory) | RecordingDestination::BlockingThread(directory) => {
                Some(directory)
            }
        }
    }

    fn next_file_number(&self) -> u32 {
        self.files_written.set(self.files_written.get() + 1);
        self.files_written.get()
    }

    fn write_recording_at_panic(&self, message: &str) {
        let Some(directory) = self.directory() else { return };
        let reason = format!("{REASON_PANIC}: {}", pumicehead_flight_recorder::bounded_text::escape(message));
        if let Some(bytes) = self.recording(&reason) {
            // The thread is panicking already, so an error can't be reported.
            let _ = RecordingFile::new(directory, self.node_hash, self.next_file_number()).write(&bytes);
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/introspection.rs"]
mod tests;
