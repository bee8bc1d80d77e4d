//! The end of a request: the final answer that this node gives itself, and what follows from any final
//! answer.

use crate::balancer::Balancer;
use crate::decision_event::{DecisionEvent, RejectionReason};
use crate::request::{Execution, Request};
use crate::{Action, AttemptNo, RequestId};

impl Balancer {
    /// Gives a request its final answer. A rejection promises that nothing was executed, or that the client
    /// may retry all the same; where that isn't certain the answer is a failure.
    pub(crate) fn answer(&mut self, id: RequestId, reason: RejectionReason, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id).filter(|request| !request.done) else { return };
        let is_queue_too_long = reason == RejectionReason::ExpectedWaitTooLong;
        let pressure = if is_queue_too_long { self.wait_share(request) as f32 } else { 0.0 };
        if self.may_reject(request) {
            actions.push(Action::Reject { id, retry_after: self.settings.retry_after_hint() });
        } else {
            actions.push(Action::Fail(id));
        }
        if is_queue_too_long || reason == RejectionReason::QueueTimeout {
            self.begin_overload();
        }
        self.trace(|_| DecisionEvent::AnsweredWithoutEndpoint { id, reason, wait_share: pressure });
        self.end_request(id, None, actions);
    }

    /// Ends a request that has its final answer or needs none: no attempt is started any more, those in
    /// flight are cancelled but for `keep`, and the next request of its key gets its turn after the last has
    /// ended.
    pub(crate) fn end_request(&mut self, id: RequestId, keep: Option<AttemptNo>, actions: &mut Vec<Action>) {
        self.dequeue(id);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let was_done = std::mem::replace(&mut request.done, true);
        if !was_done && self.settings.cancellation {
            let cancelled = in_flight(request).filter(|&attempt| keep != Some(attempt));
            actions.extend(cancelled.map(|attempt| Action::CancelAttempt { id, attempt }));
        }
        let key = request.key;
        if request.in_flight == 0 {
            self.requests.remove(&id);
            if let Some(key) = key {
                self.ordered_keys.remove(key, id);
                self.enqueue_next_of_key(key);
            }
        }
    }
}

/// The attempts of a request that are in flight.
fn in_flight(request: &Request) -> impl Iterator<Item = AttemptNo> {
    let numbered = (0..).map(AttemptNo).zip(&request.attempts);
    let in_flight = numbered.filter(|(_, attempt)| attempt.execution == Execution::InFlight);
    in_flight.map(|(number, _)| number)
}
