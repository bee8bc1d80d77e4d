//! Simulation of forwarders and planners in virtual time, with clocks that drift and a network that loses,
//! duplicates, delays and reorders messages.

use std::collections::BTreeMap;

use pumicehead_capacity_leases::lease_holder::{LeaseHolder, LeasePlan, LoanReport};
use pumicehead_capacity_leases::lease_table::LeaseTable;
use pumicehead_capacity_leases::lease_terms::LeaseTerms;
use pumicehead_capacity_leases::rate_promise::Rate;
use pumicehead_capacity_leases::{ForwarderId, PlannerId};
use pumicehead_policy::{EndpointId, Nanos, SECOND};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

pub const SEEDS: u64 = 300;
pub const MS: Nanos = SECOND / 1_000;
pub const TERMS: LeaseTerms = LeaseTerms { lease: 2 * SECOND, loan: 6 * SECOND };
pub const FORWARDERS: usize = 6;
pub const PLANNERS: usize = 3;
/// Initial share of each forwarder.
pub const INITIAL_SHARE: Rate = Rate::from_requests_per_second(4);
/// Initial sum of the shares of all forwarders.
pub const TOTAL_SHARE: Rate = Rate::from_requests_per_second(24);
pub const ENDPOINTS: [EndpointId; 2] = [EndpointId(7), EndpointId(8)];

/// The clock of a machine, with an arbitrary offset, which runs up to 1% too fast or too slow.
#[derive(Clone, Copy)]
pub struct Clock {
    pub offset: Nanos,
    pub per_mille: i64,
}

impl Clock {
    pub fn random(rng: &mut Pcg64Mcg) -> Self {
        let offset = rng.next_u64() % (3_600 * SECOND);
        Self { offset, per_mille: (rng.next_u64() % 21) as i64 - 10 }
    }

    pub fn at(self, time: Nanos) -> Nanos {
        self.offset + (time as i128 * i128::from(1_000 + self.per_mille) / 1_000) as Nanos
    }
}

enum Message {
    Report { planner: usize, from: ForwarderId, report: LoanReport },
    Plan { to: ForwarderId, planner: usize, plan: LeasePlan },
}

/// Probabilities of faults in thousandths, per message or per step.
#[derive(Clone, Copy)]
pub struct Faults {
    /// A message is lost.
    pub loss: u64,
    /// A message is delivered twice.
    pub duplication: u64,
    /// A message is delayed by up to two minutes.
    pub late_delivery: u64,
    /// A forwarder is killed and restarted, and a planner is killed and possibly restarted.
    pub kill: u64,
    /// The link between a forwarder and a planner is cut or restored.
    pub link_toggle: u64,
    /// The share of a forwarder changes.
    pub share_change: u64,
    /// The additional delay between a forwarder and a planner in one direction changes, to up to a minute.
    pub lag_change: u64,
}

pub const NO_FAULTS: Faults = Faults {
    loss: 0,
    duplication: 0,
    late_delivery: 0,
    kill: 0,
    link_toggle: 0,
    share_change: 0,
    lag_change: 0,
};

/// A forwarder and the clock of its machine.
pub struct SimulatedForwarder {
    pub id: ForwarderId,
    pub clock: Clock,
    pub holder: LeaseHolder,
}

/// A planner and the clock of its machine.
pub struct SimulatedPlanner {
    pub clock: Clock,
    pub table: LeaseTable,
}

/// Forwarders, planners and the network between them.
pub struct Simulation {
    pub rng: Pcg64Mcg,
    pub now: Nanos,
    pub forwarders: Vec<SimulatedForwarder>,
    pub planners: Vec<Option<SimulatedPlanner>>,
    /// History of the shares of each forwarder, with the times of changes, the latest last.
    owned: Vec<Vec<(Nanos, Rate)>>,
    /// Whether the link between a forwarder and a planner is cut.
    cut: Vec<Vec<bool>>,
    /// Additional delays between a forwarder and a planner, first of reports, then of plans.
    lag: Vec<Vec<[Nanos; 2]>>,
    messages: BTreeMap<(Nanos, u64), Message>,
    sent: u64,
}

impl Simulation {
    pub fn new(seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let count = FORWARDERS;
        let forwarders = (0..count).map(|_| start_forwarder(&mut rng, INITIAL_SHARE, 0)).collect();
        let planners = (0..PLANNERS).map(|_| Some(start_planner(&mut rng, 0))).collect();
        let cut = vec![vec![false; PLANNERS]; count];
        let lag = vec![vec![[0; 2]; PLANNERS]; count];
        let owned = vec![vec![(0, INITIAL_SHARE)]; count];
        Self { rng, now: 0, forwarders, planners, owned, cut, lag, messages: BTreeMap::new(), sent: 0 }
    }

    fn chance(&mut self, per_mille: u64) -> bool {
        self.rng.next_u64() % 1_000 < per_mille
    }

    fn random_below(&mut self, limit: u64) -> u64 {
        self.rng.next_u64() % limit
    }

    fn send(&mut self, faults: Faults, lag: Nanos, make: impl Fn() -> Message) {
        if self.chance(faults.loss) {
            return;
        }
        let copies = if self.chance(faults.duplication) { 2 } else { 1 };
        for _ in 0..copies {
            let late = if self.chance(faults.late_delivery) { self.random_below(120 * SECOND) } else { 0 };
            let at = self.now + MS + self.random_below(30 * MS) + late + lag;
            self.sent += 1;
            self.messages.insert((at, self.sent), make());
        }
    }

    /// Advances the time by at most 100 ms, delivers messages, sends reports and injects faults.
    fn step(&mut self, faults: Faults) {
        self.now += MS + self.random_below(99 * MS);
        while let Some(entry) = self.messages.first_entry().filter(|entry| entry.key().0 <= self.now) {
            let message = entry.remove();
            self.deliver(message, faults);
        }
        for forwarder in 0..self.forwarders.len() {
            for planner in 0..PLANNERS {
                if self.cut[forwarder][planner] || !self.chance(150) {
                    continue;
                }
                let sender = &mut self.forwarders[forwarder];
                let from = sender.id;
                let report = sender.holder.next_report(planner, sender.clock.at(self.now));
                self.send(faults, self.lag[forwarder][planner][0], || Message::Report {
                    planner,
                    from,
                    report: report.clone(),
                });
            }
        }
        self.inject_faults(faults);
    }

    fn deliver(&mut self, message: Message, faults: Faults) {
        match message {
            Message::Report { planner, from, report } => {
                let desired = ENDPOINTS.map(|endpoint| (endpoint, self.random_desired_rate()));
                let Some(SimulatedPlanner { clock, table }) = &mut self.planners[planner] else { return };
                let now = clock.at(self.now);
                table.expire(now);
                table.accept_report(from, &report, now);
                let plan = table.next_plan(from, &desired, now).unwrap();
                let forwarder = self.forwarders.iter().position(|known| known.id == from).unwrap_or(0);
                let lag = self.lag[forwarder][planner][1];
                self.send(faults, lag, || Message::Plan { to: from, planner, plan: plan.clone() });
            }
            Message::Plan { to, planner, plan } => {
                let known = self.forwarders.iter_mut().enumerate().find(|(_, known)| known.id == to);
                let Some((index, forwarder)) = known else { return };
                if !self.cut[index][planner] {
                    let now = forwarder.clock.at(self.now);
                    let _ = forwarder.holder.accept_plan(planner, &plan, now);
                }
            }
        }
    }

    /// Draws any desired rate: planners may grant everything, nothing, or try to grant more than is available.
    fn random_desired_rate(&mut self) -> Rate {
        match self.random_below(4) {
            0 => Rate::ZERO,
            1 => TOTAL_SHARE,
            _ => Rate::from_micro_requests(self.random_below(TOTAL_SHARE.micro_requests())),
        }
    }

    fn inject_faults(&mut self, faults: Faults) {
        if self.chance(faults.kill) {
            let forwarder = self.random_below(self.forwarders.len() as u64) as usize;
            let own = self.owned[forwarder].last().unwrap().1;
            self.forwarders[forwarder] = start_forwarder(&mut self.rng, own, self.now);
        }
        if self.chance(faults.kill) {
            let planner = self.random_below(PLANNERS as u64) as usize;
            let restarts = self.chance(600);
            self.planners[planner] = restarts.then(|| start_planner(&mut self.rng, self.now));
        }
        if self.chance(faults.link_toggle) {
            let (forwarder, planner) =
                (self.random_below(self.cut.len() as u64), self.random_below(PLANNERS as u64));
            let cut = &mut self.cut[forwarder as usize][planner as usize];
            *cut = !*cut;
        }
        if self.chance(faults.share_change) {
            let forwarder = self.random_below(self.forwarders.len() as u64) as usize;
            let own = Rate::from_micro_requests(self.random_below(2 * INITIAL_SHARE.micro_requests()));
            self.owned[forwarder].push((self.now, own));
            self.forwarders[forwarder].holder.set_own_shares(ENDPOINTS.map(|endpoint| (endpoint, own)));
        }
        if self.chance(faults.lag_change) {
            let (forwarder, planner) =
                (self.random_below(self.cut.len() as u64), self.random_below(PLANNERS as u64));
            let direction = self.random_below(2) as usize;
            let lag = if self.chance(500) { self.random_below(60 * SECOND) } else { 0 };
            self.lag[forwarder as usize][planner as usize][direction] = lag;
        }
    }

    /// The sum of the rates of all forwarders.
    pub fn total_rate(&self, endpoint: EndpointId) -> Rate {
        let rate = |known: &SimulatedForwarder| known.holder.rate(endpoint, known.clock.at(self.now));
        self.forwarders.iter().map(rate).sum()
    }

    /// The sum of the largest shares that each forwarder owned within the duration of a loan, plus clock drift.
    fn max_owned(&self) -> Rate {
        let since = self.now.saturating_sub(TERMS.loan * 105 / 100);
        let max_share = |owned: &Vec<(Nanos, Rate)>| {
            // The share at the start of that period, and all later ones.
            let first = owned.partition_point(|&(at, _)| at <= since).saturating_sub(1);
            owned[first..].iter().map(|&(_, own)| own).max().unwrap()
        };
        self.owned.iter().map(max_share).sum()
    }

    /// Checks that the total rate towards each endpoint does not exceed the owned shares.
    fn check(&self, seed: u64) {
        for endpoint in ENDPOINTS {
            let (total, max) = (self.total_rate(endpoint), self.max_owned());
            let (total_s, max_s) = (total.requests_per_second(), max.requests_per_second());
            assert!(
                total <= max,
                "seed {seed}, at {} ms: total rate {total_s}/s, shares {max_s}/s",
                self.now / MS
            );
        }
    }

    /// Runs for a duration, and checks the rates after every step.
    pub fn run(&mut self, seed: u64, duration: Nanos, faults: Faults) {
        let until = self.now + duration;
        while self.now < until {
            self.step(faults);
            self.check(seed);
        }
    }
}

/// Starts a forwarder at `now`.
pub fn start_forwarder(rng: &mut Pcg64Mcg, own: Rate, now: Nanos) -> SimulatedForwarder {
    let clock = Clock::random(rng);
    let id = ForwarderId(rng.next_u64());
    SimulatedForwarder { id, clock, holder: new_holder(own, PLANNERS, clock.at(now)) }
}

/// Creates the state of a forwarder that starts at `now` and owns the same share of all endpoints.
pub fn new_holder(own: Rate, planners: usize, now: Nanos) -> LeaseHolder {
    let mut holder = LeaseHolder::new(TERMS, planners, now);
    holder.set_own_shares(ENDPOINTS.map(|endpoint| (endpoint, own)));
    holder
}

/// Starts a planner at `now`.
pub fn start_planner(rng: &mut Pcg64Mcg, now: Nanos) -> SimulatedPlanner {
    let (id, clock) = (PlannerId(rng.next_u64()), Clock::random(rng));
    SimulatedPlanner { clock, table: LeaseTable::new(id, TERMS, clock.at(now)) }
}

/// All seeds, or only the one in the environment variable `SEED`.
pub fn seeds() -> Vec<u64> {
    std::env::var("SEED")
        .ok()
        .and_then(|seed| seed.parse().ok())
        .map_or((0..SEEDS).collect(), |seed| vec![seed])
}
