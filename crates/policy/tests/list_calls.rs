//! How soon a node has a change of the list, over all orders of what may become of its calls: in virtual time, with the
//! module's own pauses and the protocol's spans.

mod common;

use common::*;
use pumicehead_policy::Balancer;
use pumicehead_policy::{
    Action, DISCOVERY_CALL_TIMEOUT, DISCOVERY_NOTICE, Discovery, EndpointUpdate, Event, Idempotency, Nanos,
    SECOND, Settings, TimerToken,
};

/// The service answers a call, or turns it away, within this.
const CALL_WAIT: Nanos = 2 * SECOND;
/// A watch is left after this much silence, as by the host.
const WATCH_SILENCE: Nanos = 4_500 * MS;
/// What a service tells to which a signal moves the node binds so long after the signal.
const MOVE_NOTICE: Nanos = 4 * SECOND;

/// What becomes of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fate {
    /// No answer: the host ends it.
    Lost,
    /// Turned away, or refused, at once.
    TurnedAway,
    /// Turned away after as long as a call may wait.
    TurnedAwayLate,
    /// The list, after as long as a call may wait.
    Answered,
}

impl Fate {
    fn takes(self) -> Nanos {
        match self {
            Self::Lost => DISCOVERY_CALL_TIMEOUT,
            Self::TurnedAway => 0,
            Self::TurnedAwayLate | Self::Answered => CALL_WAIT,
        }
    }
}

/// How a node comes to have no watch.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Before {
    /// It starts with a list that may be old.
    Start,
    /// A watch that has fallen silent just now.
    SilentWatch,
    /// A call that was lost, after so many failures in a row: the service was down.
    LostCalls(u32),
    /// Calls that were refused, so many in a row.
    RefusedCalls(u32),
}

/// The module, its one timer for the list and the clock.
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

    /// Waits for the next call.
    fn call(&mut self) {
        let (calls, (at, token)) = (self.calls, self.due.take().expect("a call is due"));
        self.now = at;
        self.handle(Event::TimerFired(token));
        assert_eq!(self.calls, calls + 1, "the module asks");
    }

    /// Goes through calls that end so.
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

/// The time from the moment in which the service could be reached, and had the change, to the answer.
fn until_answered(settings: &Settings, seed: u64, before: Before, then: &[Fate]) -> Nanos {
    let mut asker = Asker::new(settings.clone(), seed);
    asker.list(EndpointUpdate::Restored(list([server(1)])));
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
            // Back just after the last of them.
            asker.now
        }
    };
    asker.through(then);
    asker.now - since
}

/// Guards the 6 s after which a change binds and the drain's grace behind them. A call that waited its whole time counts for
/// a pause and that time, so it takes the place of a lost one.
#[test]
fn a_change_is_known_before_its_drain_is_over_in_every_order() {
    use Fate::{Answered, TurnedAway, TurnedAwayLate};
    let starts = [Before::Start, Before::SilentWatch]
        .into_iter()
        .chain((0..12).flat_map(|count| [Before::LostCalls(count), Before::RefusedCalls(count.max(1))]));
    let orders: [&[Fate]; 3] = [&[Answered], &[TurnedAway, Answered], &[TurnedAwayLate, Answered]];
    for before in starts {
        for order in orders {
            // One call is spent in vain, and the service refuses one at once beside it.
            let spent = matches!(before, Before::SilentWatch | Before::LostCalls(_));
            if spent && order.contains(&TurnedAwayLate) {
                continue;
            }
            for grace in [SECOND, 2 * SECOND] {
                for seed in 0..300 {
                    let took = until_answered(&asking(grace, 10 * SECOND), seed, before, order);
                    assert!(took <= DISCOVERY_NOTICE + grace, "{before:?} {order:?} {grace}: {took}");
                }
            }
        }
    }
}

/// Guards the same where the settings have a node ask more often than that.
#[test]
fn the_time_for_asking_binds_where_it_is_shorter() {
    for seed in 0..300 {
        let settings = asking(2 * SECOND, 5 * SECOND);
        let took = until_answered(&settings, seed, Before::LostCalls(9), &[Fate::Answered]);
        assert!(took <= 7 * SECOND, "{took}");
    }
}

/// Guards a move by a signal: what the new service tells binds 4 s later, and the grace after that. The host calls at once; the
/// first call there may be lost, or turned away twice.
#[test]
fn a_move_leaves_time_for_a_failure() {
    use Fate::{Answered, TurnedAway};
    let orders: [(Nanos, &[Fate]); 2] =
        [(DISCOVERY_CALL_TIMEOUT, &[Answered]), (0, &[TurnedAway, TurnedAway, Answered])];
    for (spent, order) in orders {
        for seed in 0..300 {
            let mut asker = Asker::new(asking(2 * SECOND, 10 * SECOND), seed);
            asker.list(EndpointUpdate::Restored(list([server(1)])));
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

/// Guards the service: nodes that lose the list together ask apart, and one that stays down is not called in a burst.
#[test]
fn calls_are_spread_and_bounded() {
    let settings = asking(2 * SECOND, 10 * SECOND);
    let firsts = |before: &[Fate]| {
        let pauses = (0..200).map(|seed| {
            let mut asker = Asker::new(settings.clone(), seed);
            asker.list(EndpointUpdate::Restored(list([server(1)])));
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

/// A service that works through calls in turn, and turns away at once what it could not answer in time.
struct Service {
    call_takes: Nanos,
    free_at: Nanos,
}

impl Service {
    /// When a call is answered, or that it is turned away.
    fn take(&mut self, now: Nanos) -> Option<Nanos> {
        let done = self.free_at.max(now) + self.call_takes;
        (done <= now + CALL_WAIT).then(|| self.free_at = done).map(|()| done)
    }
}

/// Has so many nodes start at once before a service that takes a call from each in a span: when the last of them is answered,
/// and the calls in all.
fn start_together(nodes: u64, all_calls: Nanos) -> (Nanos, u32) {
    let settings = asking(2 * SECOND, 10 * SECOND);
    let mut service = Service { call_takes: all_calls / nodes, free_at: 0 };
    let mut askers: Vec<_> = (0..nodes).map(|seed| Asker::new(settings.clone(), seed)).collect();
    let mut due = std::collections::BTreeSet::new();
    for (number, asker) in askers.iter_mut().enumerate() {
        asker.list(EndpointUpdate::Restored(list([server(1)])));
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

/// Guards a fleet of which all nodes start at once before a service that turns callers away: it is never idle while a node waits,
/// so the last one is answered little after it could be at all, in some calls a node and second.
#[test]
fn a_fleet_that_starts_together_is_answered_as_fast_as_the_service_can() {
    let nodes = 300;
    for all_calls in [2, 4, 6, 8] {
        let (last, calls) = start_together(nodes, all_calls * SECOND);
        assert!(last <= all_calls * SECOND + SECOND, "{all_calls} s: the last after {last}");
        assert!(
            last <= DISCOVERY_NOTICE + 2 * SECOND || all_calls > 6,
            "{all_calls} s: the last after {last}"
        );
        let most = nodes * 2 * (all_calls + 1);
        assert!(u64::from(calls) <= most, "{all_calls} s: {calls} calls");
    }
}
