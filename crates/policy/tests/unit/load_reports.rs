//! Recipients of load reports.

use super::*;

fn reporting(sequence: u8) -> LoadReporting {
    LoadReporting { group: vec![1, 2, 3, 4, 5], sequence, ..LoadReporting::default() }
}

#[test]
fn every_other_peer_gets_a_report_in_turn() {
    let recipients =
        |sequence| -> Vec<u32> { reporting(sequence).recipients(Recipients::EveryOtherPeer).collect() };
    assert_eq!(recipients(0), [1, 3, 5]);
    assert_eq!(recipients(2), [2, 4]);
    assert_eq!(reporting(2).recipients(Recipients::AllPeers).collect::<Vec<_>>(), [1, 2, 3, 4, 5]);
}

#[test]
fn a_started_attempt_is_reported_to_all_peers_even_if_others_end() {
    let mut reporting = reporting(0);
    reporting.on_attempt_ended();
    assert_eq!(reporting.due, Some(Recipients::EveryOtherPeer));
    reporting.on_attempt_started();
    reporting.on_attempt_ended();
    assert_eq!(reporting.due, Some(Recipients::AllPeers));
}

#[test]
fn group_load_is_known_once_most_peers_have_reported() {
    let mut reporting = reporting(0);
    for (from, most_peers_reported) in [(1, false), (2, false), (3, true)] {
        reporting.peers.record(from, &encode(1, []), 1);
        assert_eq!(
            reporting.most_peers_reported(),
            most_peers_reported,
            "after the report of peer {from} of 5"
        );
    }
    reporting.group.clear();
    assert!(!reporting.most_peers_reported(), "a node without a group has no peers");
}
