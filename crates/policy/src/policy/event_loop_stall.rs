//! A stall of this process: stopped by its system, or without a processor for long. All that was out
//! meanwhile seems to have taken as long, all rates seem to have fallen, and what clients asked comes at
//! once. Nothing of that is the servers' doing.

use super::Balancer;
use crate::{Nanos, SECOND};

/// What came during a stall is worked off within this, or else it waits for places like anything. Until then
/// the queue's length says nothing of how fast it drains: before a stall a calm node releases what is asked,
/// not what it could.
const CATCH_UP: Nanos = SECOND;

impl Balancer {
    /// This process stood still for `span` until `now`: to be told before any event that came meanwhile.
    ///
    /// Attempts that were out are judged by the time that this process ran; what they are learned to have
    /// taken is decided where they end, by `resumed`. Deadlines and promises to servers (drains, cold ones)
    /// go by the clock as ever.
    pub fn recover_from_stall(&mut self, now: Nanos, span: Nanos) {
        self.now = self.now.max(now);
        for server in &mut self.servers {
            server.out.iter_mut().for_each(|(_, _, sent, _)| *sent += span);
            server.seen += span;
            server.rate.skip(span);
        }
        self.flow.arrivals.skip(span);
        self.flow.served.skip(span);
        self.queues.released.iter_mut().for_each(|rate| rate.skip(span));
        self.flow.demand_at += span;
        self.flow.resumed = self.now;
        self.flow.behind_until = self.now + span.min(CATCH_UP);
    }
}
