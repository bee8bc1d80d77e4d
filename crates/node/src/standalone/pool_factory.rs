//! Starts the event loops of pools.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use pumicehead_admin::stats::ResponseCounters;
use pumicehead_config::model::Protocol;
use tokio::task;

use super::config_revision::ConfigRevision;
use super::configured_endpoints::ConfiguredEndpoints;
use super::pool_identity::ConnectionSettings;
use crate::introspection::Introspection;
use crate::net::active_requests::ActiveRequestIds;
use crate::net::memory_budget::MemoryBudget;
use crate::net::pool_handle::PoolHandle;
use crate::net::pool_loop::{PoolConfig, PoolLoop};
use crate::net::upstream::connection_registry::ConnectionRegistry;
use crate::net::upstream::fastcgi::transport::{FastCgiSettings, FastCgiTransport};
use crate::net::upstream::http::response_reader::ResponseReader;
use crate::net::upstream::http::transport::HttpTransport;
use crate::net::upstream::response_classification::StatusPolicy;
use crate::net::upstream::transport::Transport;

/// Starts pools, and holds what all pools of a node share.
pub struct PoolFactory {
    /// Registry of connections to endpoints.
    pub connections: Rc<ConnectionRegistry>,
    /// Memory budget for buffered parts of streamed bodies.
    pub memory: Arc<MemoryBudget>,
    /// Requests in flight.
    pub active_requests: ActiveRequestIds,
    /// Counts what becomes of responses that are not complete in time.
    pub response_counters: Rc<ResponseCounters>,
    /// Recorder, clock and log.
    pub introspection: Rc<Introspection>,
    /// Seed for random numbers; each pool adds its index.
    pub seed: u64,
}

impl PoolFactory {
    /// Starts the event loop of the pool at this index of a revision.
    pub fn start(
        &self,
        revision: &ConfigRevision,
        pool_index: usize,
        endpoints: ConfiguredEndpoints,
    ) -> PoolHandle {
        let name = &revision.config.settings().pools[pool_index].name;
        let identity = &revision.pool_identities[pool_index];
        let config = PoolConfig {
            settings: identity.settings.clone(),
            seed: self.seed.wrapping_add(pool_index as u64),
            zones: identity.connection.zones.clone(),
            endpoints: endpoints.into_source(),
            transport: self.transport(&identity.connection),
            overrides: Rc::default(),
            warm_state: None,
            clock: self.introspection.clock(),
            recorder: Some(self.introspection.pool_recorder(name, &identity.settings, &identity.classes)),
        };
        let (pool_loop, handle) = PoolLoop::new(config, self.active_requests.clone());
        task::spawn_local(pool_loop.run());
        handle
    }

    fn transport(&self, settings: &ConnectionSettings) -> Rc<dyn Transport> {
        let connect_timeout = Duration::from_nanos(settings.connect_timeout);
        let idle_timeout = Duration::from_nanos(settings.idle_timeout);
        match settings.protocol {
            Protocol::Http => HttpTransport::new(
                self.connections.clone(),
                connect_timeout,
                idle_timeout,
                self.response_reader(settings),
                Rc::default(),
            ),
            Protocol::FastCgi => FastCgiTransport::new(
                self.connections.clone(),
                FastCgiSettings {
                    connect_timeout,
                    server_idle_timeout: idle_timeout,
                    max_body: settings.max_response_body,
                    memory: self.memory.clone(),
                    counters: self.response_counters.clone(),
                    script: settings.script.clone(),
                    root: settings.root.clone(),
                },
            ),
        }
    }

    fn response_reader(&self, settings: &ConnectionSettings) -> ResponseReader {
        ResponseReader {
            status_policy: StatusPolicy::Gateway,
            max_body: settings.max_response_body,
            max_unsized_body: settings.max_response_body,
            streaming: false,
            counters: self.response_counters.clone(),
            memory: self.memory.clone(),
            response_memory: self.memory.clone(),
        }
    }
}
