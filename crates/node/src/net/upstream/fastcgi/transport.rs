//! The servers of a pool that speaks FastCGI: kept connections, as many requests on each as the server says.

use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use pumicehead_config::model::Address;
use pumicehead_fastcgi::cgi::{Around, variables};
use pumicehead_fastcgi::client::Values;
use pumicehead_policy::AttemptOutcome;
use tokio::net::{TcpStream, UnixStream};
use tokio::sync::{Semaphore, oneshot};
use tokio::task;
use tokio::time::{Instant, sleep_until, timeout};

use crate::net::counting_stream::CountingStream;
use crate::net::exchange::UpstreamRequest;
use crate::net::memory_budget::MemoryBudget;
use crate::net::upstream::connection_registry::{
    ConnectionPermit, ConnectionRegistry, IDLE_SHARE, IdleConnections,
};
use crate::net::upstream::fastcgi::connection::{
    ConnectionDriver, DriverContext, FastCgiConnection, FastCgiRequest, Pool,
};
use crate::net::upstream::fastcgi::outcome::FastCgiEnding;
use crate::net::upstream::transport::{
    AttemptDeadlines, AttemptFuture, AttemptResult, EndpointConnector, ResponseStarted, Transport,
};

/// Longest wait for what a server says of itself; one that says nothing takes one request a connection.
const VALUES_WAIT: Duration = Duration::from_millis(250);
/// Most requests that are put on one connection, whatever the server says: they share its fate.
const MOST_ON_ONE: usize = 64;

/// What a pool's servers share.
pub struct FastCgiSettings {
    /// A connection that is not up by then has failed.
    pub connect_timeout: Duration,
    /// Servers close idle connections after this.
    pub server_idle_timeout: Duration,
    /// Longest body of an answer.
    pub max_body: u64,
    /// Memory for long answers.
    pub memory: Arc<MemoryBudget>,
    /// The part of paths that names the application.
    pub script: String,
    /// The folder of its files.
    pub root: String,
}

/// A pool's way to its servers.
pub struct FastCgiTransport {
    connections: Rc<ConnectionRegistry>,
    settings: Rc<FastCgiSettings>,
}

impl FastCgiTransport {
    /// With the settings of a pool.
    pub fn new(connections: Rc<ConnectionRegistry>, settings: FastCgiSettings) -> Rc<Self> {
        Rc::new(Self { connections, settings: Rc::new(settings) })
    }
}

impl Transport for FastCgiTransport {
    fn connector(&self, dial: &Address) -> Rc<dyn EndpointConnector> {
        Rc::new(FastCgiConnector {
            connections: self.connections.clone(),
            settings: self.settings.clone(),
            life: Rc::new(EndpointConnections {
                dial: dial.clone(),
                usable: Cell::new(true),
                pool: Pool::default(),
                idle_for: self.settings.server_idle_timeout.mul_f64(IDLE_SHARE),
                registered: Cell::new(false),
            }),
            said: Cell::new(ServerValues::NotAsked),
            asking: Semaphore::new(1),
            common: DriverContext {
                multiplexes: Rc::new(Cell::new(false)),
                name: dial.to_string().into(),
                told: Rc::default(),
            },
        })
    }

    fn sweep(&self) {
        self.connections.sweep();
    }
}

/// What a server says of itself.
#[derive(Clone, Copy)]
enum ServerValues {
    NotAsked,
    /// It closed or was silent: it is not asked again.
    Nothing,
    Values(Values),
}

/// A server's connections, and whether it may be used.
struct EndpointConnections {
    dial: Address,
    usable: Cell<bool>,
    pool: Pool,
    idle_for: Duration,
    registered: Cell<bool>,
}

struct FastCgiConnector {
    connections: Rc<ConnectionRegistry>,
    settings: Rc<FastCgiSettings>,
    life: Rc<EndpointConnections>,
    said: Cell<ServerValues>,
    /// One connection at a time asks.
    asking: Semaphore,
    common: DriverContext,
}

impl IdleConnections for EndpointConnections {
    fn registered(&self) -> &Cell<bool> {
        &self.registered
    }

    fn oldest_idle_since(&self) -> Option<Instant> {
        let pool = self.pool.borrow();
        pool.iter()
            .filter(|conn| conn.open.get() == 0 && !conn.closed.get())
            .map(|conn| conn.idle_since.get())
            .min()
    }

    fn close_oldest(&self) {
        let mut pool = self.pool.borrow_mut();
        let idle = pool.iter().enumerate().filter(|(_, conn)| conn.open.get() == 0);
        if let Some((place, _)) = idle.min_by_key(|(_, conn)| conn.idle_since.get()) {
            pool.remove(place).retire();
        }
    }

    fn sweep(&self, now: Instant) -> bool {
        let mut pool = self.pool.borrow_mut();
        pool.retain(|conn| {
            let expired = conn.open.get() == 0 && now >= conn.idle_since.get() + self.idle_for;
            if expired {
                conn.retire();
            }
            !expired && !conn.closed.get()
        });
        !pool.is_empty()
    }
}

impl EndpointConnector for FastCgiConnector {
    fn address(&self) -> &Address {
        &self.life.dial
    }

    fn is_usable(&self) -> bool {
        self.life.usable.get()
    }

    fn retire(&self) {
        self.life.usable.set(false);
        self.close_idle();
    }

    fn close_idle(&self) {
        // Those with requests end with these; the others now.
        let usable = self.life.usable.get();
        self.life.pool.borrow_mut().retain(|conn| {
            let goes = !usable || conn.open.get() == 0;
            if goes {
                conn.retire();
            }
            !goes
        });
    }

    fn attempt(
        self: Rc<Self>,
        call: Rc<UpstreamRequest>,
        times: AttemptDeadlines,
        cancel: oneshot::Receiver<()>,
        _: ResponseStarted,
    ) -> AttemptFuture {
        Box::pin(async move {
            let begun = Rc::new(Cell::new(false));
            tokio::select! {
                biased;
                done = self.exchange(&call, times, begun.clone()) => done,
                // The sender is kept as long as the attempt is out; were it lost, nobody would wait.
                _ = cancel => AttemptResult::without_response(AttemptOutcome::Cancelled),
                // A time-out before anything was written proves that nothing ran.
                () = sleep_until(times.deadline) => {
                    AttemptResult::without_response(if begun.get() { AttemptOutcome::TimedOut } else { AttemptOutcome::NotSent })
                }
            }
        })
    }
}

impl FastCgiConnector {
    async fn exchange(
        &self,
        call: &UpstreamRequest,
        times: AttemptDeadlines,
        begun: Rc<Cell<bool>>,
    ) -> AttemptResult {
        let conn = match self.connection().await {
            Ok(conn) => conn,
            Err(end) => return end,
        };
        // Dialling takes time: what was true when the attempt was decided need not be so now.
        let left = times.time_left(Instant::now());
        if left.is_zero() || !self.life.usable.get() || call.finished.get() {
            return AttemptResult::without_response(AttemptOutcome::NotSent);
        }
        let Some(params) = self.params(call, left) else {
            // Such a path is refused before it is sent here.
            return AttemptResult::without_response(AttemptOutcome::NotSent);
        };
        let (end, ended) = oneshot::channel();
        let job = FastCgiRequest {
            params,
            body: call.body.clone(),
            method: call.method.clone(),
            longest: self.settings.max_body,
            part: self.settings.memory.reservation(),
            end,
            begun: begun.clone(),
        };
        let ticket = conn.send(job);
        match ended.await {
            Ok(end) => {
                ticket.done();
                end
            }
            // The connection ended as the request came to it: nothing of it was written.
            Err(_) => {
                ticket.done();
                AttemptResult::without_response(
                    FastCgiEnding::ConnectionLost { request_written: false }.classify().outcome,
                )
            }
        }
    }

    fn params(&self, call: &UpstreamRequest, left: Duration) -> Option<Vec<(Bytes, Bytes)>> {
        let mut headers = call.headers.clone();
        headers.insert("x-time-left", format!("{}u", left.as_micros()).parse().ok()?);
        let around = Around {
            peer: call.client_ip,
            script: &self.settings.script,
            root: &self.settings.root,
            length: call.body.len(),
        };
        let list = variables(&call.method, &call.uri, &headers, around).ok()?;
        let owned = |(name, value): (std::borrow::Cow<'static, str>, std::borrow::Cow<'_, [u8]>)| {
            (Bytes::from(name.into_owned()), Bytes::from(value.into_owned()))
        };
        Some(list.into_iter().map(owned).collect())
    }

    /// Requests that one connection may carry.
    fn most_on_one(&self) -> usize {
        match self.said.get() {
            ServerValues::Values(Values { multiplexes: Some(true), requests, .. }) => {
                requests.map_or(MOST_ON_ONE, |most| (most as usize).min(MOST_ON_ONE))
            }
            _ => 1,
        }
    }

    /// A connection with room, or why there is none.
    async fn connection(&self) -> Result<Rc<FastCgiConnection>, AttemptResult> {
        if matches!(self.said.get(), ServerValues::NotAsked) {
            // The others wait for the one that asks, or each would.
            let _asking = self.asking.acquire().await;
            if matches!(self.said.get(), ServerValues::NotAsked) {
                return self.ask().await;
            }
        }
        let (most, mut open) = (self.most_on_one(), 0);
        let found = {
            let mut pool = self.life.pool.borrow_mut();
            pool.retain(|conn| conn.open.get() > 0 && !conn.closed.get() || conn.is_open());
            open += pool.iter().map(|conn| conn.open.get()).sum::<usize>();
            // The fullest that has room, so that the others can grow old.
            let free = pool.iter().filter(|conn| conn.open.get() < most);
            free.max_by_key(|conn| (conn.open.get(), conn.idle_since.get())).cloned()
        };
        if let ServerValues::Values(values) = self.said.get() {
            let connections = self.life.pool.borrow().len();
            let over = |bound: Option<u32>, count: usize| bound.is_some_and(|most| count >= most as usize);
            if over(values.requests, open) || found.is_none() && over(values.connections, connections) {
                return Err(AttemptResult::without_response(FastCgiEnding::AtCapacity.classify().outcome));
            }
        }
        match found {
            Some(conn) => Ok(conn),
            None => self.open(None).await,
        }
    }

    /// Opens the first connection and asks on it what the server is able to do. One that closes on the question is
    /// connected to again without it: nothing has been sent.
    async fn ask(&self) -> Result<Rc<FastCgiConnection>, AttemptResult> {
        let (wanted, values) = oneshot::channel();
        let conn = self.open(Some(wanted)).await?;
        let values = match timeout(VALUES_WAIT, values).await {
            Ok(Ok(values)) => Some(values),
            Ok(Err(_)) | Err(_) => None,
        };
        let Some(values) = values else {
            self.said.set(ServerValues::Nothing);
            if !conn.closed.get() {
                return Ok(conn);
            }
            return self.open(None).await;
        };
        self.said.set(ServerValues::Values(values));
        self.common.multiplexes.set(self.most_on_one() > 1);
        Ok(conn)
    }

    async fn open(
        &self,
        values: Option<oneshot::Sender<Values>>,
    ) -> Result<Rc<FastCgiConnection>, AttemptResult> {
        // The node's own lack of descriptors is no fault of the server's.
        let place = self.connections.acquire().ok_or_else(|| AttemptResult {
            connection_limit_reached: true,
            ..AttemptResult::without_response(AttemptOutcome::NotSent)
        })?;
        let conn = match &self.life.dial {
            Address::Tcp(address) => {
                let stream = self.dialled(TcpStream::connect(address)).await?;
                self.drive(CountingStream::new(stream), place, values)
            }
            Address::Unix(path) => {
                let stream = self.dialled(UnixStream::connect(path)).await?;
                self.drive(CountingStream::from_unix(stream), place, values)
            }
        };
        self.life.pool.borrow_mut().push(conn.clone());
        self.connections.register(&self.life);
        Ok(conn)
    }

    async fn dialled<S>(&self, dial: impl Future<Output = io::Result<S>>) -> Result<S, AttemptResult> {
        let failed = |refused| AttemptResult {
            connection_refused: refused,
            ..AttemptResult::without_response(FastCgiEnding::ConnectFailed.classify().outcome)
        };
        match timeout(self.settings.connect_timeout, dial).await {
            Ok(Ok(stream)) => Ok(stream),
            Ok(Err(error)) => {
                // A socket of this machine that is not there has no process either.
                let kinds = [io::ErrorKind::ConnectionRefused, io::ErrorKind::NotFound];
                Err(failed(kinds.contains(&error.kind())))
            }
            Err(_) => Err(failed(false)),
        }
    }

    fn drive(
        &self,
        link: CountingStream,
        place: ConnectionPermit,
        values: Option<oneshot::Sender<Values>>,
    ) -> Rc<FastCgiConnection> {
        let (driver, shared) = ConnectionDriver::new(link, self.common.clone(), place, values);
        task::spawn_local(driver.run());
        shared
    }
}
