//! Owns the task that watches the discovery service. At most one watch runs at a time; messages of earlier watches
//! are stale.

use std::net::SocketAddr;

use tokio::sync::mpsc;
use tokio::task::{self, AbortHandle};

use crate::net::discovery;
use crate::net::pool_message::PoolMessage;

/// The watch of a pool.
pub(super) struct WatchTask {
    /// Address of the discovery service; `None` if the configuration lists the endpoints.
    address: Option<SocketAddr>,
    current: Option<RunningWatch>,
    last_number: u64,
}

struct RunningWatch {
    number: u64,
    task: AbortHandle,
}

impl WatchTask {
    /// Returns a watch that is not running.
    pub fn new(address: Option<SocketAddr>) -> Self {
        Self { address, current: None, last_number: 0 }
    }

    /// Whether the endpoints come from a discovery service.
    pub fn uses_discovery_service(&self) -> bool {
        self.address.is_some()
    }

    /// Sets the address for the next start; returns whether it has changed.
    pub fn set_address(&mut self, address: SocketAddr) -> bool {
        let changes = self.address.is_some_and(|old| old != address);
        if changes {
            self.address = Some(address);
        }
        changes
    }

    /// Starts a watch after version `after` of the list, which replaces a running one. The lists and the end of the
    /// watch are sent as messages that carry the watch's number.
    pub fn start(&mut self, after: u64, is_agent: bool, messages: mpsc::UnboundedSender<PoolMessage>) {
        self.stop();
        let Some(address) = self.address else { return };
        self.last_number += 1;
        let number = self.last_number;
        let task = task::spawn_local(async move {
            let on_list = |list| drop(messages.send(PoolMessage::ListReceived { watch: number, list }));
            let error = discovery::watch(address, after, is_agent, on_list).await;
            let _ = messages.send(PoolMessage::WatchEnded { watch: number, error });
        });
        self.current = Some(RunningWatch { number, task: task.abort_handle() });
    }

    /// Whether a watch is running.
    pub fn is_running(&self) -> bool {
        self.current.is_some()
    }

    /// Whether the watch with this number is the running one.
    pub fn is_current(&self, number: u64) -> bool {
        self.current.as_ref().is_some_and(|watch| watch.number == number)
    }

    /// Ends the running watch.
    pub fn stop(&mut self) {
        if let Some(watch) = self.current.take() {
            watch.task.abort();
        }
    }
}
