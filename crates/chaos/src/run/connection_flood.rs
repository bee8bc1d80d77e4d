//! Connections that hold descriptors of a node: some send nothing, the others half a request.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::{JoinSet, spawn_local};
use tokio::time::sleep;

use crate::task::AbortOnDrop;

/// Half the head of a request.
const HALF_HEAD: &[u8] = b"GET /boards/1 HTTP/1.1\r\nHost: storm.test\r\nX-Half";

/// Pause before a connection that the node closed is opened again.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);

/// Connections to a node, which are closed when dropped.
pub(super) struct ConnectionFlood {
    _task: AbortOnDrop,
}

impl ConnectionFlood {
    /// Opens `count` connections, and opens each again when the node closes it.
    pub fn open(address: SocketAddr, count: usize) -> Self {
        let task = spawn_local(async move {
            let mut connections = JoinSet::new();
            for index in 0..count {
                connections.spawn_local(hold(address, index % 2 == 0));
            }
            while connections.join_next().await.is_some() {}
        });
        Self { _task: AbortOnDrop::new(task) }
    }
}

/// Holds one connection after another, as long as the node accepts them.
async fn hold(address: SocketAddr, is_silent: bool) {
    while let Ok(mut stream) = TcpStream::connect(address).await {
        if !is_silent {
            let _ = stream.write_all(HALF_HEAD).await;
        }
        let mut buffer = [0; 256];
        while stream.read(&mut buffer).await.is_ok_and(|count| count > 0) {}
        sleep(RECONNECT_DELAY).await;
    }
}
