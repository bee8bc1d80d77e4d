//! Generated days for a recorder.

#![allow(dead_code)]

use pumicehead_flight_recorder::bounded_text::BoundedName;
use pumicehead_flight_recorder::event::{Event, PoolId, RequestOutcome};
use pumicehead_flight_recorder::recorder::{ClassInfo, Recorder};
use pumicehead_policy::decision_event::{DecisionEvent, NoRetryReason, RejectionReason};
use pumicehead_policy::*;

pub const MS: Nanos = 1_000_000;
pub const START: Nanos = 1_700_000_000 * SECOND;

pub fn class(name: &str, aim: Nanos, worth: f64) -> ClassInfo {
    ClassInfo {
        name: name.into(),
        latency_objective: aim,
        deadline: 4 * aim,
        priority_weight: worth,
        late_weight: 0.3,
    }
}

/// A recorder with a pool of two classes, and the time.
pub struct Day {
    pub recorder: Recorder,
    pub pool: PoolId,
    pub now: Nanos,
    pub next: u32,
}

impl Day {
    pub fn new(memory: usize) -> Self {
        Self::of(memory, &[class("read", 100 * MS, 1.0), class("submit", 200 * MS, 10.0)])
    }

    pub fn of(memory: usize, classes: &[ClassInfo]) -> Self {
        let mut recorder = Recorder::new("n0", START, memory, 7);
        let pool = recorder.register_pool("web", classes);
        for server in 0..8 {
            recorder.set_endpoint_name(pool, EndpointId(server), &format!("s-{server}"));
        }
        Self { recorder, pool, now: START, next: 0 }
    }

    pub fn record(&mut self, event: Event) {
        self.recorder.record(self.now, self.pool, &event);
    }

    pub fn admit(&mut self, class: u16, name: &str) -> RequestId {
        let id = RequestId(self.next);
        self.next += 1;
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

    pub fn start_attempt(&mut self, id: RequestId, attempt: u8, server: u32) {
        let (attempt, server) = (AttemptNo(attempt), EndpointId(server));
        self.record(Event::AttemptStarted { id, attempt, endpoint: server, timeout: None });
    }

    pub fn end_attempt(
        &mut self,
        id: RequestId,
        attempt: u8,
        server: u32,
        outcome: AttemptOutcome,
        took: Nanos,
    ) {
        let (attempt, server) = (AttemptNo(attempt), EndpointId(server));
        self.record(Event::AttemptEnded {
            id,
            attempt,
            endpoint: server,
            outcome,
            duration: took,
            connect_time: 0,
            connection_idle: None,
        });
    }

    pub fn end_request(&mut self, id: RequestId, how: RequestOutcome) {
        self.record(Event::RequestEnded { id, outcome: how });
    }

    /// A request with one attempt, which takes so long and ends so; refused or failed where that is not well.
    pub fn request(&mut self, class: u16, server: u32, outcome: AttemptOutcome, took: Nanos) {
        let name = format!("r{}", self.next);
        let id = self.admit(class, &name);
        self.start_attempt(id, 0, server);
        self.now += took;
        if outcome == AttemptOutcome::Success {
            self.end_request(id, RequestOutcome::Served);
        }
        self.end_attempt(id, 0, server, outcome, took);
        if outcome != AttemptOutcome::Success {
            self.record(Event::Decision(DecisionEvent::AnsweredWithoutEndpoint {
                id,
                reason: RejectionReason::NoRetry(NoRetryReason::NotIdempotent),
                wait_share: 0.0,
            }));
            self.end_request(id, RequestOutcome::Failed);
        }
    }

    /// A request that waits and is refused.
    pub fn rejected_request(&mut self, class: u16, rule: RejectionReason) {
        let name = format!("r{}", self.next);
        let id = self.admit(class, &name);
        self.record(Event::Decision(DecisionEvent::Queued { id, queued: 9 }));
        self.now += MS;
        self.record(Event::Decision(DecisionEvent::AnsweredWithoutEndpoint {
            id,
            reason: rule,
            wait_share: 0.5,
        }));
        self.end_request(id, RequestOutcome::Rejected);
    }
}
