//! What is due when; own stalls, and what is forgotten.

use rand_core::RngCore;

use super::{DOUBTS, Event, JOIN, MOST_SEEDS, Membership, Output, RESEED, TIDY};
use crate::Nanos;
use crate::card::Phase;
use crate::doubt::Suspicion;
use crate::news::BroadcastQueue;
use crate::probe::ProbeHistory;
use crate::settings::STALL_THRESHOLD;
use crate::share::free_node_number;
use crate::state::MemberState;

impl Membership {
    /// When [`Membership::on_timer`] is due.
    #[must_use]
    pub fn next_timer(&self) -> Nanos {
        if self.over {
            return Nanos::MAX;
        }
        let mut next =
            self.probe_at.min(self.sync_at).min(self.recall_at).min(self.reseed_at).min(self.tidy_at);
        if !self.joined {
            next = next.min(self.join_at);
        }
        if !self.news.is_empty() {
            next = next.min(self.gossip_at);
        }
        next = next.min(self.news.next().unwrap_or(Nanos::MAX));
        if let Some(probe) = &self.probe
            && probe.helpers == 0
            && !probe.direct
        {
            next = next.min(probe.help_at);
        }
        next = self.helps.front().map_or(next, |help| next.min(help.ends));
        if self.doubts.is_empty() { next } else { next.min(self.doubts_at) }
    }

    pub(super) fn doubt_ends(&self, doubt: &Suspicion) -> Nanos {
        doubt.expires_at(&self.settings, self.me, self.table.active_count(), self.health)
    }

    /// Does what is due.
    pub fn on_timer(&mut self, now: Nanos) {
        self.wake(now);
        if self.over {
            return;
        }
        self.news.due(now);
        self.end_helps(now);
        if let Some(probe) = &self.probe
            && probe.helpers == 0
            && !probe.direct
            && now >= probe.help_at
        {
            self.ask_others(now);
        }
        if now >= self.probe_at {
            self.conclude(now);
            self.ask_next(now);
        }
        if !self.doubts.is_empty() && now >= self.doubts_at {
            self.doubts_at = now + DOUBTS;
            self.end_doubts(now);
        }
        if !self.joined && now >= self.join_at {
            self.join(now);
        }
        if now >= self.gossip_at {
            self.gossip_at = now + self.settings.gossip_interval;
            if !self.news.is_empty() {
                for to in self.some(self.settings.gossip_fanout, |held| held.state == MemberState::Alive) {
                    self.push(now, to);
                }
            }
        }
        if now >= self.sync_at {
            self.sync_at = now + self.spread(self.settings.push_pull_interval);
            let with = self.some(1, |held| held.state == MemberState::Alive);
            with.into_iter().for_each(|key| self.sync_with(now, key));
        }
        if now >= self.recall_at {
            self.recall_at = now + self.spread(self.settings.reconnect_interval);
            self.recall(now);
        }
        if now >= self.reseed_at {
            self.reseed_at = now + self.spread(RESEED);
            self.reseed(now);
        }
        if now >= self.tidy_at {
            self.tidy_at = now + TIDY;
            self.tidy(now);
        }
    }

    /// A span, drawn around what it is on the mean: members that started together do not go on together.
    pub(super) fn spread(&mut self, span: Nanos) -> Nanos {
        span / 2 + self.rng.next_u64() % span.max(1)
    }

    /// Notices that this process stood still. What ran out meanwhile did not: nobody could have answered it.
    pub(super) fn wake(&mut self, now: Nanos) {
        let due = self.next_timer();
        if self.over || now < due.saturating_add(STALL_THRESHOLD) {
            return;
        }
        let span = now - due;
        self.outputs.push_back(Output::Event(Event::ProcessStalled(span)));
        if span > self.settings.tombstone_retention / 2 {
            return self.begin_anew(now);
        }
        for doubt in self.doubts.values_mut() {
            doubt.started_at += span;
        }
        self.silent.clear();
        self.probe = None;
        self.helps.clear();
        self.luck = ProbeHistory::default();
        self.health.degrade(2);
        self.heard_at += span;
        for at in [
            &mut self.probe_at,
            &mut self.gossip_at,
            &mut self.sync_at,
            &mut self.recall_at,
            &mut self.reseed_at,
            &mut self.join_at,
            &mut self.doubts_at,
        ] {
            *at = (*at).max(now);
        }
        if span > self.settings.probe_interval {
            // Others may hold it for stalled by now, or worse: it says that it is there before anybody asks.
            self.change(now, |_| {});
        }
    }

    /// It was away for so long that others have forgotten what it still holds: none of that may come back through it.
    fn begin_anew(&mut self, now: Nanos) {
        let mut known: Vec<_> = self
            .table
            .iter()
            .filter(|held| held.encoded.id() != self.me && held.state != MemberState::Left)
            .filter_map(|held| self.address(held))
            .filter(|address| !self.seeds.contains(address))
            .collect();
        known.truncate(MOST_SEEDS - self.seeds.len().min(MOST_SEEDS));
        self.seeds.extend(known);
        self.table.retain_only(self.me);
        self.news = BroadcastQueue::default();
        self.doubts.clear();
        self.silent.clear();
        self.probe = None;
        self.helps.clear();
        self.luck = ProbeHistory::default();
        self.joined = self.seeds.is_empty();
        (self.join_at, self.join_pause, self.heard_at) = (now, JOIN.0, now);
        for at in [&mut self.probe_at, &mut self.gossip_at, &mut self.sync_at, &mut self.recall_at] {
            *at = (*at).max(now);
        }
        let joined = self.joined;
        self.change(now, |card| {
            if card.phase() == Phase::Serving && !joined {
                card.set_phase(Phase::Joining);
            }
        });
    }

    fn tidy(&mut self, now: Nanos) {
        self.table.forget_expired(now, self.settings.tombstone_retention);
        let there = &self.table;
        self.doubts.retain(|key, _| there.get(*key).is_some_and(|held| held.state.is_active()));
        self.silent.retain(|key, _| there.get(*key).is_some_and(|held| held.state.is_active()));
        if there.len() > 1 && now > self.heard_at + self.settings.tombstone_retention / 2 {
            self.begin_anew(now);
        }
        if self.joined && self.card.node_number == 0 {
            self.number(now);
        }
    }

    /// Takes the lowest number that is free.
    pub(super) fn number(&mut self, now: Nanos) {
        let number = free_node_number(&self.table, self.me);
        if self.card.node_number != number {
            self.change(now, |card| card.node_number = number);
        }
    }
}
