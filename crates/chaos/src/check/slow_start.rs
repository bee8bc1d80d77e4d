//! Endpoints that have just started are not overloaded.

use std::collections::BTreeMap;

use super::{Checker, Violation};
use crate::history::{EventKind, History, ProcessState};
use crate::scenario::Scenario;
use crate::{MS, Nanos, SECOND};

/// A cold endpoint is overloaded by this multiple of its capacity over [`OVERLOAD_SPAN`]; nodes are configured with it.
pub const OVERLOAD_MULTIPLE: f64 = 4.0;
/// See [`OVERLOAD_MULTIPLE`].
pub const OVERLOAD_SPAN: Nanos = 1_500 * MS;

/// All nodes together send a cold endpoint less than the multiple of its capacity at its age.
pub struct SlowStartRespected;

/// One start of an endpoint.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EndpointStart {
    endpoint: usize,
    incarnation: u32,
}

impl Checker for SlowStartRespected {
    fn name(&self) -> &'static str {
        "cold servers"
    }

    fn check(&self, scenario: &Scenario, history: &History) -> Vec<Violation> {
        let starts = restarts(history).into_iter();
        starts.filter_map(|(start, at)| self.first_overload(scenario, history, start, at)).collect()
    }
}

impl SlowStartRespected {
    /// Returns the first overload of an endpoint that was started at `started`.
    fn first_overload(
        &self,
        scenario: &Scenario,
        history: &History,
        start: EndpointStart,
        started: Nanos,
    ) -> Option<Violation> {
        let slow_start = scenario.fleet.slow_start;
        let warm_up = (slow_start.duration_s * SECOND as f64) as Nanos;
        let requests_per_s = scenario.fleet.concurrency as f64 / (scenario.fleet.service_time_ms / 1e3);
        let arrivals: Vec<_> = arrivals(history, start).take_while(|at| *at < started + warm_up).collect();
        for (place, &first) in arrivals.iter().enumerate() {
            let end = first + OVERLOAD_SPAN;
            let count = arrivals[place..].iter().take_while(|at| **at < end).count();
            let age = first - started.min(first);
            let warmth = age as f64 / warm_up as f64;
            let share = slow_start.initial_share + (1.0 - slow_start.initial_share) * warmth;
            let limit = OVERLOAD_MULTIPLE * requests_per_s * share * OVERLOAD_SPAN as f64 / SECOND as f64;
            if count as f64 > limit {
                let text = format!(
                    "server {} (start {}), {:.1} s old, was sent {count} within {} ms; {limit:.0} tip it over",
                    start.endpoint,
                    start.incarnation,
                    age as f64 / SECOND as f64,
                    OVERLOAD_SPAN / MS
                );
                return Some(self.violation(first, text));
            }
        }
        None
    }
}

/// Returns all starts of endpoints but the first ones, with their times.
fn restarts(history: &History) -> BTreeMap<EndpointStart, Nanos> {
    let restart = |event: &crate::history::Event| match event.kind {
        EventKind::EndpointState { endpoint, incarnation, state: ProcessState::Running }
            if incarnation > 0 =>
        {
            Some((EndpointStart { endpoint, incarnation }, event.at))
        }
        _ => None,
    };
    history.events.iter().filter_map(restart).collect()
}

/// Returns when requests arrived at an endpoint.
fn arrivals(history: &History, start: EndpointStart) -> impl Iterator<Item = Nanos> {
    history.events.iter().filter_map(move |event| match event.kind {
        EventKind::RequestExecuted { endpoint, incarnation, .. } => {
            (start == EndpointStart { endpoint, incarnation }).then_some(event.at)
        }
        _ => None,
    })
}
