//! Stalls of the local process: nothing that expired meanwhile counts, and after a long one the member joins anew.

use super::config::MAX_SEEDS;
use super::timers::Timer;
use super::{Event, Membership, Output};
use crate::Nanos;
use crate::broadcast_queue::BroadcastQueue;
use crate::probe_history::ProbeHistory;
use crate::record::Phase;
use crate::settings::STALL_THRESHOLD;
use crate::state::MemberState;

/// How much a stall degrades the awareness score.
const STALL_PENALTY: u8 = 2;

impl Membership {
    /// Notices by a late timer that the process was stalled: acks could not be received meanwhile, so pending probes and
    /// suspicions must not expire by that time.
    pub(super) fn detect_stall(&mut self, now: Nanos) {
        let due = self.next_timer();
        if self.stopped || now < due.saturating_add(STALL_THRESHOLD) {
            return;
        }
        let duration = now - due;
        self.outputs.push_back(Output::Event(Event::ProcessStalled { duration }));
        if duration > self.settings.tombstone_retention / 2 {
            return self.rejoin_from_scratch(now);
        }
        for suspicion in self.suspicions.values_mut() {
            suspicion.started_at += duration;
        }
        self.forget_probes();
        self.awareness.degrade(STALL_PENALTY);
        self.last_received_at += duration;
        self.timers.postpone_overdue(
            &[
                Timer::Probe,
                Timer::Gossip,
                Timer::PushPull,
                Timer::Reconnect,
                Timer::ContactSeed,
                Timer::Join,
                Timer::SuspicionSweep,
            ],
            now,
        );
        if duration > self.settings.probe_interval {
            // Others may consider this member stalled or suspect by now: it refutes that before their claims arrive.
            self.update_record(now, |_| {});
        }
    }

    fn forget_probes(&mut self) {
        self.unresponsive_since.clear();
        self.probe = None;
        self.relayed_probes.clear();
        self.probe_history = ProbeHistory::default();
    }

    /// Forgets everything and joins again, after an absence in which others may have forgotten members that this one still
    /// holds: its table must not bring them back.
    pub(super) fn rejoin_from_scratch(&mut self, now: Nanos) {
        self.keep_addresses_as_seeds();
        self.table.retain_only(self.id);
        self.broadcasts = BroadcastQueue::default();
        self.suspicions.clear();
        self.forget_probes();
        self.joined = self.seeds.is_empty();
        self.last_received_at = now;
        self.reset_join_backoff(now);
        self.timers.postpone_overdue(&[Timer::Probe, Timer::Gossip, Timer::PushPull, Timer::Reconnect], now);
        let joined = self.joined;
        self.update_record(now, |record| {
            if record.phase() == Phase::Serving && !joined {
                record.set_phase(Phase::Joining);
            }
        });
    }

    fn keep_addresses_as_seeds(&mut self) {
        let mut known: Vec<_> = self
            .table
            .iter()
            .filter(|entry| entry.id() != self.id && entry.state != MemberState::Left)
            .filter_map(|entry| self.address_of(entry))
            .filter(|address| !self.seeds.contains(address))
            .collect();
        known.truncate(MAX_SEEDS.saturating_sub(self.seeds.len()));
        self.seeds.extend(known);
    }
}
