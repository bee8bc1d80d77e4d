//! Configuration of a pool's event loop.

use std::net::SocketAddr;
use std::rc::Rc;

use pumicehead_policy::{Nanos, SECOND, Settings, WarmState};

use crate::net::admin_overrides::AdminOverrides;
use crate::net::clock::Clock;
use crate::net::discovery::EndpointList;
use crate::net::recorder_sink::RecorderSink;
use crate::net::upstream::transport::Transport;

/// Maximum age of the warm state of an earlier process, in nanoseconds.
pub const WARM_STATE_MAX_AGE: Nanos = 30 * SECOND;

/// Where the list of endpoints comes from.
pub enum EndpointSource {
    /// A discovery service that is watched.
    Watch {
        /// Address of the service.
        address: SocketAddr,
        /// The last known list; if there is none, the watch starts immediately.
        last_list: Option<EndpointList>,
        /// Whether the watch starts immediately instead of when the decision module requests it. Set if this process
        /// takes over from another one, because its list must not be older than that of the other process.
        poll_at_start: bool,
    },
    /// The configuration.
    Fixed(EndpointList),
}

impl EndpointSource {
    /// Returns the address of the discovery service, if there is one.
    pub(super) fn service_address(&self) -> Option<SocketAddr> {
        match self {
            Self::Watch { address, .. } => Some(*address),
            Self::Fixed(_) => None,
        }
    }
}

/// Configuration of a pool's event loop.
pub struct PoolConfig {
    /// Settings of the decision module.
    pub settings: Settings,
    /// Seed of the decision module's random numbers.
    pub seed: u64,
    /// Zone names by zone id.
    pub zones: Vec<String>,
    /// Where the endpoints come from.
    pub endpoints: EndpointSource,
    /// The transport through which attempts reach the endpoints.
    pub transport: Rc<dyn Transport>,
    /// The operators' admin overrides for endpoints.
    pub overrides: Rc<AdminOverrides>,
    /// What an earlier process of this node had learned, if available.
    pub warm_state: Option<WarmState>,
    /// The node's clock.
    pub clock: Clock,
    /// The flight recorder, if there is one.
    pub recorder: Option<RecorderSink>,
}
