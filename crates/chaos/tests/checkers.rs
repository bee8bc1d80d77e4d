//! Each checker finds what is planted, and nothing in the same history without it.

use pumicehead_chaos::check;
use pumicehead_chaos::history::{
    ClientOutcome, Event, EventKind, History, ListedHealth, MemberState, ProcessState, ReadFailure,
    RequestClass,
};
use pumicehead_chaos::scenario::Scenario;
use pumicehead_chaos::{MS, Nanos, SECOND};

fn scenario() -> Scenario {
    Scenario::parse(
        "name = \"x\"\nfleet = { nodes = 2, servers = 2 }\nload = { rate = 10 }\ncalm_s = [2, 4]\n\
         [[fault]]\nat_s = 0\nfor_s = 4\nkind = \"stall\"\nnodes = [1]",
    )
    .unwrap()
}

fn asked(at: Nanos, id: u64, class: RequestClass, node: usize) -> Event {
    Event { at, kind: EventKind::RequestStarted { id, class, node, patience_ms: 1_200 } }
}

fn ended(at: Nanos, id: u64, status: u16) -> Event {
    Event {
        at,
        kind: EventKind::RequestEnded { id, end: ClientOutcome::Answered { status, matches_request: true } },
    }
}

fn effect(at: Nanos, id: u64, server: usize, epoch: u32) -> Event {
    Event { at, kind: EventKind::RequestExecuted { id, server, epoch, via: "1.1 n0".into() } }
}

/// Two nodes and two servers up, a request of each class served, node 1 stalled from 2 s to 6 s and failing its clients then,
/// server 1 leaving from 3 s on and restarted cold at 5 s.
fn good() -> Vec<Event> {
    let mut all: Vec<_> = (0..2)
        .flat_map(|n| {
            let up = ProcessState::Running;
            [
                EventKind::NodeState { node: n, state: up },
                EventKind::EndpointState { server: n, epoch: 0, state: up },
            ]
        })
        .map(|what| Event { at: 0, kind: what })
        .collect();
    all.extend([
        asked(SECOND, 1, RequestClass::Submit, 0),
        effect(SECOND + MS, 1, 1, 0),
        ended(SECOND + 20 * MS, 1, 200),
    ]);
    all.extend([
        asked(SECOND, 2, RequestClass::Read, 0),
        effect(SECOND + MS, 2, 1, 0),
        effect(SECOND + 2 * MS, 2, 0, 0),
    ]);
    all.push(ended(SECOND + 20 * MS, 2, 200));
    let stall = |at, state, begins| {
        let fault = EventKind::Fault {
            number: 0,
            text: "nodes 1 stand still".into(),
            begins,
            nodes: vec![1],
            clients: false,
            liars: Vec::new(),
        };
        [Event { at, kind: EventKind::NodeState { node: 1, state } }, Event { at, kind: fault }]
    };
    all.extend(stall(2 * SECOND, ProcessState::Paused, true));
    all.push(asked(3 * SECOND, 3, RequestClass::Submit, 1));
    all.push(Event { at: 6 * SECOND, kind: EventKind::RequestEnded { id: 3, end: ClientOutcome::TimedOut } });
    all.extend(stall(6 * SECOND, ProcessState::Resumed, false));
    all.push(Event {
        at: 3 * SECOND,
        kind: EventKind::DiscoveryUpdate { node: 0, server: 1, listed: ListedHealth::Draining },
    });
    all.extend([
        asked(4 * SECOND, 4, RequestClass::Submit, 0),
        effect(4 * SECOND + MS, 4, 1, 0),
        ended(4 * SECOND + 9 * MS, 4, 200),
    ]);
    all.push(Event {
        at: 7 * SECOND,
        kind: EventKind::EndpointState { server: 1, epoch: 1, state: ProcessState::Running },
    });
    all.push(Event {
        at: 7 * SECOND,
        kind: EventKind::DiscoveryUpdate { node: 0, server: 1, listed: ListedHealth::Active },
    });
    for (at, most) in [(SECOND, 1), (9 * SECOND, 2)] {
        all.push(Event {
            at,
            kind: EventKind::ResourceUsage { node: 0, descriptors: 20 + most, memory_kib: 9_000 },
        });
        all.push(Event { at, kind: EventKind::HarnessLag { most_us: 900 } });
    }
    all
}

/// The checkers that find something once these are added.
fn found(planted: Vec<Event>) -> Vec<String> {
    let history = History::of(good().into_iter().chain(planted).collect());
    let mut names: Vec<_> = check::run(&scenario(), &history).into_iter().map(|find| find.checker).collect();
    names.dedup();
    names
}

#[test]
fn a_good_history_has_no_finds() {
    assert_eq!(found(Vec::new()), Vec::<String>::new());
}

/// Guards each rule: its violation is found, by its own checker alone.
#[test]
fn planted_violations_are_found() {
    let at = 8 * SECOND;
    let none = vec!["none lost"];
    // No end; an end that is too late; a connection that broke; an answer made for another; two ends.
    assert_eq!(found(vec![asked(at, 9, RequestClass::Read, 0)]), none);
    assert_eq!(found(vec![asked(at, 9, RequestClass::Read, 0), ended(at + 2 * SECOND, 9, 504)]), none);
    let broken =
        Event { at: at + MS, kind: EventKind::RequestEnded { id: 9, end: ClientOutcome::ConnectionBroken } };
    assert_eq!(found(vec![asked(at, 9, RequestClass::Read, 0), broken]), none);
    let other = Event {
        at: at + MS,
        kind: EventKind::RequestEnded {
            id: 9,
            end: ClientOutcome::Answered { status: 200, matches_request: false },
        },
    };
    assert_eq!(found(vec![asked(at, 9, RequestClass::Read, 0), other]), none);
    assert_eq!(found(vec![ended(at, 1, 200)]), none);
    // An effect twice, at another server or after a restart; one of what was refused as harmless to repeat.
    assert_eq!(found(vec![effect(2 * SECOND, 1, 0, 0)]), ["effects once"]);
    let refused =
        vec![asked(at, 9, RequestClass::Submit, 0), effect(at + MS, 9, 0, 0), ended(at + 2 * MS, 9, 503)];
    assert_eq!(found(refused), ["effects once"]);
    // A send to a server 3 s after the node was told that it leaves; at 2 s it may still be on its way.
    let after = |late: Nanos| {
        let when = 3 * SECOND + late;
        vec![
            asked(when, 9, RequestClass::Submit, 0),
            effect(when + MS, 9, 1, 0),
            ended(when + 9 * MS, 9, 200),
        ]
    };
    assert_eq!(found(after(3 * SECOND)), ["drains"]);
    assert_eq!(found(after(2 * SECOND)), Vec::<String>::new());
    // A cold server, whose first share is a fifth of 400 a second: four times that over 1.5 s are 480.
    let flood = |count: u64| {
        let sent = (0..count).map(|n| effect(7 * SECOND + n * 2 * MS, 100 + n, 1, 1));
        sent.chain((0..count).flat_map(|n| {
            [asked(7 * SECOND, 100 + n, RequestClass::Read, 0), ended(8 * SECOND, 100 + n, 200)]
        }))
        .collect::<Vec<_>>()
    };
    assert_eq!(found(flood(700)), ["cold servers"]);
    assert_eq!(found(flood(400)), Vec::<String>::new());
    let recording = |harmed, failed| {
        vec![Event { at, kind: EventKind::RecordingRead { node: 0, file: "a.rec".into(), harmed, failed } }]
    };
    assert_eq!(found(recording(false, Some(ReadFailure::Rejected))), ["recordings"]);
    assert_eq!(found(recording(true, Some(ReadFailure::ReaderCrashed))), ["recordings"]);
    assert_eq!(
        found([recording(true, Some(ReadFailure::Rejected)), recording(false, None)].concat()),
        Vec::<String>::new()
    );
    let crashed = Event { at, kind: EventKind::NodeCrashed { node: 0, text: "signal 11".into() } };
    assert_eq!(found(vec![crashed]), ["crashes"]);
    let held = Event {
        at: 10 * SECOND,
        kind: EventKind::ResourceUsage { node: 0, descriptors: 300, memory_kib: 9_000 },
    };
    assert_eq!(found(vec![held]), ["resources"]);
    assert_eq!(found(vec![Event { at, kind: EventKind::HarnessLag { most_us: 600_000 } }]), ["lag"]);
}

/// Guards excuses: what a stall excuses for the node that stands still it excuses for no other, nor long after.
#[test]
fn excuses_are_nobody_elses() {
    let broken = |at: Nanos, node: usize| {
        vec![
            asked(at, 9, RequestClass::Read, node),
            Event { at: at + MS, kind: EventKind::RequestEnded { id: 9, end: ClientOutcome::TimedOut } },
        ]
    };
    assert_eq!(found(broken(4 * SECOND, 1)), Vec::<String>::new());
    assert_eq!(found(broken(4 * SECOND, 0)), ["none lost"]);
    assert_eq!(found(broken(9 * SECOND, 1)), ["none lost"]);
}

/// Guards that a lying server excuses what it had while it lied and nothing else.
#[test]
fn a_lie_excuses_what_was_lied_about() {
    let lie = |at, begins| Event {
        at,
        kind: EventKind::Fault {
            number: 1,
            text: String::new(),
            begins,
            nodes: vec![],
            clients: false,
            liars: vec![0],
        },
    };
    let twice = |at: Nanos| {
        vec![
            lie(7 * SECOND, true),
            lie(8 * SECOND, false),
            asked(at, 9, RequestClass::Submit, 0),
            effect(at + MS, 9, 0, 0),
            effect(at + 2 * MS, 9, 0, 1),
            ended(at + 9 * MS, 9, 200),
        ]
    };
    assert_eq!(found(twice(7 * SECOND + MS)), Vec::<String>::new());
    assert_eq!(found(twice(7 * SECOND - 100 * MS)), Vec::<String>::new());
    assert_eq!(found(twice(9 * SECOND + MS)), ["effects once"]);
}

/// Guards the checker of views: three members, of which node 2 is killed and comes back; a node that runs is not held dead, and
/// views end equal, with all who run alive in them.
#[test]
fn views_that_wrong_or_never_settle_are_found() {
    let text = "name = \"x\"\nfleet = { nodes = 3, servers = 1, members = true }\nload = { rate = 10 }\ncalm_s = [2, 15]\n\
         [[fault]]\nat_s = 0\nfor_s = 3\nkind = \"kill\"\nnodes = [2]";
    let scenario = Scenario::parse(text).unwrap();
    let view = |at: Nanos, node: usize, print: &str, holds: [MemberState; 3]| Event {
        at: at * SECOND,
        kind: EventKind::MembershipView {
            node,
            fingerprint: print.into(),
            holds: holds.into_iter().enumerate().collect(),
        },
    };
    let node = |at: Nanos, node: usize, state: ProcessState| Event {
        at: at * SECOND,
        kind: EventKind::NodeState { node, state },
    };
    let fault = |at: Nanos, begins: bool| {
        let (text, nodes) = (String::new(), vec![2]);
        let what = EventKind::Fault { number: 0, text, begins, nodes, clients: false, liars: vec![] };
        Event { at: at * SECOND, kind: what }
    };
    let (alive, dead) =
        ([MemberState::Alive; 3], [MemberState::Alive, MemberState::Alive, MemberState::Dead]);
    let good = || {
        let mut all: Vec<_> =
            (0..3).flat_map(|n| [node(0, n, ProcessState::Running), view(1, n, "a", alive)]).collect();
        all.extend([node(10, 2, ProcessState::Down), fault(10, true)]);
        all.extend([view(12, 0, "b", dead), view(13, 1, "b", dead)]);
        all.extend([node(20, 2, ProcessState::Running), fault(20, false)]);
        all.extend((0..3).map(|n| view(22, n, "c", alive)));
        all
    };
    let found = |planted: Vec<Event>| {
        let history = History::of(good().into_iter().chain(planted).collect());
        let finds = check::run(&scenario, &history);
        (
            finds.iter().filter(|find| find.checker == "views").count(),
            check::views(&scenario, &history).unwrap(),
        )
    };
    let (finds, views) = found(Vec::new());
    assert_eq!((finds, views.found_s, views.settled_s, views.wronged), (0, Some((2.0, 3.0)), Some(2.0), 0));
    // 0 holds 1 dead, long before or after anything that concerned either, and takes it back.
    let wrong = [MemberState::Alive, MemberState::Dead, MemberState::Alive];
    assert_eq!(found(vec![view(5, 0, "x", wrong), view(6, 0, "a", alive)]).0, 1);
    assert_eq!(found(vec![view(60, 0, "x", wrong), view(61, 0, "c", alive)]).1.wronged, 1);
    // Soon after its restart the killed one may still be held dead.
    assert_eq!(found(vec![view(24, 0, "x", dead), view(25, 0, "c", alive)]).1.wronged, 0);
    // Views that stay apart, or agree on what is not so.
    assert_eq!(found(vec![view(24, 1, "d", alive)]).0, 1);
    let all_wrong: Vec<_> = (0..3).map(|n| view(24, n, "e", dead)).collect();
    assert_eq!(found(all_wrong).0, 1);
}

/// Guards the summary and the file: what is written is what is read, and service is counted by worth.
#[test]
fn histories_are_read_as_written() {
    let history = History::of(good());
    let mut bytes = Vec::new();
    history.write(&mut bytes).unwrap();
    assert_eq!(History::read(&bytes[..]).unwrap(), history);
    let error = History::read(&b"{\"at\":1}\n"[..]).unwrap_err().to_string();
    assert!(error.starts_with("line 1: "), "{error}");
    let summary = check::Service::of(&scenario(), &history);
    assert_eq!((summary.asked, summary.refused, summary.unanswered), (4, 0, 1));
    // Of 11 worth in the calm all, of 20 while node 1 stood still half.
    assert_eq!((summary.served[0], summary.served[1]), (1.0, 0.5));
}
