//! What a pool's event loop is made of.

use std::net::SocketAddr;
use std::rc::Rc;

use pumicehead_policy::{Nanos, SECOND, Settings, WarmState};

use crate::net::admin_overrides::AdminOverrides;
use crate::net::clock::Clock;
use crate::net::discovery::EndpointList;
use crate::net::recorder_sink::RecorderSink;
use crate::net::upstream::transport::Transport;

/// Warm state of an earlier process is used up to this age, in nanoseconds.
pub const WARM_STATE_MAX_AGE: Nanos = 30 * SECOND;

/// Where the list of endpoints comes from.
pub enum EndpointSource {
    /// A discovery service, which is watched.
    Watch {
        /// Address of the service.
        address: SocketAddr,
        /// The last known list; where there is none, the watch starts at once.
        last_list: Option<EndpointList>,
        /// Starts the watch at once instead of when the decision module asks for it. Set where this process takes
        /// over from another one, whose list it must not fall behind.
        poll_at_start: bool,
    },
    /// The configuration.
    Fixed(EndpointList),
}

impl EndpointSource {
    /// Address of the discovery service, where there is one.
    pub(super) fn service_address(&self) -> Option<SocketAddr> {
        match self {
            Self::Watch { address, .. } => Some(*address),
            Self::Fixed(_) => None,
        }
    }
}

/// What a pool's event loop is made of.
pub struct PoolConfig {
    /// Settings of the decision module.
    pub settings: Settings,
    /// Seed of the decision module's random numbers.
    pub seed: u64,
    /// Names of the zones, by zone id.
    pub zones: Vec<String>,
    /// Where the endpoints come from.
    pub endpoints: EndpointSource,
    /// How attempts reach the endpoints.
    pub transport: Rc<dyn Transport>,
    /// Endpoints that operators have disabled.
    pub overrides: Rc<AdminOverrides>,
    /// What an earlier process of this node had learned.
    pub warm_state: Option<WarmState>,
    /// The node's clock.
    pub clock: Clock,
    /// The flight recorder, where there is one.
    pub recorder: Option<RecorderSink>,
}
