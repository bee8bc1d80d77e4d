//! What each member's view is, asked again and again where it takes calls.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde::Deserialize;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::Notes;
use crate::history::{EventKind, MemberState};

/// A node that does not answer by then stands still, or is gone.
const PATIENCE: Duration = Duration::from_secs(1);

#[derive(Clone, Default)]
struct Seen {
    calls: Cell<Option<SocketAddr>>,
    /// A question is out.
    asked: Cell<bool>,
    last: RefCell<Option<(String, BTreeMap<usize, MemberState>)>>,
}

/// The views of all nodes.
pub(super) struct Views {
    nodes: Vec<Rc<Seen>>,
    /// Nodes are being ended: what they tell of each other from now on is of that.
    over: Rc<Cell<bool>>,
}

#[derive(Deserialize)]
struct View {
    fingerprint: String,
    members: Vec<Entry>,
}

#[derive(Deserialize)]
struct Entry {
    name: String,
    state: MemberState,
}

impl Views {
    pub fn new(nodes: usize) -> Self {
        Self { nodes: (0..nodes).map(|_| Rc::default()).collect(), over: Rc::default() }
    }

    /// A node has started, and takes calls there.
    pub fn started(&mut self, node: usize, calls: SocketAddr) {
        let seen = Seen { calls: Cell::new(Some(calls)), ..Seen::default() };
        self.nodes[node] = Rc::new(seen);
    }

    /// The order at the end begins.
    pub fn end(&self) {
        self.over.set(true);
    }

    /// Asks all that are not being asked; what has changed goes into the history.
    pub fn look(&self, notes: &Notes) {
        for (node, seen) in self.nodes.iter().enumerate() {
            let (Some(calls), false) = (seen.calls.get(), seen.asked.get()) else { continue };
            seen.asked.set(true);
            let (seen, notes, over) = (seen.clone(), notes.clone(), self.over.clone());
            spawn_local(async move {
                if let Ok(Ok(view)) = timeout(PATIENCE, ask(calls)).await {
                    let named =
                        |entry: Entry| Some((entry.name.strip_prefix('n')?.parse().ok()?, entry.state));
                    let holds: BTreeMap<_, _> = view.members.into_iter().filter_map(named).collect();
                    let now = Some((view.fingerprint, holds));
                    if *seen.last.borrow() != now && !over.get() {
                        if let Some((fingerprint, holds)) = &now {
                            let (fingerprint, holds) = (fingerprint.clone(), holds.clone());
                            notes.note(EventKind::MembershipView { node, fingerprint, holds });
                        }
                        *seen.last.borrow_mut() = now;
                    }
                }
                seen.asked.set(false);
            });
        }
    }
}

async fn ask(calls: SocketAddr) -> io::Result<View> {
    let mut stream = TcpStream::connect(calls).await?;
    stream.write_all(b"FLEET members\n").await?;
    let mut text = String::new();
    stream.read_to_string(&mut text).await?;
    Ok(serde_json::from_str(&text)?)
}
