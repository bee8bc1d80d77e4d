//! Requests in the simulation, from their arrival to the final answer, and the actions of the decision modules.

use std::mem;

use pumicehead_policy::{
    Action, AttemptEnded, AttemptNo, AttemptOutcome, ClassId, EndpointId, Event, Nanos, NewRequest,
    RequestId, SECOND,
};
use rand_core::RngCore;

use super::config::RequestClass;
use super::event::{OutcomeCode, ScheduledEvent};
use super::server::{Health, Job, MEAN_SERVICE_S, WARM_RATE};
use super::{NETWORK_LATENCY, Simulation};

/// Time after its deadline at which a request without a final answer counts as unanswered.
const ANSWER_GRACE: Nanos = SECOND / 50;
/// Time after the start of a drain in which attempts may still reach the server.
const DRAIN_GRACE: Nanos = 2 * SECOND;
/// Share of the requests that are [`RequestClass::Submit`].
const SUBMIT_SHARE: f64 = 0.2;

/// A request that a node holds.
pub(super) struct RequestState {
    class: RequestClass,
    arrived_at: Nanos,
    deadline: Nanos,
    answered: bool,
    /// By number.
    attempts: Vec<SentAttempt>,
    /// Attempts that a server admitted.
    executions: u32,
}

struct SentAttempt {
    server: usize,
    sent_at: Nanos,
    in_flight: bool,
}

impl Simulation {
    pub(super) fn on_request_arrives(&mut self) {
        let rate = self.config.load * f64::from(self.config.servers) * WARM_RATE;
        let next = self.now + self.exponential(1.0 / rate);
        self.schedule(next, ScheduledEvent::RequestArrives);
        let node = (self.rng.next_u64() % self.nodes.len() as u64) as usize;
        let class = if self.uniform() < SUBMIT_SHARE { RequestClass::Submit } else { RequestClass::Read };
        let deadline = self.now + class.deadline();
        let request = RequestState {
            class,
            arrived_at: self.now,
            deadline,
            answered: false,
            attempts: Vec::new(),
            executions: 0,
        };
        let id = self.nodes[node].next_request;
        self.nodes[node].next_request += 1;
        self.nodes[node].requests.insert(id, request);
        self.counters.requests += 1;
        self.schedule(deadline + ANSWER_GRACE, ScheduledEvent::AnswerOverdue { node, id });
        let request = NewRequest {
            id: RequestId(id),
            class: ClassId(class as u16),
            tenant: None,
            cost_hint: None,
            key: None,
            deadline,
        };
        self.handle(node, Event::Request(request));
    }

    /// Passes an event to a node's decision module and executes its actions.
    pub(super) fn handle(&mut self, node: usize, event: Event) {
        let mut actions = Vec::new();
        self.nodes[node].balancer.handle(self.now, event, &mut actions);
        for action in actions {
            self.perform(node, action);
        }
    }

    fn perform(&mut self, node: usize, action: Action) {
        match action {
            Action::StartAttempt { id, endpoint, timeout, .. } => {
                self.start_attempt(node, id.0, endpoint.0 as usize, timeout)
            }
            Action::Reject { id, .. } => {
                if self.answer(node, id.0) {
                    self.counters.rejected += 1;
                }
            }
            Action::Fail(id) => {
                if self.answer(node, id.0) {
                    self.counters.failed += 1;
                }
            }
            Action::CancelAttempt { id, attempt } => {
                let job = Job { node, id: id.0, attempt: attempt.0 };
                // Scheduled like any other end; an end of the attempt that is scheduled for the same time may be processed first.
                self.schedule_end(self.now, job, AttemptOutcome::Cancelled);
            }
            Action::ArmTimer { at, token } => {
                self.schedule(at, ScheduledEvent::TimerFires { node, token: token.0 })
            }
            Action::SendLoadReport { to, body } => {
                self.load_reports.push(body);
                let report = self.load_reports.len() - 1;
                let event = ScheduledEvent::LoadReportArrives { to: to as usize, from: node, report };
                self.schedule(self.now + NETWORK_LATENCY, event);
            }
            Action::CloseIdleConnections(_) | Action::Subscribe => {}
        }
    }

    /// Marks a request as answered; returns whether it was not before.
    fn answer(&mut self, node: usize, id: u32) -> bool {
        let Some(request) = self.nodes[node].requests.get_mut(&id) else { return false };
        !mem::replace(&mut request.answered, true)
    }

    fn start_attempt(&mut self, node: usize, id: u32, server: usize, timeout: Option<Nanos>) {
        let Some(request) = self.nodes[node].requests.get_mut(&id) else { return };
        let job = Job { node, id, attempt: request.attempts.len() as u8 };
        request.attempts.push(SentAttempt { server, sent_at: self.now, in_flight: true });
        let until = timeout.map_or(request.deadline, |span| (self.now + span).min(request.deadline));
        self.counters.attempts += 1;
        self.pairs.insert((node, server));
        if self.servers[server].health != Health::Healthy {
            *self.counters.attempts_at_unhealthy.entry(self.now / SECOND).or_default() += 1;
        }
        self.schedule(self.now + NETWORK_LATENCY, ScheduledEvent::AttemptReaches { job, server });
        self.schedule_end(until, job, AttemptOutcome::TimedOut);
    }

    fn schedule_end(&mut self, at: Nanos, job: Job, outcome: AttemptOutcome) {
        self.schedule(at, ScheduledEvent::AttemptEnds { job, outcome: OutcomeCode::from(outcome) });
    }

    pub(super) fn on_attempt_reaches(&mut self, job: Job, server: usize) {
        let now = self.now;
        if self.servers[server].draining_since.is_some_and(|since| now > since + DRAIN_GRACE) {
            self.counters.sent_past_drain += 1;
        }
        let crashed = self.servers[server].on_arrival(now);
        if crashed {
            self.counters.overloaded_cold += 1;
            self.restart(server);
        }
        let outcome = match self.servers[server].health {
            Health::Failing => Some(AttemptOutcome::Error),
            Health::Unresponsive => return,
            Health::Healthy if crashed => Some(AttemptOutcome::ConnectFailed),
            Health::Healthy => (!self.servers[server].has_capacity()).then_some(AttemptOutcome::Rejected),
        };
        if let Some(outcome) = outcome {
            self.schedule_end(now + NETWORK_LATENCY, job, outcome);
            return;
        }
        if let Some(request) = self.nodes[job.node].requests.get_mut(&job.id) {
            request.executions += 1;
            if request.class == RequestClass::Submit && request.executions > 1 {
                self.counters.ran_twice += 1;
            }
        }
        let number = self.servers[server].admit(job);
        if self.servers[server].start(number) {
            self.schedule_completion(server, number);
        }
    }

    fn schedule_completion(&mut self, server: usize, job: u64) {
        let span = self.exponential(MEAN_SERVICE_S / self.servers[server].warmup_fraction(self.now));
        self.schedule(self.now + span, ScheduledEvent::JobCompletes { server, job });
    }

    pub(super) fn on_job_completes(&mut self, server: usize, number: u64) {
        let Some((job, next)) = self.servers[server].finish(number) else { return };
        self.schedule_end(self.now + NETWORK_LATENCY, job, AttemptOutcome::Success);
        if let Some(next) = next {
            self.schedule_completion(server, next);
        }
    }

    pub(super) fn on_attempt_ends(&mut self, job: Job, outcome: AttemptOutcome) {
        let now = self.now;
        let Some(request) = self.nodes[job.node].requests.get_mut(&job.id) else { return };
        let Some(sent) = request.attempts.get_mut(usize::from(job.attempt)) else { return };
        if !mem::replace(&mut sent.in_flight, false) {
            return;
        }
        let (server, duration) = (sent.server, now - sent.sent_at);
        if outcome == AttemptOutcome::Success && !mem::replace(&mut request.answered, true) {
            self.counters.served += 1;
            let on_time = now - request.arrived_at <= request.class.latency_objective();
            self.counters.within_objective += u64::from(on_time);
        }
        let final_answer = request.answered;
        if matches!(outcome, AttemptOutcome::Success | AttemptOutcome::Error | AttemptOutcome::TimedOut) {
            let incarnation = self.servers[server].started_at;
            let failed = outcome != AttemptOutcome::Success;
            self.forwarders[job.node].attempt_ended(server as u32, incarnation, failed);
        }
        let ended = AttemptEnded {
            id: RequestId(job.id),
            attempt: AttemptNo(job.attempt),
            endpoint: EndpointId(server as u32),
            outcome,
            duration,
            final_answer,
        };
        self.handle(job.node, Event::AttemptEnded(ended));
    }

    pub(super) fn on_answer_overdue(&mut self, node: usize, id: u32) {
        let Some(request) = self.nodes[node].requests.remove(&id) else { return };
        if !request.answered {
            self.counters.unanswered += 1;
        }
        self.handle(node, Event::ClientDisconnected(RequestId(id)));
    }

    /// Draws from the uniform distribution over (0, 1].
    fn uniform(&mut self) -> f64 {
        ((self.rng.next_u64() >> 11) + 1) as f64 / (1u64 << 53) as f64
    }

    /// Draws from the exponential distribution with a mean in seconds.
    fn exponential(&mut self, mean_s: f64) -> Nanos {
        (-self.uniform().ln() * mean_s * SECOND as f64) as Nanos
    }
}
