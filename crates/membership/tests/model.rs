//! The machine that runs, under every order of delivery, loss, restart and time that three members can see within a bound.
//!
//! From each state that is reached the fleet is also played on without further faults: however it came there, views become equal
//! and whoever lives is alive in all of them. An old process never comes back in any step.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;

use pumicehead_membership::simulation::{node_address, node_name};
use pumicehead_membership::{MS, MemberId, MemberRecord, MemberState, SECOND, Settings};
use pumicehead_membership::{
    Membership, MembershipConfig, Output, SequenceNumber, StreamAction, StreamProbeOutcome,
};
use stateright::{Checker, Model, Property};

const NODES: usize = 3;
const START: u64 = 1_000 * SECOND;
/// Seconds in which the fleet, played on without faults, has to settle: over the minute in which one alone in its finding waits.
const STEPS: u64 = 200;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Message {
    Datagram { to: usize, from: usize, bytes: Vec<u8> },
    Frame { to: usize, from: usize, back: bool, check: Option<SequenceNumber>, bytes: Vec<u8> },
}

#[derive(Clone, Debug)]
struct Node {
    member: Option<Membership>,
    now: u64,
    starts: u64,
}

#[derive(Clone, Debug)]
struct Fleet {
    nodes: Vec<Node>,
    /// What is on its way; each once, in no order.
    net: BTreeSet<Message>,
    /// The highest epoch that each has held of each.
    epochs: BTreeMap<(usize, usize), u64>,
    lost: u8,
    crashed: u8,
    /// An old process came back somewhere.
    went_back: bool,
    steps: u8,
}

impl Fleet {
    /// What makes two states the same: all that members hold and have out, relative to their clocks.
    fn essence(&self) -> impl Hash + PartialEq + use<> {
        let nodes: Vec<_> = self
            .nodes
            .iter()
            .map(|node| {
                node.member.as_ref().map(|member| {
                    let mut held: Vec<_> = member
                        .table()
                        .iter()
                        .map(|held| {
                            (
                                held.encoded.id(),
                                held.precedence(),
                                held.reachable_from_here,
                                held.last_heard - node.now as i64,
                            )
                        })
                        .collect();
                    held.sort_unstable();
                    let doubts: Vec<_> = (0..NODES)
                        .map(|of| {
                            member
                                .suspicion(MemberId::from_name(&node_name(of)))
                                .map(|doubt| (doubt.accusers.len(), doubt.connection_refused))
                        })
                        .collect();
                    (
                        held,
                        doubts,
                        member.next_timer().saturating_sub(node.now),
                        member.health_multiplier(),
                        member.is_stopped(),
                    )
                })
            })
            .collect();
        (nodes, self.net.clone(), self.lost, self.crashed, self.went_back)
    }

    fn carry_out(&mut self, of: usize) {
        let Some(member) = &mut self.nodes[of].member else { return };
        let outputs: Vec<_> = member.take_outputs().collect();
        for output in outputs {
            let at = |to: SocketAddr| (0..NODES).find(|node| node_address(*node) == to);
            match output {
                Output::Event(_) => {}
                Output::Datagram { to, bytes } => {
                    if let Some(to) = at(to) {
                        self.net.insert(Message::Datagram { to, from: of, bytes });
                    }
                }
                Output::PushPull { to, frame } => {
                    if let Some(to) = at(to) {
                        self.net.insert(Message::Frame {
                            to,
                            from: of,
                            back: false,
                            check: None,
                            bytes: frame,
                        });
                    }
                }
                Output::StreamProbe { seq, to, frame } => {
                    let Some(to) = at(to) else { continue };
                    if self.nodes[to].member.is_some() {
                        let check = Some(seq);
                        self.net.insert(Message::Frame { to, from: of, back: false, check, bytes: frame });
                    } else {
                        let now = self.nodes[of].now;
                        if let Some(member) = &mut self.nodes[of].member {
                            member.on_stream_probe(now, seq, StreamProbeOutcome::Refused);
                        }
                    }
                }
            }
        }
        for by in 0..NODES {
            let Some(member) = &self.nodes[by].member else { continue };
            for held in member.table().iter() {
                let Some(of) =
                    (0..NODES).find(|of| MemberId::from_name(&node_name(*of)) == held.encoded.id())
                else {
                    continue;
                };
                let epoch = held.encoded.record.epoch;
                let before = self.epochs.insert((by, of), epoch);
                self.went_back |= before.is_some_and(|before| before > epoch);
            }
        }
    }

    fn deliver(&mut self, message: &Message) {
        self.net.remove(message);
        let to = match message {
            Message::Datagram { to, .. } | Message::Frame { to, .. } => *to,
        };
        let now = self.nodes[to].now;
        let Some(member) = &mut self.nodes[to].member else { return };
        let mut answer = None;
        match message {
            Message::Datagram { from, bytes, .. } => member.on_datagram(now, node_address(*from), bytes),
            Message::Frame { from, back: false, check, bytes, .. } => {
                if let Ok(StreamAction::Reply(bytes)) =
                    member.on_stream_request(now, node_address(*from), bytes)
                {
                    answer = Some(Message::Frame { to: *from, from: to, back: true, check: *check, bytes });
                }
            }
            Message::Frame { from, back: true, check, bytes, .. } => {
                let came = member.on_stream_reply(now, node_address(*from), bytes);
                if let Some(seq) = check {
                    member.on_stream_probe(now, *seq, StreamProbeOutcome::Answered);
                } else if let StreamAction::Reply(bytes) = came {
                    answer = Some(Message::Frame { to: *from, from: to, back: false, check: None, bytes });
                }
            }
        }
        self.net.extend(answer);
        self.carry_out(to);
    }

    /// Time goes on for one member, up to what it waits for.
    fn tick(&mut self, of: usize) {
        let node = &mut self.nodes[of];
        let Some(member) = &mut node.member else { return };
        node.now = member.next_timer().max(node.now + 1);
        member.on_timer(node.now);
        self.carry_out(of);
    }

    fn start(&mut self, of: usize) {
        let node = &mut self.nodes[of];
        node.starts += 1;
        let card = MemberRecord {
            name: node_name(of),
            epoch: node.starts,
            address: node_address(of).to_string(),
            node_number: of as u32 + 1,
            ..MemberRecord::default()
        };
        let setup = MembershipConfig {
            settings: Settings::default(),
            fleet_name: "model".into(),
            record: card,
            seeds: (0..NODES).map(node_address).collect(),
            address_overrides: Vec::new(),
            initial_node_count: 1,
            rng_seed: of as u64,
        };
        node.member = Some(Membership::new(setup, node.now).unwrap());
        // What the process before had held is gone with it.
        self.epochs.retain(|(by, _), _| *by != of);
        self.carry_out(of);
    }

    /// No more faults: all that is sent arrives, and clocks go on alike. Whether views become equal and right.
    fn settles(&self) -> bool {
        let mut fleet = self.clone();
        for of in 0..NODES {
            if fleet.nodes[of].member.as_ref().is_none_or(Membership::is_stopped) {
                fleet.start(of);
            }
        }
        // One clock from here on: the furthest.
        let now = fleet.nodes.iter().map(|node| node.now).max().unwrap_or_default();
        let end = now + STEPS * SECOND;
        let mut at = now;
        while at < end {
            while let Some(message) = fleet.net.first().cloned() {
                fleet.deliver(&message);
            }
            if fleet.is_well() {
                return true;
            }
            at += 50 * MS;
            for of in 0..NODES {
                fleet.nodes[of].now = at;
                let node = &mut fleet.nodes[of];
                if let Some(member) = &mut node.member
                    && member.next_timer() <= at
                {
                    member.on_timer(at);
                }
                fleet.carry_out(of);
            }
        }
        false
    }

    fn is_well(&self) -> bool {
        let members: Vec<_> = self.nodes.iter().filter_map(|node| node.member.as_ref()).collect();
        members.len() == NODES
            && members.windows(2).all(|two| two[0].table().fingerprint() == two[1].table().fingerprint())
            && members[0].table().count_in_state(MemberState::Alive) == NODES
    }
}

impl PartialEq for Fleet {
    fn eq(&self, other: &Self) -> bool {
        self.essence() == other.essence()
    }
}

impl Hash for Fleet {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.essence().hash(state);
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Deliver(Message),
    Lose(Message),
    Tick(usize),
    Crash(usize),
    Restart(usize),
}

struct Bounded {
    steps: u8,
    losses: u8,
    crashes: u8,
}

impl Model for Bounded {
    type State = Fleet;
    type Action = Step;

    fn init_states(&self) -> Vec<Fleet> {
        let node = Node { member: None, now: START, starts: 0 };
        let mut fleet = Fleet {
            nodes: vec![node; NODES],
            net: BTreeSet::new(),
            epochs: BTreeMap::new(),
            lost: 0,
            crashed: 0,
            went_back: false,
            steps: 0,
        };
        (0..NODES).for_each(|of| fleet.start(of));
        let play_on = |fleet: &Fleet, ticks: usize| {
            let mut fleet = fleet.clone();
            for _ in 0..ticks {
                while let Some(message) = fleet.net.first().cloned() {
                    fleet.deliver(&message);
                }
                let running = (0..NODES).filter(|of| fleet.nodes[*of].member.is_some());
                let first =
                    running.min_by_key(|of| fleet.nodes[*of].member.as_ref().map(Membership::next_timer));
                first.into_iter().for_each(|of| fleet.tick(of));
            }
            fleet
        };
        // One that is just starting, one that has settled, and ones where a member was killed: suspected, held dead.
        let settled = play_on(&fleet, 400);
        assert!(settled.is_well());
        let mut killed = settled.clone();
        killed.nodes[2].member = None;
        let held = |fleet: &Fleet| {
            fleet.nodes[0]
                .member
                .as_ref()?
                .table()
                .get(MemberId::from_name(&node_name(2)))
                .map(|held| held.state)
        };
        let when = |state: MemberState| {
            (0..200).map(|ticks| play_on(&killed, ticks)).find(|fleet| held(fleet) == Some(state))
        };
        let (suspected, dead) = (when(MemberState::Suspect).unwrap(), when(MemberState::Dead).unwrap());
        vec![fleet, settled, suspected, dead]
    }

    fn actions(&self, fleet: &Fleet, actions: &mut Vec<Step>) {
        if fleet.steps >= self.steps {
            return;
        }
        for message in &fleet.net {
            actions.push(Step::Deliver(message.clone()));
            if fleet.lost < self.losses {
                actions.push(Step::Lose(message.clone()));
            }
        }
        for of in 0..NODES {
            if fleet.nodes[of].member.is_some() {
                actions.push(Step::Tick(of));
                if fleet.crashed < self.crashes {
                    actions.push(Step::Crash(of));
                }
            } else {
                actions.push(Step::Restart(of));
            }
        }
    }

    fn next_state(&self, fleet: &Fleet, step: Step) -> Option<Fleet> {
        let mut next = fleet.clone();
        next.steps += 1;
        match step {
            Step::Deliver(message) => next.deliver(&message),
            Step::Lose(message) => {
                next.net.remove(&message);
                next.lost += 1;
            }
            Step::Tick(of) => next.tick(of),
            Step::Crash(of) => {
                next.nodes[of].member = None;
                next.crashed += 1;
            }
            Step::Restart(of) => next.start(of),
        }
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no old process comes back", |_, fleet: &Fleet| !fleet.went_back),
            Property::always(
                "once faults are over views are equal and all who live are alive",
                |_, fleet: &Fleet| fleet.settles(),
            ),
        ]
    }
}

/// Guards the machine over all that can happen to three members in so many steps.
#[test]
fn whatever_happens_views_settle() {
    let checker = Bounded { steps: 7, losses: 2, crashes: 1 }.checker().threads(2).spawn_bfs().join();
    assert!(checker.unique_state_count() > 100_000, "{}", checker.unique_state_count());
    checker.assert_properties();
}
