//! Listening sockets of the node: one for clients, inherited or newly bound, and optionally one for admin commands.

use std::io;
use std::net::SocketAddr;

use thiserror::Error;
use tokio::net::TcpListener;
use tracing::info;

use super::config::Config;
use super::socket_activation::{SocketActivationError, inherited_listener};
use crate::net::downstream;

/// Why the sockets can't be opened.
#[derive(Debug, Error)]
pub enum SocketsError {
    /// The inherited socket can't be used.
    #[error(transparent)]
    Inherited(#[from] SocketActivationError),
    /// Listening on an address failed.
    #[error("listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The I/O error.
        source: io::Error,
    },
    /// The local address of a socket can't be determined.
    #[error(transparent)]
    LocalAddress(#[from] io::Error),
}

/// The listening sockets of the platform's node.
pub struct Sockets {
    /// Socket for clients.
    pub clients: TcpListener,
    /// Whether the client socket is inherited, in which case another process of this node may also accept connections from
    /// it.
    pub is_inherited: bool,
    /// Socket for admin commands, if one is configured.
    pub admin: Option<TcpListener>,
}

impl Sockets {
    /// Takes over the inherited client socket, or binds a new one, and binds the admin socket.
    ///
    /// # Errors
    /// Returns a [`SocketsError`] for the first socket that can't be opened.
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
