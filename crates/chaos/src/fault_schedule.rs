//! The actions that inject and end a scenario's faults, ordered by time. Does no I/O.

use crate::fault_kind::{Fault, FaultKind, FileFault};
use crate::scenario::Scenario;
use crate::{MS, Nanos, SECOND};

/// A throttled process is paused once per period.
const THROTTLE_PERIOD: Nanos = SECOND / 10;

/// Interval between the signals of a termination.
const SIGNAL_INTERVAL: Nanos = SECOND / 8;
/// The longest deadline that delays SIGKILL, and the time after it.
const MAX_KILL_DEADLINE: Nanos = 3 * SECOND;
const KILL_MARGIN: Nanos = 700 * MS;

/// A signal to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessSignal {
    /// SIGSTOP.
    Pause,
    /// SIGCONT.
    Resume,
    /// SIGKILL.
    Kill,
    /// SIGTERM.
    Terminate,
    /// SIGHUP.
    Hangup,
}

/// One action on the fleet. Faults are identified by their index in the scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultAction {
    /// Records in the history that a fault begins.
    BeginFault(usize),
    /// Records in the history that a fault has ended, after all other actions of the fault.
    EndFault(usize),
    /// Sends a signal to a node.
    SignalNode {
        /// The node.
        node: usize,
        /// The signal.
        signal: ProcessSignal,
    },
    /// Sends a signal to a node that has got SIGTERM.
    SignalStoppingNode {
        /// The node.
        node: usize,
        /// The signal.
        signal: ProcessSignal,
    },
    /// Holds this number of connections open at a node.
    SetConnectionFlood {
        /// The node.
        node: usize,
        /// Number of connections; 0 closes them.
        connections: usize,
    },
    /// Starts a node unless it is running.
    StartNode(usize),
    /// Sends a signal to an endpoint.
    SignalEndpoint {
        /// The endpoint.
        endpoint: usize,
        /// The signal.
        signal: ProcessSignal,
    },
    /// Starts an endpoint unless it is running; discovery lists its new start time.
    StartEndpoint(usize),
    /// Makes discovery list an endpoint as draining, or as active again.
    SetDraining {
        /// The endpoint.
        endpoint: usize,
        /// Whether it is listed as draining.
        draining: bool,
    },
    /// Damages or removes the files of a node that is down.
    DamageFiles {
        /// The node.
        node: usize,
        /// Kind of the damage.
        file_fault: FileFault,
    },
    /// Prevents all files of a node from growing, or allows it again.
    SetDiskFull {
        /// The node.
        node: usize,
        /// Whether its disk is full.
        full: bool,
    },
    /// Asks a node to write a recording.
    WriteRecording(usize),
    /// Begins a fault in the behavior of endpoints, or ends it if it is active.
    ToggleBehaviorFault(usize),
    /// Begins a fault of links, or ends it if it is active.
    ToggleLinkFault(usize),
}

/// An action with its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScheduledAction {
    /// Time since the start of the load.
    pub at: Nanos,
    /// The action.
    pub action: FaultAction,
}

/// Returns all actions of a scenario, ascending by time. Actions of the same time are in the order of their faults.
#[must_use]
pub fn schedule(scenario: &Scenario) -> Vec<ScheduledAction> {
    let mut schedule = Schedule::default();
    for (index, fault) in scenario.faults.iter().enumerate() {
        let start = nanos(scenario.fault_free_s[0] + fault.start_s);
        let end = start + nanos(fault.duration_s);
        schedule.add(start, FaultAction::BeginFault(index));
        schedule.add_fault(index, fault, start, end, earliest_kill(scenario));
        schedule.add(end, FaultAction::EndFault(index));
    }
    schedule.actions.sort_by_key(|scheduled| scheduled.at);
    schedule.actions
}

/// Returns the time after SIGTERM at which the platform may send SIGKILL.
fn earliest_kill(scenario: &Scenario) -> Nanos {
    (scenario.load.deadline_ms * MS).min(MAX_KILL_DEADLINE) + KILL_MARGIN
}

fn nanos(seconds: f64) -> Nanos {
    (seconds * SECOND as f64) as Nanos
}

#[derive(Default)]
struct Schedule {
    actions: Vec<ScheduledAction>,
}

impl Schedule {
    fn add(&mut self, at: Nanos, action: FaultAction) {
        self.actions.push(ScheduledAction { at, action });
    }

    /// Adds one action for each node or endpoint.
    fn add_each(&mut self, at: Nanos, targets: &[usize], action: impl Fn(usize) -> FaultAction) {
        for &target in targets {
            self.add(at, action(target));
        }
    }

    fn signal_nodes(&mut self, at: Nanos, nodes: &[usize], signal: ProcessSignal) {
        self.add_each(at, nodes, |node| FaultAction::SignalNode { node, signal });
    }

    fn signal_endpoints(&mut self, at: Nanos, endpoints: &[usize], signal: ProcessSignal) {
        self.add_each(at, endpoints, |endpoint| FaultAction::SignalEndpoint { endpoint, signal });
    }

    /// Adds the actions of a fault. SIGKILL may follow `earliest_kill` after SIGTERM.
    fn add_fault(&mut self, index: usize, fault: &Fault, start: Nanos, end: Nanos, earliest_kill: Nanos) {
        match &fault.kind {
            FaultKind::Kill { nodes, file_fault } => self.add_kill(nodes, *file_fault, start, end),
            FaultKind::RollingRestart { nodes } => self.add_rolling_restart(nodes, start, end),
            FaultKind::CrashLoop { nodes, interval_s } => {
                self.add_crash_loop(nodes, nanos(*interval_s), start, end);
            }
            FaultKind::Pause { nodes } => {
                self.signal_nodes(start, nodes, ProcessSignal::Pause);
                self.signal_nodes(end, nodes, ProcessSignal::Resume);
            }
            FaultKind::Throttle { nodes, paused_share } => {
                self.add_throttle(nodes, *paused_share, start, end);
            }
            FaultKind::DiskFull { nodes } => self.add_disk_full(nodes, start, end),
            FaultKind::WriteRecording { nodes } => {
                self.add_each(start, nodes, FaultAction::WriteRecording);
            }
            FaultKind::Link { .. } | FaultKind::Partition { .. } => {
                self.add(start, FaultAction::ToggleLinkFault(index));
                self.add(end, FaultAction::ToggleLinkFault(index));
            }
            FaultKind::EndpointPause { endpoints } => {
                self.signal_endpoints(start, endpoints, ProcessSignal::Pause);
                self.signal_endpoints(end, endpoints, ProcessSignal::Resume);
            }
            FaultKind::EndpointKill { endpoints } => {
                self.signal_endpoints(start, endpoints, ProcessSignal::Kill);
                self.add_each(end, endpoints, FaultAction::StartEndpoint);
            }
            FaultKind::Terminate { nodes } => {
                self.add_termination(nodes, start, start + earliest_kill, end);
            }
            FaultKind::ConnectionFlood { nodes, connections } => {
                for (at, connections) in [(start, *connections), (end, 0)] {
                    self.add_each(at, nodes, |node| FaultAction::SetConnectionFlood { node, connections });
                }
            }
            FaultKind::EndpointSlow { .. }
            | FaultKind::EndpointMisbehave { .. }
            | FaultKind::EndpointBursts { .. } => {
                self.add(start, FaultAction::ToggleBehaviorFault(index));
                self.add(end, FaultAction::ToggleBehaviorFault(index));
            }
            FaultKind::EndpointDrain { endpoints } => self.add_drain(endpoints, start, end),
            // Clients generate all their requests in advance, bursts included.
            FaultKind::LoadBurst { .. } => {}
        }
    }

    fn add_kill(&mut self, nodes: &[usize], file_fault: FileFault, start: Nanos, end: Nanos) {
        self.signal_nodes(start, nodes, ProcessSignal::Kill);
        if file_fault != FileFault::Intact {
            self.add_each(end, nodes, |node| FaultAction::DamageFiles { node, file_fault });
        }
        self.add_each(end, nodes, FaultAction::StartNode);
    }

    fn add_termination(&mut self, nodes: &[usize], start: Nanos, kill: Nanos, end: Nanos) {
        self.signal_nodes(start, nodes, ProcessSignal::Terminate);
        let further = [
            (start + SIGNAL_INTERVAL, ProcessSignal::Hangup),
            (start + 2 * SIGNAL_INTERVAL, ProcessSignal::Terminate),
            (kill, ProcessSignal::Kill),
        ];
        for (at, signal) in further {
            self.add_each(at, nodes, |node| FaultAction::SignalStoppingNode { node, signal });
        }
        self.add_each(end.max(kill), nodes, FaultAction::StartNode);
    }

    fn add_rolling_restart(&mut self, nodes: &[usize], start: Nanos, end: Nanos) {
        let step = (end - start) / nodes.len().max(1) as Nanos;
        for (&node, position) in nodes.iter().zip(0..) {
            self.signal_nodes(start + position * step, &[node], ProcessSignal::Terminate);
            self.add(start + (position + 1) * step, FaultAction::StartNode(node));
        }
    }

    fn add_crash_loop(&mut self, nodes: &[usize], interval: Nanos, start: Nanos, end: Nanos) {
        let mut at = start;
        while at < end {
            self.signal_nodes(at, nodes, ProcessSignal::Kill);
            self.add_each(at, nodes, FaultAction::StartNode);
            at += interval;
        }
    }

    fn add_throttle(&mut self, nodes: &[usize], paused_share: f64, start: Nanos, end: Nanos) {
        let pause = (THROTTLE_PERIOD as f64 * paused_share) as Nanos;
        let mut at = start;
        while at < end {
            self.signal_nodes(at, nodes, ProcessSignal::Pause);
            self.signal_nodes((at + pause).min(end), nodes, ProcessSignal::Resume);
            at += THROTTLE_PERIOD;
        }
    }

    fn add_drain(&mut self, endpoints: &[usize], start: Nanos, end: Nanos) {
        for (at, draining) in [(start, true), (end, false)] {
            self.add_each(at, endpoints, |endpoint| FaultAction::SetDraining { endpoint, draining });
        }
    }

    fn add_disk_full(&mut self, nodes: &[usize], start: Nanos, end: Nanos) {
        for &node in nodes {
            for (at, full) in [(start, true), (end, false)] {
                self.add(at, FaultAction::SetDiskFull { node, full });
                self.add(at, FaultAction::WriteRecording(node));
            }
        }
    }
}
