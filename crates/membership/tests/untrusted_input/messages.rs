//! Datagrams and frames from arbitrary senders: malformed, foreign, forged, repeated and large ones.

use proptest::prelude::*;
use prost::Message;
use pumicehead_membership::simulation::node_address;
use pumicehead_membership::wire::{Datagram, DatagramKind, FleetId, Frame, FrameKind, MAJOR, ProtocolError};
use pumicehead_membership::{
    Epoch, Event, Incarnation, MemberId, MemberRecord, MemberState, Membership, Nanos, Output, Precedence,
    RecordVersion, RejectedRequest, SECOND, StreamAction,
};

use crate::{NOW, datagram, entry, member, record, sent_datagrams};

proptest! {
    /// Arbitrary bytes never cause a panic, or a reply that is larger than the message received.
    #[test]
    fn arbitrary_bytes_are_harmless(
        bytes in prop::collection::vec(any::<u8>(), 0..1_500),
        cut in 0usize..200,
        position in 0usize..200,
    ) {
        let mut one = member(0, "a", &[1]);
        drop(sent_datagrams(&mut one));
        let unknown_sender = node_address(77);
        one.on_datagram(NOW, unknown_sender, &bytes);
        let _ = one.on_stream_request(NOW, unknown_sender, &bytes);
        let updates = vec![entry(&record(1, 5, 0), MemberState::Alive, 0)];
        let mut damaged = datagram("a", DatagramKind::Ping, updates).encode_to_vec();
        let index = position % damaged.len();
        damaged[index] ^= bytes.first().copied().unwrap_or(1);
        damaged.truncate(damaged.len().saturating_sub(cut % 100));
        one.on_datagram(NOW, unknown_sender, &damaged);
        for (to, bytes) in sent_datagrams(&mut one) {
            prop_assert!(to != unknown_sender || bytes.len() <= damaged.len().max(64));
        }
    }
}

/// Since the source address of a ping may be forged, no reply is larger than its request, and the number of relayed probes is
/// limited.
#[test]
fn replies_are_no_larger_than_requests() {
    let mut one = member(0, "a", &[]);
    for node in 1..200 {
        let updates = vec![entry(&record(node, 5, 0), MemberState::Alive, 0)];
        one.on_datagram(NOW, node_address(9), &datagram("a", DatagramKind::Gossip, updates).encode_to_vec());
    }
    drop(sent_datagrams(&mut one));
    for updates in [vec![], vec![entry(&record(9, 5, 0), MemberState::Suspect, 0)]] {
        let ping = datagram("a", DatagramKind::Ping, updates).encode_to_vec();
        one.on_datagram(NOW, node_address(78), &ping);
        let replies: Vec<_> =
            sent_datagrams(&mut one).into_iter().filter(|(to, _)| *to == node_address(78)).collect();
        assert!(
            replies.len() == 1 && replies[0].1.len() <= ping.len(),
            "reply of {} bytes to a ping of {}",
            replies[0].1.len(),
            ping.len()
        );
    }
    // A relayed ping is small and goes to the address in the target's own record. Requests beyond the limit are dropped.
    let request = Datagram {
        target_id: MemberId::from_name("n3").0,
        ..datagram("a", DatagramKind::IndirectPing, vec![])
    };
    for _ in 0..500 {
        one.on_datagram(NOW, node_address(78), &request.encode_to_vec());
    }
    let relayed = sent_datagrams(&mut one);
    assert!(
        relayed.len() <= 64 && relayed.iter().all(|(to, bytes)| *to == node_address(3) && bytes.len() < 64)
    );
}

/// Members of different fleets or major versions reject each other's messages, report that once per address, and do not add each
/// other to their tables.
#[test]
fn other_fleets_and_versions_are_reported_once() {
    let mut one = member(0, "a", &[]);
    let mut two = member(1, "b", &[0]);
    two.on_timer(NOW + SECOND);
    let frame = two
        .take_outputs()
        .find_map(|output| match output {
            Output::PushPull { frame, .. } => Some(frame),
            _ => None,
        })
        .unwrap();
    let RejectedRequest { error, reply: rejection } =
        one.on_stream_request(NOW, node_address(1), &frame).unwrap_err();
    assert_eq!(error, ProtocolError::OtherFleet);
    assert!(matches!(two.on_stream_reply(NOW + SECOND, node_address(0), &rejection), StreamAction::Close));
    for _ in 0..5 {
        let _ = one.on_stream_request(NOW, node_address(1), &frame);
        one.on_datagram(NOW, node_address(1), &datagram("b", DatagramKind::Ping, vec![]).encode_to_vec());
    }
    let later = Datagram { protocol_major: MAJOR + 1, ..datagram("a", DatagramKind::Ping, vec![]) };
    one.on_datagram(NOW, node_address(2), &later.encode_to_vec());
    let reported: Vec<_> = one
        .take_outputs()
        .filter(|output| matches!(output, Output::Event(Event::PeerRejected { .. })))
        .collect();
    assert_eq!(reported.len(), 2, "{reported:?}");
    assert_eq!((one.table().len(), two.table().len()), (1, 1));
}

/// The table of a large fleet fits into one frame.
#[test]
fn frame_with_1250_entries_is_accepted() {
    let mut one = member(0, "a", &[1]);
    let entries = (1..1_251).map(|node| entry(&record(node, 5, 0), MemberState::Alive, 0)).collect();
    let frame = Frame {
        protocol_major: MAJOR,
        fleet_id: FleetId::from_name("a").0,
        sender_id: MemberId::from_name("n1").0,
        sender_epoch: 5,
        kind: FrameKind::Entries as i32,
        entries,
        ..Frame::default()
    };
    assert_eq!(one.on_stream_reply(NOW, node_address(1), &frame.encode_to_vec()), StreamAction::Close);
    assert_eq!((one.table().active_count(), one.is_joined()), (1_251, true));
}

/// Claims about earlier record versions, repeated claims, and expired claims about unknown members do not change the table.
#[test]
fn outdated_claims_are_ignored() {
    let mut one = member(0, "a", &[]);
    let receive_claim = |one: &mut Membership, now: Nanos, record: &MemberRecord, state: MemberState| {
        let updates = vec![entry(record, state, 0)];
        one.on_datagram(now, node_address(9), &datagram("a", DatagramKind::Gossip, updates).encode_to_vec());
    };
    receive_claim(&mut one, NOW, &record(1, 5, 3), MemberState::Alive);
    receive_claim(&mut one, NOW, &record(1, 6, 0), MemberState::Alive);
    let fingerprint = one.table().fingerprint();
    for (epoch, incarnation, state) in [
        (5, 3, MemberState::Alive),
        (5, 9, MemberState::Alive),
        (5, 9, MemberState::Dead),
        (6, 0, MemberState::Alive),
    ] {
        receive_claim(&mut one, NOW, &record(1, epoch, incarnation), state);
        receive_claim(&mut one, NOW, &record(1, epoch, incarnation), state);
    }
    assert_eq!(one.table().fingerprint(), fingerprint);
    let version = RecordVersion { epoch: Epoch(6), incarnation: Incarnation(0) };
    assert_eq!(
        one.table().get(MemberId::from_name("n1")).unwrap().precedence(),
        Precedence { version, state: MemberState::Alive }
    );
    // A tombstone of an unknown member that is older than the retention time.
    receive_claim(&mut one, NOW, &record(2, 5, 0), MemberState::Alive);
    let updates = vec![entry(&record(3, 5, 0), MemberState::Dead, 10 * 3_601)];
    one.on_datagram(NOW, node_address(9), &datagram("a", DatagramKind::Gossip, updates).encode_to_vec());
    assert!(
        one.table().get(MemberId::from_name("n3")).is_none()
            && one.table().get(MemberId::from_name("n2")).is_some()
    );
}
