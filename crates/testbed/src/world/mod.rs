//! A fleet in virtual time: real decision modules, model servers, clients that arrive whether or not they are served.
//! The same seed plays the same day. Rules are checked from outside as it goes.

mod levels;
mod server;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;

use bytes::Bytes;
use pumicehead_capacity_leases::{ForwarderId, PlannerId};
use pumicehead_policy::Balancer;
use pumicehead_policy::tenant_shares::TenantShares;
use pumicehead_policy::{
    Action, AttemptEnded, AttemptNo, AttemptOutcome, CellId, Class, ClassId, Discovery, EndpointId,
    EndpointInfo, EndpointState, EndpointUpdate, Event, Idempotency, Nanos, NewRequest, RequestId, SECOND,
    Settings, TimerToken, ZoneId,
};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use levels::{Forwarder, Planner};
pub use server::{Health, Job, Server};

/// One way between any two.
const HOP: Nanos = SECOND / 2_000;
/// A request without a final answer this long after its deadline has been lost.
const OVERDUE: Nanos = SECOND / 50;
/// A drain is to be kept within this span.
const DRAIN: Nanos = 2 * SECOND;
/// What cold servers can do, and what pushes them over: as the nodes are told.
const COLD_FROM: f64 = 0.2;
const COLD_SPAN: Nanos = 10 * SECOND;
const FALL_MULTIPLE: f64 = 2.5;
const FALL_SPAN: Nanos = SECOND;

/// What a day is like.
#[derive(Clone, Copy, Debug)]
pub struct Day {
    /// For all draws.
    pub seed: u64,
    /// Nodes that decide alone.
    pub nodes: u32,
    /// Servers, of two cores each.
    pub servers: u32,
    /// Requests over this share of what the servers can do.
    pub load: f64,
    /// Nodes tell each other what they have out.
    pub notes: bool,
    /// Planners that all nodes report to; none where they decide alone.
    pub planners: usize,
}

/// What came of it.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Requests that came.
    pub asked: u64,
    /// Served, and of those within their aim.
    pub served: u64,
    /// Within the aim.
    pub in_aim: u64,
    /// Refused.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Without any answer: rule 1 broken.
    pub lost: u64,
    /// Unsafe requests that ran twice: rule 2 broken.
    pub twice: u64,
    /// Attempts that reached a server more than 2 s into its drain: rule 3 broken.
    pub past_drain: u64,
    /// Cold servers that were pushed over: rule 4 broken.
    pub fallen: u64,
    /// Attempts.
    pub attempts: u64,
    /// Attempts by the second they were sent in, at servers that are failing then.
    pub at_failing: BTreeMap<u64, u64>,
    /// Plans by which a node was granted more of a cold server than it had lent.
    pub grants: u64,
    /// Bytes between the levels.
    pub bytes: u64,
    /// Pairs of nodes and servers with an attempt, by the second.
    pub pairs: BTreeMap<u64, u64>,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Arrive,
    Reach { node: usize, id: u32, attempt: u8, server: usize },
    Done { server: usize, job: u64 },
    End { node: usize, id: u32, attempt: u8, outcome: u8 },
    Timer { node: usize, token: u64 },
    Overdue { node: usize, id: u32 },
    Note { to: usize, from: usize, note: usize },
    News { node: usize, server: usize },
    Report { node: usize, place: usize },
    Told { node: usize, place: usize, message: usize },
    Planned { node: usize, place: usize, message: usize },
    Second,
}

struct Asked {
    class: usize,
    arrived: Nanos,
    not_after: Nanos,
    answered: bool,
    /// By number: where, when, and whether it is out.
    attempts: Vec<(usize, Nanos, bool)>,
    ran: u32,
}

struct Node {
    balancer: Balancer,
    asked: BTreeMap<u32, Asked>,
    next: u32,
}

/// A day under way.
pub struct World {
    day: Day,
    rng: Pcg64Mcg,
    now: Nanos,
    due: BinaryHeap<Reverse<(Nanos, u64, Due)>>,
    events: u64,
    nodes: Vec<Node>,
    /// The servers.
    pub servers: Vec<Server>,
    notes: Vec<Arc<[u8]>>,
    forwarders: Vec<Forwarder>,
    planners: Vec<Option<Planner>>,
    /// Messages between the levels on their way.
    messages: BTreeMap<usize, Bytes>,
    pairs: std::collections::HashSet<(usize, usize)>,
    /// What came of it so far.
    pub tally: Tally,
}

const AIMS: [Nanos; 2] = [1_200 * SECOND / 1_000, 600 * SECOND / 1_000];
const DEADLINES: [Nanos; 2] = [6 * SECOND, 1_200 * SECOND / 1_000];

fn classes() -> Vec<Class> {
    let class = |place: usize, worth, effect| Class {
        latency_objective: AIMS[place],
        objective_per_work: 0.0,
        deadline: DEADLINES[place],
        priority_weight: worth,
        late_weight: 0.2,
        idempotency: effect,
        ordered_by_key: false,
    };
    vec![class(0, 1.0, Idempotency::Idempotent), class(1, 10.0, Idempotency::NotIdempotent)]
}

fn settings(day: &Day, me: u32) -> Settings {
    Settings {
        node_index: me,
        node_count: day.nodes,
        zone: ZoneId(0),
        zone_count: 1,
        classes: classes(),
        tenants: TenantShares::default(),
        over_share_weight: 0.2,
        weight_by_work: false,
        discovery: Discovery::Push,
        tick: SECOND / 1_000,
        max_attempts: 3,
        concurrent_attempts: true,
        cancellation: true,
        retry_after: true,
        max_retry_after: 2 * SECOND,
        connections_have_cost: false,
        cross_zone_cost: 0.0,
        weight_is_capacity: false,
        load_reports: day.notes,
        load_report_cost: 0.001,
        poll_interval: 10 * SECOND,
        drain_grace: 2 * SECOND,
        warmup_initial_fraction: COLD_FROM,
        warmup_duration: COLD_SPAN,
        overload_multiple: FALL_MULTIPLE,
        overload_duration: FALL_SPAN,
        rejection_may_execute: false,
        key_cooldown: 0,
        drain_idle_close: None,
    }
}

const OUTCOMES: [AttemptOutcome; 6] = [
    AttemptOutcome::Success,
    AttemptOutcome::Error,
    AttemptOutcome::Rejected,
    AttemptOutcome::ConnectFailed,
    AttemptOutcome::TimedOut,
    AttemptOutcome::Cancelled,
];

fn code(outcome: AttemptOutcome) -> u8 {
    OUTCOMES.iter().position(|known| *known == outcome).unwrap_or(1) as u8
}

fn planner(place: usize, now: Nanos) -> Planner {
    Planner::new(PlannerId(now ^ place as u64), now)
}

impl World {
    /// At its start: all servers warm and known.
    #[must_use]
    pub fn new(day: Day) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(day.seed);
        let servers: Vec<_> = (0..day.servers).map(|_| Server::warm()).collect();
        let nodes = (0..day.nodes).map(|me| Node {
            balancer: Balancer::new(settings(&day, me), rng.next_u64()),
            asked: BTreeMap::new(),
            next: 0,
        });
        let nodes = nodes.collect();
        let mut world = Self {
            day,
            rng,
            now: SECOND,
            due: BinaryHeap::new(),
            events: 0,
            nodes,
            servers,
            notes: Vec::new(),
            forwarders: (0..day.nodes).map(|_| Forwarder::new(day.planners, SECOND)).collect(),
            planners: (0..day.planners).map(|place| Some(planner(place, SECOND))).collect(),
            messages: BTreeMap::new(),
            pairs: std::collections::HashSet::new(),
            tally: Tally::default(),
        };
        let list: Arc<[EndpointInfo]> = (0..world.servers.len()).map(|server| world.info(server)).collect();
        for node in 0..world.nodes.len() {
            world.tell(node, Event::EndpointsUpdated(EndpointUpdate::Snapshot(list.clone())));
        }
        world.push(world.now, Due::Arrive);
        for node in 0..world.nodes.len() {
            for place in 0..day.planners {
                // No herd: each begins at a time of its own.
                let at = world.now + world.rng.next_u64() % levels::PACE;
                world.push(at, Due::Report { node, place });
            }
        }
        world.push(world.now + SECOND, Due::Second);
        world
    }

    fn info(&self, server: usize) -> EndpointInfo {
        let known = &self.servers[server];
        EndpointInfo {
            id: EndpointId(server as u32),
            zone: ZoneId(0),
            cell: CellId(0),
            state: if known.draining_since.is_some() {
                EndpointState::Draining
            } else {
                EndpointState::Ready
            },
            weight: 1.0,
            started_at: known.started_at,
        }
    }

    /// Time since the start of the world.
    #[must_use]
    pub fn now(&self) -> Nanos {
        self.now
    }

    /// A server's process ends and another, cold one takes its place, announced to all at once.
    pub fn restart(&mut self, server: usize) {
        self.servers[server].restart(self.now);
        self.announce(server);
    }

    /// A server is to take no more work.
    pub fn drain(&mut self, server: usize) {
        self.servers[server].draining_since = Some(self.now);
        self.announce(server);
    }

    /// Whether any planner is there.
    #[must_use]
    pub fn has_planners(&self) -> bool {
        self.planners.iter().any(Option::is_some)
    }

    /// All planners end at once.
    pub fn stop_planners(&mut self) {
        self.planners.iter_mut().for_each(|planner| *planner = None);
    }

    /// All planners are there again, as other processes that know nothing.
    pub fn start_planners(&mut self) {
        for place in 0..self.planners.len() {
            self.planners[place] = Some(planner(place, self.now));
            self.forwarders.iter_mut().for_each(|forwarder| forwarder.reconnect(place));
        }
    }

    fn carry(&mut self, bytes: Bytes) -> usize {
        self.tally.bytes += bytes.len() as u64;
        self.events += 1;
        self.messages.insert(self.events as usize, bytes);
        self.events as usize
    }

    fn announce(&mut self, server: usize) {
        for node in 0..self.nodes.len() {
            self.push(self.now + HOP, Due::News { node, server });
        }
    }

    fn push(&mut self, at: Nanos, due: Due) {
        self.events += 1;
        self.due.push(Reverse((at, self.events, due)));
    }

    /// In (0, 1].
    fn share(&mut self) -> f64 {
        ((self.rng.next_u64() >> 11) + 1) as f64 / (1u64 << 53) as f64
    }

    fn exponential(&mut self, mean_s: f64) -> Nanos {
        (-self.share().ln() * mean_s * SECOND as f64) as Nanos
    }

    /// Plays on for a span.
    pub fn run(&mut self, span: Nanos) {
        let until = self.now + span;
        while let Some(&Reverse((at, _, due))) = self.due.peek() {
            if at > until {
                break;
            }
            self.due.pop();
            self.now = at;
            self.happen(due);
        }
        self.now = until;
    }

    fn happen(&mut self, due: Due) {
        match due {
            Due::Arrive => self.arrive(),
            Due::Reach { node, id, attempt, server } => self.reach(node, id, attempt, server),
            Due::Done { server, job } => self.done(server, job),
            Due::End { node, id, attempt, outcome } => {
                self.end(node, id, attempt, OUTCOMES[usize::from(outcome)])
            }
            Due::Timer { node, token } => self.tell(node, Event::TimerFired(TimerToken(token))),
            Due::Overdue { node, id } => self.overdue(node, id),
            Due::Note { to, from, note } => {
                let body = self.notes[note].to_vec();
                self.tell(to, Event::LoadReport { from: from as u32, body });
            }
            Due::News { node, server } => {
                let known = &self.servers[server];
                if known.draining_since.is_some() {
                    self.forwarders[node].draining(server as u32, known.started_at);
                }
                let change = EndpointUpdate::Delta(Arc::from([self.info(server)]));
                self.tell(node, Event::EndpointsUpdated(change));
            }
            Due::Report { node, place } => {
                self.push(self.now + levels::PACE, Due::Report { node, place });
                if self.planners[place].is_some() {
                    let shares = self.nodes[node].balancer.slow_start_rates();
                    let bytes = self.forwarders[node].report(place, shares, self.now);
                    // What is lent is done without before anybody hears of it.
                    let advice = self.forwarders[node].advice(self.now);
                    self.tell(node, Event::CapacityAdvice(advice));
                    let message = self.carry(bytes);
                    self.push(self.now + HOP, Due::Told { node, place, message });
                }
            }
            Due::Told { node, place, message } => {
                let Some(bytes) = self.messages.remove(&message) else { return };
                let Some(planner) = &mut self.planners[place] else { return };
                if let Some(plan) = planner.report(ForwarderId(node as u64 + 1), &bytes, self.now) {
                    let message = self.carry(plan);
                    self.push(self.now + HOP, Due::Planned { node, place, message });
                }
            }
            Due::Planned { node, place, message } => {
                let Some(bytes) = self.messages.remove(&message) else { return };
                if self.forwarders[node].plan(place, &bytes, self.now) {
                    let advice = self.forwarders[node].advice(self.now);
                    let lent = |server| {
                        advice.lent.iter().find(|(id, _)| *id == server).map_or(0.0, |(_, rate)| *rate)
                    };
                    self.tally.grants +=
                        u64::from(advice.granted.iter().any(|&(server, rate)| rate > lent(server)));
                    self.tell(node, Event::CapacityAdvice(advice));
                }
            }
            Due::Second => {
                self.tally.pairs.insert(self.now / SECOND, self.pairs.len() as u64);
                self.pairs.clear();
                self.push(self.now + SECOND, Due::Second);
            }
        }
    }

    fn arrive(&mut self) {
        let rate = self.day.load * f64::from(self.day.servers) * server::RATE;
        let next = self.now + self.exponential(1.0 / rate);
        self.push(next, Due::Arrive);
        let node = (self.rng.next_u64() % self.nodes.len() as u64) as usize;
        let class = usize::from(self.share() < 0.2);
        let not_after = self.now + DEADLINES[class];
        let asking = &mut self.nodes[node];
        let id = asking.next;
        asking.next += 1;
        let asked =
            Asked { class, arrived: self.now, not_after, answered: false, attempts: Vec::new(), ran: 0 };
        asking.asked.insert(id, asked);
        self.tally.asked += 1;
        self.push(not_after + OVERDUE, Due::Overdue { node, id });
        let request = NewRequest {
            id: RequestId(id),
            class: ClassId(class as u16),
            tenant: None,
            cost_hint: None,
            key: None,
            deadline: not_after,
        };
        self.tell(node, Event::Request(request));
    }

    fn tell(&mut self, node: usize, event: Event) {
        let mut actions = Vec::new();
        self.nodes[node].balancer.handle(self.now, event, &mut actions);
        for action in actions {
            self.act(node, action);
        }
    }

    fn act(&mut self, node: usize, action: Action) {
        match action {
            Action::StartAttempt { id, endpoint, timeout, .. } => {
                self.send(node, id.0, endpoint.0 as usize, timeout)
            }
            Action::Reject { id, .. } => {
                if self.answer(node, id.0) {
                    self.tally.refused += 1;
                }
            }
            Action::Fail(id) => {
                if self.answer(node, id.0) {
                    self.tally.failed += 1;
                }
            }
            Action::CancelAttempt { id, attempt } => {
                let outcome = code(AttemptOutcome::Cancelled);
                // Told as any end, by which time it may have ended otherwise.
                self.push(self.now, Due::End { node, id: id.0, attempt: attempt.0, outcome });
            }
            Action::ArmTimer { at, token } => self.push(at, Due::Timer { node, token: token.0 }),
            Action::SendLoadReport { to, body } => {
                self.notes.push(body);
                let note = self.notes.len() - 1;
                self.push(self.now + HOP, Due::Note { to: to as usize, from: node, note });
            }
            Action::CloseIdleConnections(_) | Action::Subscribe => {}
        }
    }

    fn answer(&mut self, node: usize, id: u32) -> bool {
        let Some(asked) = self.nodes[node].asked.get_mut(&id) else { return false };
        !std::mem::replace(&mut asked.answered, true)
    }

    fn send(&mut self, node: usize, id: u32, server: usize, timeout: Option<Nanos>) {
        let Some(asked) = self.nodes[node].asked.get_mut(&id) else { return };
        let attempt = asked.attempts.len() as u8;
        asked.attempts.push((server, self.now, true));
        let until = timeout.map_or(asked.not_after, |span| (self.now + span).min(asked.not_after));
        self.tally.attempts += 1;
        self.pairs.insert((node, server));
        if self.servers[server].health != Health::Sound {
            *self.tally.at_failing.entry(self.now / SECOND).or_default() += 1;
        }
        self.push(self.now + HOP, Due::Reach { node, id, attempt, server });
        let outcome = code(AttemptOutcome::TimedOut);
        self.push(until, Due::End { node, id, attempt, outcome });
    }

    fn reach(&mut self, node: usize, id: u32, attempt: u8, server: usize) {
        let job = Job { node, id, attempt };
        let now = self.now;
        let known = &mut self.servers[server];
        if known.draining_since.is_some_and(|since| now > since + DRAIN) {
            self.tally.past_drain += 1;
        }
        let fell = known.arrived(now);
        if fell {
            self.tally.fallen += 1;
            self.restart(server);
        }
        let outcome = match self.servers[server].health {
            Health::Failing => Some(AttemptOutcome::Error),
            Health::Silent => return,
            Health::Sound if fell => Some(AttemptOutcome::ConnectFailed),
            Health::Sound => (!self.servers[server].has_room()).then_some(AttemptOutcome::Rejected),
        };
        if let Some(outcome) = outcome {
            self.push(now + HOP, Due::End { node, id, attempt, outcome: code(outcome) });
            return;
        }
        if let Some(asked) = self.nodes[node].asked.get_mut(&id) {
            asked.ran += 1;
            if asked.class == 1 && asked.ran > 1 {
                self.tally.twice += 1;
            }
        }
        let number = self.servers[server].take(job);
        if self.servers[server].begin(number) {
            self.work(server, number);
        }
    }

    fn work(&mut self, server: usize, job: u64) {
        let span = self.exponential(server::SERVICE_S / self.servers[server].speed(self.now));
        self.push(self.now + span, Due::Done { server, job });
    }

    fn done(&mut self, server: usize, number: u64) {
        // Of a process that is gone nothing comes.
        let Some((job, next)) = self.servers[server].finish(number) else { return };
        let Job { node, id, attempt } = job;
        self.push(self.now + HOP, Due::End { node, id, attempt, outcome: code(AttemptOutcome::Success) });
        if let Some(next) = next {
            self.work(server, next);
        }
    }

    fn end(&mut self, node: usize, id: u32, attempt: u8, outcome: AttemptOutcome) {
        let now = self.now;
        let Some(asked) = self.nodes[node].asked.get_mut(&id) else { return };
        let Some((server, sent, out)) = asked.attempts.get_mut(usize::from(attempt)) else { return };
        if !std::mem::replace(out, false) {
            return;
        }
        let (server, took) = (*server, now - *sent);
        if outcome == AttemptOutcome::Success && !std::mem::replace(&mut asked.answered, true) {
            self.tally.served += 1;
            self.tally.in_aim += u64::from(now - asked.arrived <= AIMS[asked.class]);
        }
        if matches!(outcome, AttemptOutcome::Success | AttemptOutcome::Error | AttemptOutcome::TimedOut) {
            let born = self.servers[server].started_at;
            self.forwarders[node].ended(server as u32, born, outcome != AttemptOutcome::Success);
        }
        let complete = asked.answered;
        let ended = AttemptEnded {
            id: RequestId(id),
            attempt: AttemptNo(attempt),
            endpoint: EndpointId(server as u32),
            outcome,
            duration: took,
            final_answer: complete,
        };
        self.tell(node, Event::AttemptEnded(ended));
    }

    fn overdue(&mut self, node: usize, id: u32) {
        let Some(asked) = self.nodes[node].asked.remove(&id) else { return };
        if !asked.answered {
            self.tally.lost += 1;
        }
        self.tell(node, Event::ClientDisconnected(RequestId(id)));
    }
}
