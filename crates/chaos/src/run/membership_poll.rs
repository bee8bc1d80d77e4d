//! Polls the nodes' views of their membership over their admin listeners.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde::Deserialize;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::timeout;

use super::event_log::EventLog;
use crate::history::{EventKind, MemberState};

/// Timeout of a query: a node that takes longer is paused or gone.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);
/// The admin command that returns a node's view as JSON.
const VIEW_COMMAND: &[u8] = b"FLEET members\n";

/// A node's view.
#[derive(Clone, PartialEq)]
struct View {
    fingerprint: String,
    members: BTreeMap<usize, MemberState>,
}

/// A start of a node.
#[derive(Default)]
struct PolledNode {
    admin: Option<SocketAddr>,
    is_querying: Cell<bool>,
    last_view: RefCell<Option<View>>,
}

/// Polls the views of all nodes and records their changes.
pub(super) struct MembershipPoll {
    nodes: Vec<Rc<PolledNode>>,
    /// Nodes are being stopped: their views change because of that.
    stopped: Rc<Cell<bool>>,
    queries: JoinSet<()>,
}

impl MembershipPoll {
    /// Polls no node until it has started.
    pub fn new(nodes: usize) -> Self {
        Self {
            nodes: (0..nodes).map(|_| Rc::default()).collect(),
            stopped: Rc::default(),
            queries: JoinSet::new(),
        }
    }

    /// Polls a node at the admin listener of its new process.
    pub fn node_started(&mut self, node: usize, admin: SocketAddr) {
        self.nodes[node] = Rc::new(PolledNode { admin: Some(admin), ..PolledNode::default() });
    }

    /// Records no more changes.
    pub fn stop(&self) {
        self.stopped.set(true);
    }

    /// Queries all nodes that have no query under way.
    pub fn poll(&mut self, log: &EventLog) {
        while self.queries.try_join_next().is_some() {}
        for (node, polled) in self.nodes.iter().enumerate() {
            let (Some(admin), false) = (polled.admin, polled.is_querying.get()) else { continue };
            polled.is_querying.set(true);
            let (polled, log, stopped) = (polled.clone(), log.clone(), self.stopped.clone());
            self.queries.spawn_local(async move {
                if let Ok(Ok(view)) = timeout(QUERY_TIMEOUT, query_view(admin)).await
                    && !stopped.get()
                {
                    polled.update(node, view, &log);
                }
                polled.is_querying.set(false);
            });
        }
    }
}

impl PolledNode {
    /// Records a view if it has changed.
    fn update(&self, node: usize, view: View, log: &EventLog) {
        let mut last_view = self.last_view.borrow_mut();
        if last_view.as_ref() != Some(&view) {
            let View { fingerprint, members } = view.clone();
            log.record(EventKind::MembershipView { node, fingerprint, members });
            *last_view = Some(view);
        }
    }
}

/// The answer to [`VIEW_COMMAND`].
#[derive(Deserialize)]
struct ViewResponse {
    fingerprint: String,
    members: Vec<MemberResponse>,
}

#[derive(Deserialize)]
struct MemberResponse {
    name: String,
    state: MemberState,
}

impl MemberResponse {
    /// Returns the node's number and state; `None` if it is no node of the run.
    fn numbered(self) -> Option<(usize, MemberState)> {
        Some((self.name.strip_prefix('n')?.parse().ok()?, self.state))
    }
}

async fn query_view(admin: SocketAddr) -> io::Result<View> {
    let mut stream = TcpStream::connect(admin).await?;
    stream.write_all(VIEW_COMMAND).await?;
    let mut text = String::new();
    stream.read_to_string(&mut text).await?;
    let ViewResponse { fingerprint, members } = serde_json::from_str(&text)?;
    let members = members.into_iter().filter_map(MemberResponse::numbered).collect();
    Ok(View { fingerprint, members })
}
