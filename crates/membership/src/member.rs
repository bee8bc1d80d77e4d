//! The machine: handed datagrams, ends of exchanges and times, it keeps the view and says what to send. Whoever drives it
//! calls [`Membership::on_timer`] when [`Membership::next`] is due, and carries out what [`Membership::outputs`] gives, in order.

mod ask;
mod hear;
mod sync;
mod time;
mod types;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

use prost::Message;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rustc_hash::FxHashMap;

use crate::card::{MemberRecord, MemberId, VERSION_LIMIT, Phase};
use crate::doubt::{Suspicion, Awareness};
use crate::news::BroadcastQueue;
use crate::probe::{ProbeHistory, ProbeSchedule, Probe};
use crate::settings::{LOAD_EACH, LOAD_LEAST, Settings};
use crate::share::NodeCount;
use crate::state::MemberState;
use crate::table::{MemberClaim, MemberEntry, EncodedRecord, MemberTable};
use crate::wire::{Datagram, DatagramKind, MAJOR, MINOR, fleet};
use crate::{Nanos, SECOND};

pub use crate::probe::StreamProbeOutcome;
pub use sync::StreamAction;
pub use types::{MembershipError, Event, Output, MembershipConfig};

/// Room in a datagram beside its entries: head, kind and numbers.
const HEAD: usize = 64;
/// Most seeds, and addresses that are told for names.
pub const MOST_SEEDS: usize = 64;
/// Pauses between two tries to join: the first, and the longest.
const JOIN: (Nanos, Nanos) = (SECOND / 5, 5 * SECOND);
/// Seeds that nobody there has the address of are asked this often, whatever is known: a fleet that was cut for longer than
/// it remembers finds itself again there.
const RESEED: Nanos = 60 * SECOND;
/// Suspicions are looked over this often: well under the shortest one.
const DOUBTS: Nanos = SECOND / 10;
/// What is no longer needed is looked for this often.
const TIDY: Nanos = 10 * SECOND;

/// A question put for another member.
#[derive(Clone, Debug)]
struct RelayedProbe {
    seq: u32,
    from: SocketAddr,
    their_seq: u32,
    about: MemberId,
    ends: Nanos,
}

/// A member of a fleet.
#[derive(Clone, Debug)]
pub struct Membership {
    settings: Settings,
    fleet: u64,
    me: MemberId,
    card: MemberRecord,
    rng: Pcg64Mcg,
    seeds: Vec<SocketAddr>,
    reach: FxHashMap<MemberId, SocketAddr>,
    table: MemberTable,
    news: BroadcastQueue,
    doubts: FxHashMap<MemberId, Suspicion>,
    /// Who was found to stand still, once, and since when: held so only where it lasts.
    silent: FxHashMap<MemberId, Nanos>,
    health: Awareness,
    luck: ProbeHistory,
    order: ProbeSchedule,
    probe: Option<Probe>,
    helps: VecDeque<RelayedProbe>,
    seq: u32,
    sharing: NodeCount,
    /// Whether any exchange with the fleet has been whole.
    joined: bool,
    over: bool,
    join_pause: Nanos,
    next_seed: usize,
    probe_at: Nanos,
    gossip_at: Nanos,
    sync_at: Nanos,
    recall_at: Nanos,
    reseed_at: Nanos,
    tidy_at: Nanos,
    doubts_at: Nanos,
    join_at: Nanos,
    heard_at: Nanos,
    load_at: Nanos,
    strangers: VecDeque<SocketAddr>,
    outputs: VecDeque<Output>,
    sent: u64,
}

impl Membership {
    /// One that has just started.
    ///
    /// # Errors
    /// What can't be.
    pub fn new(setup: MembershipConfig, now: Nanos) -> Result<Self, MembershipError> {
        setup.settings.validate()?;
        if setup.seeds.len() > MOST_SEEDS {
            return Err(MembershipError::Seeds);
        }
        let mut card = setup.record;
        let own = card.socket_address();
        let seeds: Vec<_> = setup.seeds.into_iter().filter(|seed| Some(*seed) != own).collect();
        card.incarnation = 0;
        card.protocol_minor = MINOR;
        card.set_phase(if seeds.is_empty() { Phase::Serving } else { Phase::Joining });
        card.validate()?;
        let mut rng = Pcg64Mcg::seed_from_u64(setup.rng_seed);
        let mut within = |span: Nanos| now + rng.next_u64() % span.max(1);
        let s = &setup.settings;
        let (probe_at, gossip_at, sync_at) = (within(s.probe_interval), within(s.gossip_interval), within(s.push_pull_interval));
        let (recall_at, reseed_at, tidy_at) = (within(s.reconnect_interval), within(RESEED), within(TIDY));
        let mut member = Self {
            fleet: fleet(&setup.fleet_name),
            me: card.id(),
            reach: setup.address_overrides.iter().map(|(name, address)| (MemberId::from_name(name), *address)).collect(),
            table: MemberTable::default(),
            news: BroadcastQueue::default(),
            doubts: FxHashMap::default(),
            silent: FxHashMap::default(),
            health: Awareness::default(),
            luck: ProbeHistory::default(),
            order: ProbeSchedule::default(),
            probe: None,
            helps: VecDeque::new(),
            seq: rng.next_u32(),
            sharing: NodeCount::new(setup.initial_node_count, now),
            joined: seeds.is_empty(),
            over: false,
            join_pause: JOIN.0,
            next_seed: if seeds.is_empty() { 0 } else { rng.next_u64() as usize % seeds.len() },
            probe_at,
            gossip_at,
            sync_at,
            recall_at,
            reseed_at,
            tidy_at,
            doubts_at: now,
            join_at: now,
            heard_at: now,
            load_at: now,
            strangers: VecDeque::new(),
            outputs: VecDeque::new(),
            sent: 0,
            settings: setup.settings,
            card,
            rng,
            seeds,
        };
        member.say(now);
        Ok(member)
    }

    // ---- What it knows --------------------------------------------------------------------------

    /// Its own key.
    #[must_use]
    pub fn id(&self) -> MemberId {
        self.me
    }

    /// What it says of itself.
    #[must_use]
    pub fn record(&self) -> &MemberRecord {
        &self.card
    }

    /// All that it holds.
    #[must_use]
    pub fn table(&self) -> &MemberTable {
        &self.table
    }

    /// Its settings.
    #[must_use]
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Its own health; 1 is good.
    #[must_use]
    pub fn health_multiplier(&self) -> u32 {
        self.health.multiplier()
    }

    /// Whether it takes itself for cut off: most of those that it asks do not answer.
    #[must_use]
    pub fn is_isolated(&self) -> bool {
        self.luck.is_cut()
    }

    /// Whether it has heard from the fleet.
    #[must_use]
    pub fn is_joined(&self) -> bool {
        self.joined
    }

    /// Whether a later process has its name.
    #[must_use]
    pub fn is_stopped(&self) -> bool {
        self.over
    }

    /// Whether it has anything to pass on to others.
    #[must_use]
    pub fn has_pending_broadcasts(&self) -> bool {
        !self.news.is_empty()
    }

    /// Bytes of datagrams sent.
    #[must_use]
    pub fn bytes_sent(&self) -> u64 {
        self.sent
    }

    /// The name of a key, where it is known.
    #[must_use]
    pub fn name_of(&self, key: MemberId) -> &str {
        self.table.get(key).map_or("", |held| &held.encoded.record.name)
    }

    /// What is suspected of a member, and by whom.
    #[must_use]
    pub fn suspicion(&self, key: MemberId) -> Option<&Suspicion> {
        self.doubts.get(&key)
    }

    /// How many nodes share a server, this one among them; falls by degrees.
    pub fn node_count(&mut self, now: Nanos) -> u32 {
        self.sharing.update(&self.table, &self.settings, now)
    }

    /// Members to ask for what they know: of the own zone first, none that is in doubt, joining, leaving or out of reach; which
    /// ones is drawn.
    pub fn select_peers(&mut self, most: usize) -> Vec<(String, SocketAddr)> {
        let fit = |held: &&MemberEntry| {
            held.encoded.id() != self.me
                && held.state == MemberState::Alive
                && held.reachable_from_here
                && held.encoded.record.phase() == Phase::Serving
        };
        let mut all: Vec<_> = self
            .table
            .iter()
            .filter(fit)
            .filter_map(|held| {
                let far = held.encoded.record.zone != self.card.zone;
                Some((far, held.encoded.id(), held.encoded.record.name.clone(), self.address(held)?))
            })
            .collect();
        all.sort_by_key(|peer| (peer.0, peer.1));
        let near = all.iter().take_while(|peer| !peer.0).count();
        for span in [0..near, near..all.len()] {
            for place in span.clone().rev() {
                let other = span.start + self.rng.next_u64() as usize % (place - span.start + 1);
                all.swap(place, other);
            }
        }
        all.into_iter().take(most).map(|(.., name, address)| (name, address)).collect()
    }

    /// What is to be done, in order.
    pub fn take_outputs(&mut self) -> impl Iterator<Item = Output> + '_ {
        self.outputs.drain(..)
    }

    /// Takes over a view that another member of the fleet has, as if the two had compared theirs.
    pub fn adopt_table(&mut self, view: &MemberTable) {
        let own = self.table.get(self.me).cloned();
        self.table = view.clone();
        if let Some(own) = own {
            let MemberEntry { encoded, state, connection_refused, state_since, reporter, .. } = own;
            self.table.merge(&MemberClaim { encoded: encoded, state, connection_refused: connection_refused, state_since, reporter });
        }
        self.news = BroadcastQueue::default();
        self.joined = true;
    }

    // ---- What it says of itself -----------------------------------------------------------------

    /// Says something new of itself.
    fn change(&mut self, now: Nanos, what: impl FnOnce(&mut MemberRecord)) {
        if self.over {
            return;
        }
        what(&mut self.card);
        self.card.incarnation = (self.card.incarnation + 1).min(VERSION_LIMIT - 1);
        self.say(now);
    }

    /// Puts its own saying into its view, and passes it on.
    fn say(&mut self, now: Nanos) {
        let said = EncodedRecord::new(self.card.clone(), self.card.encode_to_vec());
        let own = MemberClaim { encoded: said, state: MemberState::Alive, connection_refused: false, state_since: now as i64, reporter: self.me };
        self.table.merge(&own);
        self.news.add(self.me);
    }

    /// Tells how much it has to do, in eighths; not each time, but so often that all members together say no more than some
    /// pieces of news a second.
    pub fn set_load(&mut self, now: Nanos, eighths: u32) {
        let pause = LOAD_LEAST.max(LOAD_EACH * self.table.active_count() as u64);
        if self.card.load_eighths != eighths && now >= self.load_at + pause {
            self.load_at = now;
            self.change(now, |card| card.load_eighths = eighths);
        }
    }

    /// Staff empty this node, or have it back at work.
    pub fn set_lame_duck(&mut self, now: Nanos, lame: bool) {
        let phase = match (lame, self.joined) {
            (true, _) => Phase::LameDuck,
            (false, true) => Phase::Serving,
            (false, false) => Phase::Joining,
        };
        if self.card.phase() != phase {
            self.change(now, |card| card.set_phase(phase));
        }
    }

    /// It goes, and says so to some; what is given out is the last of it.
    pub fn leave(&mut self, now: Nanos) {
        if self.over {
            return;
        }
        self.change(now, |_| {});
        if let Some(own) = self.table.get(self.me) {
            let left = MemberClaim {
                encoded: own.encoded.clone(),
                state: MemberState::Left,
                connection_refused: false,
                state_since: now as i64,
                reporter: self.me,
            };
            self.table.merge(&left);
        }
        self.news.add(self.me);
        for to in self.some(2 * self.settings.gossip_fanout, |_| true) {
            self.push(now, to);
        }
        self.over = true;
    }

    // ---- Sending --------------------------------------------------------------------------------

    /// Where a member is reached from here.
    fn address(&self, held: &MemberEntry) -> Option<SocketAddr> {
        self.reach.get(&held.encoded.id()).copied().or_else(|| held.encoded.record.socket_address())
    }

    /// Some members, drawn.
    fn some(&mut self, most: usize, may: impl Fn(&MemberEntry) -> bool) -> Vec<MemberId> {
        let count = self.table.len();
        let mut drawn = Vec::new();
        // Of a large table some places are tried; a small one is looked through.
        if count > 64 {
            for _ in 0..(8 * most) {
                let held = self.table.entry_at(self.rng.next_u64() as usize % count);
                let key = held.encoded.id();
                if key != self.me && held.state.is_active() && may(held) && !drawn.contains(&key) {
                    drawn.push(key);
                }
                if drawn.len() == most {
                    return drawn;
                }
            }
            return drawn;
        }
        drawn.extend(
            self.table
                .iter()
                .filter(|held| held.encoded.id() != self.me && held.state.is_active() && may(held))
                .map(|held| held.encoded.id()),
        );
        drawn.sort_unstable();
        for place in (1..drawn.len()).rev() {
            drawn.swap(place, self.rng.next_u64() as usize % (place + 1));
        }
        drawn.truncate(most);
        drawn
    }

    fn datagram(&self, kind: DatagramKind, seq: u32, about: MemberId) -> Datagram {
        Datagram {
            protocol_major: MAJOR,
            protocol_minor: MINOR,
            fleet_id: self.fleet,
            sender_id: self.me.0,
            sender_epoch: self.card.epoch,
            kind: kind as i32,
            seq,
            target_id: about.0,
            record_unknown: false,
            updates: Vec::new(),
        }
    }

    /// Fills a datagram with news up to a size, what is held against its receiver first, and sends it.
    fn send(
        &mut self,
        now: Nanos,
        mut datagram: Datagram,
        to: SocketAddr,
        receiver: Option<MemberId>,
        most: usize,
    ) {
        let mut room = most.saturating_sub(HEAD);
        let mut first = Vec::new();
        if let Some(held) = receiver.and_then(|key| self.table.get(key))
            && held.state != MemberState::Alive
        {
            let entry = held.to_wire(now);
            let size = size(&entry);
            if size <= room {
                room -= size;
                first.push(entry);
            }
        }
        let (table, most_told) = (&self.table, crate::news::retransmit_limit(self.table.active_count()));
        let taken = self.news.take(room, most_told, |key| table.get(key).map(|held| size(&held.to_wire(now))));
        datagram.updates = first;
        datagram.updates.extend(taken.into_iter().filter_map(|key| Some(table.get(key)?.to_wire(now))));
        self.put(&datagram, to);
    }

    fn put(&mut self, datagram: &Datagram, to: SocketAddr) {
        let bytes = datagram.encode_to_vec();
        self.sent += bytes.len() as u64;
        self.outputs.push_back(Output::Datagram { to, bytes });
    }

    /// Passes news on to a member.
    fn push(&mut self, now: Nanos, to: MemberId) {
        let Some(address) = self.table.get(to).and_then(|held| self.address(held)) else { return };
        let datagram = self.datagram(DatagramKind::Gossip, 0, MemberId::default());
        self.send(now, datagram, address, Some(to), crate::settings::MAX_DATAGRAM_BYTES);
    }

    /// Says so of a member by its own seeing.
    fn claim(&mut self, now: Nanos, key: MemberId, state: MemberState, refused: bool) {
        let Some(held) = self.table.get(key) else { return };
        let said: Arc<EncodedRecord> = held.encoded.clone();
        let heard = MemberClaim { encoded: said, state, connection_refused: refused, state_since: now as i64, reporter: self.me };
        self.take(now, &heard);
    }
}

/// Bytes of an entry within a message.
fn size(entry: &crate::wire::WireEntry) -> usize {
    entry.encoded_len() + 4
}
