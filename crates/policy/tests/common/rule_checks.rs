//! Checks of the platform's rules on every action, independent of the module under test.

use pumicehead_policy::*;

use super::{AttemptRecord, MS, TestNode};

/// Returns whether an outcome proves that nothing was executed; doesn't use the module's own function.
fn proves_not_executed(outcome: AttemptOutcome, rejection_may_execute: bool) -> bool {
    match outcome {
        AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent => true,
        AttemptOutcome::Rejected => !rejection_may_execute,
        _ => false,
    }
}

impl TestNode {
    /// Checks that idle connections to a draining endpoint are closed within the time limit, if there is one.
    pub(super) fn check_idle_connections(&mut self) {
        let Some(within) = self.settings.drain_idle_close else { return };
        for endpoint in self.endpoints.values().filter(|endpoint| endpoint.state == EndpointState::Draining) {
            let Some(&used_at) = self.last_used_at.get(&endpoint.id) else { continue };
            let has_attempts = self
                .in_flight
                .iter()
                .any(|&(id, n)| self.requests[&id.0].attempts[n].endpoint == endpoint.id);
            let closed_at = self.idle_closed_at.get(&endpoint.id).copied().unwrap_or(0);
            if !has_attempts && self.now > used_at + within && closed_at < used_at {
                self.violations
                    .push(format!("idle connections: open to {:?} past the time limit", endpoint.id));
            }
        }
    }

    /// Checks the order of requests in ordered classes: every earlier request of the key has its final
    /// answer, all its attempts have ended, and the key's cooldown is over if one of them may still be
    /// executing.
    pub(super) fn check_key_order(&mut self, id: RequestId) {
        let request = &self.requests[&id.0];
        if request.key.is_none() || !self.settings.classes[request.class].ordered_by_key {
            return;
        }
        for earlier in self.requests.range(..id.0).map(|(_, request)| request) {
            if earlier.key != request.key || !self.settings.classes[earlier.class].ordered_by_key {
                continue;
            }
            let in_cooldown = |attempt: &AttemptRecord| {
                matches!(
                    attempt.outcome,
                    Some(AttemptOutcome::TimedOut | AttemptOutcome::Reset | AttemptOutcome::Cancelled)
                ) && self.now < attempt.ended_at + self.settings.key_cooldown
            };
            if earlier.done_since.is_none()
                || earlier.attempts.iter().any(|attempt| attempt.outcome.is_none() || in_cooldown(attempt))
            {
                self.violations.push(format!("key order: {id:?} sent before its turn"));
                return;
            }
        }
    }

    pub(super) fn check_action(&mut self, action: &Action) {
        match *action {
            Action::ArmTimer { at, token } => {
                assert!(at > self.now, "a timer was armed for the past");
                self.next_timer += 1;
                self.timers.insert((at, self.next_timer), token);
            }
            Action::StartAttempt { id, endpoint, .. } => self.check_attempt(id, endpoint),
            Action::Reject { id, .. } => self.check_final_answer(id, true),
            Action::Fail(id) => self.check_final_answer(id, false),
            Action::CancelAttempt { id, attempt } => {
                let request = &self.requests[&id.0];
                assert!(
                    usize::from(attempt.0) < request.attempts.len(),
                    "an attempt that was never started was cancelled"
                );
            }
            Action::CloseIdleConnections(id) => drop(self.idle_closed_at.insert(id, self.now)),
            Action::Subscribe | Action::SendLoadReport { .. } => {}
        }
    }

    pub(super) fn check_attempt(&mut self, id: RequestId, endpoint: EndpointId) {
        self.check_key_order(id);
        self.last_used_at.insert(endpoint, self.now);
        let mut violations = Vec::new();
        let request = self.requests.get_mut(&id.0).unwrap();
        let class = &self.settings.classes[request.class];
        let rejection_may_execute = self.settings.rejection_may_execute;
        if request.done_since.is_some() {
            violations.push(format!("final answer: {id:?} sent after its end"));
        }
        let is_proven = |outcome: AttemptOutcome| proves_not_executed(outcome, rejection_may_execute);
        let maybe_executed: Vec<&AttemptRecord> =
            request.attempts.iter().filter(|attempt| !attempt.outcome.is_some_and(is_proven)).collect();
        if !maybe_executed.is_empty() {
            match class.idempotency {
                Idempotency::Idempotent => {}
                Idempotency::NotIdempotent => {
                    violations.push(format!("idempotency: {id:?} is not idempotent but was sent again"));
                }
                Idempotency::IdempotencyKey { scope, window } => {
                    let first = maybe_executed.iter().min_by_key(|attempt| attempt.sent_at).unwrap();
                    if self.now > first.sent_at + window {
                        violations.push(format!("idempotency: {id:?} sent again after its key's window"));
                    }
                    let (a, b) = (&self.endpoints[&first.endpoint], &self.endpoints[&endpoint]);
                    let in_scope = match scope {
                        DedupScope::All => true,
                        DedupScope::Zone => a.zone == b.zone,
                        DedupScope::Cell => a.cell == b.cell,
                    };
                    if !in_scope {
                        violations.push(format!("idempotency: {id:?} sent again outside its key's scope"));
                    }
                }
            }
        }
        if request.attempts.iter().any(|attempt| attempt.outcome.is_none())
            && !self.settings.concurrent_attempts
        {
            violations.push(format!("idempotency: two attempts of {id:?} in flight at once"));
        }
        if request.attempts.len() >= self.settings.max_attempts as usize {
            violations.push(format!("attempts: too many of {id:?}"));
        }
        if self.endpoints.get(&endpoint).is_none_or(|info| info.state != EndpointState::Ready) {
            violations.push(format!("drain: an attempt was sent to {endpoint:?}, which is not ready"));
        }
        self.in_flight.insert((id, request.attempts.len()));
        request.attempts.push(AttemptRecord { endpoint, sent_at: self.now, outcome: None, ended_at: 0 });
        self.violations.extend(violations);
    }

    pub(super) fn check_final_answer(&mut self, id: RequestId, is_rejection: bool) {
        let request = self.requests.get_mut(&id.0).unwrap();
        request.final_answers += 1;
        if request.final_answers > 1 {
            self.violations.push(format!("final answer: {id:?} answered twice"));
        }
        if self.now > request.deadline + 20 * MS {
            self.violations.push(format!("final answer: {id:?} answered late"));
        }
        request.done_since.get_or_insert(self.now);
        let rejection_may_execute = self.settings.rejection_may_execute;
        let is_proven = |outcome: AttemptOutcome| proves_not_executed(outcome, rejection_may_execute);
        let not_executed = request.attempts.iter().all(|attempt| attempt.outcome.is_some_and(is_proven));
        let idempotency = self.settings.classes[request.class].idempotency;
        if is_rejection
            && !not_executed
            && !matches!(
                idempotency,
                Idempotency::Idempotent | Idempotency::IdempotencyKey { scope: DedupScope::All, .. }
            )
        {
            self.violations.push(format!("idempotency: {id:?} rejected although it may have executed"));
        }
    }
}
