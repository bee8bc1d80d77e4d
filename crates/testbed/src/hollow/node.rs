//! A hollow node: drives a membership state machine with sockets and a clock.

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

/// Interval at which the number of nodes that share a server is computed, like the real node's.
const NODE_COUNT_INTERVAL: Nanos = SECOND;
/// Attempts to find a port that is free for both UDP and TCP.
const PORT_TRIES: usize = 32;

/// Nanoseconds since the Unix epoch, advanced by the monotonic clock. All hollow nodes of a process share one.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    start_unix: Nanos,
}

impl Clock {
    /// Starts at the current time of the system clock.
    #[must_use]
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { start: Instant::now(), start_unix: unix.as_nanos() as Nanos }
    }

    /// The current time.
    #[must_use]
    pub fn now(&self) -> Nanos {
        self.start_unix + self.start.elapsed().as_nanos() as Nanos
    }

    /// Converts a time to an instant; times in the far future are clamped to the range of the runtime.
    fn instant(&self, at: Nanos) -> Instant {
        let span = at.saturating_sub(self.start_unix).min(u64::from(u32::MAX) * SECOND);
        self.start + Duration::from_nanos(span)
    }
}

/// Configuration of a hollow node.
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
    /// Seed of its random numbers.
    pub seed: u64,
    /// Its clock.
    pub clock: Clock,
    /// Counts the messages that it receives, by sender.
    pub peers: Arc<ReceiveCounters>,
}

/// A member of a fleet without traffic. It runs until [`HollowNode::kill`] or [`HollowNode::leave`].
pub struct HollowNode {
    name: String,
    address: SocketAddr,
    clock: Clock,
    member: Mutex<Membership>,
    datagrams: UdpSocket,
    /// Wakes the node's loop after another task has passed an event to the state machine.
    pub(super) wake_up: Notify,
    pub(super) open_streams: AtomicUsize,
    pub(super) traffic: SendCounters,
    pub(super) peers: Arc<ReceiveCounters>,
    /// Stalls of the event loop that the state machine detected.
    stalls: AtomicU64,
    tasks: Mutex<JoinSet<()>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl HollowNode {
    /// Binds on loopback and starts to join through the seeds. Must be called within a runtime.
    ///
    /// # Errors
    /// No free port, or a configuration that the state machine rejects.
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

    /// Its membership address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Messages and bytes sent so far.
    #[must_use]
    pub fn sent(&self) -> SentCounts {
        self.traffic.sent()
    }

    /// Number of event loop stalls that it has detected.
    #[must_use]
    pub fn stalls(&self) -> u64 {
        self.stalls.load(Ordering::Relaxed)
    }

    /// The fingerprint of its member table, and the number of active members in it.
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

    /// Bytes allocated for its member table, as the table counts them.
    #[must_use]
    pub fn table_bytes(&self) -> usize {
        self.member().table().allocated_bytes()
    }

    /// The state of another member in its table.
    #[must_use]
    pub fn state_of(&self, name: &str) -> Option<MemberState> {
        self.member().table().get(MemberId::from_name(name)).map(|entry| entry.state)
    }

    /// Stops it as a crash does, without a message.
    pub fn kill(&self) {
        lock(&self.tasks).abort_all();
    }

    /// Stops it gracefully: it first sends its leave announcement to some members.
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
        // Completed tasks are removed from the set, which would otherwise grow for as long as the node runs.
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
                    // An error stems from an earlier datagram that was refused; the missing ack of that datagram has the same effect.
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
        // A datagram that does not fit the socket buffer is dropped, like one lost by the network.
        if self.datagrams.try_send_to(bytes, to).is_ok() {
            self.traffic.datagram(bytes.len());
        }
    }
}

/// Binds the same port for TCP and UDP.
async fn bind() -> io::Result<(TcpListener, UdpSocket)> {
    for _ in 0..PORT_TRIES {
        let streams = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        match UdpSocket::bind(streams.local_addr()?).await {
            Ok(datagrams) => return Ok((streams, datagrams)),
            // The UDP port of this number is in use by another socket.
            Err(error) if error.kind() == io::ErrorKind::AddrInUse => {}
            Err(error) => return Err(error),
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}
