//! Accepts the requests of a pool, gives each exactly one final response, and removes them when they are done.

use std::rc::Rc;

use pumicehead_flight_recorder::bounded_text;
use pumicehead_flight_recorder::event::{Event as RecordedEvent, RequestOutcome};
use pumicehead_policy::{ClassId, Event, Nanos, NewRequest, RequestId, SECOND};

use super::PoolLoop;
use super::in_flight::InFlightRequest;
use super::timers::{OVERDUE_MARGIN, Timer, TimerKind};
use crate::net::endpoint_directory::unseeded_hash;
use crate::net::exchange::{FinalResponse, ProxyRequest};
use crate::net::pool_message::NewProxyRequest;

/// Interval at which a request whose body is being sent is checked for being overdue.
const UPLOAD_CHECK_INTERVAL: Nanos = SECOND / 10;

impl PoolLoop {
    /// Accepts a new request.
    pub(super) fn on_request(&mut self, new: NewProxyRequest) {
        let NewProxyRequest { id, request, responder, id_guard } = new;
        let deadline = self.clock.time_of(request.received_at) + request.time_left.as_nanos() as Nanos;
        self.record_request(id, &request);
        let overdue = Timer { due: deadline + OVERDUE_MARGIN, kind: TimerKind::RequestOverdue(id.0) };
        self.timers.insert(overdue);
        let in_flight = InFlightRequest {
            request: Rc::new(request.upstream),
            responder: Some(responder),
            deadline,
            error_response: None,
            attempts: Vec::new(),
            id_guard,
            may_still_execute: false,
            awaits_late_attempt: false,
            timers: vec![overdue],
        };
        self.in_flight.insert(id, in_flight);
        self.events.push_back(Event::Request(NewRequest {
            id,
            class: ClassId(request.class as u16),
            tenant: request.tenant,
            cost_hint: request.cost_hint.filter(|&hint| hint > 0),
            key: request.ordering_key.map(|key| unseeded_hash(&key)),
            deadline,
        }));
    }

    fn record_request(&self, id: RequestId, request: &ProxyRequest) {
        if let Some(recorder) = self.recorder.as_ref().filter(|recorder| recorder.is_recording()) {
            recorder.record(&RecordedEvent::RequestAdmitted {
                id,
                class: request.class as u16,
                tenant: request.tenant.map(|tenant| tenant.0),
                client_timeout: request.time_left.as_nanos() as Nanos,
                upload_time: request.body_read_time.as_nanos() as Nanos,
                name: bounded_text::BoundedName::new(&request.correlation_id),
                revision: request.revision,
            });
        }
    }

    /// Gives a request its final response, unless it already has one; returns whether the response was used.
    pub(super) fn respond(&mut self, id: RequestId, response: FinalResponse) -> bool {
        let Some(in_flight) = self.in_flight.get_mut(&id) else { return false };
        let Some(responder) = in_flight.responder.take() else { return false };
        in_flight.request.finished.set(true);
        self.record(&RecordedEvent::RequestEnded { id, outcome: recorded_outcome(&response) });
        // Fails if the client has disconnected.
        let _ = responder.send(response);
        self.remove_if_done(id);
        true
    }

    /// Removes a request that is done, with its timers. While an endpoint may still be executing it, its id stays in use.
    pub(super) fn remove_if_done(&mut self, id: RequestId) {
        if !self.in_flight.get(&id).is_some_and(InFlightRequest::is_done) {
            return;
        }
        let Some(done) = self.in_flight.remove(&id) else { return };
        for timer in done.timers {
            self.timers.remove(&timer);
        }
        let uploaded = done.request.upload.as_ref().and_then(|upload| upload.deadline());
        let due = uploaded.map_or(done.deadline, |deadline| self.clock.time_of(deadline));
        if done.may_still_execute && self.now() < due {
            self.executing_ids.insert(id, done.id_guard);
            self.arm(due, TimerKind::ReleaseId(id.0));
        }
    }

    pub(super) fn on_client_disconnected(&mut self, id: RequestId) {
        if self.respond(id, FinalResponse::ClientDisconnected) {
            self.events.push_back(Event::ClientDisconnected(id));
        }
    }

    /// Fails a request that is overdue, or that the exiting process can't wait for.
    pub(super) fn fail_overdue(&mut self, id: RequestId) {
        if self.respond(id, FinalResponse::DeadlineExceeded) {
            self.events.push_back(Event::ClientDisconnected(id));
        }
    }

    /// Fails all requests, because the process is about to exit.
    pub(super) fn fail_all(&mut self) {
        let ids: Vec<_> = self.in_flight.keys().copied().collect();
        for id in ids {
            self.fail_overdue(id);
            // Dispatched after each request, because otherwise its freed capacity would go to another request that is
            // about to fail.
            self.dispatch_events();
        }
    }

    /// Whether an overdue request waits for its attempt, which reports its end at its own deadline: a process that was held up
    /// may see this timer first. It waits once.
    pub(super) fn awaits_late_attempt(&mut self, id: RequestId) -> bool {
        let Some(in_flight) = self.in_flight.get_mut(&id) else { return false };
        in_flight.has_attempt() && !std::mem::replace(&mut in_flight.awaits_late_attempt, true)
    }

    /// Returns the extended due time of a request whose body is streamed, since its deadline counts from the last byte of
    /// the body; `None` if the request is overdue.
    pub(super) fn extended_due_time(&self, id: RequestId) -> Option<Nanos> {
        let upload = self.in_flight.get(&id)?.request.upload.as_ref()?;
        let due = match upload.deadline() {
            Some(deadline) => self.clock.time_of(deadline) + OVERDUE_MARGIN,
            None if upload.is_in_progress() => self.now() + UPLOAD_CHECK_INTERVAL,
            None => return None,
        };
        (due > self.now()).then_some(due)
    }
}

/// Returns the outcome under which a final response is recorded.
fn recorded_outcome(response: &FinalResponse) -> RequestOutcome {
    match response {
        FinalResponse::Upstream(upstream) if upstream.status.is_server_error() => RequestOutcome::ServedError,
        FinalResponse::Upstream(_) => RequestOutcome::Served,
        FinalResponse::Rejected(_) => RequestOutcome::Rejected,
        FinalResponse::Failed => RequestOutcome::Failed,
        FinalResponse::DeadlineExceeded => RequestOutcome::DeadlineExceeded,
        FinalResponse::BodyIncomplete | FinalResponse::BodyTooLong => RequestOutcome::BodyFailed,
        FinalResponse::ClientDisconnected => RequestOutcome::ClientDisconnected,
    }
}
