//! A watch of the discovery service: one HTTP request whose response is a stream of endpoint lists.

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

/// Interval of heartbeats while nothing changes (the platform's protocol).
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// Timeout of the response head; the service answers or rejects within 2 s.
const RESPONSE_TIMEOUT: Duration = Duration::from_nanos(DISCOVERY_POLL_TIMEOUT);
/// A watch that is silent for this long has missed two heartbeats and is lost. Changes that it misses bind this node from
/// 6 s after the last byte on, and drains 2 s later; 3.5 s of these 8 s are left for two retry delays and the answer.
const IDLE_TIMEOUT: Duration = Duration::from_millis(4_500);
/// An agent on this machine answers at once. One that is silent for this long may have lost the call, or on a running
/// watch, beyond a heartbeat, the watch; to call it again costs nothing.
const AGENT_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before an agent that pushes the list is called again.
pub const AGENT_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Why a watch ended.
#[derive(Debug, Error)]
pub enum WatchError {
    /// No connection, or it broke.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// The response is not the HTTP that was expected.
    #[error("{0}")]
    Http(#[from] hyper::Error),
    /// The request could not be built.
    #[error("{0}")]
    Request(#[from] hyper::http::Error),
    /// Nothing came for too long.
    #[error("no data within the timeout")]
    Timeout(#[from] Elapsed),
    /// The status is not 200.
    #[error("status {0}")]
    Status(StatusCode),
    /// The stream holds something that is no JSON object.
    #[error("malformed list: {0}")]
    MalformedStream(#[from] JsonStreamError),
    /// A JSON object is no list.
    #[error("malformed list: {0}")]
    MalformedList(#[from] serde_json::Error),
    /// A list has begun and does not go on.
    #[error("incomplete list")]
    IncompleteList,
    /// The service ended the stream.
    #[error("stream ended")]
    Ended,
}

/// The timeouts of a watch.
#[derive(Clone, Copy)]
struct Timeouts {
    /// Of the response head.
    response: Duration,
    /// Between two pieces of the stream.
    idle: Duration,
}

/// Watches the list from a version on and hands each list to `on_list` until the watch ends, which it always does with
/// an error. An agent is on this machine.
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
    // An agent has its list at hand. A service that has nothing new may wait for its first heartbeat.
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

/// Reads lists until the stream ends or is silent: until `first_due` for its first piece, for `idle` after each.
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
        // Heartbeats go on inside a list that was cut off and never ends; nothing after it would be understood.
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
