//! The event loop: feeds the module one event at a time and carries out its actions in their order. The only
//! place that knows both requests and the ids of the module. A node has one loop for each pool of servers.

use std::cell::Cell;
use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};

use pumicehead_policy::interface::{
    Action, AttemptNo, ClassId, Discovery, Ended, Event, ListChange, Nanos, NewRequest, Outcome, RequestId,
    SECOND, ServerId, Settings, TenantId, TimerToken,
};
use pumicehead_policy::note::Note;
use pumicehead_policy::policy::{Balancer, Knowledge};
use pumicehead_trace::event::{Event as Told, How, Short};
use pumicehead_trace::text::{Name, plain};
use rustc_hash::FxHashMap;
use tokio::sync::{mpsc, oneshot};
use tokio::task;
use tokio::time::{Instant, sleep_until};
use tracing::{info, warn};

use super::ask::{Answer, Ask};
use super::clock::Clock;
use super::discovery::{List, WatchError};
use super::handle::{Handle, Held};
use super::hands::Hands;
use super::message::{Members, Message};
use super::open::{Due, Open};
use super::roster::{Roster, UnknownSite, hash};
use super::tap::Tap;
use super::transport::{End, Transport};
use super::watch::Watch;

/// A request that has no final answer this long after its deadline gets one from the event loop: the module
/// answers earlier, by the time-out of its attempts or its own timers.
const OVERDUE: Nanos = SECOND / 100;
/// Advice with a refusal of what could not be sent again.
const RETRY_AFTER: Nanos = SECOND / 2;
/// What an earlier process has learned is taken over for so long.
pub const WORTH: Nanos = 30 * SECOND;
/// How often idle connections are looked over.
const SWEEP: Nanos = SECOND;
/// Pause before an agent that pushes the list is asked again.
const AGENT_PAUSE: Nanos = SECOND / 4;
/// A pool that is gone from the configuration serves the requests it has for so long; from then on nothing new is
/// sent, well within the 2 s in which a drain must be kept.
const GRACE: Nanos = SECOND;

/// Where a loop's list of servers comes from.
pub enum Source {
    /// A service is watched, after the list that was known last.
    Watch {
        /// Its address.
        discovery: SocketAddr,
        /// The list as it was known last; where there is none, the service is asked at once.
        known: Option<List>,
        /// It is asked at once all the same, and not when the module thinks best: this process takes over from another,
        /// whose news bind it.
        at_once: bool,
    },
    /// The configuration has it.
    Fixed(List),
}

/// What a loop is made of.
pub struct Setup {
    /// What the module is told.
    pub settings: Settings,
    /// For its random numbers.
    pub seed: u64,
    /// The zones, by name.
    pub zones: Vec<String>,
    /// Its servers.
    pub source: Source,
    /// How attempts travel.
    pub transport: Rc<dyn Transport>,
    /// Servers taken out by hand.
    pub hands: Rc<Hands>,
    /// What an earlier process of this node has learned.
    pub learned: Option<Knowledge>,
    /// The node's clock.
    pub clock: Clock,
    /// The way to the recorder, where there is one.
    pub tap: Option<Tap>,
}

/// The event loop's state.
pub struct Core {
    balancer: Balancer,
    roster: Roster,
    messages: mpsc::UnboundedReceiver<Message>,
    to_self: mpsc::UnboundedSender<Message>,
    clock: Clock,
    tap: Option<Tap>,
    timers: BTreeSet<(Nanos, Due)>,
    events: VecDeque<Event>,
    open: FxHashMap<RequestId, Open>,
    pushed: bool,
    /// As [`Settings::full_unproven`] and [`Settings::retry_after`].
    full_unproven: bool,
    retry_after: bool,
    watch: Watch,
    /// Ways to this loop that are left: a request may still be on its way to be asked.
    handles: Weak<Cell<u32>>,
    retired: bool,
    /// Taken over as servers become known, for as long as it is worth anything.
    learned: Option<Knowledge>,
}

impl Core {
    /// An event loop that has not begun, and the way to it.
    pub fn new(setup: Setup, held: Held) -> (Self, Handle) {
        let (to_self, messages) = mpsc::unbounded_channel();
        let (handle, handles) = Handle::new(to_self.clone(), held, setup.tap.clone());
        let (discovery, known, at_once, fixed) = match setup.source {
            Source::Watch { discovery, known, at_once } => (Some(discovery), known, at_once, None),
            Source::Fixed(list) => (None, None, false, Some(list)),
        };
        let mut core = Self {
            pushed: setup.settings.discovery == Discovery::Push,
            full_unproven: setup.settings.full_unproven,
            retry_after: setup.settings.retry_after,
            balancer: Balancer::new(setup.settings, setup.seed),
            roster: Roster::new(setup.zones, setup.transport, setup.hands),
            messages,
            to_self,
            clock: setup.clock,
            tap: setup.tap,
            timers: BTreeSet::new(),
            events: VecDeque::new(),
            open: FxHashMap::default(),
            watch: Watch::new(discovery),
            handles,
            retired: false,
            learned: setup.learned,
        };
        core.timers.insert((core.now() + SWEEP, Due::Sweep));
        if let Some(list) = fixed {
            core.set_servers(list);
            return (core, handle);
        }
        let ask_now = core.pushed || at_once || known.is_none();
        if let Some(known) = known
            && let Err(error) = core.on_list(known, true)
        {
            warn!(target: "discovery", "the list in the configuration is not used: {error}");
            core.events.push_back(Event::Members(ListChange::Cached(std::sync::Arc::from([]))));
            core.roster.seq = 0;
        }
        if ask_now {
            core.subscribe();
        }
        (core, handle)
    }

    /// Runs for as long as the process does, or until it is retired and has answered all that it has.
    pub async fn run(mut self) {
        loop {
            self.feed();
            self.fire();
            if self.retired && self.open.is_empty() && self.handles.strong_count() == 0 {
                return;
            }
            let next = self.timers.first().map_or(Nanos::MAX, |(at, _)| *at);
            let wake = self.clock.instant(next);
            tokio::select! {
                message = self.messages.recv() => match message {
                    Some(message) => self.on_message(message),
                    None => return,
                },
                () = sleep_until(wake) => {}
            }
        }
    }

    fn now(&self) -> Nanos {
        self.clock.now()
    }

    /// Tells the recorder, where there is one.
    fn tell(&self, event: &Told) {
        if let Some(tap) = &self.tap {
            tap.record(event);
        }
    }

    /// Events wait in line: what an action brings about is handed over after all actions before it are done.
    fn feed(&mut self) {
        let mut actions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            let listed = matches!(event, Event::Members(_));
            let now = self.now();
            self.balancer.tell_all(self.tap.as_ref().is_some_and(Tap::is_on));
            self.balancer.handle(now, event, &mut actions);
            for note in self.balancer.notes() {
                if note.is_news() {
                    info!(target: "decisions", "{}", self.worded(note));
                }
                self.tell(&Told::Note(*note));
            }
            let now = self.now();
            if let Some(learned) = self.learned.take_if(|learned| listed || learned.age(now) > WORTH)
                && learned.age(now) <= WORTH
            {
                self.balancer.inherit(&learned, now);
                self.learned = Some(learned);
            }
            for action in actions.drain(..) {
                self.act(action);
            }
        }
    }

    /// News as the log has them: servers by their names.
    fn worded(&self, note: &Note) -> String {
        let name = |id: ServerId| self.roster.name(id).map_or_else(|| id.0.to_string(), plain);
        match note {
            Note::Aside { server, span } => {
                let span = *span as f64 / SECOND as f64;
                format!("server {} set aside for {span:.1} s", name(*server))
            }
            Note::Back { server } => format!("server {} is back", name(*server)),
            other => other.to_string(),
        }
    }

    fn fire(&mut self) {
        while let Some(&(at, due)) = self.timers.first() {
            if at > self.now() {
                return;
            }
            self.timers.pop_first();
            match due {
                Due::Timer(token) => self.events.push_back(Event::Timer(TimerToken(token))),
                Due::Overdue(id) => match self.later(RequestId(id)) {
                    Some(later) => drop(self.timers.insert((later, due))),
                    None => self.on_overdue(RequestId(id)),
                },
                Due::Sweep => {
                    self.roster.transport().sweep();
                    self.timers.insert((self.now() + SWEEP, Due::Sweep));
                }
                Due::Subscribe => self.subscribe(),
                Due::Empty => self.set_servers(List { whole: true, ..List::default() }),
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
            Message::Began(id, attempt, served) => {
                // Another copy may have been faster; this one is then dropped, which ends it.
                self.tell(&Told::Began { id, attempt });
                if self.answer(id, Answer::Served(served)) {
                    self.events.push_back(Event::Streaming { id, attempt });
                }
            }
            Message::List(watch, list) => {
                // What an earlier watch said last is old news.
                if self.watch.is_current(watch)
                    && let Err(error) = self.on_list(list, false)
                {
                    self.on_watch_ended(watch, &WatchError::Line(error.to_string()));
                }
            }
            Message::WatchEnded(watch, error) => self.on_watch_ended(watch, &error),
            Message::Moved(address) => {
                if self.watch.moves(address) {
                    // Another service's versions mean nothing to this one: the whole list is asked for.
                    self.roster.seq = 0;
                    self.subscribe();
                }
            }
            Message::Servers(mut list) => {
                self.roster.date(&mut list, self.now() / 1_000_000);
                self.set_servers(list);
            }
            Message::Retune(settings) => {
                if !self.balancer.retune(*settings) {
                    warn!(target: "settings", "settings that can't be changed in place are not used");
                }
            }
            Message::Retire { gone } => {
                self.retired = true;
                self.watch.stop();
                if gone {
                    self.timers.insert((self.now() + GRACE, Due::Empty));
                }
            }
            Message::Restate(names) => {
                if let Some(change) = self.roster.restate(&names) {
                    self.list(change);
                }
            }
            Message::Look(reply) => {
                let ids = self.roster.ids();
                let listed = ids.clone().count();
                let unavailable =
                    ids.filter(|&id| !self.roster.is_ready(id) || self.balancer.avoids(id)).count();
                // Whoever asked may have gone.
                let _ = reply.send(Members { listed, unavailable });
            }
            Message::Learned(reply) => drop(reply.send(self.balancer.knowledge(self.now()))),
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
        let deadline = self.clock.at(arrived) + ask.left.as_nanos() as Nanos;
        if let Some(tap) = self.tap.as_ref().filter(|tap| tap.is_on()) {
            tap.record(&Told::Asked {
                id,
                class: ask.class as u16,
                tenant: ask.tenant.map(|tenant| tenant as u32),
                left: ask.left.as_nanos() as Nanos,
                sending: ask.sending.as_nanos() as Nanos,
                name: Name::new(&ask.correlation),
            });
        }
        let overdue = (deadline + OVERDUE, Due::Overdue(id.0));
        self.timers.insert(overdue);
        let open = Open {
            call: Rc::new(ask.call),
            answer: Some(answer),
            deadline,
            error: None,
            attempts: Vec::new(),
            timers: vec![overdue],
        };
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
        self.tell(&Told::Over { id, how: how(&answer) });
        // A client that has left by now gets no answer, and needs none.
        let _ = sender.send(answer);
        self.free(id);
        true
    }

    fn free(&mut self, id: RequestId) {
        if self.open.get(&id).is_some_and(Open::is_over) {
            let timers = self.open.remove(&id).map_or_else(Vec::new, |open| open.timers);
            for timer in timers {
                self.timers.remove(&timer);
            }
        }
    }

    fn arm(&mut self, at: Nanos, token: TimerToken) {
        let timer = (at, Due::Timer(token.0));
        if let Some(id) = token.request() {
            // Of one that is over it would do nothing.
            let Some(open) = self.open.get_mut(&id) else { return };
            open.timers.push(timer);
        }
        self.timers.insert(timer);
    }

    fn on_client_gone(&mut self, id: RequestId) {
        if self.answer(id, Answer::Left) {
            self.events.push_back(Event::ClientGone(id));
        }
    }

    /// When a request is due whose body still passes through, or has only just: its time counts from its last byte.
    fn later(&self, id: RequestId) -> Option<Nanos> {
        let upload = self.open.get(&id)?.call.rest.as_ref()?;
        let due = match upload.done() {
            Some(done) => self.clock.at(Instant::from_std(done) + upload.left) + OVERDUE,
            None if upload.is_going() => self.now() + SECOND / 10,
            None => return None,
        };
        (due > self.now()).then_some(due)
    }

    /// A body that has gone to one server in part can go to no other: what becomes of its request is no longer a choice.
    fn end_bound(&mut self, id: RequestId, outcome: Outcome) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let Some(upload) = open.call.rest.as_ref().filter(|upload| upload.is_bound()) else { return };
        let (again, broken) = (outcome.never_ran(self.full_unproven), upload.is_broken());
        let too_long = upload.is_too_long();
        let error = open.error.take().map(Answer::Served);
        let given = error.unwrap_or(match outcome {
            _ if too_long => Answer::TooLong,
            _ if broken => Answer::Broken,
            _ if again => Answer::Refused(self.retry_after.then_some(RETRY_AFTER)),
            Outcome::TimedOut => Answer::Late,
            _ => Answer::Failed,
        });
        self.answer(id, given);
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
        End { outcome, answer, refused, took, dial, short }: End,
    ) {
        let took = took.map_or_else(|| self.now().saturating_sub(sent), |took| took.as_nanos() as Nanos);
        let dial = dial.as_nanos() as Nanos;
        self.tell(&Told::Ended { id, attempt, server, outcome, took, dial });
        if short {
            self.tell(&Told::Short(Short::Dial));
        }
        if let Some(open) = self.open.get_mut(&id)
            && let Some(out) = open.attempts.get_mut(usize::from(attempt.0))
        {
            *out = None;
        }
        match answer {
            Some(served) if outcome == Outcome::Ok => {
                self.answer(id, Answer::Served(served));
            }
            Some(error) => {
                if let Some(open) = self.open.get_mut(&id) {
                    open.error = Some(error);
                }
            }
            None => {}
        }
        self.end_bound(id, outcome);
        if !self.watch.has_service() {
            let connected =
                matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Full | Outcome::TimedOut);
            let now_ms = self.now() / 1_000_000;
            if let Some(change) = self.roster.heard(server, refused, connected, now_ms) {
                self.list(change);
            }
        }
        let complete = self.open.get(&id).is_none_or(|open| open.answer.is_none());
        self.events.push_back(Event::Ended(Ended { id, attempt, server, outcome, took, complete }));
        self.free(id);
    }

    // ---- Actions --------------------------------------------------------------------------------

    fn act(&mut self, action: Action) {
        match action {
            Action::Send { id, server, timeout } => self.send(id, server, timeout),
            Action::Refuse { id, retry_after } => {
                // A server's own words tell more than that it may be tried again.
                let error = self.open.get_mut(&id).and_then(|open| open.error.take());
                self.answer(id, error.map_or(Answer::Refused(retry_after), Answer::Served));
            }
            Action::Fail(id) => {
                let now = self.now();
                let Some(open) = self.open.get_mut(&id) else { return };
                let late = now >= open.deadline;
                let error = open.error.take().map(Answer::Served);
                self.answer(id, error.unwrap_or(if late { Answer::Late } else { Answer::Failed }));
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
            Action::Timer { at, token } => self.arm(at, token),
            Action::FreeLinks(server) => {
                if let Some(server) = self.roster.server(server) {
                    server.hang_up();
                }
            }
            Action::Subscribe => self.subscribe(),
            // There is no way to other nodes here; the configuration keeps notes off.
            Action::Tell { .. } => {}
        }
    }

    fn send(&mut self, id: RequestId, server: ServerId, timeout: Option<Nanos>) {
        let now = self.now();
        let Some(open) = self.open.get_mut(&id) else { return };
        let attempt = AttemptNo(open.attempts.len() as u8);
        let told = Told::Sent { id, attempt, server, timeout };
        if let Some(tap) = &self.tap {
            tap.record(&told);
        }
        let end = timeout.map_or(open.deadline, |timeout| open.deadline.min(now + timeout));
        let bound = open.call.rest.as_ref().is_some_and(|upload| upload.is_bound());
        let known = self.roster.server(server).filter(|_| open.answer.is_some() && now < end && !bound);
        let Some(known) = known.cloned() else {
            open.attempts.push(None);
            if let Some(tap) = &self.tap {
                tap.record(&Told::Ended { id, attempt, server, outcome: Outcome::Moot, took: 0, dial: 0 });
            }
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
        let call = open.call.clone();
        let (messages, end) = (self.to_self.clone(), self.clock.instant(end));
        task::spawn_local(async move {
            let to_core = messages.clone();
            let begin = move |served| drop(to_core.send(Message::Began(id, attempt, served)));
            let end = known.attempt(call, end, cancelled, Box::new(begin)).await;
            let _ = messages.send(Message::Ended { id, attempt, server, sent: now, end });
        });
    }

    // ---- The list of backends -------------------------------------------------------------------

    fn subscribe(&mut self) {
        if !self.retired {
            self.watch.begin(self.roster.seq, self.to_self.clone());
        }
    }

    fn on_watch_ended(&mut self, watch: u64, error: &WatchError) {
        if !self.watch.is_current(watch) {
            return;
        }
        self.watch.stop();
        warn!(target: "discovery", "watch lost: {error}");
        if self.pushed {
            self.timers.insert((self.now() + AGENT_PAUSE, Due::Subscribe));
        } else {
            self.events.push_back(Event::Members(ListChange::Failed));
        }
    }

    /// The module hears of the servers, and so does the recorder.
    fn list(&mut self, change: ListChange) {
        if let Some(tap) = &self.tap {
            tap.list(&change, |id| self.roster.name(id));
        }
        self.events.push_back(Event::Members(change));
    }

    fn on_list(&mut self, list: List, cached: bool) -> Result<(), UnknownSite> {
        let change = self.roster.apply(list, cached)?;
        self.list(change);
        Ok(())
    }

    /// Takes the servers of the configuration, whose zones are known.
    fn set_servers(&mut self, list: List) {
        if let Err(error) = self.on_list(list, false) {
            warn!(target: "settings", "the servers of the configuration are not used: {error}");
        }
    }
}

/// How an answer ends a request.
fn how(answer: &Answer) -> How {
    match answer {
        Answer::Served(served) if served.status.is_server_error() => How::ServedFault,
        Answer::Served(_) => How::Served,
        Answer::Refused(_) => How::Refused,
        Answer::Failed => How::Failed,
        Answer::Late => How::Late,
        Answer::Broken | Answer::TooLong => How::Body,
        Answer::Left => How::Left,
    }
}
