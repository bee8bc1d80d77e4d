//! Stalls of this process: stopped by the system, or without a processor for long.
//!
//! Everything in flight meanwhile seems to have taken as long, all rates seem to have fallen, and what
//! clients sent arrives at once. None of that is the endpoints' doing.

use crate::balancer::Balancer;
use crate::{Nanos, SECOND};

/// Longest time for which the queue's length after a stall isn't held against new requests.
const MAX_RECOVERY: Nanos = SECOND;

/// The last stall.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StallRecovery {
    /// Since when this process has run without a stall.
    pub resumed_at: Nanos,
    /// Until when it works off what arrived during the stall.
    recovers_until: Nanos,
}

impl StallRecovery {
    pub fn is_recovering(&self, now: Nanos) -> bool {
        now < self.recovers_until
    }
}

impl Balancer {
    /// Takes in that this process was stalled for `span` until `now`. Must be called before the events that
    /// arrived meanwhile are handled.
    ///
    /// Attempts in flight are judged by the time that this process ran. Deadlines and obligations to
    /// endpoints (drains, slow start) go by the clock as before.
    pub fn recover_from_stall(&mut self, now: Nanos, span: Nanos) {
        self.now = self.now.max(now);
        for endpoint in self.endpoints.iter_mut() {
            endpoint.in_flight.iter_mut().for_each(|attempt| attempt.sent_at += span);
            endpoint.latency_ratio.updated_at += span;
            endpoint.sent_rate.skip(span);
        }
        self.traffic.skip(span);
        self.queue.skip(span);
        let recovers_until = self.now + span.min(MAX_RECOVERY);
        self.stall = StallRecovery { resumed_at: self.now, recovers_until };
    }
}
