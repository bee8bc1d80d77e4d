//! Performs the scheduled actions of faults on a fleet.

use rustix::process::Signal;
use tracing::{info, warn};

use super::connection_flood::ConnectionFlood;
use super::fleet::{Fleet, process_signal, signal_process};
use super::fleet_links::toggle;
use super::process::ManagedProcess;
use super::{PROCESS_TIMEOUT, RunError};
use crate::fault_effects::endpoint_behavior;
use crate::fault_schedule::{FaultAction, ProcessSignal};
use crate::history::{EventKind, ListedHealth, ProcessState};

impl Fleet<'_> {
    /// Performs an action.
    pub(super) async fn perform(&mut self, action: FaultAction) -> Result<(), RunError> {
        match action {
            FaultAction::BeginFault(index) => self.record_fault(index, true),
            FaultAction::EndFault(index) => self.record_fault(index, false),
            FaultAction::SignalNode { node, signal } => {
                if let Some(state) = signal_process(&mut self.nodes[node], signal) {
                    self.log.record(EventKind::NodeState { node, state });
                }
            }
            FaultAction::SignalStoppingNode { node, signal } => self.signal_stopping_node(node, signal),
            FaultAction::SetConnectionFlood { node, connections } => {
                self.set_connection_flood(node, connections);
            }
            FaultAction::StartNode(node) => self.restart_node(node).await,
            FaultAction::SignalEndpoint { endpoint, signal } => {
                if let Some(state) = signal_process(&mut self.endpoints[endpoint], signal) {
                    let incarnation = self.incarnations[endpoint];
                    self.log.record(EventKind::EndpointState { endpoint, incarnation, state });
                }
            }
            FaultAction::StartEndpoint(endpoint) => self.restart_endpoint(endpoint).await?,
            FaultAction::SetDraining { endpoint, draining } => {
                let health = if draining { ListedHealth::Draining } else { ListedHealth::Active };
                self.list_endpoint(endpoint, health)?;
            }
            FaultAction::ToggleLinkFault(index) => self.links.toggle_fault(self.scenario, index),
            FaultAction::ToggleBehaviorFault(index) => {
                toggle(&mut self.active_behavior_faults, index);
                for endpoint in 0..self.scenario.fleet.endpoints {
                    self.send_behavior(endpoint)?;
                }
            }
            FaultAction::DamageFiles { node, file_fault } => self.files.damage(node, file_fault)?,
            FaultAction::SetDiskFull { node, full } => {
                if let Some(process) = self.running_node(node) {
                    process.set_disk_full(full)?;
                }
            }
            FaultAction::WriteRecording(node) => {
                if let Some(process) = self.running_node(node) {
                    process.send(Signal::USR1)?;
                }
            }
        }
        Ok(())
    }

    /// Sends a signal to a node that has got SIGTERM, even if its process has exited meanwhile.
    fn signal_stopping_node(&mut self, node: usize, signal: ProcessSignal) {
        let Some(process) = &mut self.nodes[node] else { return };
        let (signal, state) = process_signal(signal);
        let _ = process.send(signal);
        if state == Some(ProcessState::Down) {
            self.log.record(EventKind::NodeState { node, state: ProcessState::Down });
        }
    }

    /// Opens connections at a node in place of those that were opened before.
    fn set_connection_flood(&mut self, node: usize, connections: usize) {
        let address = self.client_addresses()[node];
        self.connection_floods[node] = (connections > 0).then(|| ConnectionFlood::open(address, connections));
    }

    /// Returns the process of a node unless the run has stopped it.
    fn running_node(&mut self, node: usize) -> Option<&mut ManagedProcess> {
        self.nodes[node].as_mut().filter(|process| !process.is_stop_requested())
    }

    fn record_fault(&self, index: usize, begins: bool) {
        let fault = &self.scenario.faults[index];
        let text = fault.describe();
        info!(fault = %text, "{}", if begins { "fault begins" } else { "fault ends" });
        self.log.record(EventKind::Fault {
            index,
            text,
            begins,
            nodes: fault.kind.nodes().to_vec(),
            affects_clients: fault.kind.affects_clients(),
            misbehaving: fault.kind.misbehaving_endpoints().to_vec(),
            crowded: fault.kind.crowded_nodes().to_vec(),
        });
    }

    /// Starts a node that was stopped. One that does not start is recorded as crashed.
    async fn restart_node(&mut self, node: usize) {
        if let Some(process) = &mut self.nodes[node] {
            if !process.is_stop_requested() {
                return;
            }
            process.wait_for_exit(PROCESS_TIMEOUT).await;
            self.log.record(EventKind::NodeState { node, state: ProcessState::Down });
        }
        if let Err(error) = self.start_node(node).await {
            warn!(node, %error, "node did not restart");
            self.nodes[node] = None;
            self.log.record(EventKind::NodeCrashed { node, text: error.to_string() });
        }
    }

    /// Starts an endpoint that was stopped.
    async fn restart_endpoint(&mut self, endpoint: usize) -> Result<(), RunError> {
        if self.endpoints[endpoint].as_ref().is_some_and(|process| !process.is_stop_requested()) {
            return Ok(());
        }
        self.incarnations[endpoint] += 1;
        self.start_endpoint(endpoint).await
    }

    /// Sends an endpoint its behavior under the active faults.
    pub(super) fn send_behavior(&mut self, endpoint: usize) -> Result<(), RunError> {
        let faults = &self.scenario.faults;
        let active: Vec<_> = self.active_behavior_faults.iter().map(|index| &faults[*index]).collect();
        let behavior = endpoint_behavior(self.scenario.seed, &active, endpoint);
        match self.endpoints[endpoint].as_mut().filter(|process| !process.is_stop_requested()) {
            Some(process) => Ok(process.write_line(&serde_json::to_string(&behavior)?)?),
            None => Ok(()),
        }
    }
}
