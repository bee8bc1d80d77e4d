//! Each checker finds a planted violation of its rule, and nothing in the same history without it.

use pumicehead_chaos::check::{ServiceSummary, find_violations};
use pumicehead_chaos::history::{
    ClientOutcome, Event, EventKind, History, ListedHealth, ProcessState, ReadFailure, RequestClass,
};
use pumicehead_chaos::scenario::Scenario;
use pumicehead_chaos::{MS, Nanos, SECOND};

/// A time after the faults of the history.
const LATE: Nanos = 8 * SECOND;

fn scenario() -> Scenario {
    Scenario::parse(
        "name = \"x\"\nfleet = { nodes = 2, servers = 2 }\nload = { rate = 10 }\ncalm_s = [2, 4]\n\
         [[fault]]\nat_s = 0\nfor_s = 4\nkind = \"stall\"\nnodes = [1]",
    )
    .unwrap()
}

fn started(at: Nanos, id: u64, class: RequestClass, node: usize) -> Event {
    Event { at, kind: EventKind::RequestStarted { id, class, node, deadline_ms: 1_200 } }
}

fn ended_with(at: Nanos, id: u64, outcome: ClientOutcome) -> Event {
    Event { at, kind: EventKind::RequestEnded { id, outcome } }
}

fn ended(at: Nanos, id: u64, status: u16) -> Event {
    ended_with(at, id, ClientOutcome::Answered { status, matches_request: true })
}

fn executed(at: Nanos, id: u64, endpoint: usize, incarnation: u32) -> Event {
    Event { at, kind: EventKind::RequestExecuted { id, endpoint, incarnation, via: "1.1 n0".into() } }
}

fn listed(at: Nanos, endpoint: usize, health: ListedHealth) -> Event {
    Event { at, kind: EventKind::DiscoveryUpdate { node: 0, endpoint, health } }
}

/// Two nodes and two endpoints run.
fn starts() -> impl Iterator<Item = Event> {
    let state = ProcessState::Running;
    (0..2)
        .flat_map(move |n| {
            [
                EventKind::NodeState { node: n, state },
                EventKind::EndpointState { endpoint: n, incarnation: 0, state },
            ]
        })
        .map(|kind| Event { at: 0, kind })
}

/// Node 1 is paused from 2 s to 6 s and fails a client meanwhile.
fn pause_of_node_1() -> Vec<Event> {
    let change = |at, state, begins| {
        let fault = EventKind::Fault {
            index: 0,
            text: "nodes 1 stand still".into(),
            begins,
            nodes: vec![1],
            affects_clients: false,
            misbehaving: Vec::new(),
        };
        [Event { at, kind: EventKind::NodeState { node: 1, state } }, Event { at, kind: fault }]
    };
    let mut events = Vec::new();
    events.extend(change(2 * SECOND, ProcessState::Paused, true));
    events.push(started(3 * SECOND, 3, RequestClass::Submit, 1));
    events.push(ended_with(6 * SECOND, 3, ClientOutcome::TimedOut));
    events.extend(change(6 * SECOND, ProcessState::Resumed, false));
    events
}

/// A request of each class succeeds, node 1 is paused, and endpoint 1 drains from 3 s on and is started again, cold, at 7 s.
fn good_history() -> Vec<Event> {
    let mut events: Vec<_> = starts().collect();
    events.extend([
        started(SECOND, 1, RequestClass::Submit, 0),
        executed(SECOND + MS, 1, 1, 0),
        ended(SECOND + 20 * MS, 1, 200),
        started(SECOND, 2, RequestClass::Read, 0),
        executed(SECOND + MS, 2, 1, 0),
        executed(SECOND + 2 * MS, 2, 0, 0),
        ended(SECOND + 20 * MS, 2, 200),
    ]);
    events.extend(pause_of_node_1());
    let restart = EventKind::EndpointState { endpoint: 1, incarnation: 1, state: ProcessState::Running };
    events.extend([
        listed(3 * SECOND, 1, ListedHealth::Draining),
        started(4 * SECOND, 4, RequestClass::Submit, 0),
        executed(4 * SECOND + MS, 4, 1, 0),
        ended(4 * SECOND + 9 * MS, 4, 200),
        Event { at: 7 * SECOND, kind: restart },
        listed(7 * SECOND, 1, ListedHealth::Active),
    ]);
    for (at, descriptors) in [(SECOND, 21), (9 * SECOND, 22)] {
        events.push(Event { at, kind: EventKind::ResourceUsage { node: 0, descriptors, memory_kib: 9_000 } });
        events.push(Event { at, kind: EventKind::HarnessLag { max_us: 900 } });
    }
    events
}

/// The checkers that find a violation once these events are added.
fn checkers_that_find(planted: Vec<Event>) -> Vec<String> {
    let history = History::from_events(good_history().into_iter().chain(planted).collect());
    let violations = find_violations(&scenario(), &history).into_iter();
    let mut checkers: Vec<_> = violations.map(|violation| violation.checker).collect();
    checkers.dedup();
    checkers
}

const NONE: [&str; 0] = [];

#[test]
fn a_good_history_has_no_violations() {
    assert_eq!(checkers_that_find(Vec::new()), NONE);
}

#[test]
fn requests_without_one_timely_own_response_are_found() {
    let request = || started(LATE, 9, RequestClass::Read, 0);
    assert_eq!(checkers_that_find(vec![request()]), ["none lost"]);
    assert_eq!(checkers_that_find(vec![request(), ended(LATE + 2 * SECOND, 9, 504)]), ["none lost"]);
    let broken = ended_with(LATE + MS, 9, ClientOutcome::ConnectionBroken);
    assert_eq!(checkers_that_find(vec![request(), broken]), ["none lost"]);
    let wrong_body = ClientOutcome::Answered { status: 200, matches_request: false };
    assert_eq!(checkers_that_find(vec![request(), ended_with(LATE + MS, 9, wrong_body)]), ["none lost"]);
    assert_eq!(checkers_that_find(vec![ended(LATE, 1, 200)]), ["none lost"]);
}

#[test]
fn a_submit_that_is_executed_twice_is_found() {
    assert_eq!(checkers_that_find(vec![executed(2 * SECOND, 1, 0, 0)]), ["effects once"]);
}

#[test]
fn a_submit_that_is_executed_and_rejected_is_found() {
    let rejected = vec![
        started(LATE, 9, RequestClass::Submit, 0),
        executed(LATE + MS, 9, 0, 0),
        ended(LATE + 2 * MS, 9, 503),
    ];
    assert_eq!(checkers_that_find(rejected), ["effects once"]);
}

/// Guards the grace: 2 s after the node learned of the drain a request may still be on its way.
#[test]
fn requests_to_a_draining_endpoint_are_found_after_the_grace() {
    let sent_after = |delay: Nanos| {
        let at = 3 * SECOND + delay;
        vec![started(at, 9, RequestClass::Submit, 0), executed(at + MS, 9, 1, 0), ended(at + 9 * MS, 9, 200)]
    };
    assert_eq!(checkers_that_find(sent_after(3 * SECOND)), ["drains"]);
    assert_eq!(checkers_that_find(sent_after(2 * SECOND)), NONE);
}

/// Guards the limit: a fifth of 400 requests per second at first; four times that over 1.5 s are 480.
#[test]
fn an_overload_of_a_cold_endpoint_is_found() {
    let flood = |count: u64| -> Vec<Event> {
        let at_endpoint = (0..count).map(|n| executed(7 * SECOND + n * 2 * MS, 100 + n, 1, 1));
        let at_client = (0..count).flat_map(|n| {
            [started(7 * SECOND, 100 + n, RequestClass::Read, 0), ended(8 * SECOND, 100 + n, 200)]
        });
        at_endpoint.chain(at_client).collect()
    };
    assert_eq!(checkers_that_find(flood(700)), ["cold servers"]);
    assert_eq!(checkers_that_find(flood(400)), NONE);
}

#[test]
fn recordings_that_cannot_be_read_are_found_unless_damaged() {
    let recording = |damaged, failure| {
        let file = "a.rec".into();
        vec![Event { at: LATE, kind: EventKind::RecordingRead { node: 0, file, damaged, failure } }]
    };
    assert_eq!(checkers_that_find(recording(false, Some(ReadFailure::Rejected))), ["recordings"]);
    assert_eq!(checkers_that_find(recording(true, Some(ReadFailure::ReaderCrashed))), ["recordings"]);
    let fine = [recording(true, Some(ReadFailure::Rejected)), recording(false, None)].concat();
    assert_eq!(checkers_that_find(fine), NONE);
}

#[test]
fn crashes_held_resources_and_lag_are_found() {
    let crashed = EventKind::NodeCrashed { node: 0, text: "signal 11".into() };
    assert_eq!(checkers_that_find(vec![Event { at: LATE, kind: crashed }]), ["crashes"]);
    let held = EventKind::ResourceUsage { node: 0, descriptors: 300, memory_kib: 9_000 };
    assert_eq!(checkers_that_find(vec![Event { at: 10 * SECOND, kind: held }]), ["resources"]);
    let lag = EventKind::HarnessLag { max_us: 600_000 };
    assert_eq!(checkers_that_find(vec![Event { at: LATE, kind: lag }]), ["lag"]);
}

/// Guards exemptions: a pause exempts the paused node, no other one, and not for long after.
#[test]
fn a_pause_exempts_only_the_paused_node() {
    let timed_out = |at: Nanos, node: usize| {
        vec![started(at, 9, RequestClass::Read, node), ended_with(at + MS, 9, ClientOutcome::TimedOut)]
    };
    assert_eq!(checkers_that_find(timed_out(4 * SECOND, 1)), NONE);
    assert_eq!(checkers_that_find(timed_out(4 * SECOND, 0)), ["none lost"]);
    assert_eq!(checkers_that_find(timed_out(9 * SECOND, 1)), ["none lost"]);
}

#[test]
fn a_misbehaving_endpoint_exempts_only_the_requests_that_it_had_meanwhile() {
    let misbehavior = |at, begins| Event {
        at,
        kind: EventKind::Fault {
            index: 1,
            text: String::new(),
            begins,
            nodes: vec![],
            affects_clients: false,
            misbehaving: vec![0],
        },
    };
    let executed_twice = |at: Nanos| {
        vec![
            misbehavior(7 * SECOND, true),
            misbehavior(8 * SECOND, false),
            started(at, 9, RequestClass::Submit, 0),
            executed(at + MS, 9, 0, 0),
            executed(at + 2 * MS, 9, 0, 1),
            ended(at + 9 * MS, 9, 200),
        ]
    };
    assert_eq!(checkers_that_find(executed_twice(7 * SECOND + MS)), NONE);
    assert_eq!(checkers_that_find(executed_twice(7 * SECOND - 100 * MS)), NONE);
    assert_eq!(checkers_that_find(executed_twice(9 * SECOND + MS)), ["effects once"]);
}

#[test]
fn histories_are_read_as_written() {
    let history = History::from_events(good_history());
    let mut bytes = Vec::new();
    history.write(&mut bytes).unwrap();
    assert_eq!(History::read(&bytes[..]).unwrap(), history);
    let error = History::read(&b"{\"at\":1}\n"[..]).unwrap_err().to_string();
    assert!(error.starts_with("line 1: "), "{error}");
}

/// Guards that service is counted by worth: all of 11 before the fault, half of 20 while node 1 is paused.
#[test]
fn the_summary_counts_service_by_worth() {
    let summary = ServiceSummary::new(&scenario(), &History::from_events(good_history()));
    assert_eq!((summary.requests, summary.rejected, summary.unanswered), (4, 0, 1));
    assert_eq!((summary.served_share[0], summary.served_share[1]), (1.0, 0.5));
}
