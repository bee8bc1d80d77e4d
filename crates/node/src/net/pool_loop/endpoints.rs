//! Loads and watches the pool's list of endpoints, and publishes it to the decision module.

use std::error::Error;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use pumicehead_policy::{EndpointUpdate, Event, Nanos, SECOND};
use tracing::warn;

use super::timers::TimerKind;
use super::{EndpointSource, PoolLoop};
use crate::net::clock::MILLISECOND;
use crate::net::discovery::{AGENT_RETRY_DELAY, EndpointList};
use crate::net::endpoint_directory::UnknownZoneError;
use crate::net::pool_message::{EndpointCounts, Retirement};

/// How long a pool that was removed from the configuration still starts attempts; well within the 2 s in which a
/// drain must be honoured.
const RETIREMENT_GRACE: Nanos = SECOND;

impl PoolLoop {
    /// Loads the first list and starts the watch if the source requires it.
    pub(super) fn load_endpoints(&mut self, source: EndpointSource) {
        match source {
            EndpointSource::Fixed(list) => self.set_endpoints(list),
            EndpointSource::Watch { last_list, poll_at_start, .. } => {
                let start_now = self.list_is_pushed || poll_at_start || last_list.is_none();
                if let Some(list) = last_list {
                    self.restore_list(list);
                }
                if start_now {
                    self.start_watch();
                }
            }
        }
    }

    /// Restores the last known list. A list that can't be used counts as empty.
    fn restore_list(&mut self, list: EndpointList) {
        if let Err(error) = self.apply_list(list, true) {
            warn!(target: "discovery", %error, "endpoint list of the configuration ignored");
            self.events.push_back(Event::EndpointsUpdated(EndpointUpdate::Restored(Arc::from([]))));
            self.directory.version = 0;
        }
    }

    /// Starts a watch, which replaces a running one.
    fn start_watch(&mut self) {
        if !self.retired {
            self.watch.start(self.directory.version, self.list_is_pushed, self.sender.clone());
        }
    }

    /// Starts a watch unless one is running. A running watch is as good as a new one, which would only wait behind
    /// it.
    pub(super) fn ensure_watch(&mut self) {
        if !self.watch.is_running() {
            self.start_watch();
        }
    }

    /// Switches the watch to another discovery service. Each service has its own versions, so the complete list is
    /// requested.
    pub(super) fn move_discovery(&mut self, address: SocketAddr) {
        if self.watch.set_address(address) {
            self.directory.version = 0;
            self.start_watch();
        }
    }

    /// Applies a list received by the running watch. A list that can't be used ends the watch.
    pub(super) fn on_list_received(&mut self, watch: u64, list: EndpointList) {
        if self.watch.is_current(watch)
            && let Err(error) = self.apply_list(list, false)
        {
            self.on_watch_ended(watch, &error);
        }
    }

    /// Handles the end of a watch. The watch of an agent is retried by a timer; for other watches, the decision
    /// module decides.
    pub(super) fn on_watch_ended(&mut self, watch: u64, error: &dyn Error) {
        if !self.watch.is_current(watch) {
            return;
        }
        self.watch.stop();
        warn!(target: "discovery", %error, "watch lost");
        if self.list_is_pushed {
            self.arm(self.now() + nanos(AGENT_RETRY_DELAY), TimerKind::RetryWatch);
        } else {
            self.events.push_back(Event::EndpointsUpdated(EndpointUpdate::WatchFailed));
        }
    }

    /// Applies the endpoints of a reloaded configuration.
    pub(super) fn on_set_endpoints(&mut self, mut list: EndpointList) {
        self.directory.assign_start_times(&mut list, self.now() / MILLISECOND);
        self.set_endpoints(list);
    }

    /// Applies the endpoints of the configuration, whose zones are known.
    pub(super) fn set_endpoints(&mut self, list: EndpointList) {
        if let Err(error) = self.apply_list(list, false) {
            warn!(target: "settings", %error, "endpoints of the configuration ignored");
        }
    }

    fn apply_list(&mut self, list: EndpointList, is_restored: bool) -> Result<(), UnknownZoneError> {
        let update = self.directory.apply(list, is_restored)?;
        self.publish(update);
        Ok(())
    }

    /// Passes an update to the recorder and to the decision module.
    pub(super) fn publish(&mut self, update: EndpointUpdate) {
        if let Some(recorder) = &self.recorder {
            recorder.record_endpoints(&update, |id| self.directory.name(id));
        }
        self.events.push_back(Event::EndpointsUpdated(update));
    }

    /// Applies changed admin overrides to the endpoints with these names.
    pub(super) fn refresh_overrides(&mut self, names: &[String]) {
        if let Some(update) = self.directory.refresh_overrides(names) {
            self.publish(update);
        }
    }

    /// Counts the endpoints, and those that get no new requests.
    pub(super) fn endpoint_counts(&self) -> EndpointCounts {
        let ids = self.directory.ids();
        let listed = ids.clone().count();
        let unavailable =
            ids.filter(|&id| !self.directory.is_ready(id) || self.balancer.is_unavailable(id)).count();
        EndpointCounts { listed, unavailable }
    }

    /// Makes this loop end after its last request. No route leads to this pool any more, but requests that were
    /// admitted before may still arrive. If the pool was removed from the configuration, its endpoints are removed
    /// after [`RETIREMENT_GRACE`].
    pub(super) fn retire(&mut self, reason: Retirement) {
        self.retired = true;
        self.watch.stop();
        if reason == Retirement::Removed {
            self.arm(self.now() + RETIREMENT_GRACE, TimerKind::ClearEndpoints);
        }
    }
}

fn nanos(duration: Duration) -> Nanos {
    duration.as_nanos() as Nanos
}
