//! How soon a node learns of an update of the endpoints, over all orders of failed polls: in virtual time,
//! with the module's own pauses and the times of the protocol.

mod common;

use common::*;
use pumicehead_policy::Balancer;
use pumicehead_policy::{
    Action, DISCOVERY_NOTICE_PERIOD, DISCOVERY_POLL_TIMEOUT, Discovery, EndpointUpdate, Event, Idempotency,
    Nanos, SECOND, Settings, TimerToken,
};

/// Time within which discovery answers or rejects a poll.
const MAX_POLL_DURATION: Nanos = 2 * SECOND;
/// Time without data after which the host gives up a watch.
const WATCH_IDLE_TIMEOUT: Nanos = 4_500 * MS;
/// After a switch to another discovery service, its updates are binding this long after the signal.
const SWITCH_NOTICE_PERIOD: Nanos = 4 * SECOND;

/// Result of a poll.
#[derive(Clone, Copy, Debug, PartialEq)]
enum PollResult {
    /// No response; the host ends the poll.
    Lost,
    /// Rejected at once.
    Rejected,
    /// Rejected after the maximum duration of a poll.
    RejectedLate,
    /// Answered after the maximum duration of a poll.
    Answered,
}

impl PollResult {
    fn duration(self) -> Nanos {
        match self {
            Self::Lost => DISCOVERY_POLL_TIMEOUT,
            Self::Rejected => 0,
            Self::RejectedLate | Self::Answered => MAX_POLL_DURATION,
        }
    }
}

/// Why a node has no watch.
#[derive(Clone, Copy, Debug, PartialEq)]
enum NoWatchCause {
    /// It has just started with a list that may be stale.
    Start,
    /// Its watch has just fallen silent.
    SilentWatch,
    /// Discovery was down: after this many rejected polls, one was lost.
    LostPoll(u32),
    /// This many consecutive polls were rejected.
    RejectedPolls(u32),
}

/// The balancer with its timer for polls and a virtual clock.
struct PollingNode {
    balancer: Balancer,
    now: Nanos,
    due: Option<(Nanos, TimerToken)>,
    polls: u32,
}

impl PollingNode {
    fn new(settings: Settings, seed: u64) -> Self {
        Self { balancer: Balancer::new(settings, seed), now: SECOND, due: None, polls: 0 }
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::ArmTimer { at, token } => self.due = Some((at, token)),
                Action::Subscribe => self.polls += 1,
                other => panic!("{other:?}"),
            }
        }
    }

    fn update_endpoints(&mut self, update: EndpointUpdate) {
        self.handle(Event::EndpointsUpdated(update));
    }

    /// Advances to the next poll.
    fn next_poll(&mut self) {
        let (polls, (at, token)) = (self.polls, self.due.take().expect("a poll is due"));
        self.now = at;
        self.handle(Event::TimerFired(token));
        assert_eq!(self.polls, polls + 1, "the balancer polls");
    }

    /// Makes polls with the given results.
    fn poll_with_results(&mut self, results: &[PollResult]) {
        for &result in results {
            self.next_poll();
            self.now += result.duration();
            let answered = result == PollResult::Answered;
            self.update_endpoints(if answered {
                EndpointUpdate::Delta(list([]))
            } else {
                EndpointUpdate::WatchFailed
            });
        }
    }
}

fn polling_settings(drain_grace: Nanos, poll_interval: Nanos) -> Settings {
    let mut settings = settings(vec![class(Idempotency::Idempotent, 1.0)]);
    (settings.discovery, settings.drain_grace, settings.poll_interval) =
        (Discovery::Poll, drain_grace, poll_interval);
    settings
}

/// Returns the time from the moment at which discovery was reachable and had the update to the response.
fn time_until_answered(settings: &Settings, seed: u64, cause: NoWatchCause, results: &[PollResult]) -> Nanos {
    let mut node = PollingNode::new(settings.clone(), seed);
    node.update_endpoints(EndpointUpdate::Restored(list([endpoint(1)])));
    let since = match cause {
        NoWatchCause::Start => node.now,
        NoWatchCause::SilentWatch => {
            node.poll_with_results(&[PollResult::Answered]);
            let silent_since = node.now;
            node.now += WATCH_IDLE_TIMEOUT;
            node.update_endpoints(EndpointUpdate::WatchFailed);
            silent_since
        }
        NoWatchCause::LostPoll(count) => {
            node.poll_with_results(&vec![PollResult::Rejected; count as usize]);
            // The poll comes just before discovery can be reached.
            let (reachable_at, _) = node.due.expect("a poll is due");
            node.poll_with_results(&[PollResult::Lost]);
            reachable_at
        }
        NoWatchCause::RejectedPolls(count) => {
            node.poll_with_results(&vec![PollResult::Rejected; count as usize]);
            // Discovery can be reached just after the last of them.
            node.now
        }
    };
    node.poll_with_results(results);
    node.now - since
}

/// An update is binding after 6 s, and the drain grace period follows. A poll that took its maximum duration
/// counts as a pause plus that duration, so it takes the place of a lost one.
#[test]
fn an_update_is_known_before_its_drain_grace_ends_in_every_order_of_failures() {
    use PollResult::{Answered, Rejected, RejectedLate};
    let starts =
        [NoWatchCause::Start, NoWatchCause::SilentWatch]
            .into_iter()
            .chain((0..12).flat_map(|count| {
                [NoWatchCause::LostPoll(count), NoWatchCause::RejectedPolls(count.max(1))]
            }));
    let orders: [&[PollResult]; 3] = [&[Answered], &[Rejected, Answered], &[RejectedLate, Answered]];
    for cause in starts {
        for order in orders {
            // After a lost poll, another one may only be rejected at once.
            let has_lost_poll = matches!(cause, NoWatchCause::SilentWatch | NoWatchCause::LostPoll(_));
            if has_lost_poll && order.contains(&RejectedLate) {
                continue;
            }
            for drain_grace in [SECOND, 2 * SECOND] {
                for seed in 0..300 {
                    let elapsed =
                        time_until_answered(&polling_settings(drain_grace, 10 * SECOND), seed, cause, order);
                    assert!(
                        elapsed <= DISCOVERY_NOTICE_PERIOD + drain_grace,
                        "{cause:?} {order:?} {drain_grace}: {elapsed}"
                    );
                }
            }
        }
    }
}

/// The same if the settings require more frequent polls than that.
#[test]
fn a_shorter_poll_interval_bounds_the_delay() {
    for seed in 0..300 {
        let settings = polling_settings(2 * SECOND, 5 * SECOND);
        let elapsed =
            time_until_answered(&settings, seed, NoWatchCause::LostPoll(9), &[PollResult::Answered]);
        assert!(elapsed <= 7 * SECOND, "{elapsed}");
    }
}

/// After a switch by a signal, updates of the new service are binding 4 s later, and the grace period
/// follows. The host polls at once. The first poll may be lost, or two may be rejected.
#[test]
fn a_switch_of_discovery_leaves_time_for_a_failed_poll() {
    use PollResult::{Answered, Rejected};
    let orders: [(Nanos, &[PollResult]); 2] =
        [(DISCOVERY_POLL_TIMEOUT, &[Answered]), (0, &[Rejected, Rejected, Answered])];
    for (lost_time, order) in orders {
        for seed in 0..300 {
            let mut node = PollingNode::new(polling_settings(2 * SECOND, 10 * SECOND), seed);
            node.update_endpoints(EndpointUpdate::Restored(list([endpoint(1)])));
            node.poll_with_results(&[Answered]);
            let switched_at = node.now;
            node.now += lost_time;
            node.update_endpoints(EndpointUpdate::WatchFailed);
            node.poll_with_results(order);
            let elapsed = node.now - switched_at;
            assert!(elapsed <= SWITCH_NOTICE_PERIOD + 2 * SECOND, "{order:?}: {elapsed}");
        }
    }
}

/// Nodes that lose discovery together poll at different times, and a service that stays down isn't polled in
/// bursts.
#[test]
fn polls_are_spread_and_their_rate_is_bounded() {
    let settings = polling_settings(2 * SECOND, 10 * SECOND);
    let first_pauses = |results: &[PollResult]| {
        let pauses = (0..200).map(|seed| {
            let mut node = PollingNode::new(settings.clone(), seed);
            node.update_endpoints(EndpointUpdate::Restored(list([endpoint(1)])));
            node.poll_with_results(results);
            node.due.expect("a poll is due").0 - node.now
        });
        let (min, max) = pauses.fold((Nanos::MAX, 0), |(min, max), x| (min.min(x), max.max(x)));
        (min, max)
    };
    let (min, max) = first_pauses(&[]);
    assert!(min < 50 * MS && max > 400 * MS, "after a start: {min} to {max}");
    let (min, max) = first_pauses(&[PollResult::Rejected]);
    assert!(min >= 200 * MS && max > 450 * MS, "after one failure: {min} to {max}");
    let (min, max) = first_pauses(&[PollResult::Rejected; 8]);
    assert!(min >= 400 * MS && max > 900 * MS, "after eight failures: {min} to {max}");
}

/// A service that processes polls one after another, and rejects at once those that it couldn't answer in
/// time.
struct Service {
    poll_duration: Nanos,
    free_at: Nanos,
}

impl Service {
    /// Returns when a poll is answered; `None` if it is rejected.
    fn take(&mut self, now: Nanos) -> Option<Nanos> {
        let done = self.free_at.max(now) + self.poll_duration;
        (done <= now + MAX_POLL_DURATION).then(|| self.free_at = done).map(|()| done)
    }
}

/// Starts `nodes` nodes at once, with a service that needs `total_poll_time` for one poll of each. Returns
/// when the last node is answered, and the number of polls.
fn start_together(nodes: u64, total_poll_time: Nanos) -> (Nanos, u32) {
    let settings = polling_settings(2 * SECOND, 10 * SECOND);
    let mut service = Service { poll_duration: total_poll_time / nodes, free_at: 0 };
    let mut nodes_polling: Vec<_> = (0..nodes).map(|seed| PollingNode::new(settings.clone(), seed)).collect();
    let mut due = std::collections::BTreeSet::new();
    for (number, node) in nodes_polling.iter_mut().enumerate() {
        node.update_endpoints(EndpointUpdate::Restored(list([endpoint(1)])));
        due.insert((node.due.expect("a poll is due").0, number));
    }
    let mut last = 0;
    while let Some((now, number)) = due.pop_first() {
        let node = &mut nodes_polling[number];
        node.next_poll();
        if let Some(done) = service.take(now) {
            last = last.max(done);
        } else {
            node.update_endpoints(EndpointUpdate::WatchFailed);
            due.insert((node.due.expect("another poll is due").0, number));
        }
    }
    (last - SECOND, nodes_polling.iter().map(|node| node.polls).sum())
}

/// If all nodes start at once with a service that rejects polls, the service is never idle while a node
/// waits: the last node is answered shortly after the earliest possible time, with only a few polls per node
/// and second.
#[test]
fn nodes_that_start_together_are_answered_without_idle_time_of_discovery() {
    let nodes = 300;
    for total_poll_time in [2, 4, 6, 8] {
        let (last, polls) = start_together(nodes, total_poll_time * SECOND);
        assert!(
            last <= total_poll_time * SECOND + SECOND,
            "{total_poll_time} s: the last node answered after {last}"
        );
        assert!(
            last <= DISCOVERY_NOTICE_PERIOD + 2 * SECOND || total_poll_time > 6,
            "{total_poll_time} s: the last node answered after {last}"
        );
        let max = nodes * 2 * (total_poll_time + 1);
        assert!(u64::from(polls) <= max, "{total_poll_time} s: {polls} polls");
    }
}

#[test]
fn polls_are_spread_and_repeated_after_a_failure() {
    let mut first_polls = Vec::new();
    for seed in 0..20 {
        let mut node_settings = settings(vec![class(Idempotency::Idempotent, 1.0)]);
        node_settings.discovery = Discovery::Poll;
        let mut node = TestNode::new(node_settings, seed);
        node.update_endpoints(EndpointUpdate::Restored(list([endpoint(1)])));
        let start = node.now;
        let subscriptions =
            |node: &TestNode| node.actions.iter().filter(|action| **action == Action::Subscribe).count();
        while subscriptions(&node) == 0 {
            node.advance(node.now + 50 * MS);
            assert!(node.now < start + 6 * SECOND);
        }
        first_polls.push(node.now - start);
        node.update_endpoints(EndpointUpdate::WatchFailed);
        node.advance(node.now + 6 * SECOND);
        assert_eq!(subscriptions(&node), 2);
        node.update_endpoints(EndpointUpdate::Delta(list([])));
        node.advance(node.now + 60 * SECOND);
        assert_eq!(subscriptions(&node), 2, "a node with a watch doesn't poll again");
    }
    first_polls.sort_unstable();
    assert!(first_polls[19] - first_polls[0] > 300 * MS, "nodes that start together poll at different times");
    // Measured in steps of 50 ms: at most 0.5 s of the 2 s within which an update from before the start must
    // be known.
    assert!(first_polls[19] <= 550 * MS, "no node polls late");
}
