//! How soon a node knows an update of the endpoints, over all orders of failed polls: in virtual time, with
//! the module's own pauses and the protocol's times.

mod common;

use common::*;
use pumicehead_policy::Balancer;
use pumicehead_policy::{
    Action, DISCOVERY_NOTICE_PERIOD, DISCOVERY_POLL_TIMEOUT, Discovery, EndpointUpdate, Event, Idempotency,
    Nanos, SECOND, Settings, TimerToken,
};

/// Discovery answers or rejects a poll within this time.
const CALL_WAIT: Nanos = 2 * SECOND;
/// The host gives a watch up after this much silence.
const WATCH_SILENCE: Nanos = 4_500 * MS;
/// After a move to another discovery service, its updates bind so long after the signal.
const MOVE_NOTICE: Nanos = 4 * SECOND;

/// What becomes of a poll.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fate {
    /// No response: the host ends it.
    Lost,
    /// Rejected at once.
    TurnedAway,
    /// Rejected after the longest time that a poll may take.
    TurnedAwayLate,
    /// Answered after the longest time that a poll may take.
    Answered,
}

impl Fate {
    fn takes(self) -> Nanos {
        match self {
            Self::Lost => DISCOVERY_POLL_TIMEOUT,
            Self::TurnedAway => 0,
            Self::TurnedAwayLate | Self::Answered => CALL_WAIT,
        }
    }
}

/// How a node comes to have no watch.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Before {
    /// It starts with a list that may be stale.
    Start,
    /// Its watch has just fallen silent.
    SilentWatch,
    /// A poll was lost after so many failures in a row: discovery was down.
    LostCalls(u32),
    /// So many polls in a row were rejected.
    RefusedCalls(u32),
}

/// The module, its one timer for polls and the clock.
struct Asker {
    balancer: Balancer,
    now: Nanos,
    due: Option<(Nanos, TimerToken)>,
    calls: u32,
}

impl Asker {
    fn new(settings: Settings, seed: u64) -> Self {
        Self { balancer: Balancer::new(settings, seed), now: SECOND, due: None, calls: 0 }
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::ArmTimer { at, token } => self.due = Some((at, token)),
                Action::Subscribe => self.calls += 1,
                other => panic!("{other:?}"),
            }
        }
    }

    fn list(&mut self, change: EndpointUpdate) {
        self.handle(Event::EndpointsUpdated(change));
    }

    /// Advances to the next poll.
    fn call(&mut self) {
        let (calls, (at, token)) = (self.calls, self.due.take().expect("a call is due"));
        self.now = at;
        self.handle(Event::TimerFired(token));
        assert_eq!(self.calls, calls + 1, "the module asks");
    }

    /// Makes polls that end so.
    fn through(&mut self, fates: &[Fate]) {
        for &fate in fates {
            self.call();
            self.now += fate.takes();
            let answered = fate == Fate::Answered;
            self.list(if answered { EndpointUpdate::Delta(list([])) } else { EndpointUpdate::WatchFailed });
        }
    }
}

fn asking(grace: Nanos, ask_every: Nanos) -> Settings {
    let mut settings = settings(vec![class(Idempotency::Idempotent, 1.0)]);
    (settings.discovery, settings.drain_grace, settings.poll_interval) = (Discovery::Poll, grace, ask_every);
    settings
}

/// The time from the moment at which discovery could be reached, and had the update, to the response.
fn until_answered(settings: &Settings, seed: u64, before: Before, then: &[Fate]) -> Nanos {
    let mut asker = Asker::new(settings.clone(), seed);
    asker.list(EndpointUpdate::Restored(list([endpoint(1)])));
    let since = match before {
        Before::Start => asker.now,
        Before::SilentWatch => {
            asker.through(&[Fate::Answered]);
            let silent = asker.now;
            asker.now += WATCH_SILENCE;
            asker.list(EndpointUpdate::WatchFailed);
            silent
        }
        Before::LostCalls(count) => {
            asker.through(&vec![Fate::TurnedAway; count as usize]);
            // Just too early.
            let (reached, _) = asker.due.expect("a call");
            asker.through(&[Fate::Lost]);
            reached
        }
        Before::RefusedCalls(count) => {
            asker.through(&vec![Fate::TurnedAway; count as usize]);
            // Reachable just after the last of them.
            asker.now
        }
    };
    asker.through(then);
    asker.now - since
}

/// An update binds after 6 s, and the drain grace follows. A poll that took its whole time counts as a pause
/// and that time, so it takes the place of a lost one.
#[test]
fn an_update_is_known_before_its_drain_grace_ends_in_every_order_of_failures() {
    use Fate::{Answered, TurnedAway, TurnedAwayLate};
    let starts = [Before::Start, Before::SilentWatch]
        .into_iter()
        .chain((0..12).flat_map(|count| [Before::LostCalls(count), Before::RefusedCalls(count.max(1))]));
    let orders: [&[Fate]; 3] = [&[Answered], &[TurnedAway, Answered], &[TurnedAwayLate, Answered]];
    for before in starts {
        for order in orders {
            // One poll is lost, and another one is rejected at once besides.
            let spent = matches!(before, Before::SilentWatch | Before::LostCalls(_));
            if spent && order.contains(&TurnedAwayLate) {
                continue;
            }
            for grace in [SECOND, 2 * SECOND] {
                for seed in 0..300 {
                    let took = until_answered(&asking(grace, 10 * SECOND), seed, before, order);
                    assert!(took <= DISCOVERY_NOTICE_PERIOD + grace, "{before:?} {order:?} {grace}: {took}");
                }
            }
        }
    }
}

/// The same where the settings have a node poll more often than that.
#[test]
fn a_shorter_poll_interval_bounds_the_delay() {
    for seed in 0..300 {
        let settings = asking(2 * SECOND, 5 * SECOND);
        let took = until_answered(&settings, seed, Before::LostCalls(9), &[Fate::Answered]);
        assert!(took <= 7 * SECOND, "{took}");
    }
}

/// After a move by a signal, updates of the new service bind 4 s later, and the grace follows. The host polls
/// at once; the first poll may be lost, or two may be rejected.
#[test]
fn a_move_of_discovery_leaves_time_for_a_failed_poll() {
    use Fate::{Answered, TurnedAway};
    let orders: [(Nanos, &[Fate]); 2] =
        [(DISCOVERY_POLL_TIMEOUT, &[Answered]), (0, &[TurnedAway, TurnedAway, Answered])];
    for (spent, order) in orders {
        for seed in 0..300 {
            let mut asker = Asker::new(asking(2 * SECOND, 10 * SECOND), seed);
            asker.list(EndpointUpdate::Restored(list([endpoint(1)])));
            asker.through(&[Answered]);
            let moved = asker.now;
            asker.now += spent;
            asker.list(EndpointUpdate::WatchFailed);
            asker.through(order);
            let took = asker.now - moved;
            assert!(took <= MOVE_NOTICE + 2 * SECOND, "{order:?}: {took}");
        }
    }
}

/// Nodes that lose discovery together poll apart, and a service that stays down isn't polled in bursts.
#[test]
fn polls_are_spread_and_bounded() {
    let settings = asking(2 * SECOND, 10 * SECOND);
    let firsts = |before: &[Fate]| {
        let pauses = (0..200).map(|seed| {
            let mut asker = Asker::new(settings.clone(), seed);
            asker.list(EndpointUpdate::Restored(list([endpoint(1)])));
            asker.through(before);
            asker.due.expect("a call").0 - asker.now
        });
        let (least, most) = pauses.fold((Nanos::MAX, 0), |(least, most), x| (least.min(x), most.max(x)));
        (least, most)
    };
    let (least, most) = firsts(&[]);
    assert!(least < 50 * MS && most > 400 * MS, "at a start: {least} to {most}");
    let (least, most) = firsts(&[Fate::TurnedAway]);
    assert!(least >= 200 * MS && most > 450 * MS, "after a failure: {least} to {most}");
    let (least, most) = firsts(&[Fate::TurnedAway; 8]);
    assert!(least >= 400 * MS && most > 900 * MS, "after many: {least} to {most}");
}

/// A service that works through polls in turn, and rejects at once those that it couldn't answer in time.
struct Service {
    call_takes: Nanos,
    free_at: Nanos,
}

impl Service {
    /// When a poll is answered; `None` if it is rejected.
    fn take(&mut self, now: Nanos) -> Option<Nanos> {
        let done = self.free_at.max(now) + self.call_takes;
        (done <= now + CALL_WAIT).then(|| self.free_at = done).map(|()| done)
    }
}

/// Starts so many nodes at once before a service that takes so long for one poll of each. Returns when the
/// last of them is answered, and the number of polls.
fn start_together(nodes: u64, all_calls: Nanos) -> (Nanos, u32) {
    let settings = asking(2 * SECOND, 10 * SECOND);
    let mut service = Service { call_takes: all_calls / nodes, free_at: 0 };
    let mut askers: Vec<_> = (0..nodes).map(|seed| Asker::new(settings.clone(), seed)).collect();
    let mut due = std::collections::BTreeSet::new();
    for (number, asker) in askers.iter_mut().enumerate() {
        asker.list(EndpointUpdate::Restored(list([endpoint(1)])));
        due.insert((asker.due.expect("a call").0, number));
    }
    let mut last = 0;
    while let Some((now, number)) = due.pop_first() {
        let asker = &mut askers[number];
        asker.call();
        if let Some(done) = service.take(now) {
            last = last.max(done);
        } else {
            asker.list(EndpointUpdate::WatchFailed);
            due.insert((asker.due.expect("a further call").0, number));
        }
    }
    (last - SECOND, askers.iter().map(|asker| asker.calls).sum())
}

/// If all nodes start at once before a service that rejects polls, it is never idle while a node waits: the
/// last one is answered little after it could be at all, with some polls a node and second.
#[test]
fn nodes_that_start_together_are_answered_as_fast_as_discovery_can() {
    let nodes = 300;
    for all_calls in [2, 4, 6, 8] {
        let (last, calls) = start_together(nodes, all_calls * SECOND);
        assert!(last <= all_calls * SECOND + SECOND, "{all_calls} s: the last after {last}");
        assert!(
            last <= DISCOVERY_NOTICE_PERIOD + 2 * SECOND || all_calls > 6,
            "{all_calls} s: the last after {last}"
        );
        let most = nodes * 2 * (all_calls + 1);
        assert!(u64::from(calls) <= most, "{all_calls} s: {calls} calls");
    }
}

#[test]
fn polls_are_spread_and_repeated_after_a_failure() {
    let mut first = Vec::new();
    for seed in 0..20 {
        let mut node_settings = settings(vec![class(Idempotency::Idempotent, 1.0)]);
        node_settings.discovery = Discovery::Poll;
        let mut node = TestNode::new(node_settings, seed);
        node.update_endpoints(EndpointUpdate::Restored(list([endpoint(1)])));
        let start = node.now;
        let asks = |node: &TestNode| node.actions.iter().filter(|a| **a == Action::Subscribe).count();
        while asks(&node) == 0 {
            node.advance(node.now + 50 * MS);
            assert!(node.now < start + 6 * SECOND);
        }
        first.push(node.now - start);
        node.update_endpoints(EndpointUpdate::WatchFailed);
        node.advance(node.now + 6 * SECOND);
        assert_eq!(asks(&node), 2);
        node.update_endpoints(EndpointUpdate::Delta(list([])));
        node.advance(node.now + 60 * SECOND);
        assert_eq!(asks(&node), 2, "a standing subscription is not asked for again");
    }
    first.sort_unstable();
    assert!(first[19] - first[0] > 300 * MS, "nodes that start together ask apart");
    // At a resolution of 50 ms: 0.5 s at most, of the 2 s in which an update from before the start has to be
    // known.
    assert!(first[19] <= 550 * MS, "and none of them late");
}
