//! Each part of the mechanism alone.

mod common;

use common::*;
use pumicehead_policy::decision_event::DecisionEvent;
use pumicehead_policy::*;

/// Serves `count` requests one after another, each in `took`.
fn serve(node: &mut Node, count: usize, took: Nanos) {
    for _ in 0..count {
        node.request(0, 900 * MS);
        let to = node.now + took;
        node.advance(to);
        for (id, n) in node.out() {
            node.end(id, n, AttemptOutcome::Success);
        }
    }
}

fn two_classes() -> Settings {
    settings(vec![class(Idempotency::Idempotent, 1.0), class(Idempotency::Idempotent, 10.0)])
}

/// Fills all places with requests of the low class; returns how many went out.
fn fill(node: &mut Node) -> usize {
    while node.held() == 0 {
        node.request(0, 900 * MS);
        assert!(node.requests.len() < 1000, "places are bounded");
    }
    node.out().len()
}

#[test]
fn first_come_first_served_while_there_is_room() {
    let mut node = Node::with_servers(two_classes(), 4);
    for class in [0, 1, 0, 1] {
        let id = node.request(class, 900 * MS);
        assert_eq!(node.tries(id).len(), 1, "sent at once, whatever its worth");
    }
}

#[test]
fn places_are_bounded_and_the_highest_tier_leaves_first() {
    let mut node = Node::with_servers(two_classes(), 4);
    let out = fill(&mut node);
    assert!(out > 0 && out < 100, "{out}");
    let low = node.request(0, 900 * MS);
    let high = node.request(1, 900 * MS);
    for _ in 0..out {
        let Some(&(id, n)) = node.out().first() else { break };
        node.now += 5 * MS;
        node.end(id, n, AttemptOutcome::Success);
        if !node.tries(high).is_empty() {
            break;
        }
    }
    assert_eq!((node.tries(high).len(), node.tries(low).len()), (1, 0));
}

#[test]
fn overload_refuses_the_lowest_tier_first_and_ends_by_itself() {
    let mut node = Node::with_servers(two_classes(), 2);
    // Service takes 100 ms, and far more is asked for than two servers serve.
    let step = |node: &mut Node, classes: &[usize]| {
        for &class in classes {
            node.request(class, 900 * MS);
        }
        node.advance(node.now + 20 * MS);
        for (id, n) in node.out() {
            if node.now >= node.tries(id)[n].at + 100 * MS {
                node.end(id, n, AttemptOutcome::Success);
            }
        }
    };
    for _ in 0..150 {
        step(&mut node, &[0, 0, 0, 0, 0, 0, 0, 1]);
    }
    let refused = |node: &Node, class: usize| {
        let ids =
            node.log.iter().filter_map(|a| if let Action::Reject { id, .. } = a { Some(id.0) } else { None });
        ids.filter(|id| node.requests[id].class == class).count()
    };
    let (low, high) = (refused(&node, 0), refused(&node, 1));
    assert!(low > 100 && high * 3 < low, "{low} low, {high} high refused");
    assert!(node.notes.iter().any(|note| matches!(note, DecisionEvent::OverloadStarted { .. })));
    for _ in 0..100 {
        step(&mut node, &[]);
    }
    let before = refused(&node, 0);
    for _ in 0..20 {
        step(&mut node, &[0]);
    }
    assert_eq!(refused(&node, 0), before, "traffic is let back");
    assert!(node.notes.contains(&DecisionEvent::OverloadEnded));
    assert!(node.broken.is_empty());
}

#[test]
fn what_cannot_be_in_time_makes_room_also_where_late_answers_earn() {
    let late = Class { late_weight: 0.3, deadline: 5 * SECOND, ..class(Idempotency::Idempotent, 1.0) };
    let mut node = Node::with_servers(settings(vec![late]), 1);
    for _ in 0..40 {
        node.request(0, 5 * SECOND);
    }
    // Nothing is answered: what is held is refused by its aim of 500 ms, not held to its deadline.
    node.advance(node.now + 600 * MS);
    assert_eq!(node.held(), 0);
}

#[test]
fn a_tenant_past_its_share_ranks_lower() {
    let mut told = settings(vec![class(Idempotency::Idempotent, 1.0), class(Idempotency::Idempotent, 1.2)]);
    told.tenants =
        vec![Tenant { share: 0.1, allowance_per_s: 1.0 }, Tenant { share: 0.9, allowance_per_s: 1000.0 }]
            .into();
    let mut node = Node::with_servers(told, 1);
    for _ in 0..40 {
        node.request_of(1, 900 * MS, Some(TenantId(0)));
    }
    let greedy = node.request_of(1, 900 * MS, Some(TenantId(0)));
    let modest = node.request_of(1, 900 * MS, Some(TenantId(1)));
    while node.tries(modest).is_empty() {
        let (id, n) = node.out()[0];
        node.now += 2 * MS;
        node.end(id, n, AttemptOutcome::Success);
    }
    assert!(node.tries(greedy).is_empty());
}

#[test]
fn the_faster_server_gets_more() {
    let mut node = Node::with_servers(settings(vec![class(Idempotency::Idempotent, 1.0)]), 2);
    let mut due: Vec<(Nanos, RequestId, usize)> = Vec::new();
    let mut count = [0; 2];
    for _ in 0..600 {
        let id = node.request(0, 900 * MS);
        if let Some(tried) = node.tries(id).first() {
            let slow = tried.server == EndpointId(2);
            count[usize::from(slow)] += 1;
            due.push((node.now + if slow { 120 * MS } else { 30 * MS }, id, 0));
        }
        node.now += 10 * MS;
        let now = node.now;
        for &(_, id, n) in due.iter().filter(|d| d.0 <= now) {
            if node.requests[&id.0].finals == 0 {
                node.end(id, n, AttemptOutcome::Success);
            }
        }
        due.retain(|d| d.0 > now);
    }
    assert!(count[0] > 2 * count[1], "{count:?}");
}

#[test]
fn a_silent_server_is_left_alone_and_comes_back() {
    let mut node = Node::with_servers(settings(vec![class(Idempotency::Idempotent, 1.0)]), 4);
    serve(&mut node, 80, 20 * MS);
    let hung = EndpointId(3);
    let run = |node: &mut Node, rounds: usize, silent: bool| {
        let before: usize =
            node.requests.values().flat_map(|k| &k.tries).filter(|t| t.server == hung).count();
        for _ in 0..rounds {
            for _ in 0..3 {
                node.request(0, 900 * MS);
            }
            node.advance(node.now + 20 * MS);
            for (id, n) in node.out() {
                if !silent || node.tries(id)[n].server != hung {
                    node.end(id, n, AttemptOutcome::Success);
                }
            }
        }
        node.requests.values().flat_map(|k| &k.tries).filter(|t| t.server == hung).count() - before
    };
    let sent = run(&mut node, 200, true);
    assert!(sent <= 30, "{sent} of 600 to a hung server");
    let again = run(&mut node, 1500, false);
    assert!(again > 200, "{again} of 4500 after it came back");
    assert!(node.broken.is_empty());
}

#[test]
fn when_all_are_slow_none_is_set_aside() {
    let mut node = Node::with_servers(settings(vec![class(Idempotency::Idempotent, 1.0)]), 4);
    serve(&mut node, 80, 20 * MS);
    serve(&mut node, 40, 300 * MS);
    let used: std::collections::BTreeSet<_> =
        node.requests.values().rev().take(40).flat_map(|k| &k.tries).map(|t| t.server).collect();
    assert_eq!(used.len(), 4, "all stay in use");
    assert!(!node.notes.iter().any(|note| matches!(note, DecisionEvent::Ejected { .. })));
}

#[test]
fn every_kind_of_failure_everywhere_ends_in_time_and_service_comes_back() {
    for outcome in [
        AttemptOutcome::Error,
        AttemptOutcome::Rejected,
        AttemptOutcome::ConnectFailed,
        AttemptOutcome::Reset,
    ] {
        let mut node = Node::with_servers(two_classes(), 4);
        serve(&mut node, 40, 20 * MS);
        for _ in 0..200 {
            node.request(0, 900 * MS);
            node.advance(node.now + 20 * MS);
            for (id, n) in node.out() {
                node.end(id, n, outcome);
            }
        }
        let sends = node.requests.values().map(|k| k.tries.len()).sum::<usize>();
        assert!(sends < 2 * node.requests.len(), "{outcome:?}: retries stay bounded, {sends} sends");
        node.advance(node.now + 10 * SECOND);
        assert!(node.all_answered());
        let before = node.log.len();
        serve(&mut node, 60, 20 * MS);
        node.advance(node.now + 2 * SECOND);
        let bad = node.log[before..].iter().filter(|a| matches!(a, Action::Reject { .. } | Action::Fail(_)));
        assert!(bad.count() <= 6, "{outcome:?}: service comes back");
        assert!(node.broken.is_empty(), "{:?}", node.broken);
    }
}

#[test]
fn no_server_at_all_holds_then_answers_in_time() {
    for effect in [Idempotency::Idempotent, Idempotency::NotIdempotent] {
        let mut node = Node::new(settings(vec![class(effect, 1.0)]), 1);
        node.members(EndpointUpdate::Restored(list([])));
        for patience in [1, 20, 300, 900] {
            node.request(0, patience * MS);
        }
        node.advance(node.now + 2 * SECOND);
        assert!(node.all_answered() && node.broken.is_empty(), "{:?}", node.broken);
    }
}

#[test]
fn subscriptions_are_asked_for_apart_and_again_after_a_failure() {
    let mut first = Vec::new();
    for seed in 0..20 {
        let mut told = settings(vec![class(Idempotency::Idempotent, 1.0)]);
        told.discovery = Discovery::Poll;
        let mut node = Node::new(told, seed);
        node.members(EndpointUpdate::Restored(list([server(1)])));
        let start = node.now;
        let asks = |node: &Node| node.log.iter().filter(|a| **a == Action::Subscribe).count();
        while asks(&node) == 0 {
            node.advance(node.now + 50 * MS);
            assert!(node.now < start + 6 * SECOND);
        }
        first.push(node.now - start);
        node.members(EndpointUpdate::WatchFailed);
        node.advance(node.now + 6 * SECOND);
        assert_eq!(asks(&node), 2);
        node.members(EndpointUpdate::Delta(list([])));
        node.advance(node.now + 60 * SECOND);
        assert_eq!(asks(&node), 2, "a standing subscription is not asked for again");
    }
    first.sort_unstable();
    assert!(first[19] - first[0] > 300 * MS, "nodes that start together ask apart");
    // Each 50 ms step is looked at: 0.5 s at most, of the 2 s in which a change from before the start has to be known.
    assert!(first[19] <= 550 * MS, "and none of them late");
}

#[test]
fn same_seed_same_actions() {
    let run = |seed| {
        let mut node = Node::new(two_classes(), seed);
        node.members(EndpointUpdate::Restored(list((1..40).map(server))));
        serve(&mut node, 100, 15 * MS);
        node.log
    };
    assert_eq!(run(5), run(5));
    assert_ne!(run(5), run(6));
}

#[test]
fn nodes_use_different_stable_subsets() {
    let used = |me| {
        let mut told = settings(vec![class(Idempotency::Idempotent, 1.0)]);
        (told.node_count, told.node_index, told.connections_have_cost) = (1000, me, true);
        let mut node = Node::new(told, 9);
        node.members(EndpointUpdate::Restored(list((1..200).map(server))));
        serve(&mut node, 200, 20 * MS);
        let all = node.requests.values().flat_map(|k| &k.tries).map(|t| t.server);
        all.collect::<std::collections::BTreeSet<_>>()
    };
    let (one, two) = (used(1), used(2));
    assert!(one.len() <= 8 && two.len() <= 8, "few connections: {} and {}", one.len(), two.len());
    assert_ne!(one, two);
}

#[test]
fn bursts_over_the_limits_do_not_drive_them_up() {
    let told = Class {
        latency_objective: 2 * SECOND,
        deadline: 3 * SECOND,
        ..class(Idempotency::NotIdempotent, 1.0)
    };
    let told = Settings { node_count: 140, ..settings(vec![told]) };
    let mut node = Node::with_servers(told, 50);
    // Far more is asked for than there are places, each served in 300 ms. This node's part of 50 servers
    // is a place or two at first; in its first second and a half it has next to nothing to judge by.
    let mut most = 0;
    for _ in 0..75 {
        node.request(0, 3 * SECOND);
        node.advance(node.now + 20 * MS);
        for (id, n) in node.out() {
            if node.now >= node.tries(id)[n].at + 300 * MS {
                node.end(id, n, AttemptOutcome::Success);
            }
        }
        most = most.max(node.out().len());
    }
    assert!(most <= 6, "{most} out at once");
    assert!(node.broken.is_empty());
}

/// One server that takes 300 ms (`outcome` after that time) and has its places full; then a request of
/// the highest tier comes that is to be in time within 500 ms, and all places get free after `wait`.
fn sent_after(wait: Nanos, outcome: AttemptOutcome) -> (Node, RequestId) {
    let mut node = Node::with_servers(
        settings(vec![class(Idempotency::NotIdempotent, 1.0), class(Idempotency::NotIdempotent, 10.0)]),
        1,
    );
    for round in 0..90 {
        let id = node.request(1, 900 * MS);
        node.advance(node.now + if round < 30 { 100 * MS } else { 300 * MS });
        if !node.tries(id).is_empty() {
            node.end(id, 0, if round < 30 { AttemptOutcome::Success } else { outcome });
        }
    }
    let mut id = node.request(1, 900 * MS);
    while node.held() == 0 {
        id = node.request(1, 900 * MS);
    }
    node.advance(node.now + wait);
    for (out, n) in node.out() {
        node.end(out, n, AttemptOutcome::Success);
    }
    assert!(node.broken.is_empty());
    (node, id)
}

#[test]
fn a_held_request_leaves_while_its_answer_can_be_in_time_or_is_refused() {
    let (node, id) = sent_after(150 * MS, AttemptOutcome::Success);
    assert_eq!(node.tries(id).len(), 1, "350 ms are left");
    let (node, id) = sent_after(260 * MS, AttemptOutcome::Success);
    assert_eq!((node.tries(id).len(), node.requests[&id.0].finals), (0, 1), "240 ms are left");
}

#[test]
fn attempts_that_ran_out_of_time_teach_that_answers_take_longer() {
    let (node, id) = sent_after(260 * MS, AttemptOutcome::TimedOut);
    assert_eq!((node.tries(id).len(), node.requests[&id.0].finals), (0, 1), "240 ms are left");
}

/// Nodes that all lack room and each spread over more servers come to share every server with nodes whose
/// attempts they cannot see: servers stand crowded beside idle ones.
#[test]
fn lack_of_room_does_not_spread_a_node_over_the_fleet() {
    let told = Settings { node_count: 40, ..settings(vec![class(Idempotency::Idempotent, 1.0)]) };
    let mut node = Node::with_servers(told, 200);
    for _ in 0..400 {
        for _ in 0..3 {
            node.request(0, 900 * MS);
        }
        node.advance(node.now + 20 * MS);
        for (id, n) in node.out() {
            if node.now >= node.tries(id)[n].at + 200 * MS {
                node.end(id, n, AttemptOutcome::Success);
            }
        }
    }
    let used: std::collections::BTreeSet<_> =
        node.requests.values().flat_map(|k| &k.tries).map(|t| t.server).collect();
    assert!(node.log.iter().any(|a| matches!(a, Action::Reject { .. })), "it lacked room");
    assert!(used.len() <= 60, "{} of 200 servers used", used.len());
    assert!(node.broken.is_empty());
}

/// Servers that choked recover only when they get less: a place for each of hundreds of nodes is far too much.
#[test]
fn a_share_under_one_place_is_not_rounded_up_while_servers_are_jammed() {
    let told = Settings {
        node_count: 400,
        connections_have_cost: true,
        ..settings(vec![class(Idempotency::NotIdempotent, 1.0)])
    };
    let mut node = Node::with_servers(told, 50);
    let run = |node: &mut Node, rounds: usize, took: Nanos| {
        let mut sum = 0;
        for _ in 0..rounds {
            node.request(0, 900 * MS);
            for _ in 0..10 {
                node.advance(node.now + 10 * MS);
                for (id, n) in node.out() {
                    if node.now >= node.tries(id)[n].at + took {
                        node.end(id, n, AttemptOutcome::Success);
                    }
                }
                sum += node.out().len();
            }
        }
        sum as f64 / (10 * rounds) as f64
    };
    let calm = run(&mut node, 100, 20 * MS);
    let refused = node.log.iter().filter(|a| matches!(a, Action::Reject { .. })).count();
    assert!(refused == 0 && calm > 0.05, "sent at once while servers are fast: {refused} refused");
    run(&mut node, 50, 350 * MS);
    let jammed = run(&mut node, 100, 350 * MS);
    assert!(jammed < 0.6, "{jammed} out on the mean");
    assert!(node.broken.is_empty());
}

/// A node that has its servers to itself and starts with several places each crowds servers that slow when
/// crowded in its first seconds, and learns from that a calm latency that is none.
#[test]
fn a_node_with_servers_of_its_own_starts_with_one_place_each() {
    let told = Settings { node_count: 20, ..settings(vec![class(Idempotency::Idempotent, 1.0)]) };
    let mut node = Node::with_servers(told, 100);
    for _ in 0..40 {
        node.request(0, 900 * MS);
    }
    let out = node.out().len();
    assert!((5..=10).contains(&out), "{out} out at once on 5 servers");
}

/// Guards against a fleet that is replaced all day and never has the room it had: newcomers at the least place
/// each, with a life of half a minute, had most requests refused beside idle servers.
#[test]
fn a_replaced_fleet_keeps_its_room() {
    let mut node = Node::with_servers(two_classes(), 4);
    let step = |node: &mut Node| {
        for _ in 0..4 {
            node.request(0, 900 * MS);
        }
        node.advance(node.now + 20 * MS);
        for (id, n) in node.out() {
            if node.now >= node.tries(id)[n].at + 100 * MS {
                node.end(id, n, AttemptOutcome::Success);
            }
        }
    };
    (0..250).for_each(|_| step(&mut node));
    let before = node.out().len();
    assert!(before >= 16, "{before} out at first");
    node.members(EndpointUpdate::Snapshot(list((100..104).map(server))));
    (0..10).for_each(|_| step(&mut node));
    let new: usize = node.out().iter().filter(|&&(id, n)| node.tries(id)[n].server.0 >= 100).count();
    assert!(2 * new > before, "{new} out after {before}");
    assert!(node.broken.is_empty());
}

/// Guards against a server left out for one connection that fell silent while it answers on all others.
#[test]
fn one_silent_attempt_does_not_mark_its_server_as_hung() {
    let mut node = Node::with_servers(settings(vec![class(Idempotency::NotIdempotent, 1.0)]), 2);
    let mut silent = None;
    let mut late = 0;
    for round in 0..200 {
        // More than one server takes alone, so that the other is asked on.
        for _ in 0..6 {
            let id = node.request(0, 100 * SECOND);
            let Some(server) = node.tries(id).first().map(|first| first.server) else { continue };
            if round == 50 && silent.is_none() {
                silent = Some((id, server));
            }
            late += usize::from(round > 150 && silent.is_some_and(|(_, at)| at == server));
        }
        node.advance(node.now + 20 * MS);
        for (id, n) in node.out() {
            if silent.is_none_or(|(silent, _)| silent != id) {
                node.end(id, n, AttemptOutcome::Success);
            }
        }
    }
    assert!(late > 20, "{late} to the server with the silent attempt");
}

/// Guards far servers: the way there is no sign of crowding, and where only they are left they keep their room.
#[test]
fn a_long_way_is_not_taken_for_crowding() {
    let both = Settings { zone_count: 2, ..two_classes() };
    let mut node = Node::with_servers(both, 4);
    let far = |id| EndpointInfo { zone: ZoneId(1), ..server(id) };
    node.members(EndpointUpdate::Delta(list((11..15).map(far))));
    let step = |node: &mut Node, count: usize| {
        for _ in 0..count {
            node.request(0, 900 * MS);
        }
        node.advance(node.now + 20 * MS);
        for (id, n) in node.out() {
            let attempt = &node.tries(id)[n];
            let takes = if attempt.server.0 >= 11 { 100 } else { 20 };
            if node.now >= attempt.at + takes * MS {
                node.end(id, n, AttemptOutcome::Success);
            }
        }
    };
    (0..500).for_each(|_| step(&mut node, 3));
    node.members(EndpointUpdate::Snapshot(list((11..15).map(far))));
    (0..250).for_each(|_| step(&mut node, 3));
    let out = node.out().len();
    assert!(out >= 12, "{out} out at the far servers");
}

/// Other settings keep what was learned, but never change the rules under which requests are open.
#[test]
fn settings_change_in_place_unless_rules_for_repeats_do() {
    let settings = settings(vec![class(Idempotency::Idempotent, 1.0)]);
    let mut balancer = pumicehead_policy::Balancer::new(settings.clone(), 1);
    let mut other = settings.clone();
    other.classes[0].priority_weight = 8.0;
    other.classes[0].latency_objective += SECOND;
    assert!(balancer.update_settings(other.clone()));
    other.classes.push(class(Idempotency::NotIdempotent, 10.0));
    assert!(balancer.update_settings(other.clone()));
    for change in [
        |new: &mut Settings| new.classes[0].idempotency = Idempotency::NotIdempotent,
        |new: &mut Settings| new.classes[0].ordered_by_key ^= true,
        |new: &mut Settings| new.classes.truncate(1),
        |new: &mut Settings| new.zone_count += 1,
        |new: &mut Settings| new.cancellation ^= true,
        |new: &mut Settings| new.node_count += 1,
    ] {
        let mut new = other.clone();
        change(&mut new);
        assert!(!balancer.update_settings(new));
    }
}
