//! A node under test: keeps its timers and what it did, and checks the four rules on every action.

#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use pumicehead_policy::interface::*;
use pumicehead_policy::note::Note;
use pumicehead_policy::policy::Balancer;
use pumicehead_policy::tenant_shares::TenantShares;

pub const MS: Nanos = 1_000_000;

pub fn class(effect: Effect, worth: f64) -> Class {
    Class {
        aim: 500 * MS,
        aim_stretch: 0.0,
        deadline: 1000 * MS,
        worth,
        late_worth: 0.0,
        effect,
        keep_order: false,
    }
}

pub fn settings(classes: Vec<Class>) -> Settings {
    Settings {
        me: 0,
        nodes: 1,
        zone: ZoneId(0),
        zones: 1,
        classes,
        tenants: TenantShares::default(),
        over_share_worth: 0.2,
        worth_by_work: false,
        discovery: Discovery::Push,
        tick: 5 * MS,
        max_attempts: 3,
        parallel_tries: true,
        cancel: true,
        retry_after: true,
        max_retry_after: 2 * SECOND,
        connections_priced: false,
        crossing_price: 0.0,
        weights_tell_size: false,
        peers: false,
        peer_price: 0.0,
        ask_every: 10 * SECOND,
        drain_grace: 2 * SECOND,
        cold_from: 0.2,
        cold_span: 10 * SECOND,
        fall_multiple: 2.5,
        fall_span: 2 * SECOND,
        full_unproven: false,
        order_settle: 0,
        hang_up_within: None,
    }
}

pub fn server(id: u32) -> ServerInfo {
    ServerInfo {
        id: ServerId(id),
        zone: ZoneId(0),
        cell: CellId(0),
        condition: Condition::Ready,
        weight: 1.0,
        started_at: 0,
    }
}

pub fn list(servers: impl IntoIterator<Item = ServerInfo>) -> Arc<[ServerInfo]> {
    servers.into_iter().collect()
}

/// Whether an outcome proves that nothing ran, in the checker's own words.
fn proves(outcome: Outcome, full_unproven: bool) -> bool {
    match outcome {
        Outcome::ConnectFailed | Outcome::Moot => true,
        Outcome::Full => !full_unproven,
        _ => false,
    }
}

/// What the checker knows of an attempt.
#[derive(Clone)]
pub struct Try {
    pub server: ServerId,
    pub at: Nanos,
    pub ended: Option<Outcome>,
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
    pub servers: HashMap<ServerId, ServerInfo>,
    pub log: Vec<Action>,
    pub notes: Vec<Note>,
    /// Rules that were broken, in words.
    pub broken: Vec<String>,
    /// When idle connections to a server were closed, and when it was last told of or used.
    freed: HashMap<ServerId, Nanos>,
    used: HashMap<ServerId, Nanos>,
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
        node.members(ListChange::Cached(list((1..=count).map(server))));
        node
    }

    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in &actions {
            self.check(action);
        }
        self.log.extend(actions.iter().cloned());
        self.notes.extend(self.balancer.notes());
        // A withdrawn attempt ends so at once.
        for action in &actions {
            if let Action::Cancel { id, attempt } = *action {
                self.end(id, usize::from(attempt.0), Outcome::Cancelled);
            }
        }
        actions
    }

    pub fn members(&mut self, change: ListChange) -> Vec<Action> {
        let now = self.now;
        for server in self.servers.values_mut() {
            let said = match &change {
                ListChange::Full(all) | ListChange::Cached(all) | ListChange::Delta(all) => {
                    all.iter().find(|s| s.id == server.id)
                }
                ListChange::Failed => None,
            };
            if said.is_some_and(|s| s.condition == Condition::Draining)
                && server.condition == Condition::Ready
            {
                self.used.insert(server.id, now);
            }
        }
        match &change {
            ListChange::Full(all) | ListChange::Cached(all) => {
                self.servers = all.iter().map(|s| (s.id, s.clone())).collect();
            }
            ListChange::Delta(some) => {
                self.servers.extend(some.iter().map(|s| (s.id, s.clone())));
            }
            ListChange::Failed => {}
        }
        self.event(Event::Members(change))
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
        self.event(Event::Request(NewRequest { id, class, tenant, hint: None, key, not_after }));
        id
    }

    /// Ends an attempt; a success concludes its request.
    pub fn end(&mut self, id: RequestId, attempt: usize, outcome: Outcome) -> Vec<Action> {
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
        if outcome == Outcome::Ok && known.finals == 0 {
            known.finals = 1;
            known.over_at = Some(self.now);
        }
        let complete = known.finals > 0;
        let attempt = AttemptNo(u8::try_from(attempt).unwrap());
        self.event(Event::Ended(Ended { id, attempt, server, outcome, took, complete }))
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
                    self.end(id, n, Outcome::TimedOut);
                }
                (None, None) => break,
            }
        }
        self.now = self.now.max(to);
        self.check_links();
    }

    /// Rule 'closing on drains': where the limit is set, no idle connection stays open past it.
    fn check_links(&mut self) {
        let Some(within) = self.settings.hang_up_within else { return };
        for server in self.servers.values().filter(|s| s.condition == Condition::Draining) {
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
        if known.key.is_none() || !self.settings.classes[known.class].keep_order {
            return;
        }
        for earlier in self.requests.range(..id.0).map(|(_, k)| k) {
            if earlier.key != known.key || !self.settings.classes[earlier.class].keep_order {
                continue;
            }
            let rests = |t: &Try| {
                matches!(t.ended, Some(Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled))
                    && self.now < t.ended_at + self.settings.order_settle
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
        self.event(Event::Timer(token));
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
            Action::Timer { at, token } => {
                assert!(at > self.now, "a timer in the past");
                self.next_timer += 1;
                self.timers.insert((at, self.next_timer), token);
            }
            Action::Send { id, server, .. } => self.check_send(id, server),
            Action::Refuse { id, .. } => self.check_final(id, true),
            Action::Fail(id) => self.check_final(id, false),
            Action::Cancel { id, attempt } => {
                let known = &self.requests[&id.0];
                assert!(usize::from(attempt.0) < known.tries.len(), "cancel of an attempt never made");
            }
            Action::FreeLinks(server) => drop(self.freed.insert(server, self.now)),
            Action::Subscribe | Action::Tell { .. } => {}
        }
    }

    fn check_send(&mut self, id: RequestId, server: ServerId) {
        self.check_order(id);
        self.used.insert(server, self.now);
        let mut broken = Vec::new();
        let known = self.requests.get_mut(&id.0).unwrap();
        let (class, full) = (&self.settings.classes[known.class], self.settings.full_unproven);
        if known.over_at.is_some() {
            broken.push(format!("1: sent {id:?} after its end"));
        }
        let unproven: Vec<&Try> =
            known.tries.iter().filter(|t| !t.ended.is_some_and(|end| proves(end, full))).collect();
        if !unproven.is_empty() {
            match class.effect {
                Effect::Safe => {}
                Effect::Unsafe => broken.push(format!("2: unsafe {id:?} sent twice")),
                Effect::Keyed { group, window } => {
                    let first = unproven.iter().min_by_key(|t| t.at).unwrap();
                    if self.now > first.at + window {
                        broken.push(format!("2: keyed {id:?} sent outside of its window"));
                    }
                    let (a, b) = (&self.servers[&first.server], &self.servers[&server]);
                    let inside = match group {
                        Group::All => true,
                        Group::Zone => a.zone == b.zone,
                        Group::Cell => a.cell == b.cell,
                    };
                    if !inside {
                        broken.push(format!("2: keyed {id:?} sent outside of its group"));
                    }
                }
            }
        }
        if known.tries.iter().any(|t| t.ended.is_none()) && !self.settings.parallel_tries {
            broken.push(format!("2: two attempts of {id:?} at once"));
        }
        if known.tries.len() >= self.settings.max_attempts as usize {
            broken.push(format!("attempts: too many of {id:?}"));
        }
        if self.servers.get(&server).is_none_or(|s| s.condition != Condition::Ready) {
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
        let full = self.settings.full_unproven;
        let proven = known.tries.iter().all(|t| t.ended.is_some_and(|end| proves(end, full)));
        let effect = self.settings.classes[known.class].effect;
        if refused && !proven && !matches!(effect, Effect::Safe | Effect::Keyed { group: Group::All, .. }) {
            self.broken.push(format!("2: {id:?} refused though it may have run"));
        }
    }
}
