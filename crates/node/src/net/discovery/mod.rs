//! The list of backends: its form, and the watch that brings its changes line by line.

mod json_stream;
pub(super) mod watch_task;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use pumicehead_config::model::Address;
use pumicehead_policy::DISCOVERY_CALL_TIMEOUT;
use serde::{Deserialize, Deserializer};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::{self, JoinError};
use tokio::time::{Instant, error::Elapsed, timeout_at};

use crate::net::counting_stream::CountingStream;
use crate::net::discovery::json_stream::{JsonStream, JsonStreamError};

/// While nothing changes, a watch says something so often (the protocol's page).
const HEARTBEAT: Duration = Duration::from_secs(2);
/// A call with no answer by then is lost: the service answers or turns away within 2 s.
const CALL: Duration = Duration::from_nanos(DISCOVERY_CALL_TIMEOUT);
/// A watch that has missed two heartbeats and a quarter is dead. What it misses counts as told 6 s after it fell silent, and
/// drains are kept from 2 s later on: of these 8 s there are 3.5 left for two pauses of half a second at most, since the
/// service may turn one call away, and for the answer.
const SILENCE: Duration = Duration::from_millis(4_500);
/// An agent on the node's own machine answers at once. One that has taken a call and says nothing may have lost it: asked
/// again after this and a pause, it has told within 2 s of its return what counts as told by then. A watch there that is
/// late with a heartbeat by so much may be lost as well, and to ask the agent anew costs nothing: left after two missed
/// ones, what came with a return in between was told too late.
const AGENT_SILENCE: Duration = Duration::from_secs(1);

/// Backends, all or those that changed.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct EndpointList {
    /// Version.
    #[serde(rename = "seq")]
    pub version: u64,
    /// All there are; what it does not name is gone.
    #[serde(default)]
    #[serde(rename = "whole")]
    pub complete: bool,
    /// The entries.
    #[serde(rename = "hosts")]
    pub endpoints: Vec<ListedEndpoint>,
}

/// A backend as listed.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct ListedEndpoint {
    /// Its name, the same at every node.
    #[serde(rename = "host")]
    pub name: String,
    /// Its address for this node.
    #[serde(deserialize_with = "over_tcp")]
    #[serde(rename = "dial")]
    pub address: Address,
    /// Its zone.
    #[serde(rename = "site")]
    pub zone: String,
    /// Its cell.
    #[serde(default)]
    #[serde(rename = "block")]
    pub cell: u16,
    /// Whether it takes work.
    #[serde(rename = "health")]
    pub state: ListedState,
    /// Its weight.
    #[serde(default = "one")]
    #[serde(rename = "share")]
    pub weight: f32,
    /// When it last started, in Unix milliseconds; 0 is long ago.
    #[serde(default)]
    #[serde(rename = "born_ms")]
    pub started_at_ms: u64,
}

/// Discovery knows of no other addresses.
fn over_tcp<'de, D: Deserializer<'de>>(from: D) -> Result<Address, D::Error> {
    SocketAddr::deserialize(from).map(Address::Tcp)
}

fn one() -> f32 {
    1.0
}

/// Whether a backend takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub enum ListedState {
    /// It does.
    #[serde(rename = "active")]
    Ready,
    /// It finishes what it has.
    #[serde(rename = "leaving")]
    Draining,
    /// It is gone.
    #[serde(rename = "left")]
    Removed,
}

/// Why a watch ended.
#[derive(Debug, Error)]
pub enum WatchError {
    /// No connection, or it broke.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// Not the HTTP expected.
    #[error("{0}")]
    Http(#[from] hyper::Error),
    /// The request could not be made.
    #[error("{0}")]
    Request(#[from] hyper::http::Error),
    /// Nothing came for too long.
    #[error("silent for too long")]
    Timeout(#[from] Elapsed),
    /// Another answer than 200.
    #[error("answered {0}")]
    Status(StatusCode),
    /// What came is no list.
    #[error("malformed list: {0}")]
    MalformedList(String),
    /// A list has begun and does not go on.
    #[error("a list without an end")]
    IncompleteList,
    /// The stream ended.
    #[error("ended")]
    Ended,
    /// The connection's task failed.
    #[error("{0}")]
    Task(#[from] JoinError),
}

impl From<JsonStreamError> for WatchError {
    fn from(fault: JsonStreamError) -> Self {
        Self::MalformedList(fault.to_string())
    }
}

/// Watches from a version on and hands over each list until the watch ends, which it always does by an error. An `agent` is
/// on the node's own machine.
pub async fn watch(
    address: SocketAddr,
    after: u64,
    agent: bool,
    mut take: impl FnMut(EndpointList),
) -> WatchError {
    match follow(address, after, agent, &mut take).await {
        Ok(never) => never,
        Err(error) => error,
    }
}

async fn follow(
    address: SocketAddr,
    after: u64,
    agent: bool,
    take: &mut impl FnMut(EndpointList),
) -> Result<WatchError, WatchError> {
    let (call, silence) = if agent { (AGENT_SILENCE, HEARTBEAT + AGENT_SILENCE) } else { (CALL, SILENCE) };
    let by = Instant::now() + call;
    let link = CountingStream::new(timeout_at(by, TcpStream::connect(address)).await??);
    let (mut sender, connection) = http1::handshake(TokioIo::new(link)).await?;
    let mut driver = task::JoinSet::new();
    driver.spawn_local(connection);
    let request = Request::get(format!("/v1/servers?watch=1&after={after}"))
        .header("host", address.to_string())
        .body(Empty::<Bytes>::new())?;
    let response = timeout_at(by, sender.send_request(request)).await??;
    if response.status() != StatusCode::OK {
        return Err(WatchError::Status(response.status()));
    }
    let mut body = response.into_body();
    let mut documents = JsonStream::default();
    let mut begun: Option<Instant> = None;
    // An agent has its list at hand. A service that has nothing new to tell may say so with its first heartbeat.
    let mut silent = if agent { by } else { Instant::now() + silence };
    loop {
        // Heartbeats go on inside a list that was cut and never ends; nothing after it would be understood.
        let end = begun.map_or(silent, |begun| silent.min(begun + HEARTBEAT));
        let frame = match timeout_at(end, body.frame()).await {
            Ok(Some(frame)) => frame?,
            Ok(None) => return Ok(WatchError::Ended),
            Err(_) if end < silent => return Err(WatchError::IncompleteList),
            Err(silent) => return Err(silent.into()),
        };
        let Ok(data) = frame.into_data() else { continue };
        for document in documents.push(&data) {
            take(
                serde_json::from_slice(&document?)
                    .map_err(|error| WatchError::MalformedList(error.to_string()))?,
            );
        }
        begun = documents.is_inside_document().then(|| begun.unwrap_or_else(Instant::now));
        silent = Instant::now() + silence;
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/discovery.rs"]
mod tests;
