//! The HTTP transport of a pool.

use std::rc::Rc;
use std::time::Duration;

use pumicehead_config::model::Address;
use pumicehead_policy::AttemptOutcome;
use tokio::sync::oneshot;

use super::attempt::{AttemptEnd, AttemptProgress, ConnectionTiming};
use super::attempt_timeout::timed_out;
use super::idle_connections::EndpointConnections;
use super::response_reader::ResponseReader;
use crate::net::counting_stream::Counter;
use crate::net::exchange::UpstreamRequest;
use crate::net::upstream::connection_registry::{ConnectionRegistry, max_idle_time};
use crate::net::upstream::transport::{
    AttemptDeadlines, AttemptFuture, AttemptResult, EndpointConnector, OnResponseStarted, Transport,
};

/// State shared by the connectors of a pool.
pub(super) struct PoolTransport {
    pub connections: Rc<ConnectionRegistry>,
    pub connect_timeout: Duration,
    /// How long idle connections are kept.
    pub max_idle: Duration,
    pub reader: ResponseReader,
    /// Number of attempts whose request was written completely.
    pub written: Counter,
}

/// The HTTP transport of a pool.
pub struct HttpTransport(pub(super) Rc<PoolTransport>);

impl HttpTransport {
    /// Returns the transport of a pool whose endpoints close idle connections after `server_idle_timeout`. `written`
    /// counts attempts whose request was written completely.
    pub fn new(
        connections: Rc<ConnectionRegistry>,
        connect_timeout: Duration,
        server_idle_timeout: Duration,
        reader: ResponseReader,
        written: Counter,
    ) -> Rc<Self> {
        Rc::new(Self(Rc::new(PoolTransport {
            connections,
            connect_timeout,
            max_idle: max_idle_time(server_idle_timeout),
            reader,
            written,
        })))
    }
}

impl Transport for HttpTransport {
    fn connector(&self, address: &Address) -> Rc<dyn EndpointConnector> {
        let pool = self.0.clone();
        let endpoint = EndpointConnections::new(address.clone(), pool.max_idle);
        Rc::new(HttpConnector { pool, endpoint: Rc::new(endpoint) })
    }

    fn sweep(&self) {
        self.0.connections.sweep();
    }
}

/// Makes attempts at one process of an endpoint.
pub(super) struct HttpConnector {
    pub pool: Rc<PoolTransport>,
    pub endpoint: Rc<EndpointConnections>,
}

impl EndpointConnector for HttpConnector {
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
            let deadline = deadlines.deadline;
            let progress = AttemptProgress::default();
            let end = tokio::select! {
                biased;
                end = self.exchange(&request, deadlines, &progress, on_started) => end,
                // The sender is kept while the attempt is in flight, so the channel only completes on a cancellation.
                _ = cancel => AttemptEnd::with_outcome(AttemptOutcome::Cancelled),
                outcome = timed_out(&request, deadline, &progress) => {
                    AttemptEnd::with_outcome(outcome)
                }
            };
            // The connection is made available before the outcome is reported, so that the next attempt finds it. A
            // response that has been read is the outcome, even if the attempt is cancelled or times out in the
            // meantime.
            if let Some(connection) = end.connection {
                self.endpoint.return_when_ready(&self.pool.connections, connection, deadline).await;
            }
            let ConnectionTiming { connect_time, idle_time, .. } = progress.timing.get();
            AttemptResult { connect_time, idle_time, ..end.result }
        })
    }
}

#[cfg(test)]
#[path = "../../../../tests/unit/http_transport.rs"]
mod tests;
