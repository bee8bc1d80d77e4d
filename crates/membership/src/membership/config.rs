//! Configuration of a member.

use std::net::SocketAddr;

use crate::record::{MemberRecord, RecordError};
use crate::settings::{Settings, SettingsError};

/// Maximum number of seeds.
pub const MAX_SEEDS: usize = 64;

/// Configuration of a member.
#[derive(Clone, Debug)]
pub struct MembershipConfig {
    /// Intervals and timeouts.
    pub settings: Settings,
    /// Name of the fleet; messages of other fleets are rejected.
    pub fleet_name: String,
    /// The member's own record. Incarnation, minor protocol version and phase are set by the state machine.
    pub record: MemberRecord,
    /// Addresses of members to join through; empty for the first member of a fleet.
    pub seeds: Vec<SocketAddr>,
    /// Addresses, by member name, that replace those in the members' records.
    pub address_overrides: Vec<(String, SocketAddr)>,
    /// Number of nodes to assume initially, before the fleet is known.
    pub initial_node_count: u32,
    /// Seed of the member's random number generator.
    pub rng_seed: u64,
}

/// Why a configuration is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MembershipError {
    /// The member's own record is invalid.
    #[error(transparent)]
    Record(#[from] RecordError),
    /// The settings are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// There are more than [`MAX_SEEDS`] seeds.
    #[error("too many seeds: {count}, the maximum is {MAX_SEEDS}")]
    TooManySeeds {
        /// Number of configured seeds.
        count: usize,
    },
}
