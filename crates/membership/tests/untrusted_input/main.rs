//! Effects of arbitrary, foreign, forged and outdated messages on a member.

use std::net::SocketAddr;

use prost::Message;
use pumicehead_membership::simulation::{node_address, node_name};
use pumicehead_membership::wire::{Datagram, DatagramKind, FleetId, MAJOR, WireEntry};
use pumicehead_membership::{
    MemberId, MemberRecord, MemberState, Membership, MembershipConfig, Nanos, Output, SECOND, Settings,
};

mod false_claims;
mod messages;
mod records;

const NOW: Nanos = 1_000 * SECOND;

/// The record of a simulated node.
fn record(node: usize, epoch: u64, incarnation: u64) -> MemberRecord {
    let address = node_address(node).to_string();
    MemberRecord { name: node_name(node), epoch, incarnation, address, ..MemberRecord::default() }
}

fn entry(record: &MemberRecord, state: MemberState, age_deciseconds: u32) -> WireEntry {
    let record = record.encode_to_vec();
    WireEntry { record, state: state.code(), age_deciseconds, reporter: 0, connection_refused: false }
}

fn member(node: usize, fleet: &str, seeds: &[usize]) -> Membership {
    let config = MembershipConfig {
        settings: Settings::default(),
        fleet_name: fleet.into(),
        record: record(node, 5, 0),
        seeds: seeds.iter().map(|seed| node_address(*seed)).collect(),
        address_overrides: Vec::new(),
        initial_node_count: 1,
        rng_seed: 1,
    };
    Membership::new(config, NOW).unwrap()
}

/// A datagram from node 9 with node 0 as target.
fn datagram(fleet: &str, kind: DatagramKind, updates: Vec<WireEntry>) -> Datagram {
    Datagram {
        protocol_major: MAJOR,
        protocol_minor: 0,
        fleet_id: FleetId::from_name(fleet).0,
        sender_id: MemberId::from_name("n9").0,
        sender_epoch: 5,
        kind: kind as i32,
        seq: 3,
        target_id: MemberId::from_name("n0").0,
        record_unknown: false,
        updates,
    }
}

fn sent_datagrams(member: &mut Membership) -> Vec<(SocketAddr, Vec<u8>)> {
    let outputs: Vec<_> = member.take_outputs().collect();
    let datagrams = outputs.into_iter().filter_map(|output| match output {
        Output::Datagram { to, bytes } => Some((to, bytes)),
        _ => None,
    });
    datagrams.collect()
}
