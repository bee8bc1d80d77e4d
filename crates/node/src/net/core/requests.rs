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

use super::{Core, OVERDUE};
use crate::net::ask::{Answer, Ask};
use crate::net::handle::Name;
use crate::net::open::{Due, Open};
use crate::net::roster::hash;
use crate::net::transport::End;

impl Core {
    pub(super) fn on_request(
        &mut self,
        id: RequestId,
        ask: Ask,
        arrived: Instant,
        answer: oneshot::Sender<Answer>,
        name: Rc<Name>,
    ) {
        let deadline = self.clock.at(arrived) + ask.left.as_nanos() as Nanos;
        if let Some(tap) = self.tap.as_ref().filter(|tap| tap.is_on()) {
            tap.record(&Told::Asked {
                id,
                class: ask.class as u16,
                tenant: ask.tenant.map(|tenant| tenant.0),
                left: ask.left.as_nanos() as Nanos,
                sending: ask.sending.as_nanos() as Nanos,
                name: text::Name::new(&ask.correlation),
                revision: ask.revision,
            });
        }
        let overdue = (deadline + OVERDUE, Due::Overdue(id.0));
        self.timers.insert(overdue);
        let open = Open {
            call: Rc::new(ask.call),
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
            cost_hint: ask.hint.filter(|&hint| hint > 0),
            key: ask.key.map(|key| hash(&key)),
            deadline,
        }));
    }

    /// Gives the final answer, once; tells whether it was this one.
    pub(super) fn answer(&mut self, id: RequestId, answer: Answer) -> bool {
        let Some(open) = self.open.get_mut(&id) else { return false };
        let Some(sender) = open.answer.take() else { return false };
        open.call.over.set(true);
        self.tell(&Told::Over { id, how: how(&answer) });
        // A client that has left by now gets no answer, and needs none.
        let _ = sender.send(answer);
        self.free(id);
        true
    }

    fn free(&mut self, id: RequestId) {
        if self.open.get(&id).is_some_and(Open::is_over) {
            let timers = self.open.remove(&id).map_or_else(Vec::new, |open| open.timers);
            for timer in timers {
                self.timers.remove(&timer);
            }
        }
    }

    pub(super) fn arm(&mut self, at: Nanos, token: TimerToken) {
        let timer = (at, Due::Timer(token.0));
        if let Some(id) = token.request() {
            // Of one that is over it would do nothing.
            let Some(open) = self.open.get_mut(&id) else { return };
            open.timers.push(timer);
        }
        self.timers.insert(timer);
    }

    pub(super) fn on_client_gone(&mut self, id: RequestId) {
        if self.answer(id, Answer::Left) {
            self.events.push_back(Event::ClientDisconnected(id));
        }
    }

    /// When a request is due whose body still passes through, or has only just: its time counts from its last byte.
    pub(super) fn later(&self, id: RequestId) -> Option<Nanos> {
        let upload = self.open.get(&id)?.call.rest.as_ref()?;
        let due = match upload.done() {
            Some(done) => self.clock.at(Instant::from_std(done) + upload.left) + OVERDUE,
            None if upload.is_going() => self.now() + SECOND / 10,
            None => return None,
        };
        (due > self.now()).then_some(due)
    }

    /// A body that has gone to one server in part can go to no other: what becomes of its request is no longer a choice.
    fn end_bound(&mut self, id: RequestId, outcome: AttemptOutcome) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let Some(upload) = open.call.rest.as_ref().filter(|upload| upload.is_bound()) else { return };
        let (again, broken) = (outcome.never_executed(self.full_unproven), upload.is_broken());
        let too_long = upload.is_too_long();
        let error = open.error.take().map(Answer::Served);
        let given = error.unwrap_or(match outcome {
            _ if too_long => Answer::TooLong,
            _ if broken => Answer::Broken,
            _ if again => Answer::Refused(self.advice),
            AttemptOutcome::TimedOut => Answer::Late,
            _ => Answer::Failed,
        });
        self.answer(id, given);
    }

    /// The answer is past due, or the process is about to end.
    pub(super) fn on_overdue(&mut self, id: RequestId) {
        if self.answer(id, Answer::Late) {
            self.events.push_back(Event::ClientDisconnected(id));
        }
    }

    pub(super) fn on_ended(
        &mut self,
        id: RequestId,
        attempt: AttemptNo,
        server: EndpointId,
        sent: Nanos,
        End { outcome, answer, refused, took, dial, idle, short }: End,
    ) {
        let took = took.map_or_else(|| self.now().saturating_sub(sent), |took| took.as_nanos() as Nanos);
        let dial = dial.as_nanos() as Nanos;
        let idle = idle.map(|idle| idle.as_nanos() as Nanos);
        self.tell(&Told::Ended { id, attempt, server, outcome, took, dial, idle });
        if short {
            self.tell(&Told::Short(Short::Dial));
        }
        if let Some(open) = self.open.get_mut(&id)
            && let Some(out) = open.attempts.get_mut(usize::from(attempt.0))
        {
            *out = None;
        }
        match answer {
            Some(served) if outcome == AttemptOutcome::Success => {
                self.answer(id, Answer::Served(served));
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
            if let Some(change) = self.roster.heard(server, refused, connected, now_ms) {
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
fn how(answer: &Answer) -> How {
    match answer {
        Answer::Served(served) if served.status.is_server_error() => How::ServedFault,
        Answer::Served(_) => How::Served,
        Answer::Refused(_) => How::Refused,
        Answer::Failed => How::Failed,
        Answer::Late => How::Late,
        Answer::Broken | Answer::TooLong => How::Body,
        Answer::Left => How::Left,
    }
}
