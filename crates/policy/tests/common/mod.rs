//! A node under test: keeps its timers and what it did, and checks the four rules on every action.

#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use pumicehead_policy::Balancer;
use pumicehead_policy::decision_event::DecisionEvent;
use pumicehead_policy::tenant_shares::TenantShares;
use pumicehead_policy::*;

pub const MS: Nanos = 1_000_000;

pub fn class(effect: Idempotency, worth: f64) -> Class {
    Class {
        latency_objective: 500 * MS,
        objective_per_work: 0.0,
        deadline: 1000 * MS,
        priority_weight: worth,
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

pub fn server(id: u32) -> EndpointInfo {
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

/// Whether an outcome proves that nothing ran, in the checker's own words.
fn proves(outcome: AttemptOutcome, full_unproven: bool) -> bool {
    match outcome {
        AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent => true,
        AttemptOutcome::Rejected => !full_unproven,
        _ => false,
    }
}

/// What the checker knows of an attempt.
#[derive(Clone)]
pub struct Try {
    pub server: EndpointId,
    pub at: Nanos,
    pub ended: Option<AttemptOutcome>,
    pub ended_at: Nanos,
}

/// What the checker knows of a request.
#[derive(Clone)]
pub struct Known {
    pub class: usize,
    pub key: Option<u64>,
    pub not_after: Nanos,
    pub tries: Vec<Try>,
    pub finals: u32,
    pub over_at: Option<Nanos>,
}

/// Drives one node and checks the rules independently of it.
pub struct Node {
    pub balancer: Balancer,
    pub settings: Settings,
    pub now: Nanos,
    pub timers: BTreeMap<(Nanos, u64), TimerToken>,
    pub requests: BTreeMap<u32, Known>,
    pub servers: HashMap<EndpointId, EndpointInfo>,
    pub log: Vec<Action>,
    pub notes: Vec<DecisionEvent>,
    /// Rules that were broken, in words.
    pub broken: Vec<String>,
    /// When idle connections to a server were closed, and when it was last told of or used.
    freed: HashMap<EndpointId, Nanos>,
    used: HashMap<EndpointId, Nanos>,
    open: BTreeSet<(RequestId, usize)>,
    next_request: u32,
    next_timer: u64,
}

impl Node {
    pub fn new(settings: Settings, seed: u64) -> Self {
        Self {
            balancer: Balancer::new(settings.clone(), seed),
            settings,
            now: SECOND,
            timers: BTreeMap::new(),
            requests: BTreeMap::new(),
            servers: HashMap::new(),
            log: Vec::new(),
            notes: Vec::new(),
            broken: Vec::new(),
            freed: HashMap::new(),
            used: HashMap::new(),
            open: BTreeSet::new(),
            next_request: 0,
            next_timer: 0,
        }
    }

    pub fn with_servers(settings: Settings, count: u32) -> Self {
        let mut node = Self::new(settings, 7);
        node.members(EndpointUpdate::Restored(list((1..=count).map(server))));
        node
    }

    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in &actions {
            self.check(action);
        }
        self.log.extend(actions.iter().cloned());
        self.notes.extend(self.balancer.decision_events());
        // A withdrawn attempt ends so at once.
        for action in &actions {
            if let Action::CancelAttempt { id, attempt } = *action {
                self.end(id, usize::from(attempt.0), AttemptOutcome::Cancelled);
            }
        }
        actions
    }

    pub fn members(&mut self, change: EndpointUpdate) -> Vec<Action> {
        let now = self.now;
        for server in self.servers.values_mut() {
            let said = match &change {
                EndpointUpdate::Snapshot(all)
                | EndpointUpdate::Restored(all)
                | EndpointUpdate::Delta(all) => all.iter().find(|s| s.id == server.id),
                EndpointUpdate::WatchFailed => None,
            };
            if said.is_some_and(|s| s.state == EndpointState::Draining)
                && server.state == EndpointState::Ready
            {
                self.used.insert(server.id, now);
            }
        }
        match &change {
            EndpointUpdate::Snapshot(all) | EndpointUpdate::Restored(all) => {
                self.servers = all.iter().map(|s| (s.id, s.clone())).collect();
            }
            EndpointUpdate::Delta(some) => {
                self.servers.extend(some.iter().map(|s| (s.id, s.clone())));
            }
            EndpointUpdate::WatchFailed => {}
        }
        self.event(Event::EndpointsUpdated(change))
    }

    pub fn request(&mut self, class: usize, patience: Nanos) -> RequestId {
        self.request_of(class, patience, None)
    }

    pub fn keyed(&mut self, class: usize, patience: Nanos, key: u64) -> RequestId {
        self.request_with(class, patience, None, Some(key))
    }

    pub fn request_of(&mut self, class: usize, patience: Nanos, tenant: Option<TenantId>) -> RequestId {
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
        self.requests
            .insert(id.0, Known { class, key, not_after, tries: Vec::new(), finals: 0, over_at: None });
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
    pub fn end(&mut self, id: RequestId, attempt: usize, outcome: AttemptOutcome) -> Vec<Action> {
        let known = self.requests.get_mut(&id.0).unwrap();
        let tried = &mut known.tries[attempt];
        if tried.ended.is_some() {
            return Vec::new();
        }
        tried.ended = Some(outcome);
        tried.ended_at = self.now;
        self.used.insert(tried.server, self.now);
        self.open.remove(&(id, attempt));
        let (server, took) = (tried.server, self.now - tried.at);
        if outcome == AttemptOutcome::Success && known.finals == 0 {
            known.finals = 1;
            known.over_at = Some(self.now);
        }
        let complete = known.finals > 0;
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
            let over = self.out().into_iter().map(|(id, n)| (self.requests[&id.0].not_after, id, n)).min();
            let over = over.filter(|&(at, ..)| at <= to);
            match (timer, over) {
                (Some((at, n)), None) => self.fire(at, n),
                (Some((at, n)), Some((end, ..))) if at <= end => self.fire(at, n),
                (_, Some((end, id, n))) => {
                    self.now = self.now.max(end);
                    self.end(id, n, AttemptOutcome::TimedOut);
                }
                (None, None) => break,
            }
        }
        self.now = self.now.max(to);
        self.check_links();
    }

    /// Rule 'closing on drains': where the limit is set, no idle connection stays open past it.
    fn check_links(&mut self) {
        let Some(within) = self.settings.drain_idle_close else { return };
        for server in self.servers.values().filter(|s| s.state == EndpointState::Draining) {
            let Some(&used) = self.used.get(&server.id) else { continue };
            let busy = self.open.iter().any(|&(id, n)| self.requests[&id.0].tries[n].server == server.id);
            let freed = self.freed.get(&server.id).copied().unwrap_or(0);
            if !busy && self.now > used + within && freed < used {
                self.broken.push(format!("7: links to {:?} open past their time", server.id));
            }
        }
    }

    /// Rule 'order by key': every earlier request of the key is over, its attempts have ended, and what may
    /// go on at a server has had its rest.
    fn check_order(&mut self, id: RequestId) {
        let known = &self.requests[&id.0];
        if known.key.is_none() || !self.settings.classes[known.class].ordered_by_key {
            return;
        }
        for earlier in self.requests.range(..id.0).map(|(_, k)| k) {
            if earlier.key != known.key || !self.settings.classes[earlier.class].ordered_by_key {
                continue;
            }
            let rests = |t: &Try| {
                matches!(
                    t.ended,
                    Some(AttemptOutcome::TimedOut | AttemptOutcome::Reset | AttemptOutcome::Cancelled)
                ) && self.now < t.ended_at + self.settings.key_cooldown
            };
            if earlier.over_at.is_none() || earlier.tries.iter().any(|t| t.ended.is_none() || rests(t)) {
                self.broken.push(format!("5: {id:?} sent out of turn"));
                return;
            }
        }
    }

    fn fire(&mut self, at: Nanos, number: u64) {
        self.now = self.now.max(at);
        let token = self.timers.remove(&(at, number)).unwrap();
        self.event(Event::TimerFired(token));
    }

    /// Outstanding attempts in the order of requests.
    pub fn out(&self) -> Vec<(RequestId, usize)> {
        self.open.iter().copied().collect()
    }

    pub fn tries(&self, id: RequestId) -> &[Try] {
        &self.requests[&id.0].tries
    }

    pub fn held(&self) -> usize {
        let waiting = |k: &&Known| k.finals == 0 && k.tries.iter().all(|t| t.ended.is_some());
        self.requests.values().filter(waiting).count()
    }

    /// Every request has had exactly one final answer.
    pub fn all_answered(&self) -> bool {
        self.requests.values().all(|known| known.finals == 1)
    }

    fn check(&mut self, action: &Action) {
        match *action {
            Action::ArmTimer { at, token } => {
                assert!(at > self.now, "a timer in the past");
                self.next_timer += 1;
                self.timers.insert((at, self.next_timer), token);
            }
            Action::StartAttempt { id, endpoint, .. } => self.check_send(id, endpoint),
            Action::Reject { id, .. } => self.check_final(id, true),
            Action::Fail(id) => self.check_final(id, false),
            Action::CancelAttempt { id, attempt } => {
                let known = &self.requests[&id.0];
                assert!(usize::from(attempt.0) < known.tries.len(), "cancel of an attempt never made");
            }
            Action::CloseIdleConnections(server) => drop(self.freed.insert(server, self.now)),
            Action::Subscribe | Action::SendLoadReport { .. } => {}
        }
    }

    fn check_send(&mut self, id: RequestId, server: EndpointId) {
        self.check_order(id);
        self.used.insert(server, self.now);
        let mut broken = Vec::new();
        let known = self.requests.get_mut(&id.0).unwrap();
        let (class, full) = (&self.settings.classes[known.class], self.settings.rejection_may_execute);
        if known.over_at.is_some() {
            broken.push(format!("1: sent {id:?} after its end"));
        }
        let unproven: Vec<&Try> =
            known.tries.iter().filter(|t| !t.ended.is_some_and(|end| proves(end, full))).collect();
        if !unproven.is_empty() {
            match class.idempotency {
                Idempotency::Idempotent => {}
                Idempotency::NotIdempotent => broken.push(format!("2: unsafe {id:?} sent twice")),
                Idempotency::IdempotencyKey { scope, window } => {
                    let first = unproven.iter().min_by_key(|t| t.at).unwrap();
                    if self.now > first.at + window {
                        broken.push(format!("2: keyed {id:?} sent outside of its window"));
                    }
                    let (a, b) = (&self.servers[&first.server], &self.servers[&server]);
                    let inside = match scope {
                        DedupScope::All => true,
                        DedupScope::Zone => a.zone == b.zone,
                        DedupScope::Cell => a.cell == b.cell,
                    };
                    if !inside {
                        broken.push(format!("2: keyed {id:?} sent outside of its group"));
                    }
                }
            }
        }
        if known.tries.iter().any(|t| t.ended.is_none()) && !self.settings.concurrent_attempts {
            broken.push(format!("2: two attempts of {id:?} at once"));
        }
        if known.tries.len() >= self.settings.max_attempts as usize {
            broken.push(format!("attempts: too many of {id:?}"));
        }
        if self.servers.get(&server).is_none_or(|s| s.state != EndpointState::Ready) {
            broken.push(format!("3: sent to {server:?}, which drains or is gone"));
        }
        self.open.insert((id, known.tries.len()));
        known.tries.push(Try { server, at: self.now, ended: None, ended_at: 0 });
        self.broken.extend(broken);
    }

    fn check_final(&mut self, id: RequestId, refused: bool) {
        let known = self.requests.get_mut(&id.0).unwrap();
        known.finals += 1;
        if known.finals > 1 {
            self.broken.push(format!("1: {id:?} answered twice"));
        }
        if self.now > known.not_after + 20 * MS {
            self.broken.push(format!("1: {id:?} answered late"));
        }
        known.over_at.get_or_insert(self.now);
        let full = self.settings.rejection_may_execute;
        let proven = known.tries.iter().all(|t| t.ended.is_some_and(|end| proves(end, full)));
        let effect = self.settings.classes[known.class].idempotency;
        if refused
            && !proven
            && !matches!(
                effect,
                Idempotency::Idempotent | Idempotency::IdempotencyKey { scope: DedupScope::All, .. }
            )
        {
            self.broken.push(format!("2: {id:?} refused though it may have run"));
        }
    }
}
