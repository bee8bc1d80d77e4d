use std::io::{Read, Write};
use std::net::{Ipv4Addr, TcpStream as Client};

use bytes::BytesMut;
use hyper::header::HeaderValue;
use hyper::{Method, Uri};
use pumicehead_config::model::Address;
use pumicehead_fastcgi::pairs;
use pumicehead_fastcgi::record::{self, Kind, Role, put, put_stream, put_stream_end};
use pumicehead_policy::deployment_settings::Boot;
use tokio::runtime::{Builder, LocalOptions};
use tokio::sync::oneshot;

use super::*;
use crate::net::clock::Clock;
use crate::net::exchange::{ProxyRequest, UpstreamRequest, UpstreamResponse};
use crate::net::pool_handle::PoolHandle;
use crate::net::pool_loop::{EndpointSource, PoolConfig, PoolLoop};
use crate::net::upstream::transport::{
    AttemptDeadlines, AttemptFuture, AttemptResult, EndpointConnector, ResponseStarted, Transport,
};

/// Servers that answer on the spot, and count.
#[derive(Clone, Default)]
struct Quick(Rc<Cell<usize>>, Bytes);

impl Transport for Quick {
    fn connector(&self, _: &Address) -> Rc<dyn EndpointConnector> {
        Rc::new(self.clone())
    }

    fn sweep(&self) {}
}

impl EndpointConnector for Quick {
    fn address(&self) -> &Address {
        const NOWHERE: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 1);
        &Address::Tcp(NOWHERE)
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
        Box::pin(async move {
            self.0.set(self.0.get() + 1);
            let headers = hyper::header::HeaderMap::new();
            let answer =
                UpstreamResponse { status: hyper::StatusCode::OK, headers, body: self.1.clone().into() };
            AttemptResult {
                response: Some(answer),
                ..AttemptResult::without_response(pumicehead_policy::AttemptOutcome::Success)
            }
        })
    }
}

/// Lets everything in.
struct Open(PoolHandle, Cell<usize>);

impl Admission for Open {
    fn admit(&self, _: RequestHead<'_>) -> Result<AdmittedRequest, RequestError> {
        self.1.set(self.1.get() + 1);
        let ask = ProxyRequest {
            correlation_id: self.1.get().to_string().into(),
            class: 0,
            tenant: None,
            cost_hint: None,
            ordering_key: None,
            revision: None,
            time_left: Duration::from_secs(60),
            body_read_time: Duration::ZERO,
            upstream: UpstreamRequest {
                method: Method::GET,
                uri: Uri::from_static("/"),
                ..UpstreamRequest::default()
            },
        };
        let manner = ResponseStyle::Gateway(HeaderValue::from_static("1.1 a"));
        Ok(AdmittedRequest { pool: self.0.clone(), request: ask, style: manner, must_be_empty: false })
    }
}

fn front(server: &Quick) -> Rc<DownstreamListener> {
    let boot: Boot = serde_json::from_str(
        r#"{"classes":[{"name":"submit","effect":"side_effect","target_ns":60000000000,"deadline_ns":60000000000}],
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
        transport: Rc::new(server.clone()),
        overrides: Rc::default(),
        warm_state: None,
        clock: Clock::start(),
        recorder: None,
    };
    let held = ActiveRequestIds::default();
    let (core, handle) = PoolLoop::new(setup, held.clone());
    task::spawn_local(core.run());
    let options = ListenerOptions {
        request_timeout: Duration::from_secs(60),
        idle_timeout: Duration::from_secs(60),
        max_buffered_body: 1 << 10,
        max_streamed_body: None,
        max_active_requests: 100,
        max_request_deadline: Duration::from_secs(60),
        serves_health_check: false,
        retry_after: None,
    };
    let stats = Rc::new(Stats::new(["submit".to_owned()]));
    let admission = Rc::new(Open(handle, Cell::new(0)));
    DownstreamListener::new(
        admission,
        held,
        options,
        ConnectionBudget::new(100, 400),
        || (),
        stats,
        MemoryBudget::new(1 << 20),
    )
}

/// Guards a request that is read in the moment in which its connection is to be closed as idle: it has its answer, and not
/// an end of the connection under it. Both are known to the connection's task when it comes to run: the look at the
/// sockets falls between the decision and that.
#[test]
fn what_is_read_as_its_connection_is_closed_is_answered() {
    let http = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n".to_vec();
    for (protocol, request) in [(Protocol::Http, http), (Protocol::FastCgi, fastcgi())] {
        for (read, ran) in ask_as_it_closes(protocol, &request) {
            assert!(ran && read.contains("done"), "{} {ran} {read:?}", protocol == Protocol::Http);
        }
    }
}

/// A request of a front end that keeps its connection.
fn fastcgi() -> Vec<u8> {
    let (mut out, mut params) = (BytesMut::new(), BytesMut::new());
    pairs::put(&mut params, b"REQUEST_METHOD", b"GET");
    pairs::put(&mut params, b"REQUEST_URI", b"/");
    let begin = record::Begin { role: Role::Responder, keep: true };
    put(&mut out, Kind::BeginRequest, 1, &begin.content());
    put_stream(&mut out, Kind::Params, 1, &params);
    put_stream_end(&mut out, Kind::Params, 1);
    put_stream_end(&mut out, Kind::Stdin, 1);
    out.to_vec()
}

/// Some connections, each with a first request and a second one as it is closed: what is read of the answer to that, and
/// whether it ran.
fn ask_as_it_closes(protocol: Protocol, request: &[u8]) -> Vec<(String, bool)> {
    // One task, then the sockets, then the next task.
    let mut builder = Builder::new_current_thread();
    let runtime = builder.enable_all().event_interval(1).build_local(LocalOptions::default()).unwrap();
    runtime.block_on(async {
        let server = Quick(Rc::default(), Bytes::from("done"));
        let front = front(&server);
        front.set_protocol(protocol);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let mut ends = Vec::new();
        for round in 1..=20 {
            let mut client = Client::connect(address).unwrap();
            let (stream, peer) = listener.accept().await.unwrap();
            front.clone().take(stream, peer.ip());
            client.set_nonblocking(true).unwrap();
            // Its first request, so that it rests.
            client.write_all(request).unwrap();
            assert!(read(&mut client).await.contains("done"));
            let mut closed = false;
            while !closed {
                task::yield_now().await;
                front.budget.for_each_of(&front, |conn| {
                    if conn.used() && conn.is_idle() {
                        // Runs before the connection's task.
                        task::spawn_local(async {});
                        conn.close_now();
                        closed = true;
                    }
                });
            }
            client.write_all(request).unwrap();
            ends.push((read(&mut client).await, server.0.get() == 2 * round));
            drop(client);
            while front.budget.count() > 0 {
                task::yield_now().await;
            }
        }
        ends
    })
}

/// Guards an answer that its client has yet to read from who wants its connection's place.
#[test]
fn an_answer_on_its_way_is_not_cut_for_a_place() {
    let runtime = Builder::new_current_thread().enable_all().build_local(LocalOptions::default()).unwrap();
    let (shed, late, told) = runtime.block_on(async {
        let whole = [vec![b'x'; 1 << 20], b"done".to_vec()].concat();
        let front = front(&Quick(Rc::default(), whole.into()));
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut client = Client::connect(listener.local_addr().unwrap()).unwrap();
        let (stream, peer) = listener.accept().await.unwrap();
        front.clone().take(stream, peer.ip());
        front.budget.for_each_of(&front, |conn| conn.stream.shrink_send_buffer());
        tokio::time::pause();
        client.write_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n").unwrap();
        let mut blocked = false;
        while !blocked {
            task::yield_now().await;
            front.budget.for_each_of(&front, |conn| blocked = conn.used() && conn.stream.is_blocked());
        }
        tokio::time::advance(2 * MIN_IDLE_BEFORE_EVICTION).await;
        let shed = front.budget.evict_one();
        client.set_nonblocking(true).unwrap();
        let told = read(&mut client).await;
        // Nothing waits any more: it may make way.
        let late = front.budget.evict_one();
        (shed, late, told)
    });
    assert!(!shed && late && told.ends_with("done"), "{shed} {late} {}", told.len());
}

/// What has come once there is an answer, or the connection's end.
async fn read(client: &mut Client) -> String {
    let (mut all, mut some) = (Vec::new(), [0; 1024]);
    loop {
        match client.read(&mut some) {
            Ok(0) => break,
            Ok(count) => all.extend_from_slice(&some[..count]),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => task::yield_now().await,
            Err(_) => break,
        }
        let tail = all.len().saturating_sub(some.len() + 4);
        if all[tail..].windows(4).any(|part| part == b"done") {
            break;
        }
    }
    String::from_utf8_lossy(&all).into_owned()
}
