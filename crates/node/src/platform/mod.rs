//! The platform's node: told by `EDGE_CONFIG` and the environment, one pool that discovery lists, clients that send
//! the platform's headers.

mod admin;
pub mod admission;
pub mod config;
mod handover;
pub mod inherited;
mod keep;

use std::env;
use std::error::Error;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use pumicehead_admin::figures::{Figures, count};
use pumicehead_policy::TenantId;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::Mutex;
use tokio::task;
use tracing::{info, warn};

use crate::calls::{self, MOST_CALLERS};
use crate::eyes::{self, Eyes, Saving};
use crate::log::{Log, LoopWriter};
use crate::net::admin_overrides::AdminOverrides;
use crate::net::clock::{Clock, unix_ns};
use crate::net::downstream::connection_budget::ConnectionBudget;
use crate::net::downstream::{self, DownstreamListener, DrainReason, ListenerOptions};
use crate::net::memory_budget::MemoryBudget;
use crate::net::pool_handle::ActiveRequestIds;
use crate::net::pool_loop::{EndpointSource, PoolConfig, PoolLoop, WARM_STATE_MAX_AGE};
use crate::net::upstream::connection_registry::ConnectionRegistry;
use crate::net::upstream::http::response_reader::ResponseReader;
use crate::net::upstream::http::transport::HttpTransport;
use crate::net::upstream::response_classification::StatusPolicy;
use crate::places::Places;
use admin::Admin;
use admission::Platform;
use config::Config;
use handover::Handover;
use keep::Keep;

/// Bodies of requests up to this are always read whole.
const LONGEST_BODY: usize = 64 << 10;
/// Longest body. On some days there are bodies of 32 MB; what is said to be longer is no good.
const LONGEST: u64 = 40 << 20;
/// Long answers may take this part of the memory: the rest of it is for connections and requests.
const LONG_SHARE: usize = 4;
/// Within 3 s of connecting a client is owed an error or a close; some take 2 s over a head.
const PATIENCE: Duration = Duration::from_millis(2_600);
/// 2 s is the least, and a new connection costs little.
const KEEP: Duration = Duration::from_secs(15);
/// SIGKILL comes no sooner than the longest deadline, this at most, and 0.7 s more.
const LAST_DEADLINE: Duration = Duration::from_secs(3);

/// Serves until SIGTERM, all on the thread that calls it.
///
/// # Errors
/// What keeps it from starting, or an event loop that ended.
pub async fn serve(log: Log, writer: LoopWriter) -> Result<(), Box<dyn Error>> {
    task::spawn_local(writer.run());
    let config = Config::load()?;
    let mut term = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let inherited = inherited::listener()?;
    let shared = inherited.is_some();
    let on = |address, error| format!("listen on {address}: {error}");
    let listener = match inherited {
        Some(listener) => listener,
        None => downstream::listen(config.listen).map_err(|error| on(config.listen, error))?,
    };
    let staff = config.admin.map(|address| downstream::listen(address).map_err(|error| on(address, error)));
    let staff = staff.transpose()?;
    info!(target: "node", "{} listens on {}", config.name, listener.local_addr()?);
    if let Some(staff) = &staff {
        info!(target: "node", "{} takes calls on {}", config.name, staff.local_addr()?);
    }
    let others = if staff.is_some() { 1 + MOST_CALLERS } else { 0 };
    let places = Places::of(config.sockets, 1 + others);
    let figures = Rc::new(Figures::new(config.boot.classes.iter().map(|class| class.name.clone())));
    let hands = Rc::new(AdminOverrides::default());
    let folder = env::var_os("TMPDIR").map(PathBuf::from);
    // Only where a next process may start beside this one.
    let handover = folder.as_ref().filter(|_| shared).map(|folder| Handover::new(folder, &config.name));
    let left = handover.as_ref().and_then(Handover::read);
    // A word that has long been left is nobody's: whoever left it has ended, and staff have gone on.
    let lame =
        left.as_ref().is_some_and(|left| left.lame && left.knowledge.age(unix_ns()) <= WARM_STATE_MAX_AGE);
    for name in left.iter().flat_map(|left| &left.listed) {
        hands.listed.borrow_mut().add(name);
    }
    let folder_of_recordings = folder.clone();
    let mut keep = folder.map(|folder| Keep::new(folder, &config.name));
    if let Some(keep) = keep.as_mut().filter(|_| staff.is_some()) {
        match keep.changed() {
            Ok(book) => *hands.book.borrow_mut() = book.unwrap_or_default(),
            Err(error) => warn!(target: "calls", "servers taken out: {error}"),
        }
    }
    let memory = (config.memory / eyes::SHARE).min(eyes::USUAL_MOST);
    let saving = folder_of_recordings.map_or(Saving::Nowhere, Saving::OnLoop);
    let eyes = Eyes::new(&config.name, Clock::start(), memory, config.seed, log, saving);
    eyes.open()?;
    let names: Vec<_> = config.boot.classes.iter().map(|class| class.name.clone()).collect();
    let tenants = (0..).map(TenantId).zip(&config.boot.tenants);
    eyes.name_tenants(tenants.map(|(id, tenant)| (id, tenant.name.as_str().into())));
    let tap = eyes.tap("platform", &config.settings, &names);
    let ceilings = &config.boot.ceilings;
    let span = Duration::from_nanos;
    let room = MemoryBudget::new(config.memory / LONG_SHARE);
    let reader = ResponseReader {
        status_policy: StatusPolicy::Platform,
        max_body: LONGEST,
        max_unsized_body: LONGEST,
        memory: room.clone(),
        streaming: true,
    };
    let connections = ConnectionRegistry::new(places.servers);
    let (dial, idle) = (span(ceilings.dial_timeout_ns), span(ceilings.conn_idle_ns));
    let setup = PoolConfig {
        settings: config.settings.clone(),
        seed: config.seed,
        zones: config.boot.zones.clone(),
        endpoints: EndpointSource::Watch {
            address: config.discovery,
            last_list: Some(config.known.clone()),
            poll_at_start: shared,
        },
        transport: HttpTransport::new(connections, dial, idle, reader, figures.upstream_requests.clone()),
        overrides: hands.clone(),
        warm_state: left.map(|left| left.knowledge),
        clock: eyes.clock(),
        recorder: Some(tap.clone()),
    };
    let held = ActiveRequestIds::default();
    let (core, handle) = PoolLoop::new(setup, held.clone());
    let longest = config.settings.classes.iter().map(|class| class.deadline).max().unwrap_or_default();
    let options = ListenerOptions {
        request_timeout: PATIENCE,
        idle_timeout: KEEP,
        max_buffered_body: LONGEST_BODY,
        max_streamed_body: Some(LONGEST),
        max_active_requests: ceilings.most_held,
        max_request_deadline: span(longest).min(LAST_DEADLINE),
        serves_health_check: true,
        retry_after: config.settings.retry_after_hint(),
    };
    let admission = Rc::new(Platform::new(&config, handle.clone()));
    let budget = ConnectionBudget::new(places.clients, config.sockets);
    let to_core = handle.clone();
    let front = DownstreamListener::new(
        admission,
        held.clone(),
        options,
        budget,
        move || to_core.fail_all(),
        figures.clone(),
        room,
    );
    front.set_recorder(tap);
    if shared {
        front.set_socket_shared();
        front.set_lame_duck(lame);
    }
    let core = task::spawn_local(core.run());
    if let Some(staff) = staff {
        let admin = Admin {
            core: handle.clone(),
            front: front.clone(),
            held,
            figures: figures.clone(),
            hands,
            keep: Mutex::new(keep),
            handover,
            eyes,
        };
        let admin = Rc::new(admin);
        task::spawn_local(admin.clone().follow());
        task::spawn_local(admin.clone().hand_over());
        task::spawn_local(calls::serve(admin, staff));
    }
    task::spawn_local(async move {
        while hangup.recv().await.is_some() {
            match config::moved() {
                Ok(address) => {
                    count(&figures.config_reloads);
                    info!(target: "settings", "configuration read again: discovery at {address}");
                    handle.move_discovery(address);
                }
                Err(error) => {
                    count(&figures.config_reload_errors);
                    warn!(target: "settings", "the old configuration stays: {error}");
                }
            }
        }
    });
    let stop = async move {
        term.recv().await;
        DrainReason::Process
    };
    tokio::select! {
        () = front.run(listener, stop) => Ok(()),
        ended = core => Err(format!("the event loop ended: {ended:?}").into()),
    }
}
