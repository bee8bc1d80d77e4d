//! Addresses of members, and random selection of members.

use std::net::SocketAddr;

use rand_core::RngCore;

use super::Membership;
use crate::entry::MemberEntry;
use crate::random::shuffle;
use crate::record::MemberId;

/// Tables with more entries than this are sampled instead of scanned.
const SAMPLING_THRESHOLD: usize = 64;
/// Number of samples drawn for each requested member.
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

    /// Returns up to `count` random active members, other than the local one, for which `is_eligible` is true. In a large table
    /// sampling may find fewer than there are.
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
}
