//! Messages between a run and its stand-ins, one JSON object per line.

use std::io::{self, BufRead, Write};
use std::net::SocketAddr;
use std::thread;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

use crate::clock;
use crate::history::{Event, EventKind, ListedHealth};

/// The header with the id of a request, in hexadecimal digits.
pub const REQUEST_ID_HEADER: &str = "x-storm";

/// The header with the same id in requests to nodes on the platform, which forward no other.
pub const PLATFORM_ID_HEADER: &str = "x-correlation-id";

/// Returns the id of a request whose headers `header` looks up.
pub(super) fn request_id<'a>(header: impl Fn(&str) -> Option<&'a str>) -> Option<u64> {
    let value = header(REQUEST_ID_HEADER).or_else(|| header(PLATFORM_ID_HEADER))?;
    u64::from_str_radix(value, 16).ok()
}

/// The first message of a stand-in: the addresses on which it listens.
#[derive(Debug, Serialize, Deserialize)]
pub struct ListenAddresses {
    /// The addresses; discovery has one for each node.
    #[serde(rename = "listens")]
    pub addresses: Vec<SocketAddr>,
}

/// A change of discovery's list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DiscoveryChange {
    /// The endpoint.
    #[serde(rename = "server")]
    pub endpoint: usize,
    /// Its health from now on.
    #[serde(rename = "listed")]
    pub health: ListedHealth,
    /// The address at which each node reaches it.
    #[serde(rename = "dials")]
    pub addresses: Vec<SocketAddr>,
    /// Start of the endpoint's process, as a Unix time in milliseconds; 0 for its first start, so that it counts as warm.
    #[serde(rename = "born_ms")]
    pub started_unix_ms: u64,
}

/// Writes the addresses on which this process listens to standard output.
pub(super) fn announce(addresses: Vec<SocketAddr>) {
    println!("{}", serde_json::to_string(&ListenAddresses { addresses }).unwrap_or_default());
}

/// Writes an event to standard output, with the current time.
pub(super) fn emit(kind: EventKind) {
    let line = serde_json::to_string(&Event { at: clock::now(), kind }).unwrap_or_default();
    // Standard output is closed once the run has ended; this process is then about to be killed.
    let _ = writeln!(io::stdout().lock(), "{line}");
}

/// Reads messages from standard input on a separate thread. Skips lines that can't be decoded.
pub(super) fn read_messages<T: DeserializeOwned + Send + 'static>() -> UnboundedReceiver<T> {
    let (sender, receiver) = unbounded_channel();
    thread::spawn(move || {
        for line in io::stdin().lock().lines().map_while(Result::ok) {
            let Ok(message) = serde_json::from_str(&line) else { continue };
            if sender.send(message).is_err() {
                return;
            }
        }
    });
    receiver
}
