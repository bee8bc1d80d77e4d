//! SWIM's failure detector: direct pings, indirect probes through helpers, and a probe over a stream.

use prost::Message;

use super::timers::Timer;
use super::{Event, Membership, Output};
use crate::probe::{Probe, ProbeOutcome, SequenceNumber, StreamProbeOutcome};
use crate::record::MemberId;
use crate::state::MemberState;
use crate::wire::{DatagramKind, FrameKind};
use crate::{MS, Nanos, elapsed};

/// Time for which stream probes have to find a member unresponsive before it is considered stalled. Shorter stalls are not
/// reported.
const STALL_CONFIRMATION: Nanos = 700 * MS;
/// Number of consecutive probes with only an indirect ack after which a member counts as not directly reachable.
const UNREACHABLE_AFTER_INDIRECT_ACKS: u8 = 2;

impl Membership {
    /// Pings the next member in the schedule.
    pub(super) fn start_next_probe(&mut self, now: Nanos) {
        let interval = self.settings.probe_interval;
        let multiplier = Nanos::from(self.awareness.multiplier());
        let ends_at = now + interval + interval / 2 * (multiplier - 1);
        self.timers.set(Timer::Probe, ends_at);
        let (own_id, table) = (self.id, &self.table);
        let is_eligible = |id: MemberId| id != own_id && table.is_active(id);
        let all_members = || table.iter().map(|entry| entry.id()).filter(|id| is_eligible(*id)).collect();
        let Some(target) = self.probe_schedule.next(is_eligible, all_members, &mut self.rng) else { return };
        let Some(entry) = self.table.get(target) else { return };
        let (target_version, Some(_)) = (entry.record().version(), self.address_of(entry)) else { return };
        let timeout = self.settings.probe_timeout * multiplier;
        let seq = self.last_seq.advance();
        self.probe = Some(Probe {
            target,
            target_version,
            seq,
            started_at: now,
            indirect_at: now + timeout.min(ends_at - now - self.settings.probe_timeout),
            indirect_sent: false,
            nacks: 0,
            direct_ack: false,
            indirect_ack: false,
            stream_outcome: None,
        });
        let ping = self.new_datagram(DatagramKind::Ping, seq, target);
        self.send_to_member(now, ping, target);
    }

    /// Handles a missing direct ack: asks helpers to ping the target, and probes it over a stream in case only datagrams are
    /// lost.
    pub(super) fn send_indirect_probes(&mut self, now: Nanos) {
        let Some((target, seq)) = self.probe.as_ref().map(|probe| (probe.target, probe.seq)) else { return };
        let helpers = self.random_members(self.settings.indirect_probes, |entry| {
            entry.state == MemberState::Alive && entry.reachable_from_here && entry.id() != target
        });
        for helper in &helpers {
            let request = self.new_datagram(DatagramKind::IndirectPing, seq, target);
            self.send_to_member(now, request, *helper);
        }
        if let Some(probe) = &mut self.probe {
            probe.indirect_sent = true;
            if helpers.is_empty() {
                // Without helpers, missing nacks do not indicate a problem of this member.
                probe.nacks = 1;
            }
        }
        if let Some(to) = self.address_of_id(target) {
            let frame = self.new_frame(FrameKind::Ping).encode_to_vec();
            self.outputs.push_back(Output::StreamProbe { seq, to, frame });
        }
    }

    /// Handles the outcome of a stream probe.
    pub fn on_stream_probe(&mut self, now: Nanos, seq: SequenceNumber, outcome: StreamProbeOutcome) {
        self.detect_stall(now);
        let Some(probe) = self.probe.as_mut().filter(|probe| probe.seq == seq) else { return };
        probe.stream_outcome = Some(outcome);
        if outcome == StreamProbeOutcome::Refused && !probe.direct_ack {
            // Ends the probe early, but leaves the helpers half a probe timeout to answer.
            self.timers.set_no_later_than(Timer::Probe, now + self.settings.probe_timeout / 2);
        }
    }

    /// Ends the probe in flight.
    pub(super) fn finish_probe(&mut self, now: Nanos) {
        let Some(probe) = self.probe.take() else { return };
        let Some(entry) = self.table.get(probe.target) else { return };
        if entry.record().version() != probe.target_version || !entry.state.is_active() {
            // The target has published a new record meanwhile, or is known to be dead or left: the outcome is irrelevant.
            return;
        }
        let state = entry.state;
        let outcome = probe.outcome();
        self.probe_history.record(matches!(outcome, ProbeOutcome::Reachable | ProbeOutcome::Refused));
        match outcome {
            ProbeOutcome::Reachable => self.on_reachable(&probe, state),
            ProbeOutcome::ReachableIndirectly => self.on_indirect_ack(probe.target),
            ProbeOutcome::Refused => {
                self.apply_observation(now, probe.target, MemberState::Suspect, true);
            }
            ProbeOutcome::Stalled => self.on_unresponsive(now, &probe),
            ProbeOutcome::NoAnswer { helpers_responded } => {
                if !helpers_responded {
                    self.awareness.degrade(1);
                }
                if !self.attribute_to_isolation(now, probe.target) {
                    self.apply_observation(now, probe.target, MemberState::Suspect, false);
                }
            }
        }
    }

    fn on_reachable(&mut self, probe: &Probe, state: MemberState) {
        self.unresponsive_since.remove(&probe.target);
        if probe.direct_ack {
            self.awareness.improve();
        }
        if state == MemberState::Alive {
            self.set_reachable(probe.target, true);
        }
    }

    fn on_indirect_ack(&mut self, target: MemberId) {
        self.unresponsive_since.remove(&target);
        let Some(entry) = self.table.get_mut(target) else { return };
        entry.consecutive_indirect_acks = entry.consecutive_indirect_acks.saturating_add(1);
        if entry.consecutive_indirect_acks >= UNREACHABLE_AFTER_INDIRECT_ACKS {
            self.set_reachable(target, false);
        }
    }

    fn on_unresponsive(&mut self, now: Nanos, probe: &Probe) {
        let since = *self.unresponsive_since.entry(probe.target).or_insert(probe.started_at);
        if now < since + STALL_CONFIRMATION {
            self.probe_schedule.prioritize(probe.target);
        } else if !self.attribute_to_isolation(now, probe.target) {
            self.apply_observation(now, probe.target, MemberState::Stalled, false);
        }
    }

    /// Attributes a missing answer to this member's own isolation if most of its probes fail, the target is not suspected yet,
    /// and a datagram of the target arrived within the unconfirmed timeout. The target is then marked as not directly reachable.
    /// Returns whether no claim about the target follows, which is also so if the target is unknown.
    fn attribute_to_isolation(&mut self, now: Nanos, target: MemberId) -> bool {
        let Some(entry) = self.table.get(target) else { return true };
        let is_isolated = self.probe_history.is_isolated()
            && elapsed(now, entry.last_heard) < self.settings.unconfirmed_timeout
            && !self.suspicions.contains_key(&target);
        if is_isolated {
            self.set_reachable(target, false);
        }
        is_isolated
    }

    /// Records whether this member can reach another one directly.
    pub(super) fn set_reachable(&mut self, id: MemberId, reachable: bool) {
        let Some(entry) = self.table.get_mut(id) else { return };
        if reachable {
            entry.consecutive_indirect_acks = 0;
        }
        if entry.reachable_from_here != reachable {
            entry.reachable_from_here = reachable;
            let name = entry.record().name.clone();
            self.outputs.push_back(Output::Event(Event::ReachabilityChanged { name, reachable }));
        }
    }
}
