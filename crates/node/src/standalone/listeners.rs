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
use crate::net::front::{self, Ending, Front, Options};

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
    pub front: Rc<Front>,
    stop: oneshot::Sender<Ending>,
    done: JoinHandle<()>,
}

impl RunningListener {
    /// Serves on an address that is bound.
    pub fn start(bound: BoundListener, front: Rc<Front>) -> Self {
        let (stop, stopped) = oneshot::channel();
        let stopped = async move { stopped.await.unwrap_or(Ending::Process) };
        let done = task::spawn_local(front.clone().run(bound.listener, stopped));
        Self { address: bound.address, front, stop, done }
    }

    /// Takes no more connections; it goes on by itself until its last answer, which the returned task waits for.
    pub fn stop(self, ending: Ending) -> JoinHandle<()> {
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
    new.map(|address| match front::listen(address) {
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
pub fn options(config: &Config) -> Options {
    let Limits { request_read_timeout, idle_timeout, .. } = *config.limits;
    let longest = config.classes.iter().map(|class| class.settings.deadline).max().unwrap_or_default();
    Options {
        patience: Duration::from_nanos(request_read_timeout),
        keep: Duration::from_nanos(idle_timeout),
        longest_body: config.limits.max_request_body_bytes as usize,
        passes: None,
        most_held: config.limits.max_open_requests,
        // A request may come in as slowly as it may, and then wait for its deadline.
        last_deadline: Duration::from_nanos(longest.saturating_add(request_read_timeout)),
        healthz: false,
        // A front has pools of its own settings each; these advise half a second.
        advice: Some(SECOND / 2),
    }
}
