//! Simulation of processes that run `foca`, in virtual time.

use std::collections::{BTreeMap, BTreeSet};
use std::num::{NonZeroU32, NonZeroUsize};
use std::time::Duration;

use foca::{
    AccumulatingRuntime, Config, Foca, Identity, NoCustomBroadcast, PeriodicParams, PostcardCodec, Timer,
};
use pumicehead_membership::{MS, SECOND};
use rand::SeedableRng;
use rand::rngs::Xoshiro256PlusPlus;
use serde::{Deserialize, Serialize};

use crate::NODES;

/// Identity of a member: node and incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct FocaId(usize, u32);

impl Identity for FocaId {
    type Addr = usize;

    fn renew(&self) -> Option<Self> {
        Some(Self(self.0, self.1 + 1))
    }

    fn addr(&self) -> usize {
        self.0
    }

    fn win_addr_conflict(&self, other: &Self) -> bool {
        self.1 > other.1
    }
}

/// An event at a node.
enum FocaEvent {
    Datagram(Vec<u8>),
    Timer(Timer<FocaId>),
}

type FocaMember = Foca<FocaId, PostcardCodec, Xoshiro256PlusPlus, NoCustomBroadcast>;

/// A fleet of `foca` members.
pub(crate) struct FocaFleet {
    members: Vec<FocaMember>,
    /// Nodes whose processes are paused permanently.
    paused: BTreeSet<usize>,
    /// Pending events and their nodes, by time and sequence number.
    events: BTreeMap<(u64, u64), (usize, FocaEvent)>,
    last_sequence: u64,
    now: u64,
    rng: u64,
    loss: f64,
    pub(crate) is_blocked: fn(usize, usize) -> bool,
}

/// `foca`'s settings for a LAN. Dead members are contacted and retained as in this package.
fn config() -> Config {
    let mut config = Config::new_lan(NonZeroU32::new(NODES as u32).unwrap());
    config.notify_down_members = true;
    config.remove_down_after = Some(Duration::from_secs(3_600));
    config.periodic_announce_to_down_members =
        PeriodicParams { frequency: Duration::from_secs(2), num_members: NonZeroUsize::new(1).unwrap() }
            .into();
    config
}

impl FocaFleet {
    /// Creates a fleet whose members have joined.
    pub(crate) fn joined(seed: u64, loss: f64) -> Self {
        let members = (0..NODES).map(|node| {
            let rng = Xoshiro256PlusPlus::seed_from_u64(seed * 1_000 + node as u64);
            Foca::new(FocaId(node, 0), config(), rng, PostcardCodec)
        });
        let mut fleet = Self {
            members: members.collect(),
            paused: BTreeSet::new(),
            events: BTreeMap::new(),
            last_sequence: 0,
            now: 0,
            rng: seed | 1,
            loss: 0.0,
            is_blocked: |_, _| false,
        };
        for node in 1..NODES {
            let mut runtime = AccumulatingRuntime::new();
            fleet.members[node].announce(FocaId(0, 0), &mut runtime).unwrap();
            fleet.execute_outputs(node, runtime);
        }
        fleet.run_for(20 * SECOND);
        assert!(fleet.missing().is_empty(), "all members have joined");
        fleet.loss = loss;
        fleet
    }

    pub(crate) fn pause(&mut self, node: usize) {
        self.paused.insert(node);
    }

    pub(crate) fn run_for(&mut self, duration: u64) {
        let end = self.now + duration;
        while let Some(next) = self.events.first_entry()
            && next.key().0 <= end
        {
            let ((at, _), (node, event)) = next.remove_entry();
            self.now = at;
            self.deliver(node, event);
        }
        self.now = end;
    }

    /// Running nodes that are missing in the member list of at least one other running node.
    pub(crate) fn missing(&self) -> BTreeSet<usize> {
        let running = || (0..NODES).filter(|node| !self.paused.contains(node));
        let mut missing = BTreeSet::new();
        for observer in running() {
            missing.extend(running().filter(|node| *node != observer && !self.lists(observer, *node)));
        }
        missing
    }

    /// Whether the member list of an observer has a node.
    pub(crate) fn lists(&self, observer: usize, node: usize) -> bool {
        self.members[observer].iter_members().any(|member| member.id().0 == node)
    }

    /// Number of other nodes that are missing in the member list of an observer.
    pub(crate) fn lost_by(&self, observer: usize) -> usize {
        NODES - 1 - self.members[observer].iter_members().count()
    }

    fn deliver(&mut self, node: usize, event: FocaEvent) {
        if self.paused.contains(&node) {
            return;
        }
        let mut runtime = AccumulatingRuntime::new();
        // Errors report outdated events, which a driver may ignore.
        let _ = match event {
            FocaEvent::Datagram(bytes) => self.members[node].handle_data(&bytes, &mut runtime).map(|_| ()),
            FocaEvent::Timer(timer) => self.members[node].handle_timer(timer, &mut runtime).map(|_| ()),
        };
        self.execute_outputs(node, runtime);
    }

    fn execute_outputs(&mut self, node: usize, mut runtime: AccumulatingRuntime<FocaId>) {
        while let Some((to, bytes)) = runtime.to_send() {
            if self.draw() >= self.loss && !(self.is_blocked)(node, to.0) {
                self.schedule(self.now + MS, to.0, FocaEvent::Datagram(bytes.to_vec()));
            }
        }
        while let Some((after, timer)) = runtime.to_schedule() {
            self.schedule(self.now + after.as_nanos() as u64, node, FocaEvent::Timer(timer));
        }
        while runtime.to_notify().is_some() {}
    }

    fn schedule(&mut self, at: u64, node: usize, event: FocaEvent) {
        self.last_sequence += 1;
        self.events.insert((at, self.last_sequence), (node, event));
    }

    /// Draws a random number in `0.0..1.0`.
    fn draw(&mut self) -> f64 {
        self.rng = self.rng.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.rng >> 11) as f64 / (1u64 << 53) as f64
    }
}
