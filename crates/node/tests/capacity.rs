//! The capacity measurement with a real node of a small size, by counts and not by time.

use std::fs;
use std::net::SocketAddr;
use std::process::Command;
use std::time::Duration;

use pumicehead_testbed::measure::capacity::file::{Change, Variant, text};
use pumicehead_testbed::measure::capacity::load::{LoadPlan, LoadedNode, take_turns};
use pumicehead_testbed::measure::capacity::process::NodeProcess;
use pumicehead_testbed::measure::capacity::sample::sample_all;
use pumicehead_testbed::measure::capacity::size::Size;
use pumicehead_testbed::program::{built, temporary};
use pumicehead_testbed::standin::{StandIn, Work};

const SIZE: Size = Size { backends: 4, pools: 2, routes: 20, tenants: 10 };

fn backends() -> Vec<StandIn> {
    let local = "127.0.0.1:0".parse().unwrap();
    (0..SIZE.backends).map(|_| StandIn::start(local, Work::default()).unwrap()).collect()
}

fn addresses(backends: &[StandIn]) -> Vec<SocketAddr> {
    backends.iter().map(|backend| backend.address).collect()
}

/// Guards that a node is started, asked and changed, and that each figure is read.
#[test]
fn a_small_node_reports_its_capacity() {
    let backends = backends();
    let samples = sample_all(&built("pumicehead").unwrap(), &[SIZE; 2], &addresses(&backends)).unwrap();
    assert_eq!(samples.len(), 2);
    for sample in samples {
        let spans = [
            sample.ready_after,
            sample.start_cpu,
            sample.in_force_after,
            sample.change_cpu,
            sample.change_loop_cpu,
            sample.request_cpu,
            sample.quiet.longest_answer,
            sample.changing.longest_turn,
        ];
        assert!(spans.iter().all(|span| *span > Duration::ZERO), "{sample:?}");
        assert!(sample.change_loop_cpu <= sample.change_cpu, "{sample:?}");
        assert!(sample.resident > 1 << 20 && sample.change_peak > 1 << 20, "{sample:?}");
        assert!(sample.quiet.answers > 0 && sample.changing.answers > 0, "{sample:?}");
    }
    // Requests went to every backend of both pools.
    assert!(backends.iter().all(|backend| backend.requests() > 0));
}

/// Guards that a change is in force when that is said, and that one which can't be used is told.
#[test]
fn a_change_is_applied_or_rejected() {
    let backends = backends();
    let addresses = addresses(&backends);
    let first = text(SIZE, &addresses, Variant::default());
    let mut node = NodeProcess::start(&built("pumicehead").unwrap(), &first).unwrap();
    node.change_to(&text(SIZE, &addresses, Change::Tenant.variant(0))).unwrap();
    let refused = node.change_to("listener public {").unwrap_err();
    assert!(refused.to_string().contains("the old configuration stays"), "{refused}");
    node.change_to(&first).unwrap();
}

/// Guards that all requests of a schedule are counted, through the node and beside it, and all changes made.
#[test]
fn a_loaded_node_applies_its_changes() {
    let backends = backends();
    let addresses = addresses(&backends);
    let second = Duration::from_secs(1);
    let plan = LoadPlan { seed: 1, warm_up: second / 10, span: second, rounds: 2, change_every: second / 2 };
    let program = built("pumicehead").unwrap();
    let start = |change| LoadedNode::start("node".into(), &program, change, SIZE, &addresses).unwrap();
    let mut nodes = [start(None), start(Some(Change::Value)), start(Some(Change::Tenant))];
    let results = take_turns(&mut nodes, &plan, SIZE, &addresses).unwrap();
    let changes: Vec<_> = results.iter().map(|result| result.changes).collect();
    assert_eq!(changes, [0, 4, 4]);
    // The same schedules, whatever becomes of the requests.
    let expected = results[0].direct.requests;
    assert!(expected > 100, "{expected}");
    for result in results {
        assert_eq!((result.through.requests, result.direct.requests), (expected, expected));
        assert!(result.longest_turn > Duration::ZERO);
    }
}

/// Guards the file against the program that operators check it with: no mistakes and no warnings.
#[test]
fn the_program_reads_the_sites_file() {
    let addresses = addresses(&backends());
    let file = temporary(".conf");
    fs::write(&file, text(SIZE, &addresses, Variant::default())).unwrap();
    let check =
        Command::new(built("pumicehead").unwrap()).args(["check", "--deny-warnings"]).arg(&file).output();
    fs::remove_file(&file).unwrap();
    let check = check.unwrap();
    let said = String::from_utf8_lossy(&check.stdout).into_owned();
    assert!(check.status.success() && said.trim_end().ends_with(": ok"), "{said}");
}
