//! The watch of a service that lists servers: one at a time, and what an earlier one says is old news.

use std::net::SocketAddr;

use tokio::sync::mpsc;
use tokio::task::{self, AbortHandle};

use crate::net::discovery;
use crate::net::pool_message::PoolMessage;

/// The watch of a loop.
pub(in crate::net) struct WatchTask {
    /// Where it is; `None` where the configuration has the servers.
    address: Option<SocketAddr>,
    current: Option<(u64, AbortHandle)>,
    count: u64,
}

impl WatchTask {
    /// None yet.
    pub fn new(address: Option<SocketAddr>) -> Self {
        Self { address, current: None, count: 0 }
    }

    /// Whether there is a service to watch.
    pub fn has_service(&self) -> bool {
        self.address.is_some()
    }

    /// Another address; tells whether that changes anything.
    pub fn set_address(&mut self, address: SocketAddr) -> bool {
        let other = self.address.is_some_and(|old| old != address);
        if other {
            self.address = Some(address);
        }
        other
    }

    /// Begins anew, after a version of the list; what comes is told by messages with the watch's number.
    pub fn start(&mut self, after: u64, agent: bool, messages: mpsc::UnboundedSender<PoolMessage>) {
        self.stop();
        let Some(address) = self.address else { return };
        self.count += 1;
        let number = self.count;
        let watch = task::spawn_local(async move {
            let take = |list| drop(messages.send(PoolMessage::ListReceived(number, list)));
            let error = discovery::watch(address, after, agent, take).await;
            let _ = messages.send(PoolMessage::WatchEnded(number, error));
        });
        self.current = Some((number, watch.abort_handle()));
    }

    /// Whether one is.
    pub fn is_running(&self) -> bool {
        self.current.is_some()
    }

    /// Whether a number is that of the watch under way.
    pub fn is_current(&self, number: u64) -> bool {
        self.current.as_ref().is_some_and(|(current, _)| *current == number)
    }

    /// Ends the watch under way.
    pub fn stop(&mut self) {
        if let Some((_, task)) = self.current.take() {
            task.abort();
        }
    }
}
