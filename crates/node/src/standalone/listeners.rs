//! Client listeners: binding and stopping them, and the options that they all share.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use pumicehead_config::model::{Config, Protocol};
use pumicehead_policy::{Nanos, SECOND};
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::task::{self, JoinHandle};

use super::error::ApplyError;
use crate::net::downstream::{self, DownstreamListener, DrainReason, ListenerOptions};

/// `Retry-After` of rejections. A listener serves pools with different settings, so there is a single value for all.
const RETRY_AFTER: Nanos = SECOND / 2;

/// A socket that was bound for a configuration that is not in force yet.
pub struct BoundListener {
    /// The address in the configuration.
    pub address: SocketAddr,
    /// The bound socket.
    pub socket: TcpListener,
}

/// A listener that accepts and serves connections.
pub struct RunningListener {
    /// The address in the configuration.
    pub address: SocketAddr,
    /// The listener and its connections.
    pub listener: Rc<DownstreamListener>,
    stop: oneshot::Sender<DrainReason>,
    done: JoinHandle<()>,
}

impl RunningListener {
    /// Starts to serve on a bound socket.
    pub fn start(bound: BoundListener, listener: Rc<DownstreamListener>) -> Self {
        let (stop, stopped) = oneshot::channel();
        let stopped = async move { stopped.await.unwrap_or(DrainReason::Process) };
        let done = task::spawn_local(listener.clone().run(bound.socket, stopped));
        Self { address: bound.address, listener, stop, done }
    }

    /// Drains the listener. The returned task completes when the drain does; the drain proceeds even if it is not awaited.
    pub fn stop(self, reason: DrainReason) -> JoinHandle<()> {
        let _ = self.stop.send(reason);
        self.done
    }
}

/// Binds those addresses of a configuration that are not in `already_bound`.
///
/// # Errors
/// Returns [`ApplyError::Listen`] for the first address that can't be listened on; the sockets bound before are closed.
pub fn bind(config: &Config, already_bound: &[SocketAddr]) -> Result<Vec<BoundListener>, ApplyError> {
    let addresses = config.listeners.iter().map(|listener| listener.address);
    let new_addresses = addresses.filter(|address| !already_bound.contains(address));
    new_addresses
        .map(|address| match downstream::listen(address) {
            Ok(socket) => Ok(BoundListener { address, socket }),
            Err(source) => Err(ApplyError::Listen { address, source }),
        })
        .collect()
}

/// Returns the client protocol of the listener at an address.
pub fn protocol(config: &Config, address: SocketAddr) -> Protocol {
    let listener = config.listeners.iter().find(|listener| listener.address == address);
    listener.map_or(Protocol::Http, |listener| listener.protocol)
}

/// Returns the options that all listeners of a configuration share.
pub fn options(config: &Config) -> ListenerOptions {
    let limits = &config.limits;
    let longest_deadline =
        config.classes.iter().map(|class| class.settings.deadline).max().unwrap_or_default();
    ListenerOptions {
        request_timeout: Duration::from_nanos(limits.request_timeout),
        idle_timeout: Duration::from_nanos(limits.idle_timeout),
        max_buffered_body: limits.max_request_body_bytes as usize,
        max_streamed_body: None,
        max_active_requests: limits.max_active_requests,
        // A request may take the whole request timeout to arrive, and only then its deadline starts.
        max_request_deadline: Duration::from_nanos(longest_deadline.saturating_add(limits.request_timeout)),
        serves_health_check: false,
        retry_after: Some(RETRY_AFTER),
    }
}
