//! The event loop: feeds the module one event at a time and carries out its actions in their order. The only
//! place that knows both the names of the protocol and the ids of the module.

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::hash::Hasher;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use pumicehead_policy::interface::{
    Action, AttemptNo, CellId, ClassId, Condition, Discovery, Ended, Event, ListChange, Nanos, NewRequest,
    Outcome, RequestId, SECOND, ServerId, ServerInfo, TenantId, TimerToken, ZoneId,
};
use pumicehead_policy::policy::Balancer;
use rustc_hash::{FxHashMap, FxHashSet, FxHasher};
use thiserror::Error;
use tokio::sync::{mpsc, oneshot};
use tokio::task::{self, AbortHandle};
use tokio::time::{Instant, sleep_until};

use super::config::Config;
use super::discovery::{self, Health, Host, List, WatchError};
use super::upstream::{Backend, Call, Served, Upstream};

/// A request that has no final answer this long after its deadline gets one from the event loop: the module
/// answers earlier, by the time-out of its attempts or its own timers.
const OVERDUE: Nanos = SECOND / 100;
/// Long answers may take this part of the memory: the rest of it is for connections and requests.
const LONG_SHARE: usize = 4;
/// How often idle connections are looked over.
const SWEEP: Nanos = SECOND;
/// Pause before an agent that pushes the list is asked again.
const AGENT_PAUSE: Nanos = SECOND / 4;

/// A client's request with what the module wants to know of it, by the protocol's names.
pub struct Ask {
    /// The client's name for it.
    pub correlation: Box<str>,
    /// Class.
    pub class: usize,
    /// Tenant, where there are tenants.
    pub tenant: Option<usize>,
    /// Expected work.
    pub hint: Option<Nanos>,
    /// What it is about.
    pub key: Option<String>,
    /// How long the client waits from now on.
    pub left: Duration,
    /// What goes on to a backend.
    pub call: Call,
}

/// A final answer.
pub enum Answer {
    /// A backend's.
    Served(Served),
    /// Come back later; nothing happened.
    Refused(Option<Nanos>),
    /// It failed, with no promise.
    Failed,
    /// It failed since its time is up.
    Late,
}

enum Message {
    Request(RequestId, Box<Ask>, Instant, oneshot::Sender<Answer>),
    ClientGone(RequestId),
    Ended { id: RequestId, attempt: AttemptNo, server: ServerId, sent: Nanos, end: (Outcome, Option<Served>) },
    List(u64, List),
    WatchEnded(u64, WatchError),
    Moved(SocketAddr),
    GiveUp,
}

/// The front's way to the event loop.
#[derive(Clone)]
pub struct Handle {
    messages: mpsc::UnboundedSender<Message>,
    next: Rc<Cell<u32>>,
    /// Requests without a final answer, by the clients' names.
    held: Rc<RefCell<FxHashSet<Box<str>>>>,
}

/// Tells of a client that left before its answer.
struct Waiting<'a> {
    handle: &'a Handle,
    id: RequestId,
    correlation: Box<str>,
    answered: bool,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.handle.held.borrow_mut().remove(&self.correlation);
        if !self.answered {
            let _ = self.handle.messages.send(Message::ClientGone(self.id));
        }
    }
}

impl Handle {
    /// Requests without a final answer.
    pub fn held(&self) -> usize {
        self.held.borrow().len()
    }

    /// Waits for the final answer; dropped before, the client is gone. `None`: a request of this name is open,
    /// and this one goes nowhere.
    pub async fn ask(&self, ask: Ask) -> Option<Answer> {
        let correlation = ask.correlation.clone();
        if !self.held.borrow_mut().insert(correlation.clone()) {
            return None;
        }
        let id = RequestId(self.next.get());
        self.next.set(id.0.wrapping_add(1));
        let mut waiting = Waiting { handle: self, id, correlation, answered: false };
        let (sender, answer) = oneshot::channel();
        // A loop that has ended drops the sender, and the answer is a failure.
        let _ = self.messages.send(Message::Request(id, Box::new(ask), Instant::now(), sender));
        let answer = answer.await;
        waiting.answered = true;
        Some(answer.unwrap_or(Answer::Failed))
    }

    /// Discovery is at this address from now on.
    pub fn move_discovery(&self, address: SocketAddr) {
        let _ = self.messages.send(Message::Moved(address));
    }

    /// Has all that is still open fail now: the process is about to end.
    pub fn give_up(&self) {
        let _ = self.messages.send(Message::GiveUp);
    }
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Timer(u64),
    Overdue(u32),
    Sweep,
    Subscribe,
}

struct Open {
    call: Rc<Call>,
    /// Taken by the final answer.
    answer: Option<oneshot::Sender<Answer>>,
    deadline: Nanos,
    /// By attempt number, while it is out.
    attempts: Vec<Option<oneshot::Sender<()>>>,
}

impl Open {
    fn is_over(&self) -> bool {
        self.answer.is_none() && self.attempts.iter().all(Option::is_none)
    }
}

struct Known {
    name: String,
    born_ms: u64,
    backend: Rc<Backend>,
}

/// An entry that can't be used.
#[derive(Debug, Error)]
#[error("unknown site `{0}`")]
struct UnknownSite(String);

/// The event loop's state.
pub struct Core {
    balancer: Balancer,
    upstream: Rc<Upstream>,
    zones: Vec<String>,
    messages: mpsc::UnboundedReceiver<Message>,
    to_self: mpsc::UnboundedSender<Message>,
    start: Instant,
    start_unix: Nanos,
    timers: BinaryHeap<Reverse<(Nanos, Due)>>,
    events: VecDeque<Event>,
    open: FxHashMap<RequestId, Open>,
    servers: FxHashMap<ServerId, Known>,
    ids: FxHashMap<String, ServerId>,
    discovery: SocketAddr,
    pushed: bool,
    seq: u64,
    watch: Option<(u64, AbortHandle)>,
    watches: u64,
}

impl Core {
    /// An event loop that has not begun, and the way to it.
    pub fn new(config: &Config, places: usize) -> (Self, Handle) {
        let (to_self, messages) = mpsc::unbounded_channel();
        let ceilings = &config.boot.ceilings;
        let span = Duration::from_nanos;
        let handle = Handle { messages: to_self.clone(), next: Rc::default(), held: Rc::default() };
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let mut core = Self {
            zones: config.boot.zones.clone(),
            pushed: config.settings.discovery == Discovery::Push,
            balancer: Balancer::new(config.settings.clone(), config.seed),
            upstream: Upstream::new(
                span(ceilings.dial_timeout_ns),
                span(ceilings.conn_idle_ns),
                places,
                config.memory / LONG_SHARE,
            ),
            messages,
            to_self,
            start: Instant::now(),
            start_unix: unix.as_nanos() as Nanos,
            timers: BinaryHeap::new(),
            events: VecDeque::new(),
            open: FxHashMap::default(),
            servers: FxHashMap::default(),
            ids: FxHashMap::default(),
            discovery: config.discovery,
            seq: 0,
            watch: None,
            watches: 0,
        };
        core.timers.push(Reverse((core.now() + SWEEP, Due::Sweep)));
        if let Err(error) = core.on_list(config.known.clone(), true) {
            eprintln!("the list in the configuration is not used: {error}");
            core.events.push_back(Event::Members(ListChange::Cached(Arc::from([]))));
            core.seq = 0;
        }
        if core.pushed {
            core.subscribe();
        }
        (core, handle)
    }

    /// Runs for as long as the process does.
    pub async fn run(mut self) {
        loop {
            self.feed();
            self.fire();
            let next = self.timers.peek().map_or(Nanos::MAX, |Reverse((at, _))| *at);
            let wake = self.instant(next);
            tokio::select! {
                message = self.messages.recv() => match message {
                    Some(message) => self.on_message(message),
                    None => return,
                },
                () = sleep_until(wake) => {}
            }
        }
    }

    /// Unix time at the start, then the monotonic clock: never jumps, and backends' births map onto it.
    fn now(&self) -> Nanos {
        self.at(Instant::now())
    }

    fn at(&self, instant: Instant) -> Nanos {
        self.start_unix + instant.saturating_duration_since(self.start).as_nanos() as Nanos
    }

    fn instant(&self, at: Nanos) -> Instant {
        // Some bound, or a far time would not fit the clock.
        let span = at.saturating_sub(self.start_unix).min(u64::from(u32::MAX) * SECOND);
        self.start + Duration::from_nanos(span)
    }

    /// Events wait in line: what an action brings about is handed over after all actions before it are done.
    fn feed(&mut self) {
        let mut actions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            self.balancer.handle(self.now(), event, &mut actions);
            for action in actions.drain(..) {
                self.act(action);
            }
        }
    }

    fn fire(&mut self) {
        while let Some(Reverse((at, due))) = self.timers.peek().copied() {
            if at > self.now() {
                return;
            }
            self.timers.pop();
            match due {
                Due::Timer(token) => self.events.push_back(Event::Timer(TimerToken(token))),
                Due::Overdue(id) => self.on_overdue(RequestId(id)),
                Due::Sweep => {
                    self.upstream.sweep();
                    self.timers.push(Reverse((self.now() + SWEEP, Due::Sweep)));
                }
                Due::Subscribe => self.subscribe(),
            }
            self.feed();
        }
    }

    fn on_message(&mut self, message: Message) {
        match message {
            Message::Request(id, ask, arrived, answer) => self.on_request(id, *ask, arrived, answer),
            Message::ClientGone(id) => self.on_client_gone(id),
            Message::Ended { id, attempt, server, sent, end } => {
                self.on_ended(id, attempt, server, sent, end)
            }
            Message::List(watch, list) => {
                // What an earlier watch said last is old news.
                if self.watch.as_ref().is_some_and(|(current, _)| *current == watch)
                    && let Err(error) = self.on_list(list, false)
                {
                    self.on_watch_ended(watch, &WatchError::Line(error.to_string()));
                }
            }
            Message::WatchEnded(watch, error) => self.on_watch_ended(watch, &error),
            Message::Moved(address) => {
                if address != self.discovery {
                    self.discovery = address;
                    // Another service's versions mean nothing to this one: the whole list is asked for.
                    self.seq = 0;
                    self.subscribe();
                }
            }
            Message::GiveUp => {
                let open: Vec<_> = self.open.keys().copied().collect();
                for id in open {
                    self.on_overdue(id);
                    // At once, or the place that this one leaves would go to another that is over already.
                    self.feed();
                }
            }
        }
    }

    // ---- Requests -------------------------------------------------------------------------------

    fn on_request(&mut self, id: RequestId, ask: Ask, arrived: Instant, answer: oneshot::Sender<Answer>) {
        let deadline = self.at(arrived) + ask.left.as_nanos() as Nanos;
        self.timers.push(Reverse((deadline + OVERDUE, Due::Overdue(id.0))));
        let open = Open { call: Rc::new(ask.call), answer: Some(answer), deadline, attempts: Vec::new() };
        self.open.insert(id, open);
        self.events.push_back(Event::Request(NewRequest {
            id,
            class: ClassId(ask.class as u16),
            tenant: ask.tenant.map(|tenant| TenantId(tenant as u32)),
            hint: ask.hint.filter(|&hint| hint > 0),
            key: ask.key.map(|key| hash(&key)),
            not_after: deadline,
        }));
    }

    /// Gives the final answer, once; tells whether it was this one.
    fn answer(&mut self, id: RequestId, answer: Answer) -> bool {
        let Some(open) = self.open.get_mut(&id) else { return false };
        let Some(sender) = open.answer.take() else { return false };
        // A client that has left by now gets no answer, and needs none.
        let _ = sender.send(answer);
        self.free(id);
        true
    }

    fn free(&mut self, id: RequestId) {
        if self.open.get(&id).is_some_and(Open::is_over) {
            self.open.remove(&id);
        }
    }

    fn on_client_gone(&mut self, id: RequestId) {
        if self.answer(id, Answer::Failed) {
            self.events.push_back(Event::ClientGone(id));
        }
    }

    /// The answer is past due, or the process is about to end.
    fn on_overdue(&mut self, id: RequestId) {
        if self.answer(id, Answer::Late) {
            self.events.push_back(Event::ClientGone(id));
        }
    }

    fn on_ended(
        &mut self,
        id: RequestId,
        attempt: AttemptNo,
        server: ServerId,
        sent: Nanos,
        (outcome, served): (Outcome, Option<Served>),
    ) {
        if let Some(open) = self.open.get_mut(&id)
            && let Some(out) = open.attempts.get_mut(usize::from(attempt.0))
        {
            *out = None;
        }
        if let Some(served) = served {
            self.answer(id, Answer::Served(served));
        }
        let complete = self.open.get(&id).is_none_or(|open| open.answer.is_none());
        let took = self.now().saturating_sub(sent);
        self.events.push_back(Event::Ended(Ended { id, attempt, server, outcome, took, complete }));
        self.free(id);
    }

    // ---- Actions --------------------------------------------------------------------------------

    fn act(&mut self, action: Action) {
        match action {
            Action::Send { id, server, timeout } => self.send(id, server, timeout),
            Action::Refuse { id, retry_after } => {
                self.answer(id, Answer::Refused(retry_after));
            }
            Action::Fail(id) => {
                let now = self.now();
                let late = self.open.get(&id).is_some_and(|open| now >= open.deadline);
                self.answer(id, if late { Answer::Late } else { Answer::Failed });
            }
            Action::Cancel { id, attempt } => {
                let open = self.open.get_mut(&id);
                let out = open.and_then(|open| open.attempts.get_mut(usize::from(attempt.0)));
                if let Some(Some(cancel)) = out {
                    // The attempt stays out until its own end is told.
                    let (spent, _) = oneshot::channel();
                    let _ = std::mem::replace(cancel, spent).send(());
                }
            }
            Action::Timer { at, token } => self.timers.push(Reverse((at, Due::Timer(token.0)))),
            Action::FreeLinks(server) => {
                if let Some(known) = self.servers.get(&server) {
                    known.backend.hang_up();
                }
            }
            Action::Subscribe => self.subscribe(),
            Action::Log(line) => eprintln!("{line}"),
            // There is no way to other nodes here; the configuration keeps notes off.
            Action::Tell { .. } => {}
        }
    }

    fn send(&mut self, id: RequestId, server: ServerId, timeout: Option<Nanos>) {
        let now = self.now();
        let Some(open) = self.open.get_mut(&id) else { return };
        let attempt = AttemptNo(open.attempts.len() as u8);
        let end = timeout.map_or(open.deadline, |timeout| open.deadline.min(now + timeout));
        let known = self.servers.get(&server).filter(|_| open.answer.is_some() && now < end);
        let Some(known) = known else {
            open.attempts.push(None);
            return self.events.push_back(Event::Ended(Ended {
                id,
                attempt,
                server,
                outcome: Outcome::Moot,
                took: 0,
                complete: open.answer.is_none(),
            }));
        };
        let (cancel, cancelled) = oneshot::channel();
        open.attempts.push(Some(cancel));
        let (backend, call) = (known.backend.clone(), open.call.clone());
        let (upstream, messages, end) = (self.upstream.clone(), self.to_self.clone(), self.instant(end));
        task::spawn_local(async move {
            let end = upstream.attempt(backend, call, end, cancelled).await;
            let _ = messages.send(Message::Ended { id, attempt, server, sent: now, end });
        });
    }

    // ---- The list of backends -------------------------------------------------------------------

    fn subscribe(&mut self) {
        if let Some((_, old)) = self.watch.take() {
            old.abort();
        }
        self.watches += 1;
        let number = self.watches;
        let (messages, address, after) = (self.to_self.clone(), self.discovery, self.seq);
        let watch = task::spawn_local(async move {
            let take = |list| drop(messages.send(Message::List(number, list)));
            let error = discovery::watch(address, after, take).await;
            let _ = messages.send(Message::WatchEnded(number, error));
        });
        self.watch = Some((number, watch.abort_handle()));
    }

    fn on_watch_ended(&mut self, watch: u64, error: &WatchError) {
        let Some((_, task)) = self.watch.take_if(|(current, _)| *current == watch) else { return };
        task.abort();
        eprintln!("discovery: watch lost: {error}");
        if self.pushed {
            self.timers.push(Reverse((self.now() + AGENT_PAUSE, Due::Subscribe)));
        } else {
            self.events.push_back(Event::Members(ListChange::Failed));
        }
    }

    fn on_list(&mut self, list: List, cached: bool) -> Result<(), UnknownSite> {
        let zone = |host: &Host| {
            let place = self.zones.iter().position(|zone| *zone == host.site);
            place.map(|place| ZoneId(place as u16)).ok_or_else(|| UnknownSite(host.site.clone()))
        };
        // All or nothing: a list that is half understood must not be half believed.
        let zones = list.hosts.iter().map(zone).collect::<Result<Vec<_>, _>>()?;
        let whole = list.whole || cached;
        if whole {
            let named: FxHashSet<_> = list.hosts.iter().map(|host| host.host.as_str()).collect();
            let missing = self.ids.keys().filter(|name| !named.contains(name.as_str()));
            let missing: Vec<_> = missing.cloned().collect();
            missing.iter().for_each(|name| self.forget(name));
        }
        let infos: Arc<[ServerInfo]> =
            list.hosts.into_iter().zip(zones).map(|(host, zone)| self.learn(host, zone)).collect();
        self.seq = list.seq;
        self.events.push_back(Event::Members(match (cached, whole) {
            (true, _) => ListChange::Cached(infos),
            (_, true) => ListChange::Full(infos),
            _ => ListChange::Delta(infos),
        }));
        Ok(())
    }

    fn learn(&mut self, host: Host, zone: ZoneId) -> ServerInfo {
        let id = self.id(&host.host);
        let fresh =
            || Known { name: host.host.clone(), born_ms: host.born_ms, backend: Backend::new(host.dial) };
        let known = self.servers.entry(id).or_insert_with(fresh);
        if known.born_ms != host.born_ms || known.backend.dial() != host.dial || !known.backend.is_usable() {
            // Another process: what is still on its way to the old one must not reach the cold new one.
            known.backend.retire();
            *known = fresh();
        }
        self.ids.insert(host.host.clone(), id);
        if host.health != Health::Active {
            known.backend.retire();
        }
        if host.health == Health::Left {
            self.forget(&host.host);
        }
        ServerInfo {
            id,
            zone,
            cell: CellId(host.block),
            condition: match host.health {
                Health::Active => Condition::Ready,
                Health::Leaving => Condition::Draining,
                Health::Left => Condition::Gone,
            },
            weight: host.share,
            started_at: host.born_ms.saturating_mul(1_000_000),
        }
    }

    fn forget(&mut self, name: &str) {
        if let Some(id) = self.ids.remove(name)
            && let Some(known) = self.servers.remove(&id)
        {
            known.backend.retire();
        }
    }

    /// The same at every node, since nodes order backends by id on a ring that they share.
    fn id(&self, name: &str) -> ServerId {
        if let Some(&id) = self.ids.get(name) {
            return id;
        }
        let mut id = ServerId(hash(name) as u32);
        while self.servers.get(&id).is_some_and(|known| known.name != name) {
            id.0 = id.0.wrapping_add(1);
        }
        id
    }
}

/// A hash without a seed.
fn hash(text: &str) -> u64 {
    let mut hasher = FxHasher::default();
    hasher.write(text.as_bytes());
    hasher.finish()
}
