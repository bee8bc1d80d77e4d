//! A library beside the machine of this package, over the same faults: why it was not taken (`docs/design/members.md`). The same
//! seed plays the same fleet.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::num::{NonZeroU32, NonZeroUsize};
use std::time::Duration;

use foca::{AccumulatingRuntime, Config, Foca, Identity, NoCustomBroadcast, PostcardCodec, Timer};
use pumicehead_membership::simulation::{Simulation, SimulationConfig};
use pumicehead_membership::{MS, MemberState, SECOND};
use rand::SeedableRng;
use rand::rngs::Xoshiro256PlusPlus;
use serde::{Deserialize, Serialize};

const NODES: usize = 20;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Id(usize, u32);

impl Identity for Id {
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

enum What {
    Data(Vec<u8>),
    Timer(Timer<Id>),
}

type Library = Foca<Id, PostcardCodec, Xoshiro256PlusPlus, NoCustomBroadcast>;

/// As many processes with the library in each; a stopped one does nothing until it goes on.
struct Fleet {
    all: Vec<Library>,
    still: BTreeSet<usize>,
    waiting: Vec<Vec<What>>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: std::collections::BTreeMap<u64, (usize, What)>,
    count: u64,
    now: u64,
    rng: u64,
    loss: f64,
    cut: fn(usize, usize) -> bool,
}

impl Fleet {
    fn new(seed: u64, loss: f64) -> Self {
        let size = NonZeroU32::new(NODES as u32).unwrap();
        let all = (0..NODES).map(|node| {
            let rng = Xoshiro256PlusPlus::seed_from_u64(seed * 1_000 + node as u64);
            let mut config = Config::new_lan(size);
            // What it offers beyond its defaults that helps here.
            config.notify_down_members = true;
            config.remove_down_after = Some(Duration::from_secs(3_600));
            config.periodic_announce_to_down_members = foca::PeriodicParams {
                frequency: Duration::from_secs(2),
                num_members: NonZeroUsize::new(1).unwrap(),
            }
            .into();
            Foca::new(Id(node, 0), config, rng, PostcardCodec)
        });
        let mut fleet = Self {
            all: all.collect(),
            still: BTreeSet::new(),
            waiting: (0..NODES).map(|_| Vec::new()).collect(),
            queue: BinaryHeap::new(),
            events: std::collections::BTreeMap::new(),
            count: 0,
            now: 0,
            rng: seed | 1,
            loss,
            cut: |_, _| false,
        };
        for node in 1..NODES {
            let mut runtime = AccumulatingRuntime::new();
            fleet.all[node].announce(Id(0, 0), &mut runtime).unwrap();
            fleet.settle(node, runtime);
        }
        fleet
    }

    fn draw(&mut self) -> f64 {
        self.rng = self.rng.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.rng >> 11) as f64 / (1u64 << 53) as f64
    }

    fn push(&mut self, at: u64, to: usize, what: What) {
        self.count += 1;
        self.queue.push(Reverse((at, self.count)));
        self.events.insert(self.count, (to, what));
    }

    fn settle(&mut self, of: usize, mut runtime: AccumulatingRuntime<Id>) {
        while let Some((to, data)) = runtime.to_send() {
            if self.draw() >= self.loss && !(self.cut)(of, to.0) {
                self.push(self.now + MS, to.0, What::Data(data.to_vec()));
            }
        }
        while let Some((after, timer)) = runtime.to_schedule() {
            self.push(self.now + after.as_nanos() as u64, of, What::Timer(timer));
        }
        while runtime.to_notify().is_some() {}
    }

    fn play(&mut self, of: usize, what: What) {
        if self.still.contains(&of) {
            return self.waiting[of].push(what);
        }
        let mut runtime = AccumulatingRuntime::new();
        // What it does not want it says; a driver has nothing to do about that.
        let _ = match what {
            What::Data(data) => self.all[of].handle_data(&data, &mut runtime).map(|_| ()),
            What::Timer(timer) => self.all[of].handle_timer(timer, &mut runtime).map(|_| ()),
        };
        self.settle(of, runtime);
    }

    fn run(&mut self, span: u64) {
        let end = self.now + span;
        while let Some(Reverse((at, number))) = self.queue.peek().copied()
            && at <= end
        {
            self.queue.pop();
            self.now = at;
            if let Some((to, what)) = self.events.remove(&number) {
                self.play(to, what);
            }
        }
        self.now = end;
    }

    /// Nodes that do not stand still and that some other one which does not either no longer holds as a member.
    fn missing(&self) -> BTreeSet<usize> {
        let mut missing = BTreeSet::new();
        for by in (0..NODES).filter(|by| !self.still.contains(by)) {
            let held: BTreeSet<_> = self.all[by].iter_members().map(|member| member.id().0).collect();
            missing
                .extend((0..NODES).filter(|of| *of != by && !held.contains(of) && !self.still.contains(of)));
        }
        missing
    }
}

/// How many of the others a node no longer holds as members.
fn lost_by(fleet: &Fleet, by: usize) -> usize {
    NODES - 1 - fleet.all[by].iter_members().count()
}

fn own(seed: u64, loss: f64) -> Simulation {
    let mut sim = Simulation::new(SimulationConfig { loss, ..SimulationConfig::without_faults(NODES, seed) });
    sim.start_all_known();
    sim.run_for(20 * SECOND);
    sim
}

fn own_lost_by(sim: &Simulation, by: usize) -> usize {
    (0..NODES)
        .filter(|&of| of != by && sim.state_of(by, of).is_none_or(|state| state >= MemberState::Dead))
        .count()
}

fn library(seed: u64, loss: f64) -> Fleet {
    let mut fleet = Fleet::new(seed, 0.0);
    fleet.run(20 * SECOND);
    assert!(fleet.missing().is_empty(), "all have joined");
    fleet.loss = loss;
    fleet
}

/// What each does under one fault after another, the sum over five seeds: members that run and were lost, in looks at each 0.1 s.
#[test]
fn beside_the_library() {
    let mut table = Vec::new();
    for seed in 1..6 {
        // One that is cut off itself for 40 s: whom it gives up.
        let (mut fleet, mut sim) = (library(seed, 0.0), own(seed, 0.0));
        fleet.cut = |from, to| from == 9 || to == 9;
        sim.block_links(|from, to| from == 9 || to == 9);
        fleet.run(40 * SECOND);
        sim.run_for(40 * SECOND);
        let cut = (lost_by(&fleet, 9), own_lost_by(&sim, 9));
        fleet.cut = |_, _| false;
        sim.block_links(|_, _| false);
        fleet.run(20 * SECOND);
        sim.run_for(20 * SECOND);
        let back = (fleet.missing().len(), (0..NODES).map(|by| own_lost_by(&sim, by)).sum::<usize>());
        // Loss of 30% for a minute.
        let (mut fleet, mut sim) = (library(seed, 0.3), own(seed, 0.3));
        let mut loss = (0, 0);
        for _ in 0..600 {
            fleet.run(100 * MS);
            sim.run_for(100 * MS);
            loss.0 += fleet.missing().len();
            loss.1 += (0..NODES).map(|by| own_lost_by(&sim, by)).sum::<usize>();
        }
        // Two halves for a minute: until all are one again.
        let (mut fleet, mut sim) = (library(seed, 0.0), own(seed, 0.0));
        fleet.cut = |from, to| from % 2 != to % 2;
        sim.block_links(|from, to| from % 2 != to % 2);
        fleet.run(60 * SECOND);
        sim.run_for(60 * SECOND);
        fleet.cut = |_, _| false;
        sim.block_links(|_, _| false);
        let mut heal = (None, None);
        for tenth in 1..600 {
            fleet.run(100 * MS);
            sim.run_for(100 * MS);
            if fleet.missing().is_empty() {
                heal.0 = heal.0.or(Some(tenth));
            }
            if (0..NODES).all(|by| own_lost_by(&sim, by) == 0) {
                heal.1 = heal.1.or(Some(tenth));
            }
        }
        table.push((cut, back, loss, heal));
    }
    // It stays a choice for as long as this holds: the library takes whoever it does not reach for dead, the cut-off node all others.
    assert!(
        table.iter().all(|(cut, _, loss, _)| cut.1 == 0 && cut.0 > NODES / 2 && loss.1 == 0),
        "{table:?}"
    );
    assert!(table.iter().all(|(.., heal)| heal.1.is_some_and(|tenths| tenths <= 50)), "{table:?}");
    assert!(table.iter().map(|(_, _, loss, _)| loss.0).sum::<usize>() > 0, "{table:?}");
    table.iter().for_each(|row| {
        println!(
            "(library, own): cut off {:?} back {:?} loss {:?} healed, tenths {:?}",
            row.0, row.1, row.2, row.3
        )
    });
}

/// One that is stopped for good is told from one that is dead: the library has no such state.
#[test]
fn one_that_stands_still_is_dead_for_the_library() {
    let mut fleet = Fleet::new(3, 0.0);
    fleet.run(20 * SECOND);
    fleet.still.insert(4);
    fleet.run(20 * SECOND);
    let gone = |by: usize| !fleet.all[by].iter_members().any(|member| member.id().0 == 4);
    assert!((0..NODES).filter(|by| *by != 4).all(gone));
    let mut sim = Simulation::new(SimulationConfig::without_faults(NODES, 3));
    sim.start_all_known();
    sim.pause(4);
    sim.run_for(20 * SECOND);
    assert!((0..NODES).filter(|by| *by != 4).all(|by| sim.state_of(by, 4) == Some(MemberState::Stalled)));
}
