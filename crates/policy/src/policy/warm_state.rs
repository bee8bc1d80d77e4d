//! What a module has learned, as it is handed to the next process of the same node, and how far that one
//! believes it. Knowledge makes a newcomer careful at once; what praises a server is believed less the older
//! it is. Rights to cold servers are not handed on: they are earned from zero.

use serde::{Deserialize, Serialize};

use super::Balancer;
use crate::state::ClassState;
use crate::time::{nanos, seconds};
use crate::{EndpointId, Nanos};

/// The form of it; another one is not read.
const VERSION: u32 = 1;
/// Praise is believed to a third after so long, in seconds: limits follow load within some seconds.
const BELIEVED_S: f64 = 10.0;
/// Most entries that are read: far more servers than a node ever uses.
pub const MOST_KNOWN: usize = 20_000;
/// Places that no server has for one node.
const MOST_PLACES: f64 = 10_000.0;

/// What is known of a class, in seconds and counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
struct ClassKnown {
    mean: f64,
    calm: f64,
    calm_at: Nanos,
    steady: f64,
    since: Nanos,
    samples: u32,
    hint: f64,
    hints: u32,
}

/// What is known of a server's present process.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
struct ServerKnown {
    id: u32,
    started_at: Nanos,
    stretch: f64,
    load: f64,
    limit: f64,
    failures: u32,
    broken: f64,
    aside_times: u32,
    aside_until: Nanos,
    trial: bool,
}

/// What a module has learned. Times are those of [`Balancer::handle`]: who hands it on must see to it that
/// both processes count from the same point.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WarmState {
    v: u32,
    at: Nanos,
    classes: Vec<ClassKnown>,
    calms: Vec<ClassKnown>,
    demand: f64,
    servers: Vec<ServerKnown>,
}

impl ClassKnown {
    fn of(state: &ClassState) -> Self {
        let &ClassState { mean, calm, calm_at, steady, since, samples, hint, hints } = state;
        Self { mean, calm, calm_at, steady, since, samples, hint, hints }
    }

    fn is_sound(&self) -> bool {
        [self.mean, self.calm, self.steady, self.hint].iter().all(|x| x.is_finite() && (0.0..1e6).contains(x))
    }

    fn state(&self, now: Nanos) -> ClassState {
        ClassState {
            mean: self.mean,
            calm: self.calm,
            calm_at: self.calm_at.min(now),
            steady: self.steady,
            since: self.since.min(now),
            samples: self.samples,
            hint: self.hint,
            hints: self.hints,
        }
    }
}

impl ServerKnown {
    fn is_sound(&self) -> bool {
        [self.stretch, self.load, self.limit, self.broken].iter().all(|x| x.is_finite() && *x >= 0.0)
            && self.limit <= MOST_PLACES
    }
}

impl WarmState {
    /// How old it is.
    #[must_use]
    pub fn age(&self, now: Nanos) -> Nanos {
        now.saturating_sub(self.at)
    }

    fn is_sound(&self) -> bool {
        self.v == VERSION
            && self.servers.len() <= MOST_KNOWN
            && self.classes.iter().chain(&self.calms).all(ClassKnown::is_sound)
            && self.demand.is_finite()
            && (0.0..=MOST_PLACES).contains(&self.demand)
    }
}

impl Balancer {
    /// What has been learned by `now`.
    #[must_use]
    pub fn warm_state(&self, now: Nanos) -> WarmState {
        let servers = self.servers.iter().filter(|server| server.ready && server.limit > 0.0);
        let known = |server: &crate::state::Server| ServerKnown {
            id: server.id.0,
            started_at: server.started_at,
            stretch: server.stretch,
            load: server.load,
            limit: server.limit,
            failures: server.failures,
            broken: server.broken,
            aside_times: server.aside_times,
            aside_until: server.aside_until,
            trial: server.trial,
        };
        WarmState {
            v: VERSION,
            at: now,
            classes: self.classes.iter().map(ClassKnown::of).collect(),
            calms: self.calms.iter().map(ClassKnown::of).collect(),
            demand: self.flow.demand,
            servers: servers.take(MOST_KNOWN).map(known).collect(),
        }
    }

    /// Takes over what another process has learned, of classes and servers that this one has no answer from
    /// yet. What does not fit these settings, or can't be true, is passed over as a whole. May be said again
    /// as servers become known.
    pub fn restore_warm_state(&mut self, known: &WarmState, now: Nanos) {
        let fits = known.classes.len() == self.classes.len() && known.calms.len() == self.calms.len();
        if !fits || !known.is_sound() {
            return;
        }
        let believed = (-seconds(known.age(now)) / BELIEVED_S).exp();
        let states =
            self.classes.iter_mut().zip(&known.classes).chain(self.calms.iter_mut().zip(&known.calms));
        for (state, known) in states.filter(|(state, known)| state.samples == 0 && known.samples > 0) {
            *state = known.state(now);
        }
        if self.flow.arrivals.low(now) == 0.0 && self.flow.demand == 0.0 {
            (self.flow.demand, self.flow.demand_at) = (known.demand * believed, now);
        }
        for known in known.servers.iter().filter(|known| known.is_sound()) {
            let Some(&slot) = self.slots.get(&EndpointId(known.id)) else { continue };
            let server = &mut self.servers[slot];
            // Another process of it, or one that this node has heard of by itself.
            if known.started_at != server.started_at || server.heard > 0 || server.failures > 0 {
                continue;
            }
            server.limit = server.limit.max(known.limit * believed);
            server.load = known.load;
            server.stretch = 1.0 + (known.stretch - 1.0) * if known.stretch > 1.0 { 1.0 } else { believed };
            server.broken = known.broken;
            server.failures = known.failures;
            server.aside_times = known.aside_times;
            server.aside_until = known.aside_until.min(now.saturating_add(nanos(super::ASIDE_S.1)));
            server.trial = known.trial;
        }
        // The sums over servers are made anew at the next event.
        self.pools.refreshed = 0;
    }
}
