//! A connection to an HTTP endpoint, which carries one request at a time.

use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use pumicehead_config::model::Address;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use super::idle_connections::EndpointConnections;
use super::transport::PoolTransport;
use crate::net::counting_stream::{CountingStream, MAX_UNRESERVED_READ_BYTES, UnreadState};
use crate::net::header_fields::MAX_HEAD_BYTES;
use crate::net::upload::OutgoingBody;
use crate::net::upstream::connect::connect;
use crate::net::upstream::connection_registry::ConnectionPermit;
use crate::net::upstream::transport::AttemptResult;

/// A connection; dropping it closes the socket.
pub(super) struct HttpConnection {
    pub sender: http1::SendRequest<OutgoingBody>,
    pub stream: CountingStream,
    /// Number of bytes that had been read when the connection became idle.
    bytes_read_when_idle: u64,
    /// Holds the single task that drives the connection.
    _driver: JoinSet<hyper::Result<()>>,
    _permit: ConnectionPermit,
}

impl HttpConnection {
    /// Whether the connection is open and has no unread data.
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed() && self.stream.unread() == UnreadState::Empty
    }

    /// Marks all data received so far as belonging to requests, and acknowledges it: if the endpoint's system holds back
    /// data that belongs to no request, it sends that now and not when it receives the next request.
    pub fn mark_idle(&mut self) {
        self.stream.acknowledge();
        self.stream.set_max_read(MAX_UNRESERVED_READ_BYTES);
        self.bytes_read_when_idle = self.stream.bytes_read();
    }

    /// Returns the number of bytes that have arrived since the connection became idle.
    pub fn arrived_bytes(&self) -> u64 {
        self.stream.bytes_read() - self.bytes_read_when_idle + self.stream.count_unread()
    }

    /// Whether data has been received since the connection became idle.
    pub fn has_unsolicited_data(&self) -> bool {
        self.stream.bytes_read() != self.bytes_read_when_idle || self.stream.unread() == UnreadState::Data
    }
}

impl PoolTransport {
    /// Establishes a new connection.
    pub async fn connect(&self, endpoint: &EndpointConnections) -> Result<HttpConnection, AttemptResult> {
        let permit = self.connections.acquire().ok_or_else(AttemptResult::connection_limit_reached)?;
        let Address::Tcp(address) = endpoint.address else {
            // The configuration check rejects other addresses for this protocol.
            return Err(AttemptResult::connect_failed(false));
        };
        let stream = connect(TcpStream::connect(address), self.connect_timeout).await?;
        let stream = CountingStream::new(stream);
        stream.set_max_read(MAX_UNRESERVED_READ_BYTES);
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_HEAD_BYTES);
        let handshake = builder.handshake(TokioIo::new(stream.clone())).await;
        let (sender, connection) = handshake.map_err(|_| AttemptResult::connect_failed(false))?;
        let mut driver = JoinSet::new();
        driver.spawn_local(connection);
        Ok(HttpConnection { sender, stream, bytes_read_when_idle: 0, _driver: driver, _permit: permit })
    }
}
