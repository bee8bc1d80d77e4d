//! What comes: datagrams, and what they say of others.

use std::net::SocketAddr;

use super::{Event, Membership, Output};
use crate::card::{Epoch, MemberId, VERSION_LIMIT, Phase, RecordVersion};
use crate::doubt::Suspicion;
use crate::settings::{FLAP_THRESHOLD, MAX_DATAGRAM_BYTES};
use crate::state::MemberState;
use crate::table::{MemberClaim, MergeOutcome, read};
use crate::wire::{ProtocolError, Datagram, WireEntry, DatagramKind};
use crate::{Nanos, SECOND};

/// A member raises its own numbers by one; whoever claims far more of one that is known is lying, or mistaken.
const MOST_JUMP: u64 = 1 << 20;
/// Strangers that are remembered, so that each is told of once.
const MOST_STRANGERS: usize = 32;
/// One that comes and goes is told of no sooner than this after its last change, twice as long with each more.
const HOLD: Nanos = 5 * SECOND;
/// ... and no later than so many times that.
const MOST_HOLD: u32 = 4;

impl Membership {
    /// A datagram has come.
    pub fn on_datagram(&mut self, now: Nanos, from: SocketAddr, bytes: &[u8]) {
        self.wake(now);
        if self.over {
            return;
        }
        let datagram = match Datagram::from_bytes(bytes, self.fleet) {
            Ok(datagram) => datagram,
            Err(error) => return self.refuse(from, &error),
        };
        let sender = MemberId(datagram.sender_id);
        if sender == self.me {
            // Its own, come back by some way; or another process of its name, which a comparison of views settles.
            return;
        }
        self.heard_at = now;
        let epoch = Epoch(datagram.sender_epoch);
        let known = self.table.get(sender).filter(|held| held.encoded.record.version().epoch >= epoch);
        let (unknown, current) =
            (known.is_none(), known.is_some_and(|held| held.encoded.record.version().epoch == epoch));
        if current {
            self.hear_from(now, sender);
        }
        // Who joins asks for a whole view; until that has come, what waited for a process that stood still for long may be as old
        // as what it has just forgotten.
        if self.joined {
            for entry in &datagram.updates {
                self.hear(now, entry);
            }
        }
        let kind = DatagramKind::try_from(datagram.kind).unwrap_or(DatagramKind::Gossip);
        let about = MemberId(datagram.target_id);
        match kind {
            DatagramKind::Gossip => {}
            DatagramKind::Ping => {
                // For another one that had this address before: whoever asks is not to take this one for it.
                let mut ack = self.datagram(DatagramKind::Ack, datagram.seq, self.me);
                ack.record_unknown = unknown;
                // Whoever asks may have put another's address on it: it gets no more than it sent.
                self.send(now, ack, from, current.then_some(sender), bytes.len().min(MAX_DATAGRAM_BYTES));
            }
            DatagramKind::IndirectPing if about != self.me => self.help(now, from, datagram.seq, about),
            DatagramKind::IndirectPing => {}
            DatagramKind::Ack => self.on_ack(now, sender, datagram.seq, about),
            DatagramKind::Nack => {
                if let Some(probe) = self.probe.as_mut().filter(|p| p.seq == datagram.seq && p.key == about) {
                    probe.nacks = probe.nacks.saturating_add(1);
                }
            }
        }
        if datagram.record_unknown && kind == DatagramKind::Ack {
            // It does not know this member yet, which does know it.
            self.news.add(self.me);
            self.push(now, sender);
        }
    }

    /// A sign of life of a member's present process, seen here.
    fn hear_from(&mut self, now: Nanos, key: MemberId) {
        if let Some(held) = self.table.get_mut(key) {
            held.last_heard = now as i64;
            if held.state == MemberState::Alive && !held.reachable_from_here {
                self.set_here(key, true);
            }
        }
    }

    fn on_ack(&mut self, now: Nanos, sender: MemberId, seq: u32, about: MemberId) {
        if let Some(place) = self.helps.iter().position(|help| help.seq == seq && help.about == sender)
            && let Some(help) = self.helps.remove(place)
        {
            let ack = self.datagram(DatagramKind::Ack, help.their_seq, sender);
            self.put(&ack, help.from);
            return;
        }
        if let Some(probe) = self.probe.as_mut().filter(|probe| probe.seq == seq && probe.key == about) {
            if sender == about {
                probe.direct = true;
            } else {
                probe.through = true;
            }
            return;
        }
        // The answer of one that was held dead.
        if self.table.get(sender).is_some_and(|held| !held.state.is_active()) {
            self.sync_with(now, sender);
        }
    }

    pub(super) fn refuse(&mut self, from: SocketAddr, error: &ProtocolError) {
        if !matches!(error, ProtocolError::Fleet | ProtocolError::Version(_)) || self.strangers.contains(&from) {
            return;
        }
        self.strangers.push_back(from);
        if self.strangers.len() > MOST_STRANGERS {
            self.strangers.pop_front();
        }
        let why = error.to_string();
        self.outputs.push_back(Output::Event(Event::PeerRejected { from, why }));
    }

    /// Something is said of a member.
    pub(super) fn hear(&mut self, now: Nanos, entry: &WireEntry) {
        if let Some(heard) = read(entry, now) {
            self.take(now, &heard);
        }
    }

    pub(super) fn take(&mut self, now: Nanos, heard: &MemberClaim) {
        let key = heard.encoded.id();
        if key == self.me {
            return self.on_own(now, heard);
        }
        let gone = !heard.state.is_active();
        let age = (now as i64).saturating_sub(heard.state_since).max(0) as Nanos;
        if gone && age > self.settings.tombstone_retention {
            return;
        }
        let stamp = heard.encoded.record.version();
        let mut before = None;
        if let Some(held) = self.table.get(key) {
            let own = held.encoded.record.version();
            if stamp.epoch == own.epoch && stamp.incarnation.0 > own.incarnation.0.saturating_add(MOST_JUMP) {
                return;
            }
            before = Some((own.epoch, held.state));
            // This member has heard from it since: it lives, and has to be told what is said of it.
            let in_doubt = matches!(heard.state, MemberState::Stalled | MemberState::Suspect | MemberState::Dead);
            if stamp == own && in_doubt && heard.state > held.state && held.last_heard > heard.state_since {
                return self.contest(now, heard);
            }
        }
        match self.table.merge(heard) {
            MergeOutcome::Ignored => {}
            MergeOutcome::Unchanged => {
                if let Some(doubt) = self.doubts.get_mut(&key)
                    && doubt.confirm(heard.reporter, heard.connection_refused)
                {
                    self.pass_on(now, key, false);
                }
            }
            MergeOutcome::Inserted => self.moved(now, key, None, heard),
            MergeOutcome::Updated(was) => {
                let restarted = before.is_some_and(|(epoch, _)| epoch != stamp.epoch);
                self.moved(now, key, Some(was), heard);
                if restarted && let Some(held) = self.table.get_mut(key) {
                    (held.last_heard, held.reachable_from_here, held.consecutive_indirect_acks) = (i64::MIN, true, 0);
                }
            }
        }
    }

    /// What is held of a member has changed.
    fn moved(&mut self, now: Nanos, key: MemberId, was: Option<MemberState>, heard: &MemberClaim) {
        let to = heard.state;
        let changed = was != Some(to);
        self.pass_on(now, key, changed && was.is_some());
        if to.is_active() && !was.is_some_and(MemberState::is_active) {
            self.order.insert(key, &mut self.rng);
        }
        if !matches!(to, MemberState::Suspect | MemberState::Stalled) {
            self.doubts.remove(&key);
        }
        if to == MemberState::Alive {
            self.silent.remove(&key);
            self.check_number(now, key);
        } else if matches!(to, MemberState::Suspect | MemberState::Stalled) {
            let doubt = Suspicion::new(now, heard.reporter, heard.connection_refused, to == MemberState::Stalled);
            self.begin_doubt(now, key, doubt);
        }
        if changed {
            let name = heard.encoded.record.name.clone();
            let witness = self.name_of(heard.reporter).to_owned();
            self.outputs.push_back(Output::Event(Event::StateChanged { name, from: was, to, reporter: witness }));
        }
    }

    /// Passes on what has changed; of one that comes and goes later, and once.
    fn pass_on(&mut self, now: Nanos, key: MemberId, changed: bool) {
        let span = self.settings.flap_window as i64;
        let Some(held) = self.table.get_mut(key) else { return };
        if changed {
            // The age of the change before this one is gone with it; flaps fade by halves as time goes on.
            let quiet = (now as i64).saturating_sub(held.last_heard.max(0)) > span;
            held.flap_count = if quiet { 1 } else { held.flap_count.saturating_add(1) };
        }
        let over = u32::from(held.flap_count).saturating_sub(FLAP_THRESHOLD * 2);
        if over > 0 {
            self.news.add_at(key, now + HOLD * Nanos::from(over.min(MOST_HOLD)));
        } else {
            self.news.add(key);
        }
    }

    /// Somebody says of a member that it is gone or in doubt, and it was heard from since: it is told, and answers for itself.
    fn contest(&mut self, now: Nanos, heard: &MemberClaim) {
        let key = heard.encoded.id();
        let Some(to) = self.table.get(key).and_then(|held| self.address(held)) else { return };
        let age = ((now as i64).saturating_sub(heard.state_since).max(0) / 100_000_000) as u32;
        let mut datagram = self.datagram(DatagramKind::Gossip, 0, MemberId::default());
        if let Some(held) = self.table.get(key) {
            let mut entry = held.to_wire(now);
            (entry.state, entry.age_deciseconds, entry.reporter) = (heard.state.code(), age, heard.reporter.0);
            entry.connection_refused = heard.connection_refused;
            datagram.updates.push(entry);
            self.put(&datagram, to);
        }
    }

    /// Something is said of this member itself.
    fn on_own(&mut self, now: Nanos, heard: &MemberClaim) {
        let (stamp, own) = (heard.encoded.record.version(), self.card.version());
        if stamp.epoch > own.epoch {
            if self.joined || heard.encoded.record.epoch + 1 >= VERSION_LIMIT {
                self.over = true;
                let by = heard.encoded.record.address.clone();
                self.outputs.push_back(Output::Event(Event::Superseded { by }));
                return;
            }
            // An earlier process of this name counted further; its clock may have been ahead. This one is later all the same.
            let (epoch, number) = (heard.encoded.record.epoch + 1, heard.encoded.record.node_number);
            return self.change(now, |card| {
                card.epoch = epoch;
                card.incarnation = 0;
                card.node_number = if card.node_number == 0 { number } else { card.node_number };
            });
        }
        if stamp.epoch < own.epoch {
            if self.card.node_number == 0 && heard.encoded.record.node_number != 0 {
                // The number that it had before is still its own.
                let number = heard.encoded.record.node_number;
                self.change(now, |card| card.node_number = number);
            } else {
                self.news.add(self.me);
            }
            return;
        }
        let other = heard.encoded.record.address != self.card.address && stamp == own;
        if other && heard.encoded.record.address > self.card.address {
            // Two processes drew one epoch: one of them, the same for both, goes on.
            self.over = true;
            let by = heard.encoded.record.address.clone();
            self.outputs.push_back(Output::Event(Event::Superseded { by }));
            return;
        }
        if stamp.incarnation > own.incarnation || heard.state > MemberState::Alive && stamp == own || other {
            let next = RecordVersion { incarnation: stamp.incarnation.max(own.incarnation), ..own };
            self.health.degrade(u8::from(matches!(heard.state, MemberState::Suspect | MemberState::Dead)));
            self.change(now, |card| card.incarnation = next.incarnation.0.min(VERSION_LIMIT - 2));
        }
    }

    /// Two members have one number: the one with the greater key takes another.
    fn check_number(&mut self, now: Nanos, key: MemberId) {
        let Some(held) = self.table.get(key) else { return };
        let number = held.encoded.record.node_number;
        let same = number != 0 && number == self.card.node_number && held.encoded.record.phase() != Phase::Joining;
        if same && key < self.me {
            self.number(now);
        }
    }
}
