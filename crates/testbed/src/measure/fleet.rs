//! What nodes that decide alone pay as they become many, in virtual time with real decision modules.

use std::io;

use pumicehead_policy::SECOND;

use super::Plan;
use crate::report::Report;
use crate::simulation::{Counters, Health, Simulation, SimulationConfig};

/// Nodes and servers, side by side; all at the same load of the servers.
const SIZES: [(u32, u32); 5] = [(4, 50), (50, 50), (200, 50), (200, 250), (1_250, 250)];
const LOAD: f64 = 0.7;
const PLANNERS: usize = 3;
/// Seconds until things settle, and of trouble.
const SETTLE: u64 = 8;
const TROUBLE: u64 = 6;

/// Shares of two spans of the same config differ by so much by chance, in percent.
const NOISE: f64 = 1.0;

/// Runs it.
///
/// # Errors
/// None; measurements have one form.
pub fn measure(plan: Plan) -> io::Result<Report> {
    let columns = [
        "nodes",
        "planners",
        "servers",
        "in aim %",
        "refused %",
        "failed %",
        "conns a server",
        "failing: sends a s before",
        "in 1st s",
        "in last s",
        "cold: in aim %",
        "fallen",
        "kB/s of levels",
    ];
    let mut report = Report::new("fleet", &columns);
    let mut broken = 0;
    let (mut connections, mut failing_sends) = (Vec::new(), Vec::new());
    let both = SIZES.into_iter().flat_map(|size| [(size, 0), (size, PLANNERS)]);
    for ((nodes, servers), planners) in both {
        let config =
            SimulationConfig { seed: plan.seed, nodes, servers, load: LOAD, load_reports: false, planners };
        let mut simulation = Simulation::new(config);
        simulation.run(SETTLE * SECOND);
        let calm = std::mem::take(&mut simulation.counters);
        // One in fifty servers begins to fail, fast.
        let failing = (servers / 50).max(1);
        (0..failing).for_each(|server| simulation.servers[server as usize].health = Health::Failing);
        simulation.run(TROUBLE * SECOND);
        let trouble = std::mem::take(&mut simulation.counters);
        // One in ten of the others restarts at the same instant.
        let cold = servers / 10;
        (failing..failing + cold).for_each(|server| simulation.restart(server as usize));
        simulation.run(TROUBLE * SECOND);
        let after = std::mem::take(&mut simulation.counters);
        let share = |part: u64, counters: &Counters| {
            format!("{:.2}", 100.0 * part as f64 / counters.requests.max(1) as f64)
        };
        let usual = f64::from(failing) * LOAD * 30.0;
        let second = |place: u64| {
            let first = trouble.node_server_pairs.keys().next().copied().unwrap_or_default();
            trouble.attempts_at_unhealthy.get(&(first + place - 1)).copied().unwrap_or_default()
        };
        let pairs =
            calm.node_server_pairs.values().last().copied().unwrap_or_default() as f64 / f64::from(servers);
        connections.push(pairs);
        failing_sends.push(second(TROUBLE - 1));
        report.row(&[
            nodes.to_string(),
            planners.to_string(),
            servers.to_string(),
            share(calm.within_objective, &calm),
            share(calm.rejected, &calm),
            share(calm.failed, &calm),
            format!("{pairs:.1}"),
            format!("{usual:.0}"),
            second(1).to_string(),
            second(TROUBLE - 1).to_string(),
            share(after.within_objective, &after),
            after.overloaded_cold.to_string(),
            (calm.planner_bytes / SETTLE / 1_000).to_string(),
        ]);
        for counters in [&calm, &trouble, &after] {
            broken += counters.violations();
        }
    }
    let (alone, guided) =
        failing_sends.iter().skip(failing_sends.len() - 2).fold((0, 0), |(_, last), &next| (last, next));
    report.figure("late_sends_to_failing_alone", alone);
    report.figure("late_sends_to_failing_guided", guided);
    report.claim(guided < alone, "a failing server is left sooner with planners, with the most nodes");
    lose_planners(plan, &mut report, &mut broken);
    report.figure("rules_broken", broken);
    report.figure("connections_a_server", format!("{:.1}", connections.last().copied().unwrap_or_default()));
    report.claim(broken == 0, "no rule is broken");
    Ok(report)
}

/// What is served before all planners are lost, while they are, and after they are back.
fn lose_planners(plan: Plan, report: &mut Report, broken: &mut u64) {
    let config = SimulationConfig {
        seed: plan.seed,
        nodes: 200,
        servers: 250,
        load: LOAD,
        load_reports: false,
        planners: PLANNERS,
    };
    let mut simulation = Simulation::new(config);
    simulation.run(SETTLE * SECOND);
    let mut shares = Vec::new();
    for (place, name) in ["with planners", "all lost", "all back"].into_iter().enumerate() {
        match place {
            1 => simulation.stop_planners(),
            2 => simulation.start_planners(),
            _ => {}
        }
        simulation.counters = Counters::default();
        simulation.run(SETTLE * SECOND);
        let counters = std::mem::take(&mut simulation.counters);
        let share = 100.0 * counters.within_objective as f64 / counters.requests.max(1) as f64;
        report.row(&[format!(
            "200 nodes, 250 servers, {name}: {share:.2}% in the aim, {} refused",
            counters.rejected
        )]);
        *broken += counters.violations();
        shares.push(share);
    }
    report.figure("in_aim_with_lost_back", format!("{:.2}/{:.2}/{:.2}", shares[0], shares[1], shares[2]));
    report.claim(
        shares[1] > shares[0] - NOISE && shares[2] > shares[0] - NOISE,
        "no service is lost with the planners",
    );
}
