//! Sockets that the node listens on: one for clients, inherited or its own, and one for admin commands.

use std::io;
use std::net::SocketAddr;

use thiserror::Error;
use tokio::net::TcpListener;
use tracing::info;

use super::config::Config;
use super::socket_activation::{SocketActivationError, inherited_listener};
use crate::net::downstream;

/// The sockets can't be opened.
#[derive(Debug, Error)]
pub enum SocketsError {
    /// The inherited socket can't be used.
    #[error(transparent)]
    Inherited(#[from] SocketActivationError),
    /// An address can't be listened on.
    #[error("listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The operating system's error.
        source: io::Error,
    },
    /// The address of a socket can't be read.
    #[error(transparent)]
    LocalAddress(#[from] io::Error),
}

/// The listening sockets of the platform's node.
pub struct Sockets {
    /// For clients.
    pub clients: TcpListener,
    /// The clients' socket is inherited: another process of this node may accept from it as well.
    pub is_inherited: bool,
    /// For admin commands.
    pub admin: Option<TcpListener>,
}

impl Sockets {
    /// Takes over or binds the sockets of a configuration.
    ///
    /// # Errors
    /// [`SocketsError`].
    pub fn open(config: &Config) -> Result<Self, SocketsError> {
        let inherited = inherited_listener()?;
        let is_inherited = inherited.is_some();
        let clients = match inherited {
            Some(listener) => listener,
            None => listen(config.listen)?,
        };
        let admin = config.admin.map(listen).transpose()?;
        info!(target: "node", "{} listens on {}", config.name, clients.local_addr()?);
        if let Some(admin) = &admin {
            info!(target: "node", "{} takes admin commands on {}", config.name, admin.local_addr()?);
        }
        Ok(Self { clients, is_inherited, admin })
    }
}

fn listen(address: SocketAddr) -> Result<TcpListener, SocketsError> {
    downstream::listen(address).map_err(|source| SocketsError::Listen { address, source })
}
