//! Joining through seeds, and reconnecting to members that are dead or no longer in the table.

use std::net::SocketAddr;

use rand_core::RngCore;

use super::timers::Timer;
use super::{Event, Membership, Output};
use crate::entry::MemberEntry;
use crate::record::Phase;
use crate::state::MemberState;
use crate::wire::DatagramKind;
use crate::{Nanos, SECOND};

/// Mean time between the first two join attempts. It doubles with each attempt.
pub(super) const MIN_JOIN_BACKOFF: Nanos = SECOND / 5;
/// Maximum mean time between two join attempts.
const MAX_JOIN_BACKOFF: Nanos = 5 * SECOND;
/// Mean time between two contacts of seeds that are not the address of an active member. They reconnect a fleet that was
/// partitioned for longer than tombstones are retained.
pub(super) const CONTACT_SEED_INTERVAL: Nanos = 60 * SECOND;

impl Membership {
    /// Starts a push/pull exchange with the next seed.
    pub(super) fn join_through_next_seed(&mut self, now: Nanos) {
        let backoff = self.jittered(self.join_backoff);
        self.timers.set(Timer::Join, now + backoff);
        self.join_backoff = (2 * self.join_backoff).min(MAX_JOIN_BACKOFF);
        if self.seeds.is_empty() {
            return;
        }
        let to = self.seeds[self.next_seed % self.seeds.len()];
        self.next_seed += 1;
        self.start_push_pull(now, to);
    }

    /// Makes the next join attempt due at once.
    pub(super) fn reset_join_backoff(&mut self, now: Nanos) {
        self.timers.set(Timer::Join, now);
        self.join_backoff = MIN_JOIN_BACKOFF;
    }

    /// Starts a push/pull exchange with a seed that is not the address of an active member.
    pub(super) fn contact_unknown_seed(&mut self, now: Nanos) {
        let active = self.table.iter().filter(|entry| entry.state.is_active());
        let known: Vec<SocketAddr> = active.filter_map(|entry| self.address_of(entry)).collect();
        let unknown: Vec<_> = self.seeds.iter().filter(|seed| !known.contains(seed)).copied().collect();
        if unknown.is_empty() {
            return;
        }
        let to = unknown[self.next_seed % unknown.len()];
        self.next_seed += 1;
        self.start_push_pull(now, to);
    }

    /// Pings a random dead member, with the claim that it is dead. If the member is back, it refutes the claim.
    pub(super) fn ping_dead_member(&mut self, now: Nanos) {
        if self.table.count_in_state(MemberState::Dead) == 0 {
            return;
        }
        let dead = self.table.iter().filter(|entry| entry.state == MemberState::Dead);
        let mut dead: Vec<_> = dead.map(MemberEntry::id).collect();
        dead.sort_unstable();
        let target = dead[self.rng.next_u64() as usize % dead.len()];
        if self.address_of_id(target).is_none() {
            return;
        }
        let seq = self.last_seq.advance();
        let ping = self.new_datagram(DatagramKind::Ping, seq, target);
        self.send_to_member(now, ping, target);
    }

    /// Completes the join after the first push/pull exchange: announces the phase serving unless the node is in lame duck, and
    /// takes a node number.
    pub(super) fn complete_join(&mut self, now: Nanos) {
        if std::mem::replace(&mut self.joined, true) {
            return;
        }
        self.join_backoff = MIN_JOIN_BACKOFF;
        if self.record.phase() == Phase::Joining {
            self.update_record(now, |record| record.set_phase(Phase::Serving));
        }
        if self.record.node_number == 0 {
            self.take_free_node_number(now);
        }
        let members = self.table.active_count();
        self.outputs.push_back(Output::Event(Event::Joined { members }));
    }
}
