//! An attempt over HTTP: obtains a connection, writes the request and reads the response. A request is written at
//! most once.

use std::cell::{Cell, OnceCell};
use std::time::Duration;

use pumicehead_policy::AttemptOutcome;
use tokio::runtime::Handle;
use tokio::task;
use tokio::time::Instant;

use super::connection::HttpConnection;
use super::held_body::ResponseSource;
use super::idle_connections::READY_TIMEOUT;
use super::request::OutgoingRequest;
use super::response_reader::{ReadResponse, StreamingResponse};
use super::transport::HttpConnector;
use crate::net::counting_stream::{CountingStream, UnreadState};
use crate::net::exchange::UpstreamRequest;
use crate::net::response_body::{StreamEnd, StreamWindow};
use crate::net::upload::Upload;
use crate::net::upstream::response_hold::ResponseHold;
use crate::net::upstream::response_report::ResponseReport;
use crate::net::upstream::transport::{AttemptDeadlines, AttemptResult, OnResponseStarted};

/// Progress of an attempt.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum AttemptStage {
    /// Nothing has been written.
    #[default]
    Connecting,
    /// Part of the request may have been written.
    Written,
    /// The head of the response has been received. How long the rest is awaited is decided where it is held.
    Responding,
    /// The response is being streamed.
    Streaming,
}

/// How an attempt obtained its connection.
#[derive(Clone, Copy, Default)]
pub(super) struct ConnectionTiming {
    /// Time to establish the connection; zero for a reused connection.
    pub connect_time: Duration,
    /// How long a reused connection had been idle.
    pub idle_time: Option<Duration>,
    /// Time until an idle connection could be reused.
    pub reuse_delay: Duration,
}

/// Progress of an attempt that can be observed while it is running.
#[derive(Default)]
pub(super) struct AttemptProgress {
    pub stage: Cell<AttemptStage>,
    pub timing: Cell<ConnectionTiming>,
    /// The connection to which the request is written.
    pub stream: OnceCell<CountingStream>,
}

impl AttemptProgress {
    /// Whether the start of the response may have arrived without having been read.
    pub fn has_unread_response(&self) -> bool {
        let stream = self.stream.get().filter(|_| self.stage.get() == AttemptStage::Written);
        stream.is_some_and(|stream| stream.unread() == UnreadState::Data)
    }
}

/// The result of an attempt, and its connection.
pub(super) struct AttemptEnd {
    pub result: AttemptResult,
    /// The connection, if it may be reused.
    pub connection: Option<HttpConnection>,
}

impl AttemptEnd {
    /// Returns an end without a response, after which the connection is closed.
    pub fn with_outcome(outcome: AttemptOutcome) -> Self {
        AttemptResult::without_response(outcome).into()
    }
}

impl From<AttemptResult> for AttemptEnd {
    fn from(result: AttemptResult) -> Self {
        Self { result, connection: None }
    }
}

impl HttpConnector {
    /// Makes the attempt. Since it may take time to get a connection, the deadlines, the endpoint and the client are
    /// checked again immediately before the first byte is written, with no await in between.
    pub(super) async fn exchange(
        &self,
        request: &UpstreamRequest,
        deadlines: AttemptDeadlines,
        progress: &AttemptProgress,
        on_started: OnResponseStarted,
    ) -> AttemptEnd {
        let requested = Instant::now();
        let mut connection = match self.ready_connection(progress).await {
            Ok(connection) => connection,
            Err(result) => return result.into(),
        };
        // The time in which a connection must not be reused is none of the endpoint's.
        let reuse_delay = progress.timing.get().reuse_delay;
        let started = requested + reuse_delay;
        let now = Instant::now();
        let upload = request.upload.as_deref();
        let client_time_left =
            upload.map_or_else(|| deadlines.time_left(now), |upload| upload.time_left(now));
        let is_due = deadlines.time_left(now).is_zero() || client_time_left.is_zero();
        if is_due || !self.endpoint.is_usable.get() || request.finished.get() {
            return AttemptEnd::with_outcome(AttemptOutcome::NotSent);
        }
        let outgoing = OutgoingRequest::new(request, client_time_left);
        let written_before = connection.stream.bytes_written();
        connection.stream.count_after_writing(outgoing.min_size, &self.pool.written);
        let _ = progress.stream.set(connection.stream.clone());
        progress.stage.set(AttemptStage::Written);
        let Ok(response) = connection.sender.send_request(outgoing.message).await else {
            let is_partial = connection.stream.bytes_written() - written_before < outgoing.min_size;
            return AttemptEnd::with_outcome(failed_exchange_outcome(upload, is_partial));
        };
        let server_time =
            || upload.and_then(Upload::completed_at).map_or(started, Instant::from_std).elapsed();
        progress.stage.set(AttemptStage::Responding);
        let arrived_bytes = || connection.arrived_bytes();
        let hold = ResponseHold::new(deadlines, upload);
        let report = ResponseReport::new(request, &self.endpoint.address, &self.pool.reader.counters);
        let source = ResponseSource { arrived_bytes: &arrived_bytes, hold };
        match self.pool.reader.read(response, &request.method, source).await {
            ReadResponse::AttemptOver { is_replaced } => {
                if is_replaced {
                    report.replaced(connection.arrived_bytes());
                }
                AttemptEnd::with_outcome(outcome_of_late_response(upload))
            }
            ReadResponse::Complete(mut result) => {
                if result.outcome == AttemptOutcome::Success {
                    self.endpoint.on_response(server_time());
                }
                result.server_time = (upload.is_some() || !reuse_delay.is_zero()).then(server_time);
                let connection = (result.outcome != AttemptOutcome::Reset).then_some(connection);
                AttemptEnd { result, connection }
            }
            ReadResponse::Streaming(streaming) => {
                progress.stage.set(AttemptStage::Streaming);
                let server_time = Some(server_time());
                report.committed(streaming.held_bytes, streaming.reason);
                let stream_progress = streaming.progress.clone();
                let outcome = self.stream(connection, streaming, on_started).await;
                if outcome == AttemptOutcome::Reset {
                    report.incomplete(stream_progress.bytes());
                }
                AttemptResult { server_time, ..AttemptResult::without_response(outcome) }.into()
            }
        }
    }

    /// Returns a connection that is ready for a request: an idle one if there is one, otherwise a new one.
    async fn ready_connection(&self, progress: &AttemptProgress) -> Result<HttpConnection, AttemptResult> {
        let requested = Instant::now();
        let mut connection = match self.endpoint.take_idle(&self.pool.connections).await {
            Some(idle) => {
                let reuse_delay = idle.reusable_at.saturating_duration_since(requested);
                let idle_time = Some(idle.since.elapsed());
                progress.timing.set(ConnectionTiming {
                    idle_time,
                    reuse_delay,
                    ..ConnectionTiming::default()
                });
                idle.connection
            }
            None => {
                let connecting = Instant::now();
                let connected = self.pool.connect(&self.endpoint).await;
                let connect_time = connecting.elapsed();
                progress.timing.set(ConnectionTiming { connect_time, ..ConnectionTiming::default() });
                let connection = connected?;
                self.endpoint.on_connected(connect_time);
                connection
            }
        };
        match connection.sender.ready().await {
            Ok(()) => Ok(connection),
            Err(_) => Err(AttemptResult::without_response(AttemptOutcome::ConnectFailed)),
        }
    }

    /// Passes a streamed response to `on_started` and waits until the endpoint has sent it. The connection is owned
    /// by the stream, which may end long after the attempt.
    async fn stream(
        &self,
        connection: HttpConnection,
        streaming: StreamingResponse,
        on_started: OnResponseStarted,
    ) -> AttemptOutcome {
        let StreamingResponse { mut response, progress, window, .. } = streaming;
        if window == StreamWindow::Full {
            connection.stream.set_max_read(usize::MAX);
        }
        let (registry, endpoint) = (self.pool.connections.clone(), self.endpoint.clone());
        response.body.on_end(move |end| {
            if end != StreamEnd::Complete {
                return;
            }
            if connection.sender.is_ready() {
                endpoint.return_idle(&registry, connection);
            } else if Handle::try_current().is_ok() {
                // A runtime that is shutting down drops its streams and accepts no more tasks.
                let deadline = Instant::now() + READY_TIMEOUT;
                task::spawn_local(async move {
                    endpoint.return_when_ready(&registry, connection, deadline).await
                });
            }
        });
        on_started(response);
        progress.outcome().await
    }
}

/// Returns the outcome if the time of the attempt is over before its response is complete.
fn outcome_of_late_response(upload: Option<&Upload>) -> AttemptOutcome {
    let is_partial = upload.is_some_and(|upload| upload.has_started() && upload.completed_at().is_none());
    if is_partial { AttemptOutcome::NotSent } else { AttemptOutcome::TimedOut }
}

/// Returns the outcome if no response was received. `is_partial` means that the request was certainly not written
/// completely.
fn failed_exchange_outcome(upload: Option<&Upload>, is_partial: bool) -> AttemptOutcome {
    if upload.is_some_and(Upload::is_client_fault) {
        // The client aborted its body, sent too much or was too slow.
        AttemptOutcome::NotSent
    } else if upload.is_some_and(Upload::is_in_progress) || is_partial {
        AttemptOutcome::ConnectFailed
    } else {
        AttemptOutcome::Reset
    }
}
