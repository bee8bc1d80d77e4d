//! Clients that keep a node under constant load.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use super::{Client, Node, request};

/// Pause of a client after a response other than 200.
const PAUSE_AFTER_ERROR: Duration = Duration::from_millis(20);

/// Clients that repeat requests, one at a time each, until [`Self::stop`] or drop.
pub struct LoadClients {
    stopped: Arc<AtomicBool>,
    clients: Vec<thread::JoinHandle<Vec<u16>>>,
}

impl LoadClients {
    /// Starts `count` clients that send requests of a class of the platform's protocol.
    pub fn start(node: &Node, count: usize, class: &'static str) -> Self {
        Self::with_requests(node.address, count, move || request(class, ""))
    }

    /// Starts `count` clients; `request` produces the text of each request.
    pub fn with_requests(
        address: SocketAddr,
        count: usize,
        request: impl Fn() -> String + Clone + Send + 'static,
    ) -> Self {
        let stopped = Arc::new(AtomicBool::new(false));
        let client = |_| {
            let (stopped, request) = (stopped.clone(), request.clone());
            thread::spawn(move || send_until_stopped(address, &stopped, request))
        };
        let clients = (0..count).map(client).collect();
        Self { stopped, clients }
    }

    /// Stops the clients and returns the status codes of all responses.
    pub fn stop(mut self) -> Vec<u16> {
        self.stopped.store(true, Ordering::SeqCst);
        let clients = std::mem::take(&mut self.clients);
        clients.into_iter().flat_map(|client| client.join().expect("client thread panicked")).collect()
    }
}

impl Drop for LoadClients {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::SeqCst);
        self.clients.drain(..).for_each(|client| drop(client.join()));
    }
}

fn send_until_stopped(address: SocketAddr, stopped: &AtomicBool, request: impl Fn() -> String) -> Vec<u16> {
    let mut client = Client::connect(address);
    let mut statuses = Vec::new();
    while !stopped.load(Ordering::SeqCst) {
        client.write(&request());
        let response = client.read().expect("connection closed before a response");
        statuses.push(response.status());
        if response.status() != 200 {
            thread::sleep(PAUSE_AFTER_ERROR);
        }
        if response.header("connection") == Some("close") {
            client = Client::connect(address);
        }
    }
    statuses
}
