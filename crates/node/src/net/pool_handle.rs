//! A front's way to an event loop.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};

use pumicehead_flight_recorder::event::{Event, Turned};
use pumicehead_policy::WarmState;
use pumicehead_policy::{NodeShare, RequestId, Settings};
use rustc_hash::FxHashSet;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::net::discovery::EndpointList;
use crate::net::exchange::{FinalResponse, ProxyRequest};
use crate::net::pool_message::{EndpointCounts, PoolMessage};
use crate::net::recorder_sink::RecorderSink;

/// Requests without a final answer, and the names in use: one of these for all loops of a node.
#[derive(Clone, Default)]
pub struct ActiveRequestIds(Rc<ActiveRequestState>);

#[derive(Default)]
struct ActiveRequestState {
    count: Cell<usize>,
    names: RefCell<FxHashSet<Box<str>>>,
}

impl ActiveRequestIds {
    /// How many requests have no final answer, or one that is on its way.
    pub fn count(&self) -> usize {
        self.0.count.get()
    }

    fn one_more(&self) -> ActiveRequestGuard {
        self.0.count.set(self.count() + 1);
        ActiveRequestGuard(self.clone())
    }

    /// Takes a name; `None` where it is in use.
    fn take(&self, correlation: &str) -> Option<Rc<RequestIdGuard>> {
        let fresh = self.0.names.borrow_mut().insert(correlation.into());
        fresh.then(|| Rc::new(RequestIdGuard { held: self.clone(), correlation: correlation.into() }))
    }
}

/// A front's way to an event loop.
#[derive(Clone)]
pub struct PoolHandle {
    messages: mpsc::UnboundedSender<PoolMessage>,
    /// Shared by all clones; the loop sees by it whether any are left.
    next: Rc<Cell<u32>>,
    held: ActiveRequestIds,
    tap: Option<RecorderSink>,
}

/// The name of a request that has no final answer, whose answer is on its way, or of which an attempt is out.
pub(in crate::net) struct RequestIdGuard {
    held: ActiveRequestIds,
    correlation: Box<str>,
}

impl Drop for RequestIdGuard {
    fn drop(&mut self) {
        self.held.0.names.borrow_mut().remove(&self.correlation);
    }
}

/// One of the requests that count as held.
struct ActiveRequestGuard(ActiveRequestIds);

impl Drop for ActiveRequestGuard {
    fn drop(&mut self) {
        self.0.0.count.set(self.0.count() - 1);
    }
}

/// Tells of a client that left before its answer.
struct DisconnectNotifier<'a> {
    handle: &'a PoolHandle,
    id: RequestId,
    answered: bool,
}

impl Drop for DisconnectNotifier<'_> {
    fn drop(&mut self) {
        if !self.answered {
            let _ = self.handle.messages.send(PoolMessage::ClientDisconnected(self.id));
        }
    }
}

impl PoolHandle {
    pub(in crate::net) fn new(
        messages: mpsc::UnboundedSender<PoolMessage>,
        held: ActiveRequestIds,
        tap: Option<RecorderSink>,
    ) -> (Self, Weak<Cell<u32>>) {
        let next = Rc::default();
        let alive = Rc::downgrade(&next);
        (Self { messages, next, held, tap }, alive)
    }

    /// A front answers a request of a class by itself.
    pub fn record_local_rejection(&self, class: usize, why: Turned) {
        if let Some(tap) = &self.tap {
            tap.record(&Event::Turned { class: class as u16, why });
        }
    }

    /// Waits for the final answer; dropped before, the client is gone. `None`: a request of this name is open,
    /// and this one goes nowhere.
    pub async fn proxy(&self, ask: ProxyRequest) -> Option<FinalResponse> {
        let name = self.held.take(&ask.correlation_id)?;
        let counted = self.held.one_more();
        let id = RequestId(self.next.get());
        self.next.set(id.0.wrapping_add(1));
        let mut waiting = DisconnectNotifier { handle: self, id, answered: false };
        let (sender, answer) = oneshot::channel();
        // A loop that has ended drops the sender, and the answer is a failure.
        let _ =
            self.messages.send(PoolMessage::Request(id, Box::new(ask), Instant::now(), sender, name.clone()));
        let answer = answer.await;
        waiting.answered = true;
        let mut answer = answer.unwrap_or(FinalResponse::Failed);
        if let FinalResponse::Upstream(served) = &mut answer {
            served.body.on_end(move |_| drop((name, counted)));
        }
        Some(answer)
    }

    /// Discovery is at this address from now on.
    pub fn move_discovery(&self, address: SocketAddr) {
        let _ = self.messages.send(PoolMessage::DiscoveryMoved(address));
    }

    /// The servers are these from now on.
    pub fn set_endpoints(&self, list: EndpointList) {
        let _ = self.messages.send(PoolMessage::SetEndpoints(list));
    }

    /// The module goes on with these settings; [`Settings::can_update_to`] must allow it.
    pub fn update_settings(&self, settings: Box<Settings>) {
        let _ = self.messages.send(PoolMessage::UpdateSettings(settings));
    }

    /// So many nodes share the servers from now on.
    pub fn set_node_share(&self, sharing: NodeShare) {
        let _ = self.messages.send(PoolMessage::SetNodeShare(sharing));
    }

    /// No more requests come. The loop ends with the last that it has; where the servers are `gone`, nothing new
    /// goes to them after a grace.
    pub fn retire(&self, gone: bool) {
        let _ = self.messages.send(PoolMessage::Retire { gone });
    }

    /// The book of servers taken out has changed for these names.
    pub fn refresh_overrides(&self, names: Vec<String>) {
        let _ = self.messages.send(PoolMessage::RefreshOverrides(names));
    }

    /// The servers as the loop sees them now; none where it has ended.
    pub async fn endpoint_counts(&self) -> EndpointCounts {
        let (reply, members) = oneshot::channel();
        let _ = self.messages.send(PoolMessage::CountEndpoints(reply));
        members.await.unwrap_or_default()
    }

    /// What the module has learned; none where the loop has ended.
    pub async fn warm_state(&self) -> Option<WarmState> {
        let (reply, learned) = oneshot::channel();
        let _ = self.messages.send(PoolMessage::GetWarmState(reply));
        learned.await.ok()
    }

    /// Has all that is still open fail now: the process is about to end.
    pub fn fail_all(&self) {
        let _ = self.messages.send(PoolMessage::FailAll);
    }
}
