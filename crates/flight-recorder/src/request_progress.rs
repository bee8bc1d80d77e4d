//! Tracks one request through its events and, when it ends, determines how much priority weight it lost and why.

use pumicehead_policy::decision_event::{DecisionEvent, NoRetryReason, RejectionReason};
use pumicehead_policy::{AttemptNo, AttemptOutcome, EndpointId, Nanos};

use crate::code_tables::outcome_code;
use crate::event::{Event, RequestOutcome};
use crate::loss_cause::{LossCause, MicroWeight, RequestPhase, to_micro_weight};

/// The weight that a request offered and earned, and why it lost the rest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LossAssessment {
    /// Priority weight of the request.
    pub offered: MicroWeight,
    /// Part of the weight that was earned.
    pub earned: MicroWeight,
    /// Cause of the loss, if anything was lost.
    pub cause: Option<LossCause>,
    /// Endpoint that the loss is counted for, if any.
    pub endpoint: Option<EndpointId>,
    /// Why there was no retry, if one was considered.
    pub no_retry_reason: Option<NoRetryReason>,
}

impl LossAssessment {
    /// Returns the lost weight.
    #[must_use]
    pub fn lost(&self) -> MicroWeight {
        self.offered.saturating_sub(self.earned)
    }
}

/// An attempt that failed.
#[derive(Clone, Copy, Debug)]
struct FailedAttempt {
    endpoint: EndpointId,
    outcome: AttemptOutcome,
    duration: Nanos,
}

/// An attempt that has not ended.
#[derive(Clone, Copy, Debug)]
struct InFlightAttempt {
    number: AttemptNo,
    endpoint: EndpointId,
    started_at: Nanos,
}

impl InFlightAttempt {
    /// Returns the time it has taken by `at`; the time for its connection is known only when it ends.
    fn time_at(&self, at: Nanos) -> AttemptTime {
        let duration = at.saturating_sub(self.started_at);
        AttemptTime { endpoint: self.endpoint, duration, connect_time: 0 }
    }
}

/// Time that an attempt took, and the part of it that was spent on getting a connection.
#[derive(Clone, Copy, Debug)]
struct AttemptTime {
    endpoint: EndpointId,
    duration: Nanos,
    connect_time: Nanos,
}

/// State of a request from which its loss is determined.
#[derive(Clone, Debug)]
pub struct RequestProgress {
    admitted_at: Nanos,
    upload_time: Nanos,
    priority_weight: MicroWeight,
    late_weight: f64,
    objective_deadline: Nanos,
    rejection: Option<RejectionReason>,
    in_flight: Vec<InFlightAttempt>,
    attempts_started: u32,
    /// Total of the past times without an attempt in flight, and the start of the current one.
    queue_time: Nanos,
    queued_since: Option<Nanos>,
    /// The failed attempt with the longest duration, and the most recent one.
    longest_failure: Option<FailedAttempt>,
    last_failure: Option<FailedAttempt>,
    failed_time: Nanos,
    /// The attempt that got a response for the client.
    answered: Option<AttemptTime>,
}

impl RequestProgress {
    /// Creates the state at admission, with the weights and the objective of its class. The balancer's classification replaces
    /// the weight and the objective.
    #[must_use]
    pub fn new(at: Nanos, upload_time: Nanos, weight: f64, late_weight: f64, objective: Nanos) -> Self {
        Self {
            admitted_at: at,
            upload_time,
            priority_weight: to_micro_weight(weight),
            late_weight,
            objective_deadline: at.saturating_add(objective),
            rejection: None,
            in_flight: Vec::new(),
            attempts_started: 0,
            queue_time: 0,
            queued_since: Some(at),
            longest_failure: None,
            last_failure: None,
            failed_time: 0,
            answered: None,
        }
    }

    /// Updates the state with an event of the request.
    pub fn observe(&mut self, at: Nanos, event: &Event) {
        match event {
            Event::Decision(DecisionEvent::Classified { priority_weight, objective_deadline, .. }) => {
                self.priority_weight = to_micro_weight(f64::from(*priority_weight));
                self.objective_deadline = *objective_deadline;
            }
            Event::Decision(DecisionEvent::AnsweredWithoutEndpoint { reason, .. }) => {
                self.rejection = Some(*reason)
            }
            Event::AttemptStarted { attempt, endpoint, .. } => {
                self.attempts_started += 1;
                if let Some(since) = self.queued_since.take() {
                    self.queue_time += at.saturating_sub(since);
                }
                self.in_flight.push(InFlightAttempt {
                    number: *attempt,
                    endpoint: *endpoint,
                    started_at: at,
                });
            }
            Event::ResponseStarted { attempt, .. } => {
                if let Some(started) = self.in_flight.iter().find(|one| one.number == *attempt) {
                    self.answered = Some(started.time_at(at));
                }
            }
            Event::AttemptEnded { attempt, endpoint, outcome, duration, connect_time, .. } => {
                self.in_flight.retain(|one| one.number != *attempt);
                if *outcome == AttemptOutcome::Success {
                    self.answered.get_or_insert(AttemptTime {
                        endpoint: *endpoint,
                        duration: *duration,
                        connect_time: *connect_time,
                    });
                } else if *outcome != AttemptOutcome::Cancelled || self.answered.is_none() {
                    let failure =
                        FailedAttempt { endpoint: *endpoint, outcome: *outcome, duration: *duration };
                    self.last_failure = Some(failure);
                    self.failed_time += duration;
                    if self.longest_failure.is_none_or(|longest| longest.duration <= failure.duration) {
                        self.longest_failure = Some(failure);
                    }
                }
                if self.in_flight.is_empty() {
                    self.queued_since = Some(at);
                }
            }
            _ => {}
        }
    }

    /// Returns the number of attempts in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Returns the number of attempts that were started.
    #[must_use]
    pub fn attempts_started(&self) -> u32 {
        self.attempts_started
    }

    /// Returns the time of admission.
    #[must_use]
    pub fn admitted_at(&self) -> Nanos {
        self.admitted_at
    }

    /// Returns how much of the time from admission to its objective had passed at `at`, as a fraction.
    #[must_use]
    pub fn objective_used(&self, at: Nanos) -> f64 {
        let objective = self.objective_deadline.saturating_sub(self.admitted_at).max(1);
        at.saturating_sub(self.admitted_at) as f64 / objective as f64
    }

    /// Returns the phase that took the most time by `at`, and the endpoint it was spent on, if any.
    fn dominant_phase(&self, at: Nanos) -> (RequestPhase, Option<EndpointId>) {
        let current_wait = self.queued_since.map_or(0, |since| at.saturating_sub(since));
        let oldest = self.in_flight.first().map(|one| one.time_at(at));
        let last = self.answered.or(oldest);
        let connect_time = last.map_or(0, |time| time.connect_time);
        let endpoint_time = last.map_or(0, |time| time.duration.saturating_sub(time.connect_time));
        let spans = [
            (self.upload_time, RequestPhase::Upload),
            (self.queue_time + if self.answered.is_some() { 0 } else { current_wait }, RequestPhase::Queue),
            (self.failed_time, RequestPhase::EarlierAttempts),
            (connect_time, RequestPhase::Connect),
            (endpoint_time, RequestPhase::Endpoint),
        ];
        let longest =
            spans.into_iter().max_by_key(|&(span, _)| span).map_or(RequestPhase::Queue, |(_, phase)| phase);
        let endpoint = match longest {
            RequestPhase::Upload | RequestPhase::Queue => None,
            RequestPhase::EarlierAttempts => self.longest_failure.map(|failure| failure.endpoint),
            RequestPhase::Connect | RequestPhase::Endpoint => last.map(|time| time.endpoint),
        };
        (longest, endpoint)
    }

    /// Assesses the request, which ended at `at`.
    #[must_use]
    pub fn assess(&self, at: Nanos, outcome: RequestOutcome) -> LossAssessment {
        let late = at > self.objective_deadline;
        let earned = match outcome {
            RequestOutcome::Served if late => {
                to_micro_weight(self.priority_weight as f64 / 1e6 * self.late_weight)
                    .min(self.priority_weight)
            }
            RequestOutcome::Served => self.priority_weight,
            _ => 0,
        };
        let no_retry_reason =
            if let Some(RejectionReason::NoRetry(reason)) = self.rejection { Some(reason) } else { None };
        let assessment = |(cause, endpoint)| LossAssessment {
            offered: self.priority_weight,
            earned,
            cause: Some(cause).filter(|_| earned < self.priority_weight),
            endpoint,
            no_retry_reason,
        };
        let (phase, endpoint) = self.dominant_phase(at);
        let failed = |failure: FailedAttempt| {
            (LossCause::AttemptFailed(outcome_code(failure.outcome) as u8), Some(failure.endpoint))
        };
        assessment(match (outcome, self.rejection) {
            (RequestOutcome::Served, _) => (LossCause::ObjectiveMissed(phase), endpoint),
            (RequestOutcome::BodyFailed, _) => (LossCause::BodyFailed, None),
            (RequestOutcome::ClientDisconnected, _) => (LossCause::ClientDisconnected(phase), endpoint),
            (RequestOutcome::ServedError, _) => self.last_failure.map_or(
                (LossCause::AttemptFailed(outcome_code(AttemptOutcome::Error) as u8), endpoint),
                failed,
            ),
            (_, Some(RejectionReason::ExpectedWaitTooLong)) => (LossCause::QueueTooLong, None),
            (_, Some(RejectionReason::QueueTimeout)) => (LossCause::QueueTimeout, None),
            (_, Some(RejectionReason::KeyOrderTimeout)) => (LossCause::KeyOrderTimeout, None),
            (_, Some(RejectionReason::NoRetry(_))) => {
                self.last_failure.map_or((LossCause::DeadlineExceeded(phase), endpoint), failed)
            }
            (_, None) => match self.last_failure {
                // Without an attempt in flight, the last failure ended the request.
                Some(failure) if self.in_flight.is_empty() => failed(failure),
                _ => (LossCause::DeadlineExceeded(phase), endpoint),
            },
        })
    }
}
