//! Admission, queueing and dispatch by priority tier.

mod common;

use common::*;
use pumicehead_policy::decision_event::DecisionEvent;
use pumicehead_policy::*;

/// Uses up all capacity with requests of the class with the lower weight. Returns the number of attempts in
/// flight.
fn fill(node: &mut TestNode) -> usize {
    while node.queued_count() == 0 {
        node.request(0, 900 * MS);
        assert!(node.requests.len() < 1000, "the capacity is bounded");
    }
    node.attempts_in_flight().len()
}

#[test]
fn requests_are_sent_in_order_of_arrival_while_there_is_capacity() {
    let mut node = TestNode::with_endpoints(two_classes(), 4);
    for class in [0, 1, 0, 1] {
        let id = node.request(class, 900 * MS);
        assert_eq!(node.attempts_of(id).len(), 1, "sent at once, whatever its weight");
    }
}

#[test]
fn capacity_is_bounded_and_the_highest_tier_is_dispatched_first() {
    let mut node = TestNode::with_endpoints(two_classes(), 4);
    let in_flight = fill(&mut node);
    assert!(in_flight > 0 && in_flight < 100, "{in_flight}");
    let low = node.request(0, 900 * MS);
    let high = node.request(1, 900 * MS);
    for _ in 0..in_flight {
        let Some(&(id, n)) = node.attempts_in_flight().first() else { break };
        node.now += 5 * MS;
        node.end_attempt(id, n, AttemptOutcome::Success);
        if !node.attempts_of(high).is_empty() {
            break;
        }
    }
    assert_eq!((node.attempts_of(high).len(), node.attempts_of(low).len()), (1, 0));
}

#[test]
fn overload_rejects_the_lowest_tier_first_and_ends_by_itself() {
    let mut node = TestNode::with_endpoints(two_classes(), 2);
    // Responses take 100 ms, and far more requests arrive than two endpoints can serve.
    let step = |node: &mut TestNode, classes: &[usize]| {
        for &class in classes {
            node.request(class, 900 * MS);
        }
        node.advance(node.now + 20 * MS);
        for (id, n) in node.attempts_in_flight() {
            if node.now >= node.attempts_of(id)[n].sent_at + 100 * MS {
                node.end_attempt(id, n, AttemptOutcome::Success);
            }
        }
    };
    for _ in 0..150 {
        step(&mut node, &[0, 0, 0, 0, 0, 0, 0, 1]);
    }
    let rejected = |node: &TestNode, class: usize| {
        let ids = node
            .actions
            .iter()
            .filter_map(|action| if let Action::Reject { id, .. } = action { Some(id.0) } else { None });
        ids.filter(|id| node.requests[id].class == class).count()
    };
    let (low, high) = (rejected(&node, 0), rejected(&node, 1));
    assert!(low > 100 && high * 3 < low, "{low} requests of low weight rejected, {high} of high weight");
    assert!(node.decision_events.iter().any(|event| matches!(event, DecisionEvent::OverloadStarted { .. })));
    for _ in 0..100 {
        step(&mut node, &[]);
    }
    let before = rejected(&node, 0);
    for _ in 0..20 {
        step(&mut node, &[0]);
    }
    assert_eq!(rejected(&node, 0), before, "no request is rejected after the overload");
    assert!(node.decision_events.contains(&DecisionEvent::OverloadEnded));
    assert!(node.violations.is_empty());
}

#[test]
fn requests_past_their_objective_are_answered_even_if_late_responses_count() {
    let late_class = Class { late_weight: 0.3, deadline: 5 * SECOND, ..class(Idempotency::Idempotent, 1.0) };
    let mut node = TestNode::with_endpoints(settings(vec![late_class]), 1);
    for _ in 0..40 {
        node.request(0, 5 * SECOND);
    }
    // Without any response, queued requests are answered at their objective of 500 ms and not at their
    // deadline.
    node.advance(node.now + 600 * MS);
    assert_eq!(node.queued_count(), 0);
}

#[test]
fn a_tenant_over_its_share_gets_a_lower_tier() {
    let mut node_settings =
        settings(vec![class(Idempotency::Idempotent, 1.0), class(Idempotency::Idempotent, 1.2)]);
    node_settings.tenants =
        vec![Tenant { share: 0.1, allowance_per_s: 1.0 }, Tenant { share: 0.9, allowance_per_s: 1000.0 }]
            .into();
    let mut node = TestNode::with_endpoints(node_settings, 1);
    for _ in 0..40 {
        node.request_of_tenant(1, 900 * MS, Some(TenantId(0)));
    }
    let over_share = node.request_of_tenant(1, 900 * MS, Some(TenantId(0)));
    let within_share = node.request_of_tenant(1, 900 * MS, Some(TenantId(1)));
    while node.attempts_of(within_share).is_empty() {
        let (id, n) = node.attempts_in_flight()[0];
        node.now += 2 * MS;
        node.end_attempt(id, n, AttemptOutcome::Success);
    }
    assert!(node.attempts_of(over_share).is_empty());
}

#[test]
fn requests_without_endpoints_are_queued_then_answered_in_time() {
    for idempotency in [Idempotency::Idempotent, Idempotency::NotIdempotent] {
        let mut node = TestNode::new(settings(vec![class(idempotency, 1.0)]), 1);
        node.update_endpoints(EndpointUpdate::Restored(list([])));
        for timeout in [1, 20, 300, 900] {
            node.request(0, timeout * MS);
        }
        node.advance(node.now + 2 * SECOND);
        assert!(node.all_answered() && node.violations.is_empty(), "{:?}", node.violations);
    }
}

/// Uses up the capacity of a single endpoint that takes 300 ms per request (with `outcome` after that time).
/// Then a request of the highest tier arrives with an objective of 500 ms, and after `wait` all capacity
/// becomes free.
fn request_after_wait(wait: Nanos, outcome: AttemptOutcome) -> (TestNode, RequestId) {
    let mut node = TestNode::with_endpoints(
        settings(vec![class(Idempotency::NotIdempotent, 1.0), class(Idempotency::NotIdempotent, 10.0)]),
        1,
    );
    for round in 0..90 {
        let id = node.request(1, 900 * MS);
        node.advance(node.now + if round < 30 { 100 * MS } else { 300 * MS });
        if !node.attempts_of(id).is_empty() {
            node.end_attempt(id, 0, if round < 30 { AttemptOutcome::Success } else { outcome });
        }
    }
    let mut id = node.request(1, 900 * MS);
    while node.queued_count() == 0 {
        id = node.request(1, 900 * MS);
    }
    node.advance(node.now + wait);
    for (in_flight, n) in node.attempts_in_flight() {
        node.end_attempt(in_flight, n, AttemptOutcome::Success);
    }
    assert!(node.violations.is_empty());
    (node, id)
}

#[test]
fn a_queued_request_is_sent_while_it_can_be_in_time_else_rejected() {
    let (node, id) = request_after_wait(150 * MS, AttemptOutcome::Success);
    assert_eq!(node.attempts_of(id).len(), 1, "350 ms are left until the objective");
    let (node, id) = request_after_wait(260 * MS, AttemptOutcome::Success);
    assert_eq!(
        (node.attempts_of(id).len(), node.requests[&id.0].final_answers),
        (0, 1),
        "240 ms are left until the objective"
    );
}

#[test]
fn timeouts_raise_the_expected_latency() {
    let (node, id) = request_after_wait(260 * MS, AttemptOutcome::TimedOut);
    assert_eq!(
        (node.attempts_of(id).len(), node.requests[&id.0].final_answers),
        (0, 1),
        "240 ms are left until the objective"
    );
}
