//! Messages to a pool's event loop.

use std::net::SocketAddr;
use std::rc::Rc;

use pumicehead_policy::WarmState;
use pumicehead_policy::{AttemptNo, EndpointId, Nanos, NodeShare, RequestId, Settings};
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::net::active_requests::RequestIdGuard;
use crate::net::discovery::{EndpointList, WatchError};
use crate::net::exchange::{FinalResponse, ProxyRequest, UpstreamResponse};
use crate::net::upstream::transport::AttemptResult;

/// Number of endpoints of a pool.
#[derive(Clone, Copy, Debug, Default)]
pub struct EndpointCounts {
    /// All in the list.
    pub listed: usize,
    /// Those that get no new requests: drained, disabled by an operator, or ejected.
    pub unavailable: usize,
}

/// A request that a listener has admitted.
pub(super) struct NewProxyRequest {
    pub id: RequestId,
    pub request: ProxyRequest,
    /// When it was sent to the loop; its time to live counts from here.
    pub arrived: Instant,
    pub responder: oneshot::Sender<FinalResponse>,
    pub id_guard: Rc<RequestIdGuard>,
}

/// The end of an attempt.
pub(super) struct EndedAttempt {
    pub id: RequestId,
    pub attempt: AttemptNo,
    pub endpoint: EndpointId,
    /// When it was started.
    pub started_at: Nanos,
    pub result: AttemptResult,
}

/// A message to a pool's event loop.
pub(super) enum PoolMessage {
    Request(Box<NewProxyRequest>),
    ClientDisconnected(RequestId),
    /// The head of a streamed response has come.
    ResponseStarted {
        id: RequestId,
        attempt: AttemptNo,
        response: UpstreamResponse,
    },
    AttemptEnded(EndedAttempt),
    /// A list from the watch of this number.
    ListReceived {
        watch: u64,
        list: EndpointList,
    },
    /// The watch of this number has ended.
    WatchEnded {
        watch: u64,
        error: WatchError,
    },
    DiscoveryMoved(SocketAddr),
    /// The endpoints of the configuration.
    SetEndpoints(EndpointList),
    UpdateSettings(Box<Settings>),
    SetNodeShare(NodeShare),
    Retire(Retirement),
    FailAll,
    /// Admin overrides have changed for endpoints of these names.
    RefreshOverrides(Vec<String>),
    CountEndpoints(oneshot::Sender<EndpointCounts>),
    GetWarmState(oneshot::Sender<WarmState>),
}

/// Why a pool's loop is to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retirement {
    /// The configuration has the pool no more: its endpoints are removed after a grace period.
    Removed,
    /// Another loop serves the pool from now on: queued requests may still go to the endpoints.
    Replaced,
}
