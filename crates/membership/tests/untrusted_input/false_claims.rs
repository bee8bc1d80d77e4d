//! Processes that use the name of another one or send forged claims.

use prost::Message;
use pumicehead_membership::simulation::{Simulation, SimulationConfig, node_address};
use pumicehead_membership::wire::{DatagramKind, FleetId, Frame, FrameKind, MAJOR};
use pumicehead_membership::{Event, MemberId, MemberState, SECOND};

use crate::{NOW, datagram, entry, member, record};

/// Of two processes with the same name, the later one stays a member, and the earlier one reports once that it is superseded.
#[test]
fn later_process_supersedes_earlier_one_of_same_name() {
    let mut sim = Simulation::new(SimulationConfig::without_faults(6, 1));
    sim.start_all_joined();
    sim.run_for(3 * SECOND);
    let mut later = member(2, "sim", &[0]);
    // The later process has a clock that is days behind, and learns the epoch of the earlier one from the fleet.
    later.on_timer(NOW);
    let known = sim.member(0).unwrap().table().get(MemberId::from_name("n2")).unwrap().to_wire(0);
    let earlier_epoch = sim.member(2).unwrap().record().epoch;
    let reply = Frame {
        protocol_major: MAJOR,
        fleet_id: FleetId::from_name("sim").0,
        sender_id: MemberId::from_name("n0").0,
        sender_epoch: 5,
        kind: FrameKind::Entries as i32,
        entries: vec![known],
        ..Frame::default()
    };
    later.on_stream_reply(NOW, node_address(0), &reply.encode_to_vec());
    assert_eq!(later.record().epoch, earlier_epoch + 1);
    let own = later.table().get(MemberId::from_name("n2")).unwrap().to_wire(NOW);
    let datagram = datagram("sim", DatagramKind::Gossip, vec![own]).encode_to_vec();
    sim.with_member(0, |member, now| member.on_datagram(now, node_address(9), &datagram));
    sim.run_for(5 * SECOND);
    let events = sim.take_events(2);
    let reports = events.iter().filter(|event| matches!(event, Event::Superseded { .. })).count();
    assert!(reports == 1 && sim.member(2).unwrap().is_stopped(), "{events:?}");
}

/// Members that forged claims declare dead are alive for all again within 30 s. Members that do not exist are declared dead.
#[test]
fn forged_claims_are_refuted_and_nonexistent_members_expire() {
    for seed in 0..5 {
        let mut sim = Simulation::new(SimulationConfig::without_faults(12, seed));
        sim.start_all_joined();
        sim.run_for(5 * SECOND);
        for round in 0..20 {
            for victim in 1..12 {
                let mut forged = sim.member(victim).unwrap().record().clone();
                // Some claims have an incarnation far above that of the victim.
                forged.incarnation =
                    [forged.incarnation, forged.incarnation + (1 << 40), (1 << 62) - 1][round % 3];
                let updates = vec![
                    entry(&forged, MemberState::Dead, 0),
                    entry(&record(500 + round, 1, 0), MemberState::Alive, 0),
                ];
                let datagram = datagram("sim", DatagramKind::Gossip, updates).encode_to_vec();
                sim.with_member(3, |member, now| member.on_datagram(now, node_address(0), &datagram));
            }
            sim.run_for(SECOND);
        }
        let not_alive = |sim: &Simulation| {
            (0..12)
                .flat_map(|observer| (0..12).map(move |node| (observer, node)))
                .filter(|&(observer, node)| sim.state_of(observer, node) != Some(MemberState::Alive))
                .count()
        };
        let recovered = sim.run_until(SECOND / 10, 30 * SECOND, |sim| not_alive(sim) == 0);
        assert!(recovered.is_some(), "seed {seed}");
        let expired =
            sim.run_until(SECOND, 300 * SECOND, |sim| sim.member(1).unwrap().table().active_count() == 12);
        assert!(expired.is_some(), "seed {seed}: {}", sim.member(1).unwrap().table().active_count());
    }
}
