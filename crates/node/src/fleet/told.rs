//! What a member tells people of its view, as JSON: one object, on one line.

use pumicehead_membership::MemberEntry;
use pumicehead_membership::Membership;
use pumicehead_membership::{MemberId, MemberState, SECOND};
use pumicehead_policy::Nanos;
use serde_json::{Value, json};

fn seconds(now: Nanos, since: i64) -> Option<f64> {
    // Never heard from is no age.
    (since > i64::MIN).then(|| ((now as i64).saturating_sub(since).max(0) / 100_000_000) as f64 / 10.0)
}

fn entry(member: &Membership, held: &MemberEntry, now: Nanos) -> Value {
    let card = &held.encoded.record;
    let doubt = member.suspicion(held.encoded.id()).map(|doubt| {
        let witnesses: Vec<_> = doubt.accusers.iter().map(|witness| named(member, *witness)).collect();
        let ends = doubt.expires_at(
            member.settings(),
            member.id(),
            member.table().active_count(),
            Default::default(),
        );
        json!({ "witnesses": witnesses, "ends_in_s": ends.saturating_sub(now) as f64 / SECOND as f64 })
    });
    json!({
        "name": card.name,
        "state": held.state.as_str(),
        "phase": card.phase().as_str(),
        "here": held.reachable_from_here,
        "zone": card.zone,
        "address": card.address,
        "epoch": format!("{:x}", card.epoch),
        "incarnation": card.incarnation,
        "number": card.node_number,
        "load": card.load_eighths,
        "program": card.program_version,
        "offers": card.capabilities,
        "since_s": seconds(now, held.state_since),
        "heard_s": seconds(now, held.last_heard),
        "says": named(member, held.reporter),
        "refused": held.connection_refused,
        "doubt": doubt,
    })
}

fn named(member: &Membership, key: MemberId) -> String {
    match member.name_of(key) {
        "" => format!("{:016x}", key.0),
        name => name.to_owned(),
    }
}

/// The whole view.
pub fn members(fleet: &str, member: &mut Membership, now: Nanos) -> String {
    let nodes = member.node_count(now);
    let mut all: Vec<_> = member.table().iter().collect();
    all.sort_by(|a, b| a.encoded.record.name.cmp(&b.encoded.record.name));
    let entries: Vec<_> = all.into_iter().map(|held| entry(member, held, now)).collect();
    let view = json!({
        "fleet": fleet,
        "me": member.record().name,
        "fingerprint": format!("{:016x}", member.table().fingerprint()),
        "joined": member.is_joined(),
        "superseded": member.is_stopped(),
        "cut": member.is_isolated(),
        "health": member.health_multiplier(),
        "there": member.table().active_count(),
        "nodes": nodes,
        "members": entries,
    });
    format!("{view}\n")
}

/// Why a node is held for what it is; `None` where it is not known.
pub fn why(member: &Membership, now: Nanos, node: &str) -> Option<String> {
    let held = member.table().get(MemberId::from_name(node))?;
    let said = named(member, held.reporter);
    let says = if held.reporter == member.id() { "this node".to_owned() } else { said };
    let mut reasons = Vec::new();
    reasons.push(match held.state {
        MemberState::Alive => format!("it says so itself, by {says}"),
        MemberState::Left => "it said that it goes".to_owned(),
        MemberState::Stalled => {
            format!("{says} finds that its kernel takes connections and it does not answer")
        }
        MemberState::Suspect if held.connection_refused => {
            format!("{says} finds that its address refuses connections")
        }
        MemberState::Suspect => format!("{says} and those that it asked to ask get no answer"),
        MemberState::Dead if held.connection_refused => {
            format!("its address refused connections, and it did not say that it lives: {says}")
        }
        MemberState::Dead => format!("it answered nobody for long enough: {says}"),
    });
    if !held.reachable_from_here {
        reasons.push("this node does not reach it itself".into());
    }
    if member.is_isolated() {
        reasons.push(
            "this node gets no answer from most of those that it asks: the fault may be its own".into(),
        );
    }
    let mut told = entry(member, held, now);
    told["why"] = json!(reasons);
    Some(format!("{told}\n"))
}
