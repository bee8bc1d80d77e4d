//! The handle through which listeners and configuration changes reach a pool's event loop.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};

use pumicehead_flight_recorder::event::{Event, ListenerRejection};
use pumicehead_policy::WarmState;
use pumicehead_policy::{NodeShare, RequestId, Settings};
use tokio::sync::{mpsc, oneshot};

use crate::net::active_requests::{ActiveRequestIds, RequestIdGuard};
use crate::net::discovery::EndpointList;
use crate::net::exchange::{FinalResponse, ProxyRequest};
pub use crate::net::pool_message::Retirement;
use crate::net::pool_message::{EndpointCounts, NewProxyRequest, PoolMessage};
use crate::net::recorder_sink::RecorderSink;

/// Sends messages to a pool's event loop. Messages to a loop that has ended are dropped.
#[derive(Clone)]
pub struct PoolHandle {
    messages: mpsc::UnboundedSender<PoolMessage>,
    /// Shared by all clones. The event loop holds a weak reference, which tells it whether any clone is left.
    next_id: Rc<Cell<u32>>,
    active_requests: ActiveRequestIds,
    recorder: Option<RecorderSink>,
}

/// Reports a client disconnect to the event loop when dropped, unless the response was received first.
struct DisconnectNotifier<'a> {
    handle: &'a PoolHandle,
    id: RequestId,
    answered: bool,
}

impl Drop for DisconnectNotifier<'_> {
    fn drop(&mut self) {
        if !self.answered {
            self.handle.send(PoolMessage::ClientDisconnected(self.id));
        }
    }
}

impl PoolHandle {
    /// Returns a handle, and a weak reference that tells the event loop whether any clone of the handle is left.
    pub(in crate::net) fn new(
        messages: mpsc::UnboundedSender<PoolMessage>,
        active_requests: ActiveRequestIds,
        recorder: Option<RecorderSink>,
    ) -> (Self, Weak<Cell<u32>>) {
        let next_id = Rc::default();
        let alive = Rc::downgrade(&next_id);
        (Self { messages, next_id, active_requests, recorder }, alive)
    }

    /// Records that a listener rejected a request of this class without sending it to the pool.
    pub fn record_local_rejection(&self, class: usize, reason: ListenerRejection) {
        if let Some(recorder) = &self.recorder {
            recorder.record(&Event::RejectedByListener { class: class as u16, reason });
        }
    }

    /// Sends a request, whose correlation id `id_guard` reserves, to the pool and waits for its final response. Dropping
    /// the future reports a client disconnect.
    pub(in crate::net) async fn proxy(
        &self,
        request: ProxyRequest,
        id_guard: Rc<RequestIdGuard>,
    ) -> FinalResponse {
        let active_guard = self.active_requests.count_request();
        let id = self.allocate_id();
        let mut notifier = DisconnectNotifier { handle: self, id, answered: false };
        let (responder, response) = oneshot::channel();
        self.send(PoolMessage::Request(Box::new(NewProxyRequest {
            id,
            request,
            responder,
            id_guard: id_guard.clone(),
        })));
        let response = response.await;
        notifier.answered = true;
        // A loop that has ended drops the responder.
        let mut response = response.unwrap_or(FinalResponse::Failed);
        if let FinalResponse::Upstream(upstream) = &mut response {
            upstream.body.on_end(move |_| drop((id_guard, active_guard)));
        }
        response
    }

    fn allocate_id(&self) -> RequestId {
        let id = RequestId(self.next_id.get());
        self.next_id.set(id.0.wrapping_add(1));
        id
    }

    /// Switches the watch to the discovery service at another address.
    pub fn move_discovery(&self, address: SocketAddr) {
        self.send(PoolMessage::DiscoveryMoved(address));
    }

    /// Replaces the endpoints of a pool that lists them in the configuration.
    pub fn set_endpoints(&self, list: EndpointList) {
        self.send(PoolMessage::SetEndpoints(list));
    }

    /// Replaces the settings of the decision module; [`Settings::can_update_to`] must allow it.
    pub fn update_settings(&self, settings: Box<Settings>) {
        self.send(PoolMessage::UpdateSettings(settings));
    }

    /// Sets how many nodes share the endpoints, and the index of this node.
    pub fn set_node_share(&self, share: NodeShare) {
        self.send(PoolMessage::SetNodeShare(share));
    }

    /// Ends the event loop once all its requests are done and no handle is left.
    pub fn retire(&self, reason: Retirement) {
        self.send(PoolMessage::Retire(reason));
    }

    /// Applies changed admin overrides to the endpoints with these names.
    pub fn refresh_overrides(&self, names: Vec<String>) {
        self.send(PoolMessage::RefreshOverrides(names));
    }

    /// Counts the endpoints; returns zero if the event loop has ended.
    pub async fn endpoint_counts(&self) -> EndpointCounts {
        let (reply, counts) = oneshot::channel();
        self.send(PoolMessage::CountEndpoints(reply));
        counts.await.unwrap_or_default()
    }

    /// Returns what the decision module has learned, or `None` if the event loop has ended.
    pub async fn warm_state(&self) -> Option<WarmState> {
        let (reply, warm_state) = oneshot::channel();
        self.send(PoolMessage::GetWarmState(reply));
        warm_state.await.ok()
    }

    /// Fails all active requests, because the process is about to exit.
    pub fn fail_all(&self) {
        self.send(PoolMessage::FailAll);
    }

    fn send(&self, message: PoolMessage) {
        // Fails if the event loop has ended.
        let _ = self.messages.send(message);
    }
}
