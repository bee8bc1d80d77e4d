//! A node under test: keeps its timers and actions, and checks the rules on every action.

#![allow(dead_code)]

mod checks;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use pumicehead_policy::Balancer;
use pumicehead_policy::decision_event::DecisionEvent;
use pumicehead_policy::tenant_shares::TenantShares;
use pumicehead_policy::*;

pub const MS: Nanos = 1_000_000;

pub fn class(effect: Idempotency, weight: f64) -> Class {
    Class {
        latency_objective: 500 * MS,
        objective_per_work: 0.0,
        deadline: 1000 * MS,
        priority_weight: weight,
        late_weight: 0.0,
        idempotency: effect,
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

pub fn list(servers: impl IntoIterator<Item = EndpointInfo>) -> Arc<[EndpointInfo]> {
    servers.into_iter().collect()
}

/// What the checker knows of an attempt.
#[derive(Clone)]
pub struct AttemptRecord {
    pub endpoint: EndpointId,
    pub sent_at: Nanos,
    pub outcome: Option<AttemptOutcome>,
    pub ended_at: Nanos,
}

/// What the checker knows of a request.
#[derive(Clone)]
pub struct RequestRecord {
    pub class: usize,
    pub key: Option<u64>,
    pub deadline: Nanos,
    pub attempts: Vec<AttemptRecord>,
    pub final_answers: u32,
    pub over_since: Option<Nanos>,
}

/// Drives one node and checks the rules independently of it.
pub struct TestNode {
    pub balancer: Balancer,
    pub settings: Settings,
    pub now: Nanos,
    pub timers: BTreeMap<(Nanos, u64), TimerToken>,
    pub requests: BTreeMap<u32, RequestRecord>,
    pub endpoints: HashMap<EndpointId, EndpointInfo>,
    pub actions: Vec<Action>,
    pub decision_events: Vec<DecisionEvent>,
    /// Rules that were violated, in words.
    pub violations: Vec<String>,
    /// When idle connections to an endpoint were closed, and when it was last updated or used.
    idle_closed_at: HashMap<EndpointId, Nanos>,
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
            self.check(action);
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

    pub fn update_endpoints(&mut self, change: EndpointUpdate) -> Vec<Action> {
        let now = self.now;
        for server in self.endpoints.values_mut() {
            let update = match &change {
                EndpointUpdate::Snapshot(all)
                | EndpointUpdate::Restored(all)
                | EndpointUpdate::Delta(all) => all.iter().find(|s| s.id == server.id),
                EndpointUpdate::WatchFailed => None,
            };
            if update.is_some_and(|s| s.state == EndpointState::Draining)
                && server.state == EndpointState::Ready
            {
                self.last_used_at.insert(server.id, now);
            }
        }
        match &change {
            EndpointUpdate::Snapshot(all) | EndpointUpdate::Restored(all) => {
                self.endpoints = all.iter().map(|s| (s.id, s.clone())).collect();
            }
            EndpointUpdate::Delta(some) => {
                self.endpoints.extend(some.iter().map(|s| (s.id, s.clone())));
            }
            EndpointUpdate::WatchFailed => {}
        }
        self.event(Event::EndpointsUpdated(change))
    }

    pub fn request(&mut self, class: usize, patience: Nanos) -> RequestId {
        self.request_of_tenant(class, patience, None)
    }

    pub fn request_with_key(&mut self, class: usize, patience: Nanos, key: u64) -> RequestId {
        self.request_with(class, patience, None, Some(key))
    }

    pub fn request_of_tenant(
        &mut self,
        class: usize,
        patience: Nanos,
        tenant: Option<TenantId>,
    ) -> RequestId {
        self.request_with(class, patience, tenant, None)
    }

    fn request_with(
        &mut self,
        class: usize,
        patience: Nanos,
        tenant: Option<TenantId>,
        key: Option<u64>,
    ) -> RequestId {
        self.next_request += 1;
        let id = RequestId(self.next_request);
        let not_after = self.now + patience;
        self.requests.insert(
            id.0,
            RequestRecord {
                class,
                key,
                deadline: not_after,
                attempts: Vec::new(),
                final_answers: 0,
                over_since: None,
            },
        );
        let class = ClassId(u16::try_from(class).unwrap());
        self.event(Event::Request(NewRequest {
            id,
            class,
            tenant,
            cost_hint: None,
            key,
            deadline: not_after,
        }));
        id
    }

    /// Ends an attempt; a success concludes its request.
    pub fn end_attempt(&mut self, id: RequestId, attempt: usize, outcome: AttemptOutcome) -> Vec<Action> {
        let known = self.requests.get_mut(&id.0).unwrap();
        let tried = &mut known.attempts[attempt];
        if tried.outcome.is_some() {
            return Vec::new();
        }
        tried.outcome = Some(outcome);
        tried.ended_at = self.now;
        self.last_used_at.insert(tried.endpoint, self.now);
        self.in_flight.remove(&(id, attempt));
        let (server, took) = (tried.endpoint, self.now - tried.sent_at);
        if outcome == AttemptOutcome::Success && known.final_answers == 0 {
            known.final_answers = 1;
            known.over_since = Some(self.now);
        }
        let complete = known.final_answers > 0;
        let attempt = AttemptNo(u8::try_from(attempt).unwrap());
        self.event(Event::AttemptEnded(AttemptEnded {
            id,
            attempt,
            endpoint: server,
            outcome,
            duration: took,
            final_answer: complete,
        }))
    }

    /// Moves the clock, firing timers and timing attempts out at the clients' deadlines.
    pub fn advance(&mut self, to: Nanos) {
        loop {
            let timer = self.timers.keys().next().copied().filter(|&(at, _)| at <= to);
            let over = self
                .attempts_in_flight()
                .into_iter()
                .map(|(id, n)| (self.requests[&id.0].deadline, id, n))
                .min();
            let over = over.filter(|&(at, ..)| at <= to);
            match (timer, over) {
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

    /// Attempts in flight in the order of requests.
    pub fn attempts_in_flight(&self) -> Vec<(RequestId, usize)> {
        self.in_flight.iter().copied().collect()
    }

    pub fn attempts_of(&self, id: RequestId) -> &[AttemptRecord] {
        &self.requests[&id.0].attempts
    }

    pub fn queued_count(&self) -> usize {
        let waiting =
            |k: &&RequestRecord| k.final_answers == 0 && k.attempts.iter().all(|t| t.outcome.is_some());
        self.requests.values().filter(waiting).count()
    }

    /// Every request has had exactly one final answer.
    pub fn all_answered(&self) -> bool {
        self.requests.values().all(|known| known.final_answers == 1)
    }
}

/// Serves `count` requests one after another, each in `took`.
pub fn serve(node: &mut TestNode, count: usize, took: Nanos) {
    for _ in 0..count {
        node.request(0, 900 * MS);
        let to = node.now + took;
        node.advance(to);
        for (id, n) in node.attempts_in_flight() {
            node.end_attempt(id, n, AttemptOutcome::Success);
        }
    }
}

pub fn two_classes() -> Settings {
    settings(vec![class(Idempotency::Idempotent, 1.0), class(Idempotency::Idempotent, 10.0)])
}
