//! Starts the attempts of a pool's requests, and handles their ends.

use std::rc::Rc;

use pumicehead_flight_recorder::event::{Event as RecordedEvent, ExhaustedResource};
use pumicehead_policy::{AttemptEnded, AttemptNo, AttemptOutcome, EndpointId, Event, Nanos, RequestId};
use tokio::sync::oneshot;
use tokio::task;

use super::PoolLoop;
use crate::net::clock::MILLISECOND;
use crate::net::exchange::{FinalResponse, UpstreamResponse};
use crate::net::pool_message::{EndedAttempt, PoolMessage};
use crate::net::upstream::transport::{AttemptDeadlines, EndpointConnector};

/// The outcomes that prove that there was a connection to the endpoint.
const CONNECTED_OUTCOMES: [AttemptOutcome; 4] =
    [AttemptOutcome::Success, AttemptOutcome::Error, AttemptOutcome::Rejected, AttemptOutcome::TimedOut];

/// An attempt that is about to start.
struct AttemptStart {
    id: RequestId,
    attempt: AttemptNo,
    endpoint: EndpointId,
    started_at: Nanos,
}

impl PoolLoop {
    /// Starts an attempt, which times out after `timeout` and whose request must not be written after `start_before`.
    /// It ends immediately if the endpoint was removed, the request already has its final response, its time is up,
    /// or part of its body was sent to another endpoint.
    pub(super) fn start_attempt(
        &mut self,
        id: RequestId,
        endpoint: EndpointId,
        timeout: Option<Nanos>,
        start_before: Option<Nanos>,
    ) {
        let now = self.now();
        let Some(in_flight) = self.in_flight.get(&id) else { return };
        let attempt = AttemptNo(in_flight.attempts.len() as u8);
        self.record(&RecordedEvent::AttemptStarted { id, attempt, endpoint, timeout });
        let end = timeout.map_or(in_flight.deadline, |timeout| in_flight.deadline.min(now + timeout));
        let may_start = in_flight.responder.is_some() && now < end && !in_flight.upload_has_started();
        let Some(connector) = self.directory.connector(endpoint).filter(|_| may_start).cloned() else {
            return self.end_without_sending(id, attempt, endpoint);
        };
        let deadlines = AttemptDeadlines {
            deadline: self.clock.instant_at(end),
            start_before: self.clock.instant_at(start_before.unwrap_or(Nanos::MAX)),
            request_deadline: self.clock.instant_at(in_flight.deadline),
        };
        let start = AttemptStart { id, attempt, endpoint, started_at: now };
        self.spawn_attempt(start, connector, deadlines);
    }

    /// Runs an attempt in a separate task, which reports its end to this loop. It ends at the latest at its deadline
    /// or when it is cancelled.
    fn spawn_attempt(
        &mut self,
        start: AttemptStart,
        connector: Rc<dyn EndpointConnector>,
        deadlines: AttemptDeadlines,
    ) {
        let AttemptStart { id, attempt, endpoint, started_at } = start;
        let Some(in_flight) = self.in_flight.get_mut(&id) else { return };
        let (cancel, cancelled) = oneshot::channel();
        in_flight.attempts.push(Some(cancel));
        let request = in_flight.request.clone();
        let sender = self.sender.clone();
        task::spawn_local(async move {
            let to_loop = sender.clone();
            let on_started = move |response| {
                drop(to_loop.send(PoolMessage::ResponseStarted { id, attempt, response }));
            };
            let result = connector.attempt(request, deadlines, cancelled, Box::new(on_started)).await;
            let ended = EndedAttempt { id, attempt, endpoint, started_at, result };
            let _ = sender.send(PoolMessage::AttemptEnded(ended));
        });
    }

    /// Ends an attempt whose request was never written.
    fn end_without_sending(&mut self, id: RequestId, attempt: AttemptNo, endpoint: EndpointId) {
        let Some(in_flight) = self.in_flight.get_mut(&id) else { return };
        in_flight.attempts.push(None);
        let outcome = AttemptOutcome::NotSent;
        let final_answer = in_flight.responder.is_none();
        self.record(&RecordedEvent::AttemptEnded {
            id,
            attempt,
            endpoint,
            outcome,
            duration: 0,
            connect_time: 0,
            connection_idle: None,
        });
        self.events.push_back(Event::AttemptEnded(AttemptEnded {
            id,
            attempt,
            endpoint,
            outcome,
            duration: 0,
            final_answer,
        }));
    }

    /// Forwards a streamed response. If another attempt was faster, the response is dropped, which ends its attempt.
    pub(super) fn on_response_started(
        &mut self,
        id: RequestId,
        attempt: AttemptNo,
        response: UpstreamResponse,
    ) {
        self.record(&RecordedEvent::ResponseStarted { id, attempt });
        if self.respond(id, FinalResponse::Upstream(response)) {
            self.events.push_back(Event::ResponseStarted { id, attempt });
        }
    }

    pub(super) fn on_attempt_ended(&mut self, ended: EndedAttempt) {
        let duration = self.attempt_duration(&ended);
        self.record_end(&ended, duration);
        let EndedAttempt { id, attempt, endpoint, result, .. } = ended;
        let outcome = result.outcome;
        if let Some(in_flight) = self.in_flight.get_mut(&id) {
            in_flight.may_still_execute |= outcome.may_still_execute();
            if let Some(cancel) = in_flight.attempts.get_mut(usize::from(attempt.0)) {
                *cancel = None;
            }
        }
        if let Some(response) = result.response {
            self.take_response(id, outcome, response);
        }
        self.finish_partially_sent(id, outcome);
        self.observe_connect_result(endpoint, outcome, result.connection_refused);
        let final_answer = self.in_flight.get(&id).is_none_or(|in_flight| in_flight.responder.is_none());
        self.events.push_back(Event::AttemptEnded(AttemptEnded {
            id,
            attempt,
            endpoint,
            outcome,
            duration,
            final_answer,
        }));
        self.remove_if_done(id);
    }

    /// Returns how long the endpoint took, which is the duration of the attempt unless a body was streamed.
    fn attempt_duration(&self, ended: &EndedAttempt) -> Nanos {
        ended
            .result
            .server_time
            .map_or_else(|| self.now().saturating_sub(ended.started_at), |time| time.as_nanos() as Nanos)
    }

    fn record_end(&self, ended: &EndedAttempt, duration: Nanos) {
        let result = &ended.result;
        self.record(&RecordedEvent::AttemptEnded {
            id: ended.id,
            attempt: ended.attempt,
            endpoint: ended.endpoint,
            outcome: result.outcome,
            duration,
            connect_time: result.connect_time.as_nanos() as Nanos,
            connection_idle: result.idle_time.map(|idle| idle.as_nanos() as Nanos),
        });
        if result.connection_limit_reached {
            self.record(&RecordedEvent::ResourceExhausted(ExhaustedResource::UpstreamConnection));
        }
    }

    /// Handles a complete response. A successful one is the final response; an error response is kept in case no
    /// attempt succeeds.
    fn take_response(&mut self, id: RequestId, outcome: AttemptOutcome, response: UpstreamResponse) {
        if outcome == AttemptOutcome::Success {
            self.respond(id, FinalResponse::Upstream(response));
        } else if let Some(in_flight) = self.in_flight.get_mut(&id) {
            in_flight.error_response = Some(response);
        }
    }

    /// Responds to a request after part of its body was sent to an endpoint. No retry is possible, so this attempt
    /// determines the final response.
    fn finish_partially_sent(&mut self, id: RequestId, outcome: AttemptOutcome) {
        let Some(in_flight) = self.in_flight.get_mut(&id) else { return };
        let Some(upload) = in_flight.request.upload.as_ref().filter(|upload| upload.has_started()) else {
            return;
        };
        let without_error = match outcome {
            _ if upload.is_too_long() => FinalResponse::BodyTooLong,
            _ if upload.is_client_fault() => FinalResponse::BodyIncomplete,
            _ if outcome.never_executed(self.rejection_may_execute) => {
                FinalResponse::Rejected(self.retry_after)
            }
            AttemptOutcome::TimedOut => FinalResponse::DeadlineExceeded,
            _ => FinalResponse::Failed,
        };
        let error = in_flight.error_response.take().map(FinalResponse::Upstream);
        self.respond(id, error.unwrap_or(without_error));
    }

    /// Detects restarts of endpoints if there is no discovery service: an endpoint that accepts connections again
    /// after refusing them has been restarted.
    fn observe_connect_result(&mut self, endpoint: EndpointId, outcome: AttemptOutcome, refused: bool) {
        if self.watch.uses_discovery_service() {
            return;
        }
        let connected = CONNECTED_OUTCOMES.contains(&outcome);
        let now_ms = self.now() / MILLISECOND;
        if let Some(update) = self.directory.observe_connect_result(endpoint, refused, connected, now_ms) {
            self.publish(update);
        }
    }
}
