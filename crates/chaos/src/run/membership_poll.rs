//! Polls the nodes' membership views over their admin listeners.

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

/// Timeout of a query: a node that takes longer is paused or down.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);
/// The admin command that returns a node's view as JSON.
const VIEW_COMMAND: &[u8] = b"FLEET members\n";

/// A node's membership view.
#[derive(Clone, PartialEq)]
struct View {
    fingerprint: String,
    members: BTreeMap<usize, MemberState>,
}

/// Polling state of one process of a node.
#[derive(Default)]
struct PolledNode {
    admin: Option<SocketAddr>,
    is_querying: Cell<bool>,
    last_view: RefCell<Option<View>>,
}

/// Polls the views of all nodes and records their changes.
pub(super) struct MembershipPoll {
    nodes: Vec<Rc<PolledNode>>,
    /// Set when the run stops its nodes: view changes are no longer recorded, as the stops cause them.
    stopped: Rc<Cell<bool>>,
    queries: JoinSet<()>,
}

impl MembershipPoll {
    /// Creates a poll that skips each node until it has started.
    pub fn new(nodes: usize) -> Self {
        Self {
            nodes: (0..nodes).map(|_| Rc::default()).collect(),
            stopped: Rc::default(),
            queries: JoinSet::new(),
        }
    }

    /// Uses the admin listener of a node's new process from now on.
    pub fn node_started(&mut self, node: usize, admin: SocketAddr) {
        self.nodes[node] = Rc::new(PolledNode { admin: Some(admin), ..PolledNode::default() });
    }

    /// Stops recording changes.
    pub fn stop(&self) {
        self.stopped.set(true);
    }

    /// Queries all nodes that have no query in progress.
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

/// The response to [`VIEW_COMMAND`].
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
    /// Returns the node's number and state; `None` if the name is not one of a node of the run.
    fn into_numbered(self) -> Option<(usize, MemberState)> {
        Some((self.name.strip_prefix('n')?.parse().ok()?, self.state))
    }
}

async fn query_view(admin: SocketAddr) -> io::Result<View> {
    let mut stream = TcpStream::connect(admin).await?;
    stream.write_all(VIEW_COMMAND).await?;
    let mut text = String::new();
    stream.read_to_string(&mut text).await?;
    let ViewResponse { fingerprint, members } = serde_json::from_str(&text)?;
    let members = members.into_iter().filter_map(MemberResponse::into_numbered).collect();
    Ok(View { fingerprint, members })
}
