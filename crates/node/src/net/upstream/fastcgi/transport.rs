//! The FastCGI transport of a pool.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use pumicehead_admin::stats::ResponseCounters;
use pumicehead_config::model::Address;

use super::connector::FastCgiConnector;
use crate::net::memory_budget::MemoryBudget;
use crate::net::upstream::connection_registry::ConnectionRegistry;
use crate::net::upstream::transport::{EndpointConnector, Transport};

/// Settings shared by the connectors of a pool.
pub struct FastCgiSettings {
    /// Timeout for establishing a connection.
    pub connect_timeout: Duration,
    /// The time after which endpoints close idle connections.
    pub server_idle_timeout: Duration,
    /// Maximum size of a response's body, in bytes.
    pub max_body: u64,
    /// Memory budget for long bodies.
    pub memory: Arc<MemoryBudget>,
    /// Counts what becomes of responses that are not complete in time.
    pub counters: Rc<ResponseCounters>,
    /// The part of request paths that names the application.
    pub script: String,
    /// The document root of the application.
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
