//! One hollow node: sockets and time for a membership machine.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use pumicehead_membership::settings::MAX_DATAGRAM_BYTES;
use pumicehead_membership::{Event, Membership, MembershipConfig, Output};
use pumicehead_membership::{MemberId, MemberRecord, MemberState, Nanos, SECOND, Settings};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

use super::counts::{ReceiveCounters, SendCounters, SentCounts};
use super::stream;

/// How often the number of nodes that share a server is computed, as the real node does.
const NODE_COUNT_INTERVAL: Nanos = SECOND;
/// Ports that are tried until one is free for datagrams and streams alike.
const PORT_TRIES: usize = 32;

/// The time since 1970, which never jumps; one for all hollow nodes of a process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    start_unix: Nanos,
}

impl Clock {
    /// Reads the machine's clock.
    #[must_use]
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { start: Instant::now(), start_unix: unix.as_nanos() as Nanos }
    }

    /// The time now.
    #[must_use]
    pub fn now(&self) -> Nanos {
        self.start_unix + self.start.elapsed().as_nanos() as Nanos
    }

    /// The instant of a time; a far one is brought within the runtime's bounds.
    fn instant(&self, at: Nanos) -> Instant {
        let span = at.saturating_sub(self.start_unix).min(u64::from(u32::MAX) * SECOND);
        self.start + Duration::from_nanos(span)
    }
}

/// What a hollow node is started with.
#[derive(Clone, Debug)]
pub struct HollowNodeConfig {
    /// Its name.
    pub name: String,
    /// Its fleet.
    pub fleet: String,
    /// Its zone.
    pub zone: String,
    /// Addresses of the seeds.
    pub seeds: Vec<SocketAddr>,
    /// For its random numbers.
    pub seed: u64,
    /// Its clock.
    pub clock: Clock,
    /// Where its peers' messages are counted.
    pub peers: Arc<ReceiveCounters>,
}

/// A member of a fleet without traffic. It runs until [`HollowNode::kill`] or [`HollowNode::leave`].
pub struct HollowNode {
    name: String,
    address: SocketAddr,
    clock: Clock,
    member: Mutex<Membership>,
    datagrams: UdpSocket,
    /// The machine was handed something outside of the node's own loop.
    pub(super) wake_up: Notify,
    pub(super) open_streams: AtomicUsize,
    pub(super) traffic: SendCounters,
    pub(super) peers: Arc<ReceiveCounters>,
    /// Stalls of the event loop that the machine detected.
    stalls: AtomicU64,
    tasks: Mutex<JoinSet<()>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl HollowNode {
    /// Binds on loopback and starts to join by the seeds. Must be called within a runtime.
    ///
    /// # Errors
    /// No port, or a setup that the machine does not take.
    pub async fn start(setup: HollowNodeConfig) -> io::Result<Arc<Self>> {
        let (listener, datagrams) = bind().await?;
        let address = listener.local_addr()?;
        let now = setup.clock.now();
        let record = MemberRecord {
            name: setup.name.clone(),
            epoch: now / 1_000_000,
            address: address.to_string(),
            zone: setup.zone,
            program_version: env!("CARGO_PKG_VERSION").into(),
            capabilities: vec!["view".into()],
            ..MemberRecord::default()
        };
        let config = MembershipConfig {
            settings: Settings::default(),
            fleet_name: setup.fleet,
            record,
            seeds: setup.seeds,
            address_overrides: Vec::new(),
            initial_node_count: 1,
            rng_seed: setup.seed,
        };
        let node = Arc::new(Self {
            name: setup.name,
            address,
            clock: setup.clock,
            member: Mutex::new(Membership::new(config, now).map_err(io::Error::other)?),
            datagrams,
            wake_up: Notify::new(),
            open_streams: AtomicUsize::new(0),
            traffic: SendCounters::default(),
            peers: setup.peers,
            stalls: AtomicU64::new(0),
            tasks: Mutex::new(JoinSet::new()),
        });
        node.spawn(node.clone().run());
        node.spawn(stream::accept(node.clone(), listener));
        Ok(node)
    }

    /// Its name.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Where it is reached.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// What it has sent until now.
    #[must_use]
    pub fn sent(&self) -> SentCounts {
        self.traffic.sent()
    }

    /// Stalls of the event loop that it detected.
    #[must_use]
    pub fn stalls(&self) -> u64 {
        self.stalls.load(Ordering::Relaxed)
    }

    /// The fingerprint of its view, and how many members it holds to be there.
    #[must_use]
    pub fn view(&self) -> (u64, usize) {
        let member = self.member();
        (member.table().fingerprint(), member.table().active_count())
    }

    /// Whether it has updates to gossip.
    #[must_use]
    pub fn has_pending_broadcasts(&self) -> bool {
        self.member().has_pending_broadcasts()
    }

    /// Memory that its view takes, counted, in bytes.
    #[must_use]
    pub fn table_bytes(&self) -> usize {
        self.member().table().allocated_bytes()
    }

    /// What it holds another member for.
    #[must_use]
    pub fn state_of(&self, name: &str) -> Option<MemberState> {
        self.member().table().get(MemberId::from_name(name)).map(|held| held.state)
    }

    /// Stops it as a crash does, without a message.
    pub fn kill(&self) {
        lock(&self.tasks).abort_all();
    }

    /// Stops it in order: it announces to some members that it leaves.
    pub fn leave(&self) {
        self.member().leave(self.clock.now());
        let outputs: Vec<_> = self.member().take_outputs().collect();
        for output in outputs {
            if let Output::Datagram { to, bytes } = output {
                self.send(to, &bytes);
            }
        }
        self.kill();
    }

    pub(super) fn member(&self) -> MutexGuard<'_, Membership> {
        lock(&self.member)
    }

    pub(super) fn now(&self) -> Nanos {
        self.clock.now()
    }

    /// Runs a task that ends with the node.
    pub(super) fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let mut tasks = lock(&self.tasks);
        // Ended ones are let go, or a long life would gather them.
        while tasks.try_join_next().is_some() {}
        tasks.spawn(task);
    }

    async fn run(self: Arc<Self>) {
        let mut bytes = vec![0; MAX_DATAGRAM_BYTES + 1];
        let mut node_count_at = self.now();
        loop {
            self.process_outputs();
            let now = self.now();
            if now >= node_count_at {
                node_count_at = now + NODE_COUNT_INTERVAL;
                let _ = self.member().node_count(now);
            }
            let next = self.member().next_timer().min(node_count_at);
            tokio::select! {
                received = self.datagrams.recv_from(&mut bytes) => {
                    // The error of an earlier datagram that was refused; its missing ack has the same effect.
                    if let Ok((count, from)) = received {
                        self.peers.datagram(&bytes[..count]);
                        self.member().on_datagram(self.now(), from, &bytes[..count]);
                    }
                }
                () = sleep_until(self.clock.instant(next)) => {
                    let now = self.now();
                    let mut member = self.member();
                    if member.next_timer() <= now {
                        member.on_timer(now);
                    }
                }
                () = self.wake_up.notified() => {}
            }
        }
    }

    fn process_outputs(self: &Arc<Self>) {
        let outputs: Vec<_> = self.member().take_outputs().collect();
        for output in outputs {
            match output {
                Output::Datagram { to, bytes } => self.send(to, &bytes),
                Output::StreamProbe { seq, to, frame } => {
                    self.spawn(stream::probe(self.clone(), seq, to, frame))
                }
                Output::PushPull { to, frame } => self.spawn(stream::push_pull(self.clone(), to, frame)),
                Output::Event(Event::ProcessStalled { .. }) => {
                    self.stalls.fetch_add(1, Ordering::Relaxed);
                }
                Output::Event(_) => {}
            }
        }
    }

    fn send(&self, to: SocketAddr, bytes: &[u8]) {
        // A full buffer loses a datagram, as any link may.
        if self.datagrams.try_send_to(bytes, to).is_ok() {
            self.traffic.datagram(bytes.len());
        }
    }
}

/// Binds one port for streams and datagrams.
async fn bind() -> io::Result<(TcpListener, UdpSocket)> {
    for _ in 0..PORT_TRIES {
        let streams = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        match UdpSocket::bind(streams.local_addr()?).await {
            Ok(datagrams) => return Ok((streams, datagrams)),
            // Another program has this one for datagrams.
            Err(error) if error.kind() == io::ErrorKind::AddrInUse => {}
            Err(error) => return Err(error),
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}
