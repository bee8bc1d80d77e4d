//! A fleet in virtual time: members as they run, over links that lose, delay and cut, in processes that are stopped and killed.
//! The same seed plays the same fleet.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::rc::Rc;

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::card::{MemberRecord, MemberId};
use crate::member::{StreamProbeOutcome, Event, StreamAction, Membership, Output, MembershipConfig};
use crate::settings::Settings;
use crate::state::MemberState;
use crate::table::MemberTable;
use crate::{MS, Nanos, SECOND};

/// Clocks of processes begin here, so that times before a start can be told.
const START: Nanos = 10_000 * SECOND;
/// What waits for a process that stands still; more is lost, as from a full queue.
const MOST_WAITING: usize = 4_096;
/// A stream's piece that was lost comes this much later.
const RESEND: Nanos = 200 * MS;

/// A fleet.
#[derive(Clone, Debug)]
pub struct SimulationConfig {
    /// How its members behave.
    pub settings: Settings,
    /// Processes, of which none has started yet.
    pub nodes: usize,
    /// Zones, dealt out in turn.
    pub zones: usize,
    /// For all draws.
    pub seed: u64,
    /// The way takes this long ...
    pub delay: Nanos,
    /// ... and up to this much more.
    pub jitter: Nanos,
    /// Share of datagrams that are lost.
    pub loss: f64,
    /// Share of them that come twice.
    pub duplication: f64,
}

impl SimulationConfig {
    /// A calm fleet.
    #[must_use]
    pub fn without_faults(nodes: usize, seed: u64) -> Self {
        let settings = Settings::default();
        Self { settings, nodes, zones: 3, seed, delay: MS / 2, jitter: MS / 2, loss: 0.0, duplication: 0.0 }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Datagram {
        to: usize,
        from: usize,
        bytes: Vec<u8>,
    },
    /// A frame of an exchange that `by` began; `back` is on the way back to it.
    Frame {
        to: usize,
        from: usize,
        back: bool,
        check: Option<u32>,
        bytes: Vec<u8>,
    },
    Checked {
        to: usize,
        seq: u32,
        checked: u8,
    },
    Timer {
        of: usize,
    },
}

const CHECKED: [StreamProbeOutcome; 4] = [StreamProbeOutcome::Answered, StreamProbeOutcome::Refused, StreamProbeOutcome::NoResponse, StreamProbeOutcome::Unreachable];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Runs {
    Up,
    Still,
    Down,
}

struct Process {
    member: Option<Membership>,
    runs: Runs,
    waiting: Vec<What>,
    timer: Nanos,
    starts: u64,
    /// Bytes sent over streams, and datagrams.
    bytes: u64,
    datagrams: u64,
    events: Vec<Event>,
}

type Cut = Rc<dyn Fn(usize, usize) -> bool>;

/// The fleet.
pub struct Simulation {
    plan: SimulationConfig,
    now: Nanos,
    rng: Pcg64Mcg,
    all: Vec<Process>,
    queue: BinaryHeap<Reverse<(Nanos, u64, What)>>,
    count: u64,
    cut: Cut,
}

/// Where a process is reached.
#[must_use]
pub fn address(node: usize) -> SocketAddr {
    let [_, a, b, c] = (node as u32).to_be_bytes();
    SocketAddr::from(([10, a, b, c], 7_000))
}

fn node(address: SocketAddr) -> usize {
    match address.ip() {
        std::net::IpAddr::V4(ip) => {
            let [_, a, b, c] = ip.octets();
            u32::from_be_bytes([0, a, b, c]) as usize
        }
        std::net::IpAddr::V6(_) => usize::MAX,
    }
}

/// A process's name.
#[must_use]
pub fn name(node: usize) -> String {
    format!("n{node}")
}

impl Simulation {
    /// Processes that have not started.
    #[must_use]
    pub fn new(plan: SimulationConfig) -> Self {
        let all = (0..plan.nodes).map(|_| Process {
            member: None,
            runs: Runs::Down,
            waiting: Vec::new(),
            timer: Nanos::MAX,
            starts: 0,
            bytes: 0,
            datagrams: 0,
            events: Vec::new(),
        });
        Self {
            now: START,
            rng: Pcg64Mcg::seed_from_u64(plan.seed),
            all: all.collect(),
            queue: BinaryHeap::new(),
            count: 0,
            cut: Rc::new(|_, _| false),
            plan,
        }
    }

    /// Time since the start.
    #[must_use]
    pub fn now(&self) -> Nanos {
        self.now - START
    }

    /// What a process says of itself at its next start.
    fn setup(&self, of: usize, seeds: &[usize]) -> MembershipConfig {
        let card = MemberRecord {
            name: name(of),
            // Clocks of machines differ by days: an epoch tells starts of one machine apart and nothing else.
            epoch: (of as u64 % 7) * 86_400_000 + self.now / MS + self.all[of].starts,
            address: address(of).to_string(),
            zone: format!("z{}", of % self.plan.zones.max(1)),
            program_version: "0".into(),
            ..MemberRecord::default()
        };
        MembershipConfig {
            settings: self.plan.settings.clone(),
            fleet_name: "sim".into(),
            record: card,
            seeds: seeds.iter().map(|seed| address(*seed)).collect(),
            address_overrides: Vec::new(),
            initial_node_count: 1,
            rng_seed: self.plan.seed.wrapping_mul(1_000_003) ^ (of as u64) << 20 ^ self.all[of].starts,
        }
    }

    /// Starts a process that is down.
    ///
    /// # Panics
    /// Where the plan's settings can't be.
    pub fn start(&mut self, of: usize, seeds: &[usize]) {
        self.all[of].starts += 1;
        let setup = self.setup(of, seeds);
        let member = Membership::new(setup, self.now).expect("settings that can be");
        let process = &mut self.all[of];
        process.member = Some(member);
        process.runs = Runs::Up;
        process.timer = Nanos::MAX;
        self.settle(of);
    }

    /// Starts all at once as if they had known each other for long.
    ///
    /// # Panics
    /// Where the plan's settings can't be.
    pub fn start_all_known(&mut self) {
        let mut table = MemberTable::default();
        for of in 0..self.all.len() {
            self.all[of].starts += 1;
            let mut setup = self.setup(of, &[]);
            setup.record.node_number = of as u32 + 1;
            let member = Membership::new(setup, self.now).expect("settings that can be");
            for held in member.table().iter() {
                table.merge(&crate::table::MemberClaim {
                    encoded: held.encoded.clone(),
                    state: held.state,
                    connection_refused: false,
                    state_since: held.state_since,
                    reporter: held.reporter,
                });
            }
            self.all[of].member = Some(member);
            self.all[of].runs = Runs::Up;
        }
        for of in 0..self.all.len() {
            if let Some(member) = &mut self.all[of].member {
                member.adopt_table(&table);
            }
            self.settle(of);
        }
    }

    /// Kills a process.
    pub fn kill(&mut self, of: usize) {
        let process = &mut self.all[of];
        process.member = None;
        process.runs = Runs::Down;
        process.timer = Nanos::MAX;
        process.waiting.clear();
    }

    /// Stops a process: its kernel goes on.
    pub fn pause(&mut self, of: usize) {
        if self.all[of].runs == Runs::Up {
            self.all[of].runs = Runs::Still;
        }
    }

    /// Has it go on; what came meanwhile is handed over at once.
    pub fn resume(&mut self, of: usize) {
        if self.all[of].runs != Runs::Still {
            return;
        }
        self.all[of].runs = Runs::Up;
        for what in std::mem::take(&mut self.all[of].waiting) {
            self.play(what);
        }
        self.all[of].timer = Nanos::MAX;
        self.settle(of);
    }

    /// Lets a process leave in order.
    pub fn leave(&mut self, of: usize) {
        let now = self.now;
        if let Some(member) = &mut self.all[of].member {
            member.leave(now);
        }
        self.carry_out(of);
        self.kill(of);
    }

    /// From now on nothing gets from one to another where this says so.
    pub fn block_links(&mut self, cut: impl Fn(usize, usize) -> bool + 'static) {
        self.cut = Rc::new(cut);
    }

    /// A member, where its process runs or stands still.
    #[must_use]
    pub fn member(&self, of: usize) -> Option<&Membership> {
        self.all[of].member.as_ref()
    }

    /// Does something to a member, as its process would.
    pub fn with_member(&mut self, of: usize, what: impl FnOnce(&mut Membership, Nanos)) {
        let now = self.now;
        if let Some(member) = &mut self.all[of].member {
            what(member, now);
        }
        self.settle(of);
    }

    /// Whether its process runs.
    #[must_use]
    pub fn is_up(&self, of: usize) -> bool {
        self.all[of].runs == Runs::Up
    }

    /// What one holds another for.
    #[must_use]
    pub fn state_of(&self, by: usize, of: usize) -> Option<MemberState> {
        self.member(by)?.table().get(MemberId::from_name(&name(of))).map(|held| held.state)
    }

    /// Whether all that run and belong to a fleet hold the same.
    #[must_use]
    pub fn has_converged(&self) -> bool {
        let mut prints = self
            .all
            .iter()
            .filter(|process| process.runs == Runs::Up)
            .filter_map(|process| process.member.as_ref().filter(|member| !member.is_stopped()))
            .map(|member| member.table().fingerprint());
        let first = prints.next();
        prints.all(|print| Some(print) == first)
    }

    /// Bytes sent by all until now, and datagrams among them.
    #[must_use]
    pub fn sent(&self) -> (u64, u64) {
        (self.all.iter().map(|p| p.bytes).sum(), self.all.iter().map(|p| p.datagrams).sum())
    }

    /// What a process told until now.
    pub fn take_events(&mut self, of: usize) -> Vec<Event> {
        std::mem::take(&mut self.all[of].events)
    }

    /// Runs for a span.
    pub fn run_for(&mut self, span: Nanos) {
        let end = self.now + span;
        while let Some(Reverse((at, ..))) = self.queue.peek()
            && *at <= end
        {
            let Some(Reverse((at, _, what))) = self.queue.pop() else { break };
            self.now = at;
            self.play(what);
        }
        self.now = end;
    }

    /// Runs until something holds, looked at this often; how long that took, or `None` where it does not within the limit.
    pub fn run_until(
        &mut self,
        step: Nanos,
        limit: Nanos,
        mut holds: impl FnMut(&Self) -> bool,
    ) -> Option<Nanos> {
        let start = self.now;
        while !holds(self) {
            if self.now >= start + limit {
                return None;
            }
            self.run_for(step);
        }
        Some(self.now - start)
    }

    fn push(&mut self, at: Nanos, what: What) {
        self.count += 1;
        self.queue.push(Reverse((at, self.count, what)));
    }

    fn draw(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn way(&mut self) -> Nanos {
        self.plan.delay + (self.draw() * self.plan.jitter as f64) as Nanos
    }

    fn play(&mut self, what: What) {
        let of = match &what {
            What::Datagram { to, .. } | What::Frame { to, .. } | What::Checked { to, .. } => *to,
            What::Timer { of } => {
                if self.all[*of].timer != self.now || self.all[*of].runs != Runs::Up {
                    return;
                }
                self.all[*of].timer = Nanos::MAX;
                *of
            }
        };
        let now = self.now;
        let process = &mut self.all[of];
        match process.runs {
            Runs::Down => return,
            Runs::Still => {
                if process.waiting.len() < MOST_WAITING {
                    process.waiting.push(what);
                }
                return;
            }
            Runs::Up => {}
        }
        let Some(member) = &mut process.member else { return };
        match what {
            What::Datagram { from, bytes, .. } => member.on_datagram(now, address(from), &bytes),
            What::Timer { .. } => {
                if member.next_timer() <= now {
                    member.on_timer(now);
                }
            }
            What::Checked { seq, checked, .. } => member.on_stream_probe(now, seq, CHECKED[usize::from(checked)]),
            What::Frame { from, back: true, check: Some(seq), bytes, .. } => {
                member.on_stream_reply(now, address(from), &bytes);
                member.on_stream_probe(now, seq, StreamProbeOutcome::Answered);
            }
            What::Frame { from, back: true, check: None, bytes, .. } => {
                if let StreamAction::Reply(bytes) = member.on_stream_reply(now, address(from), &bytes) {
                    self.stream(of, from, false, None, bytes);
                }
            }
            What::Frame { from, back: false, check, bytes, .. } => {
                let answer = match member.on_stream_request(now, address(from), &bytes) {
                    Ok(StreamAction::Reply(bytes)) => Some(bytes),
                    Ok(StreamAction::Close) => None,
                    Err((_, refusal)) => Some(refusal),
                };
                if let Some(bytes) = answer {
                    self.stream(of, from, true, check, bytes);
                }
            }
        }
        self.settle(of);
    }

    /// Carries out what a member wants, and sets its timer.
    fn settle(&mut self, of: usize) {
        self.carry_out(of);
        let process = &mut self.all[of];
        let Some(member) = &process.member else { return };
        let next = member.next_timer().max(self.now);
        if process.runs == Runs::Up && next < process.timer {
            process.timer = next;
            self.push(next, What::Timer { of });
        }
    }

    fn carry_out(&mut self, of: usize) {
        let Some(member) = &mut self.all[of].member else { return };
        let outputs: Vec<_> = member.take_outputs().collect();
        for output in outputs {
            match output {
                Output::Event(event) => self.all[of].events.push(event),
                Output::Datagram { to, bytes } => {
                    self.all[of].bytes += bytes.len() as u64;
                    self.all[of].datagrams += 1;
                    let to = node(to);
                    if to >= self.all.len() || (self.cut)(of, to) || self.draw() < self.plan.loss {
                        continue;
                    }
                    let copies = if self.draw() < self.plan.duplication { 2 } else { 1 };
                    for _ in 0..copies {
                        let at = self.now + self.way();
                        self.push(at, What::Datagram { to, from: of, bytes: bytes.clone() });
                    }
                }
                Output::PushPull { to, frame } => self.stream(of, node(to), false, None, frame),
                Output::StreamProbe { seq, to, frame } => {
                    let to = node(to);
                    let patience = self.plan.settings.probe_timeout;
                    if to >= self.all.len() || (self.cut)(of, to) || (self.cut)(to, of) {
                        self.push(self.now + patience, What::Checked { to: of, seq, checked: 3 });
                        continue;
                    }
                    match self.all[to].runs {
                        Runs::Down => {
                            let at = self.now + 2 * self.way();
                            self.push(at, What::Checked { to: of, seq, checked: 1 });
                        }
                        Runs::Still => {
                            self.push(self.now + patience, What::Checked { to: of, seq, checked: 2 })
                        }
                        Runs::Up => self.stream(of, to, false, Some(seq), frame),
                    }
                }
            }
        }
    }

    /// A frame on its way: late where a piece of it is lost, and nowhere where the way is cut.
    fn stream(&mut self, from: usize, to: usize, back: bool, check: Option<u32>, bytes: Vec<u8>) {
        self.all[from].bytes += bytes.len() as u64;
        if to >= self.all.len() || (self.cut)(from, to) || (self.cut)(to, from) {
            return;
        }
        let mut at = self.now + self.way();
        if self.draw() < self.plan.loss {
            at += RESEND;
        }
        self.push(at, What::Frame { to, from, back, check, bytes });
    }
}
