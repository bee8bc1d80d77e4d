//! The processes of a run.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::process::Signal;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};
use tracing::{debug, warn};

use super::connection_flood::ConnectionFlood;
use super::event_log::EventLog;
use super::fleet_links::FleetLinks;
use super::membership_poll::MembershipPoll;
use super::node_files::NodeFiles;
use super::node_process::{NodeFilePaths, StartedNode, start_node};
use super::process::ManagedProcess;
use super::stand_in_process::{StartedStandIn, start_stand_in};
use super::{PROCESS_TIMEOUT, RunError, RunOptions, SAMPLE_INTERVAL};
use crate::fault_schedule::ProcessSignal;
use crate::history::{EventKind, ListedHealth, ProcessState};
use crate::link::{LatenessGauge, LinkEnd, LinkPath};
use crate::scenario::Scenario;
use crate::stand_ins::DiscoveryChange;
use crate::supervisor::Supervisor;

/// Time given to nodes to get their first endpoint list before the load starts.
const FIRST_LIST_TIME: Duration = Duration::from_millis(300);
/// Time limit for nodes to write recordings.
const RECORDING_TIMEOUT: Duration = Duration::from_secs(5);

/// The processes of a run, with their links. Dropping it kills all of them, first through the supervisor.
pub(super) struct Fleet<'a> {
    pub(super) scenario: &'a Scenario,
    options: &'a RunOptions,
    supervisor: Supervisor,
    pub(super) log: EventLog,
    pub(super) nodes: Vec<Option<ManagedProcess>>,
    pub(super) endpoints: Vec<Option<ManagedProcess>>,
    /// Number of restarts of each endpoint.
    pub(super) incarnations: Vec<u32>,
    discovery: ManagedProcess,
    pub(super) links: FleetLinks,
    membership: MembershipPoll,
    /// Indexes of the behavior faults that are active.
    pub(super) active_behavior_faults: Vec<usize>,
    /// Connections that are held open at each node.
    pub(super) connection_floods: Vec<Option<ConnectionFlood>>,
    pub(super) files: NodeFiles,
    /// Tasks that collect the events of stand-ins.
    event_collectors: JoinSet<()>,
    lateness: LatenessGauge,
}

impl<'a> Fleet<'a> {
    /// Starts all processes and opens all links.
    pub async fn start(
        scenario: &'a Scenario,
        options: &'a RunOptions,
        log: EventLog,
        lateness: LatenessGauge,
    ) -> Result<Self, RunError> {
        let mut supervisor = Supervisor::start(&options.chaos_program)?;
        let (nodes, endpoints) = (scenario.fleet.nodes, scenario.fleet.endpoints);
        let arguments = ["discover", &nodes.to_string()];
        let discovery = start_stand_in(options, &arguments, &mut supervisor).await?;
        let mut event_collectors = JoinSet::new();
        event_collectors.spawn_local(log.clone().collect(discovery.events));
        let files = NodeFiles::new(&options.work_dir, scenario.seed);
        files.clear_recordings(nodes)?;
        let links = FleetLinks::open(scenario, &discovery.addresses, &lateness).await?;
        let mut fleet = Self {
            scenario,
            options,
            supervisor,
            log,
            nodes: (0..nodes).map(|_| None).collect(),
            endpoints: (0..endpoints).map(|_| None).collect(),
            incarnations: vec![0; endpoints],
            discovery: discovery.process,
            links,
            membership: MembershipPoll::new(nodes),
            active_behavior_faults: Vec::new(),
            connection_floods: (0..nodes).map(|_| None).collect(),
            files,
            event_collectors,
            lateness,
        };
        for endpoint in 0..endpoints {
            fleet.start_endpoint(endpoint).await?;
        }
        for node in 0..nodes {
            fleet.start_node(node).await?;
        }
        sleep(FIRST_LIST_TIME).await;
        Ok(fleet)
    }

    /// Returns the address at which clients reach each node.
    pub fn client_addresses(&self) -> Vec<SocketAddr> {
        let nodes = (0..self.scenario.fleet.nodes).map(LinkEnd::Node);
        nodes.map(|to| self.links.address(LinkPath { from: LinkEnd::Clients, to })).collect()
    }

    /// Starts an endpoint and lists it as active.
    pub(super) async fn start_endpoint(&mut self, endpoint: usize) -> Result<(), RunError> {
        let fleet = &self.scenario.fleet;
        let incarnation = self.incarnations[endpoint];
        let warm_up_s = if incarnation == 0 { 0.0 } else { fleet.slow_start.duration_s };
        let arguments = [
            "server",
            &format!("--number={endpoint}"),
            &format!("--epoch={incarnation}"),
            &format!("--places={}", fleet.concurrency),
            &format!("--takes-ms={}", fleet.service_time_ms),
            &format!("--cold-s={warm_up_s}"),
            &format!("--cold-from={}", fleet.slow_start.initial_share),
        ];
        let StartedStandIn { process, addresses, events } =
            start_stand_in(self.options, &arguments, &mut self.supervisor).await?;
        let address = *addresses.first().ok_or(std::io::Error::from(std::io::ErrorKind::UnexpectedEof))?;
        self.event_collectors.spawn_local(self.log.clone().collect(events));
        self.endpoints[endpoint] = Some(process);
        self.send_behavior(endpoint)?;
        self.links.set_endpoint(endpoint, address);
        let state = ProcessState::Running;
        self.log.record(EventKind::EndpointState { endpoint, incarnation, state });
        self.list_endpoint(endpoint, ListedHealth::Active)
    }

    /// Makes discovery list an endpoint with this health.
    pub(super) fn list_endpoint(&mut self, endpoint: usize, health: ListedHealth) -> Result<(), RunError> {
        let to = LinkEnd::Endpoint(endpoint);
        let nodes = (0..self.scenario.fleet.nodes).map(LinkEnd::Node);
        let addresses = nodes.map(|from| self.links.address(LinkPath { from, to })).collect();
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let started_unix_ms = if self.incarnations[endpoint] == 0 { 0 } else { now.as_millis() as u64 };
        let change = DiscoveryChange { endpoint, health, addresses, started_unix_ms };
        Ok(self.discovery.write_line(&serde_json::to_string(&change)?)?)
    }

    /// Starts a node with a new configuration file.
    pub(super) async fn start_node(&mut self, node: usize) -> Result<(), RunError> {
        let config = self.options.work_dir.join(format!("n{node}.conf"));
        let directory = self.files.node_dir(node);
        std::fs::create_dir_all(&directory)?;
        std::fs::write(&config, self.node_config(node))?;
        let paths = NodeFilePaths { config: &config, directory: &directory };
        let host = self.scenario.fleet.host;
        let StartedNode { process, addresses } =
            start_node(self.options, node, host, paths, &mut self.supervisor).await?;
        self.links.set_node(node, addresses);
        self.membership.node_started(node, addresses.admin);
        self.nodes[node] = Some(process);
        debug!(node, address = %addresses.clients, "node listens for clients");
        self.log.record(EventKind::NodeState { node, state: ProcessState::Running });
        Ok(())
    }

    /// Records the run's lateness, the nodes' resources and unexpected exits, and polls the nodes' views.
    pub fn sample(&mut self) {
        self.log.record(EventKind::HarnessLag { max_us: self.lateness.take() });
        if self.scenario.fleet.membership {
            self.membership.poll(&self.log);
        }
        for (node, process) in self.nodes.iter_mut().enumerate() {
            let Some(process) = process else { continue };
            if let Some(text) = process.take_unexpected_exit() {
                warn!(node, status = %text, "node exited unexpectedly");
                self.log.record(EventKind::NodeCrashed { node, text });
                self.log.record(EventKind::NodeState { node, state: ProcessState::Down });
            } else if let Some(resources) = process.resources() {
                let (descriptors, memory_kib) = (resources.descriptors, resources.memory_kib);
                self.log.record(EventKind::ResourceUsage { node, descriptors, memory_kib });
            }
        }
    }

    /// Asks all running nodes to write recordings, and waits for them for at most [`RECORDING_TIMEOUT`].
    pub async fn write_recordings(&mut self) -> Result<(), RunError> {
        let before = self.files.recordings(self.nodes.len())?;
        let mut requested = 0;
        for process in self.nodes.iter_mut().flatten().filter(|process| !process.is_stop_requested()) {
            process.send(Signal::USR1)?;
            requested += 1;
        }
        let written = async {
            while self.files.recordings(self.nodes.len())?.difference(&before).count() < requested {
                sleep(SAMPLE_INTERVAL).await;
            }
            Ok(())
        };
        // A timeout is no error: a node that writes no recording logs the reason.
        timeout(RECORDING_TIMEOUT, written).await.unwrap_or(Ok(()))
    }

    /// Stops all nodes with SIGTERM; those that do not exit in time are killed.
    pub async fn stop_nodes(&mut self) {
        self.membership.stop();
        for (node, process) in self.nodes.iter_mut().enumerate() {
            if let Some(state) = signal_process(process, ProcessSignal::Terminate) {
                self.log.record(EventKind::NodeState { node, state });
            }
        }
        for process in self.nodes.iter_mut().flatten() {
            process.wait_for_exit(PROCESS_TIMEOUT).await;
        }
    }

    /// Reads all recordings with the proxy program.
    pub fn read_recordings(&self) -> Result<(), RunError> {
        let read = self.files.read_recordings(self.nodes.len(), &self.options.node_program)?;
        read.into_iter().for_each(|event| self.log.record(event));
        Ok(())
    }
}

/// Sends a signal to a process unless it was already stopped; returns its new state.
pub(super) fn signal_process(
    process: &mut Option<ManagedProcess>,
    signal: ProcessSignal,
) -> Option<ProcessState> {
    let process = process.as_mut().filter(|process| !process.is_stop_requested())?;
    let (signal, state) = process_signal(signal);
    process.send(signal).ok()?;
    state
}

/// Returns the system's signal, and the state of a process that gets it, if that changes.
pub(super) fn process_signal(signal: ProcessSignal) -> (Signal, Option<ProcessState>) {
    match signal {
        ProcessSignal::Pause => (Signal::STOP, Some(ProcessState::Paused)),
        ProcessSignal::Resume => (Signal::CONT, Some(ProcessState::Resumed)),
        ProcessSignal::Kill => (Signal::KILL, Some(ProcessState::Down)),
        ProcessSignal::Terminate => (Signal::TERM, Some(ProcessState::Stopping)),
        ProcessSignal::Hangup => (Signal::HUP, None),
    }
}
