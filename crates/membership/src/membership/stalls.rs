//! Stalls of the local process. Timeouts that passed during a stall are postponed, and after a long stall the member joins again.

use super::config::MAX_SEEDS;
use super::timers::Timer;
use super::{Event, Membership, Output};
use crate::Nanos;
use crate::broadcast_queue::BroadcastQueue;
use crate::probe_history::ProbeHistory;
use crate::record::Phase;
use crate::settings::STALL_THRESHOLD;
use crate::state::MemberState;

/// By how much a stall raises the awareness score.
const STALL_PENALTY: u8 = 2;

impl Membership {
    /// Detects by an overdue timer that the process was stalled. No acks could be received meanwhile, so that time must not count
    /// towards the timeouts of pending probes and suspicions.
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
        self.discard_probes();
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
            // Others may consider this member stalled or suspect by now. Refutes that before their claims arrive.
            self.update_record(now, |_| {});
        }
    }

    fn discard_probes(&mut self) {
        self.unresponsive_since.clear();
        self.probe = None;
        self.relayed_probes.clear();
        self.probe_history = ProbeHistory::default();
    }

    /// Discards the table and joins again, after an absence in which others may have removed members that are still in this
    /// table: they must not be added again from here.
    pub(super) fn rejoin_from_scratch(&mut self, now: Nanos) {
        self.add_member_addresses_to_seeds();
        self.table.retain_only(self.id);
        self.broadcasts = BroadcastQueue::default();
        self.suspicions.clear();
        self.discard_probes();
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

    fn add_member_addresses_to_seeds(&mut self) {
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
