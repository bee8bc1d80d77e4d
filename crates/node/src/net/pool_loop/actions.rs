//! What the module wants done.

use pumicehead_flight_recorder::event::Event as Told;
use pumicehead_policy::{
    Action, AttemptEnded, AttemptNo, AttemptOutcome, EndpointId, Event, Nanos, RequestId,
};
use tokio::sync::oneshot;
use tokio::task;

use crate::net::exchange::FinalResponse;
use crate::net::pool_loop::PoolLoop;
use crate::net::pool_message::PoolMessage;
use crate::net::upstream::transport::AttemptDeadlines;

impl PoolLoop {
    pub(super) fn act(&mut self, action: Action) {
        match action {
            Action::StartAttempt { id, endpoint, timeout, start_before } => {
                self.send(id, endpoint, timeout, start_before)
            }
            Action::Reject { id, retry_after } => {
                // A server's own words tell more than that it may be tried again.
                let error = self.open.get_mut(&id).and_then(|open| open.error.take());
                self.answer(id, error.map_or(FinalResponse::Rejected(retry_after), FinalResponse::Upstream));
            }
            Action::Fail(id) => {
                let now = self.now();
                let Some(open) = self.open.get_mut(&id) else { return };
                let late = now >= open.deadline;
                let error = open.error.take().map(FinalResponse::Upstream);
                self.answer(
                    id,
                    error.unwrap_or(if late {
                        FinalResponse::DeadlineExceeded
                    } else {
                        FinalResponse::Failed
                    }),
                );
            }
            Action::CancelAttempt { id, attempt } => {
                let open = self.open.get_mut(&id);
                let out = open.and_then(|open| open.attempts.get_mut(usize::from(attempt.0)));
                if let Some(Some(cancel)) = out {
                    // The attempt stays out until its own end is told.
                    let (spent, _) = oneshot::channel();
                    let _ = std::mem::replace(cancel, spent).send(());
                }
            }
            Action::ArmTimer { at, token } => self.arm(at, token),
            Action::CloseIdleConnections(server) => {
                if let Some(server) = self.roster.server(server) {
                    server.close_idle();
                }
            }
            Action::Subscribe => self.ask_for_list(),
            // There is no way to other nodes here; the configuration keeps notes off.
            Action::SendLoadReport { .. } => {}
        }
    }

    fn send(&mut self, id: RequestId, server: EndpointId, timeout: Option<Nanos>, by: Option<Nanos>) {
        let now = self.now();
        let Some(open) = self.open.get_mut(&id) else { return };
        let attempt = AttemptNo(open.attempts.len() as u8);
        let told = Told::Sent { id, attempt, server, timeout };
        if let Some(tap) = &self.tap {
            tap.record(&told);
        }
        let end = timeout.map_or(open.deadline, |timeout| open.deadline.min(now + timeout));
        let bound = open.call.upload.as_ref().is_some_and(|upload| upload.has_started());
        let known = self.roster.server(server).filter(|_| open.answer.is_some() && now < end && !bound);
        let Some(known) = known.cloned() else {
            open.attempts.push(None);
            if let Some(tap) = &self.tap {
                tap.record(&Told::Ended {
                    id,
                    attempt,
                    server,
                    outcome: AttemptOutcome::NotSent,
                    took: 0,
                    dial: 0,
                    idle: None,
                });
            }
            return self.events.push_back(Event::AttemptEnded(AttemptEnded {
                id,
                attempt,
                endpoint: server,
                outcome: AttemptOutcome::NotSent,
                duration: 0,
                final_answer: open.answer.is_none(),
            }));
        };
        let (cancel, cancelled) = oneshot::channel();
        open.attempts.push(Some(cancel));
        let call = open.call.clone();
        let instant = |at| self.clock.instant_at(at);
        let times =
            AttemptDeadlines { deadline: instant(end), start_before: instant(by.unwrap_or(Nanos::MAX)) };
        let messages = self.to_self.clone();
        task::spawn_local(async move {
            let to_core = messages.clone();
            let begin = move |served| drop(to_core.send(PoolMessage::ResponseStarted(id, attempt, served)));
            let end = known.attempt(call, times, cancelled, Box::new(begin)).await;
            let _ = messages.send(PoolMessage::AttemptEnded { id, attempt, server, sent: now, end });
        });
    }
}
