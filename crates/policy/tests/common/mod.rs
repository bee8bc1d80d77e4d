//! A balancer under test, with its timers and actions. Every action is checked against the platform's rules.

#![allow(dead_code)]

mod rule_checks;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use pumicehead_policy::Balancer;
use pumicehead_policy::decision_event::DecisionEvent;
use pumicehead_policy::tenant_shares::TenantShares;
use pumicehead_policy::*;

pub const MS: Nanos = 1_000_000;

pub fn class(idempotency: Idempotency, weight: f64) -> Class {
    Class {
        latency_objective: 500 * MS,
        objective_per_work: 0.0,
        deadline: 1000 * MS,
        priority_weight: weight,
        late_weight: 0.0,
        idempotency,
        ordered_by_key: false,
    }
}

pub fn settings(classes: Vec<Class>) -> Settings {
    Settings {
        node_index: 0,
        node_count: 1,
        zone: ZoneId(0),
        zone_count: 1,
        classes,
        tenants: TenantShares::default(),
        over_share_weight: 0.2,
        weight_by_work: false,
        discovery: Discovery::Push,
        tick: 5 * MS,
        max_attempts: 3,
        concurrent_attempts: true,
        cancellation: true,
        retry_after: true,
        max_retry_after: 2 * SECOND,
        connections_have_cost: false,
        cross_zone_cost: 0.0,
        weight_is_capacity: false,
        load_reports: false,
        load_report_cost: 0.0,
        poll_interval: 10 * SECOND,
        drain_grace: 2 * SECOND,
        warmup_initial_fraction: 0.2,
        warmup_duration: 10 * SECOND,
        overload_multiple: 2.5,
        overload_duration: 2 * SECOND,
        rejection_may_execute: false,
        key_cooldown: 0,
        drain_idle_close: None,
    }
}

pub fn endpoint(id: u32) -> EndpointInfo {
    EndpointInfo {
        id: EndpointId(id),
        zone: ZoneId(0),
        cell: CellId(0),
        state: EndpointState::Ready,
        weight: 1.0,
        started_at: 0,
    }
}

pub fn list(endpoints: impl IntoIterator<Item = EndpointInfo>) -> Arc<[EndpointInfo]> {
    endpoints.into_iter().collect()
}

/// State of an attempt, as kept for the checks.
#[derive(Clone)]
pub struct AttemptRecord {
    pub endpoint: EndpointId,
    pub sent_at: Nanos,
    pub outcome: Option<AttemptOutcome>,
    pub ended_at: Nanos,
}

/// State of a request, as kept for the checks.
#[derive(Clone)]
pub struct RequestRecord {
    pub class: usize,
    pub key: Option<u64>,
    pub deadline: Nanos,
    pub attempts: Vec<AttemptRecord>,
    pub final_answers: u32,
    /// When it got its final answer, or its client disconnected.
    pub done_since: Option<Nanos>,
}

/// Drives one balancer and checks the rules independently of it.
pub struct TestNode {
    pub balancer: Balancer,
    pub settings: Settings,
    pub now: Nanos,
    pub timers: BTreeMap<(Nanos, u64), TimerToken>,
    pub requests: BTreeMap<u32, RequestRecord>,
    pub endpoints: HashMap<EndpointId, EndpointInfo>,
    pub actions: Vec<Action>,
    pub decision_events: Vec<DecisionEvent>,
    /// Violations of rules. Each text starts with the name of the rule.
    pub violations: Vec<String>,
    /// When idle connections to an endpoint were last closed.
    idle_closed_at: HashMap<EndpointId, Nanos>,
    /// When an endpoint last had the start or end of an attempt, or was found to drain.
    last_used_at: HashMap<EndpointId, Nanos>,
    in_flight: BTreeSet<(RequestId, usize)>,
    next_request: u32,
    next_timer: u64,
}

impl TestNode {
    pub fn new(settings: Settings, seed: u64) -> Self {
        Self {
            balancer: Balancer::new(settings.clone(), seed),
            settings,
            now: SECOND,
            timers: BTreeMap::new(),
            requests: BTreeMap::new(),
            endpoints: HashMap::new(),
            actions: Vec::new(),
            decision_events: Vec::new(),
            violations: Vec::new(),
            idle_closed_at: HashMap::new(),
            last_used_at: HashMap::new(),
            in_flight: BTreeSet::new(),
            next_request: 0,
            next_timer: 0,
        }
    }

    pub fn with_endpoints(settings: Settings, count: u32) -> Self {
        let mut node = Self::new(settings, 7);
        node.update_endpoints(EndpointUpdate::Restored(list((1..=count).map(endpoint))));
        node
    }

    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in &actions {
            self.check_action(action);
        }
        self.actions.extend(actions.iter().cloned());
        self.decision_events.extend(self.balancer.decision_events());
        // A cancelled attempt ends at once.
        for action in &actions {
            if let Action::CancelAttempt { id, attempt } = *action {
                self.end_attempt(id, usize::from(attempt.0), AttemptOutcome::Cancelled);
            }
        }
        actions
    }

    pub fn update_endpoints(&mut self, update: EndpointUpdate) -> Vec<Action> {
        let now = self.now;
        for endpoint in self.endpoints.values_mut() {
            let info = match &update {
                EndpointUpdate::Snapshot(all)
                | EndpointUpdate::Restored(all)
                | EndpointUpdate::Delta(all) => all.iter().find(|info| info.id == endpoint.id),
                EndpointUpdate::WatchFailed => None,
            };
            if info.is_some_and(|info| info.state == EndpointState::Draining)
                && endpoint.state == EndpointState::Ready
            {
                self.last_used_at.insert(endpoint.id, now);
            }
        }
        match &update {
            EndpointUpdate::Snapshot(all) | EndpointUpdate::Restored(all) => {
                self.endpoints = all.iter().map(|info| (info.id, info.clone())).collect();
            }
            EndpointUpdate::Delta(changed) => {
                self.endpoints.extend(changed.iter().map(|info| (info.id, info.clone())));
            }
            EndpointUpdate::WatchFailed => {}
        }
        self.event(Event::EndpointsUpdated(update))
    }

    pub fn request(&mut self, class: usize, timeout: Nanos) -> RequestId {
        self.request_of_tenant(class, timeout, None)
    }

    pub fn request_with_key(&mut self, class: usize, timeout: Nanos, key: u64) -> RequestId {
        self.request_with(class, timeout, None, Some(key))
    }

    pub fn request_of_tenant(&mut self, class: usize, timeout: Nanos, tenant: Option<TenantId>) -> RequestId {
        self.request_with(class, timeout, tenant, None)
    }

    fn request_with(
        &mut self,
        class: usize,
        timeout: Nanos,
        tenant: Option<TenantId>,
        key: Option<u64>,
    ) -> RequestId {
        self.next_request += 1;
        let id = RequestId(self.next_request);
        let deadline = self.now + timeout;
        self.requests.insert(
            id.0,
            RequestRecord { class, key, deadline, attempts: Vec::new(), final_answers: 0, done_since: None },
        );
        let class = ClassId(u16::try_from(class).unwrap());
        self.event(Event::Request(NewRequest { id, class, tenant, cost_hint: None, key, deadline }));
        id
    }

    /// Ends an attempt. A success is the final answer of its request.
    pub fn end_attempt(&mut self, id: RequestId, attempt: usize, outcome: AttemptOutcome) -> Vec<Action> {
        let request = self.requests.get_mut(&id.0).unwrap();
        let record = &mut request.attempts[attempt];
        if record.outcome.is_some() {
            return Vec::new();
        }
        record.outcome = Some(outcome);
        record.ended_at = self.now;
        self.last_used_at.insert(record.endpoint, self.now);
        self.in_flight.remove(&(id, attempt));
        let (endpoint, duration) = (record.endpoint, self.now - record.sent_at);
        if outcome == AttemptOutcome::Success && request.final_answers == 0 {
            request.final_answers = 1;
            request.done_since = Some(self.now);
        }
        let final_answer = request.final_answers > 0;
        let attempt = AttemptNo(u8::try_from(attempt).unwrap());
        self.event(Event::AttemptEnded(AttemptEnded {
            id,
            attempt,
            endpoint,
            outcome,
            duration,
            final_answer,
        }))
    }

    /// Advances the clock to `to`. Fires timers that are due, and times attempts out at their request's
    /// deadline.
    pub fn advance(&mut self, to: Nanos) {
        loop {
            let timer = self.timers.keys().next().copied().filter(|&(at, _)| at <= to);
            let expired = self
                .attempts_in_flight()
                .into_iter()
                .map(|(id, n)| (self.requests[&id.0].deadline, id, n))
                .min();
            let expired = expired.filter(|&(at, ..)| at <= to);
            match (timer, expired) {
                (Some((at, n)), None) => self.fire(at, n),
                (Some((at, n)), Some((end, ..))) if at <= end => self.fire(at, n),
                (_, Some((end, id, n))) => {
                    self.now = self.now.max(end);
                    self.end_attempt(id, n, AttemptOutcome::TimedOut);
                }
                (None, None) => break,
            }
        }
        self.now = self.now.max(to);
        self.check_idle_connections();
    }

    fn fire(&mut self, at: Nanos, number: u64) {
        self.now = self.now.max(at);
        let token = self.timers.remove(&(at, number)).unwrap();
        self.event(Event::TimerFired(token));
    }

    /// Returns the attempts in flight, ordered by request.
    pub fn attempts_in_flight(&self) -> Vec<(RequestId, usize)> {
        self.in_flight.iter().copied().collect()
    }

    pub fn attempts_of(&self, id: RequestId) -> &[AttemptRecord] {
        &self.requests[&id.0].attempts
    }

    pub fn queued_count(&self) -> usize {
        let is_queued = |request: &&RequestRecord| {
            request.final_answers == 0 && request.attempts.iter().all(|attempt| attempt.outcome.is_some())
        };
        self.requests.values().filter(is_queued).count()
    }

    /// Returns whether every request has had exactly one final answer.
    pub fn all_answered(&self) -> bool {
        self.requests.values().all(|request| request.final_answers == 1)
    }
}

/// Serves `count` requests one after another, each within `duration`.
pub fn serve(node: &mut TestNode, count: usize, duration: Nanos) {
    for _ in 0..count {
        node.request(0, 900 * MS);
        let to = node.now + duration;
        node.advance(to);
        for (id, n) in node.attempts_in_flight() {
            node.end_attempt(id, n, AttemptOutcome::Success);
        }
    }
}

pub fn two_classes() -> Settings {
    settings(vec![class(Idempotency::Idempotent, 1.0), class(Idempotency::Idempotent, 10.0)])
}
