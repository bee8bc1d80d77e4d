//! What is passed on: who changed, how often it was told, what was told least comes first.

use std::collections::BTreeSet;

use rustc_hash::FxHashMap;

use crate::Nanos;
use crate::card::MemberId;

/// News wait here no longer than the largest fleet needs: beyond so many the most often told go first, and whole views are
/// compared anyway.
const MOST: usize = 4_096;

/// The queue.
#[derive(Clone, Debug, Default)]
pub struct BroadcastQueue {
    told: FxHashMap<MemberId, (u32, u64)>,
    order: BTreeSet<(u32, u64, MemberId)>,
    /// Who comes and goes is told of later, once.
    later: BTreeSet<(Nanos, MemberId)>,
    count: u64,
}

impl BroadcastQueue {
    /// Something about a member is new.
    pub fn add(&mut self, key: MemberId) {
        self.remove(key);
        self.count += 1;
        // Of what was told as often, the oldest first.
        self.told.insert(key, (0, self.count));
        self.order.insert((0, self.count, key));
        if self.order.len() > MOST
            && let Some(&(.., last)) = self.order.last()
        {
            self.remove(last);
        }
    }

    /// The same, told no sooner than this.
    pub fn add_at(&mut self, key: MemberId, at: Nanos) {
        self.remove(key);
        self.later.retain(|(_, other)| *other != key);
        self.later.insert((at, key));
    }

    /// What was put off until now is due.
    pub fn due(&mut self, now: Nanos) {
        while let Some(&(at, key)) = self.later.first()
            && at <= now
        {
            self.later.pop_first();
            self.add(key);
        }
    }

    /// When something that was put off is due.
    #[must_use]
    pub fn next(&self) -> Option<Nanos> {
        self.later.first().map(|(at, _)| *at)
    }

    /// Whether there is anything to tell.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    fn remove(&mut self, key: MemberId) {
        if let Some((times, count)) = self.told.remove(&key) {
            self.order.remove(&(times, count, key));
        }
    }

    /// Takes what fits into so many bytes; `size` says how many a member's entry takes, `None` where there is none any more.
    /// What has been told `most` times is dropped.
    pub fn take(
        &mut self,
        mut room: usize,
        most: u32,
        mut size: impl FnMut(MemberId) -> Option<usize>,
    ) -> Vec<MemberId> {
        let mut taken = Vec::new();
        let first: Vec<_> = self.order.iter().map(|(.., key)| *key).take(MOST_LOOKED_AT).collect();
        for key in first {
            let Some(bytes) = size(key) else {
                self.remove(key);
                continue;
            };
            if bytes > room {
                continue;
            }
            room -= bytes;
            taken.push(key);
            if let Some((times, count)) = self.told.remove(&key) {
                self.order.remove(&(times, count, key));
                if times + 1 < most {
                    self.told.insert(key, (times + 1, count));
                    self.order.insert((times + 1, count, key));
                }
            }
        }
        taken
    }
}

/// Entries looked at for one datagram: it holds some twelve.
const MOST_LOOKED_AT: usize = 24;

/// How often each member tells a piece of news: a few more than the rounds in which it doubles through the fleet.
#[must_use]
pub fn retransmit_limit(members: usize) -> u32 {
    3 + usize::BITS - members.leading_zeros()
}
