//! The list of endpoints, in the format of the discovery service and the configuration.

use std::net::SocketAddr;

use pumicehead_config::model::Address;
use serde::{Deserialize, Deserializer};

/// The endpoints of a pool: all of them, or those that have changed.
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
    /// The endpoint's name, which is the same on every node.
    #[serde(rename = "host")]
    pub name: String,
    /// The address at which this node reaches it.
    #[serde(rename = "dial", deserialize_with = "tcp_address")]
    pub address: Address,
    /// Name of the endpoint's zone.
    #[serde(rename = "site")]
    pub zone: String,
    /// The endpoint's cell.
    #[serde(default, rename = "block")]
    pub cell: u16,
    /// Whether the endpoint takes requests.
    #[serde(rename = "health")]
    pub state: ListedState,
    /// The endpoint's weight; the default is 1.
    #[serde(default = "default_weight", rename = "share")]
    pub weight: f32,
    /// When the endpoint last started, in Unix milliseconds; 0 if long ago.
    #[serde(default, rename = "born_ms")]
    pub started_at_ms: u64,
}

/// Whether an endpoint takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub enum ListedState {
    /// The endpoint takes requests.
    #[serde(rename = "active")]
    Ready,
    /// The endpoint takes no new requests and finishes those in flight.
    #[serde(rename = "leaving")]
    Draining,
    /// The endpoint was removed.
    #[serde(rename = "left")]
    Removed,
}

/// Parses a TCP address; the discovery service lists no other addresses.
fn tcp_address<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Address, D::Error> {
    SocketAddr::deserialize(deserializer).map(Address::Tcp)
}

fn default_weight() -> f32 {
    1.0
}
