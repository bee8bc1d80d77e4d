//! Messages to a pool's event loop.

use std::net::SocketAddr;
use std::rc::Rc;

use pumicehead_policy::WarmState;
use pumicehead_policy::{AttemptNo, EndpointId, Nanos, NodeShare, RequestId, Settings};
use tokio::sync::oneshot;

use crate::net::active_requests::RequestIdGuard;
use crate::net::discovery::{EndpointList, WatchError};
use crate::net::exchange::{FinalResponse, ProxyRequest, UpstreamResponse};
use crate::net::upstream::transport::AttemptResult;

/// Numbers of endpoints in a pool.
#[derive(Clone, Copy, Debug, Default)]
pub struct EndpointCounts {
    /// All listed endpoints.
    pub listed: usize,
    /// Endpoints that get no new requests: draining, disabled by an operator, ejected or unresponsive.
    pub unavailable: usize,
}

/// A request that a listener has admitted.
pub(super) struct NewProxyRequest {
    pub id: RequestId,
    pub request: ProxyRequest,
    pub responder: oneshot::Sender<FinalResponse>,
    pub id_guard: Rc<RequestIdGuard>,
}

/// An attempt that has ended.
pub(super) struct EndedAttempt {
    pub id: RequestId,
    pub attempt: AttemptNo,
    pub endpoint: EndpointId,
    /// When the attempt was started.
    pub started_at: Nanos,
    pub result: AttemptResult,
}

/// A message to a pool's event loop.
pub(super) enum PoolMessage {
    Request(Box<NewProxyRequest>),
    ClientDisconnected(RequestId),
    /// The start of a streamed response has been received.
    ResponseStarted {
        id: RequestId,
        attempt: AttemptNo,
        response: UpstreamResponse,
    },
    AttemptEnded(EndedAttempt),
    /// A list received by the watch with this number.
    ListReceived {
        watch: u64,
        list: EndpointList,
    },
    /// The watch with this number has ended.
    WatchEnded {
        watch: u64,
        error: WatchError,
    },
    DiscoveryMoved(SocketAddr),
    /// Replaces the endpoints with those of the configuration.
    SetEndpoints(EndpointList),
    UpdateSettings(Box<Settings>),
    SetNodeShare(NodeShare),
    Retire(Retirement),
    FailAll,
    /// The admin overrides of the endpoints with these names have changed.
    RefreshOverrides(Vec<String>),
    CountEndpoints(oneshot::Sender<EndpointCounts>),
    GetWarmState(oneshot::Sender<WarmState>),
}

/// Why a pool's event loop has to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retirement {
    /// The pool was removed from the configuration. Its endpoints are removed after a grace period.
    Removed,
    /// Another loop serves the pool from now on. Queued requests may still be sent to the endpoints.
    Replaced,
}
