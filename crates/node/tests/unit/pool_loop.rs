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
use crate::net::exchange::{ProxyRequest, UpstreamRequest, UpstreamResponse};
use crate::net::upstream::transport::{
    AttemptDeadlines, AttemptFuture, AttemptResult, EndpointConnector, ResponseStarted,
};

/// Servers that get no attempt: the test tells of their ends itself.
struct Nowhere;

impl Transport for Nowhere {
    fn connector(&self, dial: &Address) -> Rc<dyn EndpointConnector> {
        Rc::new(Silent(dial.clone()))
    }

    fn sweep(&self) {}
}

struct Silent(Address);

impl EndpointConnector for Silent {
    fn address(&self) -> &Address {
        &self.0
    }

    fn is_usable(&self) -> bool {
        true
    }

    fn retire(&self) {}

    fn close_idle(&self) {}

    fn attempt(
        self: Rc<Self>,
        _: Rc<UpstreamRequest>,
        _: AttemptDeadlines,
        _cancel: oneshot::Receiver<()>,
        _: ResponseStarted,
    ) -> AttemptFuture {
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
    let setup = PoolConfig {
        settings: boot.settings().unwrap(),
        seed: 1,
        zones: vec!["a".into()],
        endpoints: EndpointSource::Fixed(serde_json::from_str(list).unwrap()),
        transport: Rc::new(Nowhere),
        overrides: Rc::default(),
        warm_state: None,
        clock: Clock::start(),
        recorder: None,
    };
    let local = LocalSet::new();
    let told = local.run_until(async {
        let (mut core, handle) = PoolLoop::new(setup, ActiveRequestIds::default());
        let ask = ProxyRequest {
            correlation_id: "one".into(),
            class: 0,
            tenant: None,
            cost_hint: None,
            ordering_key: None,
            revision: None,
            time_left: Duration::from_millis(100),
            body_read_time: Duration::ZERO,
            upstream: UpstreamRequest::default(),
        };
        let asked = tokio::task::spawn_local(async move { handle.proxy(ask).await });
        tokio::task::yield_now().await;
        core.feed();
        core.hear();
        let server = core.roster.ids().next().unwrap();
        let answer =
            UpstreamResponse { status: StatusCode::OK, headers: HeaderMap::new(), body: Bytes::new().into() };
        let end = AttemptResult {
            response: Some(answer),
            ..AttemptResult::without_response(AttemptOutcome::Success)
        };
        let sent = core.now();
        let (id, attempt) = (RequestId(0), AttemptNo(0));
        assert!(core.open.get(&id).is_some_and(|open| open.attempts.len() == 1), "it is sent");
        core.to_self.send(PoolMessage::AttemptEnded { id, attempt, server, sent, end }).unwrap();
        tokio::time::advance(Duration::from_millis(400)).await;
        core.fire();
        asked.await.unwrap()
    });
    assert!(matches!(told.await, Some(FinalResponse::Upstream(_))));
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
        let source = EndpointSource::Watch {
            address: discovery.local_addr().unwrap(),
            last_list: Some(EndpointList::default()),
            poll_at_start: at_once,
        };
        let setup = PoolConfig {
            settings: boot.settings().unwrap(),
            seed: 1,
            zones: vec!["a".into()],
            endpoints: source,
            transport: Rc::new(Nowhere),
            overrides: Rc::default(),
            warm_state: None,
            clock: Clock::start(),
            recorder: None,
        };
        let local = LocalSet::new();
        let asks = local
            .run_until(async { PoolLoop::new(setup, ActiveRequestIds::default()).0.watch.is_running() })
            .await;
        assert_eq!(asks, at_once);
    }
}
