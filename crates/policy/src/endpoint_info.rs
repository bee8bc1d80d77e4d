//! Endpoint information from discovery.

use std::sync::Arc;

use crate::ids::{CellId, EndpointId, ZoneId};
use crate::time::{Nanos, SECOND};

/// By the platform's protocol, every node is considered to know an update this long after discovery had it
/// and was reachable, whether or not the node's polls succeeded in the meantime.
pub const DISCOVERY_NOTICE_PERIOD: Nanos = 6 * SECOND;
/// Timeout of a discovery poll. Discovery answers or rejects a poll within 2 s (the platform's protocol); one
/// second is added for connecting. A poll without an answer by then is lost, and the host ends it.
pub const DISCOVERY_POLL_TIMEOUT: Nanos = 3 * SECOND;

/// Whether an endpoint accepts requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// Accepts requests.
    Ready,
    /// Finishes its open requests and accepts no new ones.
    Draining,
    /// No longer exists.
    Removed,
}

/// Information about one endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointInfo {
    /// Its id.
    pub id: EndpointId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
    /// Whether it accepts requests.
    pub state: EndpointState,
    /// Relative weight; a value that is not positive and finite counts as 1.
    pub weight: f32,
    /// Start time of its process; 0 means long ago.
    pub started_at: Nanos,
}

/// An update from discovery.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointUpdate {
    /// Only the endpoints that changed.
    Delta(Arc<[EndpointInfo]>),
    /// All endpoints; one that is missing has been removed.
    Snapshot(Arc<[EndpointInfo]>),
    /// The last snapshot of an earlier process, which may be stale.
    Restored(Arc<[EndpointInfo]>),
    /// A poll failed, or the watch was lost.
    WatchFailed,
}
