//! Where members are reached, and random choices among them.

use std::net::SocketAddr;

use rand_core::RngCore;

use super::Membership;
use crate::entry::MemberEntry;
use crate::random::shuffle;
use crate::record::{MemberId, Phase};
use crate::state::MemberState;

/// Tables over this size are sampled instead of scanned.
const SAMPLING_THRESHOLD: usize = 64;
/// Samples drawn for each member that is wanted.
const SAMPLES_PER_MEMBER: usize = 8;

impl Membership {
    /// The address of a member: the configured override, or the one in its record.
    pub(super) fn address_of(&self, entry: &MemberEntry) -> Option<SocketAddr> {
        self.address_overrides.get(&entry.id()).copied().or_else(|| entry.record().socket_address())
    }

    /// The address of a known member.
    pub(super) fn address_of_id(&self, id: MemberId) -> Option<SocketAddr> {
        self.table.get(id).and_then(|entry| self.address_of(entry))
    }

    /// Up to `count` random active members other than this one for which `is_eligible` holds. In a large table fewer than
    /// exist may be found.
    pub(super) fn random_members(
        &mut self,
        count: usize,
        is_eligible: impl Fn(&MemberEntry) -> bool,
    ) -> Vec<MemberId> {
        let own_id = self.id;
        let is_eligible =
            |entry: &MemberEntry| entry.id() != own_id && entry.state.is_active() && is_eligible(entry);
        if self.table.len() > SAMPLING_THRESHOLD {
            return self.sample_members(count, is_eligible);
        }
        let eligible = self.table.iter().filter(|entry| is_eligible(entry));
        let mut ids: Vec<_> = eligible.map(MemberEntry::id).collect();
        ids.sort_unstable();
        shuffle(&mut ids, &mut self.rng);
        ids.truncate(count);
        ids
    }

    fn sample_members(&mut self, count: usize, is_eligible: impl Fn(&MemberEntry) -> bool) -> Vec<MemberId> {
        let mut ids = Vec::new();
        for _ in 0..SAMPLES_PER_MEMBER * count {
            let slot = self.rng.next_u64() as usize % self.table.len();
            let entry = self.table.entry_at(slot);
            if is_eligible(entry) && !ids.contains(&entry.id()) {
                ids.push(entry.id());
            }
            if ids.len() == count {
                break;
            }
        }
        ids
    }

    /// Up to `count` members to send requests to, as names and addresses: alive, serving and reachable from here; those of the
    /// own zone first, in random order.
    pub fn select_peers(&mut self, count: usize) -> Vec<(String, SocketAddr)> {
        let is_fit = |entry: &&MemberEntry| {
            entry.id() != self.id
                && entry.state == MemberState::Alive
                && entry.reachable_from_here
                && entry.record().phase() == Phase::Serving
        };
        let fit = self.table.iter().filter(is_fit).filter_map(|entry| Some((entry, self.address_of(entry)?)));
        let mut all: Vec<_> = fit
            .map(|(entry, address)| {
                let record = entry.record();
                ((record.zone != self.record.zone, entry.id()), (record.name.clone(), address))
            })
            .collect();
        all.sort_by_key(|(order, _)| *order);
        let near = all.iter().take_while(|((is_far, _), _)| !is_far).count();
        for span in [0..near, near..all.len()] {
            for place in span.clone().rev() {
                let other = span.start + self.rng.next_u64() as usize % (place - span.start + 1);
                all.swap(place, other);
            }
        }
        all.into_iter().take(count).map(|(_, peer)| peer).collect()
    }
}
