//! Simulation of a fleet in virtual time. The production state machines run in simulated processes, which can be paused and
//! killed, over simulated links with loss, delay and blocking. Runs with the same seed are identical.

mod config;
mod delivery;
mod event;
mod network;
mod process;

use crate::entry::MemberClaim;
use crate::membership::{Event, Membership, MembershipConfig};
use crate::record::{MemberId, MemberRecord};
use crate::state::MemberState;
use crate::table::MemberTable;
use crate::{MS, Nanos, SECOND};

use self::event::{EventQueue, Scheduled};
use self::network::Network;
use self::process::{Process, ProcessState};

pub use self::config::SimulationConfig;
pub use self::network::node_address;

/// Start of the processes' clocks. It is not zero, so that ages can refer to times before the start.
const CLOCK_START: Nanos = 10_000 * SECOND;
/// The nodes' wall clocks, from which epochs are derived, differ by less than this many days.
const CLOCK_SKEW_DAYS: u64 = 7;
const DAY_MS: u64 = 86_400_000;

/// Totals of the messages sent by all nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SentTotals {
    /// Size of all datagrams and stream frames in bytes.
    pub bytes: u64,
    /// Number of datagrams.
    pub datagrams: u64,
}

/// A simulated fleet.
pub struct Simulation {
    config: SimulationConfig,
    now: Nanos,
    processes: Vec<Process>,
    queue: EventQueue,
    network: Network,
}

/// The name of a node.
#[must_use]
pub fn node_name(node: usize) -> String {
    format!("n{node}")
}

impl Simulation {
    /// Creates a fleet without running processes.
    #[must_use]
    pub fn new(config: SimulationConfig) -> Self {
        Self {
            now: CLOCK_START,
            processes: (0..config.nodes).map(|_| Process::new()).collect(),
            queue: EventQueue::default(),
            network: Network::new(&config),
            config,
        }
    }

    /// Starts the process of a node.
    ///
    /// # Panics
    /// Panics if the settings are invalid.
    pub fn start(&mut self, node: usize, seeds: &[usize]) {
        let member = self.new_member(node, seeds, 0);
        self.processes[node].run(member);
        self.execute_outputs_and_schedule_timer(node);
    }

    /// Starts all processes with complete tables, as if all had joined long before.
    ///
    /// # Panics
    /// Panics if the settings are invalid.
    pub fn start_all_joined(&mut self) {
        let mut table = MemberTable::default();
        for node in 0..self.processes.len() {
            let member = self.new_member(node, &[], node as u32 + 1);
            for entry in member.table().iter() {
                table.merge(&MemberClaim::from(entry));
            }
            self.processes[node].run(member);
        }
        for node in 0..self.processes.len() {
            if let Some(member) = &mut self.processes[node].member {
                member.adopt_table(&table);
            }
            self.execute_outputs_and_schedule_timer(node);
        }
    }

    fn new_member(&mut self, node: usize, seeds: &[usize], node_number: u32) -> Membership {
        self.processes[node].starts += 1;
        let starts = self.processes[node].starts;
        let record = MemberRecord {
            name: node_name(node),
            epoch: (node as u64 % CLOCK_SKEW_DAYS) * DAY_MS + self.now / MS + starts,
            address: node_address(node).to_string(),
            zone: format!("z{}", node % self.config.zones.max(1)),
            program_version: "0".into(),
            node_number,
            ..MemberRecord::default()
        };
        let config = MembershipConfig {
            settings: self.config.settings.clone(),
            fleet_name: "sim".into(),
            record,
            seeds: seeds.iter().map(|seed| node_address(*seed)).collect(),
            address_overrides: Vec::new(),
            initial_node_count: 1,
            rng_seed: self.config.seed.wrapping_mul(1_000_003) ^ (node as u64) << 20 ^ starts,
        };
        Membership::new(config, self.now).expect("the settings of the simulation must be valid")
    }

    /// Kills a process.
    pub fn kill(&mut self, node: usize) {
        self.processes[node].kill();
    }

    /// Pauses a running process. Its kernel still accepts connections.
    pub fn pause(&mut self, node: usize) {
        let process = &mut self.processes[node];
        if process.state == ProcessState::Running {
            process.state = ProcessState::Paused;
        }
    }

    /// Resumes a paused process, and delivers the events that were buffered during the pause.
    pub fn resume(&mut self, node: usize) {
        if self.processes[node].state != ProcessState::Paused {
            return;
        }
        self.processes[node].state = ProcessState::Running;
        for event in std::mem::take(&mut self.processes[node].buffered_events) {
            self.deliver(node, event);
        }
        self.processes[node].timer_at = Nanos::MAX;
        self.execute_outputs_and_schedule_timer(node);
    }

    /// Makes a member leave the fleet, and ends its process.
    pub fn leave(&mut self, node: usize) {
        let now = self.now;
        if let Some(member) = &mut self.processes[node].member {
            member.leave(now);
        }
        self.execute_outputs(node);
        self.kill(node);
    }

    /// Blocks the links for which `is_blocked(sender, receiver)` is true. All others are unblocked.
    pub fn block_links(&mut self, is_blocked: impl Fn(usize, usize) -> bool + 'static) {
        self.network.block_links(is_blocked);
    }

    /// The member in a running or paused process.
    #[must_use]
    pub fn member(&self, node: usize) -> Option<&Membership> {
        self.processes[node].member.as_ref()
    }

    /// Calls a member as its process would, and executes its outputs.
    pub fn with_member(&mut self, node: usize, call: impl FnOnce(&mut Membership, Nanos)) {
        let now = self.now;
        if let Some(member) = &mut self.processes[node].member {
            call(member, now);
        }
        self.execute_outputs_and_schedule_timer(node);
    }

    /// Whether a process is running and not paused.
    #[must_use]
    pub fn is_up(&self, node: usize) -> bool {
        self.processes[node].state == ProcessState::Running
    }

    /// The state of a node in the table of an observer.
    #[must_use]
    pub fn state_of(&self, observer: usize, node: usize) -> Option<MemberState> {
        let id = MemberId::from_name(&node_name(node));
        self.member(observer)?.table().get(id).map(|entry| entry.state)
    }

    /// Whether the tables of all running members are equal.
    #[must_use]
    pub fn has_converged(&self) -> bool {
        let members = self.processes.iter().filter_map(Process::active_member);
        let mut fingerprints = members.map(|member| member.table().fingerprint());
        let first = fingerprints.next();
        fingerprints.all(|fingerprint| Some(fingerprint) == first)
    }

    /// Totals of the messages sent by all nodes until now.
    #[must_use]
    pub fn sent(&self) -> SentTotals {
        SentTotals {
            bytes: self.processes.iter().map(|process| process.bytes_sent).sum(),
            datagrams: self.processes.iter().map(|process| process.datagrams_sent).sum(),
        }
    }

    /// Takes the events of a node since the last call.
    pub fn take_events(&mut self, node: usize) -> Vec<Event> {
        std::mem::take(&mut self.processes[node].events)
    }

    /// Runs for a duration of virtual time.
    pub fn run_for(&mut self, duration: Nanos) {
        let end = self.now + duration;
        while let Some(Scheduled { at, node, event, .. }) = self.queue.pop_until(end) {
            self.now = at;
            self.deliver(node, event);
        }
        self.now = end;
    }

    /// Runs until a condition is true, which is checked before every `step`. Returns how long that took, or `None` if the
    /// condition does not become true within the limit.
    pub fn run_until(
        &mut self,
        step: Nanos,
        limit: Nanos,
        mut condition: impl FnMut(&Self) -> bool,
    ) -> Option<Nanos> {
        let start = self.now;
        while !condition(self) {
            if self.now >= start + limit {
                return None;
            }
            self.run_for(step);
        }
        Some(self.now - start)
    }
}
