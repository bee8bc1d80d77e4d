//! The recorder: stores events, samples the timelines of requests and sums up the weight that was earned and lost.

mod accounting;
mod filter;
mod open_requests;
mod sampling;

use pumicehead_policy::decision_event::DecisionEvent;
use pumicehead_policy::{EndpointId, Nanos, RequestId};
use rustc_hash::FxHashMap;

use crate::event::{Event, ExhaustedResource, PoolId};
use crate::event_ring::EventRing;
use crate::loss_ledger::{EndpointKey, LossLedger};
use crate::metrics::RequestMetrics;
use crate::recording::{PoolHeader, RecordingHeader};
pub use crate::request_timeline::{ClassInfo, RequestTimeline};
use crate::reservoir::Reservoir;
use crate::tenant_names::TenantNames;

use self::accounting::EndedAttempt;
use self::open_requests::OpenRequest;
use self::sampling::GroupRates;

/// Size of a timeline without its name and events, in bytes.
const TIMELINE_OVERHEAD: usize = 160;
/// The least memory of a recorder, in bytes.
pub const MIN_MEMORY: usize = 64 << 10;

/// How much is recorded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// Nothing.
    Off,
    /// Totals, and timelines of notable requests.
    #[default]
    On,
    /// In addition every change of a limit and every exclusion of an endpoint.
    Full,
}

/// The flight recorder of a node.
pub struct Recorder {
    header: RecordingHeader,
    level: Level,
    memory_limit: usize,
    ring: EventRing,
    /// Samples of notable requests (failed, rejected, retried or slow) and of the rest.
    samples: [Reservoir<Box<RequestTimeline>>; 2],
    ledger: LossLedger,
    /// Boxed, since the map moves its values when it grows.
    open: FxHashMap<(PoolId, RequestId), Box<OpenRequest>>,
    open_bytes: usize,
    group_rates: GroupRates,
    limits: FxHashMap<(PoolId, EndpointId), f32>,
    metrics: RequestMetrics,
    scratch: Vec<u8>,
    spare_buffers: Vec<Vec<u8>>,
    untracked_requests: u64,
}

impl Recorder {
    /// Creates a recorder of at most `memory_limit` bytes: three eighths each for the event ring and for timelines, one eighth
    /// each for open requests and for the ledger. Names and metrics are not counted.
    #[must_use]
    pub fn new(node: &str, start: Nanos, memory_limit: usize, seed: u64) -> Self {
        let memory_limit = memory_limit.max(MIN_MEMORY);
        let timelines = memory_limit / 8 * 3;
        Self {
            header: RecordingHeader::new(node, start),
            level: Level::On,
            memory_limit,
            ring: EventRing::new(memory_limit / 8 * 3),
            samples: [Reservoir::new(timelines / 3 * 2, seed), Reservoir::new(timelines / 3, seed ^ 1)],
            ledger: LossLedger::new(start, memory_limit / 8),
            open: FxHashMap::default(),
            open_bytes: 0,
            group_rates: GroupRates::default(),
            limits: FxHashMap::default(),
            metrics: RequestMetrics::default(),
            scratch: Vec::with_capacity(256),
            spare_buffers: Vec::new(),
            untracked_requests: 0,
        }
    }

    /// Registers a pool and its classes. A pool with the name of a registered one replaces its classes and keeps its id.
    pub fn register_pool(&mut self, name: &str, classes: &[ClassInfo]) -> PoolId {
        let index = self.header.pools.iter().position(|pool| pool.name == name).unwrap_or_else(|| {
            self.header.pools.push(PoolHeader { name: name.into(), ..PoolHeader::default() });
            self.header.pools.len() - 1
        });
        let pool = &mut self.header.pools[index];
        pool.classes = classes.iter().map(Into::into).collect();
        PoolId(index as u16)
    }

    /// Sets the names of tenants, for all pools.
    pub fn set_tenant_names(&mut self, names: TenantNames) {
        self.header.tenants = names;
    }

    /// Sets the name of an endpoint.
    pub fn set_endpoint_name(&mut self, pool: PoolId, endpoint: EndpointId, name: &str) {
        if let Some(pool) = self.header.pools.get_mut(usize::from(pool.0)) {
            pool.set_endpoint_name(endpoint.0, name);
        }
    }

    /// Sets how much is recorded.
    pub fn set_level(&mut self, level: Level) {
        self.level = level;
        if level == Level::Off {
            self.open.clear();
            self.open_bytes = 0;
        }
    }

    /// Returns how much is recorded.
    #[must_use]
    pub fn level(&self) -> Level {
        self.level
    }

    /// Records an event. Its time must not be before that of the last one.
    pub fn record(&mut self, at: Nanos, pool: PoolId, event: &Event) {
        if self.level == Level::Off || !self.should_record(at, pool, event) {
            return;
        }
        let mut scratch = std::mem::take(&mut self.scratch);
        scratch.clear();
        event.encode(&mut scratch);
        self.ring.push(at, pool, &scratch);
        match event {
            Event::RequestAdmitted { id, class, tenant, upload_time, name, .. } => {
                self.open_request(at, (pool, *id), *class, *tenant, *upload_time, name);
            }
            Event::RejectedByListener { class, reason } => self.account_rejection(at, pool, *class, *reason),
            Event::ResourceExhausted(what) => {
                self.ledger.resource_exhaustions
                    [usize::from(*what == ExhaustedResource::UpstreamConnection)] += 1
            }
            Event::Decision(DecisionEvent::Ejected { endpoint, duration }) => {
                let key = EndpointKey { pool, endpoint: endpoint.0 };
                self.ledger.endpoints.row_mut(at, key).ejected_us += duration / 1_000;
            }
            Event::AttemptEnded { endpoint, outcome, duration, connect_time, id, .. } => {
                let ended = EndedAttempt {
                    id: *id,
                    endpoint: *endpoint,
                    outcome: *outcome,
                    duration: *duration,
                    connect_time: *connect_time,
                };
                self.account_attempt(at, pool, &ended);
            }
            _ => {}
        }
        if let Some(id) = event.request() {
            self.append_to_timeline(at, (pool, id), event, &scratch);
        }
        self.scratch = scratch;
    }

    fn class(&self, pool: PoolId, class: u16) -> Option<&crate::recording::ClassHeader> {
        self.header.pools.get(usize::from(pool.0))?.classes.get(usize::from(class))
    }

    /// Returns the bytes in use; never more than [`Recorder::memory_limit`].
    #[must_use]
    pub fn memory_used(&self) -> usize {
        let samples: usize = self.samples.iter().map(Reservoir::size).sum();
        self.ring.memory_used() + samples + self.open_bytes + self.ledger.memory_used()
    }

    /// Returns the limit of the bytes in use.
    #[must_use]
    pub fn memory_limit(&self) -> usize {
        self.memory_limit
    }

    /// Returns the ledger of all losses so far.
    #[must_use]
    pub fn ledger(&self) -> &LossLedger {
        &self.ledger
    }

    /// Returns all metrics as OpenMetrics text, which Prometheus reads.
    #[must_use]
    pub fn metrics_text(&self) -> String {
        self.metrics.render()
    }

    /// Returns the metrics, for gauges of the node.
    pub fn metrics(&mut self) -> &mut RequestMetrics {
        &mut self.metrics
    }

    /// Returns all contents in the file format of [`crate::recording`].
    #[must_use]
    pub fn recording(&self, at: Nanos, reason: &str) -> Vec<u8> {
        let mut header = self.header.clone();
        header.at = at;
        header.reason = reason.into();
        header.overwritten_events = self.ring.overwritten_events();
        header.untracked_requests = self.untracked_requests;
        let mut timelines: Vec<_> = self.samples.iter().flat_map(Reservoir::iter).collect();
        timelines.sort_by(|(one, _), (other, _)| other.total_cmp(one));
        // Open requests are included because operators often look for them.
        let open = self.open.iter().map(|(&(pool, _), open)| RequestTimeline {
            pool,
            class: open.class,
            name: open.name.clone(),
            ended_at: at,
            cause: None,
            encoded_events: open.page.as_slice().into(),
            truncated: open.truncated,
        });
        let open: Vec<_> = open.collect();
        let timelines = timelines.into_iter().map(|(_, timeline)| &**timeline).chain(&open);
        let pages: Vec<_> = self.ring.pages().collect();
        crate::recording::write(&header, &self.ledger, timelines, pages.into_iter().rev())
    }
}
