//! Emulated links for TCP connections. Each link has a listener on loopback, and opens a connection to its target for each
//! connection that it accepts.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use socket2::SockRef;
use tokio::io::split;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinSet, spawn_local};
use tokio::time::{sleep, timeout};

use super::pump::{Pump, PumpOptions};
use super::{ConnectPolicy, LatenessGauge, Link, LinkOptions, LinkSettings};
use crate::clock;
use crate::task::AbortOnDrop;

/// Timeout for opening a connection to the target.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause after a failed accept or bind: while descriptors are exhausted, the next one would fail at once.
const ACCEPT_RETRY: Duration = Duration::from_millis(10);

/// Opens a link on a free port of loopback. Must be called within a `LocalSet`.
///
/// # Errors
/// A listener that can't be opened.
pub async fn open(options: LinkOptions) -> io::Result<Link> {
    open_on(TcpListener::bind("127.0.0.1:0").await?, options)
}

/// Opens a link on an existing listener. Must be called within a `LocalSet`.
///
/// # Errors
/// A listener whose address can't be read.
pub fn open_on(listener: TcpListener, options: LinkOptions) -> io::Result<Link> {
    let address = listener.local_addr()?;
    let settings = LinkSettings { state: options.state.clone(), reset_count: 0 };
    let (sender, receiver) = watch::channel(settings);
    let task = spawn_local(accept(listener, address, options, receiver));
    Ok(Link { address, settings: sender, _task: AbortOnDrop::new(task) })
}

/// Accepts connections until the link is closed.
async fn accept(
    listener: TcpListener,
    address: SocketAddr,
    options: LinkOptions,
    mut settings: watch::Receiver<LinkSettings>,
) {
    let mut listener = Some(listener);
    let mut accepted = 0u64;
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let connect_policy = settings.borrow_and_update().state.connect_policy;
        if connect_policy == ConnectPolicy::Refuse {
            // Without a listener the kernel refuses connections.
            listener = None;
            if settings.changed().await.is_err() {
                return;
            }
            continue;
        }
        if listener.is_none() {
            listener = TcpListener::bind(address).await.ok();
        }
        let Some(open_listener) = &listener else {
            sleep(ACCEPT_RETRY).await;
            continue;
        };
        tokio::select! {
            changed = settings.changed() => if changed.is_err() {
                return;
            },
            connection = open_listener.accept() => match connection {
                Ok((stream, _)) => {
                    accepted += 1;
                    connections.spawn_local(relay_connection(stream, Connection::new(&options, &settings, accepted)));
                }
                Err(_) => sleep(ACCEPT_RETRY).await,
            },
        }
    }
}

/// Options of one accepted connection.
struct Connection {
    target: SocketAddr,
    settings: watch::Receiver<LinkSettings>,
    rng: StdRng,
    lateness: LatenessGauge,
}

impl Connection {
    /// Captures the link's current target. `number`, the count of accepted connections, selects the connection's random seed.
    fn new(options: &LinkOptions, settings: &watch::Receiver<LinkSettings>, number: u64) -> Self {
        Self {
            target: *options.target.borrow(),
            settings: settings.clone(),
            rng: StdRng::seed_from_u64(options.seed.wrapping_add(number)),
            lateness: options.lateness.clone(),
        }
    }
}

/// Relays one connection until it ends or the link resets it.
async fn relay_connection(near: TcpStream, connection: Connection) {
    let Connection { target, mut settings, rng, lateness } = connection;
    let resets_before = settings.borrow_and_update().reset_count;
    let is_reset = |settings: &LinkSettings| {
        settings.reset_count != resets_before || settings.state.connect_policy == ConnectPolicy::Refuse
    };
    while settings.borrow_and_update().state.connect_policy == ConnectPolicy::Blackhole {
        if settings.changed().await.is_err() {
            return;
        }
        if is_reset(&settings.borrow()) {
            return reset_on_close(&near);
        }
    }
    let Ok(Ok(far)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(target)).await else {
        return reset_on_close(&near);
    };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let sockets = [SockRef::from(&near).try_clone(), SockRef::from(&far).try_clone()];
    let both_directions = pump_both(near, far, settings.clone(), rng, lateness);
    let until_reset = async {
        while settings.changed().await.is_ok() {
            if is_reset(&settings.borrow_and_update()) {
                return;
            }
        }
    };
    let completed = tokio::select! {
        done = both_directions => done.is_ok(),
        () = until_reset => false,
    };
    if !completed {
        for socket in sockets.into_iter().flatten() {
            let _ = socket.set_linger(Some(Duration::ZERO));
        }
    }
}

async fn pump_both(
    near: TcpStream,
    far: TcpStream,
    settings: watch::Receiver<LinkSettings>,
    rng: StdRng,
    lateness: LatenessGauge,
) -> io::Result<()> {
    // These halves do not shut the sockets down when they are dropped: the end of the stream would precede a reset.
    let (near_reader, near_writer) = split(near);
    let (far_reader, far_writer) = split(far);
    let forward = PumpOptions {
        settings: settings.clone(),
        conditions: |state| &state.forward,
        rng,
        lateness: lateness.clone(),
    };
    let reverse = PumpOptions {
        settings,
        conditions: |state| &state.reverse,
        rng: StdRng::seed_from_u64(clock::now()),
        lateness,
    };
    tokio::try_join!(
        Pump::new(near_reader, far_writer, forward).run(),
        Pump::new(far_reader, near_writer, reverse).run(),
    )?;
    Ok(())
}

/// Makes closing a socket send RST instead of FIN.
fn reset_on_close(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
