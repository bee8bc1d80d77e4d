//! Replies to the admin commands about the fleet, each a JSON object on a single line. The `fleet` command parses them.

use pumicehead_membership::{MemberEntry, MemberId, MemberState, Membership, Nanos, SECOND, SignedNanos};
use pumicehead_membership::{awareness::Awareness, entry::NEVER_HEARD};
use serde::{Deserialize, Serialize};
use serde_json::json;

/// A node's view of its fleet.
#[derive(Serialize, Deserialize)]
pub struct FleetReport {
    /// Name of the fleet.
    pub fleet: String,
    /// Name of the reporting node.
    #[serde(rename = "me")]
    pub node: String,
    /// Fingerprint of the node's member table, in hexadecimal; nodes with equal tables have equal fingerprints.
    pub fingerprint: String,
    /// Whether the node has joined the fleet.
    pub joined: bool,
    /// Whether a later process with the same name has replaced the node in the fleet.
    pub superseded: bool,
    /// Whether the node itself is probably isolated.
    #[serde(rename = "cut")]
    pub isolated: bool,
    /// Local health multiplier of the node; 1 is healthy.
    #[serde(rename = "health")]
    pub health_multiplier: u32,
    /// Number of active members.
    #[serde(rename = "there")]
    pub active_members: usize,
    /// Number of nodes that share the endpoints.
    #[serde(rename = "nodes")]
    pub node_count: u32,
    /// All known members, sorted by name.
    pub members: Vec<MemberReport>,
}

/// What the reporting node knows about a member.
#[derive(Clone, Serialize, Deserialize)]
pub struct MemberReport {
    /// Name of the member.
    pub name: String,
    /// State of the member.
    pub state: String,
    /// Phase that the member announces.
    pub phase: String,
    /// Whether the reporting node can reach the member directly.
    #[serde(rename = "here")]
    pub reachable_from_here: bool,
    /// Zone of the member.
    pub zone: String,
    /// Address of the member for datagrams and streams.
    pub address: String,
    /// Epoch of the member's process, in hexadecimal.
    pub epoch: String,
    /// Incarnation of the member's record.
    pub incarnation: u64,
    /// Number of the member among the nodes, starting from 1; 0 if it has none.
    #[serde(rename = "number")]
    pub node_number: u32,
    /// Announced utilization, in eighths.
    #[serde(rename = "load", default)]
    pub load_eighths: u32,
    /// Version of the member's program.
    #[serde(rename = "program", default)]
    pub program_version: String,
    /// Requests that other members may send to the member.
    #[serde(rename = "offers", default)]
    pub capabilities: Vec<String>,
    /// Seconds since the member entered its state.
    #[serde(rename = "since_s")]
    pub in_state_s: Option<f64>,
    /// Seconds since the reporting node last heard from the member; `None` if never.
    #[serde(rename = "heard_s")]
    pub last_heard_s: Option<f64>,
    /// Name of the member that observed the state.
    #[serde(rename = "says")]
    pub reporter: String,
    /// Whether the member's address refused connections.
    #[serde(rename = "refused", default)]
    pub connection_refused: bool,
    /// The suspicion against the member, if any.
    #[serde(rename = "doubt", default)]
    pub suspicion: Option<SuspicionReport>,
    /// Explanations of the state; only in the report on a single member.
    #[serde(rename = "why", default, skip_serializing_if = "Vec::is_empty")]
    pub reasons: Vec<String>,
}

/// A suspicion against a member.
#[derive(Clone, Serialize, Deserialize)]
pub struct SuspicionReport {
    /// Names of the members that reported the suspicion.
    #[serde(rename = "witnesses")]
    pub accusers: Vec<String>,
    /// Seconds until a healthy observer considers the member dead.
    #[serde(rename = "ends_in_s")]
    pub expires_in_s: f64,
}

/// Returns the report with all members.
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

/// Returns the report on one member with the reasons for its state, or `None` if the member is unknown.
pub fn member(member: &Membership, name: &str, now: Nanos) -> Option<String> {
    let entry = member.table().get(MemberId::from_name(name))?;
    let report = MemberReport { reasons: reasons(member, entry), ..member_report(member, entry, now) };
    Some(line(&report))
}

/// Formats a report as a line of JSON, with the keys in the order of [`serde_json::Value`].
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
        reasons.push("this node can't reach it directly".into());
    }
    if member.is_isolated() {
        reasons.push("most probes that this node sends get no response: the fault may be on its side".into());
    }
    reasons
}

fn state_reason(entry: &MemberEntry, reporter: &str) -> String {
    match entry.state {
        MemberState::Alive => format!("it announced itself as alive; reported by {reporter}"),
        MemberState::Left => "it announced that it leaves the fleet".to_owned(),
        MemberState::Stalled => {
            format!("its kernel accepts connections but its process does not respond; reported by {reporter}")
        }
        MemberState::Suspect if entry.connection_refused => {
            format!("its address refuses connections; reported by {reporter}")
        }
        MemberState::Suspect => {
            format!("it responds to neither direct nor indirect probes; reported by {reporter}")
        }
        MemberState::Dead if entry.connection_refused => {
            format!(
                "its address refused connections, and it did not refute the suspicion; reported by {reporter}"
            )
        }
        MemberState::Dead => {
            format!("it responded to no probes until the suspicion expired; reported by {reporter}")
        }
    }
}

/// Returns the seconds since a time, rounded down to tenths, or `None` for [`NEVER_HEARD`].
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
