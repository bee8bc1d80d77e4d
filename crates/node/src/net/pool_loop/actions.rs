//! Executes the actions of the decision module.

use pumicehead_policy::{Action, AttemptNo, EndpointId, Nanos, RequestId};
use tokio::sync::oneshot;

use super::PoolLoop;
use crate::net::exchange::FinalResponse;

impl PoolLoop {
    pub(super) fn apply(&mut self, action: Action) {
        match action {
            Action::StartAttempt { id, endpoint, timeout, start_before } => {
                self.start_attempt(id, endpoint, timeout, start_before);
            }
            Action::Reject { id, retry_after } => self.reject(id, retry_after),
            Action::Fail(id) => self.fail(id),
            Action::CancelAttempt { id, attempt } => self.cancel_attempt(id, attempt),
            Action::ArmTimer { at, token } => self.arm_policy_timer(at, token),
            Action::CloseIdleConnections(endpoint) => self.close_idle_connections(endpoint),
            Action::Subscribe => self.ensure_watch(),
            // Load reports need a connection to other nodes, which does not exist here; the configuration keeps them
            // disabled.
            Action::SendLoadReport { .. } => {}
        }
    }

    /// Rejects a request. An endpoint's error response takes precedence, because it says more than that a retry is
    /// possible.
    fn reject(&mut self, id: RequestId, retry_after: Option<Nanos>) {
        let error = self.in_flight.get_mut(&id).and_then(|in_flight| in_flight.error_response.take());
        self.respond(id, error.map_or(FinalResponse::Rejected(retry_after), FinalResponse::Upstream));
    }

    /// Fails a request, with an endpoint's error response if there is one.
    fn fail(&mut self, id: RequestId) {
        let now = self.now();
        let Some(in_flight) = self.in_flight.get_mut(&id) else { return };
        let without_error =
            if now >= in_flight.deadline { FinalResponse::DeadlineExceeded } else { FinalResponse::Failed };
        let error = in_flight.error_response.take().map(FinalResponse::Upstream);
        self.respond(id, error.unwrap_or(without_error));
    }

    /// Cancels an attempt, which stays in flight until it reports its end.
    fn cancel_attempt(&mut self, id: RequestId, attempt: AttemptNo) {
        let in_flight = self.in_flight.get_mut(&id);
        let cancel = in_flight.and_then(|in_flight| in_flight.attempts.get_mut(usize::from(attempt.0)));
        if let Some(Some(cancel)) = cancel {
            let (spent, _) = oneshot::channel();
            let _ = std::mem::replace(cancel, spent).send(());
        }
    }

    fn close_idle_connections(&self, endpoint: EndpointId) {
        if let Some(connector) = self.directory.connector(endpoint) {
            connector.close_idle();
        }
    }
}
