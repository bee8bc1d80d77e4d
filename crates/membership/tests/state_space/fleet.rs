//! The state of the model that the checker explores: three members, their clocks, and the messages in flight.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;

use pumicehead_membership::simulation::{node_address, node_name};
use pumicehead_membership::{
    MS, MemberId, MemberRecord, MemberState, Membership, MembershipConfig, Output, SECOND, SequenceNumber,
    Settings, StreamAction, StreamProbeOutcome,
};

pub(crate) const NODES: usize = 3;
const START: u64 = 1_000 * SECOND;
/// Time in which the fleet has to converge without further faults: more than the minute after which an unconfirmed suspicion
/// expires.
const CONVERGENCE_LIMIT: u64 = 200 * SECOND;
/// Step of the common clock while the fleet converges.
const CONVERGENCE_STEP: u64 = 50 * MS;

/// A message in flight.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum Message {
    Datagram {
        to: usize,
        from: usize,
        bytes: Vec<u8>,
    },
    Frame {
        to: usize,
        from: usize,
        /// Whether the receiver of the frame opened the stream.
        is_reply: bool,
        /// The probe for which the stream was opened; `None` for push/pull.
        probe: Option<SequenceNumber>,
        bytes: Vec<u8>,
    },
}

#[derive(Clone, Debug)]
pub(crate) struct Node {
    /// `None` while its process is down.
    pub(crate) member: Option<Membership>,
    now: u64,
    starts: u64,
}

/// The fleet. Two states are equal if the members' states relative to their clocks, the messages in flight and the counts of
/// faults are equal.
#[derive(Clone, Debug)]
pub(crate) struct Fleet {
    pub(crate) nodes: Vec<Node>,
    /// Messages in flight, without duplicates, and deliverable in any order.
    pub(crate) network: BTreeSet<Message>,
    /// The last epoch of each member in each table, by observer and member.
    epochs: BTreeMap<(usize, usize), u64>,
    pub(crate) losses: u8,
    pub(crate) crashes: u8,
    /// Whether an earlier epoch replaced a later one in some table.
    pub(crate) epoch_went_back: bool,
    pub(crate) steps: u8,
}

impl Fleet {
    /// Three processes that have just started.
    pub(crate) fn start_all() -> Self {
        let node = Node { member: None, now: START, starts: 0 };
        let mut fleet = Self {
            nodes: vec![node; NODES],
            network: BTreeSet::new(),
            epochs: BTreeMap::new(),
            losses: 0,
            crashes: 0,
            epoch_went_back: false,
            steps: 0,
        };
        (0..NODES).for_each(|node| fleet.start(node));
        fleet
    }

    /// The part of the state by which states are compared.
    fn canonical(&self) -> impl Hash + PartialEq + use<> {
        let nodes: Vec<_> = self
            .nodes
            .iter()
            .map(|node| node.member.as_ref().map(|member| canonical_member(member, node.now)))
            .collect();
        (nodes, self.network.clone(), self.losses, self.crashes, self.epoch_went_back)
    }

    fn execute_outputs(&mut self, node: usize) {
        let Some(member) = &mut self.nodes[node].member else { return };
        let outputs: Vec<_> = member.take_outputs().collect();
        for output in outputs {
            match output {
                Output::Event(_) => {}
                Output::Datagram { to, bytes } => {
                    if let Some(to) = node_at(to) {
                        self.network.insert(Message::Datagram { to, from: node, bytes });
                    }
                }
                Output::PushPull { to, frame } => {
                    if let Some(to) = node_at(to) {
                        self.network.insert(request(node, to, None, frame));
                    }
                }
                Output::StreamProbe { seq, to, frame } => self.probe_stream(node, to, seq, frame),
            }
        }
        self.check_epochs();
    }

    fn probe_stream(&mut self, node: usize, to: SocketAddr, seq: SequenceNumber, frame: Vec<u8>) {
        let Some(to) = node_at(to) else { return };
        if self.nodes[to].member.is_some() {
            self.network.insert(request(node, to, Some(seq), frame));
            return;
        }
        let now = self.nodes[node].now;
        if let Some(member) = &mut self.nodes[node].member {
            member.on_stream_probe(now, seq, StreamProbeOutcome::Refused);
        }
    }

    /// Records whether an earlier epoch of a member replaced a later one in a table.
    fn check_epochs(&mut self) {
        for observer in 0..NODES {
            let Some(member) = &self.nodes[observer].member else { continue };
            for entry in member.table().iter() {
                let Some(node) = (0..NODES).find(|node| id_of(*node) == entry.id()) else { continue };
                let epoch = entry.record().epoch;
                let before = self.epochs.insert((observer, node), epoch);
                self.epoch_went_back |= before.is_some_and(|before| before > epoch);
            }
        }
    }

    pub(crate) fn deliver(&mut self, message: &Message) {
        self.network.remove(message);
        let to = match message {
            Message::Datagram { to, .. } | Message::Frame { to, .. } => *to,
        };
        let now = self.nodes[to].now;
        let Some(member) = &mut self.nodes[to].member else { return };
        let mut reply = None;
        match message {
            Message::Datagram { from, bytes, .. } => member.on_datagram(now, node_address(*from), bytes),
            Message::Frame { from, is_reply: false, probe, bytes, .. } => {
                let action = member.on_stream_request(now, node_address(*from), bytes);
                if let Ok(StreamAction::Reply(bytes)) = action {
                    let (to, from) = (*from, to);
                    reply = Some(Message::Frame { to, from, is_reply: true, probe: *probe, bytes });
                }
            }
            Message::Frame { from, is_reply: true, probe, bytes, .. } => {
                let action = member.on_stream_reply(now, node_address(*from), bytes);
                if let Some(seq) = probe {
                    member.on_stream_probe(now, *seq, StreamProbeOutcome::Answered);
                } else if let StreamAction::Reply(bytes) = action {
                    reply = Some(request(to, *from, None, bytes));
                }
            }
        }
        self.network.extend(reply);
        self.execute_outputs(to);
    }

    /// Advances one member's clock to its next timer.
    pub(crate) fn tick(&mut self, node: usize) {
        let process = &mut self.nodes[node];
        let Some(member) = &mut process.member else { return };
        process.now = member.next_timer().max(process.now + 1);
        member.on_timer(process.now);
        self.execute_outputs(node);
    }

    pub(crate) fn start(&mut self, node: usize) {
        let process = &mut self.nodes[node];
        process.starts += 1;
        let record = MemberRecord {
            name: node_name(node),
            epoch: process.starts,
            address: node_address(node).to_string(),
            node_number: node as u32 + 1,
            ..MemberRecord::default()
        };
        let config = MembershipConfig {
            settings: Settings::default(),
            fleet_name: "model".into(),
            record,
            seeds: (0..NODES).map(node_address).collect(),
            address_overrides: Vec::new(),
            initial_node_count: 1,
            rng_seed: node as u64,
        };
        process.member = Some(Membership::new(config, process.now).unwrap());
        // The table of the previous process is lost.
        self.epochs.retain(|(observer, _), _| *observer != node);
        self.execute_outputs(node);
    }

    /// Continues without faults: delivers all messages, and fires `ticks` timers, each time that of the member whose timer is
    /// due first.
    pub(crate) fn continue_without_faults(&self, ticks: usize) -> Self {
        let mut fleet = self.clone();
        for _ in 0..ticks {
            fleet.deliver_all();
            let running = (0..NODES).filter(|node| fleet.nodes[*node].member.is_some());
            let next_timer = |node: &usize| fleet.nodes[*node].member.as_ref().map(Membership::next_timer);
            let first = running.min_by_key(next_timer);
            first.into_iter().for_each(|node| fleet.tick(node));
        }
        fleet
    }

    fn deliver_all(&mut self) {
        while let Some(message) = self.network.first().cloned() {
            self.deliver(&message);
        }
    }

    /// Whether the fleet converges without further faults, with all processes running and a common clock.
    pub(crate) fn converges(&self) -> bool {
        let mut fleet = self.clone();
        for node in 0..NODES {
            if fleet.nodes[node].member.as_ref().is_none_or(Membership::is_stopped) {
                fleet.start(node);
            }
        }
        let start = fleet.nodes.iter().map(|node| node.now).max().unwrap_or_default();
        let mut now = start;
        while now < start + CONVERGENCE_LIMIT {
            fleet.deliver_all();
            if fleet.is_healthy() {
                return true;
            }
            now += CONVERGENCE_STEP;
            (0..NODES).for_each(|node| fleet.advance_to(node, now));
        }
        false
    }

    fn advance_to(&mut self, node: usize, now: u64) {
        let process = &mut self.nodes[node];
        process.now = now;
        if let Some(member) = &mut process.member
            && member.next_timer() <= now
        {
            member.on_timer(now);
        }
        self.execute_outputs(node);
    }

    /// Whether all processes are running, and all tables are equal with all members alive.
    pub(crate) fn is_healthy(&self) -> bool {
        let members: Vec<_> = self.nodes.iter().filter_map(|node| node.member.as_ref()).collect();
        members.len() == NODES
            && members.windows(2).all(|two| two[0].table().fingerprint() == two[1].table().fingerprint())
            && members[0].table().count_in_state(MemberState::Alive) == NODES
    }

    /// The state of a member in the table of an observer.
    pub(crate) fn state_of(&self, observer: usize, node: usize) -> Option<MemberState> {
        self.nodes[observer].member.as_ref()?.table().get(id_of(node)).map(|entry| entry.state)
    }
}

fn canonical_member(member: &Membership, now: u64) -> impl Hash + PartialEq + use<> {
    let mut entries: Vec<_> = member
        .table()
        .iter()
        .map(|entry| {
            let last_heard = entry.last_heard - now as i64;
            (entry.id(), entry.precedence(), entry.reachable_from_here, last_heard)
        })
        .collect();
    entries.sort_unstable();
    let suspicions: Vec<_> = (0..NODES)
        .map(|node| {
            let suspicion = member.suspicion(id_of(node));
            suspicion.map(|suspicion| (suspicion.accusers.len(), suspicion.connection_refused))
        })
        .collect();
    let next_timer = member.next_timer().saturating_sub(now);
    (entries, suspicions, next_timer, member.health_multiplier(), member.is_stopped())
}

fn request(from: usize, to: usize, probe: Option<SequenceNumber>, bytes: Vec<u8>) -> Message {
    Message::Frame { to, from, is_reply: false, probe, bytes }
}

fn id_of(node: usize) -> MemberId {
    MemberId::from_name(&node_name(node))
}

fn node_at(address: SocketAddr) -> Option<usize> {
    (0..NODES).find(|node| node_address(*node) == address)
}

impl PartialEq for Fleet {
    fn eq(&self, other: &Self) -> bool {
        self.canonical() == other.canonical()
    }
}

impl Hash for Fleet {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.canonical().hash(state);
    }
}
