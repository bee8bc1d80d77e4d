//! Sockets that the node listens on: one for clients, inherited or its own, and one for admin commands.

use std::error::Error;
use std::net::SocketAddr;

use tokio::net::TcpListener;
use tracing::info;

use super::config::Config;
use super::socket_activation;
use crate::net::downstream;

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
    /// An inherited socket that can't be used, or an address that can't be listened on.
    pub fn open(config: &Config) -> Result<Self, Box<dyn Error>> {
        let inherited = socket_activation::inherited_listener()?;
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

fn listen(address: SocketAddr) -> Result<TcpListener, String> {
    downstream::listen(address).map_err(|error| format!("listen on {address}: {error}"))
}
