//! The platform's node: it is configured by `EDGE_CONFIG` and the environment, has one pool whose endpoints are listed by
//! discovery, and serves clients that send the platform's headers.

mod admin;
mod admission;
mod config;
mod restored_state;
pub mod socket_activation;
mod sockets;
mod state_file;
mod warm_state_handover;

use std::error::Error;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use pumicehead_admin::stats::{Stats, increment};
use pumicehead_policy::TenantId;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task;
use tracing::{info, warn};

use crate::admin_listener;
use crate::descriptor_budget::DescriptorBudget;
use crate::introspection::{self, Introspection, RecordingDestination};
use crate::log::{Log, LoopWriter};
use crate::net::active_requests::ActiveRequestIds;
use crate::net::clock::Clock;
use crate::net::downstream::connection_budget::{ConnectionBudget, MEMORY_LIMIT_PER_CONNECTION};
use crate::net::downstream::{DownstreamListener, DrainReason, ListenerOptions};
use crate::net::memory_budget::MemoryBudget;
use crate::net::pool_handle::PoolHandle;
use crate::net::pool_loop::{EndpointSource, PoolConfig, PoolLoop};
use crate::net::recorder_sink::RecorderSink;
use crate::net::upstream::connection_registry::ConnectionRegistry;
use crate::net::upstream::http::response_reader::ResponseReader;
use crate::net::upstream::http::transport::HttpTransport;
use crate::net::upstream::response_classification::StatusPolicy;
use admin::AdminHandler;
use admission::PlatformAdmission;
use config::Config;
use restored_state::{RestoredState, state_directory};
use sockets::Sockets;

/// Maximum length in bytes of a request body that is buffered completely; longer ones are streamed.
const MAX_BUFFERED_BODY_BYTES: usize = 64 << 10;
/// Maximum length of a request or response body in bytes; clients send up to 32 MB.
const MAX_BODY_BYTES: u64 = 40 << 20;
/// Streamed bodies may use the memory limit divided by this; the rest is for connections and requests.
const STREAMED_BODY_MEMORY_DIVISOR: usize = 8;
/// Responses that are read completely may use the memory limit divided by this.
const RESPONSE_MEMORY_DIVISOR: usize = 8;
/// Timeout for receiving the head of a request, and the body of one that admission rejects. The platform expects an error or
/// a close within 3 s of connecting.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2_600);
/// Idle time after which a client connection is closed; the platform expects at least 2 s.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Maximum deadline that a drain waits for: SIGKILL follows at the earliest 0.7 s after it.
const MAX_DRAIN_DEADLINE: Duration = Duration::from_secs(3);

/// Serves until SIGTERM, with everything on the calling thread.
///
/// # Errors
/// Fails if the node can't start, or if the pool's event loop ends.
pub async fn serve(log: Log, writer: LoopWriter) -> Result<(), Box<dyn Error>> {
    task::spawn_local(writer.run());
    let config = Config::load()?;
    let mut terminate = signal(SignalKind::terminate())?;
    let hangup = signal(SignalKind::hangup())?;
    let sockets = Sockets::open(&config)?;
    let mut restored = RestoredState::read(&config.name, sockets.is_inherited, sockets.admin.is_some());
    let introspection = start_introspection(&config, log)?;
    let recorder = pool_recorder(&config, &introspection);
    let descriptors = descriptor_budget(&config, sockets.admin.is_some());
    let stats = Rc::new(Stats::new(config.deployment.classes.iter().map(|class| class.name.clone())));
    let memory = MemoryBudget::new(config.max_memory / STREAMED_BODY_MEMORY_DIVISOR);
    let pool_config = PoolConfig {
        settings: config.settings.clone(),
        seed: config.seed,
        zones: config.deployment.zones.clone(),
        endpoints: endpoint_source(&config, sockets.is_inherited),
        transport: upstream_transport(&config, &descriptors, &memory, &stats),
        overrides: restored.overrides.clone(),
        warm_state: restored.warm_state.take(),
        clock: introspection.clock(),
        recorder: Some(recorder.clone()),
    };
    let active_requests = ActiveRequestIds::default();
    let (pool_loop, pool) = PoolLoop::new(pool_config, active_requests.clone());
    let listener = downstream_listener(&config, &descriptors, memory, &pool, &active_requests, &stats);
    listener.set_recorder(recorder);
    if sockets.is_inherited {
        listener.set_socket_shared();
        listener.set_lame_duck(restored.lame_duck);
    }
    let pool_loop = task::spawn_local(pool_loop.run());
    if let Some(socket) = sockets.admin {
        let (pool, listener, stats) = (pool.clone(), listener.clone(), stats.clone());
        let handler = AdminHandler::new(pool, listener, active_requests, stats, restored, introspection);
        start_admin(handler, socket);
    }
    task::spawn_local(reload_on(hangup, pool, stats));
    let stop = async move {
        terminate.recv().await;
        DrainReason::Process
    };
    tokio::select! {
        () = listener.run(sockets.clients, stop) => Ok(()),
        ended = pool_loop => Err(format!("the event loop of the pool ended: {ended:?}").into()),
    }
}

/// Discovery as the source of endpoints. If another process of this node may be running, discovery is polled at the start,
/// as that process may already have a newer list.
fn endpoint_source(config: &Config, poll_at_start: bool) -> EndpointSource {
    EndpointSource::Watch {
        address: config.discovery,
        last_list: Some(config.last_list.clone()),
        poll_at_start,
    }
}

fn start_introspection(config: &Config, log: Log) -> Result<Rc<Introspection>, Box<dyn Error>> {
    let memory = (config.max_memory / introspection::RECORDER_MEMORY_DIVISOR)
        .min(introspection::MAX_DEFAULT_RECORDER_BYTES);
    let destination = state_directory().map_or(RecordingDestination::None, RecordingDestination::EventLoop);
    let introspection =
        Introspection::new(&config.name, Clock::start(), memory, config.seed, log, destination);
    introspection.start()?;
    Ok(introspection)
}

/// Registers the pool with the recorder, along with the names of classes and tenants.
fn pool_recorder(config: &Config, introspection: &Introspection) -> RecorderSink {
    let classes: Vec<_> = config.deployment.classes.iter().map(|class| class.name.clone()).collect();
    let tenants = (0..).map(TenantId).zip(&config.deployment.tenants);
    introspection.set_tenant_names(tenants.map(|(id, tenant)| (id, tenant.name.as_str().into())));
    introspection.pool_recorder("platform", &config.settings, &classes)
}

fn descriptor_budget(config: &Config, has_admin: bool) -> DescriptorBudget {
    let admin = if has_admin { admin_listener::MAX_DESCRIPTORS } else { 0 };
    DescriptorBudget::new(config.max_descriptors, 1 + admin)
}

fn upstream_transport(
    config: &Config,
    descriptors: &DescriptorBudget,
    memory: &Arc<MemoryBudget>,
    stats: &Stats,
) -> Rc<HttpTransport> {
    let response_reader = ResponseReader {
        status_policy: StatusPolicy::Platform,
        max_body: MAX_BODY_BYTES,
        max_unsized_body: MAX_BODY_BYTES,
        memory: memory.clone(),
        response_memory: MemoryBudget::new(config.max_memory / RESPONSE_MEMORY_DIVISOR),
        streaming: true,
        counters: stats.responses.clone(),
    };
    let limits = &config.deployment.limits;
    HttpTransport::new(
        ConnectionRegistry::new(descriptors.upstream.min(config.max_memory / MEMORY_LIMIT_PER_CONNECTION)),
        Duration::from_nanos(limits.connect_timeout_ns),
        Duration::from_nanos(limits.connection_idle_timeout_ns),
        response_reader,
        stats.upstream_requests.clone(),
    )
}

fn downstream_listener(
    config: &Config,
    descriptors: &DescriptorBudget,
    memory: Arc<MemoryBudget>,
    pool: &PoolHandle,
    active_requests: &ActiveRequestIds,
    stats: &Rc<Stats>,
) -> Rc<DownstreamListener> {
    let longest_deadline =
        config.settings.classes.iter().map(|class| class.deadline).max().unwrap_or_default();
    let options = ListenerOptions {
        request_timeout: REQUEST_TIMEOUT,
        idle_timeout: IDLE_TIMEOUT,
        max_buffered_body: MAX_BUFFERED_BODY_BYTES,
        max_streamed_body: Some(MAX_BODY_BYTES),
        max_active_requests: config.deployment.limits.max_open_requests,
        max_request_deadline: Duration::from_nanos(longest_deadline).min(MAX_DRAIN_DEADLINE),
        serves_health_check: true,
        retry_after: config.settings.retry_after_hint(),
    };
    let failing_pool = pool.clone();
    DownstreamListener::new(
        Rc::new(PlatformAdmission::new(config, pool.clone())),
        active_requests.clone(),
        options,
        ConnectionBudget::new(descriptors.downstream, config.max_descriptors, config.max_memory),
        move || failing_pool.fail_all(),
        stats.clone(),
        memory,
    )
}

fn start_admin(handler: AdminHandler, socket: TcpListener) {
    let handler = Rc::new(handler);
    task::spawn_local(handler.clone().follow_state_file());
    task::spawn_local(handler.clone().write_warm_state());
    task::spawn_local(admin_listener::serve(handler, socket));
}

/// Reloads the address of discovery from the configuration file on each SIGHUP.
async fn reload_on(mut hangup: Signal, pool: PoolHandle, stats: Rc<Stats>) {
    while hangup.recv().await.is_some() {
        match config::reload_discovery_address() {
            Ok(address) => {
                increment(&stats.config_reloads);
                info!(target: "settings", discovery = %address, "reload: done");
                pool.move_discovery(address);
            }
            Err(error) => {
                increment(&stats.config_reload_errors);
                warn!(target: "settings", %error, "reload: the old configuration stays");
            }
        }
    }
}
