//! Hollow nodes and real processes in one fleet: equal member tables, the same kinds of messages, and no process left behind.
//!
//! Counts are compared, not times, so that the result does not depend on the load of the machine.

use std::path::Path;
use std::time::Duration;

use pumicehead_testbed::hollow::counts::{DATAGRAM_KINDS, Received};
use pumicehead_testbed::hollow::mixed::MixedFleet;
use pumicehead_testbed::program::{LIMIT, wait_for};

const HOLLOW: usize = 20;
/// Probes of the real node after which counts are compared.
const PROBES: u64 = 12;
/// Indexes of probes and of their acks in [`DATAGRAM_KINDS`].
const PING: usize = 1;
const ACK: usize = 3;
/// Tolerated difference of the shares of a kind: on a busy machine, gossip about stalled members adds to the probes.
const SHARE: f64 = 0.3;

fn share(received: &Received, kind: usize) -> f64 {
    received.datagrams[kind] as f64 / received.all_datagrams().max(1) as f64
}

fn bytes_each(received: &Received) -> f64 {
    received.datagram_bytes as f64 / received.all_datagrams().max(1) as f64
}

/// Fails when the hollow node's driver no longer matches the real one: both join one fleet, have equal member tables, and send
/// the same kinds of messages in about the same proportion and size.
#[test]
fn hollow_nodes_send_the_same_messages_as_a_real_process() {
    let fleet = MixedFleet::start(1, HOLLOW, 7).unwrap();
    assert_eq!(fleet.len(), HOLLOW + 1);
    wait_for("equal member tables", || fleet.has_converged());
    let real = fleet.real()[0].name().to_owned();
    let enough = || fleet.received_so_far(&real).datagrams[PING] >= PROBES;
    let counted = fleet.count_until(LIMIT, enough);
    let from_real = counted[&real];
    assert!(from_real.datagrams[PING] >= PROBES, "{from_real:?}");
    let mut from_hollow = Received::default();
    for node in fleet.hollow() {
        let from = counted[node.name()];
        assert!(from.datagrams[PING] > 0 && from.datagrams[ACK] > 0, "{}: {from:?}", node.name());
        from_hollow.datagram_bytes += from.datagram_bytes;
        for (sum, count) in from_hollow.datagrams.iter_mut().zip(from.datagrams) {
            *sum += count;
        }
    }
    for kind in [PING, ACK] {
        let (real, hollow) = (share(&from_real, kind), share(&from_hollow, kind));
        let name = DATAGRAM_KINDS[kind].1;
        assert!((real - hollow).abs() <= SHARE, "{name}: {real:.2} and {hollow:.2} of all datagrams");
    }
    let (real, hollow) = (bytes_each(&from_real), bytes_each(&from_hollow));
    assert!(real < 2.0 * hollow && hollow < 2.0 * real, "{real:.0} and {hollow:.0} bytes a datagram");
}

/// Hollow nodes that restart become members again, and all hollow and real nodes detect a killed process.
#[test]
fn killed_process_is_detected_and_restarted_nodes_converge() {
    let mut fleet = MixedFleet::start(2, HOLLOW, 8).unwrap();
    wait_for("equal member tables", || fleet.has_converged());
    let settled = fleet.restart_hollow(HOLLOW / 2, Duration::from_millis(200), LIMIT).unwrap();
    assert!(settled.after.is_some(), "{settled:?}");
    assert!(settled.sent.datagrams > 0 && settled.peak_node_bytes <= settled.peak_bytes, "{settled:?}");
    let pid = fleet.real()[1].pid();
    let detection = fleet.kill_real(LIMIT).expect("killed process not detected by all nodes");
    assert!(detection.first <= detection.last && detection.last_real <= detection.last, "{detection:?}");
    assert!(!Path::new(&format!("/proc/{pid}")).exists(), "process {pid} is still running");
    wait_for("equal member tables without the killed process", || fleet.has_converged());
}
