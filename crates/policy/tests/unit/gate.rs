//! The gate alone: one table, with a row for every line of it. Other parts of the module also keep away
//! from what it forbids; here nothing but the gate stands between a request and a server.

use super::*;
use crate::CellId;
use crate::tenant_shares::TenantShares;

const WINDOW: Nanos = SECOND;

fn settings(effect: Idempotency) -> Settings {
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
            idempotency: effect,
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

/// A node with servers 0, 1 (zone 0, cells 0 and 1) and 2 (zone 1, cell 2), and request 7 with attempts at
/// server 0 that ended so, the first sent at second 10; it is second 10.1 now.
fn node(effect: Idempotency, attempts: &[Ran]) -> Balancer {
    let mut node = Balancer::new(settings(effect), 1);
    for (id, zone) in [(0, 0), (1, 0), (2, 1)] {
        let info = EndpointInfo {
            id: EndpointId(id),
            zone: ZoneId(zone),
            cell: CellId(id as u16),
            state: EndpointState::Ready,
            started_at: 0,
            weight: 1.0,
        };
        node.learn(&info);
    }
    let sent = 10 * SECOND;
    let attempt = |&ran| Attempt { server: EndpointId(0), zone: ZoneId(0), cell: CellId(0), sent, ran };
    let attempts: Vec<Attempt> = attempts.iter().map(attempt).collect();
    let request = Request {
        class: ClassId(0),
        worth: 1.0,
        tier: HIGHEST,
        work: 1.0,
        aim_at: 11 * SECOND,
        not_after: 14 * SECOND,
        out: attempts.iter().filter(|a| a.ran == Ran::Outstanding).count(),
        attempts,
        held: None,
        done: false,
        key: None,
    };
    node.requests.insert(RequestId(7), request);
    node.now = sent + SECOND / 10;
    node
}

fn allowed(node: &Balancer) -> [bool; 3] {
    [0, 1, 2].map(|slot| node.may_send(RequestId(7), slot))
}

fn keyed(group: DedupScope) -> Idempotency {
    Idempotency::IdempotencyKey { scope: group, window: WINDOW }
}

#[test]
fn rule_1_nothing_after_the_end_or_too_late() {
    assert_eq!(allowed(&node(Idempotency::Idempotent, &[])), [true; 3]);
    assert!(!node(Idempotency::Idempotent, &[]).may_send(RequestId(8), 1), "an unknown request");
    let mut over = node(Idempotency::Idempotent, &[]);
    over.requests.get_mut(&RequestId(7)).unwrap().done = true;
    assert_eq!(allowed(&over), [false; 3]);
    let mut late = node(Idempotency::Idempotent, &[]);
    late.now = 14 * SECOND;
    assert_eq!(allowed(&late), [false; 3]);
}

#[test]
fn rule_2_what_may_have_run() {
    for ran in [Ran::Maybe, Ran::Outstanding] {
        let tried = |effect| allowed(&node(effect, &[ran]));
        assert_eq!(tried(Idempotency::Idempotent), [false, true, true], "elsewhere");
        assert_eq!(tried(Idempotency::NotIdempotent), [false; 3]);
        assert_eq!(tried(keyed(DedupScope::Cell)), [false; 3]);
        assert_eq!(tried(keyed(DedupScope::Zone)), [false, true, false]);
        assert_eq!(tried(keyed(DedupScope::All)), [false, true, true]);
    }
    for effect in [Idempotency::Idempotent, Idempotency::NotIdempotent, keyed(DedupScope::Cell)] {
        assert_eq!(allowed(&node(effect, &[Ran::Never])), [true; 3], "proven that nothing ran");
        let later = allowed(&node(effect, &[Ran::Never, Ran::Maybe]));
        assert_eq!(later[1], effect == Idempotency::Idempotent, "the later attempt counts as well");
    }
    let mut past = node(keyed(DedupScope::All), &[Ran::Maybe]);
    past.now = 10 * SECOND + WINDOW / 10 * 9;
    assert_eq!(allowed(&past), [false; 3], "the window is nearly over");
    let mut single = node(Idempotency::Idempotent, &[Ran::Outstanding]);
    single.settings.concurrent_attempts = false;
    assert_eq!(allowed(&single), [false; 3]);
}

#[test]
fn rule_3_drains_and_the_limit_of_attempts() {
    let mut draining = node(Idempotency::Idempotent, &[]);
    draining.servers[1].ready = false;
    assert_eq!(allowed(&draining), [true, false, true]);
    assert_eq!(allowed(&node(Idempotency::Idempotent, &[Ran::Never; 2])), [true; 3]);
    assert_eq!(allowed(&node(Idempotency::Idempotent, &[Ran::Never; 3])), [false; 3]);
}

#[test]
fn rule_5_order_by_key_over_who_is_first_and_the_rest() {
    let keyed = |attempts: &[Ran], earlier: bool, resting: bool| {
        let mut node = node(Idempotency::Idempotent, attempts);
        node.requests.get_mut(&RequestId(7)).unwrap().key = Some(3);
        if earlier {
            node.turns.join(3, RequestId(6));
        }
        node.turns.join(3, RequestId(7));
        if resting {
            let until = node.now + 1;
            node.turns.rest(3, until);
        }
        allowed(&node)[1]
    };
    assert!(keyed(&[], false, false), "first of its line");
    assert!(!keyed(&[], true, false), "an earlier one is not over");
    assert!(!keyed(&[], false, true), "the key rests");
    assert!(keyed(&[Ran::Maybe], false, true), "who has the turn needs no rest");
    assert!(!keyed(&[Ran::Maybe], true, false), "not without the turn");
}
