//! Human-readable descriptions of faults for histories, logs and reports.

use crate::fault_kind::{Fault, FaultKind, FileFault, LinkSide, Misbehavior};

impl Fault {
    /// Returns a human-readable description of the fault.
    #[must_use]
    pub fn describe(&self) -> String {
        match &self.kind {
            FaultKind::Kill { nodes, file_fault } => {
                format!("nodes {} are killed{}", list(nodes), describe_file_fault(*file_fault))
            }
            FaultKind::RollingRestart { nodes } => format!("nodes {} restart in turn", list(nodes)),
            FaultKind::CrashLoop { nodes, interval_s } => {
                format!("nodes {} crash every {interval_s} s", list(nodes))
            }
            FaultKind::Pause { nodes } => format!("nodes {} stand still", list(nodes)),
            FaultKind::Throttle { nodes, paused_share } => {
                format!("nodes {} stand still for {paused_share} of the time", list(nodes))
            }
            FaultKind::DiskFull { nodes } => format!("files of nodes {} can't grow", list(nodes)),
            FaultKind::WriteRecording { nodes } => format!("nodes {} write recordings", list(nodes)),
            FaultKind::Link { from, to, .. } => {
                format!("links from {} to {}", describe_side(from), describe_side(to))
            }
            FaultKind::Partition { groups } => {
                let groups: Vec<_> = groups.iter().map(|group| list(group)).collect();
                format!("nodes {} are cut from each other", groups.join(" | "))
            }
            FaultKind::EndpointPause { endpoints } => format!("servers {} stand still", list(endpoints)),
            FaultKind::EndpointKill { endpoints } => format!("servers {} are killed", list(endpoints)),
            FaultKind::EndpointSlow { endpoints, factor } => {
                format!("servers {} take {factor} times as long", list(endpoints))
            }
            FaultKind::EndpointMisbehave { endpoints, misbehavior } => {
                format!("servers {} {}", list(endpoints), describe_misbehavior(*misbehavior))
            }
            FaultKind::EndpointBursts { endpoints } => format!("servers {} write in bursts", list(endpoints)),
            FaultKind::Terminate { nodes } => format!("nodes {} are terminated, then killed", list(nodes)),
            FaultKind::ConnectionFlood { nodes, connections } => {
                format!("{connections} idle connections are held at nodes {}", list(nodes))
            }
            FaultKind::EndpointDrain { endpoints } => format!("servers {} drain", list(endpoints)),
            FaultKind::LoadBurst { factor } => format!("{factor} times as much is asked"),
        }
    }
}

fn list(numbers: &[usize]) -> String {
    numbers.iter().map(ToString::to_string).collect::<Vec<_>>().join(" ")
}

fn describe_side(side: &LinkSide) -> String {
    match side {
        LinkSide::Clients => "clients".to_owned(),
        LinkSide::Nodes(nodes) => format!("nodes {}", list(nodes)),
        LinkSide::Endpoints(endpoints) => format!("servers {}", list(endpoints)),
        LinkSide::Discovery => "discovery".to_owned(),
    }
}

fn describe_file_fault(file_fault: FileFault) -> &'static str {
    match file_fault {
        FileFault::Intact => "",
        FileFault::Removed => ", their files are gone",
        FileFault::Truncated => ", their files are cut",
        FileFault::BytesFlipped => ", their files have other bytes",
    }
}

fn describe_misbehavior(misbehavior: Misbehavior) -> &'static str {
    match misbehavior {
        Misbehavior::DeniesExecution => "say that nothing was done",
        Misbehavior::WrongResponse => "give answers to other requests",
        Misbehavior::MalformedResponse => "send what is no answer",
    }
}
