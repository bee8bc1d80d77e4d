//! Admin commands of the platform's node, and the tasks that keep its state files up to date.

use std::error::Error;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use pumicehead_admin::command::{Command, error_reply, ok_reply};
use pumicehead_admin::disabled_backends::{DisabledBackends, UnixMs};
use pumicehead_admin::stats::{Gauges, Stats};
use tokio::sync::Mutex;
use tokio::time::{sleep, timeout};
use tracing::warn;

use super::restored_state::RestoredState;
use super::state_file::StateFile;
use super::warm_state_handover::{HandoverError, HandoverFile, HandoverRecord};
use crate::admin_listener::CommandHandler;
use crate::introspection::Introspection;
use crate::net::active_requests::ActiveRequestIds;
use crate::net::admin_overrides::AdminOverrides;
use crate::net::downstream::DownstreamListener;
use crate::net::pool_handle::PoolHandle;

/// How long a command waits for another command that is changing the state file.
const UPDATE_LOCK_TIMEOUT: Duration = Duration::from_millis(800);
/// Interval at which the state file is checked for changes by other processes of this node.
const STATE_FILE_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which the warm state is written. The next process may start at any time, and trusts older warm state less.
const HANDOVER_INTERVAL: Duration = Duration::from_secs(1);

/// Executes admin commands on the platform's node.
pub struct AdminHandler {
    pool: PoolHandle,
    listener: Rc<DownstreamListener>,
    active_requests: ActiveRequestIds,
    stats: Rc<Stats>,
    /// Disabled backends, shared with the pool.
    overrides: Rc<AdminOverrides>,
    /// State file of the disabled backends; without one they are kept in memory only. The mutex lets one command change it
    /// at a time.
    state_file: Mutex<Option<StateFile>>,
    /// File in which the warm state is handed over to the next process, if processes may overlap.
    handover_file: Option<HandoverFile>,
    introspection: Rc<Introspection>,
}

impl AdminHandler {
    /// Creates the handler of a node with one pool and one client listener.
    pub fn new(
        pool: PoolHandle,
        listener: Rc<DownstreamListener>,
        active_requests: ActiveRequestIds,
        stats: Rc<Stats>,
        restored: RestoredState,
        introspection: Rc<Introspection>,
    ) -> Self {
        Self {
            pool,
            listener,
            active_requests,
            stats,
            overrides: restored.overrides,
            state_file: Mutex::new(restored.state_file),
            handover_file: restored.handover_file,
            introspection,
        }
    }

    /// Applies changes of the state file by other processes. Never returns.
    pub async fn follow_state_file(self: Rc<Self>) {
        loop {
            sleep(STATE_FILE_POLL_INTERVAL).await;
            if let Some(state_file) = &mut *self.state_file.lock().await {
                match state_file.read_if_changed() {
                    Ok(Some(disabled)) => self.set_disabled(disabled),
                    Ok(None) => {}
                    Err(error) => warn!(target: "admin", %error, "state file of disabled backends not read"),
                }
            }
        }
    }

    /// Writes the warm state every [`HANDOVER_INTERVAL`] until this process drains or a write fails.
    pub async fn write_warm_state(self: Rc<Self>) {
        let Some(file) = &self.handover_file else { return };
        while !self.listener.is_draining() {
            sleep(HANDOVER_INTERVAL).await;
            if let Err(error) = self.write_handover(file).await {
                warn!(target: "upgrade", %error, "warm state not written; the next process starts cold");
                return;
            }
        }
    }

    async fn write_handover(&self, file: &HandoverFile) -> Result<(), HandoverError> {
        let Some(warm_state) = self.pool.warm_state().await else { return Ok(()) };
        let known_backends = self.overrides.known.borrow().names().map(str::to_owned).collect();
        file.write(&HandoverRecord { known_backends, warm_state, lame_duck: self.listener.is_lame_duck() })
    }

    /// Enters or leaves lame-duck mode. The handover file is written before the reply, as the next process may start at any
    /// time after the reply.
    async fn set_lame_duck(&self, lame_duck: bool) -> String {
        self.listener.set_lame_duck(lame_duck);
        let written = match &self.handover_file {
            Some(file) => self.write_handover(file).await,
            None => Ok(()),
        };
        match written {
            Ok(()) => ok_reply(""),
            Err(error) => {
                let cause = error.source().map_or_else(|| error.to_string(), ToString::to_string);
                ok_reply(&format!("but a next process will not know: {cause}"))
            }
        }
    }

    async fn reply(&self, command: Command) -> String {
        match command {
            Command::Ping => self.ping().await,
            Command::Info => self.stats.statsd_text(self.gauges().await) + "END\n",
            Command::LameDuck => self.set_lame_duck(true).await,
            Command::Rejoin => self.set_lame_duck(false).await,
            Command::DisableBackend(backend) => self.set_backend_disabled(&backend, true).await,
            Command::EnableBackend(backend) => self.set_backend_disabled(&backend, false).await,
            Command::Members | Command::ExplainMember(_) => {
                error_reply("this node shares nothing with others")
            }
            Command::Config => error_reply("this node's configuration has no revisions"),
            // Already handled by `Introspection::reply`.
            Command::Recording | Command::Metrics | Command::LogFilter(_) | Command::RecordingLevel(_) => {
                String::new()
            }
        }
    }

    async fn ping(&self) -> String {
        if self.listener.is_draining() {
            return error_reply("this process ends");
        }
        if self.pool.endpoint_counts().await.listed == 0 {
            return error_reply("no server is known yet");
        }
        ok_reply(if self.listener.is_lame_duck() { "serves what comes, and is emptied" } else { "" })
    }

    async fn gauges(&self) -> Gauges {
        let endpoints = self.pool.endpoint_counts().await;
        Gauges {
            pending: self.active_requests.count(),
            members: endpoints.listed,
            members_unavailable: endpoints.unavailable,
        }
    }

    /// The gauges with their metric names.
    async fn metric_gauges(&self) -> Vec<(&'static str, f64)> {
        let gauges = self.gauges().await;
        let mut metrics = vec![
            ("pumicehead_requests_open", gauges.pending as f64),
            ("pumicehead_servers", gauges.members as f64),
            ("pumicehead_servers_unavailable", gauges.members_unavailable as f64),
        ];
        metrics.extend(self.stats.responses.metrics().map(|(name, count)| (name, count as f64)));
        metrics
    }

    async fn set_backend_disabled(&self, backend: &str, disable: bool) -> String {
        let has_entry = self.overrides.disabled.borrow().contains(backend);
        if let Err(error) = self.overrides.known.borrow().check(backend)
            && !has_entry
        {
            return error_reply(&error.to_string());
        }
        let Ok(mut state_file) = timeout(UPDATE_LOCK_TIMEOUT, self.state_file.lock()).await else {
            return error_reply("other calls take too long");
        };
        let change = |disabled: &mut DisabledBackends| {
            if disable {
                return disabled.disable(backend, unix_ms());
            }
            disabled.enable(backend, unix_ms());
            Ok(())
        };
        let mut disabled = self.overrides.disabled.borrow().clone();
        let changed = match &mut *state_file {
            Some(state_file) => state_file.update(&disabled, change).await,
            None => change(&mut disabled).map(|()| disabled).map_err(Into::into),
        };
        match changed {
            Ok(disabled) => {
                self.set_disabled(disabled);
                ok_reply("")
            }
            Err(error) => error_reply(&error.to_string()),
        }
    }

    fn set_disabled(&self, disabled: DisabledBackends) {
        let names = self.overrides.disabled.borrow().changed(&disabled);
        *self.overrides.disabled.borrow_mut() = disabled;
        if !names.is_empty() {
            self.pool.refresh_overrides(names.into_iter().collect());
        }
    }
}

impl CommandHandler for AdminHandler {
    async fn handle(&self, command: Command) -> Vec<u8> {
        match self.introspection.reply(&command, async || self.metric_gauges().await).await {
            Some(reply) => reply,
            None => self.reply(command).await.into_bytes(),
        }
    }
}

/// Current Unix time in milliseconds. Times in the state file are compared only by processes on the same machine.
fn unix_ms() -> UnixMs {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
