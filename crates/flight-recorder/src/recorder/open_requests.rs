//! Requests that have not ended yet, with their timelines so far.

use pumicehead_policy::decision_event::ExclusionReasons;
use pumicehead_policy::{Nanos, RequestId};

use super::sampling::Group;
use super::{Recorder, TIMELINE_OVERHEAD};
use crate::bounded_text::BoundedName;
use crate::event::{Event, PoolId, RequestOutcome};
use crate::event_ring::{TIME_UNIT, append_record};
use crate::metrics::ClassLabels;
use crate::request_progress::{LossAssessment, RequestProgress};
use crate::request_timeline::RequestTimeline;

/// Greatest size of a timeline's events, in bytes; later events are only in the ring.
const MAX_TIMELINE_BYTES: usize = 1_024;
/// Size of an open request without its name and events, in bytes.
const OPEN_REQUEST_OVERHEAD: usize = 320;
/// Bytes that a record may take besides its event.
const MAX_RECORD_HEADER: usize = 16;
/// Greatest number of event buffers that are kept for reuse.
const MAX_SPARE_BUFFERS: usize = 64;
/// Share of the time to its objective above which a request counts as slow.
const SLOW_OBJECTIVE_SHARE: f64 = 0.8;

/// The end of a request.
#[derive(Clone, Copy)]
pub(super) struct RequestEnd {
    assessment: LossAssessment,
    at: Nanos,
    outcome: RequestOutcome,
}

/// A request that has not ended, or whose attempts have not all ended.
pub(super) struct OpenRequest {
    progress: RequestProgress,
    pub(super) class: u16,
    tenant: Option<u32>,
    pub(super) name: BoundedName,
    /// Its events as a page of [`crate::event_ring`].
    pub(super) page: Vec<u8>,
    /// Time of the last event on the page.
    last_event_at: Nanos,
    /// Whether some events did not fit.
    pub(super) truncated: bool,
    end: Option<RequestEnd>,
    pub(super) last_exclusions: Option<ExclusionReasons>,
}

impl Recorder {
    /// Starts the timeline of a request, if there is memory for it.
    pub(super) fn open_request(
        &mut self,
        at: Nanos,
        key: (PoolId, RequestId),
        class: u16,
        tenant: Option<u32>,
        upload_time: Nanos,
        name: &BoundedName,
    ) {
        if self.open_bytes + OPEN_REQUEST_OVERHEAD + name.prefix.len() > self.memory_limit / 8 {
            self.untracked_requests += 1;
            return;
        }
        let known = self.class(key.0, class);
        let (weight, late_weight, objective) = known
            .map_or((1.0, 0.0, Nanos::MAX), |c| (c.priority_weight, c.late_weight, c.latency_objective_ns));
        let last_event_at = at / TIME_UNIT * TIME_UNIT;
        let mut page = self.spare_buffers.pop().unwrap_or_default();
        page.extend_from_slice(&last_event_at.to_le_bytes());
        let progress = RequestProgress::new(at, upload_time, weight, late_weight, objective);
        let name = name.clone();
        self.open_bytes += OPEN_REQUEST_OVERHEAD + name.prefix.len() + page.len();
        let open = OpenRequest {
            progress,
            class,
            tenant,
            name,
            page,
            last_event_at,
            truncated: false,
            end: None,
            last_exclusions: None,
        };
        if let Some(old) = self.open.insert(key, Box::new(open)) {
            // Ids are reused; a request whose end was not recorded is dropped.
            self.open_bytes -= OPEN_REQUEST_OVERHEAD + old.name.prefix.len() + old.page.len();
        }
    }

    /// Adds an event to the timeline of its request.
    pub(super) fn append_to_timeline(
        &mut self,
        at: Nanos,
        key: (PoolId, RequestId),
        event: &Event,
        bytes: &[u8],
    ) {
        let max_open_bytes = self.memory_limit / 8;
        let Some(open) = self.open.get_mut(&key) else { return };
        let before = open.page.len();
        if before + bytes.len() + MAX_RECORD_HEADER <= MAX_TIMELINE_BYTES
            && self.open_bytes + bytes.len() + MAX_RECORD_HEADER <= max_open_bytes
        {
            append_record(&mut open.page, &mut open.last_event_at, at, key.0, bytes);
            self.open_bytes += open.page.len() - before;
        } else {
            open.truncated = true;
        }
        open.progress.observe(at, event);
        if let Event::RequestEnded { outcome, .. } = event
            && open.end.is_none()
        {
            let assessment = open.progress.assess(at, *outcome);
            open.end = Some(RequestEnd { assessment, at, outcome: *outcome });
            let class = open.class;
            self.account_request(at, key.0, class, &assessment);
        }
        let Some(open) = self.open.get(&key) else { return };
        if open.end.is_some() && open.progress.in_flight() == 0 {
            self.close(key);
        }
    }

    /// Closes a request that has ended and has no attempt in flight, and samples its timeline.
    fn close(&mut self, key: (PoolId, RequestId)) {
        let Some(mut open) = self.open.remove(&key) else { return };
        self.open_bytes -= OPEN_REQUEST_OVERHEAD + open.name.prefix.len() + open.page.len();
        let Some(RequestEnd { assessment, at, outcome }) = open.end else { return };
        let objective_used = open.progress.objective_used(at);
        let duration = at.saturating_sub(open.progress.admitted_at());
        let pool = self.header.pools.get(usize::from(key.0.0));
        let class = pool.and_then(|pool| pool.classes.get(usize::from(open.class)));
        if let (Some(pool), Some(class)) = (pool, class) {
            let labels =
                ClassLabels { id: (key.0.0, open.class), pool_name: &pool.name, class_name: &class.name };
            self.metrics.request_ended(labels, outcome, duration, &open.name, at);
        }
        let is_notable = assessment.cause.is_some()
            || open.progress.attempts_started() > 1
            || objective_used > SLOW_OBJECTIVE_SHARE;
        let weight = match outcome {
            RequestOutcome::Served if !is_notable => {
                let tenant = open.tenant.unwrap_or(u32::MAX);
                self.group_rates.rarity_weight(Group { pool: key.0, class: open.class, tenant }, at)
            }
            RequestOutcome::Served if assessment.cause.is_none() => 1.0,
            RequestOutcome::Served | RequestOutcome::Rejected => 2.0,
            _ => 4.0,
        };
        let size = TIMELINE_OVERHEAD + open.page.len() + open.name.prefix.len();
        let samples = &mut self.samples[usize::from(!is_notable)];
        if let Some(priority) = samples.draw(weight, at, size) {
            let timeline = RequestTimeline {
                pool: key.0,
                class: open.class,
                name: std::mem::take(&mut open.name),
                ended_at: at,
                cause: assessment.cause,
                encoded_events: open.page.as_slice().into(),
                truncated: open.truncated,
            };
            samples.keep(priority, size, Box::new(timeline));
        }
        if self.spare_buffers.len() < MAX_SPARE_BUFFERS {
            open.page.clear();
            self.spare_buffers.push(open.page);
        }
    }
}
