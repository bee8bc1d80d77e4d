//! Clients of each node: they send requests at random times that do not depend on responses, as many independent users
//! would, and record how each request ended.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::net::TcpStream;
use tokio::task::{JoinSet, spawn_local};
use tokio::time::{Instant, sleep_until, timeout_at};

use super::event_log::EventLog;
use crate::fault_effects::load_factor;
use crate::history::{ClientOutcome, EventKind, RequestClass};
use crate::response_bursts::is_body_of;
use crate::scenario::Host;
use crate::scenario::Scenario;
use crate::stand_ins::{PLATFORM_ID_HEADER, REQUEST_ID_HEADER};
use crate::task::AbortOnDrop;

/// Time that clients wait beyond the deadline, so that a late response can be distinguished from none.
const TIMEOUT_MARGIN: Duration = Duration::from_secs(2);
/// Clients do not reuse connections that were idle for longer; nodes keep idle connections open longer than that.
const MAX_IDLE_TIME: Duration = Duration::from_secs(5);
/// Longest time after which the end of a reused connection can have crossed a request.
const MAX_CROSSING_TIME: Duration = Duration::from_millis(20);
/// Step, in seconds, by which generation advances while the request rate is 0.
const PAUSE_STEP_S: f64 = 0.1;

/// A request with the time at which it is sent.
struct ScheduledRequest {
    /// Time since the start of the load.
    at: Duration,
    id: u64,
    class: RequestClass,
}

/// An idle connection to a node.
struct PooledConnection {
    idle_since: Instant,
    connection: Connection,
}

/// A connection to a node, with the task that drives it.
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    _driver: AbortOnDrop,
}

type ConnectionPool = Rc<RefCell<Vec<PooledConnection>>>;

/// Generates the requests of a node's clients. They depend on the scenario and its seed alone, not on how nodes respond.
fn generate_requests(scenario: &Scenario, node: usize) -> Vec<ScheduledRequest> {
    let seed = scenario.seed.wrapping_mul(1_000_003).wrapping_add(node as u64);
    let mut rng = StdRng::seed_from_u64(seed);
    let (mut at_s, mut requests) = (0.0, Vec::new());
    loop {
        let rate = scenario.load.requests_per_s * load_factor(scenario, at_s);
        at_s += if rate > 0.0 { -(1.0 - rng.random::<f64>()).ln() / rate } else { PAUSE_STEP_S };
        if at_s >= scenario.duration_s() {
            return requests;
        }
        if rate > 0.0 {
            let is_submit = rng.random::<f64>() < scenario.load.submit_share;
            let class = if is_submit { RequestClass::Submit } else { RequestClass::Read };
            let id = ((node as u64) << 32) | requests.len() as u64;
            requests.push(ScheduledRequest { at: Duration::from_secs_f64(at_s), id, class });
        }
    }
}

/// Starts the clients of all nodes; `addresses` has one address per node. The tasks end after the last request.
pub(crate) fn start(
    scenario: &Scenario,
    addresses: &[SocketAddr],
    start: Instant,
    log: &EventLog,
) -> JoinSet<()> {
    let mut clients = JoinSet::new();
    for (node, &address) in addresses.iter().enumerate() {
        let node_clients = Rc::new(NodeClients {
            node,
            address,
            host: scenario.fleet.host,
            deadline_ms: scenario.load.deadline_ms,
            pool: ConnectionPool::default(),
            log: log.clone(),
        });
        clients.spawn_local(node_clients.run(generate_requests(scenario, node), start));
    }
    clients
}

/// The clients of a node.
struct NodeClients {
    node: usize,
    address: SocketAddr,
    host: Host,
    deadline_ms: u64,
    pool: ConnectionPool,
    log: EventLog,
}

impl NodeClients {
    async fn run(self: Rc<Self>, requests: Vec<ScheduledRequest>, start: Instant) {
        let mut in_flight = JoinSet::new();
        for request in requests {
            sleep_until(start + request.at).await;
            let clients = self.clone();
            in_flight.spawn_local(async move { clients.send_and_record(&request).await });
            while in_flight.try_join_next().is_some() {}
        }
        while in_flight.join_next().await.is_some() {}
    }

    async fn send_and_record(&self, request: &ScheduledRequest) {
        let (id, class, node, deadline_ms) = (request.id, request.class, self.node, self.deadline_ms);
        self.log.record(EventKind::RequestStarted { id, class, node, deadline_ms });
        let timeout = Instant::now() + Duration::from_millis(deadline_ms) + TIMEOUT_MARGIN;
        let outcome = timeout_at(timeout, self.send(request)).await.unwrap_or(ClientOutcome::TimedOut);
        self.log.record(EventKind::RequestEnded { id, outcome });
    }

    /// Sends a request. If the node closes a reused idle connection at the same time, without having read the request, the
    /// request is sent once more over another connection.
    async fn send(&self, request: &ScheduledRequest) -> ClientOutcome {
        let mut is_resent = false;
        loop {
            let sent_at = Instant::now();
            let pooled = self.pool.borrow_mut().pop();
            let is_reused = pooled.is_some();
            let mut connection = match pooled {
                Some(pooled) if pooled.idle_since.elapsed() > MAX_IDLE_TIME => continue,
                Some(pooled) => pooled.connection,
                None => match Connection::open(self.address).await {
                    Some(connection) => connection,
                    None => return ClientOutcome::ConnectFailed,
                },
            };
            if connection.sender.ready().await.is_err() {
                if is_reused {
                    continue;
                }
                return ClientOutcome::ConnectFailed;
            }
            let response = match connection.sender.send_request(self.http_request(request)).await {
                Ok(response) => response,
                Err(error) if is_reused && error.is_canceled() => continue,
                Err(_) if is_reused && !is_resent && sent_at.elapsed() < MAX_CROSSING_TIME => {
                    self.log.record(EventKind::RequestResent { id: request.id });
                    is_resent = true;
                    continue;
                }
                Err(_) => return ClientOutcome::ConnectionBroken,
            };
            let status = response.status().as_u16();
            let keep = response.headers().get("connection").is_none_or(|value| value != "close");
            let Ok(body) = response.into_body().collect().await else {
                return ClientOutcome::ConnectionBroken;
            };
            if keep {
                self.pool.borrow_mut().push(PooledConnection { idle_since: Instant::now(), connection });
            }
            let is_own_body = is_body_of(request.id, &body.to_bytes());
            return ClientOutcome::Answered { status, matches_request: is_own_body || status != 200 };
        }
    }
}

impl Connection {
    async fn open(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect(address).await.ok()?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        let driver = spawn_local(async move {
            let _ = connection.await;
        });
        Some(Self { sender, _driver: AbortOnDrop::new(driver) })
    }
}

impl NodeClients {
    fn http_request(&self, request: &ScheduledRequest) -> Request<Full<Bytes>> {
        let (method, collection, body) = match request.class {
            RequestClass::Read => ("GET", "boards", Bytes::new()),
            RequestClass::Submit => ("POST", "runs", Bytes::from_static(b"0:01:02.345")),
        };
        let builder = Request::builder()
            .method(method)
            .uri(format!("/{collection}/{:x}", request.id))
            .header("host", "storm.test")
            .header(REQUEST_ID_HEADER, format!("{:x}", request.id));
        let builder = match self.host {
            Host::Standalone => builder,
            Host::Platform => builder
                .header(PLATFORM_ID_HEADER, format!("{:x}", request.id))
                .header("x-service-class", collection)
                .header("x-time-left", format!("{}m", self.deadline_ms)),
        };
        builder.body(Full::new(body)).unwrap_or_default()
    }
}
