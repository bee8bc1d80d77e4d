//! Stalls of this process: it was stopped by the system, or got no CPU time for long.
//!
//! After a stall, everything in flight seems to have taken that long, all rates seem to have fallen, and the
//! requests that clients sent in the meantime arrive at once. None of that is caused by the endpoints.

use crate::balancer::Balancer;
use crate::{Nanos, SECOND};

/// Maximum time after a stall in which the length of the queue is not used to reject new requests.
const MAX_RECOVERY: Nanos = SECOND;

/// Recovery from the last stall.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StallRecovery {
    /// Time since which this process has run without a stall.
    pub resumed_at: Nanos,
    /// Time until which requests that arrived during the stall are worked off.
    recovers_until: Nanos,
}

impl StallRecovery {
    pub fn is_recovering(&self, now: Nanos) -> bool {
        now < self.recovers_until
    }
}

impl Balancer {
    /// Accounts for a stall of this process that lasted `span` and ended at `now`. Must be called before the
    /// events that arrived during the stall are handled.
    ///
    /// Attempts in flight are judged by the time that this process was running. Deadlines and obligations to
    /// endpoints (drains, slow start) still follow the clock.
    pub fn recover_from_stall(&mut self, now: Nanos, span: Nanos) {
        self.now = self.now.max(now);
        for endpoint in self.endpoints.iter_mut() {
            endpoint.in_flight.iter_mut().for_each(|attempt| attempt.sent_at += span);
            endpoint.latency_ratio.updated_at += span;
            endpoint.sent_rate.exclude_span(span);
        }
        self.traffic.exclude_span(span);
        self.queue.exclude_span(span);
        let recovers_until = self.now + span.min(MAX_RECOVERY);
        self.stall = StallRecovery { resumed_at: self.now, recovers_until };
    }
}
