//! Dispatches messages to a pool's event loop to their handlers.

use pumicehead_flight_recorder::event::Event as RecordedEvent;
use pumicehead_policy::{Event, NodeShare};

use super::PoolLoop;
use crate::net::pool_message::PoolMessage;

impl PoolLoop {
    /// Handles the messages that are waiting now, and dispatches events after each.
    pub(super) fn handle_waiting_messages(&mut self) {
        for _ in 0..self.messages.len() {
            let Ok(message) = self.messages.try_recv() else { return };
            self.handle_message(message);
            self.dispatch_events();
        }
    }

    pub(super) fn handle_message(&mut self, message: PoolMessage) {
        match message {
            PoolMessage::Request(request) => self.on_request(*request),
            PoolMessage::ClientDisconnected(id) => self.on_client_disconnected(id),
            PoolMessage::ResponseStarted { id, attempt, response } => {
                self.on_response_started(id, attempt, response);
            }
            PoolMessage::AttemptEnded(ended) => self.on_attempt_ended(ended),
            PoolMessage::ListReceived { watch, list } => self.on_list_received(watch, list),
            PoolMessage::WatchEnded { watch, error } => self.on_watch_ended(watch, &error),
            PoolMessage::DiscoveryMoved(address) => self.move_discovery(address),
            PoolMessage::SetEndpoints(list) => self.on_set_endpoints(list),
            PoolMessage::UpdateSettings(settings) => self.update_settings(*settings),
            PoolMessage::SetNodeShare(share) => self.set_node_share(share),
            PoolMessage::Retire(reason) => self.retire(reason),
            PoolMessage::FailAll => self.fail_all(),
            PoolMessage::RefreshOverrides(names) => self.refresh_overrides(&names),
            // The receiver of a reply may have been dropped.
            PoolMessage::CountEndpoints(reply) => drop(reply.send(self.endpoint_counts())),
            PoolMessage::GetWarmState(reply) => drop(reply.send(self.balancer.warm_state(self.now()))),
        }
    }

    fn set_node_share(&mut self, share: NodeShare) {
        self.record(&RecordedEvent::NodeShareChanged {
            nodes: share.node_count,
            node_index: share.node_index,
        });
        self.events.push_back(Event::NodeShare(share));
    }
}
