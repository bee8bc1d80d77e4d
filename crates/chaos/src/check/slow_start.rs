//! Checks that endpoints in slow start are not overloaded.

use std::collections::BTreeMap;

use super::{Checker, Violation};
use crate::history::{EventKind, History, ProcessState};
use crate::scenario::Scenario;
use crate::{MS, Nanos, SECOND};

/// An endpoint in slow start is overloaded by this multiple of its capacity over [`OVERLOAD_SPAN`]; nodes are configured with
/// the same limit.
pub const OVERLOAD_MULTIPLE: f64 = 4.0;
/// Time span to which [`OVERLOAD_MULTIPLE`] applies.
pub const OVERLOAD_SPAN: Nanos = 1_500 * MS;

/// All nodes together send an endpoint in slow start at most [`OVERLOAD_MULTIPLE`] times its capacity at that age.
pub struct SlowStartRespected;

/// An incarnation of an endpoint.
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
        for (index, &first) in arrivals.iter().enumerate() {
            let end = first + OVERLOAD_SPAN;
            let count = arrivals[index..].iter().take_while(|at| **at < end).count();
            let age = first - started.min(first);
            let warm_up_share = age as f64 / warm_up as f64;
            let share = slow_start.initial_share + (1.0 - slow_start.initial_share) * warm_up_share;
            let limit = OVERLOAD_MULTIPLE * requests_per_s * share * OVERLOAD_SPAN as f64 / SECOND as f64;
            if count as f64 > limit {
                let text = format!(
                    "server {} (incarnation {}) got {count} requests within {} ms, {:.1} s after its start; more than {limit:.0} overload it",
                    start.endpoint,
                    start.incarnation,
                    OVERLOAD_SPAN / MS,
                    age as f64 / SECOND as f64
                );
                return Some(self.violation(first, text));
            }
        }
        None
    }
}

/// Returns when each endpoint was restarted; first starts are left out.
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

/// Returns when requests arrived at an incarnation of an endpoint.
fn arrivals(history: &History, start: EndpointStart) -> impl Iterator<Item = Nanos> {
    history.events.iter().filter_map(move |event| match event.kind {
        EventKind::RequestExecuted { endpoint, incarnation, .. } => {
            (start == EndpointStart { endpoint, incarnation }).then_some(event.at)
        }
        _ => None,
    })
}
