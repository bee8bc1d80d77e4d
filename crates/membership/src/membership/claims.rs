//! Claims about members: merging them into the table, and the effects of changes.

use super::{Event, Membership, Output};
use crate::entry::{MemberClaim, MemberEntry, NEVER_HEARD};
use crate::record::MemberId;
use crate::settings::FLAP_THRESHOLD;
use crate::state::MemberState;
use crate::suspicion::Suspicion;
use crate::table::MergeOutcome;
use crate::wire::WireEntry;
use crate::{Nanos, SECOND, elapsed};

/// A member raises its incarnation by one at a time. A claim whose incarnation is further ahead of the known record than this is
/// forged or corrupt.
const MAX_INCARNATION_JUMP: u64 = 1 << 20;
/// Delay of updates about a flapping member, added once for each state change beyond the threshold.
const FLAP_DELAY: Nanos = 5 * SECOND;
/// Maximum delay, as a multiple of [`FLAP_DELAY`].
const MAX_FLAP_DELAY_FACTOR: u32 = 4;

impl Membership {
    /// Applies the claims of received entries.
    pub(super) fn apply_entries(&mut self, now: Nanos, entries: &[WireEntry]) {
        for entry in entries {
            if let Some(claim) = MemberClaim::from_wire(entry, now) {
                self.apply_claim(now, &claim);
            }
        }
    }

    /// Applies an observation that this member made of another one.
    pub(super) fn apply_observation(
        &mut self,
        now: Nanos,
        id: MemberId,
        state: MemberState,
        connection_refused: bool,
    ) {
        let Some(entry) = self.table.get(id) else { return };
        let claim = MemberClaim {
            encoded: entry.encoded.clone(),
            state,
            connection_refused,
            state_since: now as i64,
            reporter: self.id,
        };
        self.apply_claim(now, &claim);
    }

    /// Merges a claim into the table, unless it is implausible, expired, or outdated by a later message of the member.
    fn apply_claim(&mut self, now: Nanos, claim: &MemberClaim) {
        let id = claim.id();
        if id == self.id {
            return self.on_claim_about_self(now, claim);
        }
        if !claim.state.is_active() && elapsed(now, claim.state_since) > self.settings.tombstone_retention {
            return;
        }
        if self.is_implausible(claim) {
            return;
        }
        if self.is_outdated_accusation(claim) {
            return self.forward_to_accused(now, claim);
        }
        let previous_epoch = self.table.get(id).map(|entry| entry.record().version().epoch);
        match self.table.merge(claim) {
            MergeOutcome::Ignored => {}
            MergeOutcome::Unchanged => self.confirm_suspicion(now, claim),
            MergeOutcome::Inserted => self.on_claim_merged(now, None, claim),
            MergeOutcome::Updated { previous } => {
                self.on_claim_merged(now, Some(previous), claim);
                if previous_epoch != Some(claim.record().version().epoch) {
                    self.reset_observations(id);
                }
            }
        }
    }

    fn is_implausible(&self, claim: &MemberClaim) -> bool {
        let Some(entry) = self.table.get(claim.id()) else { return false };
        let (known, claimed) = (entry.record().version(), claim.record().version());
        claimed.epoch == known.epoch
            && claimed.incarnation.0 > known.incarnation.0.saturating_add(MAX_INCARNATION_JUMP)
    }

    /// Whether a claim would worsen the state of a member from which a message arrived after the claimed state change.
    fn is_outdated_accusation(&self, claim: &MemberClaim) -> bool {
        let Some(entry) = self.table.get(claim.id()) else { return false };
        let is_accusation =
            matches!(claim.state, MemberState::Stalled | MemberState::Suspect | MemberState::Dead);
        claim.record().version() == entry.record().version()
            && is_accusation
            && claim.state > entry.state
            && entry.last_heard > claim.state_since
    }

    /// Forwards an accusation to the accused member, which can refute it, instead of applying it.
    fn forward_to_accused(&mut self, now: Nanos, claim: &MemberClaim) {
        let Some(entry) = self.table.get(claim.id()) else { return };
        let Some(to) = self.address_of(entry) else { return };
        let claimed = MemberEntry {
            state: claim.state,
            connection_refused: claim.connection_refused,
            state_since: claim.state_since,
            reporter: claim.reporter,
            ..entry.clone()
        };
        let mut datagram = self.new_gossip();
        datagram.updates.push(claimed.to_wire(now));
        self.send_datagram(&datagram, to);
    }

    fn confirm_suspicion(&mut self, now: Nanos, claim: &MemberClaim) {
        if let Some(suspicion) = self.suspicions.get_mut(&claim.id())
            && suspicion.confirm(claim.reporter, claim.connection_refused)
        {
            self.broadcast(now, claim.id());
        }
    }

    /// Resets what was observed of a member's previous process.
    fn reset_observations(&mut self, id: MemberId) {
        if let Some(entry) = self.table.get_mut(id) {
            entry.last_heard = NEVER_HEARD;
            entry.reachable_from_here = true;
            entry.consecutive_indirect_acks = 0;
        }
    }

    /// Handles a claim that changed the table. `previous` is the member's previous state, or `None` for a new member.
    fn on_claim_merged(&mut self, now: Nanos, previous: Option<MemberState>, claim: &MemberClaim) {
        let (id, state) = (claim.id(), claim.state);
        let has_changed = previous != Some(state);
        if has_changed && previous.is_some() {
            self.count_flap(now, id);
        }
        self.broadcast(now, id);
        if state.is_active() && !previous.is_some_and(MemberState::is_active) {
            self.probe_schedule.insert(id, &mut self.rng);
        }
        match state {
            MemberState::Alive => {
                self.suspicions.remove(&id);
                self.unresponsive_since.remove(&id);
                self.resolve_number_conflict(now, id);
            }
            MemberState::Stalled | MemberState::Suspect => self.begin_suspicion(
                now,
                id,
                Suspicion {
                    started_at: now,
                    accusers: vec![claim.reporter],
                    connection_refused: claim.connection_refused,
                    stalled: state == MemberState::Stalled,
                },
            ),
            MemberState::Dead | MemberState::Left => {
                self.suspicions.remove(&id);
            }
        }
        if has_changed {
            let name = claim.record().name.clone();
            let reporter = self.name_of(claim.reporter).to_owned();
            let event = Event::StateChanged { name, from: previous, to: state, reporter };
            self.outputs.push_back(Output::Event(event));
        }
    }

    /// Counts a state change of a member. The count restarts if nothing was heard from it within the flap window.
    fn count_flap(&mut self, now: Nanos, id: MemberId) {
        let window = self.settings.flap_window as i64;
        let Some(entry) = self.table.get_mut(id) else { return };
        let was_silent = (now as i64).saturating_sub(entry.last_heard.max(0)) > window;
        entry.flap_count = if was_silent { 1 } else { entry.flap_count.saturating_add(1) };
    }

    /// Queues an update about a member, with a delay if the member is flapping.
    fn broadcast(&mut self, now: Nanos, id: MemberId) {
        let Some(entry) = self.table.get(id) else { return };
        let excess = u32::from(entry.flap_count).saturating_sub(FLAP_THRESHOLD * 2);
        if excess > 0 {
            let delay = FLAP_DELAY * Nanos::from(excess.min(MAX_FLAP_DELAY_FACTOR));
            self.broadcasts.enqueue_at(id, now + delay);
        } else {
            self.broadcasts.enqueue(id);
        }
    }
}
