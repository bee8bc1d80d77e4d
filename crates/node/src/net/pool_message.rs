//! What an event loop is told.

use std::net::SocketAddr;
use std::rc::Rc;

use pumicehead_policy::WarmState;
use pumicehead_policy::{AttemptNo, EndpointId, Nanos, NodeShare, RequestId, Settings};
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::net::discovery::{EndpointList, WatchError};
use crate::net::exchange::{FinalResponse, ProxyRequest, UpstreamResponse};
use crate::net::pool_handle::RequestIdGuard;
use crate::net::upstream::transport::AttemptResult;

/// Servers in the list.
#[derive(Clone, Copy, Debug, Default)]
pub struct EndpointCounts {
    /// All of them.
    pub listed: usize,
    /// Those that get nothing new, by hand or by choice.
    pub unavailable: usize,
}

/// What a loop is told.
pub(in crate::net) enum PoolMessage {
    Request(RequestId, Box<ProxyRequest>, Instant, oneshot::Sender<FinalResponse>, Rc<RequestIdGuard>),
    ClientDisconnected(RequestId),
    /// An answer begins to pass through.
    ResponseStarted(RequestId, AttemptNo, UpstreamResponse),
    AttemptEnded {
        id: RequestId,
        attempt: AttemptNo,
        server: EndpointId,
        sent: Nanos,
        end: AttemptResult,
    },
    ListReceived(u64, EndpointList),
    WatchEnded(u64, WatchError),
    DiscoveryMoved(SocketAddr),
    SetEndpoints(EndpointList),
    UpdateSettings(Box<Settings>),
    /// So many nodes share the servers.
    SetNodeShare(NodeShare),
    Retire {
        gone: bool,
    },
    FailAll,
    /// The book of servers taken out has changed for these.
    RefreshOverrides(Vec<String>),
    CountEndpoints(oneshot::Sender<EndpointCounts>),
    GetWarmState(oneshot::Sender<WarmState>),
}
