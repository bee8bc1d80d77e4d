//! The event loop: feeds the module one event at a time and carries out its actions in their order. The only
//! place that knows both requests and the ids of the module. A node has one loop for each pool of servers.

mod actions;
mod in_flight;
mod requests;
mod stall;

use std::cell::Cell;
use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use pumicehead_flight_recorder::event::Event as Told;
use pumicehead_flight_recorder::text::plain;
use pumicehead_policy::decision_event::DecisionEvent;
use pumicehead_policy::{Balancer, WarmState};
use pumicehead_policy::{
    Discovery, EndpointId, EndpointUpdate, Event, Nanos, RequestId, SECOND, Settings, TimerToken,
};
use rustc_hash::FxHashMap;
use tokio::sync::mpsc;
use tokio::time::sleep_until;
use tracing::{info, warn};

use self::stall::StallDetector;
use crate::net::admin_overrides::AdminOverrides;
use crate::net::clock::Clock;
use crate::net::discovery::watch_task::WatchTask;
use crate::net::discovery::{EndpointList, WatchError};
use crate::net::endpoint_directory::{EndpointDirectory, UnknownZoneError};
use crate::net::exchange::FinalResponse;
use crate::net::pool_handle::{ActiveRequestIds, PoolHandle};
use crate::net::pool_loop::in_flight::{InFlightRequest, TimerKind};
use crate::net::pool_message::{EndpointCounts, PoolMessage};
use crate::net::recorder_sink::RecorderSink;
use crate::net::upstream::transport::Transport;

/// A request that has no final answer this long after its deadline gets one from the event loop: the module
/// answers earlier, by the time-out of its attempts or its own timers.
const OVERDUE: Nanos = SECOND / 100;
/// What an earlier process has learned is taken over for so long.
pub const WARM_STATE_MAX_AGE: Nanos = 30 * SECOND;
/// How often idle connections are looked over.
const SWEEP: Nanos = SECOND;
/// Pause before an agent that pushes the list is asked again.
pub const AGENT_RETRY_DELAY: Duration = Duration::from_millis(250);
/// A pool that is gone from the configuration serves the requests it has for so long; from then on nothing new is
/// sent, well within the 2 s in which a drain must be kept.
const GRACE: Nanos = SECOND;

/// Where a loop's list of servers comes from.
pub enum EndpointSource {
    /// A service is watched, after the list that was known last.
    Watch {
        /// Its address.
        address: SocketAddr,
        /// The list as it was known last; where there is none, the service is asked at once.
        last_list: Option<EndpointList>,
        /// It is asked at once all the same, and not when the module thinks best: this process takes over from another,
        /// whose news bind it.
        poll_at_start: bool,
    },
    /// The configuration has it.
    Fixed(EndpointList),
}

/// What a loop is made of.
pub struct PoolConfig {
    /// What the module is told.
    pub settings: Settings,
    /// For its random numbers.
    pub seed: u64,
    /// The zones, by name.
    pub zones: Vec<String>,
    /// Its servers.
    pub endpoints: EndpointSource,
    /// How attempts travel.
    pub transport: Rc<dyn Transport>,
    /// Servers taken out by hand.
    pub overrides: Rc<AdminOverrides>,
    /// What an earlier process of this node has learned.
    pub warm_state: Option<WarmState>,
    /// The node's clock.
    pub clock: Clock,
    /// The way to the recorder, where there is one.
    pub recorder: Option<RecorderSink>,
}

/// The event loop's state.
pub struct PoolLoop {
    balancer: Balancer,
    roster: EndpointDirectory,
    messages: mpsc::UnboundedReceiver<PoolMessage>,
    to_self: mpsc::UnboundedSender<PoolMessage>,
    clock: Clock,
    tap: Option<RecorderSink>,
    timers: BTreeSet<(Nanos, TimerKind)>,
    events: VecDeque<Event>,
    open: FxHashMap<RequestId, InFlightRequest>,
    pushed: bool,
    /// As `Settings::rejection_may_execute`.
    full_unproven: bool,
    /// Advice with a refusal of what could not be sent again, where the settings allow any.
    advice: Option<Nanos>,
    watch: WatchTask,
    /// Ways to this loop that are left: a request may still be on its way to be asked.
    handles: Weak<Cell<u32>>,
    retired: bool,
    /// Taken over as servers become known, for as long as it is worth anything.
    learned: Option<WarmState>,
    stalls: StallDetector,
}

impl PoolLoop {
    /// An event loop that has not begun, and the way to it.
    pub fn new(setup: PoolConfig, held: ActiveRequestIds) -> (Self, PoolHandle) {
        let (to_self, messages) = mpsc::unbounded_channel();
        let (handle, handles) = PoolHandle::new(to_self.clone(), held, setup.recorder.clone());
        let (discovery, known, at_once, fixed) = match setup.endpoints {
            EndpointSource::Watch { address, last_list, poll_at_start } => {
                (Some(address), last_list, poll_at_start, None)
            }
            EndpointSource::Fixed(list) => (None, None, false, Some(list)),
        };
        let mut core = Self {
            pushed: setup.settings.discovery == Discovery::Push,
            full_unproven: setup.settings.rejection_may_execute,
            advice: setup.settings.retry_after_hint(),
            balancer: Balancer::new(setup.settings, setup.seed),
            roster: EndpointDirectory::new(setup.zones, setup.transport, setup.overrides),
            messages,
            to_self,
            clock: setup.clock,
            tap: setup.recorder,
            timers: BTreeSet::new(),
            events: VecDeque::new(),
            open: FxHashMap::default(),
            watch: WatchTask::new(discovery),
            handles,
            retired: false,
            learned: setup.warm_state,
            stalls: StallDetector::default(),
        };
        core.timers.insert((core.now() + SWEEP, TimerKind::SweepIdleConnections));
        if let Some(list) = fixed {
            core.set_servers(list);
            return (core, handle);
        }
        let ask_now = core.pushed || at_once || known.is_none();
        if let Some(known) = known
            && let Err(error) = core.on_list(known, true)
        {
            warn!(target: "discovery", "the list in the configuration is not used: {error}");
            core.events
                .push_back(Event::EndpointsUpdated(EndpointUpdate::Restored(std::sync::Arc::from([]))));
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
            let turned = self.now();
            self.feed();
            self.fire();
            let done = self.now();
            if self.stood_still(turned, done) {
                continue;
            }
            if self.retired && self.open.is_empty() && self.handles.strong_count() == 0 {
                return;
            }
            let next = self.timers.first().map_or(Nanos::MAX, |(at, _)| *at);
            let wake = self.clock.instant_at(next);
            tokio::select! {
                message = self.messages.recv() => match message {
                    Some(message) => self.on_message(message),
                    None => return,
                },
                () = sleep_until(wake) => {}
            }
            // What came while it stood still is told of after that.
            self.stood_still(next.max(done), self.now());
        }
    }

    /// Tells the module where this loop got no further from one time to another, and should have.
    fn stood_still(&mut self, from: Nanos, to: Nanos) -> bool {
        let Some(span) = self.stalls.seen(from, to) else { return false };
        warn!(target: "loop", "stood still for {:.1} s; nothing is learned from it", span as f64 / SECOND as f64);
        self.balancer.recover_from_stall(to, span);
        true
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
            let listed = matches!(event, Event::EndpointsUpdated(_));
            let now = self.now();
            self.balancer.record_every_decision(self.tap.as_ref().is_some_and(RecorderSink::is_recording));
            self.balancer.handle(now, event, &mut actions);
            for note in self.balancer.decision_events() {
                if note.is_logged() {
                    info!(target: "decisions", "{}", self.worded(note));
                }
                if let Some(tap) = self.tap.as_ref().filter(|tap| tap.is_recording()) {
                    tap.record_at(now, &Told::Note(*note));
                }
            }
            let now = self.now();
            if let Some(learned) =
                self.learned.take_if(|learned| listed || learned.age(now) > WARM_STATE_MAX_AGE)
                && learned.age(now) <= WARM_STATE_MAX_AGE
            {
                self.balancer.restore_warm_state(&learned, now);
                self.learned = Some(learned);
            }
            for action in actions.drain(..) {
                self.act(action);
            }
        }
    }

    /// News as the log has them: servers by their names.
    fn worded(&self, note: &DecisionEvent) -> String {
        let name = |id: EndpointId| self.roster.name(id).map_or_else(|| id.0.to_string(), plain);
        match note {
            DecisionEvent::Ejected { endpoint, duration } => {
                let span = *duration as f64 / SECOND as f64;
                format!("server {} set aside for {span:.1} s", name(*endpoint))
            }
            DecisionEvent::Reinstated { endpoint } => format!("server {} is back", name(*endpoint)),
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
                TimerKind::Policy(token) => self.events.push_back(Event::TimerFired(TimerToken(token))),
                TimerKind::RequestOverdue(_) if !self.messages.is_empty() => {
                    // Its answer may be among what was told before: a loop that is late must not throw that away.
                    self.timers.insert((at, due));
                    self.hear();
                }
                TimerKind::RequestOverdue(id) => match self.later(RequestId(id)) {
                    Some(later) => drop(self.timers.insert((later, due))),
                    None => self.on_overdue(RequestId(id)),
                },
                TimerKind::SweepIdleConnections => {
                    self.roster.transport().sweep();
                    self.timers.insert((self.now() + SWEEP, TimerKind::SweepIdleConnections));
                }
                TimerKind::RetryWatch => self.ask_for_list(),
                TimerKind::ClearEndpoints => {
                    self.set_servers(EndpointList { complete: true, ..EndpointList::default() })
                }
            }
            self.feed();
        }
    }

    /// Takes what has been told by now, one at a time.
    fn hear(&mut self) {
        for _ in 0..self.messages.len() {
            let Ok(message) = self.messages.try_recv() else { return };
            self.on_message(message);
            self.feed();
        }
    }

    fn on_message(&mut self, message: PoolMessage) {
        match message {
            PoolMessage::Request(id, ask, arrived, answer, name) => {
                self.on_request(id, *ask, arrived, answer, name);
            }
            PoolMessage::ClientDisconnected(id) => self.on_client_gone(id),
            PoolMessage::AttemptEnded { id, attempt, server, sent, end } => {
                self.on_ended(id, attempt, server, sent, end)
            }
            PoolMessage::ResponseStarted(id, attempt, served) => {
                // Another copy may have been faster; this one is then dropped, which ends it.
                self.tell(&Told::Began { id, attempt });
                if self.answer(id, FinalResponse::Upstream(served)) {
                    self.events.push_back(Event::ResponseStarted { id, attempt });
                }
            }
            PoolMessage::ListReceived(watch, list) => {
                // What an earlier watch said last is old news.
                if self.watch.is_current(watch)
                    && let Err(error) = self.on_list(list, false)
                {
                    self.on_watch_ended(watch, &WatchError::MalformedList(error.to_string()));
                }
            }
            PoolMessage::WatchEnded(watch, error) => self.on_watch_ended(watch, &error),
            PoolMessage::DiscoveryMoved(address) => {
                if self.watch.set_address(address) {
                    // Another service's versions mean nothing to this one: the whole list is asked for.
                    self.roster.seq = 0;
                    self.subscribe();
                }
            }
            PoolMessage::SetEndpoints(mut list) => {
                self.roster.date(&mut list, self.now() / 1_000_000);
                self.set_servers(list);
            }
            PoolMessage::UpdateSettings(settings) => {
                if !self.balancer.update_settings(*settings) {
                    warn!(target: "settings", "settings that can't be changed in place are not used");
                }
            }
            PoolMessage::SetNodeShare(sharing) => {
                self.tell(&Told::Sharing { nodes: sharing.node_count, number: sharing.node_index });
                self.events.push_back(Event::NodeShare(sharing));
            }
            PoolMessage::Retire { gone } => {
                self.retired = true;
                self.watch.stop();
                if gone {
                    self.timers.insert((self.now() + GRACE, TimerKind::ClearEndpoints));
                }
            }
            PoolMessage::RefreshOverrides(names) => {
                if let Some(change) = self.roster.restate(&names) {
                    self.list(change);
                }
            }
            PoolMessage::CountEndpoints(reply) => {
                let ids = self.roster.ids();
                let listed = ids.clone().count();
                let unavailable =
                    ids.filter(|&id| !self.roster.is_ready(id) || self.balancer.avoids(id)).count();
                // Whoever asked may have gone.
                let _ = reply.send(EndpointCounts { listed, unavailable });
            }
            PoolMessage::GetWarmState(reply) => drop(reply.send(self.balancer.warm_state(self.now()))),
            PoolMessage::FailAll => {
                let open: Vec<_> = self.open.keys().copied().collect();
                for id in open {
                    self.on_overdue(id);
                    // At once, or the place that this one leaves would go to another that is over already.
                    self.feed();
                }
            }
        }
    }

    // ---- The list of backends -------------------------------------------------------------------

    /// Begins a watch, in place of any that is under way.
    fn subscribe(&mut self) {
        if !self.retired {
            self.watch.start(self.roster.seq, self.pushed, self.to_self.clone());
        }
    }

    /// A timer wants the list. It may have been armed before the service moved, or before the watch that is under way
    /// began: one that has not spoken yet is as good as any new one, which would wait behind it. Its end asks again.
    fn ask_for_list(&mut self) {
        if !self.watch.is_running() {
            self.subscribe();
        }
    }

    fn on_watch_ended(&mut self, watch: u64, error: &WatchError) {
        if !self.watch.is_current(watch) {
            return;
        }
        self.watch.stop();
        warn!(target: "discovery", "watch lost: {error}");
        if self.pushed {
            let pause = AGENT_RETRY_DELAY.as_nanos() as Nanos;
            self.timers.insert((self.now() + pause, TimerKind::RetryWatch));
        } else {
            self.events.push_back(Event::EndpointsUpdated(EndpointUpdate::WatchFailed));
        }
    }

    /// The module hears of the servers, and so does the recorder.
    fn list(&mut self, change: EndpointUpdate) {
        if let Some(tap) = &self.tap {
            tap.record_endpoints(&change, |id| self.roster.name(id));
        }
        self.events.push_back(Event::EndpointsUpdated(change));
    }

    fn on_list(&mut self, list: EndpointList, cached: bool) -> Result<(), UnknownZoneError> {
        let change = self.roster.apply(list, cached)?;
        self.list(change);
        Ok(())
    }

    /// Takes the servers of the configuration, whose zones are known.
    fn set_servers(&mut self, list: EndpointList) {
        if let Err(error) = self.on_list(list, false) {
            warn!(target: "settings", "the servers of the configuration are not used: {error}");
        }
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/pool_loop.rs"]
mod tests;
