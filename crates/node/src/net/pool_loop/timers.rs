//! Timers of a pool's event loop.

use pumicehead_policy::{Event, Nanos, RequestId, SECOND, TimerToken};

use super::PoolLoop;
use crate::net::discovery::EndpointList;

/// The loop fails a request that has no final response this long after its deadline. The decision module normally
/// acts earlier, on the timeout of an attempt or on its own timers.
pub(super) const OVERDUE_MARGIN: Nanos = SECOND / 100;
/// An overdue request with an attempt in flight waits this long for the attempt to report its end.
const LATE_ATTEMPT_MARGIN: Nanos = SECOND / 10;
/// Interval between sweeps of idle connections.
pub(super) const SWEEP_INTERVAL: Nanos = SECOND;

/// Purpose of a timer. Timers that are due at the same time fire in the order of the variants.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum TimerKind {
    /// Armed by the decision module, with its token.
    Policy(u64),
    /// Fails a request whose deadline has passed.
    RequestOverdue(u32),
    /// Releases the correlation id of a request that no endpoint can still be executing.
    ReleaseId(u32),
    SweepIdleConnections,
    RetryWatch,
    /// Removes the endpoints of a pool that was removed from the configuration.
    ClearEndpoints,
}

/// A timer, ordered by its due time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Timer {
    pub due: Nanos,
    pub kind: TimerKind,
}

impl PoolLoop {
    /// Fires all timers that are due, and dispatches events after each.
    pub(super) fn fire_due_timers(&mut self) {
        while let Some(&timer) = self.timers.first() {
            if timer.due > self.now() {
                return;
            }
            self.timers.pop_first();
            self.fire(timer);
            self.dispatch_events();
        }
    }

    fn fire(&mut self, timer: Timer) {
        match timer.kind {
            TimerKind::Policy(token) => self.events.push_back(Event::TimerFired(TimerToken(token))),
            TimerKind::RequestOverdue(id) => self.on_overdue_timer(timer, RequestId(id)),
            TimerKind::ReleaseId(id) => drop(self.executing_ids.remove(&RequestId(id))),
            TimerKind::SweepIdleConnections => {
                self.directory.transport().sweep();
                self.arm(self.now() + SWEEP_INTERVAL, TimerKind::SweepIdleConnections);
            }
            TimerKind::RetryWatch => self.ensure_watch(),
            TimerKind::ClearEndpoints => {
                self.set_endpoints(EndpointList { complete: true, ..EndpointList::default() });
            }
        }
    }

    fn on_overdue_timer(&mut self, timer: Timer, id: RequestId) {
        if !self.messages.is_empty() {
            // The response may be among the waiting messages, and a loop that runs late must not discard it.
            self.timers.insert(timer);
            self.handle_waiting_messages();
            return;
        }
        match self.extended_due_time(id) {
            Some(due) => self.arm(due, timer.kind),
            None if self.awaits_late_attempt(id) => self.arm(self.now() + LATE_ATTEMPT_MARGIN, timer.kind),
            None => self.fail_overdue(id),
        }
    }

    pub(super) fn arm(&mut self, due: Nanos, kind: TimerKind) {
        self.timers.insert(Timer { due, kind });
    }

    /// Arms a timer of the decision module. A timer for a request that has ended is dropped.
    pub(super) fn arm_policy_timer(&mut self, due: Nanos, token: TimerToken) {
        let timer = Timer { due, kind: TimerKind::Policy(token.0) };
        if let Some(id) = token.request() {
            let Some(in_flight) = self.in_flight.get_mut(&id) else { return };
            in_flight.timers.push(timer);
        }
        self.timers.insert(timer);
    }
}
