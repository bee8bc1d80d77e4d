//! The timers of the state machine, and the actions of each.

use rand_core::RngCore;

use super::Membership;
use super::joining::CONTACT_SEED_INTERVAL;
use crate::state::MemberState;
use crate::{Nanos, SECOND};

/// Time between two checks for expired suspicions: with default settings, much less than the shortest suspicion timeout.
const SUSPICION_SWEEP_INTERVAL: Nanos = SECOND / 10;
/// Time between two removals of expired state.
pub(super) const CLEANUP_INTERVAL: Nanos = 10 * SECOND;

/// A timer of the state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Timer {
    /// Ends the probe in flight and starts the next one.
    Probe,
    /// Sends queued updates.
    Gossip,
    /// Starts a push/pull exchange with a random member.
    PushPull,
    /// Pings a dead member.
    Reconnect,
    /// Contacts a seed that is not the address of an active member.
    ContactSeed,
    /// Removes expired members.
    Cleanup,
    /// Declares members dead whose suspicions have expired.
    SuspicionSweep,
    /// Tries the next seed until the join is complete.
    Join,
}

const TIMER_COUNT: usize = Timer::Join as usize + 1;

/// When each timer is due.
#[derive(Clone, Debug)]
pub(super) struct Timers([Nanos; TIMER_COUNT]);

impl Timers {
    /// Creates timers that are all due at the same time.
    pub(super) fn all_at(at: Nanos) -> Self {
        Self([at; TIMER_COUNT])
    }

    pub(super) fn at(&self, timer: Timer) -> Nanos {
        self.0[timer as usize]
    }

    pub(super) fn is_due(&self, timer: Timer, now: Nanos) -> bool {
        now >= self.at(timer)
    }

    pub(super) fn set(&mut self, timer: Timer, at: Nanos) {
        self.0[timer as usize] = at;
    }

    /// Moves a timer that is due later than `at` forward to `at`.
    pub(super) fn set_no_later_than(&mut self, timer: Timer, at: Nanos) {
        self.set(timer, self.at(timer).min(at));
    }

    /// Moves overdue timers to `now`.
    pub(super) fn postpone_overdue(&mut self, timers: &[Timer], now: Nanos) {
        for &timer in timers {
            self.set(timer, self.at(timer).max(now));
        }
    }
}

impl Membership {
    /// Returns when [`Membership::on_timer`] has to be called next; [`Nanos::MAX`] if never.
    #[must_use]
    pub fn next_timer(&self) -> Nanos {
        if self.stopped {
            return Nanos::MAX;
        }
        let always = [Timer::Probe, Timer::PushPull, Timer::Reconnect, Timer::ContactSeed, Timer::Cleanup];
        let sometimes = [
            (!self.joined).then(|| self.timers.at(Timer::Join)),
            (!self.broadcasts.is_empty()).then(|| self.timers.at(Timer::Gossip)),
            (!self.suspicions.is_empty()).then(|| self.timers.at(Timer::SuspicionSweep)),
            self.broadcasts.next_release(),
            self.probe.as_ref().filter(|probe| probe.awaits_direct_ack()).map(|probe| probe.indirect_at),
            self.relayed_probes.front().map(|relayed| relayed.expires_at),
        ];
        let always = always.into_iter().map(|timer| self.timers.at(timer));
        always.chain(sometimes.into_iter().flatten()).min().unwrap_or(Nanos::MAX)
    }

    /// Runs the actions of all timers that are due.
    pub fn on_timer(&mut self, now: Nanos) {
        self.detect_stall(now);
        if self.stopped {
            return;
        }
        self.broadcasts.release_due(now);
        self.expire_relayed_probes(now);
        self.run_probe_timers(now);
        if !self.suspicions.is_empty() && self.timers.is_due(Timer::SuspicionSweep, now) {
            self.timers.set(Timer::SuspicionSweep, now + SUSPICION_SWEEP_INTERVAL);
            self.expire_suspicions(now);
        }
        if !self.joined && self.timers.is_due(Timer::Join, now) {
            self.join_through_next_seed(now);
        }
        if self.timers.is_due(Timer::Gossip, now) {
            self.timers.set(Timer::Gossip, now + self.settings.gossip_interval);
            self.gossip_round(now);
        }
        self.run_anti_entropy_timers(now);
        if self.timers.is_due(Timer::Cleanup, now) {
            self.timers.set(Timer::Cleanup, now + CLEANUP_INTERVAL);
            self.clean_up(now);
        }
    }

    fn run_probe_timers(&mut self, now: Nanos) {
        if let Some(probe) = &self.probe
            && probe.awaits_direct_ack()
            && now >= probe.indirect_at
        {
            self.send_indirect_probes(now);
        }
        if self.timers.is_due(Timer::Probe, now) {
            self.finish_probe(now);
            self.start_next_probe(now);
        }
    }

    fn run_anti_entropy_timers(&mut self, now: Nanos) {
        if self.timers.is_due(Timer::PushPull, now) {
            let interval = self.jittered(self.settings.push_pull_interval);
            self.timers.set(Timer::PushPull, now + interval);
            for id in self.random_members(1, |entry| entry.state == MemberState::Alive) {
                self.push_pull_with(now, id);
            }
        }
        if self.timers.is_due(Timer::Reconnect, now) {
            let interval = self.jittered(self.settings.reconnect_interval);
            self.timers.set(Timer::Reconnect, now + interval);
            self.ping_dead_member(now);
        }
        if self.timers.is_due(Timer::ContactSeed, now) {
            let interval = self.jittered(CONTACT_SEED_INTERVAL);
            self.timers.set(Timer::ContactSeed, now + interval);
            self.contact_unknown_seed(now);
        }
    }

    /// Returns a random interval around a mean, so that members that started together do not stay synchronized.
    pub(super) fn jittered(&mut self, mean: Nanos) -> Nanos {
        mean / 2 + self.rng.next_u64() % mean.max(1)
    }

    /// Removes expired members and the state that refers to them. Joins again if nothing was received for half the retention
    /// time of tombstones.
    fn clean_up(&mut self, now: Nanos) {
        self.table.remove_expired_tombstones(now, self.settings.tombstone_retention);
        let table = &self.table;
        self.suspicions.retain(|id, _| table.is_active(*id));
        self.unresponsive_since.retain(|id, _| table.is_active(*id));
        if table.len() > 1 && now > self.last_received_at + self.settings.tombstone_retention / 2 {
            self.rejoin_from_scratch(now);
        }
        if self.joined && self.record.node_number == 0 {
            self.take_free_node_number(now);
        }
    }
}
