//! State of one node, and dispatch of events to the modules that make the decisions.
//!
//! The path of a request:
//! 1. `admission` classifies it into a priority tier. If its class is ordered by key, it waits for its turn
//!    (`ordered_keys`) and takes no capacity until then.
//! 2. It joins the queue of its tier (`request_queue`). While there is capacity, the queue is dispatched,
//!    highest tier first.
//! 3. `selection` picks, among the endpoints of this node's subset (`subsetting`) that have capacity, the one
//!    with the lowest product of latency and requests in flight.
//! 4. `attempts` starts the attempt once `attempt_guard` has permitted it. `slow_start` protects endpoints
//!    that have just started; `endpoints` closes the idle connections to draining ones.
//! 5. Without capacity, the request stays queued. It is rejected if its tier is one of the lower ones and the
//!    expected wait is too long (`admission`), or when its time is nearly over, whatever its tier.
//! 6. When an attempt ends, latencies, limits and outlier detection are updated (`attempts`). Then `retry`
//!    answers or retries the request, or lets it wait.
//! 7. `final_answer` gives every final answer that this node gives itself.

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

/// Balancing decisions of one node.
pub struct Balancer {
    pub(crate) settings: Settings,
    /// Number of nodes and index of this one, if the nodes have agreed on them.
    pub(crate) node_share: Option<NodeShare>,
    rng: Pcg64Mcg,
    pub(crate) now: Nanos,
    pub(crate) endpoints: EndpointTable,
    pub(crate) discovery: DiscoveryWatch,
    pub(crate) subset: Subset,
    /// Whether most endpoints of the subset look like outliers, so that none is treated as one.
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
    /// Whether requests have been rejected for overload since the queue was last empty.
    pub(crate) overloaded: bool,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) decision_log: DecisionLog,
}

impl Balancer {
    /// Returns a node that knows no endpoints yet. `settings` should have passed [`Settings::check`].
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

    /// Handles one event at `now` and appends the resulting actions to `actions`.
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
            // The attempt whose response is being streamed continues; other copies are cancelled.
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
            // Every event looks for keys whose cooldown is over.
            Some(Timer::KeyCooldown) | None => {}
        }
    }

    /// Arms a timer, for the next nanosecond at the earliest.
    pub(crate) fn arm(&self, at: Nanos, timer: Timer, actions: &mut Vec<Action>) {
        actions.push(Action::ArmTimer { at: at.max(self.now + 1), token: timer.encode() });
    }

    /// Returns a random number of at least 0 and less than 1.
    pub(crate) fn random(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Returns the settings of a class.
    pub(crate) fn class(&self, class: ClassId) -> &Class {
        &self.settings.classes[usize::from(class.0)]
    }
}
