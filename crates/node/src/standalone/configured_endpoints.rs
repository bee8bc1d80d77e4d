//! Source of a pool's endpoints according to the configuration.

use std::net::SocketAddr;

use pumicehead_config::model::{Config, PoolEndpoints};

use crate::net::discovery::{EndpointList, ListedEndpoint, ListedState};
use crate::net::pool_loop::EndpointSource;

/// Source of a pool's endpoints.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfiguredEndpoints {
    /// The configuration lists the endpoints.
    Static(EndpointList),
    /// The discovery service at this address lists them.
    Discovery(SocketAddr),
}

impl ConfiguredEndpoints {
    /// Returns the source of the endpoints of the pool at this index of a configuration.
    #[must_use]
    pub fn new(config: &Config, pool_index: usize) -> Self {
        let servers = match &config.pools[pool_index].endpoints {
            PoolEndpoints::Discovered { address, .. } => return Self::Discovery(*address),
            PoolEndpoints::Static(servers) => servers,
        };
        let endpoints = servers.iter().map(|server| ListedEndpoint {
            name: server.name.clone(),
            address: server.address.clone(),
            zone: config.node.zones[server.zone].clone(),
            cell: server.cell,
            state: ListedState::Ready,
            weight: server.weight as f32,
            started_at_ms: 0,
        });
        Self::Static(EndpointList { version: 0, complete: true, endpoints: endpoints.collect() })
    }

    /// Converts the source to the form that a new pool loop expects.
    #[must_use]
    pub fn into_source(self) -> EndpointSource {
        match self {
            Self::Static(list) => EndpointSource::Fixed(list),
            Self::Discovery(address) => {
                EndpointSource::Watch { address, last_list: None, poll_at_start: false }
            }
        }
    }
}
