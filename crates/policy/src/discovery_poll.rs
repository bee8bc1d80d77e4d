//! Scheduling of discovery polls.

use crate::balancer::Balancer;
use crate::decision_event::DecisionEvent;
use crate::endpoint_info::{DISCOVERY_NOTICE_PERIOD, DISCOVERY_POLL_TIMEOUT};
use crate::timer::Timer;
use crate::{Action, EndpointUpdate, nanos, seconds};

/// After more consecutive failed polls than this, the pause is twice as long.
const SHORT_PAUSE_FAILURES: u32 = 2;
/// The longest pause is at least the time within which an update must be known, divided by this.
const MIN_PAUSE_DIVISOR: u64 = 20;

/// State of the discovery watch.
#[derive(Default)]
pub(crate) struct DiscoveryWatch {
    pub is_watching: bool,
    pub consecutive_failures: u32,
}

impl Balancer {
    pub(crate) fn on_watch_failed(&mut self) {
        self.discovery.is_watching = false;
        self.discovery.consecutive_failures += 1;
        self.decision_log.push(DecisionEvent::WatchLost);
    }

    /// Arms the timer for the next poll after an update, unless discovery is being watched.
    ///
    /// The pause is random, so that nodes that start or lose discovery together don't poll together. By the
    /// platform's protocol, an update is binding [`DISCOVERY_NOTICE_PERIOD`] after it became available, and a
    /// drain one grace period later. That time, less one lost poll and one answered poll, is divided between
    /// two pauses, since a poll may also be rejected. The first pauses take at most half of their part.
    pub(crate) fn schedule_poll(&mut self, update: &EndpointUpdate, actions: &mut Vec<Action>) {
        let max_pause = self.max_poll_pause_s();
        let pause = match update {
            EndpointUpdate::Restored(_) => 0.5 * max_pause * self.random(),
            EndpointUpdate::WatchFailed => {
                let is_short = self.discovery.consecutive_failures <= SHORT_PAUSE_FAILURES;
                let max_pause = if is_short { 0.5 * max_pause } else { max_pause };
                max_pause * (0.5 + 0.5 * self.random())
            }
            EndpointUpdate::Delta(_) | EndpointUpdate::Snapshot(_) => {
                self.on_watch_established();
                return;
            }
        };
        self.arm(self.now + nanos(pause), Timer::DiscoveryPoll, actions);
    }

    pub(crate) fn on_discovery_poll_timer(&self, actions: &mut Vec<Action>) {
        if !self.discovery.is_watching {
            actions.push(Action::Subscribe);
        }
    }

    /// Returns the longest pause between two polls, in seconds.
    fn max_poll_pause_s(&self) -> f64 {
        let notice = DISCOVERY_NOTICE_PERIOD.min(self.settings.poll_interval);
        let spare = (notice + self.settings.drain_grace).saturating_sub(2 * DISCOVERY_POLL_TIMEOUT);
        seconds((spare / 2).max(notice / MIN_PAUSE_DIVISOR))
    }

    fn on_watch_established(&mut self) {
        if !self.discovery.is_watching && self.discovery.consecutive_failures > 0 {
            self.decision_log.push(DecisionEvent::WatchRestored);
        }
        self.discovery = DiscoveryWatch { is_watching: true, consecutive_failures: 0 };
    }
}
