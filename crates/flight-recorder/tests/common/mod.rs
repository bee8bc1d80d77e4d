//! Generated workloads for a recorder.

#![allow(dead_code)]

use pumicehead_flight_recorder::bounded_text::BoundedName;
use pumicehead_flight_recorder::event::{Event, PoolId, RequestOutcome};
use pumicehead_flight_recorder::recorder::{ClassInfo, Recorder};
use pumicehead_policy::decision_event::{DecisionEvent, NoRetryReason, RejectionReason};
use pumicehead_policy::*;

pub const MS: Nanos = 1_000_000;
pub const START: Nanos = 1_700_000_000 * SECOND;

pub fn class(name: &str, latency_objective: Nanos, priority_weight: f64) -> ClassInfo {
    ClassInfo {
        name: name.into(),
        latency_objective,
        deadline: 4 * latency_objective,
        priority_weight,
        late_weight: 0.3,
    }
}

/// A recorder with a pool of eight endpoints, the current time and the id of the next request.
pub struct Workload {
    pub recorder: Recorder,
    pub pool: PoolId,
    pub now: Nanos,
    pub next_id: u32,
}

impl Workload {
    /// Creates a workload with two classes.
    pub fn new(memory: usize) -> Self {
        Self::with_classes(memory, &[class("read", 100 * MS, 1.0), class("submit", 200 * MS, 10.0)])
    }

    pub fn with_classes(memory: usize, classes: &[ClassInfo]) -> Self {
        let mut recorder = Recorder::new("n0", START, memory, 7);
        let pool = recorder.register_pool("web", classes);
        for endpoint in 0..8 {
            recorder.set_endpoint_name(pool, EndpointId(endpoint), &format!("s-{endpoint}"));
        }
        Self { recorder, pool, now: START, next_id: 0 }
    }

    pub fn record(&mut self, event: Event) {
        self.recorder.record(self.now, self.pool, &event);
    }

    pub fn admit(&mut self, class: u16, name: &str) -> RequestId {
        let id = RequestId(self.next_id);
        self.next_id += 1;
        let name = BoundedName::new(name);
        self.record(Event::RequestAdmitted {
            id,
            class,
            tenant: None,
            client_timeout: SECOND,
            upload_time: 0,
            name,
            revision: None,
        });
        id
    }

    pub fn start_attempt(&mut self, id: RequestId, attempt: u8, endpoint: u32) {
        let (attempt, endpoint) = (AttemptNo(attempt), EndpointId(endpoint));
        self.record(Event::AttemptStarted { id, attempt, endpoint, timeout: None });
    }

    pub fn end_attempt(
        &mut self,
        id: RequestId,
        attempt: u8,
        endpoint: u32,
        outcome: AttemptOutcome,
        duration: Nanos,
    ) {
        let (attempt, endpoint) = (AttemptNo(attempt), EndpointId(endpoint));
        self.record(Event::AttemptEnded {
            id,
            attempt,
            endpoint,
            outcome,
            duration,
            connect_time: 0,
            connection_idle: None,
        });
    }

    pub fn end_request(&mut self, id: RequestId, outcome: RequestOutcome) {
        self.record(Event::RequestEnded { id, outcome });
    }

    /// Records a request with one attempt of this outcome and duration. The request is served if the attempt succeeds;
    /// otherwise it fails without a retry.
    pub fn request(&mut self, class: u16, endpoint: u32, outcome: AttemptOutcome, duration: Nanos) {
        let name = format!("r{}", self.next_id);
        let id = self.admit(class, &name);
        self.start_attempt(id, 0, endpoint);
        self.now += duration;
        if outcome == AttemptOutcome::Success {
            self.end_request(id, RequestOutcome::Served);
        }
        self.end_attempt(id, 0, endpoint, outcome, duration);
        if outcome != AttemptOutcome::Success {
            self.record(Event::Decision(DecisionEvent::AnsweredWithoutEndpoint {
                id,
                reason: RejectionReason::NoRetry(NoRetryReason::NotIdempotent),
                wait_share: 0.0,
            }));
            self.end_request(id, RequestOutcome::Failed);
        }
    }

    /// Records a request that is queued for a millisecond and then rejected.
    pub fn rejected_request(&mut self, class: u16, rejection: RejectionReason) {
        let name = format!("r{}", self.next_id);
        let id = self.admit(class, &name);
        self.record(Event::Decision(DecisionEvent::Queued { id, queued: 9 }));
        self.now += MS;
        self.record(Event::Decision(DecisionEvent::AnsweredWithoutEndpoint {
            id,
            reason: rejection,
            wait_share: 0.5,
        }));
        self.end_request(id, RequestOutcome::Rejected);
    }
}
