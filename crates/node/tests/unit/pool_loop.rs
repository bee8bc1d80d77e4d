use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::StatusCode;
use hyper::header::HeaderMap;
use pumicehead_config::model::Address;
use pumicehead_policy::deployment_settings::DeploymentSettings;
use pumicehead_policy::{AttemptNo, AttemptOutcome};
use tokio::sync::oneshot;
use tokio::task::LocalSet;

use super::*;
use crate::net::discovery::EndpointList;
use crate::net::exchange::{FinalResponse, ProxyRequest, UpstreamRequest, UpstreamResponse};
use crate::net::pool_message::EndedAttempt;
use crate::net::upstream::transport::{
    AttemptDeadlines, AttemptFuture, AttemptResult, EndpointConnector, OnResponseStarted, Transport,
};

const AUTOMATIC: &str = r#"{"classes":[{"name":"submit","effect":"side_effect","target_ns":100000000,"deadline_ns":100000000}],
    "zones":["a"],"membership_mode":"automatic","quantum_ns":5000000,"ceilings":{"max_attempts":1}}"#;
const SUBSCRIBE: &str = r#"{"classes":[{"name":"submit","effect":"side_effect","target_ns":100000000,"deadline_ns":100000000}],
    "zones":["a"],"membership_mode":"subscribe","quantum_ns":5000000,"ceilings":{"max_attempts":1}}"#;

/// A transport whose attempts never end, because the test itself reports their ends.
struct PendingTransport;

impl Transport for PendingTransport {
    fn connector(&self, address: &Address) -> Rc<dyn EndpointConnector> {
        Rc::new(PendingConnector(address.clone()))
    }

    fn sweep(&self) {}
}

struct PendingConnector(Address);

impl EndpointConnector for PendingConnector {
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
        _: OnResponseStarted,
    ) -> AttemptFuture {
        Box::pin(std::future::pending())
    }
}

fn config(settings: &str, endpoints: EndpointSource) -> PoolConfig {
    let boot: DeploymentSettings = serde_json::from_str(settings).unwrap();
    PoolConfig {
        settings: boot.settings().unwrap(),
        seed: 1,
        zones: vec!["a".into()],
        endpoints,
        transport: Rc::new(PendingTransport),
        overrides: Rc::default(),
        warm_state: None,
        clock: Clock::start(),
        recorder: None,
    }
}

/// A response that was reported before the loop falls behind is used, and the request does not fail as overdue.
#[tokio::test(start_paused = true)]
async fn reported_response_is_used_although_the_request_is_overdue() {
    let list =
        r#"{"seq":1,"whole":true,"hosts":[{"host":"s","dial":"127.0.0.1:1","site":"a","health":"active"}]}"#;
    let config = config(AUTOMATIC, EndpointSource::Fixed(serde_json::from_str(list).unwrap()));
    let local = LocalSet::new();
    let response = local.run_until(async {
        let ids = ActiveRequestIds::default();
        let (mut pool, handle) = PoolLoop::new(config, ids.clone());
        let request = ProxyRequest {
            correlation_id: "one".into(),
            class: 0,
            tenant: None,
            cost_hint: None,
            ordering_key: None,
            revision: None,
            received_at: tokio::time::Instant::now(),
            time_left: Duration::from_millis(100),
            body_read_time: Duration::ZERO,
            upstream: UpstreamRequest::default(),
        };
        let id_guard = ids.claim(&request.correlation_id).unwrap();
        let response = tokio::task::spawn_local(async move { handle.proxy(request, id_guard).await });
        tokio::task::yield_now().await;
        pool.dispatch_events();
        pool.handle_waiting_messages();
        let endpoint = pool.directory.ids().next().unwrap();
        let upstream =
            UpstreamResponse { status: StatusCode::OK, headers: HeaderMap::new(), body: Bytes::new().into() };
        let result = AttemptResult {
            response: Some(upstream),
            ..AttemptResult::without_response(AttemptOutcome::Success)
        };
        let started_at = pool.now();
        let (id, attempt) = (RequestId(0), AttemptNo(0));
        let attempts = pool.in_flight.get(&id).map(|in_flight| in_flight.attempts.len());
        assert_eq!(attempts, Some(1), "the request is sent");
        let ended = EndedAttempt { id, attempt, endpoint, started_at, result };
        pool.sender.send(PoolMessage::AttemptEnded(ended)).unwrap();
        tokio::time::advance(Duration::from_millis(400)).await;
        pool.fire_due_timers();
        response.await.unwrap()
    });
    assert!(matches!(response.await, FinalResponse::Upstream(_)));
}

/// A process that takes over from another one requests the list when it starts. Other processes request it when the
/// decision module asks for it.
#[tokio::test]
async fn takeover_starts_the_watch_immediately() {
    for poll_at_start in [true, false] {
        let discovery = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let endpoints = EndpointSource::Watch {
            address: discovery.local_addr().unwrap(),
            last_list: Some(EndpointList::default()),
            poll_at_start,
        };
        let config = config(SUBSCRIBE, endpoints);
        let local = LocalSet::new();
        let is_running = local
            .run_until(async { PoolLoop::new(config, ActiveRequestIds::default()).0.watch.is_running() })
            .await;
        assert_eq!(is_running, poll_at_start);
    }
}
