//! What a member tells people of its view, as JSON: one object, on one line.

use pumicehead_membership::member::Member;
use pumicehead_membership::table::Held;
use pumicehead_membership::{Key, SECOND, State};
use pumicehead_policy::Nanos;
use serde_json::{Value, json};

fn seconds(now: Nanos, since: i64) -> Option<f64> {
    // Never heard from is no age.
    (since > i64::MIN).then(|| ((now as i64).saturating_sub(since).max(0) / 100_000_000) as f64 / 10.0)
}

fn entry(member: &Member, held: &Held, now: Nanos) -> Value {
    let card = &held.said.card;
    let doubt = member.doubt(held.said.key()).map(|doubt| {
        let witnesses: Vec<_> = doubt.witnesses.iter().map(|witness| named(member, *witness)).collect();
        let ends = doubt.ends(member.settings(), member.key(), member.table().there(), Default::default());
        json!({ "witnesses": witnesses, "ends_in_s": ends.saturating_sub(now) as f64 / SECOND as f64 })
    });
    json!({
        "name": card.name,
        "state": held.state.word(),
        "phase": card.phase().word(),
        "here": held.here,
        "zone": card.zone,
        "address": card.address,
        "epoch": format!("{:x}", card.epoch),
        "incarnation": card.incarnation,
        "number": card.number,
        "load": card.load,
        "program": card.program,
        "offers": card.offers,
        "since_s": seconds(now, held.since),
        "heard_s": seconds(now, held.heard),
        "says": named(member, held.witness),
        "refused": held.refused,
        "doubt": doubt,
    })
}

fn named(member: &Member, key: Key) -> String {
    match member.name(key) {
        "" => format!("{:016x}", key.0),
        name => name.to_owned(),
    }
}

/// The whole view.
pub fn members(fleet: &str, member: &mut Member, now: Nanos) -> String {
    let nodes = member.nodes(now);
    let mut all: Vec<_> = member.table().iter().collect();
    all.sort_by(|a, b| a.said.card.name.cmp(&b.said.card.name));
    let entries: Vec<_> = all.into_iter().map(|held| entry(member, held, now)).collect();
    let view = json!({
        "fleet": fleet,
        "me": member.card().name,
        "fingerprint": format!("{:016x}", member.table().fingerprint()),
        "joined": member.is_joined(),
        "superseded": member.is_over(),
        "cut": member.is_cut(),
        "health": member.health(),
        "there": member.table().there(),
        "nodes": nodes,
        "members": entries,
    });
    format!("{view}\n")
}

/// Why a node is held for what it is; `None` where it is not known.
pub fn why(member: &Member, now: Nanos, node: &str) -> Option<String> {
    let held = member.table().get(Key::of(node))?;
    let said = named(member, held.witness);
    let says = if held.witness == member.key() { "this node".to_owned() } else { said };
    let mut reasons = Vec::new();
    reasons.push(match held.state {
        State::Alive => format!("it says so itself, by {says}"),
        State::Left => "it said that it goes".to_owned(),
        State::Stalled => format!("{says} finds that its kernel takes connections and it does not answer"),
        State::Suspect if held.refused => format!("{says} finds that its address refuses connections"),
        State::Suspect => format!("{says} and those that it asked to ask get no answer"),
        State::Dead if held.refused => {
            format!("its address refused connections, and it did not say that it lives: {says}")
        }
        State::Dead => format!("it answered nobody for long enough: {says}"),
    });
    if !held.here {
        reasons.push("this node does not reach it itself".into());
    }
    if member.is_cut() {
        reasons.push(
            "this node gets no answer from most of those that it asks: the fault may be its own".into(),
        );
    }
    let mut told = entry(member, held, now);
    told["why"] = json!(reasons);
    Some(format!("{told}\n"))
}
