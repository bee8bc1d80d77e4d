//! Runs a scenario: starts the fleet, sends its load, injects its faults and collects the history.

mod clients;
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
/// Interval at which the run checks that its event loop is in time.
const LAG_PROBE_INTERVAL: Duration = Duration::from_millis(20);
/// Limit for a process to start or to exit in order.
const PROCESS_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for the last events to arrive from other processes.
const EVENT_DRAIN_TIME: Duration = Duration::from_millis(500);
/// Time from the start of the fleet to the start of the load.
const LOAD_START_DELAY: Duration = Duration::from_millis(50);

/// What a scenario is run with.
#[derive(Clone, Debug)]
pub struct RunOptions {
    /// The proxy program.
    pub node_program: PathBuf,
    /// This program, whose other commands are the stand-ins and the supervisor.
    pub chaos_program: PathBuf,
    /// Directory for configurations, logs, files and recordings of nodes.
    pub work_dir: PathBuf,
    /// Whether all running nodes write recordings at the end.
    pub record_at_end: bool,
}

/// Runs a scenario to its end.
///
/// # Errors
/// A fleet that does not start, a process that can't be started, or an interrupt from the terminal. Everything that was started
/// is ended in any case.
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
    // Lateness during the start of the fleet does not count.
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

/// Records how late the event loop is: links and clients, which share it, are as late.
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

/// Returns the path of a built program: beside this one, or above its tests.
///
/// # Errors
/// The program is not there.
pub fn built_program(name: &str) -> io::Result<PathBuf> {
    pumicehead_testbed::program::built(name)
}

/// Creates an empty directory among the system's temporary ones.
///
/// # Errors
/// A directory that can't be created.
pub fn temporary_dir(name: &str) -> io::Result<PathBuf> {
    let path = std::env::temp_dir().join(format!("pumicehead-chaos-{}-{name}", std::process::id()));
    if path.exists() {
        std::fs::remove_dir_all(&path)?;
    }
    std::fs::create_dir_all(&path)?;
    Ok(path)
}
