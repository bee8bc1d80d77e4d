use std::time::Duration;

use bytes::Bytes;
use hyper::StatusCode;
use hyper::header::HeaderMap;
use pumicehead_config::model::Address;
use pumicehead_policy::deployment_settings::Boot;
use pumicehead_policy::{AttemptNo, AttemptOutcome};
use tokio::sync::oneshot;
use tokio::task::LocalSet;

use super::*;
use crate::net::ask::{Ask, Call, Served};
use crate::net::transport::{Attempt, Begin, End, Server, Times};

/// Servers that get no attempt: the test tells of their ends itself.
struct Nowhere;

impl Transport for Nowhere {
    fn server(&self, dial: &Address) -> Rc<dyn Server> {
        Rc::new(Silent(dial.clone()))
    }

    fn sweep(&self) {}
}

struct Silent(Address);

impl Server for Silent {
    fn dial(&self) -> &Address {
        &self.0
    }

    fn is_usable(&self) -> bool {
        true
    }

    fn retire(&self) {}

    fn hang_up(&self) {}

    fn attempt(self: Rc<Self>, _: Rc<Call>, _: Times, _cancel: oneshot::Receiver<()>, _: Begin) -> Attempt {
        Box::pin(std::future::pending())
    }
}

/// Guards an answer that has been told of from a loop that comes late: what is overdue by then has it, and not a failure.
#[tokio::test(start_paused = true)]
async fn what_was_told_before_a_late_look_is_heard_first() {
    let boot: Boot = serde_json::from_str(
        r#"{"classes":[{"name":"submit","effect":"side_effect","target_ns":100000000,"deadline_ns":100000000}],
        "zones":["a"],"membership_mode":"automatic","quantum_ns":5000000,"ceilings":{"max_attempts":1}}"#,
    )
    .unwrap();
    let list =
        r#"{"seq":1,"whole":true,"hosts":[{"host":"s","dial":"127.0.0.1:1","site":"a","health":"active"}]}"#;
    let setup = Setup {
        settings: boot.settings().unwrap(),
        seed: 1,
        zones: vec!["a".into()],
        source: Source::Fixed(serde_json::from_str(list).unwrap()),
        transport: Rc::new(Nowhere),
        hands: Rc::default(),
        learned: None,
        clock: Clock::start(),
        tap: None,
    };
    let local = LocalSet::new();
    let told = local.run_until(async {
        let (mut core, handle) = Core::new(setup, Held::default());
        let ask = Ask {
            correlation: "one".into(),
            class: 0,
            tenant: None,
            hint: None,
            key: None,
            revision: None,
            left: Duration::from_millis(100),
            sending: Duration::ZERO,
            call: Call::default(),
        };
        let asked = tokio::task::spawn_local(async move { handle.ask(ask).await });
        tokio::task::yield_now().await;
        core.feed();
        core.hear();
        let server = core.roster.ids().next().unwrap();
        let answer = Served { status: StatusCode::OK, headers: HeaderMap::new(), body: Bytes::new().into() };
        let end = End { answer: Some(answer), ..End::of(AttemptOutcome::Success) };
        let sent = core.now();
        let (id, attempt) = (RequestId(0), AttemptNo(0));
        assert!(core.open.get(&id).is_some_and(|open| open.attempts.len() == 1), "it is sent");
        core.to_self.send(Message::Ended { id, attempt, server, sent, end }).unwrap();
        tokio::time::advance(Duration::from_millis(400)).await;
        core.fire();
        asked.await.unwrap()
    });
    assert!(matches!(told.await, Some(Answer::Served(_))));
}

/// Guards that a process which takes over from another asks for the list as it begins, and others after the module's pause.
#[tokio::test]
async fn who_takes_over_asks_at_once() {
    let boot: Boot = serde_json::from_str(
        r#"{"classes":[{"name":"submit","effect":"side_effect","target_ns":100000000,"deadline_ns":100000000}],
        "zones":["a"],"membership_mode":"subscribe","quantum_ns":5000000,"ceilings":{"max_attempts":1}}"#,
    )
    .unwrap();
    for at_once in [true, false] {
        let discovery = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let source = Source::Watch {
            discovery: discovery.local_addr().unwrap(),
            known: Some(List::default()),
            at_once,
        };
        let setup = Setup {
            settings: boot.settings().unwrap(),
            seed: 1,
            zones: vec!["a".into()],
            source,
            transport: Rc::new(Nowhere),
            hands: Rc::default(),
            learned: None,
            clock: Clock::start(),
            tap: None,
        };
        let local = LocalSet::new();
        let asks = local.run_until(async { Core::new(setup, Held::default()).0.watch.is_under_way() }).await;
        assert_eq!(asks, at_once);
    }
}
