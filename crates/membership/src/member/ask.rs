//! Asking others whether they are there, and what comes of no answer.

use std::net::SocketAddr;

use prost::Message;

use super::{Event, RelayedProbe, Membership, Output};
use crate::card::{MemberId, stable_hash};
use crate::doubt::{Suspicion, MAX_CONFIRMATIONS};
use crate::probe::{StreamProbeOutcome, Probe, ProbeOutcome};
use crate::settings::MAX_DATAGRAM_BYTES;
use crate::state::MemberState;
use crate::wire::{DatagramKind, FrameKind};
use crate::{MS, Nanos};

/// Questions put for others at once; more are not taken.
const MOST_HELPS: usize = 64;
/// Who was found standing still is held so after this: shorter stalls are nobody else's news.
const STILL: Nanos = 700 * MS;
/// Questions in a row that only others get an answer to, until a member counts as out of reach from here.
const MISSED: u8 = 2;

impl Membership {
    /// The next question, to the next one in the round.
    pub(super) fn ask_next(&mut self, now: Nanos) {
        let period = self.settings.probe_interval;
        self.probe_at = now + period + period / 2 * Nanos::from(self.health.multiplier() - 1);
        let me = self.me;
        let table = &self.table;
        let may = |key: MemberId| key != me && table.get(key).is_some_and(|held| held.state.is_active());
        let all = || table.iter().map(|held| held.encoded.id()).filter(|key| may(*key)).collect();
        let Some(key) = self.order.next(may, all, &mut self.rng) else { return };
        let Some(held) = self.table.get(key) else { return };
        let (stamp, Some(to)) = (held.encoded.record.version(), self.address(held)) else { return };
        self.seq = self.seq.wrapping_add(1);
        let patience = self.settings.probe_timeout * Nanos::from(self.health.multiplier());
        self.probe = Some(Probe {
            key,
            stamp,
            seq: self.seq,
            asked: now,
            help_at: now + patience.min(self.probe_at - now - self.settings.probe_timeout),
            helpers: 0,
            nacks: 0,
            direct: false,
            through: false,
            checked: None,
        });
        let datagram = self.datagram(DatagramKind::Ping, self.seq, key);
        self.send(now, datagram, to, Some(key), MAX_DATAGRAM_BYTES);
    }

    /// No answer yet: others are asked to ask, and it is asked over a stream, where datagrams alone are lost.
    pub(super) fn ask_others(&mut self, now: Nanos) {
        let Some((key, seq)) = self.probe.as_ref().map(|probe| (probe.key, probe.seq)) else { return };
        let helpers = self.some(self.settings.indirect_probes, |held| {
            held.state == MemberState::Alive && held.reachable_from_here && held.encoded.id() != key
        });
        for helper in &helpers {
            let Some(to) = self.table.get(*helper).and_then(|held| self.address(held)) else { continue };
            let datagram = self.datagram(DatagramKind::IndirectPing, seq, key);
            self.send(now, datagram, to, Some(*helper), MAX_DATAGRAM_BYTES);
        }
        if let Some(probe) = &mut self.probe {
            // One at the least, so that this is not done again.
            probe.helpers = helpers.len().max(1) as u8;
            if helpers.is_empty() {
                probe.nacks = 1;
            }
        }
        if let Some(to) = self.table.get(key).and_then(|held| self.address(held)) {
            let frame = self.frame(FrameKind::Ping).encode_to_vec();
            self.outputs.push_back(Output::StreamProbe { seq, to, frame });
        }
    }

    /// What asking over a stream came to.
    pub fn on_stream_probe(&mut self, now: Nanos, seq: u32, checked: StreamProbeOutcome) {
        self.wake(now);
        let Some(probe) = self.probe.as_mut().filter(|probe| probe.seq == seq) else { return };
        probe.checked = Some(checked);
        if checked == StreamProbeOutcome::Refused && !probe.direct {
            // Those that were asked to ask have their say, and no more is waited for.
            self.probe_at = self.probe_at.min(now + self.settings.probe_timeout / 2);
        }
    }

    /// The end of a question's time.
    pub(super) fn conclude(&mut self, now: Nanos) {
        let Some(probe) = self.probe.take() else { return };
        let Some(held) = self.table.get(probe.key) else { return };
        if held.encoded.record.version() != probe.stamp || !held.state.is_active() {
            // It has said something new meanwhile, or others have.
            return;
        }
        let state = held.state;
        match probe.verdict() {
            ProbeOutcome::Reachable => {
                self.luck.note(true);
                self.silent.remove(&probe.key);
                if probe.direct {
                    self.health.improve();
                }
                if state == MemberState::Alive {
                    self.set_here(probe.key, true);
                }
            }
            ProbeOutcome::ReachableIndirectly => {
                self.luck.note(false);
                self.silent.remove(&probe.key);
                if let Some(held) = self.table.get_mut(probe.key) {
                    held.consecutive_indirect_acks = held.consecutive_indirect_acks.saturating_add(1);
                    if held.consecutive_indirect_acks >= MISSED {
                        self.set_here(probe.key, false);
                    }
                }
            }
            ProbeOutcome::Refused => {
                self.luck.note(true);
                self.claim(now, probe.key, MemberState::Suspect, true);
            }
            ProbeOutcome::Silent => {
                self.luck.note(false);
                let since = *self.silent.entry(probe.key).or_insert(probe.asked);
                if now < since + STILL {
                    self.order.urge(probe.key);
                } else if !self.is_own_fault(now, probe.key) {
                    self.claim(now, probe.key, MemberState::Stalled, false);
                }
            }
            ProbeOutcome::Nothing { helped } => {
                self.luck.note(false);
                if !helped {
                    self.health.degrade(1);
                }
                if !self.is_own_fault(now, probe.key) {
                    self.claim(now, probe.key, MemberState::Suspect, false);
                }
            }
        }
    }

    /// Where most of those that it asks do not answer, the fault is its own until others say otherwise, or for long.
    fn is_own_fault(&mut self, now: Nanos, key: MemberId) -> bool {
        let Some(held) = self.table.get(key) else { return true };
        let unheard = (now as i64).saturating_sub(held.last_heard) as Nanos;
        let own = self.luck.is_cut() && unheard < self.settings.unconfirmed_timeout && !self.doubts.contains_key(&key);
        if own {
            self.set_here(key, false);
        }
        own
    }

    pub(super) fn set_here(&mut self, key: MemberId, here: bool) {
        let Some(held) = self.table.get_mut(key) else { return };
        if here {
            held.consecutive_indirect_acks = 0;
        }
        if held.reachable_from_here != here {
            held.reachable_from_here = here;
            let name = held.encoded.record.name.clone();
            self.outputs.push_back(Output::Event(Event::ReachabilityChanged { name, reachable: here }));
        }
    }

    /// Suspicions whose time is over.
    pub(super) fn end_doubts(&mut self, now: Nanos) {
        let mut over: Vec<_> = self
            .doubts
            .iter()
            .filter(|(_, doubt)| self.doubt_ends(doubt) <= now)
            .map(|(key, _)| *key)
            .collect();
        over.sort_unstable();
        for key in over {
            let Some(doubt) = self.doubts.remove(&key) else { continue };
            if self.table.get(key).is_some_and(|held| held.state.is_active()) {
                self.claim(now, key, MemberState::Dead, doubt.connection_refused);
            }
        }
    }

    /// A member is newly in doubt: whether this one is among the few that look for themselves at once.
    pub(super) fn begin_doubt(&mut self, now: Nanos, key: MemberId, doubt: Suspicion) {
        if self.doubts.is_empty() {
            self.doubts_at = now;
        }
        self.doubts.insert(key, doubt);
        // Some, drawn by all alike, so that one more than was needed is the exception.
        let share = u64::MAX / self.table.active_count().max(1) as u64;
        if weight(self.me, key) <= share.saturating_mul(MAX_CONFIRMATIONS as u64) {
            self.order.urge(key);
            if self.probe.is_none() {
                self.probe_at = self.probe_at.min(now);
            }
        }
    }

    /// Another member asks to ask.
    pub(super) fn help(&mut self, now: Nanos, from: SocketAddr, their_seq: u32, about: MemberId) {
        let Some(to) = self.table.get(about).and_then(|held| self.address(held)) else { return };
        if self.helps.len() >= MOST_HELPS {
            return;
        }
        self.seq = self.seq.wrapping_add(1);
        let ends = now + self.settings.probe_timeout;
        self.helps.push_back(RelayedProbe { seq: self.seq, from, their_seq, about, ends });
        let datagram = self.datagram(DatagramKind::Ping, self.seq, about);
        self.put(&datagram, to);
    }

    /// Who asked to ask is told where no answer came.
    pub(super) fn end_helps(&mut self, now: Nanos) {
        while let Some(help) = self.helps.pop_front_if(|help| help.ends <= now) {
            let datagram = self.datagram(DatagramKind::Nack, help.their_seq, help.about);
            self.put(&datagram, help.from);
        }
    }
}

/// Which members look at another one first: an order that all compute alike.
fn weight(of: MemberId, about: MemberId) -> u64 {
    stable_hash(&[&of.0.to_le_bytes(), &about.0.to_le_bytes()])
}
