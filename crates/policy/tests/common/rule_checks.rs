//! The rules, checked on every action, independently of the module.

use pumicehead_policy::*;

use super::{AttemptRecord, MS, TestNode};

/// Whether an outcome proves that nothing was executed; written independently of the module.
fn proves(outcome: AttemptOutcome, full_unproven: bool) -> bool {
    match outcome {
        AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent => true,
        AttemptOutcome::Rejected => !full_unproven,
        _ => false,
    }
}

impl TestNode {
    /// Idle connections to a draining endpoint are closed within the limit, where there is one.
    pub(super) fn check_idle_connections(&mut self) {
        let Some(within) = self.settings.drain_idle_close else { return };
        for server in self.endpoints.values().filter(|s| s.state == EndpointState::Draining) {
            let Some(&used) = self.last_used_at.get(&server.id) else { continue };
            let busy =
                self.in_flight.iter().any(|&(id, n)| self.requests[&id.0].attempts[n].endpoint == server.id);
            let freed = self.idle_closed_at.get(&server.id).copied().unwrap_or(0);
            if !busy && self.now > used + within && freed < used {
                self.violations.push(format!("7: links to {:?} open past their time", server.id));
            }
        }
    }

    /// In ordered classes, every earlier request of the key is over, its attempts have ended, and the key's
    /// cooldown is over if one of them may still be executing.
    pub(super) fn check_order(&mut self, id: RequestId) {
        let known = &self.requests[&id.0];
        if known.key.is_none() || !self.settings.classes[known.class].ordered_by_key {
            return;
        }
        for earlier in self.requests.range(..id.0).map(|(_, k)| k) {
            if earlier.key != known.key || !self.settings.classes[earlier.class].ordered_by_key {
                continue;
            }
            let rests = |t: &AttemptRecord| {
                matches!(
                    t.outcome,
                    Some(AttemptOutcome::TimedOut | AttemptOutcome::Reset | AttemptOutcome::Cancelled)
                ) && self.now < t.ended_at + self.settings.key_cooldown
            };
            if earlier.over_since.is_none()
                || earlier.attempts.iter().any(|t| t.outcome.is_none() || rests(t))
            {
                self.violations.push(format!("5: {id:?} sent out of turn"));
                return;
            }
        }
    }

    pub(super) fn check(&mut self, action: &Action) {
        match *action {
            Action::ArmTimer { at, token } => {
                assert!(at > self.now, "a timer in the past");
                self.next_timer += 1;
                self.timers.insert((at, self.next_timer), token);
            }
            Action::StartAttempt { id, endpoint, .. } => self.check_send(id, endpoint),
            Action::Reject { id, .. } => self.check_final(id, true),
            Action::Fail(id) => self.check_final(id, false),
            Action::CancelAttempt { id, attempt } => {
                let known = &self.requests[&id.0];
                assert!(usize::from(attempt.0) < known.attempts.len(), "cancel of an attempt never made");
            }
            Action::CloseIdleConnections(server) => drop(self.idle_closed_at.insert(server, self.now)),
            Action::Subscribe | Action::SendLoadReport { .. } => {}
        }
    }

    pub(super) fn check_send(&mut self, id: RequestId, server: EndpointId) {
        self.check_order(id);
        self.last_used_at.insert(server, self.now);
        let mut broken = Vec::new();
        let known = self.requests.get_mut(&id.0).unwrap();
        let (class, full) = (&self.settings.classes[known.class], self.settings.rejection_may_execute);
        if known.over_since.is_some() {
            broken.push(format!("1: sent {id:?} after its end"));
        }
        let unproven: Vec<&AttemptRecord> =
            known.attempts.iter().filter(|t| !t.outcome.is_some_and(|end| proves(end, full))).collect();
        if !unproven.is_empty() {
            match class.idempotency {
                Idempotency::Idempotent => {}
                Idempotency::NotIdempotent => broken.push(format!("2: unsafe {id:?} sent twice")),
                Idempotency::IdempotencyKey { scope, window } => {
                    let first = unproven.iter().min_by_key(|t| t.sent_at).unwrap();
                    if self.now > first.sent_at + window {
                        broken.push(format!("2: keyed {id:?} sent outside of its window"));
                    }
                    let (a, b) = (&self.endpoints[&first.endpoint], &self.endpoints[&server]);
                    let inside = match scope {
                        DedupScope::All => true,
                        DedupScope::Zone => a.zone == b.zone,
                        DedupScope::Cell => a.cell == b.cell,
                    };
                    if !inside {
                        broken.push(format!("2: keyed {id:?} sent outside of its group"));
                    }
                }
            }
        }
        if known.attempts.iter().any(|t| t.outcome.is_none()) && !self.settings.concurrent_attempts {
            broken.push(format!("2: two attempts of {id:?} at once"));
        }
        if known.attempts.len() >= self.settings.max_attempts as usize {
            broken.push(format!("attempts: too many of {id:?}"));
        }
        if self.endpoints.get(&server).is_none_or(|s| s.state != EndpointState::Ready) {
            broken.push(format!("3: sent to {server:?}, which drains or is gone"));
        }
        self.in_flight.insert((id, known.attempts.len()));
        known.attempts.push(AttemptRecord {
            endpoint: server,
            sent_at: self.now,
            outcome: None,
            ended_at: 0,
        });
        self.violations.extend(broken);
    }

    pub(super) fn check_final(&mut self, id: RequestId, refused: bool) {
        let known = self.requests.get_mut(&id.0).unwrap();
        known.final_answers += 1;
        if known.final_answers > 1 {
            self.violations.push(format!("1: {id:?} answered twice"));
        }
        if self.now > known.deadline + 20 * MS {
            self.violations.push(format!("1: {id:?} answered late"));
        }
        known.over_since.get_or_insert(self.now);
        let full = self.settings.rejection_may_execute;
        let proven = known.attempts.iter().all(|t| t.outcome.is_some_and(|end| proves(end, full)));
        let effect = self.settings.classes[known.class].idempotency;
        if refused
            && !proven
            && !matches!(
                effect,
                Idempotency::Idempotent | Idempotency::IdempotencyKey { scope: DedupScope::All, .. }
            )
        {
            self.violations.push(format!("2: {id:?} refused though it may have run"));
        }
    }
}
