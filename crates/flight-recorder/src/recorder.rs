//! The recorder: takes events in, decides whose story stays, and books what was earned and lost.

use pumicehead_policy::decision_event::{DecisionEvent, ExclusionReasons};
use pumicehead_policy::{AttemptOutcome, EndpointId, Nanos, RequestId, SECOND};
use rustc_hash::FxHashMap;

use crate::bounded_text::BoundedName;
use crate::code_tables::outcome_index;
use crate::event::{Event, ExhaustedResource, ListenerRejection, PoolId, RequestOutcome};
use crate::event_ring::{EventRing, append_record};
use crate::loss_cause::{LossCause, to_micro_weight};
use crate::loss_ledger::{EndpointKey, LossKey, LossLedger, NO_ENDPOINT, TrafficKey};
use crate::metrics::RequestMetrics;
use crate::recording::{PoolHeader, RecordingHeader};
use crate::request_progress::{LossAssessment, RequestProgress};
pub use crate::request_timeline::{ClassInfo, RequestTimeline};
use crate::reservoir::Reservoir;
use crate::tenant_names::TenantNames;

/// Most that the story of one request takes: some forty events. What comes beyond is in the ring alone.
const LONGEST_STORY: usize = 1_024;
/// What a story takes beside its events.
const STORY: usize = 160;
/// What a request that is open takes beside its events.
const OPEN: usize = 320;
/// A request that took more of the time to its aim was slow.
const SLOW: f64 = 0.8;
/// A limit is recorded again when it has moved by this factor.
const MOVED: f32 = 1.1;
/// Groups of class and tenant whose rates are told apart for a fair sample; the rest count as one.
const GROUPS: usize = 1_024;
/// Servers whose recorded limits are remembered.
const LIMITS: usize = 20_000;
/// Memory of how often a group comes.
const GROUP_SPAN: Nanos = 60 * SECOND;
/// The least memory that a recorder is of use with.
pub const MIN_MEMORY: usize = 64 << 10;

/// How much is recorded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// Nothing.
    Off,
    /// Sums, and the stories of requests that matter.
    #[default]
    On,
    /// Every limit that moves and every server that is passed over as well.
    Full,
}

impl RequestTimeline {
    fn size(&self) -> usize {
        STORY + self.encoded_events.len() + self.name.prefix.len()
    }
}

struct Open {
    life: RequestProgress,
    class: u16,
    tenant: Option<u32>,
    name: BoundedName,
    page: Vec<u8>,
    last: Nanos,
    cut: bool,
    verdict: Option<(LossAssessment, Nanos, RequestOutcome)>,
    hurdles: Option<ExclusionReasons>,
}

/// How often a group of class and tenant has come lately.
#[derive(Clone, Copy, Default)]
struct Group {
    sum: f64,
    at: Nanos,
}

/// The recorder of a node.
pub struct Recorder {
    head: RecordingHeader,
    level: Level,
    memory: usize,
    ring: EventRing,
    /// Stories of requests that failed, were refused, were tried again or were slow; and of a fair sample of the rest.
    kept: [Reservoir<Box<RequestTimeline>>; 2],
    accounts: LossLedger,
    /// Boxed: tables and heaps move what they hold.
    open: FxHashMap<(PoolId, RequestId), Box<Open>>,
    open_size: usize,
    groups: FxHashMap<(PoolId, u16, u32), Group>,
    limits: FxHashMap<(PoolId, EndpointId), f32>,
    meters: RequestMetrics,
    scratch: Vec<u8>,
    spare: Vec<Vec<u8>>,
    untold: u64,
}

impl Recorder {
    /// Of at most so many bytes: three eighths each for the ring and for stories, and an eighth each for requests that
    /// are open and for sums. The names of pools, classes and servers, and the meters, come beside it.
    #[must_use]
    pub fn new(node: &str, start: Nanos, memory: usize, seed: u64) -> Self {
        let memory = memory.max(MIN_MEMORY);
        let stories = memory / 8 * 3;
        Self {
            head: RecordingHeader::new(node, start),
            level: Level::On,
            memory,
            ring: EventRing::new(memory / 8 * 3),
            kept: [Reservoir::new(stories / 3 * 2, seed), Reservoir::new(stories / 3, seed ^ 1)],
            accounts: LossLedger::new(start, memory / 8),
            open: FxHashMap::default(),
            open_size: 0,
            groups: FxHashMap::default(),
            limits: FxHashMap::default(),
            meters: RequestMetrics::default(),
            scratch: Vec::with_capacity(256),
            spare: Vec::new(),
            untold: 0,
        }
    }

    /// A pool with its classes; one that is known by its name goes on under its number.
    pub fn register_pool(&mut self, name: &str, classes: &[ClassInfo]) -> PoolId {
        let place = self.head.pools.iter().position(|pool| pool.name == name).unwrap_or_else(|| {
            self.head.pools.push(PoolHeader { name: name.into(), ..PoolHeader::default() });
            self.head.pools.len() - 1
        });
        let pool = &mut self.head.pools[place];
        pool.classes = classes.iter().map(Into::into).collect();
        PoolId(place as u16)
    }

    /// What the tenants of all pools are called from now on.
    pub fn name_tenants(&mut self, names: TenantNames) {
        self.head.tenants = names;
    }

    /// What a server is called.
    pub fn name_endpoint(&mut self, pool: PoolId, server: EndpointId, name: &str) {
        if let Some(pool) = self.head.pools.get_mut(usize::from(pool.0)) {
            pool.name_server(server.0, name);
        }
    }

    /// How much is recorded from now on.
    pub fn set_level(&mut self, level: Level) {
        self.level = level;
        if level == Level::Off {
            self.open.clear();
            self.open_size = 0;
        }
    }

    /// How much is recorded.
    #[must_use]
    pub fn level(&self) -> Level {
        self.level
    }

    /// Takes an event in.
    pub fn record(&mut self, at: Nanos, pool: PoolId, event: &Event) {
        if self.level == Level::Off || !self.is_worth(at, pool, event) {
            return;
        }
        let mut scratch = std::mem::take(&mut self.scratch);
        scratch.clear();
        event.encode(&mut scratch);
        self.ring.push(at, pool, &scratch);
        match event {
            Event::RequestAdmitted { id, class, tenant, upload_time, name, .. } => {
                self.begin(at, (pool, *id), *class, *tenant, *upload_time, name);
            }
            Event::RejectedByListener { class, reason } => self.book_turned(at, pool, *class, *reason),
            Event::ResourceExhausted(what) => {
                self.accounts.resource_exhaustions
                    [usize::from(*what == ExhaustedResource::UpstreamConnection)] += 1
            }
            Event::Decision(DecisionEvent::Ejected { endpoint, duration }) => {
                let key = EndpointKey { pool, endpoint: endpoint.0 };
                self.accounts.endpoints.row_mut(at, key).ejected_us += duration / 1_000;
            }
            Event::AttemptEnded { endpoint, outcome, duration, connect_time, id, .. } => {
                self.book_attempt(at, pool, *id, *endpoint, *outcome, (*duration, *connect_time));
            }
            _ => {}
        }
        if let Some(id) = event.request() {
            self.tell(at, (pool, id), event, &scratch);
        }
        self.scratch = scratch;
    }

    /// Whether it is worth a record: what is said again and again is not.
    fn is_worth(&mut self, at: Nanos, pool: PoolId, event: &Event) -> bool {
        match event {
            Event::Decision(DecisionEvent::NoEndpointAvailable { id, exclusions }) => {
                match self.open.get_mut(&(pool, *id)) {
                    Some(open) => {
                        open.hurdles.replace(*exclusions) != Some(*exclusions) || self.level == Level::Full
                    }
                    None => false,
                }
            }
            Event::Decision(DecisionEvent::LimitChanged { endpoint, from, to, .. }) => {
                self.accounts
                    .endpoints
                    .row_mut(at, EndpointKey { pool, endpoint: endpoint.0 })
                    .concurrency_limit = *to;
                if self.limits.len() >= LIMITS {
                    self.limits.clear();
                }
                let last = self.limits.entry((pool, *endpoint)).or_insert(*from);
                let moved = *to > *last * MOVED || *to * MOVED < *last || self.level == Level::Full;
                if moved {
                    *last = *to;
                }
                moved
            }
            Event::Decision(DecisionEvent::AllLimitsChanged { factor, .. }) => {
                self.level == Level::Full || *factor > MOVED || *factor * MOVED < 1.0
            }
            _ => true,
        }
    }

    fn begin(
        &mut self,
        at: Nanos,
        key: (PoolId, RequestId),
        class: u16,
        tenant: Option<u32>,
        sending: Nanos,
        name: &BoundedName,
    ) {
        if self.open_size + OPEN + name.prefix.len() > self.memory / 8 {
            self.untold += 1;
            return;
        }
        let known = self.class(key.0, class);
        let (worth, late, aim) = known
            .map_or((1.0, 0.0, Nanos::MAX), |c| (c.priority_weight, c.late_weight, c.latency_objective_ns));
        let last = at / crate::event_ring::TIME_UNIT * crate::event_ring::TIME_UNIT;
        let mut page = self.spare.pop().unwrap_or_default();
        page.extend_from_slice(&last.to_le_bytes());
        let life = RequestProgress::new(at, sending, worth, late, aim);
        let name = name.clone();
        self.open_size += OPEN + name.prefix.len() + page.len();
        let open = Open { life, class, tenant, name, page, last, cut: false, verdict: None, hurdles: None };
        if let Some(old) = self.open.insert(key, Box::new(open)) {
            // Numbers come round; one whose end was never told makes way.
            self.open_size -= OPEN + old.name.prefix.len() + old.page.len();
        }
    }

    fn class(&self, pool: PoolId, class: u16) -> Option<&crate::recording::ClassHeader> {
        self.head.pools.get(usize::from(pool.0))?.classes.get(usize::from(class))
    }

    /// Adds an event to the story of its request.
    fn tell(&mut self, at: Nanos, key: (PoolId, RequestId), event: &Event, bytes: &[u8]) {
        let most = self.memory / 8;
        let Some(open) = self.open.get_mut(&key) else { return };
        let before = open.page.len();
        // A record's own numbers take ten bytes or so.
        if before + bytes.len() + 16 <= LONGEST_STORY && self.open_size + bytes.len() + 16 <= most {
            append_record(&mut open.page, &mut open.last, at, key.0, bytes);
            self.open_size += open.page.len() - before;
        } else {
            open.cut = true;
        }
        open.life.observe(at, event);
        if let Event::RequestEnded { outcome, .. } = event
            && open.verdict.is_none()
        {
            let verdict = open.life.assess(at, *outcome);
            open.verdict = Some((verdict, at, *outcome));
            let class = open.class;
            self.book(at, key.0, class, &verdict);
        }
        let Some(open) = self.open.get(&key) else { return };
        if open.verdict.is_some() && open.life.in_flight() == 0 {
            self.close(key);
        }
    }

    /// Books a request's end.
    fn book(&mut self, at: Nanos, pool: PoolId, class: u16, verdict: &LossAssessment) {
        let flow = self.accounts.traffic.row_mut(at, TrafficKey { pool, class });
        flow.requests += 1;
        flow.offered += verdict.offered;
        flow.earned += verdict.earned;
        if let Some(cause) = verdict.cause {
            let server = verdict.endpoint.map_or(NO_ENDPOINT, |server| server.0);
            let loss = self
                .accounts
                .losses
                .row_mut(at, LossKey { pool, class, cause: cause.code(), endpoint: server });
            loss.requests += 1;
            loss.lost += verdict.lost();
        }
    }

    fn book_turned(&mut self, at: Nanos, pool: PoolId, class: u16, why: ListenerRejection) {
        let worth = self.class(pool, class).map_or(0, |class| to_micro_weight(class.priority_weight));
        let cause = Some(LossCause::from_rejection(why));
        let verdict =
            LossAssessment { offered: worth, earned: 0, cause, endpoint: None, no_retry_reason: None };
        self.book(at, pool, class, &verdict);
        self.meters.request_rejected(why);
    }

    fn book_attempt(
        &mut self,
        at: Nanos,
        pool: PoolId,
        id: RequestId,
        server: EndpointId,
        outcome: AttemptOutcome,
        (took, dial): (Nanos, Nanos),
    ) {
        let micros = took / 1_000;
        let class = self.open.get(&(pool, id)).map(|open| open.class);
        let mut stretch = 0;
        if let Some(class) = class {
            let flow = self.accounts.traffic.row_mut(at, TrafficKey { pool, class });
            if outcome == AttemptOutcome::Success {
                flow.answered_attempts += 1;
                flow.answered_us += micros;
                flow.fastest_us_plus_one = if flow.fastest_us_plus_one == 0 {
                    micros + 1
                } else {
                    flow.fastest_us_plus_one.min(micros + 1)
                };
                let mean = (flow.answered_us / flow.answered_attempts).max(1);
                // A stretch over a hundred says no more than a hundred.
                stretch = (micros * 1_000 / mean).min(100_000);
            } else {
                flow.unanswered_attempts += 1;
            }
        }
        let row = self.accounts.endpoints.row_mut(at, EndpointKey { pool, endpoint: server.0 });
        row.attempts_by_outcome[outcome_index(outcome)] += 1;
        row.connect_us += dial / 1_000;
        if outcome == AttemptOutcome::Success {
            row.answered_us += micros;
            row.relative_latency_permille += stretch;
        } else {
            row.unanswered_us += micros;
        }
        self.meters.attempt_ended(outcome);
    }

    /// The request is over, and no attempt of it is out.
    fn close(&mut self, key: (PoolId, RequestId)) {
        let Some(mut open) = self.open.remove(&key) else { return };
        self.open_size -= OPEN + open.name.prefix.len() + open.page.len();
        let Some((verdict, at, how)) = open.verdict else { return };
        let used = open.life.objective_used(at);
        let took = at.saturating_sub(open.life.admitted_at());
        let pool = self.head.pools.get(usize::from(key.0.0));
        let class = pool.and_then(|pool| pool.classes.get(usize::from(open.class)));
        if let (Some(pool), Some(class)) = (pool, class) {
            let of = ((key.0.0, open.class), (pool.name.as_str(), class.name.as_str()));
            self.meters.request_ended(of, how, took, &open.name, at);
        }
        let matters = verdict.cause.is_some() || open.life.attempts_started() > 1 || used > SLOW;
        let weight = match how {
            RequestOutcome::Served if !matters => {
                self.rarity((key.0, open.class, open.tenant.unwrap_or(u32::MAX)), at)
            }
            RequestOutcome::Served if verdict.cause.is_none() => 1.0,
            RequestOutcome::Served | RequestOutcome::Rejected => 2.0,
            _ => 4.0,
        };
        let size = STORY + open.page.len() + open.name.prefix.len();
        let kept = &mut self.kept[usize::from(!matters)];
        if let Some(priority) = kept.draw(weight, at, size) {
            let story = RequestTimeline {
                pool: key.0,
                class: open.class,
                name: std::mem::take(&mut open.name),
                ended_at: at,
                cause: verdict.cause,
                encoded_events: open.page.as_slice().into(),
                truncated: open.cut,
            };
            let size = story.size();
            kept.keep(priority, size, Box::new(story));
        }
        if self.spare.len() < 64 {
            open.page.clear();
            self.spare.push(open.page);
        }
    }

    /// The weight of a request by how seldom its like comes: all groups get the same part of the sample.
    fn rarity(&mut self, group: (PoolId, u16, u32), at: Nanos) -> f64 {
        let group = if self.groups.len() >= GROUPS && !self.groups.contains_key(&group) {
            (PoolId(u16::MAX), u16::MAX, u32::MAX)
        } else {
            group
        };
        let group = self.groups.entry(group).or_default();
        let faded = (-(at.saturating_sub(group.at) as f64) / GROUP_SPAN as f64).exp();
        group.sum = group.sum * faded + 1.0;
        group.at = at;
        1.0 / group.sum
    }

    /// Bytes that it takes now, as it counts them; never more than it was given.
    #[must_use]
    pub fn memory_used(&self) -> usize {
        let kept: usize = self.kept.iter().map(Reservoir::size).sum();
        self.ring.memory_used() + kept + self.open_size + self.accounts.memory()
    }

    /// Bytes that it was given.
    #[must_use]
    pub fn memory_limit(&self) -> usize {
        self.memory
    }

    /// The sums so far.
    #[must_use]
    pub fn ledger(&self) -> &LossLedger {
        &self.accounts
    }

    /// The text of the metrics, in the form of Prometheus.
    #[must_use]
    pub fn metrics_text(&self) -> String {
        self.meters.text()
    }

    /// The metrics, for gauges of the node's own.
    pub fn metrics(&mut self) -> &mut RequestMetrics {
        &mut self.meters
    }

    /// All of it as a file of [`crate::recording`].
    #[must_use]
    pub fn recording(&self, at: Nanos, reason: &str) -> Vec<u8> {
        let mut head = self.head.clone();
        head.at = at;
        head.reason = reason.into();
        head.overwritten_events = self.ring.overwritten_events();
        head.untracked_requests = self.untold;
        let mut stories: Vec<_> = self.kept.iter().flat_map(Reservoir::iter).collect();
        stories.sort_by(|(one, _), (other, _)| other.total_cmp(one));
        // Requests that are open have no end yet, and are often those that are asked about.
        let open = self.open.iter().map(|(&(pool, _), open)| RequestTimeline {
            pool,
            class: open.class,
            name: open.name.clone(),
            ended_at: at,
            cause: None,
            encoded_events: open.page.as_slice().into(),
            truncated: open.cut,
        });
        let open: Vec<_> = open.collect();
        let stories = stories.into_iter().map(|(_, story)| &**story).chain(&open);
        let pages: Vec<_> = self.ring.pages().collect();
        crate::recording::write(&head, &self.accounts, stories, pages.into_iter().rev())
    }
}
