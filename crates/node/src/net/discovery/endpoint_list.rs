//! The list of endpoints as the discovery service and the configuration write it.

use std::net::SocketAddr;

use pumicehead_config::model::Address;
use serde::{Deserialize, Deserializer};

/// The endpoints of a pool, all of them or those that changed.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct EndpointList {
    /// Version of the list.
    #[serde(rename = "seq")]
    pub version: u64,
    /// Whether endpoints that are not in the list are removed.
    #[serde(default, rename = "whole")]
    pub complete: bool,
    /// The endpoints.
    #[serde(rename = "hosts")]
    pub endpoints: Vec<ListedEndpoint>,
}

/// An endpoint in a list.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct ListedEndpoint {
    /// Its name, the same at every node.
    #[serde(rename = "host")]
    pub name: String,
    /// The address at which this node reaches it.
    #[serde(rename = "dial", deserialize_with = "tcp_address")]
    pub address: Address,
    /// Name of its zone.
    #[serde(rename = "site")]
    pub zone: String,
    /// Its cell.
    #[serde(default, rename = "block")]
    pub cell: u16,
    /// Whether it takes requests.
    #[serde(rename = "health")]
    pub state: ListedState,
    /// Its weight; 1 is usual.
    #[serde(default = "default_weight", rename = "share")]
    pub weight: f32,
    /// When it last started, in Unix milliseconds; 0 is long ago.
    #[serde(default, rename = "born_ms")]
    pub started_at_ms: u64,
}

/// Whether an endpoint takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub enum ListedState {
    /// It does.
    #[serde(rename = "active")]
    Ready,
    /// It finishes those that it has.
    #[serde(rename = "leaving")]
    Draining,
    /// It is gone.
    #[serde(rename = "left")]
    Removed,
}

/// The discovery service lists TCP addresses alone.
fn tcp_address<'de, D: Deserializer<'de>>(from: D) -> Result<Address, D::Error> {
    SocketAddr::deserialize(from).map(Address::Tcp)
}

fn default_weight() -> f32 {
    1.0
}
