//! The fleet's view of itself: how soon a crash is known, who is wronged, how soon views are one again, and what it costs; in
//! virtual time beside heartbeats from all to all, and with processes under the storm.

use std::io;
use std::process::Command;

use prost::Message;
use pumicehead_membership::simulation::{Simulation, SimulationConfig as Fleet};
use pumicehead_membership::{EncodedRecord, MemberClaim, MemberTable};
use pumicehead_membership::{MS, MemberRecord, MemberState, Nanos, SECOND};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;

use super::Plan;
use crate::program::{build, build_node, built, temporary};
use crate::report::Report;

const STEP: Nanos = 100 * MS;
/// No figure takes longer in virtual time.
const LIMIT: Nanos = 120 * SECOND;

/// What a size came to.
#[derive(Default)]
struct Row {
    first: Option<Nanos>,
    last: Option<Nanos>,
    healed: Option<Nanos>,
    joined: Option<Nanos>,
    bytes: f64,
}

fn dead(sim: &Simulation, nodes: usize, of: usize) -> usize {
    (0..nodes).filter(|&by| by != of && sim.state_of(by, of) == Some(MemberState::Dead)).count()
}

/// Virtual time at one size.
fn size(nodes: usize, seed: u64) -> Row {
    let mut sim = Simulation::new(Fleet::without_faults(nodes, seed));
    sim.start_all_known();
    sim.run_for(3 * SECOND);
    let before = sim.sent();
    sim.run_for(10 * SECOND);
    let after = sim.sent();
    // With the heads of UDP and IP, which are half of it.
    let bytes = (after.bytes - before.bytes) as f64 + HEADS * (after.datagrams - before.datagrams) as f64;
    let bytes = bytes / nodes as f64 / 10.0;
    sim.kill(1);
    let first = sim.run_until(STEP, LIMIT, |sim| dead(sim, nodes, 1) > 0);
    let last = first
        .and_then(|first| Some(first + sim.run_until(STEP, LIMIT, |sim| dead(sim, nodes, 1) == nodes - 1)?));
    sim.start(1, &[0, 2]);
    let joined = sim.run_until(STEP, LIMIT, Simulation::has_converged);
    Row { first, last, healed: None, joined, bytes }
}

/// Crashes whose median counts.
const CRASHES: u64 = 41;

/// A crash at a chance moment: until the first and the last of the others holds it dead.
fn crash(nodes: usize, seed: u64) -> (Nanos, Nanos) {
    let mut sim = Simulation::new(Fleet::without_faults(nodes, seed));
    sim.start_all_known();
    sim.run_for(2 * SECOND + seed * 37 % 500 * MS);
    sim.kill(1);
    let fine = STEP / 10;
    let first = sim.run_until(fine, LIMIT, |sim| dead(sim, nodes, 1) > 0).unwrap_or(LIMIT);
    let rest = sim.run_until(fine, LIMIT, |sim| dead(sim, nodes, 1) == nodes - 1).unwrap_or(LIMIT);
    (first, first + rest)
}

/// A partition of a minute, and until views are one again.
fn heal(nodes: usize, seed: u64) -> Option<Nanos> {
    let mut sim = Simulation::new(Fleet::without_faults(nodes, seed));
    sim.start_all_known();
    sim.block_links(|from, to| from % 2 != to % 2);
    sim.run_for(60 * SECOND);
    sim.block_links(|_, _| false);
    sim.run_until(STEP, LIMIT, |sim| {
        sim.has_converged()
            && sim.member(0).is_some_and(|member| member.table().count_in_state(MemberState::Alive) == nodes)
    })
}

/// Members newly held dead that lived, over some time at 5% loss with a tenth standing still for 2 s at a time.
fn wronged(nodes: usize, seed: u64, span: Nanos) -> usize {
    let mut sim = Simulation::new(Fleet { loss: 0.05, ..Fleet::without_faults(nodes, seed) });
    sim.start_all_known();
    let (mut rng, mut wronged) = (Pcg64Mcg::seed_from_u64(seed), 0);
    for _ in 0..span / (2 * SECOND) {
        let still: Vec<_> = (0..nodes.div_ceil(10)).map(|_| rng.next_u64() as usize % nodes).collect();
        still.iter().for_each(|node| sim.pause(*node));
        sim.run_for(2 * SECOND);
        still.iter().for_each(|node| sim.resume(*node));
        wronged += (0..nodes).filter(|&of| dead(&sim, nodes, of) > 0).count();
    }
    wronged
}

/// The plain rival: each tells each other one every second that it is there, and who is silent for five is dead.
struct Rival {
    first: Nanos,
    last: Nanos,
    wronged: usize,
    bytes: f64,
}

/// Heads of a datagram over UDP and IPv4, in bytes.
const HEADS: f64 = 28.0;
/// A heartbeat: a name's number, an epoch, a count.
const HEARTBEAT: f64 = 24.0 + HEADS;

fn rival(nodes: usize, seed: u64, span: Nanos) -> Rival {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut draw = move || (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
    // A crash at a random moment of its beat: each other one waits five seconds from the last beat that came.
    let beat = (draw() * SECOND as f64) as Nanos;
    let mut found: Vec<_> = (1..nodes).map(|_| 5 * SECOND - beat + (draw() * MS as f64) as Nanos).collect();
    found.sort_unstable();
    // The same loss and stalls as above, counted for each pair by its beats.
    let mut wronged = 0;
    let rounds = span / (2 * SECOND);
    let mut missed = vec![0u32; nodes * nodes];
    for _ in 0..rounds {
        let still: Vec<_> = (0..nodes.div_ceil(10)).map(|_| (draw() * nodes as f64) as usize).collect();
        let mut seen = vec![false; nodes];
        for by in 0..nodes {
            for of in 0..nodes {
                for _ in 0..2 {
                    let lost = by == of || still.contains(&of) || still.contains(&by) || draw() < 0.05;
                    let count = &mut missed[by * nodes + of];
                    *count = if lost { *count + 1 } else { 0 };
                    // Whoever stood still itself sees all as silent: after two seconds not yet as dead.
                    seen[of] |= by != of && *count >= 5;
                }
            }
        }
        wronged += seen.into_iter().filter(|seen| *seen).count();
    }
    let (first, last) =
        (found.first().copied().unwrap_or_default(), found.last().copied().unwrap_or_default());
    Rival { first, last, wronged, bytes: HEARTBEAT * (nodes - 1) as f64 }
}

#[derive(Deserialize)]
struct Outcome {
    served: [f64; 3],
    finds: Vec<serde_json::Value>,
    views: Option<Views>,
}

#[derive(Deserialize)]
struct Views {
    found_s: Option<(f64, f64)>,
    settled_s: Option<f64>,
    wronged: u64,
}

/// The scenario whose nodes know nothing of each other in the control run.
const CONTROL: &str = include_str!("../../../chaos/scenarios/members-crash.toml");
/// Worth that a play may serve less than another one by chance alone: few requests on a busy machine.
const CHANCE: f64 = 0.03;

/// The control run: the same without members.
fn control(seed: u64) -> io::Result<Outcome> {
    let file = temporary(".toml");
    std::fs::write(&file, CONTROL.replace("members = true", "members = false"))?;
    let outcome = play(&file.display().to_string(), seed);
    std::fs::remove_file(&file)?;
    outcome
}

/// Plays of a scenario that is void before it is given up.
const PLAYS: usize = 3;

/// A scenario with processes.
fn play(name: &str, seed: u64) -> io::Result<Outcome> {
    let mut last = None;
    for _ in 0..PLAYS {
        let done = Command::new(built("pumicehead-chaos")?)
            .args(["run", name, "--json", "--seed", &seed.to_string()])
            .output()?;
        let outcome: Outcome = serde_json::from_slice(&done.stdout).map_err(|_| {
            io::Error::other(format!("{name}: {}", String::from_utf8_lossy(&done.stderr).trim()))
        })?;
        let void = outcome.finds.iter().any(|find| find["checker"] == "lag");
        last = Some(outcome);
        if !void {
            break;
        }
    }
    last.ok_or_else(|| io::ErrorKind::Other.into())
}

fn shown(span: Option<Nanos>) -> String {
    span.map_or("no".into(), |span| format!("{:.1}", span as f64 / SECOND as f64))
}

/// Memory that an entry of a view takes, in bytes: its share of a table of many, names and cards included.
fn entry_bytes() -> f64 {
    const ENTRIES: u64 = 10_000;
    let own = || crate::program::memory(std::process::id());
    let before = own();
    let mut table = MemberTable::default();
    for number in 0..ENTRIES {
        let card = MemberRecord {
            name: format!("node-{number}.mexico.example"),
            epoch: 1_700_000_000_000 + number,
            address: format!("10.0.{}.{}:7400", number / 250, number % 250),
            zone: "mx-central".into(),
            program_version: "0.2.0".into(),
            capabilities: vec!["view".into()],
            ..MemberRecord::default()
        };
        let raw = card.encode_to_vec();
        let said = EncodedRecord::new(card, raw);
        let witness = said.id();
        table.merge(&MemberClaim {
            encoded: said,
            state: MemberState::Alive,
            connection_refused: false,
            state_since: 0,
            reporter: witness,
        });
    }
    let taken = own().saturating_sub(before) as f64 / table.len().max(1) as f64;
    drop(table);
    taken
}

/// Runs it.
///
/// # Errors
/// Programs that can't be built or started.
pub fn measure(plan: Plan) -> io::Result<Report> {
    build_node()?;
    // Before anything else has taken memory and given it back.
    let entry = entry_bytes();
    build("pumicehead-chaos")?;
    let mut report = Report::new(
        "view",
        &[
            "fleet",
            "dead: first, s",
            "last, s",
            "back: all equal, s",
            "healed, s",
            "wronged",
            "bytes/s a node",
        ],
    );
    let names: &[&str] = if plan.long {
        &[
            "members-crash",
            "members-stall",
            "members-join",
            "members-asymmetric",
            "members-partition",
            "members-fifty",
        ]
    } else {
        &["members-crash", "members-fifty"]
    };
    // Processes wait most of the time: two at once, so that a short run is short.
    let alone = std::thread::spawn(move || control(plan.seed));
    let mut played = Vec::new();
    for two in names.chunks(2) {
        let done: Vec<_> = std::thread::scope(|scope| {
            let started: Vec<_> = two.iter().map(|name| scope.spawn(|| play(name, plan.seed))).collect();
            let failed = || Err(io::Error::other("a thread failed"));
            started.into_iter().map(|play| play.join().unwrap_or_else(|_| failed())).collect()
        });
        played.extend(done.into_iter().collect::<io::Result<Vec<_>>>()?);
    }
    let alone = alone.join().unwrap_or_else(|_| Err(io::Error::other("a thread failed")))?;
    let with = played.first().map_or(0.0, |outcome| outcome.served[1]);
    report.claim(alone.views.is_none() && alone.finds.is_empty(), "control: all rules kept, and no views");
    report.claim(
        with >= alone.served[1] - CHANCE,
        "members serve as much as nodes that know nothing of each other",
    );
    report.figure("served_during", format!("{with:.3}"));
    report.figure("served_during_alone", format!("{:.3}", alone.served[1]));
    for (name, outcome) in names.iter().zip(&played) {
        let views = outcome.views.as_ref().ok_or_else(|| io::Error::other(format!("{name} has no views")))?;
        let found = views.found_s.map(|(first, last)| [format!("{first:.1}"), format!("{last:.1}")]);
        let [first, last] = found.unwrap_or_else(|| ["".into(), "".into()]);
        let settled = views.settled_s.map_or("no".into(), |after| format!("{after:.1}"));
        report.row(&[
            format!("{name}, processes"),
            first,
            last,
            settled,
            String::new(),
            views.wronged.to_string(),
        ]);
        report.claim(outcome.finds.is_empty(), format!("{name}: all rules kept, views settle"));
        report.claim(views.wronged == 0, format!("{name}: nobody who runs is held dead"));
        if *name == "members-fifty" {
            let within = views.found_s.is_some_and(|(_, last)| last <= 5.0);
            report.claim(within, "a crash among 50 processes is known to the last in 5 s");
            report.claim(
                views.settled_s.is_some_and(|after| after <= 5.0),
                "50 views are one again within 5 s",
            );
            if let Some((first, last)) = views.found_s {
                report.figure("found_first_s", format!("{first:.1}"));
                report.figure("found_last_s", format!("{last:.1}"));
            }
        }
    }
    let sizes: &[usize] = if plan.long { &[4, 50, 277, 1_250, 10_000] } else { &[4, 50, 277, 1_250] };
    let (mut small, mut large) = (0.0, 0.0);
    for &nodes in sizes {
        let mut row = size(nodes, plan.seed);
        if nodes <= 277 {
            row.healed = heal(nodes, plan.seed);
        }
        report.row(&[
            format!("{nodes}, virtual"),
            shown(row.first),
            shown(row.last),
            shown(row.joined),
            if nodes <= 277 { shown(row.healed) } else { String::new() },
            String::new(),
            format!("{:.0}", row.bytes),
        ]);
        if nodes == 50 {
            small = row.bytes;
            report.claim(
                row.healed.is_some_and(|span| span <= 5 * SECOND),
                "50 views are one within 5 s of a heal",
            );
        }
        large = row.bytes;
        report.claim(
            row.last.is_some_and(|span| span < 10 * SECOND),
            format!("{nodes}: known to the last in 10 s"),
        );
        report.claim(row.bytes < 2_048.0, format!("{nodes}: under 2 KiB a second a node"));
    }
    // When a dead member is next asked is chance, and so is a single play: the median counts.
    let mut crashes: Vec<_> = (0..CRASHES).map(|more| crash(50, plan.seed + more)).collect();
    crashes.sort_unstable();
    let (first, last) = crashes[crashes.len() / 2];
    let latest = crashes.iter().map(|(_, last)| *last).max().unwrap_or(LIMIT);
    report.row(&[format!("50, virtual, {CRASHES} crashes: medians"), shown(Some(first)), shown(Some(last))]);
    report.claim(first <= 2 * SECOND, "a crash among 50 is known to the first in 2 s, by the median");
    report.claim(latest <= 5 * SECOND, "a crash among 50 is known to the last in 5 s, each time");
    report.figure("last_of_all_s", shown(Some(latest)));
    // No more than a logarithm: from 50 to the largest that is a factor of some two.
    report.claim(large <= 2.4 * small, "bytes grow by no more than a logarithm");
    let span = if plan.long { 3_600 * SECOND } else { 600 * SECOND };
    let (own, rival) = (wronged(50, plan.seed, span), rival(50, plan.seed, span));
    report.row(&[
        format!("50, virtual, 5% lost, a tenth still, {} s", span / SECOND),
        String::new(),
        String::new(),
        String::new(),
        String::new(),
        own.to_string(),
    ]);
    report.row(&[
        "50, heartbeats to all, the same".into(),
        shown(Some(rival.first)),
        shown(Some(rival.last)),
        String::new(),
        String::new(),
        rival.wronged.to_string(),
        format!("{:.0}", rival.bytes),
    ]);
    report.row(&[
        "1250, heartbeats to all".into(),
        String::new(),
        String::new(),
        String::new(),
        String::new(),
        String::new(),
        format!("{:.0}", HEARTBEAT * 1_249.0),
    ]);
    report.claim(own == 0, "nobody who lives is held dead under loss and stalls");
    report.figure("entry_bytes", format!("{entry:.0}"));
    report.figure("wronged", own);
    report.figure("rival_wronged", rival.wronged);
    report.figure("bytes_50", format!("{small:.0}"));
    report.figure("bytes_most", format!("{large:.0}"));
    Ok(report)
}
