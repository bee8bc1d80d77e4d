//! Accepts client connections within the connection budget.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use pumicehead_config::model::Protocol;
use pumicehead_flight_recorder::event::{Event, ExhaustedResource};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::{self, yield_now};
use tokio::time::{sleep, timeout};
use tracing::warn;

use super::DownstreamListener;
use super::connection::{ConnectionStage, DownstreamConnection, EvictionRank};
use crate::net::counting_stream::CountingStream;

/// Backlog of the listening socket.
const BACKLOG: u32 = 4096;
/// Number of connections beyond the limit that are accepted only to be rejected, instead of waiting in the kernel.
pub const OVERFLOW_CONNECTIONS: usize = 32;
/// Delay after an accept that failed for lack of descriptors, without which the loop would spin.
pub(super) const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Delay before an exhausted budget is checked again.
const FULL_RETRY_DELAY: Duration = Duration::from_millis(5);
/// Maximum time for which a closed connection is still read, so that its last response arrives.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// An accepted socket.
pub(super) struct Accepted {
    pub stream: TcpStream,
    pub client_ip: IpAddr,
}

/// Binds an address that clients connect to.
///
/// # Errors
/// The system's error, if a call fails.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    // A restarted node binds the address while connections of its previous process are in TIME_WAIT.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

impl DownstreamListener {
    /// Accepts the next connection. If the budget is exhausted, evicts other connections and waits until one ends.
    pub(super) async fn accept(&self, listener: &TcpListener) -> Accepted {
        loop {
            if self.budget.is_overflow_full() {
                if self.budget.evict_one() == Some(EvictionRank::Stalled) {
                    // The connection's task ends in the next turn of the event loop.
                    yield_now().await;
                } else {
                    sleep(FULL_RETRY_DELAY).await;
                }
                continue;
            }
            match listener.accept().await {
                Ok((stream, client)) => return Accepted { stream, client_ip: client.ip() },
                Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(error) => {
                    warn!(target: "front", %error, "accept failed");
                    if let Some(recorder) = self.recorder.get() {
                        recorder.record(&Event::ResourceExhausted(ExhaustedResource::DownstreamConnection));
                    }
                    self.budget.evict_one();
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Serves an accepted connection in a task of its own, which ends with the connection.
    pub(super) fn spawn_connection(self: Rc<Self>, accepted: Accepted) {
        let Accepted { stream, client_ip } = accepted;
        let over_limit = self.budget.is_full() && self.budget.evict_one().is_none();
        let protocol = self.protocol.get();
        let stream = match protocol {
            Protocol::Http => CountingStream::capturing_heads(stream, self.budget.request_reservation()),
            Protocol::FastCgi => CountingStream::new(stream),
        };
        let connection = DownstreamConnection::new(
            stream,
            over_limit,
            self.options.clone(),
            self.budget.requesting_count(),
        );
        self.budget.add(&connection);
        task::spawn_local(async move {
            match protocol {
                Protocol::Http => self.serve_http(&connection, client_ip).await,
                Protocol::FastCgi => {
                    self.serve_fastcgi(&connection, client_ip).await;
                    connection.stream.close_writing();
                    self.linger(&connection).await;
                }
            }
            self.budget.remove(&connection);
        });
    }

    /// Continues to read after the last response, for as long as the response may take to arrive.
    pub(super) async fn linger(&self, connection: &DownstreamConnection) {
        connection.set_stage(ConnectionStage::Lingering, connection.has_served());
        connection.last_activity.set(tokio::time::Instant::now());
        tokio::select! {
            _ = timeout(LINGER_TIMEOUT, connection.stream.drain_until_closed()) => {}
            () = connection.close.notified() => {}
        }
    }
}
