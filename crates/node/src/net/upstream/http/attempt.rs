//! One attempt over HTTP: a connection, the request, the response. A request is written at most once.

use std::cell::Cell;
use std::time::Duration;

use pumicehead_policy::AttemptOutcome;
use tokio::runtime::Handle;
use tokio::task;
use tokio::time::Instant;

use super::connection::HttpConnection;
use super::idle_connections::READY_TIMEOUT;
use super::request::OutgoingRequest;
use super::response_reader::{ReadResponse, StreamingResponse};
use super::transport::HttpConnector;
use crate::net::exchange::UpstreamRequest;
use crate::net::response_body::StreamEnd;
use crate::net::upload::Upload;
use crate::net::upstream::transport::{AttemptDeadlines, AttemptResult, OnResponseStarted};

/// How far an attempt has come.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum AttemptStage {
    /// Nothing is written.
    #[default]
    Connecting,
    /// Part of the request may be written.
    Written,
    /// The response is streamed.
    Streaming,
}

/// How an attempt got its connection.
#[derive(Clone, Copy, Default)]
pub(super) struct ConnectionTiming {
    /// Time to establish it; zero for one that was reused.
    pub connect_time: Duration,
    /// How long a reused one had been idle.
    pub idle_time: Option<Duration>,
}

/// What can be seen of an attempt from beside it.
#[derive(Default)]
pub(super) struct AttemptProgress {
    pub stage: Cell<AttemptStage>,
    pub timing: Cell<ConnectionTiming>,
}

/// The end of an attempt.
pub(super) struct AttemptEnd {
    pub result: AttemptResult,
    /// Its connection, where that may be of further use.
    pub connection: Option<HttpConnection>,
}

impl AttemptEnd {
    /// An end without a response, after which the connection closes.
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
    /// Makes the attempt. Time passes until there is a connection, so the deadlines, the endpoint and the client are
    /// checked again right before the first byte is written, with no wait in between.
    pub(super) async fn exchange(
        &self,
        request: &UpstreamRequest,
        deadlines: AttemptDeadlines,
        progress: &AttemptProgress,
        on_started: OnResponseStarted,
    ) -> AttemptEnd {
        let started = Instant::now();
        let mut connection = match self.ready_connection(started, progress).await {
            Ok(connection) => connection,
            Err(result) => return result.into(),
        };
        let time_left = deadlines.time_left(Instant::now());
        if time_left.is_zero() || !self.endpoint.is_usable.get() || request.finished.get() {
            return AttemptEnd::with_outcome(AttemptOutcome::NotSent);
        }
        let upload = request.upload.as_deref();
        let outgoing = OutgoingRequest::new(request, upload.map_or(time_left, |upload| upload.time_left));
        let written_before = connection.stream.bytes_written();
        connection.stream.count_after_writing(outgoing.min_size, &self.pool.written);
        progress.stage.set(AttemptStage::Written);
        let Ok(response) = connection.sender.send_request(outgoing.message).await else {
            let is_partial = connection.stream.bytes_written() - written_before < outgoing.min_size;
            return AttemptEnd::with_outcome(failed_exchange_outcome(upload, is_partial));
        };
        let server_time =
            || upload.and_then(Upload::completed_at).map_or(started, Instant::from_std).elapsed();
        match self.pool.reader.read(response, &request.method).await {
            ReadResponse::Complete(mut result) => {
                result.server_time = upload.is_some().then(server_time);
                let connection = (result.outcome != AttemptOutcome::Reset).then_some(connection);
                AttemptEnd { result, connection }
            }
            ReadResponse::Streaming(streaming) => {
                progress.stage.set(AttemptStage::Streaming);
                let server_time = Some(server_time());
                let outcome = self.stream(connection, streaming, on_started).await;
                AttemptResult { server_time, ..AttemptResult::without_response(outcome) }.into()
            }
        }
    }

    /// Returns a connection that is ready for a request: an idle one, or else a new one.
    async fn ready_connection(
        &self,
        started: Instant,
        progress: &AttemptProgress,
    ) -> Result<HttpConnection, AttemptResult> {
        let mut connection = match self.endpoint.take_idle() {
            Some(idle) => {
                let idle_time = Some(started.saturating_duration_since(idle.since));
                progress.timing.set(ConnectionTiming { connect_time: Duration::ZERO, idle_time });
                idle.connection
            }
            None => {
                let connected = self.pool.connect(&self.endpoint).await;
                let connect_time = started.elapsed();
                progress.timing.set(ConnectionTiming { connect_time, idle_time: None });
                connected?
            }
        };
        match connection.sender.ready().await {
            Ok(()) => Ok(connection),
            Err(_) => Err(AttemptResult::without_response(AttemptOutcome::ConnectFailed)),
        }
    }

    /// Passes a streamed response on and waits until the endpoint has sent it. The connection belongs to the stream, which
    /// may end long after the attempt.
    async fn stream(
        &self,
        connection: HttpConnection,
        streaming: StreamingResponse,
        on_started: OnResponseStarted,
    ) -> AttemptOutcome {
        let StreamingResponse { mut response, progress } = streaming;
        let (registry, endpoint) = (self.pool.connections.clone(), self.endpoint.clone());
        response.body.on_end(move |end| {
            if end != StreamEnd::Complete {
                return;
            }
            if connection.sender.is_ready() {
                endpoint.return_idle(&registry, connection);
            } else if Handle::try_current().is_ok() {
                // A runtime that shuts down drops its streams and takes no more tasks.
                let deadline = Instant::now() + READY_TIMEOUT;
                task::spawn_local(async move {
                    endpoint.return_when_ready(&registry, connection, deadline).await
                });
            }
        });
        on_started(response);
        match progress.upstream_done().await {
            None | Some(StreamEnd::Complete) => AttemptOutcome::Success,
            Some(StreamEnd::UpstreamFailed) => AttemptOutcome::Reset,
            Some(StreamEnd::ClientDisconnected) => AttemptOutcome::Cancelled,
        }
    }
}

/// The outcome where no response came; `is_partial` where the request surely was not written completely.
fn failed_exchange_outcome(upload: Option<&Upload>, is_partial: bool) -> AttemptOutcome {
    if upload.is_some_and(Upload::is_client_fault) {
        // The client broke its body off, or is too slow.
        AttemptOutcome::NotSent
    } else if upload.is_some_and(Upload::is_in_progress) || is_partial {
        AttemptOutcome::ConnectFailed
    } else {
        AttemptOutcome::Reset
    }
}
