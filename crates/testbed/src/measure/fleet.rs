//! Service and reaction to faults by the number of nodes, without planners and with them, in virtual time.

use std::io;
use std::mem;

use pumicehead_policy::SECOND;

use super::Plan;
use crate::report::Report;
use crate::simulation::{Counters, Health, Simulation, SimulationConfig};

/// Numbers of nodes and servers; the load per server is the same at all sizes.
const SIZES: [(u32, u32); 5] = [(4, 50), (50, 50), (200, 50), (200, 250), (1_250, 250)];
/// Arrival rate of requests as a share of the servers' capacity.
const LOAD: f64 = 0.7;
/// Requests per second that a warm server can process.
const SERVER_RATE: f64 = 30.0;
const PLANNERS: usize = 3;
/// Time until limits and connections settle, in seconds.
const SETTLE_S: u64 = 8;
/// Time of each fault, in seconds.
const FAULT_S: u64 = 6;
/// Tolerated random difference between the served shares of two spans of one run, in percentage points.
const VARIATION_PERCENT: f64 = 1.0;

const COLUMNS: [&str; 13] = [
    "nodes",
    "planners",
    "servers",
    "within objective %",
    "refused %",
    "failed %",
    "connections per server",
    "failing: attempts/s before",
    "in 1st s",
    "in last s",
    "restarts: within objective %",
    "fallen",
    "planner kB/s",
];

/// Results at one size.
struct SizeResult {
    config: SimulationConfig,
    /// Servers that fail in `fault`.
    failing: u32,
    without_faults: Counters,
    fault: Counters,
    restarts: Counters,
}

/// Runs the measurement.
///
/// # Errors
/// None; the result type is that of all measurements.
pub fn measure(plan: Plan) -> io::Result<Report> {
    let mut report = Report::new("fleet", &COLUMNS);
    let mut violations = 0;
    let mut results = Vec::new();
    for (nodes, servers) in SIZES {
        for planners in [0, PLANNERS] {
            let result = simulate(config(plan, nodes, servers, planners));
            report.row(&result.cells());
            violations += result.violations();
            results.push(result);
        }
    }
    let last_second = |result: &SizeResult| result.attempts_at_failing(FAULT_S - 1);
    let [.., alone, guided] = &results[..] else { return Ok(report) };
    let (alone, guided) = (last_second(alone), last_second(guided));
    report.figure("late_sends_to_failing_alone", alone);
    report.figure("late_sends_to_failing_guided", guided);
    report.claim(guided < alone, "with the most nodes, planners reduce the attempts at failing servers");
    violations += lose_planners(plan, &mut report);
    report.figure("rules_broken", violations);
    let connections = results.last().map_or(0.0, SizeResult::connections_per_server);
    report.figure("connections_a_server", format!("{connections:.1}"));
    report.claim(violations == 0, "no invariant violated");
    Ok(report)
}

fn config(plan: Plan, nodes: u32, servers: u32, planners: usize) -> SimulationConfig {
    SimulationConfig { seed: plan.seed, nodes, servers, load: LOAD, load_reports: false, planners }
}

/// Runs without faults, then with one in fifty servers failing, then with one in ten of the others restarted.
fn simulate(config: SimulationConfig) -> SizeResult {
    let mut simulation = Simulation::new(config);
    simulation.run(SETTLE_S * SECOND);
    let without_faults = mem::take(&mut simulation.counters);
    let failing = (config.servers / 50).max(1);
    (0..failing).for_each(|server| simulation.servers[server as usize].health = Health::Failing);
    simulation.run(FAULT_S * SECOND);
    let fault = mem::take(&mut simulation.counters);
    let restarted = config.servers / 10;
    (failing..failing + restarted).for_each(|server| simulation.restart(server as usize));
    simulation.run(FAULT_S * SECOND);
    let restarts = mem::take(&mut simulation.counters);
    SizeResult { config, failing, without_faults, fault, restarts }
}

impl SizeResult {
    /// Pairs of a node and a server with an attempt in the last second without faults, by server.
    fn connections_per_server(&self) -> f64 {
        let pairs = self.without_faults.node_server_pairs.values().last().copied().unwrap_or_default();
        pairs as f64 / f64::from(self.config.servers)
    }

    /// Attempts at failing servers in a second of the fault, from 1.
    fn attempts_at_failing(&self, second: u64) -> u64 {
        let first = self.fault.node_server_pairs.keys().next().copied().unwrap_or_default();
        self.fault.attempts_at_unhealthy.get(&(first + second - 1)).copied().unwrap_or_default()
    }

    fn violations(&self) -> u64 {
        [&self.without_faults, &self.fault, &self.restarts].map(Counters::violations).iter().sum()
    }

    fn cells(&self) -> [String; COLUMNS.len()] {
        let percent = |part: u64, counters: &Counters| {
            format!("{:.2}", 100.0 * part as f64 / counters.requests.max(1) as f64)
        };
        let (calm, restarts) = (&self.without_faults, &self.restarts);
        let attempts_before = f64::from(self.failing) * LOAD * SERVER_RATE;
        [
            self.config.nodes.to_string(),
            self.config.planners.to_string(),
            self.config.servers.to_string(),
            percent(calm.within_objective, calm),
            percent(calm.rejected, calm),
            percent(calm.failed, calm),
            format!("{:.1}", self.connections_per_server()),
            format!("{attempts_before:.0}"),
            self.attempts_at_failing(1).to_string(),
            self.attempts_at_failing(FAULT_S - 1).to_string(),
            percent(restarts.within_objective, restarts),
            restarts.overloaded_cold.to_string(),
            (calm.planner_bytes / SETTLE_S / 1_000).to_string(),
        ]
    }
}

/// Adds the served share before all planners stop, while they are stopped, and after they restart. Returns the violations.
fn lose_planners(plan: Plan, report: &mut Report) -> u64 {
    let mut simulation = Simulation::new(config(plan, 200, 250, PLANNERS));
    simulation.run(SETTLE_S * SECOND);
    let mut violations = 0;
    let mut phase = |simulation: &mut Simulation, name: &str| {
        simulation.counters = Counters::default();
        simulation.run(SETTLE_S * SECOND);
        let counters = mem::take(&mut simulation.counters);
        let share = 100.0 * counters.within_objective as f64 / counters.requests.max(1) as f64;
        report.row(&[format!(
            "200 nodes, 250 servers, {name}: {share:.2}% within the objective, {} rejected",
            counters.rejected
        )]);
        violations += counters.violations();
        share
    };
    let with = phase(&mut simulation, "with planners");
    simulation.stop_planners();
    let lost = phase(&mut simulation, "with all planners stopped");
    simulation.start_planners();
    let back = phase(&mut simulation, "with all planners restarted");
    report.figure("in_aim_with_lost_back", format!("{with:.2}/{lost:.2}/{back:.2}"));
    report.claim(
        lost > with - VARIATION_PERCENT && back > with - VARIATION_PERCENT,
        format!(
            "with all planners stopped, and after their restart, the share within the objective is less than \
             {VARIATION_PERCENT} percentage points below that before the stop"
        ),
    );
    violations
}
