//! A watch of the discovery service: an HTTP request whose response is a stream of endpoint lists.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use pumicehead_policy::DISCOVERY_POLL_TIMEOUT;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{Instant, error::Elapsed, timeout_at};

use crate::net::counting_stream::CountingStream;
use crate::net::discovery::EndpointList;
use crate::net::discovery::json_stream::{JsonStream, JsonStreamError};

/// Interval of heartbeats while nothing changes, as the platform's protocol specifies.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// Timeout of the response head; the service answers or rejects within 2 s.
const RESPONSE_TIMEOUT: Duration = Duration::from_nanos(DISCOVERY_POLL_TIMEOUT);
/// Maximum time without data. A watch that is silent for this long has missed two heartbeats and counts as lost.
/// Changes that it misses become binding for this node 6 s after the last byte, and drains 2 s later. Of these 8 s,
/// 3.5 s remain for two retry delays and the response.
const IDLE_TIMEOUT: Duration = Duration::from_millis(4_500);
/// Maximum time without data from an agent on this machine, which responds immediately; on a running watch it is
/// added to the heartbeat interval. An agent that is silent for longer may have lost the request or the watch, and
/// repeating the request costs nothing.
const AGENT_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before the request to an agent that pushes the list is repeated.
pub const AGENT_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Why a watch ended.
#[derive(Debug, Error)]
pub enum WatchError {
    /// No connection was established, or it broke.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// The response is not valid HTTP.
    #[error("{0}")]
    Http(#[from] hyper::Error),
    /// The request could not be built.
    #[error("{0}")]
    Request(#[from] hyper::http::Error),
    /// No data was received within the timeout.
    #[error("no data within the timeout")]
    Timeout(#[from] Elapsed),
    /// The status is not 200.
    #[error("unexpected status {0}")]
    Status(StatusCode),
    /// The stream contains something other than JSON objects.
    #[error("malformed list: {0}")]
    MalformedStream(#[from] JsonStreamError),
    /// A JSON object is not a list.
    #[error("malformed list: {0}")]
    MalformedList(#[from] serde_json::Error),
    /// The rest of a list was not received in time.
    #[error("incomplete list")]
    IncompleteList,
    /// The service ended the stream.
    #[error("stream ended")]
    Ended,
}

/// The timeouts of a watch.
#[derive(Clone, Copy)]
struct Timeouts {
    /// Timeout for the response head.
    response: Duration,
    /// Timeout between two chunks of the stream.
    idle: Duration,
}

/// Watches the list from version `after` on, and passes each received list to `on_list` until the watch ends, which
/// is always with an error. `is_agent` tells that the service is an agent on this machine.
pub async fn watch(
    address: SocketAddr,
    after: u64,
    is_agent: bool,
    mut on_list: impl FnMut(EndpointList),
) -> WatchError {
    match run_watch(address, after, is_agent, &mut on_list).await {
        Ok(never) => match never {},
        Err(error) => error,
    }
}

async fn run_watch(
    address: SocketAddr,
    after: u64,
    is_agent: bool,
    on_list: &mut impl FnMut(EndpointList),
) -> Result<std::convert::Infallible, WatchError> {
    let timeouts = if is_agent {
        Timeouts { response: AGENT_TIMEOUT, idle: HEARTBEAT_INTERVAL + AGENT_TIMEOUT }
    } else {
        Timeouts { response: RESPONSE_TIMEOUT, idle: IDLE_TIMEOUT }
    };
    let response_due = Instant::now() + timeouts.response;
    let stream = CountingStream::new(timeout_at(response_due, TcpStream::connect(address)).await??);
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let mut driver = JoinSet::new();
    driver.spawn_local(connection);
    let response = request_list(&mut sender, address, after, response_due).await?;
    // An agent sends its list immediately. A service that has no changes may send nothing until its first heartbeat.
    let first_due = if is_agent { response_due } else { Instant::now() + timeouts.idle };
    read_lists(response.into_body(), first_due, timeouts.idle, on_list).await
}

async fn request_list(
    sender: &mut SendRequest<Empty<Bytes>>,
    address: SocketAddr,
    after: u64,
    due: Instant,
) -> Result<Response<Incoming>, WatchError> {
    let request = Request::get(format!("/v1/servers?watch=1&after={after}"))
        .header("host", address.to_string())
        .body(Empty::<Bytes>::new())?;
    let response = timeout_at(due, sender.send_request(request)).await??;
    if response.status() != StatusCode::OK {
        return Err(WatchError::Status(response.status()));
    }
    Ok(response)
}

/// Reads lists until the stream ends or times out: at `first_due` for its first chunk, and `idle` after each chunk.
async fn read_lists(
    mut body: Incoming,
    first_due: Instant,
    idle: Duration,
    on_list: &mut impl FnMut(EndpointList),
) -> Result<std::convert::Infallible, WatchError> {
    let mut stream = JsonStream::default();
    let mut object_started: Option<Instant> = None;
    let mut idle_due = first_due;
    loop {
        // If a list is cut off, heartbeats continue inside it, and nothing after it could be parsed. So a list must
        // be complete within a heartbeat interval.
        let due = object_started.map_or(idle_due, |started| idle_due.min(started + HEARTBEAT_INTERVAL));
        let frame = match timeout_at(due, body.frame()).await {
            Ok(Some(frame)) => frame?,
            Ok(None) => return Err(WatchError::Ended),
            Err(_) if due < idle_due => return Err(WatchError::IncompleteList),
            Err(elapsed) => return Err(elapsed.into()),
        };
        let Ok(data) = frame.into_data() else { continue };
        for object in stream.push(&data) {
            on_list(serde_json::from_slice(&object?)?);
        }
        object_started = stream.is_inside_object().then(|| object_started.unwrap_or_else(Instant::now));
        idle_due = Instant::now() + idle;
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/discovery.rs"]
mod tests;
