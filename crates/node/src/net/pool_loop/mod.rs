//! The event loop of a pool. It passes events to the decision module one at a time and executes the module's actions
//! in order. A node runs one event loop for each pool of endpoints.

mod actions;
mod attempts;
mod config;
mod endpoints;
mod in_flight;
mod messages;
mod requests;
mod stall;
mod timers;
mod watch_task;

use std::cell::Cell;
use std::collections::{BTreeSet, VecDeque};
use std::rc::{Rc, Weak};

use pumicehead_flight_recorder::bounded_text::escape;
use pumicehead_flight_recorder::event::Event as RecordedEvent;
use pumicehead_policy::decision_event::DecisionEvent;
use pumicehead_policy::{Balancer, Discovery, EndpointId, Event, Nanos, RequestId, Settings, WarmState};
use rustc_hash::FxHashMap;
use tokio::sync::mpsc;
use tokio::time::sleep_until;
use tracing::{info, warn};

pub use self::config::{EndpointSource, PoolConfig, WARM_STATE_MAX_AGE};
use self::in_flight::InFlightRequest;
use self::stall::StallDetector;
use self::timers::{SWEEP_INTERVAL, Timer, TimerKind};
use self::watch_task::WatchTask;
use crate::net::active_requests::{ActiveRequestIds, RequestIdGuard};
use crate::net::clock::{Clock, MILLISECOND};
use crate::net::endpoint_directory::EndpointDirectory;
use crate::net::pool_handle::PoolHandle;
use crate::net::pool_message::PoolMessage;
use crate::net::recorder_sink::RecorderSink;

/// The event loop of a pool.
pub struct PoolLoop {
    balancer: Balancer,
    directory: EndpointDirectory,
    messages: mpsc::UnboundedReceiver<PoolMessage>,
    /// For tasks that report to this loop.
    sender: mpsc::UnboundedSender<PoolMessage>,
    clock: Clock,
    recorder: Option<RecorderSink>,
    timers: BTreeSet<Timer>,
    /// Queue of events for the decision module.
    events: VecDeque<Event>,
    in_flight: FxHashMap<RequestId, InFlightRequest>,
    /// Correlation ids of requests that are done and may still be executed by an endpoint, until their deadlines.
    executing_ids: FxHashMap<RequestId, Rc<RequestIdGuard>>,
    /// Whether an agent on this machine pushes the list.
    list_is_pushed: bool,
    /// Copy of `Settings::rejection_may_execute`.
    rejection_may_execute: bool,
    /// `Retry-After` of rejections by the loop itself, if the settings allow one.
    retry_after: Option<Nanos>,
    watch: WatchTask,
    /// Tells whether any handle to this loop is left.
    handle_alive: Weak<Cell<u32>>,
    retired: bool,
    /// Restored for endpoints as they become known, and dropped when it is older than [`WARM_STATE_MAX_AGE`].
    warm_state: Option<WarmState>,
    stall_detector: StallDetector,
}

impl PoolLoop {
    /// Returns a loop that is not running yet, and the handle to it.
    pub fn new(config: PoolConfig, active_requests: ActiveRequestIds) -> (Self, PoolHandle) {
        let PoolConfig {
            settings,
            seed,
            zones,
            endpoints,
            transport,
            overrides,
            warm_state,
            clock,
            recorder,
        } = config;
        let (sender, messages) = mpsc::unbounded_channel();
        let (handle, handle_alive) = PoolHandle::new(sender.clone(), active_requests, recorder.clone());
        let mut pool = Self {
            list_is_pushed: settings.discovery == Discovery::Push,
            rejection_may_execute: settings.rejection_may_execute,
            retry_after: settings.retry_after_hint(),
            balancer: Balancer::new(settings, seed),
            directory: EndpointDirectory::new(zones, transport, overrides),
            messages,
            sender,
            clock,
            recorder,
            timers: BTreeSet::new(),
            events: VecDeque::new(),
            in_flight: FxHashMap::default(),
            executing_ids: FxHashMap::default(),
            watch: WatchTask::new(endpoints.service_address()),
            handle_alive,
            retired: false,
            warm_state,
            stall_detector: StallDetector::default(),
        };
        pool.arm(pool.now() + SWEEP_INTERVAL, TimerKind::SweepIdleConnections);
        pool.load_endpoints(endpoints);
        (pool, handle)
    }

    /// Runs until the loop is retired, all its requests are done and no handle is left.
    pub async fn run(mut self) {
        loop {
            let turn_start = self.now();
            self.dispatch_events();
            self.fire_due_timers();
            let turn_end = self.now();
            if self.check_stall(turn_start, turn_end) {
                continue;
            }
            if self.is_finished() {
                return;
            }
            let next_due = self.timers.first().map_or(Nanos::MAX, |timer| timer.due);
            let wake = self.clock.instant_at(next_due);
            tokio::select! {
                message = self.messages.recv() => match message {
                    Some(message) => self.handle_message(message),
                    None => return,
                },
                () = sleep_until(wake) => {}
            }
            // The event of a message that arrived during a stall is only dispatched after the stall has been
            // reported.
            self.check_stall(next_due.max(turn_end), self.now());
        }
    }

    fn is_finished(&self) -> bool {
        let has_requests = !self.in_flight.is_empty() || !self.executing_ids.is_empty();
        self.retired && !has_requests && self.handle_alive.strong_count() == 0
    }

    /// Checks whether the loop stalled between two times, and reports a stall to the decision module; returns whether
    /// there was one.
    fn check_stall(&mut self, from: Nanos, to: Nanos) -> bool {
        let Some(duration) = self.stall_detector.observe(from, to) else { return false };
        warn!(target: "loop", duration_ms = duration / MILLISECOND, "event loop stalled");
        self.balancer.recover_from_stall(to, duration);
        true
    }

    fn now(&self) -> Nanos {
        self.clock.now()
    }

    fn record(&self, event: &RecordedEvent) {
        if let Some(recorder) = &self.recorder {
            recorder.record(event);
        }
    }

    /// Passes all queued events to the decision module. An event that is caused by an action is passed on after all
    /// actions of the previous event have been executed.
    fn dispatch_events(&mut self) {
        let mut actions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            let endpoints_changed = matches!(event, Event::EndpointsUpdated(_));
            let now = self.now();
            self.balancer
                .record_every_decision(self.recorder.as_ref().is_some_and(RecorderSink::is_recording));
            self.balancer.handle(now, event, &mut actions);
            self.report_decisions(now);
            self.restore_warm_state(endpoints_changed);
            for action in actions.drain(..) {
                self.apply(action);
            }
        }
    }

    /// Logs and records the decisions that the decision module made on an event, with their reasons.
    fn report_decisions(&mut self, now: Nanos) {
        for decision in self.balancer.decision_events() {
            if decision.is_logged() {
                self.log_decision(decision);
            }
            if let Some(recorder) = self.recorder.as_ref().filter(|recorder| recorder.is_recording()) {
                recorder.record_at(now, &RecordedEvent::Decision(*decision));
            }
        }
    }

    fn log_decision(&self, decision: &DecisionEvent) {
        let name = |id: EndpointId| self.directory.name(id).map_or_else(|| id.0.to_string(), escape);
        match decision {
            DecisionEvent::Ejected { endpoint, duration } => info!(
                target: "decisions",
                endpoint = %name(*endpoint),
                duration_ms = duration / MILLISECOND,
                "endpoint ejected"
            ),
            DecisionEvent::Reinstated { endpoint } => {
                info!(target: "decisions", endpoint = %name(*endpoint), "endpoint reinstated");
            }
            other => info!(target: "decisions", "{other}"),
        }
    }

    /// Restores the warm state of endpoints that have become known, and drops it once it is too old.
    fn restore_warm_state(&mut self, endpoints_changed: bool) {
        let now = self.now();
        let is_expired = |state: &WarmState| state.age(now) > WARM_STATE_MAX_AGE;
        let Some(state) = self.warm_state.take_if(|state| endpoints_changed || is_expired(state)) else {
            return;
        };
        if !is_expired(&state) {
            self.balancer.restore_warm_state(&state, now);
            self.warm_state = Some(state);
        }
    }

    /// Replaces the settings of the decision module.
    fn update_settings(&mut self, settings: Settings) {
        if !self.balancer.update_settings(settings) {
            warn!(target: "settings", "settings ignored: they can't be changed without a restart");
        }
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/pool_loop.rs"]
mod tests;
