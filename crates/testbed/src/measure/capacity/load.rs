//! Latencies at a node's share of the target's traffic, with and without configuration changes, compared with those of
//! requests sent to the backends directly.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use pumicehead_load_generator::engine::{Progress, Protocol, Setup, run};
use pumicehead_load_generator::mix::Plan as Requests;
use pumicehead_load_generator::outcome::{Outcome, Tally};
use pumicehead_load_generator::report::Summary;
use pumicehead_load_generator::schedule::{Arrivals, Schedule};
use pumicehead_load_generator::shape::Shape;

use super::file::{Change, Variant, mix, text};
use super::probe::TurnWatch;
use super::process::NodeProcess;
use super::size::Size;

/// A node's share of 57,000 requests per second over 580 nodes.
pub const RATE: f64 = 98.0;
/// Connection limit of the load generator.
const CONNECTIONS: usize = 1_000;
/// Number of backends that receive direct requests.
const DIRECT_BACKENDS: usize = 50;

/// How nodes are loaded.
#[derive(Clone, Copy, Debug)]
pub struct LoadPlan {
    /// Seed of the random requests.
    pub seed: u64,
    /// Length of the warm-up, which is not measured.
    pub warm_up: Duration,
    /// Length of the load on each node in a round.
    pub span: Duration,
    /// Rounds, in each of which all nodes are loaded in turn.
    pub rounds: usize,
    /// Interval between changes.
    pub change_every: Duration,
}

/// A node that is loaded, with configuration changes of one kind or none.
pub struct LoadedNode {
    /// Its name in the table.
    pub name: String,
    /// Kind of the changes.
    pub change: Option<Change>,
    node: NodeProcess,
    /// Results through the node, by round.
    through: Vec<Tally>,
    /// Results of direct requests to the backends at the same time, by round.
    direct: Vec<Tally>,
    /// The longest turn of its event loop.
    longest_turn: Duration,
    /// Changes that were in force by the end.
    changes: usize,
}

/// Results over all rounds.
#[derive(Clone, Debug)]
pub struct LoadResult {
    /// Through the node.
    pub through: Latencies,
    /// The lowest and the highest p99 of a round through the node.
    pub p99_of_rounds: (Duration, Duration),
    /// Direct requests to the backends at the same time.
    pub direct: Latencies,
    /// Lower bound of the longest turn of the node's event loop: its processor time between two sleeps.
    pub longest_turn: Duration,
    /// Changes that were in force by the end.
    pub changes: usize,
    /// Stalls in the node's log.
    pub stalls: usize,
}

/// Requests and their latencies.
#[derive(Clone, Copy, Debug)]
pub struct Latencies {
    /// Number of requests.
    pub requests: u64,
    /// Answered with 429 or 503.
    pub refused: u64,
    /// Neither served nor refused.
    pub failed: u64,
    /// Median latency of served requests.
    pub p50: Duration,
    /// 99th percentile of the latency of served requests.
    pub p99: Duration,
    /// Longest latency of a served request.
    pub longest: Duration,
    /// Whether the load generator kept its schedule.
    pub valid: bool,
}

impl LoadedNode {
    /// Starts a node of a size.
    ///
    /// # Errors
    /// A node that does not start.
    pub fn start(
        name: String,
        program: &Path,
        change: Option<Change>,
        size: Size,
        backends: &[SocketAddr],
    ) -> io::Result<Self> {
        let node = NodeProcess::start(program, &text(size, backends, Variant::default()))?;
        Ok(Self {
            name,
            change,
            node,
            through: Vec::new(),
            direct: Vec::new(),
            longest_turn: Duration::ZERO,
            changes: 0,
        })
    }

    /// Runs a round: loads the node and the backends, and makes the changes of the round.
    fn run_round(
        &mut self,
        plan: &LoadPlan,
        round: usize,
        size: Size,
        backends: &[SocketAddr],
    ) -> io::Result<()> {
        let seed = plan.seed.wrapping_add(round as u64);
        let (address, span) = (vec![self.node.address], plan.span);
        let direct = backends[..DIRECT_BACKENDS.min(backends.len())].to_vec();
        let turns = TurnWatch::start(self.node.id())?;
        let through = thread::spawn(move || run_load(address, size, span, seed));
        let beside = thread::spawn(move || run_load(direct, size, span, seed));
        self.make_changes(plan, size, backends)?;
        let failed = |_| io::Error::other("load thread panicked");
        self.through.push(through.join().map_err(failed)??);
        self.direct.push(beside.join().map_err(failed)??);
        self.longest_turn = self.longest_turn.max(turns.stop()?);
        Ok(())
    }

    /// Makes the changes of a round, the first after half an interval.
    fn make_changes(&mut self, plan: &LoadPlan, size: Size, backends: &[SocketAddr]) -> io::Result<()> {
        let Some(change) = self.change else { return Ok(()) };
        let start = Instant::now();
        let mut due = plan.change_every / 2;
        while due < plan.span {
            thread::sleep(due.saturating_sub(start.elapsed()));
            self.node.change_to(&text(size, backends, change.variant(self.changes)))?;
            self.changes += 1;
            due += plan.change_every;
        }
        Ok(())
    }

    fn result(&mut self, plan: &LoadPlan) -> LoadResult {
        LoadResult {
            through: latencies(&self.through, plan),
            p99_of_rounds: p99_of_rounds(&self.through, plan),
            direct: latencies(&self.direct, plan),
            longest_turn: self.longest_turn,
            changes: self.changes,
            stalls: self.node.stalls(),
        }
    }
}

/// Loads all nodes in turn, round after round.
///
/// # Errors
/// A node that does not answer, or rejects a change.
pub fn run_rounds(
    nodes: &mut [LoadedNode],
    plan: &LoadPlan,
    size: Size,
    backends: &[SocketAddr],
) -> io::Result<Vec<LoadResult>> {
    for loaded in &*nodes {
        run_load(vec![loaded.node.address], size, plan.warm_up, plan.seed)?;
    }
    for round in 0..plan.rounds {
        for loaded in &mut *nodes {
            loaded.run_round(plan, round, size, backends)?;
        }
    }
    Ok(nodes.iter_mut().map(|loaded| loaded.result(plan)).collect())
}

/// Loads targets at [`RATE`] in an open loop: Poisson arrivals, drawn in advance, which don't depend on responses.
fn run_load(targets: Vec<SocketAddr>, size: Size, span: Duration, seed: u64) -> io::Result<Tally> {
    let span = span.as_nanos() as u64;
    let schedule = Schedule::new(Shape::Constant(RATE), Arrivals::Poisson, span, seed);
    let requests = Requests::generated(schedule, mix(size), seed);
    let setup = Setup {
        targets,
        protocol: Protocol::Http,
        threads: 1,
        connections: CONNECTIONS,
        closed: None,
        relaxed: false,
        seed,
    };
    run(&requests, &setup, &Arc::new(Progress::default()))
}

fn latencies(rounds: &[Tally], plan: &LoadPlan) -> Latencies {
    let Some((first, more)) = rounds.split_first() else { return Latencies::NONE };
    let mut all = first.clone();
    more.iter().for_each(|tally| all.merge(tally));
    let span = plan.span.as_nanos() as u64 * rounds.len() as u64;
    let summary = Summary::of("capacity", span, &all);
    let served_within = |share| Duration::from_micros(summary.served_us(share));
    let (requests, refused) = (all.requests(), summary.count_of(Outcome::Refused));
    Latencies {
        requests,
        refused,
        failed: requests - refused - summary.count_of(Outcome::Served),
        p50: served_within(0.5),
        p99: served_within(0.99),
        longest: served_within(1.0),
        valid: summary.valid,
    }
}

fn p99_of_rounds(rounds: &[Tally], plan: &LoadPlan) -> (Duration, Duration) {
    let each = || rounds.iter().map(|tally| latencies(std::slice::from_ref(tally), plan).p99);
    (each().min().unwrap_or_default(), each().max().unwrap_or_default())
}

impl Latencies {
    /// The value without any request.
    const NONE: Self = Self {
        requests: 0,
        refused: 0,
        failed: 0,
        p50: Duration::ZERO,
        p99: Duration::ZERO,
        longest: Duration::ZERO,
        valid: false,
    };
}
