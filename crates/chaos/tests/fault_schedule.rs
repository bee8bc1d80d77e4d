//! The schedule of actions that inject and end the faults of a scenario.

use pumicehead_chaos::fault_schedule::{FaultAction, ProcessSignal, ScheduledAction, schedule};
use pumicehead_chaos::scenario::Scenario;

const NODES: usize = 6;
const ENDPOINTS: usize = 5;

/// Returns the index of the last of these actions.
fn last_index(actions: &[ScheduledAction], wanted: &[FaultAction]) -> Option<usize> {
    actions.iter().rposition(|scheduled| wanted.contains(&scheduled.action))
}

fn count(actions: &[ScheduledAction], is_wanted: impl Fn(FaultAction) -> bool) -> usize {
    actions.iter().filter(|scheduled| is_wanted(scheduled.action)).count()
}

/// Every fault of a generated scenario must be undone: paused processes are resumed, stopped ones are restarted, disks are no
/// longer full, draining endpoints are listed as active, behavior faults end, and the end of each fault is recorded.
#[test]
fn every_fault_is_undone_at_its_end() {
    for seed in 0..500 {
        let scenario = Scenario::generate(seed, NODES, ENDPOINTS);
        let actions = schedule(&scenario);
        assert!(actions.is_sorted_by_key(|scheduled| scheduled.at));
        for node in 0..NODES {
            assert_node_faults_are_undone(&actions, node, seed);
        }
        for endpoint in 0..ENDPOINTS {
            assert_endpoint_faults_are_undone(&actions, endpoint, seed);
        }
        let begun = count(&actions, |action| matches!(action, FaultAction::BeginFault(_)));
        let ended = count(&actions, |action| matches!(action, FaultAction::EndFault(_)));
        assert_eq!((begun, ended), (scenario.faults.len(), scenario.faults.len()));
    }
}

fn assert_node_faults_are_undone(actions: &[ScheduledAction], node: usize, seed: u64) {
    let signaled = |signal| FaultAction::SignalNode { node, signal };
    let paused = last_index(actions, &[signaled(ProcessSignal::Pause)]);
    assert!(paused <= last_index(actions, &[signaled(ProcessSignal::Resume)]), "seed {seed}");
    let full = last_index(actions, &[FaultAction::SetDiskFull { node, full: true }]);
    assert!(full <= last_index(actions, &[FaultAction::SetDiskFull { node, full: false }]), "seed {seed}");
    let stopped = last_index(actions, &[signaled(ProcessSignal::Kill), signaled(ProcessSignal::Terminate)]);
    assert!(stopped <= last_index(actions, &[FaultAction::StartNode(node)]), "seed {seed}");
}

fn assert_endpoint_faults_are_undone(actions: &[ScheduledAction], endpoint: usize, seed: u64) {
    let draining = last_index(actions, &[FaultAction::SetDraining { endpoint, draining: true }]);
    let active = last_index(actions, &[FaultAction::SetDraining { endpoint, draining: false }]);
    assert!(draining <= active, "seed {seed}");
    let killed =
        last_index(actions, &[FaultAction::SignalEndpoint { endpoint, signal: ProcessSignal::Kill }]);
    assert!(killed <= last_index(actions, &[FaultAction::StartEndpoint(endpoint)]), "seed {seed}");
    let toggles = count(actions, |action| matches!(action, FaultAction::ToggleBehaviorFault(_)));
    assert!(toggles.is_multiple_of(2), "seed {seed}");
}
