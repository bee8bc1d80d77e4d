//! A discrete-event simulation of many nodes: real decision modules, modelled servers, and open-loop clients, whose arrivals
//! do not depend on responses. All time is virtual, and the same seed gives the same run.

mod config;
mod counters;
mod event;
mod forwarder;
mod planner;
mod planner_exchange;
mod requests;
mod server;

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;

use bytes::Bytes;
use pumicehead_capacity_leases::PlannerId;
use pumicehead_policy::{
    Balancer, CellId, EndpointId, EndpointInfo, EndpointState, EndpointUpdate, Event, Nanos, SECOND,
    TimerToken, ZoneId,
};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

pub use config::SimulationConfig;
pub use counters::Counters;
use event::{EventQueue, ScheduledEvent};
use forwarder::{Forwarder, REPORT_INTERVAL};
use planner::Planner;
use requests::RequestState;
pub use server::{Health, Job, Server};

/// One-way latency between any two hosts.
const NETWORK_LATENCY: Nanos = SECOND / 2_000;

/// A node: its decision module and the requests that it holds.
struct Node {
    balancer: Balancer,
    requests: BTreeMap<u32, RequestState>,
    next_request: u32,
}

/// A simulation in progress.
pub struct Simulation {
    config: SimulationConfig,
    rng: Pcg64Mcg,
    now: Nanos,
    events: EventQueue,
    nodes: Vec<Node>,
    /// The servers.
    pub servers: Vec<Server>,
    /// Load reports that were sent, by index.
    load_reports: Vec<Arc<[u8]>>,
    /// Each node's exchange with the planners.
    forwarders: Vec<Forwarder>,
    planners: Vec<Option<Planner>>,
    /// Messages between nodes and planners that have not arrived, by number.
    messages: BTreeMap<usize, Bytes>,
    messages_sent: usize,
    /// Pairs of a node and a server with an attempt in the current second.
    pairs: HashSet<(usize, usize)>,
    /// Counters since the start, or since they were last replaced.
    pub counters: Counters,
}

impl Simulation {
    /// A simulation at its start: all servers are warm and in the endpoint list of each node.
    #[must_use]
    pub fn new(config: SimulationConfig) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(config.seed);
        let node = |index| Node {
            balancer: Balancer::new(config::node_settings(&config, index), rng.next_u64()),
            requests: BTreeMap::new(),
            next_request: 0,
        };
        let nodes = (0..config.nodes).map(node).collect();
        let start = SECOND;
        let mut simulation = Self {
            config,
            rng,
            now: start,
            events: EventQueue::default(),
            nodes,
            servers: (0..config.servers).map(|_| Server::warm()).collect(),
            load_reports: Vec::new(),
            forwarders: (0..config.nodes).map(|_| Forwarder::new(config.planners, start)).collect(),
            planners: (0..config.planners).map(|index| Some(new_planner(index, start))).collect(),
            messages: BTreeMap::new(),
            messages_sent: 0,
            pairs: HashSet::new(),
            counters: Counters::default(),
        };
        simulation.announce_all_servers();
        simulation.schedule(start, ScheduledEvent::RequestArrives);
        simulation.schedule_reports();
        simulation.schedule(start + SECOND, ScheduledEvent::SecondEnds);
        simulation
    }

    fn announce_all_servers(&mut self) {
        let endpoints: Arc<[EndpointInfo]> =
            (0..self.servers.len()).map(|server| self.endpoint_info(server)).collect();
        for node in 0..self.nodes.len() {
            self.handle(node, Event::EndpointsUpdated(EndpointUpdate::Snapshot(endpoints.clone())));
        }
    }

    /// Schedules the first report of each node to each planner, spread over an interval.
    fn schedule_reports(&mut self) {
        for node in 0..self.nodes.len() {
            for planner in 0..self.planners.len() {
                let at = self.now + self.rng.next_u64() % REPORT_INTERVAL;
                self.schedule(at, ScheduledEvent::ReportDue { node, planner });
            }
        }
    }

    fn endpoint_info(&self, index: usize) -> EndpointInfo {
        let server = &self.servers[index];
        let draining = server.draining_since.is_some();
        EndpointInfo {
            id: EndpointId(index as u32),
            zone: ZoneId(0),
            cell: CellId(0),
            state: if draining { EndpointState::Draining } else { EndpointState::Ready },
            weight: 1.0,
            started_at: server.started_at,
        }
    }

    /// The current virtual time.
    #[must_use]
    pub fn now(&self) -> Nanos {
        self.now
    }

    /// Replaces a server's process by a cold one, and announces it to all nodes.
    pub fn restart(&mut self, server: usize) {
        self.servers[server].restart(self.now);
        self.announce(server);
    }

    /// Starts to drain a server.
    pub fn drain(&mut self, server: usize) {
        self.servers[server].draining_since = Some(self.now);
        self.announce(server);
    }

    /// Returns whether any planner is running.
    #[must_use]
    pub fn has_planners(&self) -> bool {
        self.planners.iter().any(Option::is_some)
    }

    /// Stops all planners at once.
    pub fn stop_planners(&mut self) {
        self.planners.iter_mut().for_each(|planner| *planner = None);
    }

    /// Starts all planners as new processes without any state.
    pub fn start_planners(&mut self) {
        for index in 0..self.planners.len() {
            self.planners[index] = Some(new_planner(index, self.now));
            self.forwarders.iter_mut().for_each(|forwarder| forwarder.reconnect(index));
        }
    }

    /// Runs the simulation for a span of virtual time.
    pub fn run(&mut self, span: Nanos) {
        let until = self.now + span;
        while let Some((at, event)) = self.events.pop_until(until) {
            self.now = at;
            self.process(event);
        }
        self.now = until;
    }

    fn announce(&mut self, server: usize) {
        for node in 0..self.nodes.len() {
            let event = ScheduledEvent::EndpointUpdateArrives { node, server };
            self.schedule(self.now + NETWORK_LATENCY, event);
        }
    }

    fn schedule(&mut self, at: Nanos, event: ScheduledEvent) {
        self.events.schedule(at, event);
    }

    fn process(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::RequestArrives => self.on_request_arrives(),
            ScheduledEvent::AttemptReaches { job, server } => self.on_attempt_reaches(job, server),
            ScheduledEvent::JobCompletes { server, job } => self.on_job_completes(server, job),
            ScheduledEvent::AttemptEnds { job, outcome } => self.on_attempt_ends(job, outcome.into()),
            ScheduledEvent::TimerFires { node, token } => {
                self.handle(node, Event::TimerFired(TimerToken(token)))
            }
            ScheduledEvent::AnswerOverdue { node, id } => self.on_answer_overdue(node, id),
            ScheduledEvent::LoadReportArrives { to, from, report } => {
                let body = self.load_reports[report].to_vec();
                self.handle(to, Event::LoadReport { from: from as u32, body });
            }
            ScheduledEvent::EndpointUpdateArrives { node, server } => self.on_endpoint_update(node, server),
            ScheduledEvent::ReportDue { node, planner } => self.on_report_due(node, planner),
            ScheduledEvent::ReportArrives { node, planner, message } => {
                self.on_report_arrives(node, planner, message)
            }
            ScheduledEvent::PlanArrives { node, planner, message } => {
                self.on_plan_arrives(node, planner, message)
            }
            ScheduledEvent::SecondEnds => self.on_second_ends(),
        }
    }

    fn on_endpoint_update(&mut self, node: usize, server: usize) {
        let changed = &self.servers[server];
        if changed.draining_since.is_some() {
            self.forwarders[node].set_draining(server as u32, changed.started_at);
        }
        let update = EndpointUpdate::Delta(Arc::from([self.endpoint_info(server)]));
        self.handle(node, Event::EndpointsUpdated(update));
    }

    fn on_second_ends(&mut self) {
        self.counters.node_server_pairs.insert(self.now / SECOND, self.pairs.len() as u64);
        self.pairs.clear();
        self.schedule(self.now + SECOND, ScheduledEvent::SecondEnds);
    }
}

/// A planner with an id that no earlier process of the run has had.
fn new_planner(index: usize, now: Nanos) -> Planner {
    Planner::new(PlannerId(now ^ index as u64), now)
}
