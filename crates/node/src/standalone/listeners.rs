//! Where clients connect: which addresses are bound, and what the listeners of a node have in common.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use pumicehead_config::model::{Config, Limits, Protocol};
use pumicehead_policy::SECOND;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::task::{self, JoinHandle};

use super::site::SiteError;
use crate::net::downstream::{self, DownstreamListener, DrainReason, ListenerOptions};

/// An address that was bound for a configuration that is not in force yet.
pub struct BoundListener {
    /// As the file has it.
    pub address: SocketAddr,
    /// The socket.
    pub listener: TcpListener,
}

/// A listener that serves.
pub struct RunningListener {
    /// As the file has it.
    pub address: SocketAddr,
    /// Its connections.
    pub front: Rc<DownstreamListener>,
    stop: oneshot::Sender<DrainReason>,
    done: JoinHandle<()>,
}

impl RunningListener {
    /// Serves on an address that is bound.
    pub fn start(bound: BoundListener, front: Rc<DownstreamListener>) -> Self {
        let (stop, stopped) = oneshot::channel();
        let stopped = async move { stopped.await.unwrap_or(DrainReason::Process) };
        let done = task::spawn_local(front.clone().run(bound.listener, stopped));
        Self { address: bound.address, front, stop, done }
    }

    /// Takes no more connections; it goes on by itself until its last answer, which the returned task waits for.
    pub fn stop(self, ending: DrainReason) -> JoinHandle<()> {
        let _ = self.stop.send(ending);
        self.done
    }
}

/// Binds the listeners of a configuration whose addresses are not bound yet.
///
/// # Errors
/// The first address that can't be listened on; those that were bound before it are closed again.
pub fn bind(config: &Config, bound: &[SocketAddr]) -> Result<Vec<BoundListener>, SiteError> {
    let addresses = config.listeners.iter().map(|listener| listener.address);
    let new = addresses.filter(|address| !bound.contains(address));
    new.map(|address| match downstream::listen(address) {
        Ok(listener) => Ok(BoundListener { address, listener }),
        Err(source) => Err(SiteError::Listen { address, source }),
    })
    .collect()
}

/// What clients speak at an address.
pub fn protocol(config: &Config, address: SocketAddr) -> Protocol {
    let listener = config.listeners.iter().find(|listener| listener.address == address);
    listener.map_or(Protocol::Http, |listener| listener.protocol)
}

/// The bounds of all listeners.
pub fn options(config: &Config) -> ListenerOptions {
    let Limits { request_time, idle, request_body, held, .. } = config.limits;
    let longest = config.classes.iter().map(|class| class.deadline).max().unwrap_or_default();
    ListenerOptions {
        request_timeout: Duration::from_nanos(request_time),
        idle_timeout: Duration::from_nanos(idle),
        max_buffered_body: request_body as usize,
        max_streamed_body: None,
        max_active_requests: held,
        // A request may come in as slowly as it may, and then wait for its deadline.
        max_request_deadline: Duration::from_nanos(longest.saturating_add(request_time)),
        serves_health_check: false,
        // A front has pools of its own settings each; these advise half a second.
        retry_after: Some(SECOND / 2),
    }
}
