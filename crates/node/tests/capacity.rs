//! The capacity measurement, run on a real node with a small configuration. Counts are asserted, times are not.

use std::fs;
use std::net::SocketAddr;
use std::process::Command;
use std::time::Duration;

use pumicehead_testbed::measure::capacity::file::{Change, Variant, text};
use pumicehead_testbed::measure::capacity::load::{LoadPlan, LoadedNode, run_rounds};
use pumicehead_testbed::measure::capacity::process::NodeProcess;
use pumicehead_testbed::measure::capacity::sample::sample_all;
use pumicehead_testbed::measure::capacity::size::Size;
use pumicehead_testbed::program::{built, temporary};
use pumicehead_testbed::standin::{ServiceModel, StandIn};

const SIZE: Size = Size { backends: 4, pools: 2, routes: 20, tenants: 10 };

fn backends() -> Vec<StandIn> {
    let local = "127.0.0.1:0".parse().unwrap();
    (0..SIZE.backends).map(|_| StandIn::start(local, ServiceModel::default()).unwrap()).collect()
}

fn addresses(backends: &[StandIn]) -> Vec<SocketAddr> {
    backends.iter().map(|backend| backend.address).collect()
}

/// Guards that a node is started, sent requests and reconfigured, and that each value is measured.
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
    // Each backend of both pools got requests.
    assert!(backends.iter().all(|backend| backend.requests() > 0));
}

/// Guards that a change of the configuration is in force once it is reported so, and that an invalid one is reported as an
/// error.
#[test]
fn a_change_is_applied_or_rejected() {
    let backends = backends();
    let addresses = addresses(&backends);
    let first = text(SIZE, &addresses, Variant::default());
    let mut node = NodeProcess::start(&built("pumicehead").unwrap(), &first).unwrap();
    node.change_to(&text(SIZE, &addresses, Change::Tenant.variant(0))).unwrap();
    let error = node.change_to("listener public {").unwrap_err();
    assert!(error.to_string().contains("the old configuration stays"), "{error}");
    node.change_to(&first).unwrap();
}

/// Guards that all requests of a schedule are counted, those through the node and those sent directly, and that all changes
/// are made.
#[test]
fn a_loaded_node_applies_its_changes() {
    let backends = backends();
    let addresses = addresses(&backends);
    let second = Duration::from_secs(1);
    let plan = LoadPlan { seed: 1, warm_up: second / 10, span: second, rounds: 2, change_every: second / 2 };
    let program = built("pumicehead").unwrap();
    let start = |change| LoadedNode::start("node".into(), &program, change, SIZE, &addresses).unwrap();
    let mut nodes = [start(None), start(Some(Change::Value)), start(Some(Change::Tenant))];
    let results = run_rounds(&mut nodes, &plan, SIZE, &addresses).unwrap();
    let changes: Vec<_> = results.iter().map(|result| result.changes).collect();
    assert_eq!(changes, [0, 4, 4]);
    // All nodes have the same schedule, whatever the responses are.
    let expected = results[0].direct.requests;
    assert!(expected > 100, "{expected}");
    for result in results {
        assert_eq!((result.through.requests, result.direct.requests), (expected, expected));
        assert!(result.longest_turn > Duration::ZERO);
    }
}

/// Guards that the generated configuration file passes `check` without errors and warnings.
#[test]
fn generated_configuration_passes_check() {
    let addresses = addresses(&backends());
    let file = temporary(".conf");
    fs::write(&file, text(SIZE, &addresses, Variant::default())).unwrap();
    let check =
        Command::new(built("pumicehead").unwrap()).args(["check", "--deny-warnings"]).arg(&file).output();
    fs::remove_file(&file).unwrap();
    let check = check.unwrap();
    let output = String::from_utf8_lossy(&check.stdout).into_owned();
    assert!(check.status.success() && output.trim_end().ends_with(": ok"), "{output}");
}
