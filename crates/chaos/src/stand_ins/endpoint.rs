//! Endpoint stand-in with limited concurrency and a warm-up after its start.

use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::{JoinSet, spawn_local};
use tokio::time::{sleep, timeout};

use super::messages::{announce, emit, read_messages, request_id};
use super::{bursts, malformed};
use crate::fault_effects::EndpointBehavior;
use crate::fault_kind::Misbehavior;
use crate::history::EventKind;
use crate::task::AbortOnDrop;
use crate::{Nanos, SECOND, clock};

/// Length of an endpoint's queue, as a multiple of its current concurrency; further requests are rejected.
const MAX_WAITING_PER_SLOT: usize = 4;
/// Interval at which a waiting request checks for a free slot: during warm-up the concurrency grows without a notification.
const SLOT_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Pause after a failed accept: while descriptors are exhausted, the next one would fail at once.
const ACCEPT_RETRY: Duration = Duration::from_millis(10);
/// Header of responses that report a request as not executed.
const UNPROCESSED_HEADER: &str = "x-unprocessed";

pub(super) type HttpResponse = Response<Full<Bytes>>;

/// Settings of an endpoint.
#[derive(Clone, Copy, Debug, clap::Args)]
pub struct EndpointArgs {
    /// Number of the endpoint
    #[arg(long)]
    pub number: usize,
    /// Number of earlier starts
    #[arg(long = "epoch")]
    pub incarnation: u32,
    /// Requests that the endpoint executes at the same time
    #[arg(long = "places")]
    pub concurrency: usize,
    /// Mean service time in milliseconds
    #[arg(long = "takes-ms")]
    pub service_time_ms: f64,
    /// Duration of the warm-up in seconds; 0 for none
    #[arg(long = "cold-s")]
    pub warm_up_s: f64,
    /// Share of the concurrency at the start of the warm-up
    #[arg(long = "cold-from")]
    pub initial_share: f64,
}

/// What an endpoint does with a connection after it executed a request.
pub(super) enum Reply {
    /// Sends a response.
    Response(HttpResponse),
    /// Closes the connection without a response; new connections get a malformed one.
    Close,
}

pub(super) struct Endpoint {
    args: EndpointArgs,
    started: Nanos,
    executing: Cell<usize>,
    waiting: Cell<usize>,
    slot_freed: Notify,
    rng: RefCell<StdRng>,
    behavior: RefCell<EndpointBehavior>,
}

impl Endpoint {
    fn new(args: EndpointArgs) -> Self {
        let seed = (args.number as u64) << 32 | u64::from(args.incarnation);
        Self {
            args,
            started: clock::now(),
            executing: Cell::new(0),
            waiting: Cell::new(0),
            slot_freed: Notify::new(),
            rng: RefCell::new(StdRng::seed_from_u64(seed)),
            behavior: RefCell::default(),
        }
    }

    pub fn number(&self) -> usize {
        self.args.number
    }

    fn misbehavior(&self) -> Option<Misbehavior> {
        self.behavior.borrow().misbehavior
    }

    /// Returns the concurrency at the current point of the warm-up.
    fn current_concurrency(&self) -> usize {
        let EndpointArgs { concurrency, warm_up_s, initial_share, .. } = self.args;
        let age_s = (clock::now() - self.started) as f64 / SECOND as f64;
        let share =
            if age_s >= warm_up_s { 1.0 } else { initial_share + (1.0 - initial_share) * age_s / warm_up_s };
        ((concurrency as f64 * share).round() as usize).max(1)
    }

    fn is_full(&self) -> bool {
        self.executing.get() >= self.current_concurrency()
    }

    /// Executes a request, or rejects it if the queue is full.
    pub async fn execute(self: Rc<Self>, id: u64, via: String) -> Reply {
        let EndpointArgs { number: endpoint, incarnation, .. } = self.args;
        if self.is_full() && self.waiting.get() >= MAX_WAITING_PER_SLOT * self.current_concurrency() {
            emit(EventKind::RequestRejected { endpoint });
            return Reply::Response(not_executed());
        }
        // From here on the request is executed, even if its connection breaks.
        emit(EventKind::RequestExecuted { id, endpoint, incarnation, via });
        self.wait_for_slot().await;
        self.executing.set(self.executing.get() + 1);
        let service_time = self.random_service_time();
        sleep(service_time).await;
        self.executing.set(self.executing.get() - 1);
        self.slot_freed.notify_one();
        match self.misbehavior() {
            None => Reply::Response(success(id)),
            Some(Misbehavior::WrongResponse) => Reply::Response(success(id ^ 1)),
            Some(Misbehavior::DeniesExecution) => Reply::Response(not_executed()),
            Some(Misbehavior::MalformedResponse) => Reply::Close,
        }
    }

    async fn wait_for_slot(&self) {
        self.waiting.set(self.waiting.get() + 1);
        while self.is_full() {
            let _ = timeout(SLOT_POLL_INTERVAL, self.slot_freed.notified()).await;
        }
        self.waiting.set(self.waiting.get() - 1);
    }

    /// Returns a service time: half of the mean is constant, the rest exponentially distributed.
    fn random_service_time(&self) -> Duration {
        let half_mean_ms = self.args.service_time_ms / 2.0;
        let random_ms = -half_mean_ms * (1.0 - self.rng.borrow_mut().random::<f64>()).ln();
        let slowdown = self.behavior.borrow().slowdown;
        Duration::from_secs_f64((half_mean_ms + random_ms) * slowdown / 1e3)
    }
}

/// Returns the response to an executed request; the body is the request's id.
fn success(id: u64) -> HttpResponse {
    Response::new(Full::new(Bytes::from(format!("{id:x}\n"))))
}

/// Returns the response that reports a request as not executed.
fn not_executed() -> HttpResponse {
    let mut response = Response::new(Full::default());
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    response.headers_mut().insert(UNPROCESSED_HEADER, HeaderValue::from_static("1"));
    response
}

fn bad_request() -> HttpResponse {
    let mut response = Response::new(Full::default());
    *response.status_mut() = StatusCode::BAD_REQUEST;
    response
}

/// Runs an endpoint until the process is killed. Must be called within a `LocalSet`.
///
/// # Errors
/// A listener that can't be opened.
pub async fn run_endpoint(args: EndpointArgs) -> io::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    announce(vec![listener.local_addr()?]);
    let endpoint = Rc::new(Endpoint::new(args));
    let _behavior_updates = AbortOnDrop::new(spawn_local(update_behavior(endpoint.clone())));
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_RETRY).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        connections.spawn_local(serve_connection(stream, endpoint.clone()));
    }
}

async fn update_behavior(endpoint: Rc<Endpoint>) {
    let mut behaviors = read_messages::<EndpointBehavior>();
    while let Some(behavior) = behaviors.recv().await {
        *endpoint.behavior.borrow_mut() = behavior;
    }
}

async fn serve_connection(stream: TcpStream, endpoint: Rc<Endpoint>) {
    if endpoint.misbehavior() == Some(Misbehavior::MalformedResponse) {
        let _ = malformed::respond(stream, endpoint.args).await;
        return;
    }
    let burst_seed = endpoint.behavior.borrow().bursts;
    if let Some(seed) = burst_seed {
        let _ = bursts::serve(stream, endpoint, seed).await;
        return;
    }
    let service = service_fn(move |request| serve_request(request, endpoint.clone()));
    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
}

async fn serve_request(request: Request<Incoming>, endpoint: Rc<Endpoint>) -> io::Result<HttpResponse> {
    let (head, body) = request.into_parts();
    let id = request_id(|name| head.headers.get(name)?.to_str().ok());
    let (Some(id), Ok(_)) = (id, body.collect().await) else { return Ok(bad_request()) };
    let via = header(&head.headers, "via").to_owned();
    // A separate task, so that the execution continues if the connection breaks.
    match spawn_local(endpoint.execute(id, via)).await {
        Ok(Reply::Response(response)) => Ok(response),
        Ok(Reply::Close) | Err(_) => Err(io::ErrorKind::BrokenPipe.into()),
    }
}

/// Returns a header's value; empty if it is missing or not text.
fn header<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
}
