//! Follows one request through its events and assesses what it lost, and why, at its end.

use pumicehead_policy::decision_event::{DecisionEvent, NoRetryReason, RejectionReason};
use pumicehead_policy::{AttemptNo, AttemptOutcome, EndpointId, Nanos};

use crate::code_tables::outcome_index;
use crate::event::{Event, RequestOutcome};
use crate::loss_cause::{LossCause, MicroWeight, RequestPhase, to_micro_weight};

/// A loss as it is booked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LossAssessment {
    /// What it was worth.
    pub offered: MicroWeight,
    /// What of it was earned.
    pub earned: MicroWeight,
    /// What the rest is put down to, where there is a rest.
    pub cause: Option<LossCause>,
    /// The server that carries it, where one does.
    pub endpoint: Option<EndpointId>,
    /// Why there was no further attempt, where that was asked.
    pub no_retry_reason: Option<NoRetryReason>,
}

impl LossAssessment {
    /// What was lost.
    #[must_use]
    pub fn lost(&self) -> MicroWeight {
        self.offered.saturating_sub(self.earned)
    }
}

/// An attempt that ended badly.
#[derive(Clone, Copy, Debug)]
struct FailedAttempt {
    endpoint: EndpointId,
    outcome: AttemptOutcome,
    duration: Nanos,
}

/// The life of a request, as far as its loss goes.
#[derive(Clone, Debug)]
pub struct RequestProgress {
    admitted_at: Nanos,
    upload_time: Nanos,
    priority_weight: MicroWeight,
    late_weight: f64,
    objective_deadline: Nanos,
    rejection: Option<RejectionReason>,
    /// Attempts out: number, server, sent.
    in_flight: Vec<(AttemptNo, EndpointId, Nanos)>,
    attempts_started: u32,
    /// Waiting with no attempt out, so far, and since when.
    queue_time: Nanos,
    queued_since: Option<Nanos>,
    /// The worst of those that ended badly, and the last.
    longest_failure: Option<FailedAttempt>,
    last_failure: Option<FailedAttempt>,
    failed_time: Nanos,
    /// The one that was answered: server, time, of that for its connection.
    good: Option<(EndpointId, Nanos, Nanos)>,
}

impl RequestProgress {
    /// Of one that came at `at`, with the worth and the aim of its class until the module says more.
    #[must_use]
    pub fn new(at: Nanos, sending: Nanos, worth: f64, late_worth: f64, aim: Nanos) -> Self {
        Self {
            admitted_at: at,
            upload_time: sending,
            priority_weight: to_micro_weight(worth),
            late_weight: late_worth,
            objective_deadline: at.saturating_add(aim),
            rejection: None,
            in_flight: Vec::new(),
            attempts_started: 0,
            queue_time: 0,
            queued_since: Some(at),
            longest_failure: None,
            last_failure: None,
            failed_time: 0,
            good: None,
        }
    }

    /// Takes an event of it in.
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
                self.in_flight.push((*attempt, *endpoint, at));
            }
            Event::ResponseStarted { attempt, .. } => {
                if let Some(&(_, server, sent)) = self.in_flight.iter().find(|(number, ..)| number == attempt)
                {
                    self.good = Some((server, at.saturating_sub(sent), 0));
                }
            }
            Event::AttemptEnded { attempt, endpoint, outcome, duration, connect_time, .. } => {
                self.in_flight.retain(|(number, ..)| number != attempt);
                if *outcome == AttemptOutcome::Success {
                    self.good.get_or_insert((*endpoint, *duration, *connect_time));
                } else if *outcome != AttemptOutcome::Cancelled || self.good.is_none() {
                    let bad = FailedAttempt { endpoint: *endpoint, outcome: *outcome, duration: *duration };
                    self.last_failure = Some(bad);
                    self.failed_time += duration;
                    if self.longest_failure.is_none_or(|worst| worst.duration <= bad.duration) {
                        self.longest_failure = Some(bad);
                    }
                }
                if self.in_flight.is_empty() {
                    self.queued_since = Some(at);
                }
            }
            _ => {}
        }
    }

    /// Attempts that are still out.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Attempts that were made.
    #[must_use]
    pub fn attempts_started(&self) -> u32 {
        self.attempts_started
    }

    /// When it came.
    #[must_use]
    pub fn admitted_at(&self) -> Nanos {
        self.admitted_at
    }

    /// The share of the time to its aim that had passed by `at`.
    #[must_use]
    pub fn objective_used(&self, at: Nanos) -> f64 {
        let aim = self.objective_deadline.saturating_sub(self.admitted_at).max(1);
        at.saturating_sub(self.admitted_at) as f64 / aim as f64
    }

    /// Where its time went by `at`, and the server that carries it.
    fn dominant_phase(&self, at: Nanos) -> (RequestPhase, Option<EndpointId>) {
        let idle = self.queued_since.map_or(0, |since| at.saturating_sub(since));
        let oldest = self.in_flight.first().map(|&(_, server, sent)| (server, at.saturating_sub(sent), 0));
        let last = self.good.or(oldest);
        let (served, dial) = last.map_or((0, 0), |(_, took, dial)| (took.saturating_sub(dial), dial));
        let spans = [
            (self.upload_time, RequestPhase::Upload),
            (self.queue_time + if self.good.is_some() { 0 } else { idle }, RequestPhase::Queue),
            (self.failed_time, RequestPhase::EarlierAttempts),
            (dial, RequestPhase::Connect),
            (served, RequestPhase::Endpoint),
        ];
        let most =
            spans.into_iter().max_by_key(|&(span, _)| span).map_or(RequestPhase::Queue, |(_, place)| place);
        let server = match most {
            RequestPhase::Upload | RequestPhase::Queue => None,
            RequestPhase::EarlierAttempts => self.longest_failure.map(|bad| bad.endpoint),
            RequestPhase::Connect | RequestPhase::Endpoint => last.map(|(server, ..)| server),
        };
        (most, server)
    }

    /// What it came to, with its final answer at `at`.
    #[must_use]
    pub fn assess(&self, at: Nanos, how: RequestOutcome) -> LossAssessment {
        let late = at > self.objective_deadline;
        let earned = match how {
            RequestOutcome::Served if late => {
                to_micro_weight(self.priority_weight as f64 / 1e6 * self.late_weight)
                    .min(self.priority_weight)
            }
            RequestOutcome::Served => self.priority_weight,
            _ => 0,
        };
        let stop = if let Some(RejectionReason::NoRetry(stop)) = self.rejection { Some(stop) } else { None };
        let verdict = |(cause, server)| LossAssessment {
            offered: self.priority_weight,
            earned,
            cause: Some(cause).filter(|_| earned < self.priority_weight),
            endpoint: server,
            no_retry_reason: stop,
        };
        let (place, server) = self.dominant_phase(at);
        let failed = |bad: FailedAttempt| {
            (LossCause::AttemptFailed(outcome_index(bad.outcome) as u8), Some(bad.endpoint))
        };
        verdict(match (how, self.rejection) {
            (RequestOutcome::Served, _) => (LossCause::ObjectiveMissed(place), server),
            (RequestOutcome::BodyFailed, _) => (LossCause::BodyFailed, None),
            (RequestOutcome::ClientDisconnected, _) => (LossCause::ClientDisconnected(place), server),
            (RequestOutcome::ServedError, _) => {
                self.last_failure.map_or((LossCause::AttemptFailed(place_of_error()), server), failed)
            }
            (_, Some(RejectionReason::QueueTooLong)) => (LossCause::QueueTooLong, None),
            (_, Some(RejectionReason::QueueTimeout)) => (LossCause::QueueTimeout, None),
            (_, Some(RejectionReason::KeyOrderTimeout)) => (LossCause::KeyOrderTimeout, None),
            (_, Some(RejectionReason::NoRetry(_))) => {
                self.last_failure.map_or((LossCause::DeadlineExceeded(place), server), failed)
            }
            (_, None) => match self.last_failure {
                // Nothing was out any more: what ended last is what failed.
                Some(bad) if self.in_flight.is_empty() => failed(bad),
                _ => (LossCause::DeadlineExceeded(place), server),
            },
        })
    }
}

fn place_of_error() -> u8 {
    outcome_index(AttemptOutcome::Error) as u8
}
