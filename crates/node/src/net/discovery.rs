//! The list of backends: its form, and the watch that brings its changes line by line.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use pumicehead_lang::model::Address;
use serde::{Deserialize, Deserializer};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::{self, JoinError};
use tokio::time::{error::Elapsed, timeout};

use super::link::Link;

/// A watch that says nothing for three of its heartbeats and a little more is dead.
const SILENCE: Duration = Duration::from_millis(6_500);
/// Longest line: far above any real list, it keeps a broken stream from exhausting memory.
const LONGEST_LINE: usize = 4 << 20;

/// Backends, all or those that changed.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct List {
    /// Version.
    pub seq: u64,
    /// All there are; what it does not name is gone.
    #[serde(default)]
    pub whole: bool,
    /// The entries.
    pub hosts: Vec<Host>,
}

/// A backend as listed.
#[derive(Clone, Debug, Deserialize)]
pub struct Host {
    /// Its name, the same at every node.
    pub host: String,
    /// Its address for this node.
    #[serde(deserialize_with = "over_tcp")]
    pub dial: Address,
    /// Its zone.
    pub site: String,
    /// Its cell.
    #[serde(default)]
    pub block: u16,
    /// Whether it takes work.
    pub health: Health,
    /// Its weight.
    #[serde(default = "one")]
    pub share: f32,
    /// When it last started, in Unix milliseconds; 0 is long ago.
    #[serde(default)]
    pub born_ms: u64,
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
#[serde(rename_all = "lowercase")]
pub enum Health {
    /// It does.
    Active,
    /// It finishes what it has.
    Leaving,
    /// It is gone.
    Left,
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
    Silent(#[from] Elapsed),
    /// Another answer than 200.
    #[error("answered {0}")]
    Status(StatusCode),
    /// A line that is not a list, or too long.
    #[error("malformed line: {0}")]
    Line(String),
    /// The stream ended.
    #[error("ended")]
    Ended,
    /// The connection's task failed.
    #[error("{0}")]
    Task(#[from] JoinError),
}

/// Watches from a version on and hands over each list until the watch ends, which it always does by an error.
pub async fn watch(address: SocketAddr, after: u64, mut take: impl FnMut(List)) -> WatchError {
    match follow(address, after, &mut take).await {
        Ok(never) => never,
        Err(error) => error,
    }
}

async fn follow(
    address: SocketAddr,
    after: u64,
    take: &mut impl FnMut(List),
) -> Result<WatchError, WatchError> {
    let link = Link::new(timeout(SILENCE, TcpStream::connect(address)).await??);
    let (mut sender, connection) = http1::handshake(TokioIo::new(link)).await?;
    let mut driver = task::JoinSet::new();
    driver.spawn_local(connection);
    let request = Request::get(format!("/v1/servers?watch=1&after={after}"))
        .header("host", address.to_string())
        .body(Empty::<Bytes>::new())?;
    let response = timeout(SILENCE, sender.send_request(request)).await??;
    if response.status() != StatusCode::OK {
        return Err(WatchError::Status(response.status()));
    }
    let mut body = response.into_body();
    let mut line = Vec::new();
    while let Some(frame) = timeout(SILENCE, body.frame()).await? {
        let Ok(data) = frame?.into_data() else { continue };
        for piece in data.split_inclusive(|&byte| byte == b'\n') {
            line.extend_from_slice(piece);
            if line.len() > LONGEST_LINE {
                return Err(WatchError::Line("too long".into()));
            }
            if !piece.ends_with(b"\n") {
                continue;
            }
            let text = line.trim_ascii();
            if !text.is_empty() {
                take(serde_json::from_slice(text).map_err(|e| WatchError::Line(e.to_string()))?);
            }
            line.clear();
        }
    }
    Ok(WatchError::Ended)
}
