//! Errors of applying a configuration.

use std::io;
use std::net::SocketAddr;

use thiserror::Error;

/// Why a configuration that has passed its checks still can't be applied.
#[derive(Debug, Error)]
pub enum ApplyError {
    /// Listening on an address failed.
    #[error("listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The I/O error.
        source: io::Error,
    },
    /// The configuration violates a rule of the resource tables.
    #[error(transparent)]
    InvalidResources(#[from] pumicehead_resources::ValidationError),
    /// The decision module rejects the settings of a pool.
    #[error("pool {pool}: {source}")]
    InvalidSettings {
        /// Name of the pool.
        pool: String,
        /// What is wrong with its settings.
        source: pumicehead_policy::SettingsError,
    },
}
