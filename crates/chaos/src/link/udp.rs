//! Emulated links for UDP datagrams, as protocols between nodes use them.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::watch;
use tokio::task::{JoinSet, spawn_local};
use tokio::time::sleep;

use super::{
    ConnectPolicy, LatenessGauge, Link, LinkConditions, LinkDirection, LinkOptions, LinkSettings, tcp,
};
use crate::clock;
use crate::task::AbortOnDrop;

/// Size of the largest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 65_536;
/// Largest number of datagrams in flight in a direction; further ones are dropped, as by a full queue.
const MAX_DATAGRAMS_IN_FLIGHT: usize = 1_024;
/// Largest number of senders per link: each has a separate socket for its replies. Datagrams of further senders are dropped.
const MAX_SENDERS: usize = 64;
/// Attempts to find a port that is free for TCP and UDP.
const MAX_PORT_ATTEMPTS: usize = 64;

/// Destination of a datagram, and the socket that sends it.
struct Route {
    socket: Rc<UdpSocket>,
    destination: SocketAddr,
}

/// One direction of a link. Dropping it drops the datagrams in flight.
struct DatagramDirection {
    direction: RefCell<LinkDirection>,
    rng: RefCell<StdRng>,
    in_flight: Rc<Cell<usize>>,
    deliveries: RefCell<JoinSet<()>>,
    lateness: LatenessGauge,
}

impl DatagramDirection {
    fn new(seed: u64, lateness: LatenessGauge) -> Self {
        Self {
            direction: RefCell::default(),
            rng: RefCell::new(StdRng::seed_from_u64(seed)),
            in_flight: Rc::default(),
            deliveries: RefCell::default(),
            lateness,
        }
    }

    /// Forwards each copy of a datagram that the link delivers, after the link's latency.
    fn send(&self, bytes: &[u8], conditions: &LinkConditions, policy: ConnectPolicy, route: &Route) {
        // UDP senders get no error: refused datagrams are dropped.
        if policy != ConnectPolicy::Accept {
            return;
        }
        let mut rng = self.rng.borrow_mut();
        let arrivals =
            self.direction.borrow_mut().datagram_arrivals(clock::now(), bytes.len(), conditions, &mut *rng);
        let mut deliveries = self.deliveries.borrow_mut();
        while deliveries.try_join_next().is_some() {}
        for due in arrivals {
            if self.in_flight.get() >= MAX_DATAGRAMS_IN_FLIGHT {
                return;
            }
            self.in_flight.set(self.in_flight.get() + 1);
            let (bytes, socket, destination) = (bytes.to_vec(), route.socket.clone(), route.destination);
            let (in_flight, lateness) = (self.in_flight.clone(), self.lateness.clone());
            deliveries.spawn_local(async move {
                let left = due.saturating_sub(clock::now());
                if left > 0 {
                    sleep(Duration::from_nanos(left)).await;
                }
                lateness.record(due);
                in_flight.set(in_flight.get() - 1);
                // A datagram that can't be sent is lost.
                let _ = socket.send_to(&bytes, destination).await;
            });
        }
    }
}

/// Opens a link for datagrams on a free port of loopback; replies go back to the sender. Must be called within a `LocalSet`.
///
/// # Errors
/// A socket that can't be opened.
pub async fn open(options: LinkOptions) -> io::Result<Link> {
    open_on(UdpSocket::bind("127.0.0.1:0").await?, options)
}

/// Links for TCP and UDP with the same address.
#[derive(Debug)]
pub struct LinkPair {
    /// The link for connections.
    pub tcp: Link,
    /// The link for datagrams.
    pub udp: Link,
}

/// Opens a link for connections and one for datagrams at the same address. Must be called within a `LocalSet`.
///
/// # Errors
/// Sockets that can't be opened.
pub async fn open_with_tcp(options: LinkOptions) -> io::Result<LinkPair> {
    for _ in 0..MAX_PORT_ATTEMPTS {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let Ok(socket) = UdpSocket::bind(listener.local_addr()?).await else { continue };
        let tcp = tcp::open_on(listener, options.clone())?;
        let seed = options.seed.wrapping_add(1 << 16);
        let udp = open_on(socket, LinkOptions { seed, ..options })?;
        return Ok(LinkPair { tcp, udp });
    }
    Err(io::ErrorKind::AddrInUse.into())
}

fn open_on(near: UdpSocket, options: LinkOptions) -> io::Result<Link> {
    let near = Rc::new(near);
    let address = near.local_addr()?;
    let settings = LinkSettings { state: options.state.clone(), reset_count: 0 };
    let (sender, receiver) = watch::channel(settings);
    let task = spawn_local(relay_datagrams(near, options, receiver));
    Ok(Link { address, settings: sender, _task: AbortOnDrop::new(task) })
}

/// Relays datagrams until the link is closed.
async fn relay_datagrams(near: Rc<UdpSocket>, options: LinkOptions, settings: watch::Receiver<LinkSettings>) {
    let forward = DatagramDirection::new(options.seed, options.lateness.clone());
    let reverse = Rc::new(DatagramDirection::new(options.seed.wrapping_add(1), options.lateness));
    let mut far_sockets: HashMap<SocketAddr, Rc<UdpSocket>> = HashMap::new();
    let mut replies = JoinSet::new();
    let mut closed = settings.clone();
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (count, sender) = tokio::select! {
            received = near.recv_from(&mut buffer) => match received {
                Ok(received) => received,
                // Caused by an ICMP error about an earlier datagram.
                Err(_) => continue,
            },
            () = wait_until_closed(&mut closed) => return,
        };
        if !far_sockets.contains_key(&sender) {
            if far_sockets.len() >= MAX_SENDERS {
                continue;
            }
            let Ok(socket) = UdpSocket::bind("127.0.0.1:0").await else { continue };
            let socket = Rc::new(socket);
            far_sockets.insert(sender, socket.clone());
            let back = Route { socket: near.clone(), destination: sender };
            replies.spawn_local(relay_replies(socket, back, reverse.clone(), settings.clone()));
        }
        let state = settings.borrow().state.clone();
        let route = Route { socket: far_sockets[&sender].clone(), destination: *options.target.borrow() };
        forward.send(&buffer[..count], &state.forward, state.connect_policy, &route);
    }
}

/// Relays replies to one sender.
async fn relay_replies(
    socket: Rc<UdpSocket>,
    back: Route,
    reverse: Rc<DatagramDirection>,
    settings: watch::Receiver<LinkSettings>,
) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((count, _)) = socket.recv_from(&mut buffer).await else { continue };
        let state = settings.borrow().state.clone();
        reverse.send(&buffer[..count], &state.reverse, state.connect_policy, &back);
    }
}

async fn wait_until_closed(settings: &mut watch::Receiver<LinkSettings>) {
    while settings.changed().await.is_ok() {}
}
