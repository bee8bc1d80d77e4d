//! The answers to the admin commands about the fleet: one JSON object on one line. The `fleet` command reads them.

use pumicehead_membership::{MemberEntry, MemberId, MemberState, Membership, Nanos, SECOND, SignedNanos};
use pumicehead_membership::{awareness::Awareness, entry::NEVER_HEARD};
use serde::{Deserialize, Serialize};
use serde_json::json;

/// A node's view of its fleet.
#[derive(Serialize, Deserialize)]
pub struct FleetReport {
    /// Name of the fleet.
    pub fleet: String,
    /// Name of the node that answers.
    #[serde(rename = "me")]
    pub node: String,
    /// Fingerprint of its table, in hexadecimal: equal on nodes that hold the same.
    pub fingerprint: String,
    /// Whether it has joined the fleet.
    pub joined: bool,
    /// Whether a later process runs under its name.
    pub superseded: bool,
    /// Whether it is probably isolated itself.
    #[serde(rename = "cut")]
    pub isolated: bool,
    /// Its local health multiplier; 1 is healthy.
    #[serde(rename = "health")]
    pub health_multiplier: u32,
    /// Number of active members.
    #[serde(rename = "there")]
    pub active_members: usize,
    /// Number of nodes that share the servers.
    #[serde(rename = "nodes")]
    pub node_count: u32,
    /// All known members, by name.
    pub members: Vec<MemberReport>,
}

/// What a node knows about a member.
#[derive(Clone, Serialize, Deserialize)]
pub struct MemberReport {
    /// The member's name.
    pub name: String,
    /// Its state.
    pub state: String,
    /// The phase that it announces.
    pub phase: String,
    /// Whether the node reaches it directly.
    #[serde(rename = "here")]
    pub reachable_from_here: bool,
    /// Its zone.
    pub zone: String,
    /// Its address for datagrams and streams.
    pub address: String,
    /// The epoch of its process, in hexadecimal.
    pub epoch: String,
    /// The incarnation of its record.
    pub incarnation: u64,
    /// Its number among the nodes, from 1; 0 for none.
    #[serde(rename = "number")]
    pub node_number: u32,
    /// Its announced utilization, in eighths.
    #[serde(rename = "load", default)]
    pub load_eighths: u32,
    /// Version of its program.
    #[serde(rename = "program", default)]
    pub program_version: String,
    /// Requests that other members may send it.
    #[serde(rename = "offers", default)]
    pub capabilities: Vec<String>,
    /// Seconds since it entered its state.
    #[serde(rename = "since_s")]
    pub in_state_s: Option<f64>,
    /// Seconds since the node last heard from it; `None` for never.
    #[serde(rename = "heard_s")]
    pub last_heard_s: Option<f64>,
    /// Name of the member whose observation the state is.
    #[serde(rename = "says")]
    pub reporter: String,
    /// Whether its address refused connections.
    #[serde(rename = "refused", default)]
    pub connection_refused: bool,
    /// The suspicion against it.
    #[serde(rename = "doubt", default)]
    pub suspicion: Option<SuspicionReport>,
    /// Reasons for its state, in words; given for a single member alone.
    #[serde(rename = "why", default, skip_serializing_if = "Vec::is_empty")]
    pub reasons: Vec<String>,
}

/// A suspicion against a member.
#[derive(Clone, Serialize, Deserialize)]
pub struct SuspicionReport {
    /// Names of the accusers.
    #[serde(rename = "witnesses")]
    pub accusers: Vec<String>,
    /// Seconds until the member counts as dead for a healthy observer.
    #[serde(rename = "ends_in_s")]
    pub expires_in_s: f64,
}

/// The answer with all members.
pub fn fleet(name: &str, member: &mut Membership, now: Nanos) -> String {
    let node_count = member.node_count(now);
    let mut entries: Vec<_> = member.table().iter().collect();
    entries.sort_by(|a, b| a.record().name.cmp(&b.record().name));
    let report = FleetReport {
        fleet: name.to_owned(),
        node: member.record().name.clone(),
        fingerprint: format!("{:016x}", member.table().fingerprint()),
        joined: member.is_joined(),
        superseded: member.is_stopped(),
        isolated: member.is_isolated(),
        health_multiplier: member.health_multiplier(),
        active_members: member.table().active_count(),
        node_count,
        members: entries.into_iter().map(|entry| member_report(member, entry, now)).collect(),
    };
    line(&report)
}

/// The answer about one member with the reasons for its state; `None` where it is unknown.
pub fn member(member: &Membership, name: &str, now: Nanos) -> Option<String> {
    let entry = member.table().get(MemberId::from_name(name))?;
    let report = MemberReport { reasons: reasons(member, entry), ..member_report(member, entry, now) };
    Some(line(&report))
}

/// A line with the object's keys in the order of [`serde_json::Value`].
fn line(report: &impl Serialize) -> String {
    format!("{}\n", json!(report))
}

fn member_report(member: &Membership, entry: &MemberEntry, now: Nanos) -> MemberReport {
    let record = entry.record();
    MemberReport {
        name: record.name.clone(),
        state: entry.state.as_str().to_owned(),
        phase: record.phase().as_str().to_owned(),
        reachable_from_here: entry.reachable_from_here,
        zone: record.zone.clone(),
        address: record.address.clone(),
        epoch: format!("{:x}", record.epoch),
        incarnation: record.incarnation,
        node_number: record.node_number,
        load_eighths: record.load_eighths,
        program_version: record.program_version.clone(),
        capabilities: record.capabilities.clone(),
        in_state_s: seconds_since(now, entry.state_since),
        last_heard_s: seconds_since(now, entry.last_heard),
        reporter: name_or_id(member, entry.reporter),
        connection_refused: entry.connection_refused,
        suspicion: suspicion_report(member, entry.id(), now),
        reasons: Vec::new(),
    }
}

fn suspicion_report(member: &Membership, id: MemberId, now: Nanos) -> Option<SuspicionReport> {
    let suspicion = member.suspicion(id)?;
    let members = member.table().active_count();
    let expires_at = suspicion.expires_at(member.settings(), member.id(), members, Awareness::default());
    Some(SuspicionReport {
        accusers: suspicion.accusers.iter().map(|accuser| name_or_id(member, *accuser)).collect(),
        expires_in_s: expires_at.saturating_sub(now) as f64 / SECOND as f64,
    })
}

fn reasons(member: &Membership, entry: &MemberEntry) -> Vec<String> {
    let is_own = entry.reporter == member.id();
    let reporter = if is_own { "this node".to_owned() } else { name_or_id(member, entry.reporter) };
    let mut reasons = vec![state_reason(entry, &reporter)];
    if !entry.reachable_from_here {
        reasons.push("this node does not reach it itself".into());
    }
    if member.is_isolated() {
        reasons.push(
            "this node gets no answer from most of those that it asks: the fault may be its own".into(),
        );
    }
    reasons
}

fn state_reason(entry: &MemberEntry, reporter: &str) -> String {
    match entry.state {
        MemberState::Alive => format!("it says so itself, by {reporter}"),
        MemberState::Left => "it said that it goes".to_owned(),
        MemberState::Stalled => {
            format!("{reporter} finds that its kernel takes connections and it does not answer")
        }
        MemberState::Suspect if entry.connection_refused => {
            format!("{reporter} finds that its address refuses connections")
        }
        MemberState::Suspect => format!("{reporter} and those that it asked to ask get no answer"),
        MemberState::Dead if entry.connection_refused => {
            format!("its address refused connections, and it did not say that it lives: {reporter}")
        }
        MemberState::Dead => format!("it answered nobody for long enough: {reporter}"),
    }
}

/// Seconds since a time, in whole tenths; `None` for never.
fn seconds_since(now: Nanos, then: SignedNanos) -> Option<f64> {
    const TENTH: SignedNanos = SECOND as SignedNanos / 10;
    (then != NEVER_HEARD).then(|| ((now as SignedNanos).saturating_sub(then).max(0) / TENTH) as f64 / 10.0)
}

fn name_or_id(member: &Membership, id: MemberId) -> String {
    match member.name_of(id) {
        "" => format!("{:016x}", id.0),
        name => name.to_owned(),
    }
}
