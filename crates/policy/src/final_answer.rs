//! End of a request: final answers given by this node itself, and the consequences of any final answer.

use crate::balancer::Balancer;
use crate::decision_event::{DecisionEvent, RejectionReason};
use crate::request::{Execution, Request};
use crate::{Action, AttemptNo, RequestId};

impl Balancer {
    /// Gives a request its final answer. A rejection promises that nothing was executed, or that the client
    /// may retry anyway. Where that isn't certain, the answer is a failure.
    pub(crate) fn answer(&mut self, id: RequestId, reason: RejectionReason, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id).filter(|request| !request.done) else { return };
        let is_queue_too_long = reason == RejectionReason::ExpectedWaitTooLong;
        let wait_share = if is_queue_too_long { self.wait_share(request) as f32 } else { 0.0 };
        if self.may_reject(request) {
            actions.push(Action::Reject { id, retry_after: self.settings.retry_after_hint() });
        } else {
            actions.push(Action::Fail(id));
        }
        if is_queue_too_long || reason == RejectionReason::QueueTimeout {
            self.begin_overload();
        }
        self.trace(|_| DecisionEvent::AnsweredWithoutEndpoint { id, reason, wait_share });
        self.end_request(id, None, actions);
    }

    /// Ends a request that has its final answer or needs none: no further attempt is started, all attempts in
    /// flight except `keep` are cancelled, and once the last attempt has ended it is the turn of the next
    /// request with its key.
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

/// Returns the attempts of a request that are in flight.
fn in_flight(request: &Request) -> impl Iterator<Item = AttemptNo> {
    let numbered = (0..).map(AttemptNo).zip(&request.attempts);
    let in_flight = numbered.filter(|(_, attempt)| attempt.execution == Execution::InFlight);
    in_flight.map(|(number, _)| number)
}
