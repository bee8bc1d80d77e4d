//! Discovery stand-in with the platform's protocol: lists of endpoints, and watches for changes.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::timeout;

use super::http_head::read_head;
use super::messages::{DiscoveryChange, announce, emit, read_messages};
use crate::history::{EventKind, ListedHealth};

/// Interval between the empty lines of a watch without changes.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);

/// Which endpoints a line contains.
#[derive(Clone, Copy)]
enum ListScope {
    /// All endpoints.
    Snapshot,
    /// The endpoints that changed after this version.
    ChangedAfter(u64),
}

/// The last change of an endpoint, with the version of the list that has it.
struct VersionedChange {
    version: u64,
    change: DiscoveryChange,
}

/// A line of JSON for a node, and the health of each endpoint in it.
struct ListLine {
    json: String,
    listed: Vec<(usize, ListedHealth)>,
}

/// The versioned list of endpoints.
#[derive(Default)]
struct EndpointDirectory {
    version: u64,
    endpoints: BTreeMap<usize, VersionedChange>,
}

impl EndpointDirectory {
    /// Applies a change; returns the new version.
    fn apply(&mut self, change: DiscoveryChange) -> u64 {
        self.version += 1;
        let version = self.version;
        self.endpoints.insert(change.endpoint, VersionedChange { version, change });
        version
    }

    /// Returns a line for a node, with the addresses at which that node reaches the endpoints.
    fn line(&self, node: usize, scope: ListScope) -> ListLine {
        let is_in_scope = |entry: &&VersionedChange| match scope {
            ListScope::Snapshot => true,
            ListScope::ChangedAfter(version) => entry.version > version,
        };
        let is_snapshot = matches!(scope, ListScope::Snapshot);
        let (mut hosts, mut listed) = (Vec::new(), Vec::new());
        for VersionedChange { change, .. } in self.endpoints.values().filter(is_in_scope) {
            let Some(address) = change.addresses.get(node) else { continue };
            let health = match change.health {
                ListedHealth::Active => "active",
                ListedHealth::Draining => "leaving",
            };
            hosts.push(format!(
                r#"{{"host":"s{}","dial":"{address}","site":"a","class":"m","block":0,"health":"{health}","share":1.0,"born_ms":{}}}"#,
                change.endpoint, change.started_unix_ms
            ));
            listed.push((change.endpoint, change.health));
        }
        let json =
            format!(r#"{{"seq":{},"whole":{is_snapshot},"hosts":[{}]}}"#, self.version, hosts.join(","));
        ListLine { json, listed }
    }
}

/// Runs discovery until standard input closes, with a separate listener for each node. Must be called within a `LocalSet`.
///
/// # Errors
/// A listener that can't be opened.
pub async fn run_discovery(nodes: usize) -> io::Result<()> {
    let (versions, _) = watch::channel(0u64);
    let directory = Rc::new(RefCell::new(EndpointDirectory::default()));
    let mut addresses = Vec::new();
    let mut listeners = JoinSet::new();
    for node in 0..nodes {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        addresses.push(listener.local_addr()?);
        listeners.spawn_local(serve_node(listener, node, directory.clone(), versions.subscribe()));
    }
    announce(addresses);
    let mut changes = read_messages::<DiscoveryChange>();
    while let Some(change) = changes.recv().await {
        let version = directory.borrow_mut().apply(change);
        versions.send_replace(version);
    }
    Ok(())
}

async fn serve_node(
    listener: TcpListener,
    node: usize,
    directory: Rc<RefCell<EndpointDirectory>>,
    versions: watch::Receiver<u64>,
) {
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        if let Ok((stream, _)) = listener.accept().await {
            connections.spawn_local(serve_connection(stream, node, directory.clone(), versions.clone()));
        }
    }
}

/// Serves one list or one watch; returns when the connection ends.
async fn serve_connection(
    mut stream: TcpStream,
    node: usize,
    directory: Rc<RefCell<EndpointDirectory>>,
    versions: watch::Receiver<u64>,
) -> Option<()> {
    let head = read_head(&mut stream).await?;
    let path = head.split(' ').nth(1)?;
    let after = path.split_once("after=").and_then(|(_, after)| after.parse().ok()).unwrap_or(0);
    if path.contains("watch=1") {
        return serve_watch(stream, node, after, directory, versions).await;
    }
    let ListLine { json, listed } = directory.borrow().line(node, ListScope::Snapshot);
    let response =
        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{json}", json.len());
    stream.write_all(response.as_bytes()).await.ok()?;
    emit_updates(node, listed);
    Some(())
}

/// Writes a chunk for each new version, and empty lines in between as heartbeats.
async fn serve_watch(
    mut stream: TcpStream,
    node: usize,
    after: u64,
    directory: Rc<RefCell<EndpointDirectory>>,
    mut versions: watch::Receiver<u64>,
) -> Option<()> {
    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await.ok()?;
    let mut known = after;
    let mut is_first = true;
    loop {
        let version = *versions.borrow_and_update();
        if is_first || version > known {
            let needs_snapshot = is_first && (known == 0 || known > version);
            let scope = if needs_snapshot { ListScope::Snapshot } else { ListScope::ChangedAfter(known) };
            let ListLine { json, listed } = directory.borrow().line(node, scope);
            let chunk = format!("{:x}\r\n{json}\n\r\n", json.len() + 1);
            stream.write_all(chunk.as_bytes()).await.ok()?;
            emit_updates(node, listed);
            known = version;
            is_first = false;
        }
        match timeout(HEARTBEAT_INTERVAL, versions.changed()).await {
            Ok(changed) => changed.ok()?,
            Err(_) => stream.write_all(b"1\r\n\n\r\n").await.ok()?,
        }
    }
}

fn emit_updates(node: usize, listed: Vec<(usize, ListedHealth)>) {
    for (endpoint, health) in listed {
        emit(EventKind::DiscoveryUpdate { node, endpoint, health });
    }
}
