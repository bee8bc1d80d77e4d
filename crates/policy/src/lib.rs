//! The decisions of one node: which endpoint gets a request, whether it is retried, which requests wait or
//! are rejected.
//!
//! Free of I/O and of clocks: a host feeds [`Event`]s with their times to [`Balancer::handle`] and carries
//! out the [`Action`]s it gets back, in order. All times are [`Nanos`] on one monotonic clock of the node.

mod action;
pub mod capacity_advice;
pub mod decaying_rate;
pub mod decision_event;
pub mod deployment_settings;
mod endpoint_info;
mod event;
pub mod hash_ring;
mod ids;
pub mod load_reports;
pub mod ordered_keys;
mod outcome;
mod policy;
mod settings;
mod state;
pub mod tenant_ids;
pub mod tenant_shares;
mod tenants;
mod time;
mod timer;

pub use action::Action;
pub use decision_event::DecisionEvent;
pub use endpoint_info::{
    DISCOVERY_CALL_TIMEOUT, DISCOVERY_NOTICE, EndpointInfo, EndpointState, EndpointUpdate,
};
pub use event::{AttemptEnded, CapacityAdvice, Event, NewRequest, NodeShare};
pub use ids::{AttemptNo, CellId, ClassId, EndpointId, RequestId, TenantId, TimerToken, ZoneId};
pub use outcome::AttemptOutcome;
pub use policy::{Balancer, WarmState};
pub use settings::{Class, DedupScope, Discovery, Idempotency, Settings, SettingsError, Tenant};
pub use tenants::{KEPT_STATES, MOST_STATES};
pub use time::{Nanos, SECOND, nanos, seconds};
