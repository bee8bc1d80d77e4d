//! Runs a scenario: starts the fleet, generates the load, injects the faults and collects the history.

mod clients;
mod connection_flood;
mod error;
mod event_log;
mod fleet;
mod fleet_actions;
mod fleet_links;
mod membership_poll;
mod node_config;
mod node_files;
mod node_process;
mod process;
mod stand_in_process;

use std::io;
use std::path::PathBuf;
use std::time::Duration;

use tokio::runtime::Builder;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until};

pub use error::RunError;

use crate::fault_schedule::schedule;
use crate::history::History;
use crate::link::LatenessGauge;
use crate::scenario::Scenario;
use crate::task::AbortOnDrop;
use crate::{Nanos, clock};
use event_log::EventLog;
use fleet::Fleet;

/// Interval at which resources, exits, views and the run's own lateness are sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which the run measures the lateness of its event loop.
const LAG_PROBE_INTERVAL: Duration = Duration::from_millis(20);
/// Time limit for a process to start, or to exit after SIGTERM.
const PROCESS_TIMEOUT: Duration = Duration::from_secs(30);
/// Time given to the last events of other processes to arrive.
const EVENT_DRAIN_TIME: Duration = Duration::from_millis(500);
/// Delay between the start of the fleet and the start of the load.
const LOAD_START_DELAY: Duration = Duration::from_millis(50);

/// Options of a run.
#[derive(Clone, Debug)]
pub struct RunOptions {
    /// The proxy program.
    pub node_program: PathBuf,
    /// This program, which has hidden commands for the stand-ins and the supervisor.
    pub chaos_program: PathBuf,
    /// Directory for configurations, logs, files and recordings of nodes.
    pub work_dir: PathBuf,
    /// Whether all running nodes write recordings at the end.
    pub record_at_end: bool,
}

/// Runs a scenario to its end.
///
/// # Errors
/// A fleet that does not start, a file, socket or process that fails, or an interrupt from the terminal. All processes are
/// ended in any case.
pub fn run_scenario(scenario: &Scenario, options: &RunOptions) -> Result<History, RunError> {
    std::fs::create_dir_all(&options.work_dir)?;
    let runtime = Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        tokio::select! {
            history = run(scenario, options) => history,
            interrupt = tokio::signal::ctrl_c() => {
                interrupt?;
                Err(RunError::Interrupted)
            }
        }
    })
}

async fn run(scenario: &Scenario, options: &RunOptions) -> Result<History, RunError> {
    let log = EventLog::starting_now();
    let lateness = LatenessGauge::default();
    let mut fleet = Fleet::start(scenario, options, log.clone(), lateness.clone()).await?;
    let start = Instant::now() + LOAD_START_DELAY;
    let mut clients = clients::start(scenario, &fleet.client_addresses(), start, &log);
    // Lateness during the start of the fleet is discarded.
    let _ = lateness.take();
    let lag_probe = AbortOnDrop::new(spawn_local(probe_lag(lateness)));
    inject_faults(&mut fleet, scenario, start).await?;
    while clients.join_next().await.is_some() {}
    sleep(EVENT_DRAIN_TIME).await;
    fleet.sample();
    if options.record_at_end {
        fleet.write_recordings().await?;
    }
    fleet.stop_nodes().await;
    fleet.read_recordings()?;
    sleep(EVENT_DRAIN_TIME).await;
    drop(lag_probe);
    drop(fleet);
    Ok(History::from_events(log.take_events()))
}

/// Records the lateness of the event loop, which delays links and clients as well, as they share it.
async fn probe_lag(lateness: LatenessGauge) {
    loop {
        let due = clock::now() + LAG_PROBE_INTERVAL.as_nanos() as Nanos;
        sleep(LAG_PROBE_INTERVAL).await;
        lateness.record(due);
    }
}

/// Performs all actions of a scenario at their times, and samples the fleet, until the end of the load.
async fn inject_faults(fleet: &mut Fleet<'_>, scenario: &Scenario, start: Instant) -> Result<(), RunError> {
    let mut actions = schedule(scenario).into_iter().peekable();
    let end = start + Duration::from_secs_f64(scenario.duration_s());
    let mut next_sample = start;
    loop {
        let next_action = actions.peek().map_or(end, |next| start + Duration::from_nanos(next.at));
        sleep_until(next_action.min(next_sample).min(end)).await;
        if Instant::now() >= next_sample {
            next_sample += SAMPLE_INTERVAL;
            fleet.sample();
        }
        while let Some(due) = actions.next_if(|next| start + Duration::from_nanos(next.at) <= Instant::now())
        {
            fleet.perform(due.action).await?;
        }
        if Instant::now() >= end && actions.peek().is_none() {
            return Ok(());
        }
    }
}

/// Returns the path of a built program: in the directory of this program, or in its parent, as tests are
/// built into a subdirectory.
///
/// # Errors
/// The program does not exist.
pub fn built_program(name: &str) -> io::Result<PathBuf> {
    pumicehead_testbed::program::built(name)
}

/// Creates an empty directory in the system's temporary directory, in place of an earlier one of the same name.
///
/// # Errors
/// A directory that can't be created, or an earlier one that can't be removed.
pub fn temporary_dir(name: &str) -> io::Result<PathBuf> {
    let path = std::env::temp_dir().join(format!("pumicehead-chaos-{}-{name}", std::process::id()));
    if path.exists() {
        std::fs::remove_dir_all(&path)?;
    }
    std::fs::create_dir_all(&path)?;
    Ok(path)
}
