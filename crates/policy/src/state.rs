//! The records that the module keeps: plain types, no decision. What they mean and who changes them is said
//! in `src/policy.rs`.

use std::collections::{BTreeSet, VecDeque};

use crate::decaying_rate;
use crate::{CellId, ClassId, EndpointId, Nanos, RequestId, ZoneId};

/// Memory of traffic rates, in seconds.
pub(crate) const RATE_S: f64 = 3.0;
/// A rate of traffic over the module's memory.
pub(crate) type Rate = decaying_rate::DecayingRate<{ (RATE_S * 1000.0) as u32 }>;

/// What is known of an attempt's effect.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Ran {
    Outstanding,
    Never,
    Maybe,
}

#[derive(Clone)]
pub(crate) struct Attempt {
    pub server: EndpointId,
    pub zone: ZoneId,
    pub cell: CellId,
    pub sent: Nanos,
    pub ran: Ran,
}

pub(crate) struct Request {
    pub class: ClassId,
    pub worth: f64,
    pub tier: usize,
    /// Work against the class's mean, as far as a hint tells.
    pub work: f64,
    pub aim_at: Nanos,
    pub not_after: Nanos,
    pub attempts: Vec<Attempt>,
    pub out: usize,
    /// Its place in the queues while it is held: worth in the top tier, then arrival.
    pub held: Option<(u64, u64)>,
    pub done: bool,
    /// Its key, where its class keeps order.
    pub key: Option<u64>,
}

#[derive(Default)]
pub(crate) struct Server {
    pub id: EndpointId,
    pub zone: ZoneId,
    pub cell: CellId,
    pub weight: f64,
    pub ready: bool,
    pub started_at: Nanos,
    /// Own attempts, oldest first: request, attempt, sent, expected latency in seconds.
    pub out: VecDeque<(RequestId, usize, Nanos, f64)>,
    /// Smoothed peak latency over what was expected.
    pub stretch: f64,
    pub seen: Nanos,
    /// Smoothed latency over its mark.
    pub load: f64,
    pub limit: f64,
    pub failures: u32,
    /// Share of its attempts that failed.
    pub broken: f64,
    pub aside_times: u32,
    pub aside_until: Nanos,
    /// Was set aside and has not answered since.
    pub trial: bool,
    /// When the latest attempt was sent that it has answered.
    pub heard: Nanos,
    /// Its last outcome was that it took nothing.
    pub turned_away: bool,
    pub rate: Rate,
    pub cold_budget: f64,
    pub cold_at: Nanos,
    pub rank: u64,
}

impl Server {
    pub fn new(id: EndpointId, rank: u64, now: Nanos) -> Self {
        Self { id, ready: true, stretch: 1.0, seen: now, load: 0.5, cold_at: now, rank, ..Self::default() }
    }
}

#[derive(Clone, Copy, Default)]
pub(crate) struct ClassState {
    /// Smoothed mean latency in seconds, of a request of mean work.
    pub mean: f64,
    /// What the mean is when servers are calm, in seconds.
    pub calm: f64,
    pub calm_at: Nanos,
    /// A mean with a longer memory, and when it began.
    pub steady: f64,
    pub since: Nanos,
    pub samples: u32,
    pub hint: f64,
    pub hints: u32,
}

/// Held requests, highest tier first, and how fast tiers leave.
#[derive(Default)]
pub(crate) struct Queues {
    pub order: BTreeSet<(usize, u64, u64, RequestId)>,
    pub held: [usize; 4],
    pub seq: u64,
    pub released: [Rate; 4],
}

/// Servers in use, in two pools: own zone and others.
#[derive(Default)]
pub(crate) struct Pools {
    /// Slots in the order of this node's preference: own zone, others.
    pub ranked: [Vec<usize>; 2],
    /// Slots in use, a prefix of `ranked` less those out of order.
    pub active: [Vec<usize>; 2],
    /// By pool: limits of the servers in use and own attempts on them.
    pub limits: [f64; 2],
    pub out: [usize; 2],
    pub width: usize,
    /// By pool: what is left to this node of a place, where more nodes than usual share servers since many
    /// are cold.
    pub shared: [f64; 2],
    pub refreshed: Nanos,
    pub limit_sum: f64,
    /// The mean limit of the servers in use.
    pub usual: f64,
    pub most_aside: bool,
    pub warm_rate: f64,
}

/// This node's own traffic.
#[derive(Default)]
pub(crate) struct Flow {
    pub demand: f64,
    pub demand_at: Nanos,
    pub load: f64,
    pub load_at: Nanos,
    pub moved_at: Nanos,
    pub arrivals: Rate,
    /// Work served, in requests of mean work.
    pub served: Rate,
    pub retry_budget: f64,
    pub out_total: usize,
    /// Since when this process runs without having stood still, and until when it works off what came
    /// meanwhile.
    pub resumed: Nanos,
    pub behind_until: Nanos,
}
