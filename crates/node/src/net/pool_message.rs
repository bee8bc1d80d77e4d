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
    ClientGone(RequestId),
    /// An answer begins to pass through.
    Began(RequestId, AttemptNo, UpstreamResponse),
    Ended {
        id: RequestId,
        attempt: AttemptNo,
        server: EndpointId,
        sent: Nanos,
        end: AttemptResult,
    },
    List(u64, EndpointList),
    WatchEnded(u64, WatchError),
    Moved(SocketAddr),
    Servers(EndpointList),
    Retune(Box<Settings>),
    /// So many nodes share the servers.
    Sharing(NodeShare),
    Retire {
        gone: bool,
    },
    GiveUp,
    /// The book of servers taken out has changed for these.
    Restate(Vec<String>),
    Look(oneshot::Sender<EndpointCounts>),
    Learned(oneshot::Sender<WarmState>),
}
