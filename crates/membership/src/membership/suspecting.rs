//! The life of a suspicion: who verifies it first, and its expiry.

use super::Membership;
use super::timers::Timer;
use crate::Nanos;
use crate::record::{MemberId, stable_hash};
use crate::state::MemberState;
use crate::suspicion::{MAX_CONFIRMATIONS, Suspicion};

impl Membership {
    /// Starts a suspicion. About [`MAX_CONFIRMATIONS`] members, chosen by a hash that all compute alike, probe the suspect at
    /// once, so that it is confirmed soon without a burst of probes from everybody.
    pub(super) fn begin_suspicion(&mut self, now: Nanos, suspect: MemberId, suspicion: Suspicion) {
        if self.suspicions.is_empty() {
            self.timers.set(Timer::SuspicionSweep, now);
        }
        self.suspicions.insert(suspect, suspicion);
        let share_of_one = u64::MAX / self.table.active_count().max(1) as u64;
        if verifier_rank(self.id, suspect) <= share_of_one.saturating_mul(MAX_CONFIRMATIONS as u64) {
            self.probe_schedule.prioritize(suspect);
            if self.probe.is_none() {
                self.timers.set_no_later_than(Timer::Probe, now);
            }
        }
    }

    /// Declares members dead whose suspicion has expired.
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

/// Rank of a verifier for a suspect, spread evenly over all 64-bit numbers; the lowest verify first.
fn verifier_rank(verifier: MemberId, suspect: MemberId) -> u64 {
    stable_hash(&[&verifier.0.to_le_bytes(), &suspect.0.to_le_bytes()])
}
