//! Why a configuration can't be put in force.

use std::io;
use std::net::SocketAddr;

use thiserror::Error;

/// A configuration without mistakes that still can't be put in force.
#[derive(Debug, Error)]
pub enum ApplyError {
    /// An address can't be listened on.
    #[error("listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The operating system's error.
        source: io::Error,
    },
    /// The configuration breaks a rule of the resource tables.
    #[error(transparent)]
    InvalidResources(#[from] pumicehead_resources::ValidationError),
    /// The decision module can't use the settings of a pool.
    #[error("pool {pool}: {source}")]
    InvalidSettings {
        /// Name of the pool.
        pool: String,
        /// What is wrong with its settings.
        source: pumicehead_policy::SettingsError,
    },
}
