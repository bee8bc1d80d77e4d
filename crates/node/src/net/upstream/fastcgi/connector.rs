//! Attempts at one process of a FastCGI endpoint, over persistent connections with as many concurrent requests as the
//! endpoint allows.

use std::borrow::Cow;
use std::cell::Cell;
use std::future::pending;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use pumicehead_config::model::Address;
use pumicehead_fastcgi::cgi::{GatewayContext, variables};
use pumicehead_fastcgi::client::Values;
use pumicehead_policy::AttemptOutcome;
use tokio::net::{TcpStream, UnixStream};
use tokio::sync::{Semaphore, oneshot};
use tokio::task;
use tokio::time::{Instant, sleep_until, timeout};

use super::connection::{AbortGuard, CommittedResponse, FastCgiConnection, FastCgiRequest, Param};
use super::driver::{ConnectionDriver, DriverContext};
use super::endpoint_connections::{EndpointConnections, EndpointLoad};
use super::outcome::FastCgiEnding;
use super::transport::FastCgiSettings;
use crate::net::counting_stream::CountingStream;
use crate::net::exchange::{UpstreamRequest, UpstreamResponse};
use crate::net::response_body::{
    BodySource, ResponseBody, StreamEnd, StreamStart, StreamWindow, StreamedBody,
};
use crate::net::response_commit::HoldDecision;
use crate::net::upstream::connect::connect;
use crate::net::upstream::connection_registry::{ConnectionPermit, ConnectionRegistry, max_idle_time};
use crate::net::upstream::response_hold::ResponseHold;
use crate::net::upstream::response_report::ResponseReport;
use crate::net::upstream::transport::{
    AttemptDeadlines, AttemptFuture, AttemptResult, EndpointConnector, OnResponseStarted,
};

/// Maximum time to wait for the values of an endpoint. An endpoint that returns none gets one request at a time on a
/// connection.
const VALUES_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum number of requests on one connection, regardless of the endpoint's values, because they all fail together.
const MAX_REQUESTS_PER_CONNECTION: usize = 64;

/// A request that was handed over for sending.
struct SentRequest {
    started: Instant,
    /// Whether part of it may have been written.
    is_written: Rc<Cell<bool>>,
    result: oneshot::Receiver<AttemptResult>,
    abort_guard: AbortGuard,
}

/// The values that an endpoint returns about itself (`FCGI_GET_VALUES`).
#[derive(Clone, Copy)]
enum ServerValues {
    NotRequested,
    /// The endpoint closed the connection or did not respond; the values are not requested again.
    Unavailable,
    Known(Values),
}

/// Makes attempts at one process of an endpoint.
pub(super) struct FastCgiConnector {
    registry: Rc<ConnectionRegistry>,
    settings: Rc<FastCgiSettings>,
    endpoint: Rc<EndpointConnections>,
    values: Cell<ServerValues>,
    /// Held by the attempt that requests the values.
    values_request: Semaphore,
    driver_context: DriverContext,
}

impl EndpointConnector for FastCgiConnector {
    fn address(&self) -> &Address {
        &self.endpoint.address
    }

    fn is_usable(&self) -> bool {
        self.endpoint.is_usable.get()
    }

    fn retire(&self) {
        self.endpoint.is_usable.set(false);
        self.close_idle();
    }

    fn close_idle(&self) {
        self.endpoint.close_idle();
    }

    fn attempt(
        self: Rc<Self>,
        request: Rc<UpstreamRequest>,
        deadlines: AttemptDeadlines,
        cancel: oneshot::Receiver<()>,
        on_started: OnResponseStarted,
    ) -> AttemptFuture {
        Box::pin(async move {
            let is_sent = Cell::new(false);
            tokio::select! {
                biased;
                result = self.exchange(&request, deadlines, &is_sent, on_started) => result,
                // The sender is kept while the attempt is in flight, so the channel only completes on a cancellation.
                _ = cancel => AttemptResult::without_response(AttemptOutcome::Cancelled),
                // Nothing was sent, so the request was not executed.
                () = unsent_request_timeout(deadlines.deadline, &is_sent) => {
                    AttemptResult::without_response(AttemptOutcome::NotSent)
                }
            }
        })
    }
}

impl FastCgiConnector {
    pub fn new(registry: Rc<ConnectionRegistry>, settings: Rc<FastCgiSettings>, address: Address) -> Self {
        let driver_context = DriverContext {
            multiplexes: Rc::new(Cell::new(false)),
            endpoint: address.to_string().into(),
            last_stderr_log: Rc::default(),
        };
        let max_idle = max_idle_time(settings.server_idle_timeout);
        let endpoint = Rc::new(EndpointConnections::new(address, max_idle));
        Self {
            registry,
            settings,
            endpoint,
            values: Cell::new(ServerValues::NotRequested),
            values_request: Semaphore::new(1),
            driver_context,
        }
    }

    async fn exchange(
        &self,
        request: &UpstreamRequest,
        deadlines: AttemptDeadlines,
        is_sent: &Cell<bool>,
        on_started: OnResponseStarted,
    ) -> AttemptResult {
        let connection = match self.connection().await {
            Ok(connection) => connection,
            Err(result) => return result,
        };
        // Since it may take time to get a connection, the deadlines, the endpoint and the client are checked again.
        let not_sent = AttemptResult::without_response(AttemptOutcome::NotSent);
        let time_left = deadlines.time_left(Instant::now());
        if time_left.is_zero() || !self.endpoint.is_usable.get() || request.finished.get() {
            return not_sent;
        }
        // Admission rejects requests that can't be expressed in variables.
        let Some(params) = self.params(request, time_left) else { return not_sent };
        let (result_sender, result) = oneshot::channel();
        let is_written = Rc::new(Cell::new(false));
        let abort_guard = connection.send(FastCgiRequest {
            params,
            body: request.body.clone(),
            method: request.method.clone(),
            max_body: self.settings.max_body,
            reservation: self.settings.memory.reservation(),
            result: result_sender,
            is_written: is_written.clone(),
        });
        is_sent.set(true);
        let sent = SentRequest { started: Instant::now(), is_written, result, abort_guard };
        self.response(request, ResponseHold::new(deadlines, None), sent, on_started).await
    }

    /// Waits for the response to a request. One that has begun when the time of the attempt is over is passed on.
    async fn response(
        &self,
        request: &UpstreamRequest,
        hold: ResponseHold<'_>,
        sent: SentRequest,
        on_started: OnResponseStarted,
    ) -> AttemptResult {
        let SentRequest { started, is_written, mut result, abort_guard } = sent;
        tokio::select! {
            biased;
            ended = &mut result => {
                abort_guard.disarm();
                // The connection ended before any part of the request was written.
                let not_written = FastCgiEnding::ConnectionLost { request_written: false };
                let outcome = not_written.classify().outcome;
                return ended.unwrap_or_else(|_| AttemptResult::without_response(outcome));
            }
            () = hold.over() => {}
        }
        let HoldDecision::Commit(reason) = hold.decide_when_over() else {
            return late_result(is_written.get());
        };
        let Some(committed) = abort_guard.commit().await else {
            // The application may have ended the request in the meantime.
            return result.try_recv().unwrap_or_else(|_| late_result(is_written.get()));
        };
        let report = ResponseReport::new(request, &self.endpoint.address, &self.settings.counters);
        report.committed(committed.start.len(), reason);
        let server_time = Some(started.elapsed());
        let (outcome, bytes) = self.stream(committed, abort_guard, on_started).await;
        if outcome == AttemptOutcome::Reset {
            report.incomplete(bytes);
        }
        AttemptResult { server_time, ..AttemptResult::without_response(outcome) }
    }

    /// Passes a committed response to `on_started` and waits until the application has sent it; returns the outcome and the
    /// number of bytes that were passed on. A response that is dropped before its end aborts its request.
    async fn stream(
        &self,
        committed: CommittedResponse,
        abort_guard: AbortGuard,
        on_started: OnResponseStarted,
    ) -> (AttemptOutcome, u64) {
        let CommittedResponse { status, headers, length, start, rest } = committed;
        let start = StreamStart {
            pieces: start.into(),
            length,
            max_bytes: Some(self.settings.max_body),
            window: StreamWindow::Small,
            reservation: self.settings.memory.reservation(),
        };
        let (stream, progress) = StreamedBody::new(start, BodySource::Parts(rest));
        let mut body = ResponseBody::Stream(Box::new(stream));
        body.on_end(move |end| {
            if end == StreamEnd::Complete {
                abort_guard.disarm();
            }
        });
        on_started(UpstreamResponse { status, headers, body });
        (progress.outcome().await, progress.bytes())
    }

    /// Returns the variables of a request, or `None` if it can't be expressed in variables.
    fn params(&self, request: &UpstreamRequest, time_left: Duration) -> Option<Vec<Param>> {
        let mut headers = request.headers.clone();
        headers.insert("x-time-left", format!("{}u", time_left.as_micros()).parse().ok()?);
        let around = GatewayContext {
            client_address: request.client_ip,
            script_name: &self.settings.script,
            document_root: &self.settings.root,
            body_length: request.body.len(),
        };
        let list = variables(&request.method, &request.uri, &headers, around).ok()?;
        let owned = |(name, value): (Cow<'static, str>, Cow<'_, [u8]>)| Param {
            name: Bytes::from(name.into_owned()),
            value: Bytes::from(value.into_owned()),
        };
        Some(list.into_iter().map(owned).collect())
    }

    /// Returns the maximum number of requests on one connection.
    fn max_requests_per_connection(&self) -> usize {
        match self.values.get() {
            ServerValues::Known(Values { multiplexes: Some(true), requests, .. }) => requests
                .map_or(MAX_REQUESTS_PER_CONNECTION, |max| (max as usize).min(MAX_REQUESTS_PER_CONNECTION)),
            _ => 1,
        }
    }

    /// Returns a connection that accepts another request, or the attempt's result if there is none.
    async fn connection(&self) -> Result<Rc<FastCgiConnection>, AttemptResult> {
        if matches!(self.values.get(), ServerValues::NotRequested) {
            // Other attempts wait for the one that requests the values.
            let _permit = self.values_request.acquire().await;
            if matches!(self.values.get(), ServerValues::NotRequested) {
                return self.connect_and_request_values().await;
            }
        }
        self.endpoint.remove_closed();
        let free = self.endpoint.most_loaded_with_capacity(self.max_requests_per_connection());
        if self.is_at_capacity(free.is_some()) {
            let outcome = FastCgiEnding::AtCapacity.classify().outcome;
            return Err(AttemptResult::without_response(outcome));
        }
        match free {
            Some(connection) => Ok(connection),
            None => self.connect(None).await,
        }
    }

    /// Whether the limits stated by the endpoint allow no more requests, or no more connections if none has capacity
    /// left.
    fn is_at_capacity(&self, has_free_connection: bool) -> bool {
        let ServerValues::Known(values) = self.values.get() else { return false };
        let EndpointLoad { connections, in_flight } = self.endpoint.load();
        let reached = |limit: Option<u32>, count: usize| limit.is_some_and(|max| count >= max as usize);
        reached(values.requests, in_flight)
            || !has_free_connection && reached(values.connections, connections)
    }

    /// Establishes the first connection and requests the endpoint's values on it. If the endpoint closes it in
    /// response, another connection is established, which is safe because no request has been sent.
    async fn connect_and_request_values(&self) -> Result<Rc<FastCgiConnection>, AttemptResult> {
        let (sender, values) = oneshot::channel();
        let connection = self.connect(Some(sender)).await?;
        let Ok(Ok(values)) = timeout(VALUES_TIMEOUT, values).await else {
            self.values.set(ServerValues::Unavailable);
            if !connection.closed.get() {
                return Ok(connection);
            }
            return self.connect(None).await;
        };
        self.values.set(ServerValues::Known(values));
        self.driver_context.multiplexes.set(self.max_requests_per_connection() > 1);
        Ok(connection)
    }

    /// Establishes a connection. If `values` is given, the endpoint's values are requested on it and sent there.
    async fn connect(
        &self,
        values: Option<oneshot::Sender<Values>>,
    ) -> Result<Rc<FastCgiConnection>, AttemptResult> {
        let permit = self.registry.acquire().ok_or_else(AttemptResult::connection_limit_reached)?;
        let stream = self.connect_stream().await.map_err(|result| AttemptResult {
            outcome: FastCgiEnding::ConnectFailed.classify().outcome,
            ..result
        })?;
        let connection = self.spawn_driver(stream, permit, values);
        self.endpoint.push(connection.clone());
        self.registry.register(&self.endpoint);
        Ok(connection)
    }

    async fn connect_stream(&self) -> Result<CountingStream, AttemptResult> {
        let connect_timeout = self.settings.connect_timeout;
        Ok(match &self.endpoint.address {
            Address::Tcp(address) => {
                CountingStream::new(connect(TcpStream::connect(address), connect_timeout).await?)
            }
            Address::Unix(path) => {
                CountingStream::from_unix(connect(UnixStream::connect(path), connect_timeout).await?)
            }
        })
    }

    /// Drives a connection in a task that ends with the connection.
    fn spawn_driver(
        &self,
        stream: CountingStream,
        permit: ConnectionPermit,
        values: Option<oneshot::Sender<Values>>,
    ) -> Rc<FastCgiConnection> {
        let (driver, connection) = ConnectionDriver::new(stream, self.driver_context.clone(), permit, values);
        task::spawn_local(driver.run());
        connection
    }
}

/// Waits until an attempt times out whose request has not been handed over for sending.
async fn unsent_request_timeout(deadline: Instant, is_sent: &Cell<bool>) {
    sleep_until(deadline).await;
    if is_sent.get() {
        pending::<()>().await;
    }
}

/// Returns the result of an attempt without a response at its deadline. A timeout before anything was written proves that the
/// request was not executed.
fn late_result(is_written: bool) -> AttemptResult {
    AttemptResult::without_response(if is_written {
        AttemptOutcome::TimedOut
    } else {
        AttemptOutcome::NotSent
    })
}
