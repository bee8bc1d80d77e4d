//! The FastCGI transport of a pool.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use pumicehead_config::model::Address;

use super::connector::FastCgiConnector;
use crate::net::memory_budget::MemoryBudget;
use crate::net::upstream::connection_registry::ConnectionRegistry;
use crate::net::upstream::transport::{EndpointConnector, Transport};

/// What the connectors of a pool share.
pub struct FastCgiSettings {
    /// Timeout of a connect.
    pub connect_timeout: Duration,
    /// Endpoints close idle connections after this.
    pub server_idle_timeout: Duration,
    /// Greatest number of bytes of a response's body.
    pub max_body: u64,
    /// Memory for long bodies.
    pub memory: Arc<MemoryBudget>,
    /// The part of paths that names the application.
    pub script: String,
    /// The folder of its files.
    pub root: String,
}

/// The FastCGI transport of a pool.
pub struct FastCgiTransport {
    connections: Rc<ConnectionRegistry>,
    settings: Rc<FastCgiSettings>,
}

impl FastCgiTransport {
    /// Returns the transport of a pool.
    pub fn new(connections: Rc<ConnectionRegistry>, settings: FastCgiSettings) -> Rc<Self> {
        Rc::new(Self { connections, settings: Rc::new(settings) })
    }
}

impl Transport for FastCgiTransport {
    fn connector(&self, address: &Address) -> Rc<dyn EndpointConnector> {
        Rc::new(FastCgiConnector::new(self.connections.clone(), self.settings.clone(), address.clone()))
    }

    fn sweep(&self) {
        self.connections.sweep();
    }
}
