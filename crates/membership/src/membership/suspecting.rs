//! Start and expiry of suspicions, and the choice of members that verify them first.

use super::Membership;
use super::timers::Timer;
use crate::Nanos;
use crate::record::{MemberId, stable_hash};
use crate::state::MemberState;
use crate::suspicion::{MAX_CONFIRMATIONS, Suspicion};

impl Membership {
    /// Starts a suspicion. About [`MAX_CONFIRMATIONS`] members, chosen by a hash that is the same on all members, probe the
    /// suspect next. This confirms the suspicion quickly without a burst of probes from all members.
    pub(super) fn begin_suspicion(&mut self, now: Nanos, suspect: MemberId, suspicion: Suspicion) {
        if self.suspicions.is_empty() {
            self.timers.set(Timer::SuspicionSweep, now);
        }
        self.suspicions.insert(suspect, suspicion);
        let ranks_per_member = u64::MAX / self.table.active_count().max(1) as u64;
        if verifier_rank(self.id, suspect) <= ranks_per_member.saturating_mul(MAX_CONFIRMATIONS as u64) {
            self.probe_schedule.prioritize(suspect);
            if self.probe.is_none() {
                self.timers.set_no_later_than(Timer::Probe, now);
            }
        }
    }

    /// Declares members dead whose suspicions have expired.
    pub(super) fn expire_suspicions(&mut self, now: Nanos) {
        let expired = self.suspicions.iter().filter(|(_, suspicion)| self.expires_at(suspicion) <= now);
        let mut expired: Vec<_> = expired.map(|(id, _)| *id).collect();
        expired.sort_unstable();
        for id in expired {
            let Some(suspicion) = self.suspicions.remove(&id) else { continue };
            if self.table.is_active(id) {
                self.apply_observation(now, id, MemberState::Dead, suspicion.connection_refused);
            }
        }
    }

    fn expires_at(&self, suspicion: &Suspicion) -> Nanos {
        suspicion.expires_at(&self.settings, self.id, self.table.active_count(), self.awareness)
    }
}

/// Rank of a verifier for a suspect, uniformly distributed over all 64-bit numbers. Those with the lowest ranks verify first.
fn verifier_rank(verifier: MemberId, suspect: MemberId) -> u64 {
    stable_hash(&[&verifier.0.to_le_bytes(), &suspect.0.to_le_bytes()])
}
