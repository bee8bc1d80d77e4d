//! Endpoints as discovery describes them.

use std::sync::Arc;

use crate::ids::{CellId, EndpointId, ZoneId};
use crate::time::{Nanos, SECOND};

/// An update counts as known to every node this long after discovery had it and could be reached, whatever
/// became of the node's calls meanwhile (the platform's protocol).
pub const DISCOVERY_NOTICE: Nanos = 6 * SECOND;
/// Discovery answers or rejects a poll within 2 s (the platform's protocol). With a second more for the
/// connection, a poll without an answer after this time is lost, and the host ends it.
pub const DISCOVERY_CALL_TIMEOUT: Nanos = 3 * SECOND;

/// Whether an endpoint takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// Takes requests.
    Ready,
    /// Finishes those that it has.
    Draining,
    /// No longer there.
    Removed,
}

/// An endpoint as discovery describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointInfo {
    /// Its id.
    pub id: EndpointId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
    /// Whether it takes requests.
    pub state: EndpointState,
    /// Its relative weight; one that is not positive and finite counts as 1.
    pub weight: f32,
    /// When its process started; 0 is long ago.
    pub started_at: Nanos,
}

/// An update of the endpoints.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointUpdate {
    /// Only what changed.
    Delta(Arc<[EndpointInfo]>),
    /// All there are; an endpoint not in it is removed.
    Snapshot(Arc<[EndpointInfo]>),
    /// The last snapshot of an earlier process; possibly stale.
    Restored(Arc<[EndpointInfo]>),
    /// A poll failed or the watch broke.
    WatchFailed,
}
