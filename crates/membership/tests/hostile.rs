//! What strangers, liars, doubles and old messages can do, and that what is held is a join.

use proptest::prelude::*;
use prost::Message;
use pumicehead_membership::RecordError;
use pumicehead_membership::simulation::{Simulation, SimulationConfig, node_address, node_name};
use pumicehead_membership::wire::{
    Datagram, DatagramKind, FleetId, Frame, FrameKind, MAJOR, ProtocolError, WireEntry,
};
use pumicehead_membership::{EncodedRecord, MemberClaim, MemberTable, MergeOutcome, RejectedRequest};
use pumicehead_membership::{
    Epoch, Incarnation, MemberId, MemberRecord, MemberState, Nanos, Precedence, RecordVersion, SECOND,
    Settings,
};
use pumicehead_membership::{Event, Membership, MembershipConfig, Output, StreamAction};

const NOW: Nanos = 1_000 * SECOND;

fn card(of: usize, epoch: u64, incarnation: u64) -> MemberRecord {
    let address = node_address(of).to_string();
    MemberRecord { name: node_name(of), epoch, incarnation, address, ..MemberRecord::default() }
}

fn entry(card: &MemberRecord, state: MemberState, age: u32) -> WireEntry {
    WireEntry {
        record: card.encode_to_vec(),
        state: state.code(),
        age_deciseconds: age,
        reporter: 0,
        connection_refused: false,
    }
}

fn member(of: usize, fleet: &str, seeds: &[usize]) -> Membership {
    let setup = MembershipConfig {
        settings: Settings::default(),
        fleet_name: fleet.into(),
        record: card(of, 5, 0),
        seeds: seeds.iter().map(|seed| node_address(*seed)).collect(),
        address_overrides: Vec::new(),
        initial_node_count: 1,
        rng_seed: 1,
    };
    Membership::new(setup, NOW).unwrap()
}

fn datagram(own: u64, kind: DatagramKind, news: Vec<WireEntry>) -> Datagram {
    Datagram {
        protocol_major: MAJOR,
        protocol_minor: 0,
        fleet_id: own,
        sender_id: MemberId::from_name("n9").0,
        sender_epoch: 5,
        kind: kind as i32,
        seq: 3,
        target_id: MemberId::from_name("n0").0,
        record_unknown: false,
        updates: news,
    }
}

fn sent(member: &mut Membership) -> Vec<(std::net::SocketAddr, Vec<u8>)> {
    let outputs: Vec<_> = member.take_outputs().collect();
    outputs
        .into_iter()
        .filter_map(|output| match output {
            Output::Datagram { to, bytes } => Some((to, bytes)),
            _ => None,
        })
        .collect()
}

proptest! {
    /// Guards the join: whatever is heard, in whatever order and how often, the same is held.
    #[test]
    fn order_and_repeats_do_not_matter(
        all in prop::collection::vec((0usize..5, 1u64..4, 0u64..4, 0u32..5, 0u8..2), 1..40),
        seed in any::<u64>(),
    ) {
        let heard: Vec<_> = all.iter().map(|&(of, epoch, incarnation, state, zone)| {
            let card = MemberRecord { zone: format!("z{zone}"), ..card(of, epoch, incarnation) };
            MemberClaim::from_wire(&entry(&card, MemberState::from_code(state).unwrap(), 0), NOW).unwrap()
        }).collect();
        let play = |order: &[usize]| {
            let mut table = MemberTable::default();
            for &place in order {
                table.merge(&heard[place]);
            }
            let mut held: Vec<_> =
                table.iter().map(|held| (held.encoded.id(), held.precedence(), held.encoded.record.zone.clone())).collect();
            held.sort();
            let counted: usize = MemberState::ALL.iter().map(|state| table.count_in_state(*state)).sum();
            (held, table.fingerprint(), counted == table.len())
        };
        let straight: Vec<_> = (0..heard.len()).collect();
        let mut mixed = [straight.clone(), straight.clone()].concat();
        let mut state = seed | 1;
        for place in (1..mixed.len()).rev() {
            state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            mixed.swap(place, (state >> 33) as usize % (place + 1));
        }
        let (one, two) = (play(&straight), play(&mixed));
        prop_assert!(one.2);
        prop_assert_eq!(one, two);
    }

    /// Guards against bytes: nothing that arrives breaks a member, or has it send more than came to where it came from.
    #[test]
    fn no_bytes_break_a_member(bytes in prop::collection::vec(any::<u8>(), 0..1_500), cut in 0usize..200, at in 0usize..200) {
        let mut one = member(0, "a", &[1]);
        drop(sent(&mut one));
        let stranger = node_address(77);
        one.on_datagram(NOW, stranger, &bytes);
        let _ = one.on_stream_request(NOW, stranger, &bytes);
        let mut good = datagram(FleetId::from_name("a").0, DatagramKind::Ping, vec![entry(&card(1, 5, 0), MemberState::Alive, 0)]).encode_to_vec();
        let place = at % good.len();
        good[place] ^= bytes.first().copied().unwrap_or(1);
        good.truncate(good.len().saturating_sub(cut % 100));
        one.on_datagram(NOW, stranger, &good);
        for (to, bytes) in sent(&mut one) {
            prop_assert!(to != stranger || bytes.len() <= good.len().max(64));
        }
    }
}

/// Guards the address of a question, which may be another's: no answer is larger than what it answers.
#[test]
fn nobody_is_an_amplifier() {
    let mut one = member(0, "a", &[]);
    for of in 1..200 {
        let news = vec![entry(&card(of, 5, 0), MemberState::Alive, 0)];
        one.on_datagram(
            NOW,
            node_address(9),
            &datagram(FleetId::from_name("a").0, DatagramKind::Gossip, news).encode_to_vec(),
        );
    }
    drop(sent(&mut one));
    for news in [vec![], vec![entry(&card(9, 5, 0), MemberState::Suspect, 0)]] {
        let ping = datagram(FleetId::from_name("a").0, DatagramKind::Ping, news).encode_to_vec();
        one.on_datagram(NOW, node_address(78), &ping);
        let back: Vec<_> = sent(&mut one).into_iter().filter(|(to, _)| *to == node_address(78)).collect();
        assert!(back.len() == 1 && back[0].1.len() <= ping.len(), "{} for {}", back[0].1.len(), ping.len());
    }
    // Put through it, a question goes to a member's own address, once, and is small.
    let asked = Datagram {
        target_id: MemberId::from_name("n3").0,
        ..datagram(FleetId::from_name("a").0, DatagramKind::IndirectPing, vec![])
    };
    for _ in 0..500 {
        one.on_datagram(NOW, node_address(78), &asked.encode_to_vec());
    }
    let through = sent(&mut one);
    assert!(
        through.len() <= 64 && through.iter().all(|(to, bytes)| *to == node_address(3) && bytes.len() < 64)
    );
}

/// Guards two fleets that a wrong seed points at each other, and another major version: each is told once, nothing is learned.
#[test]
fn other_fleets_and_versions_are_refused_once() {
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
    let RejectedRequest { error, reply: refusal } =
        one.on_stream_request(NOW, node_address(1), &frame).unwrap_err();
    assert_eq!(error, ProtocolError::OtherFleet);
    assert!(matches!(two.on_stream_reply(NOW + SECOND, node_address(0), &refusal), StreamAction::Close));
    for _ in 0..5 {
        let _ = one.on_stream_request(NOW, node_address(1), &frame);
        one.on_datagram(
            NOW,
            node_address(1),
            &datagram(FleetId::from_name("b").0, DatagramKind::Ping, vec![]).encode_to_vec(),
        );
    }
    let later = Datagram {
        protocol_major: MAJOR + 1,
        ..datagram(FleetId::from_name("a").0, DatagramKind::Ping, vec![])
    };
    one.on_datagram(NOW, node_address(2), &later.encode_to_vec());
    let refused: Vec<_> = one
        .take_outputs()
        .filter(|output| matches!(output, Output::Event(Event::PeerRejected { .. })))
        .collect();
    assert_eq!(refused.len(), 2, "{refused:?}");
    assert_eq!((one.table().len(), two.table().len()), (1, 1));
}

/// Guards fields of a later version: they are passed on as they came.
#[test]
fn fields_that_are_not_known_pass_through() {
    #[derive(Clone, PartialEq, Message)]
    struct Later {
        #[prost(string, tag = "1")]
        name: String,
        #[prost(uint64, tag = "2")]
        epoch: u64,
        #[prost(string, tag = "4")]
        address: String,
        #[prost(string, tag = "99")]
        later: String,
    }
    let later =
        Later { name: node_name(4), epoch: 7, address: node_address(4).to_string(), later: "kept".into() };
    let mut one = member(0, "a", &[]);
    let news = WireEntry { record: later.encode_to_vec(), ..entry(&card(4, 7, 0), MemberState::Alive, 0) };
    one.on_datagram(
        NOW,
        node_address(9),
        &datagram(FleetId::from_name("a").0, DatagramKind::Gossip, vec![news]).encode_to_vec(),
    );
    let held = one.table().get(MemberId::from_name("n4")).unwrap();
    assert_eq!(Later::decode(&*held.to_wire(NOW).record).unwrap(), later);
    // A state of a later version is nothing that this one could go by.
    let news = WireEntry { state: 9, ..entry(&card(5, 7, 0), MemberState::Alive, 0) };
    one.on_datagram(
        NOW,
        node_address(9),
        &datagram(FleetId::from_name("a").0, DatagramKind::Gossip, vec![news]).encode_to_vec(),
    );
    assert!(one.table().get(MemberId::from_name("n5")).is_none());
}

/// Guards cards: what can't be one is not taken.
#[test]
fn cards_that_cannot_be_are_not_taken() {
    let good = card(1, 5, 0);
    assert_eq!(MemberRecord::from_bytes(&good.encode_to_vec()).as_ref(), Ok(&good));
    for bad in [
        MemberRecord { name: String::new(), ..good.clone() },
        MemberRecord { name: "x".repeat(65), ..good.clone() },
        MemberRecord { name: "a\u{1b}[2J".into(), ..good.clone() },
        MemberRecord { address: "example.org:80".into(), ..good.clone() },
        MemberRecord { address: "0.0.0.0:80".into(), ..good.clone() },
        MemberRecord { address: "255.255.255.255:80".into(), ..good.clone() },
        MemberRecord { address: "10.0.0.1:0".into(), ..good.clone() },
        MemberRecord { epoch: u64::MAX, ..good.clone() },
        MemberRecord { incarnation: u64::MAX, ..good.clone() },
        MemberRecord { capabilities: vec!["x".into(); 17], ..good.clone() },
    ] {
        assert!(MemberRecord::from_bytes(&bad.encode_to_vec()).is_err(), "{bad:?}");
    }
    assert!(matches!(MemberRecord::from_bytes(&[0; 5_000]), Err(RecordError::TooLong { length: 5_000 })));
}

/// Guards a whole large fleet in one frame: 1,250 names are taken, in a bounded time.
#[test]
fn a_frame_of_1250_names_is_taken() {
    let mut one = member(0, "a", &[1]);
    let entries = (1..1_251).map(|of| entry(&card(of, 5, 0), MemberState::Alive, 0)).collect();
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

/// Guards one name in two processes: the later one counts, the earlier one ends its part, with one message.
#[test]
fn the_later_process_of_a_name_counts() {
    let mut sim = Simulation::new(SimulationConfig::without_faults(6, 1));
    sim.start_all_known();
    sim.run_for(3 * SECOND);
    let mut double = member(2, "sim", &[0]);
    // Its clock is days behind; the fleet tells it how far its name has counted.
    double.on_timer(NOW);
    let seed = sim.member(0).unwrap().table().get(MemberId::from_name("n2")).unwrap().to_wire(0);
    let old = sim.member(2).unwrap().record().epoch;
    let told = Frame {
        protocol_major: MAJOR,
        fleet_id: FleetId::from_name("sim").0,
        sender_id: MemberId::from_name("n0").0,
        sender_epoch: 5,
        kind: FrameKind::Entries as i32,
        entries: vec![seed],
        ..Frame::default()
    };
    double.on_stream_reply(NOW, node_address(0), &told.encode_to_vec());
    assert_eq!(double.record().epoch, old + 1);
    let own = double.table().get(MemberId::from_name("n2")).unwrap().to_wire(NOW);
    let news = datagram(FleetId::from_name("sim").0, DatagramKind::Gossip, vec![own]).encode_to_vec();
    sim.with_member(0, |member, now| member.on_datagram(now, node_address(9), &news));
    sim.run_for(5 * SECOND);
    let events = sim.take_events(2);
    let ended = events.iter().filter(|event| matches!(event, Event::Superseded { .. })).count();
    assert!(ended == 1 && sim.member(2).unwrap().is_stopped(), "{events:?}");
}

/// Guards against a liar: whom it calls dead stays, and is alive for all again within seconds; whom it invents goes again.
#[test]
fn a_liar_does_bounded_harm() {
    for seed in 0..5 {
        let mut sim = Simulation::new(SimulationConfig::without_faults(12, seed));
        sim.start_all_known();
        sim.run_for(5 * SECOND);
        for round in 0..20 {
            for victim in 1..12 {
                let mut card = sim.member(victim).unwrap().record().clone();
                // Also with numbers far beyond what the victim ever said.
                card.incarnation = [card.incarnation, card.incarnation + (1 << 40), (1 << 62) - 1][round % 3];
                let lies = vec![
                    entry(&card, MemberState::Dead, 0),
                    entry(&self::card(500 + round, 1, 0), MemberState::Alive, 0),
                ];
                let news = datagram(FleetId::from_name("sim").0, DatagramKind::Gossip, lies).encode_to_vec();
                sim.with_member(3, |member, now| member.on_datagram(now, node_address(0), &news));
            }
            sim.run_for(SECOND);
        }
        let dead_for = |sim: &Simulation| {
            (0..12)
                .flat_map(|by| (0..12).map(move |of| (by, of)))
                .filter(|&(by, of)| sim.state_of(by, of) != Some(MemberState::Alive))
                .count()
        };
        let well = sim.run_until(SECOND / 10, 30 * SECOND, |sim| dead_for(sim) == 0);
        assert!(well.is_some(), "seed {seed}");
        let gone =
            sim.run_until(SECOND, 300 * SECOND, |sim| sim.member(1).unwrap().table().active_count() == 12);
        assert!(gone.is_some(), "seed {seed}: {}", sim.member(1).unwrap().table().active_count());
    }
}

/// Guards old messages: a datagram of before that comes an hour late, or again, changes nothing.
#[test]
fn what_comes_late_changes_nothing() {
    let mut one = member(0, "a", &[]);
    let say = |one: &mut Membership, now: Nanos, card: &MemberRecord, state: MemberState| {
        let news = vec![entry(card, state, 0)];
        one.on_datagram(
            now,
            node_address(9),
            &datagram(FleetId::from_name("a").0, DatagramKind::Gossip, news).encode_to_vec(),
        );
    };
    say(&mut one, NOW, &card(1, 5, 3), MemberState::Alive);
    say(&mut one, NOW, &card(1, 6, 0), MemberState::Alive);
    let print = one.table().fingerprint();
    for (epoch, incarnation, state) in [
        (5, 3, MemberState::Alive),
        (5, 9, MemberState::Alive),
        (5, 9, MemberState::Dead),
        (6, 0, MemberState::Alive),
    ] {
        say(&mut one, NOW, &card(1, epoch, incarnation), state);
        say(&mut one, NOW, &card(1, epoch, incarnation), state);
    }
    assert_eq!(one.table().fingerprint(), print);
    let stamp = RecordVersion { epoch: Epoch(6), incarnation: Incarnation(0) };
    assert_eq!(
        one.table().get(MemberId::from_name("n1")).unwrap().precedence(),
        Precedence { version: stamp, state: MemberState::Alive }
    );
    // Of one that nobody remembers, what is older than memory.
    say(&mut one, NOW, &card(2, 5, 0), MemberState::Alive);
    let news = vec![entry(&card(3, 5, 0), MemberState::Dead, 10 * 3_601)];
    one.on_datagram(
        NOW,
        node_address(9),
        &datagram(FleetId::from_name("a").0, DatagramKind::Gossip, news).encode_to_vec(),
    );
    assert!(
        one.table().get(MemberId::from_name("n3")).is_none()
            && one.table().get(MemberId::from_name("n2")).is_some()
    );
}

/// Guards bounds: a table takes no more than the largest fleet, and remembers no more than some of the gone.
#[test]
fn tables_are_bounded() {
    let mut table = MemberTable::default();
    let heard = |of: usize, state: MemberState| {
        let card = card(of, 1, 0);
        let raw = card.encode_to_vec();
        MemberClaim {
            encoded: EncodedRecord::new(card, raw),
            state,
            connection_refused: false,
            state_since: of as i64,
            reporter: MemberId(0),
        }
    };
    for of in 0..20_000 {
        table.merge(&heard(of, if of < 8_000 { MemberState::Dead } else { MemberState::Alive }));
    }
    assert_eq!(table.len(), 16_384);
    table.forget_expired(SECOND, 3_600 * SECOND);
    assert_eq!((table.count_in_state(MemberState::Dead), table.active_count()), (4_096, 16_384 - 8_000));
    assert!(
        table.get(MemberId::from_name("n100")).is_none() && table.get(MemberId::from_name("n7999")).is_some(),
        "the oldest go"
    );
    assert_eq!(table.merge(&heard(30_000, MemberState::Alive)), MergeOutcome::Inserted);
    let before = table.fingerprint();
    table.forget_expired(4_000 * SECOND, 3_600 * SECOND);
    assert!(table.count_in_state(MemberState::Dead) == 0 && table.fingerprint() != before);
}
