//! What an event loop is told.

use std::net::SocketAddr;
use std::rc::Rc;

use pumicehead_policy::WarmState;
use pumicehead_policy::{AttemptNo, EndpointId, Nanos, NodeShare, RequestId, Settings};
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::ask::{Answer, Ask, Served};
use super::discovery::{List, WatchError};
use super::handle::Name;
use super::transport::End;

/// Servers in the list.
#[derive(Clone, Copy, Debug, Default)]
pub struct Members {
    /// All of them.
    pub listed: usize,
    /// Those that get nothing new, by hand or by choice.
    pub unavailable: usize,
}

/// What a loop is told.
pub(super) enum Message {
    Request(RequestId, Box<Ask>, Instant, oneshot::Sender<Answer>, Rc<Name>),
    ClientGone(RequestId),
    /// An answer begins to pass through.
    Began(RequestId, AttemptNo, Served),
    Ended {
        id: RequestId,
        attempt: AttemptNo,
        server: EndpointId,
        sent: Nanos,
        end: End,
    },
    List(u64, List),
    WatchEnded(u64, WatchError),
    Moved(SocketAddr),
    Servers(List),
    Retune(Box<Settings>),
    /// So many nodes share the servers.
    Sharing(NodeShare),
    Retire {
        gone: bool,
    },
    GiveUp,
    /// The book of servers taken out has changed for these.
    Restate(Vec<String>),
    Look(oneshot::Sender<Members>),
    Learned(oneshot::Sender<WarmState>),
}
