//! Requests: taken, answered once, their attempts ended.

use std::rc::Rc;

use pumicehead_flight_recorder::event::{Event as Told, How, Short};
use pumicehead_flight_recorder::text;
use pumicehead_policy::{
    AttemptEnded, AttemptNo, AttemptOutcome, ClassId, EndpointId, Event, Nanos, NewRequest, RequestId,
    SECOND, TimerToken,
};
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::net::endpoint_directory::unseeded_hash;
use crate::net::exchange::{FinalResponse, ProxyRequest};
use crate::net::pool_handle::RequestIdGuard;
use crate::net::pool_loop::in_flight::{InFlightRequest, TimerKind};
use crate::net::pool_loop::{OVERDUE, PoolLoop};
use crate::net::upstream::transport::AttemptResult;

impl PoolLoop {
    pub(super) fn on_request(
        &mut self,
        id: RequestId,
        ask: ProxyRequest,
        arrived: Instant,
        answer: oneshot::Sender<FinalResponse>,
        name: Rc<RequestIdGuard>,
    ) {
        let deadline = self.clock.time_of(arrived) + ask.time_left.as_nanos() as Nanos;
        if let Some(tap) = self.tap.as_ref().filter(|tap| tap.is_recording()) {
            tap.record(&Told::Asked {
                id,
                class: ask.class as u16,
                tenant: ask.tenant.map(|tenant| tenant.0),
                left: ask.time_left.as_nanos() as Nanos,
                sending: ask.body_read_time.as_nanos() as Nanos,
                name: text::Name::new(&ask.correlation_id),
                revision: ask.revision,
            });
        }
        let overdue = (deadline + OVERDUE, TimerKind::RequestOverdue(id.0));
        self.timers.insert(overdue);
        let open = InFlightRequest {
            call: Rc::new(ask.upstream),
            answer: Some(answer),
            deadline,
            error: None,
            attempts: Vec::new(),
            _name: name,
            timers: vec![overdue],
        };
        self.open.insert(id, open);
        self.events.push_back(Event::Request(NewRequest {
            id,
            class: ClassId(ask.class as u16),
            tenant: ask.tenant,
            cost_hint: ask.cost_hint.filter(|&hint| hint > 0),
            key: ask.ordering_key.map(|key| unseeded_hash(&key)),
            deadline,
        }));
    }

    /// Gives the final answer, once; tells whether it was this one.
    pub(super) fn answer(&mut self, id: RequestId, answer: FinalResponse) -> bool {
        let Some(open) = self.open.get_mut(&id) else { return false };
        let Some(sender) = open.answer.take() else { return false };
        open.call.finished.set(true);
        self.tell(&Told::Over { id, how: how(&answer) });
        // A client that has left by now gets no answer, and needs none.
        let _ = sender.send(answer);
        self.free(id);
        true
    }

    fn free(&mut self, id: RequestId) {
        if self.open.get(&id).is_some_and(InFlightRequest::is_over) {
            let timers = self.open.remove(&id).map_or_else(Vec::new, |open| open.timers);
            for timer in timers {
                self.timers.remove(&timer);
            }
        }
    }

    pub(super) fn arm(&mut self, at: Nanos, token: TimerToken) {
        let timer = (at, TimerKind::Policy(token.0));
        if let Some(id) = token.request() {
            // Of one that is over it would do nothing.
            let Some(open) = self.open.get_mut(&id) else { return };
            open.timers.push(timer);
        }
        self.timers.insert(timer);
    }

    pub(super) fn on_client_gone(&mut self, id: RequestId) {
        if self.answer(id, FinalResponse::ClientDisconnected) {
            self.events.push_back(Event::ClientDisconnected(id));
        }
    }

    /// When a request is due whose body still passes through, or has only just: its time counts from its last byte.
    pub(super) fn later(&self, id: RequestId) -> Option<Nanos> {
        let upload = self.open.get(&id)?.call.upload.as_ref()?;
        let due = match upload.completed_at() {
            Some(done) => self.clock.time_of(Instant::from_std(done) + upload.time_left) + OVERDUE,
            None if upload.is_in_progress() => self.now() + SECOND / 10,
            None => return None,
        };
        (due > self.now()).then_some(due)
    }

    /// A body that has gone to one server in part can go to no other: what becomes of its request is no longer a choice.
    fn end_bound(&mut self, id: RequestId, outcome: AttemptOutcome) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let Some(upload) = open.call.upload.as_ref().filter(|upload| upload.has_started()) else { return };
        let (again, broken) = (outcome.never_executed(self.full_unproven), upload.is_client_fault());
        let too_long = upload.is_too_long();
        let error = open.error.take().map(FinalResponse::Upstream);
        let given = error.unwrap_or(match outcome {
            _ if too_long => FinalResponse::BodyTooLong,
            _ if broken => FinalResponse::BodyIncomplete,
            _ if again => FinalResponse::Rejected(self.advice),
            AttemptOutcome::TimedOut => FinalResponse::DeadlineExceeded,
            _ => FinalResponse::Failed,
        });
        self.answer(id, given);
    }

    /// The answer is past due, or the process is about to end.
    pub(super) fn on_overdue(&mut self, id: RequestId) {
        if self.answer(id, FinalResponse::DeadlineExceeded) {
            self.events.push_back(Event::ClientDisconnected(id));
        }
    }

    pub(super) fn on_ended(
        &mut self,
        id: RequestId,
        attempt: AttemptNo,
        server: EndpointId,
        sent: Nanos,
        AttemptResult {
            outcome,
            response,
            connection_refused,
            server_time,
            connect_time,
            idle_time,
            connection_limit_reached,
        }: AttemptResult,
    ) {
        let took =
            server_time.map_or_else(|| self.now().saturating_sub(sent), |took| took.as_nanos() as Nanos);
        let dial = connect_time.as_nanos() as Nanos;
        let idle = idle_time.map(|idle| idle.as_nanos() as Nanos);
        self.tell(&Told::Ended { id, attempt, server, outcome, took, dial, idle });
        if connection_limit_reached {
            self.tell(&Told::Short(Short::Dial));
        }
        if let Some(open) = self.open.get_mut(&id)
            && let Some(out) = open.attempts.get_mut(usize::from(attempt.0))
        {
            *out = None;
        }
        match response {
            Some(served) if outcome == AttemptOutcome::Success => {
                self.answer(id, FinalResponse::Upstream(served));
            }
            Some(error) => {
                if let Some(open) = self.open.get_mut(&id) {
                    open.error = Some(error);
                }
            }
            None => {}
        }
        self.end_bound(id, outcome);
        if !self.watch.has_service() {
            let connected = matches!(
                outcome,
                AttemptOutcome::Success
                    | AttemptOutcome::Error
                    | AttemptOutcome::Rejected
                    | AttemptOutcome::TimedOut
            );
            let now_ms = self.now() / 1_000_000;
            if let Some(change) = self.roster.heard(server, connection_refused, connected, now_ms) {
                self.list(change);
            }
        }
        let complete = self.open.get(&id).is_none_or(|open| open.answer.is_none());
        self.events.push_back(Event::AttemptEnded(AttemptEnded {
            id,
            attempt,
            endpoint: server,
            outcome,
            duration: took,
            final_answer: complete,
        }));
        self.free(id);
    }
}

/// How an answer ends a request.
fn how(answer: &FinalResponse) -> How {
    match answer {
        FinalResponse::Upstream(served) if served.status.is_server_error() => How::ServedFault,
        FinalResponse::Upstream(_) => How::Served,
        FinalResponse::Rejected(_) => How::Refused,
        FinalResponse::Failed => How::Failed,
        FinalResponse::DeadlineExceeded => How::Late,
        FinalResponse::BodyIncomplete | FinalResponse::BodyTooLong => How::Body,
        FinalResponse::ClientDisconnected => How::Left,
    }
}
