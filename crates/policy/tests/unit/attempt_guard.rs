//! Each condition of the guard by itself. Other rules also avoid attempts that the guard forbids; here the
//! guard is the only one.

use super::*;
use crate::endpoints::EndpointIndex;
use crate::priority::PriorityTier;
use crate::tenant_shares::TenantShares;
use crate::{CellId, Class, EndpointId, EndpointInfo, EndpointState, SECOND, Settings, ZoneId};

const WINDOW: Nanos = SECOND;

fn settings(idempotency: Idempotency) -> Settings {
    Settings {
        node_index: 0,
        node_count: 1,
        zone: ZoneId(0),
        zone_count: 2,
        classes: vec![Class {
            latency_objective: SECOND,
            objective_per_work: 0.0,
            deadline: 4 * SECOND,
            priority_weight: 1.0,
            late_weight: 0.0,
            idempotency,
            ordered_by_key: false,
        }],
        tenants: TenantShares::default(),
        over_share_weight: 0.2,
        weight_by_work: false,
        discovery: crate::Discovery::Push,
        tick: SECOND / 1000,
        max_attempts: 3,
        concurrent_attempts: true,
        cancellation: true,
        retry_after: true,
        max_retry_after: SECOND,
        connections_have_cost: false,
        cross_zone_cost: 0.0,
        weight_is_capacity: false,
        load_reports: false,
        load_report_cost: 0.0,
        poll_interval: SECOND,
        drain_grace: 2 * SECOND,
        warmup_initial_fraction: 0.2,
        warmup_duration: 10 * SECOND,
        overload_multiple: 2.0,
        overload_duration: SECOND,
        rejection_may_execute: false,
        key_cooldown: 0,
        drain_idle_close: None,
    }
}

/// Returns a node with endpoints 0 and 1 (zone 0, cells 0 and 1) and 2 (zone 1, cell 2), and with request 7
/// whose attempts at endpoint 0 were sent at second 10. It is second 10.1.
fn node(idempotency: Idempotency, attempts: &[Execution]) -> Balancer {
    let mut node = Balancer::new(settings(idempotency), 1);
    for (id, zone) in [(0, 0), (1, 0), (2, 1)] {
        let info = EndpointInfo {
            id: EndpointId(id),
            zone: ZoneId(zone),
            cell: CellId(id as u16),
            state: EndpointState::Ready,
            started_at: 0,
            weight: 1.0,
        };
        node.update_endpoint(&info);
    }
    let sent_at = 10 * SECOND;
    let attempt = |&execution: &Execution| Attempt {
        endpoint: EndpointId(0),
        zone: ZoneId(0),
        cell: CellId(0),
        sent_at,
        execution,
    };
    let attempts: Vec<Attempt> = attempts.iter().map(attempt).collect();
    let request = Request {
        class: ClassId(0),
        priority_weight: 1.0,
        tier: PriorityTier::Highest,
        relative_cost: 1.0,
        objective_deadline: 11 * SECOND,
        deadline: 14 * SECOND,
        in_flight: attempts.iter().filter(|attempt| attempt.execution == Execution::InFlight).count(),
        attempts,
        queued: None,
        done: false,
        key: None,
    };
    node.requests.insert(RequestId(7), request);
    node.now = sent_at + SECOND / 10;
    node
}

fn allowed_at_endpoints(node: &Balancer) -> [bool; 3] {
    [0, 1, 2].map(|index| node.may_send(RequestId(7), EndpointIndex(index)))
}

fn keyed(scope: DedupScope) -> Idempotency {
    Idempotency::IdempotencyKey { scope, window: WINDOW }
}

#[test]
fn no_attempt_after_the_final_answer_or_the_deadline() {
    assert_eq!(allowed_at_endpoints(&node(Idempotency::Idempotent, &[])), [true; 3]);
    assert!(
        !node(Idempotency::Idempotent, &[]).may_send(RequestId(8), EndpointIndex(1)),
        "request 8 is unknown"
    );
    let mut done = node(Idempotency::Idempotent, &[]);
    done.requests.get_mut(&RequestId(7)).unwrap().done = true;
    assert_eq!(allowed_at_endpoints(&done), [false; 3]);
    let mut late = node(Idempotency::Idempotent, &[]);
    late.now = 14 * SECOND;
    assert_eq!(allowed_at_endpoints(&late), [false; 3]);
}

#[test]
fn attempts_that_may_have_executed_are_repeated_only_where_allowed() {
    for execution in [Execution::MaybeExecuted, Execution::InFlight] {
        let allowed_after_attempt = |idempotency| allowed_at_endpoints(&node(idempotency, &[execution]));
        assert_eq!(
            allowed_after_attempt(Idempotency::Idempotent),
            [false, true, true],
            "only at other endpoints"
        );
        assert_eq!(allowed_after_attempt(Idempotency::NotIdempotent), [false; 3]);
        assert_eq!(allowed_after_attempt(keyed(DedupScope::Cell)), [false; 3]);
        assert_eq!(allowed_after_attempt(keyed(DedupScope::Zone)), [false, true, false]);
        assert_eq!(allowed_after_attempt(keyed(DedupScope::All)), [false, true, true]);
    }
    for idempotency in [Idempotency::Idempotent, Idempotency::NotIdempotent, keyed(DedupScope::Cell)] {
        assert_eq!(
            allowed_at_endpoints(&node(idempotency, &[Execution::NotExecuted])),
            [true; 3],
            "nothing was executed"
        );
        let later =
            allowed_at_endpoints(&node(idempotency, &[Execution::NotExecuted, Execution::MaybeExecuted]));
        assert_eq!(later[1], idempotency == Idempotency::Idempotent, "later attempts count as well");
    }
    let mut near_window_end = node(keyed(DedupScope::All), &[Execution::MaybeExecuted]);
    near_window_end.now = 10 * SECOND + WINDOW / 10 * 9;
    assert_eq!(allowed_at_endpoints(&near_window_end), [false; 3], "the window is nearly over");
    let mut without_concurrency = node(Idempotency::Idempotent, &[Execution::InFlight]);
    without_concurrency.settings.concurrent_attempts = false;
    assert_eq!(allowed_at_endpoints(&without_concurrency), [false; 3]);
}

#[test]
fn no_attempt_at_draining_endpoints_or_beyond_max_attempts() {
    let mut draining = node(Idempotency::Idempotent, &[]);
    draining.endpoints[EndpointIndex(1)].ready = false;
    assert_eq!(allowed_at_endpoints(&draining), [true, false, true]);
    assert_eq!(allowed_at_endpoints(&node(Idempotency::Idempotent, &[Execution::NotExecuted; 2])), [true; 3]);
    assert_eq!(
        allowed_at_endpoints(&node(Idempotency::Idempotent, &[Execution::NotExecuted; 3])),
        [false; 3]
    );
}

#[test]
fn only_the_first_request_of_a_cooled_down_key_is_sent() {
    let keyed = |attempts: &[Execution], has_earlier: bool, in_cooldown: bool| {
        let mut node = node(Idempotency::Idempotent, attempts);
        node.requests.get_mut(&RequestId(7)).unwrap().key = Some(3);
        if has_earlier {
            node.ordered_keys.push(3, RequestId(6));
        }
        node.ordered_keys.push(3, RequestId(7));
        if in_cooldown {
            let until = node.now + 1;
            node.ordered_keys.start_cooldown(3, until);
        }
        allowed_at_endpoints(&node)[1]
    };
    assert!(keyed(&[], false, false), "it is the first request of its key");
    assert!(!keyed(&[], true, false), "an earlier request has not ended");
    assert!(!keyed(&[], false, true), "the key is in cooldown");
    assert!(keyed(&[Execution::MaybeExecuted], false, true), "a retry needs no cooldown");
    assert!(!keyed(&[Execution::MaybeExecuted], true, false), "a retry needs the turn as well");
}
