//! The state of one node and the dispatch of events to the rules; nothing is decided here.
//!
//! The path of a request:
//! 1. `admission` classifies it into a priority tier. If its class is ordered by key, it waits for its turn
//!    (`ordered_keys`) and takes no capacity until then.
//! 2. It joins its tier's queue (`request_queue`), from which the highest tier is dispatched first while
//!    there is capacity.
//! 3. `selection` picks, among the endpoints of this node's subset (`subsetting`) with capacity, the one with
//!    the least latency times requests in flight.
//! 4. `attempts` starts the attempt after `attempt_guard` has allowed it. Endpoints in slow start are
//!    protected by `slow_start`, draining ones lose their idle connections in `endpoints`.
//! 5. Without capacity it stays queued. Requests of the lower tiers are rejected if the expected wait is too
//!    long (`admission`), any queued one when its time is nearly over.
//! 6. The end of an attempt teaches latency, limits and outliers (`attempts`); then `retry` answers, retries
//!    or waits.
//! 7. Every final answer that this node gives itself comes from `final_answer`.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rustc_hash::FxHashMap;

use crate::capacity_advice::CurrentAdvice;
use crate::concurrency_limit::ConcurrencyLimiter;
use crate::decision_log::DecisionLog;
use crate::discovery_poll::DiscoveryWatch;
use crate::endpoints::EndpointTable;
use crate::event_loop_stall::StallRecovery;
use crate::latency::LatencyEstimator;
use crate::load_reports::LoadReporting;
use crate::ordered_keys::OrderedKeys;
use crate::request::Request;
use crate::request_queue::RequestQueue;
use crate::retry::RetryBudget;
use crate::subsetting::{REFRESH_INTERVAL, Subset};
use crate::tenant_table::TenantTable;
use crate::timer::Timer;
use crate::traffic_stats::TrafficStats;
use crate::{Action, Class, ClassId, Event, Nanos, NodeShare, RequestId, Settings, TimerToken};

/// The decisions of one node.
pub struct Balancer {
    pub(crate) settings: Settings,
    /// The number of nodes and this one's index, where the nodes themselves agreed on them.
    pub(crate) node_share: Option<NodeShare>,
    rng: Pcg64Mcg,
    pub(crate) now: Nanos,
    pub(crate) endpoints: EndpointTable,
    pub(crate) discovery: DiscoveryWatch,
    pub(crate) subset: Subset,
    /// Most endpoints of the subset look like outliers, so none is treated as one.
    pub(crate) panic_mode: bool,
    pub(crate) latencies: LatencyEstimator,
    pub(crate) limiter: ConcurrencyLimiter,
    pub(crate) traffic: TrafficStats,
    pub(crate) stall: StallRecovery,
    pub(crate) reporting: LoadReporting,
    pub(crate) advice: CurrentAdvice,
    pub(crate) tenants: TenantTable,
    pub(crate) requests: FxHashMap<RequestId, Request>,
    pub(crate) ordered_keys: OrderedKeys,
    pub(crate) queue: RequestQueue,
    /// Requests have been rejected for overload since the queue was last empty.
    pub(crate) overloaded: bool,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) decision_log: DecisionLog,
}

impl Balancer {
    /// A node that knows no endpoint yet. `settings` should have passed [`Settings::check`].
    #[must_use]
    pub fn new(settings: Settings, seed: u64) -> Self {
        Self {
            latencies: LatencyEstimator::new(&settings),
            settings,
            node_share: None,
            rng: Pcg64Mcg::seed_from_u64(seed),
            now: 0,
            endpoints: EndpointTable::default(),
            discovery: DiscoveryWatch::default(),
            subset: Subset::default(),
            panic_mode: false,
            limiter: ConcurrencyLimiter::default(),
            traffic: TrafficStats::default(),
            stall: StallRecovery::default(),
            reporting: LoadReporting::default(),
            advice: CurrentAdvice::default(),
            tenants: TenantTable::default(),
            requests: FxHashMap::default(),
            ordered_keys: OrderedKeys::default(),
            queue: RequestQueue::default(),
            overloaded: false,
            retry_budget: RetryBudget::default(),
            decision_log: DecisionLog::default(),
        }
    }

    /// Decides on one event at `now` and appends what is to be done to `actions`.
    pub fn handle(&mut self, now: Nanos, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        self.decision_log.clear();
        if self.now >= self.subset.refreshed_at + REFRESH_INTERVAL {
            self.refresh();
        }
        while let Some(key) = self.ordered_keys.pop_cooled_down(self.now) {
            self.enqueue_next_of_key(key);
        }
        self.on_event(event, actions);
        self.dispatch(actions);
        self.send_due_load_report(actions);
    }

    fn on_event(&mut self, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointsUpdated(update) => self.on_endpoints_updated(&update, actions),
            Event::Request(request) => self.on_request(&request, actions),
            Event::AttemptEnded(ended) => self.on_attempt_ended(&ended, actions),
            // The attempt whose response is on its way to the client goes on; other copies are cancelled.
            Event::ResponseStarted { id, attempt } => self.end_request(id, Some(attempt), actions),
            Event::ClientDisconnected(id) => self.end_request(id, None, actions),
            Event::TimerFired(token) => self.on_timer(token, actions),
            Event::CapacityAdvice(advice) => self.advice.replace(&advice, self.now),
            Event::NodeShare(share) => self.on_node_share(share),
            Event::LoadReport { from, body } => self.reporting.peers.record(from, &body, self.now),
        }
    }

    fn on_timer(&mut self, token: TimerToken, actions: &mut Vec<Action>) {
        match Timer::decode(token) {
            Some(Timer::QueueTimeout(id)) => self.on_queue_timeout(id, actions),
            Some(Timer::Hedge(id)) => self.on_hedge_timer(id, actions),
            Some(Timer::Retry(id)) => self.retry_or_answer(id, actions),
            Some(Timer::Dispatch) => self.queue.dispatch_timer_armed = false,
            Some(Timer::DiscoveryPoll) => self.on_discovery_poll_timer(actions),
            Some(Timer::CloseIdleConnections(id)) => self.on_close_idle_timer(id, actions),
            // Keys whose cooldown is over are found at every event.
            Some(Timer::KeyCooldown) | None => {}
        }
    }

    /// Arms a timer, at the earliest for the next nanosecond.
    pub(crate) fn arm(&self, at: Nanos, timer: Timer, actions: &mut Vec<Action>) {
        actions.push(Action::ArmTimer { at: at.max(self.now + 1), token: timer.encode() });
    }

    /// A random number, at least 0 and less than 1.
    pub(crate) fn random(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// The settings of a class.
    pub(crate) fn class(&self, class: ClassId) -> &Class {
        &self.settings.classes[usize::from(class.0)]
    }
}
