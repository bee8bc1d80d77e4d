//! Balancing decisions of one node: which endpoint gets a request, whether the request is retried, and which
//! requests are queued or rejected.
//!
//! Performs no I/O and reads no clock. The host passes timestamped [`Event`]s to [`Balancer::handle`] and
//! carries out the returned [`Action`]s in order. All timestamps are [`Nanos`] on one monotonic clock of the
//! node.

mod action;
mod admission;
mod attempt_guard;
mod attempts;
mod balancer;
mod capacity;
pub mod capacity_advice;
mod concurrency_limit;
pub mod decaying_rate;
pub mod decision_event;
mod decision_log;
pub mod deployment_settings;
mod discovery_poll;
mod endpoint_info;
mod endpoints;
mod event;
mod event_loop_stall;
mod final_answer;
pub mod hash_ring;
mod hedging;
mod ids;
mod latency;
pub mod load_reports;
mod node_share;
pub mod ordered_keys;
mod outcome;
mod outlier_detection;
mod priority;
mod request;
mod request_queue;
mod retry;
mod selection;
mod settings;
mod settings_update;
mod slow_start;
mod subsetting;
pub mod tenant_ids;
mod tenant_quota;
pub mod tenant_shares;
mod tenant_table;
mod time;
mod timer;
mod traffic_stats;
mod warm_state;

pub use action::Action;
pub use balancer::Balancer;
pub use decision_event::DecisionEvent;
pub use endpoint_info::{
    DISCOVERY_NOTICE_PERIOD, DISCOVERY_POLL_TIMEOUT, EndpointInfo, EndpointState, EndpointUpdate,
};
pub use event::{AttemptEnded, CapacityAdvice, Event, NewRequest, NodeShare};
pub use ids::{AttemptNo, CellId, ClassId, EndpointId, RequestId, TenantId, TimerToken, ZoneId};
pub use outcome::AttemptOutcome;
pub use settings::{Class, DedupScope, Discovery, Idempotency, Settings, SettingsError, Tenant};
pub use tenant_table::{KEPT_IDLE_TENANT_RECORDS, MAX_TENANT_RECORDS};
pub use time::{Nanos, SECOND, nanos, seconds};
pub use warm_state::WarmState;
