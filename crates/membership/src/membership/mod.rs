//! The membership state machine. Its driver passes in datagrams, stream frames and results of stream probes, calls
//! [`Membership::on_timer`] when [`Membership::next_timer`] is due, and executes [`Membership::take_outputs`] in order.

mod anti_entropy;
mod claims;
mod config;
mod datagrams;
mod dissemination;
mod joining;
mod output;
mod own_record;
mod peers;
mod probing;
mod refutation;
mod relayed_probes;
mod stalls;
mod suspecting;
mod timers;

use std::collections::VecDeque;
use std::net::SocketAddr;

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rustc_hash::FxHashMap;

use crate::Nanos;
use crate::awareness::Awareness;
use crate::broadcast_queue::BroadcastQueue;
use crate::entry::MemberClaim;
use crate::node_count::NodeCount;
use crate::probe::{Probe, SequenceNumber};
use crate::probe_history::ProbeHistory;
use crate::probe_schedule::ProbeSchedule;
use crate::record::{MemberId, MemberRecord, Phase};
use crate::settings::Settings;
use crate::suspicion::Suspicion;
use crate::table::MemberTable;
use crate::wire::{FleetId, MINOR};

use self::joining::{CONTACT_SEED_INTERVAL, MIN_JOIN_BACKOFF};
use self::relayed_probes::RelayedProbe;
use self::timers::{CLEANUP_INTERVAL, Timer, Timers};

pub use self::config::{MAX_SEEDS, MembershipConfig, MembershipError};
pub use self::output::{Event, Output, RejectedRequest, StreamAction};

/// A member of a fleet.
#[derive(Clone, Debug)]
pub struct Membership {
    settings: Settings,
    fleet_id: FleetId,
    id: MemberId,
    /// This member's own record.
    record: MemberRecord,
    rng: Pcg64Mcg,
    seeds: Vec<SocketAddr>,
    address_overrides: FxHashMap<MemberId, SocketAddr>,
    table: MemberTable,
    broadcasts: BroadcastQueue,
    suspicions: FxHashMap<MemberId, Suspicion>,
    /// Members whose kernel accepts connections but whose process does not answer, and the time of the first such probe.
    unresponsive_since: FxHashMap<MemberId, Nanos>,
    awareness: Awareness,
    probe_history: ProbeHistory,
    probe_schedule: ProbeSchedule,
    probe: Option<Probe>,
    relayed_probes: VecDeque<RelayedProbe>,
    last_seq: SequenceNumber,
    node_count: NodeCount,
    /// Whether a push/pull exchange was completed, or no seeds are configured.
    joined: bool,
    /// Whether this member has left, or was superseded by another process with its name.
    stopped: bool,
    join_backoff: Nanos,
    next_seed: usize,
    timers: Timers,
    last_received_at: Nanos,
    load_announced_at: Nanos,
    /// Addresses of rejected peers that were reported.
    rejected_peers: VecDeque<SocketAddr>,
    outputs: VecDeque<Output>,
    bytes_sent: u64,
}

impl Membership {
    /// Starts a member.
    ///
    /// # Errors
    /// Returns an error if the configuration is invalid; see [`MembershipError`].
    pub fn new(config: MembershipConfig, now: Nanos) -> Result<Self, MembershipError> {
        config.settings.validate()?;
        if config.seeds.len() > MAX_SEEDS {
            return Err(MembershipError::TooManySeeds { count: config.seeds.len() });
        }
        let mut record = config.record;
        let own_address = record.socket_address();
        let seeds: Vec<_> = config.seeds.into_iter().filter(|seed| Some(*seed) != own_address).collect();
        record.incarnation = 0;
        record.protocol_minor = MINOR;
        record.set_phase(if seeds.is_empty() { Phase::Serving } else { Phase::Joining });
        record.validate()?;
        let mut rng = Pcg64Mcg::seed_from_u64(config.rng_seed);
        let timers = initial_timers(&config.settings, now, &mut rng);
        let overrides = config.address_overrides.iter();
        let mut member = Self {
            fleet_id: FleetId::from_name(&config.fleet_name),
            id: record.id(),
            address_overrides: overrides
                .map(|(name, address)| (MemberId::from_name(name), *address))
                .collect(),
            table: MemberTable::default(),
            broadcasts: BroadcastQueue::default(),
            suspicions: FxHashMap::default(),
            unresponsive_since: FxHashMap::default(),
            awareness: Awareness::default(),
            probe_history: ProbeHistory::default(),
            probe_schedule: ProbeSchedule::default(),
            probe: None,
            relayed_probes: VecDeque::new(),
            last_seq: SequenceNumber(rng.next_u32()),
            node_count: NodeCount::new(config.initial_node_count, now),
            joined: seeds.is_empty(),
            stopped: false,
            join_backoff: MIN_JOIN_BACKOFF,
            next_seed: if seeds.is_empty() { 0 } else { rng.next_u64() as usize % seeds.len() },
            timers,
            last_received_at: now,
            load_announced_at: now,
            rejected_peers: VecDeque::new(),
            outputs: VecDeque::new(),
            bytes_sent: 0,
            settings: config.settings,
            record,
            rng,
            seeds,
        };
        member.publish_record(now);
        Ok(member)
    }

    /// This member's id.
    #[must_use]
    pub fn id(&self) -> MemberId {
        self.id
    }

    /// This member's own record.
    #[must_use]
    pub fn record(&self) -> &MemberRecord {
        &self.record
    }

    /// The table of all known members.
    #[must_use]
    pub fn table(&self) -> &MemberTable {
        &self.table
    }

    /// The settings.
    #[must_use]
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Lifeguard's local health multiplier; 1 is healthy.
    #[must_use]
    pub fn health_multiplier(&self) -> u32 {
        self.awareness.multiplier()
    }

    /// Whether this member is probably isolated itself: most of its probes got no direct response.
    #[must_use]
    pub fn is_isolated(&self) -> bool {
        self.probe_history.is_isolated()
    }

    /// Whether this member has joined the fleet. A member without seeds counts as joined from the start.
    #[must_use]
    pub fn is_joined(&self) -> bool {
        self.joined
    }

    /// Whether this member has left, or was superseded by another process with its name.
    #[must_use]
    pub fn is_stopped(&self) -> bool {
        self.stopped
    }

    /// Whether updates are queued for other members.
    #[must_use]
    pub fn has_pending_broadcasts(&self) -> bool {
        !self.broadcasts.is_empty()
    }

    /// Total size of the datagrams sent, in bytes.
    #[must_use]
    pub fn bytes_sent(&self) -> u64 {
        self.bytes_sent
    }

    /// The name of a member, or an empty string if it is unknown.
    #[must_use]
    pub fn name_of(&self, id: MemberId) -> &str {
        self.table.get(id).map_or("", |entry| &entry.record().name)
    }

    /// The suspicion against a member, if there is one.
    #[must_use]
    pub fn suspicion(&self, id: MemberId) -> Option<&Suspicion> {
        self.suspicions.get(&id)
    }

    /// Updates and returns the number of nodes that share the endpoints, including this one; see [`crate::node_count`].
    pub fn node_count(&mut self, now: Nanos) -> u32 {
        self.node_count.update(&self.table, &self.settings, now)
    }

    /// Takes the pending outputs. The driver has to execute them in order.
    pub fn take_outputs(&mut self) -> impl Iterator<Item = Output> + '_ {
        self.outputs.drain(..)
    }

    /// Replaces the table by that of another member, as if a push/pull exchange had been completed.
    pub fn adopt_table(&mut self, table: &MemberTable) {
        let own = self.table.get(self.id).map(MemberClaim::from);
        self.table = table.clone();
        if let Some(own) = own {
            self.table.merge(&own);
        }
        self.broadcasts = BroadcastQueue::default();
        self.joined = true;
    }
}

/// Returns timers whose first run is spread randomly over their interval.
fn initial_timers(settings: &Settings, now: Nanos, rng: &mut Pcg64Mcg) -> Timers {
    let mut timers = Timers::all_at(now);
    for (timer, interval) in [
        (Timer::Probe, settings.probe_interval),
        (Timer::Gossip, settings.gossip_interval),
        (Timer::PushPull, settings.push_pull_interval),
        (Timer::Reconnect, settings.reconnect_interval),
        (Timer::ContactSeed, CONTACT_SEED_INTERVAL),
        (Timer::Cleanup, CLEANUP_INTERVAL),
    ] {
        timers.set(timer, now + rng.next_u64() % interval.max(1));
    }
    timers
}
