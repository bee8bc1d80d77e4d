//! A standalone node: a single configuration file, any number of listeners and pools, and plain HTTP or FastCGI clients.

mod admin;
mod affected_pools;
mod config_diff;
mod config_loader;
mod config_revision;
mod configured_endpoints;
mod error;
mod listeners;
mod pool_factory;
mod pool_identity;
mod reload;
mod request_table;
mod route_admission;
mod runtime;
mod traffic_recorder;
mod transition;

use std::error::Error;
use std::hash::{BuildHasher, Hasher, RandomState};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use pumicehead_config::model::{Config, Observability};
use pumicehead_flight_recorder::recorder::Level;
use pumicehead_policy::NodeShare;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task;
use tokio::time::sleep;
use tracing::{info, warn};

use crate::admin_listener;
use crate::fleet::Fleet;
use crate::introspection::{Introspection, RecordingDestination};
use crate::log::{Log, LogFormat};
use crate::net::clock::Clock;
use crate::net::downstream;
use admin::AdminHandler;
pub use config_loader::LoadedConfig;
use reload::reload_on;
use runtime::Runtime;
use traffic_recorder::TrafficRecorder;

/// Interval at which the fleet membership gets this node's load. It announces far fewer of these values to other nodes.
const LOAD_UPDATE_INTERVAL: Duration = Duration::from_secs(1);

/// Why a configuration can't be served.
#[derive(Debug, thiserror::Error)]
enum StartError {
    /// The configuration has errors.
    #[error("the configuration has errors")]
    InvalidConfig,
    /// The traffic recording can't be started.
    #[error("can't record to {path}: {source}", path = .path.display())]
    TrafficRecorder {
        /// Path of the recording file.
        path: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
}

/// Serves a configuration until SIGTERM; SIGHUP reloads the file at `path`. `loaded` is the configuration at the start. If
/// `record_path` is given, client requests are recorded to that file.
///
/// # Errors
/// Fails if the node can't start.
pub async fn serve(
    path: PathBuf,
    loaded: LoadedConfig,
    record_path: Option<PathBuf>,
    log: Log,
) -> Result<(), Box<dyn Error>> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let config = loaded.checked().config.as_ref().ok_or(StartError::InvalidConfig)?;
    let traffic_recorder = record_path.as_deref().map(start_traffic_recorder);
    configure_log(&log, &config.observability);
    let seed = random_seed();
    let introspection = start_introspection(config, seed, log)?;
    let admin_socket = config.observability.admin_address.map(listen_for_admin).transpose()?;
    let fleet = match &config.cluster {
        Some(cluster) => Some(Fleet::start(cluster, &config.node, &introspection, seed).await?),
        None => None,
    };
    let digest = loaded.diff().ok_or(StartError::InvalidConfig)?.map_err(Clone::clone)?.digest;
    let runtime =
        Runtime::start(config, digest, random_seed(), traffic_recorder.transpose()?, introspection)?;
    // The node has copied what it needs, so the source texts and syntax trees can be freed.
    drop(loaded);
    if let Some(fleet) = &fleet {
        task::spawn_local(update_node_share(runtime.clone(), fleet.node_share()));
        task::spawn_local(update_load(runtime.clone(), fleet.clone()));
    }
    if let Some(socket) = admin_socket {
        info!(target: "node", "takes admin commands on {}", socket.local_addr()?);
        let handler = AdminHandler { runtime: runtime.clone(), fleet: fleet.clone() };
        task::spawn_local(admin_listener::serve(Rc::new(handler), socket));
    }
    let reloads = task::spawn_local(reload_on(runtime.clone(), path, async move || hangup.recv().await));
    terminate.recv().await;
    // A reload in progress would bind new listeners.
    reloads.abort();
    if let Some(fleet) = fleet {
        fleet.leave().await;
    }
    runtime.drain().await;
    Ok(())
}

fn start_traffic_recorder(path: &Path) -> Result<TrafficRecorder, StartError> {
    TrafficRecorder::start(path)
        .map_err(|source| StartError::TrafficRecorder { path: path.to_owned(), source })
}

fn start_introspection(config: &Config, seed: u64, log: Log) -> Result<Rc<Introspection>, Box<dyn Error>> {
    let observe = &config.observability;
    let destination = if observe.recording_directory.as_os_str().is_empty() {
        RecordingDestination::None
    } else {
        RecordingDestination::BlockingThread(observe.recording_directory.clone())
    };
    let memory = observe.recorder_bytes as usize;
    let introspection = Introspection::new(&config.node.name, Clock::start(), memory, seed, log, destination);
    if memory == 0 {
        introspection.set_recording_level(Level::Off);
    }
    introspection.start()?;
    Ok(introspection)
}

fn listen_for_admin(address: std::net::SocketAddr) -> Result<TcpListener, error::ApplyError> {
    downstream::listen(address).map_err(|source| error::ApplyError::Listen { address, source })
}

/// Returns a random seed from the system's randomness, which also seeds hash tables.
fn random_seed() -> u64 {
    RandomState::new().build_hasher().finish()
}

/// Sets the format and the filter of the log according to a configuration.
fn configure_log(log: &Log, observe: &Observability) {
    log.set_format(if observe.log_json { LogFormat::Json } else { LogFormat::Text });
    if let Err(error) = log.set_filter(&observe.log_filter) {
        warn!(target: "settings", %error, "log filter not changed");
    }
}

/// Forwards changes of this node's share of the endpoints to all pools.
async fn update_node_share(runtime: Rc<Runtime>, mut node_share: watch::Receiver<Option<NodeShare>>) {
    while node_share.changed().await.is_ok() {
        let current = *node_share.borrow_and_update();
        if let Some(current) = current {
            runtime.set_node_share(current);
        }
    }
}

/// Periodically passes this node's load to the fleet membership. Never returns.
async fn update_load(runtime: Rc<Runtime>, fleet: Rc<Fleet>) {
    loop {
        sleep(LOAD_UPDATE_INTERVAL).await;
        fleet.set_load(runtime.load());
    }
}
