//! A fleet of real processes and hollow nodes on loopback.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use pumicehead_membership::MemberState;
use thiserror::Error;

use super::counts::{ReceiveCounters, Received, SentCounts};
use super::event_loops::EventLoops;
use super::node::{Clock, HollowNode, HollowNodeConfig};
use super::process::RealNode;

/// The fleet's name.
const FLEET: &str = "hollow";
/// The zone of all nodes; zones have no effect on the messages of the state machine.
const ZONE: &str = "a";
/// Threads that all hollow nodes share.
const THREADS: usize = 2;
/// Interval at which the state of the hollow nodes is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Hollow nodes that serve as seeds, in addition to the first real one.
const HOLLOW_SEEDS: usize = 2;

/// When the other nodes considered a killed node dead, measured from the kill.
#[derive(Clone, Copy, Debug)]
pub struct Detection {
    /// The first node.
    pub first: Duration,
    /// The last node.
    pub last: Duration,
    /// The last real process.
    pub last_real: Duration,
}

/// A killed node that not all others considered dead within the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("killed node not detected by all: only {hollow} hollow and {real} real nodes consider it dead")]
pub struct NotDetected {
    /// Hollow nodes that considered it dead.
    pub hollow: usize,
    /// Real nodes that considered it dead.
    pub real: usize,
}

/// Time and traffic until the member tables converged.
#[derive(Clone, Copy, Debug, Default)]
pub struct Convergence {
    /// Time until all tables were equal; `None` where the limit was exceeded.
    pub after: Option<Duration>,
    /// What the hollow nodes sent in that time.
    pub sent: SentCounts,
    /// The most bytes that all hollow nodes together sent in a second.
    pub peak_bytes: u64,
    /// The most bytes that any hollow node sent in a second.
    pub peak_node_bytes: u64,
}

/// A fleet; all nodes are stopped on drop.
pub struct MixedFleet {
    /// Dropped first, which does not depend on the hollow nodes.
    real: Vec<RealNode>,
    hollow: Vec<Arc<HollowNode>>,
    loops: EventLoops,
    clock: Clock,
    peers: Arc<ReceiveCounters>,
    seeds: Vec<SocketAddr>,
    seed: u64,
    starts: u64,
}

fn real_name(number: usize) -> String {
    format!("r{number:04}")
}

fn hollow_name(number: usize) -> String {
    format!("h{number:04}")
}

impl MixedFleet {
    /// Starts a fleet of `real` and `hollow` nodes, at least one of each.
    ///
    /// # Errors
    /// Processes or sockets that can't be created.
    pub fn start(real: usize, hollow: usize, seed: u64) -> io::Result<Self> {
        let loops = EventLoops::start(THREADS)?;
        let first = RealNode::start(&real_name(0), FLEET, ZONE, &[])?;
        let seeds = vec![first.address];
        let mut fleet = Self {
            real: vec![first],
            hollow: Vec::new(),
            loops,
            clock: Clock::start(),
            peers: Arc::default(),
            seeds,
            seed,
            starts: 0,
        };
        fleet.add_hollow(HOLLOW_SEEDS.min(hollow))?;
        fleet.seeds.extend(fleet.hollow.iter().map(|node| node.address()));
        fleet.add_real(real.saturating_sub(1))?;
        fleet.add_hollow(hollow.saturating_sub(HOLLOW_SEEDS))?;
        Ok(fleet)
    }

    /// Starts more real nodes, one after another.
    ///
    /// # Errors
    /// A node that fails to start.
    pub fn add_real(&mut self, more: usize) -> io::Result<()> {
        for _ in 0..more {
            let name = real_name(self.real.len());
            self.real.push(RealNode::start(&name, FLEET, ZONE, &self.seeds)?);
        }
        Ok(())
    }

    /// Starts more hollow nodes at once.
    ///
    /// # Errors
    /// Sockets that can't be had.
    pub fn add_hollow(&mut self, more: usize) -> io::Result<()> {
        for _ in 0..more {
            let node = self.start_hollow(hollow_name(self.hollow.len()))?;
            self.hollow.push(node);
        }
        Ok(())
    }

    fn start_hollow(&mut self, name: String) -> io::Result<Arc<HollowNode>> {
        self.starts += 1;
        let setup = HollowNodeConfig {
            name,
            fleet: FLEET.into(),
            zone: ZONE.into(),
            seeds: self.seeds.clone(),
            seed: self.seed.wrapping_mul(1 << 32).wrapping_add(self.starts),
            clock: self.clock,
            peers: self.peers.clone(),
        };
        self.loops.handle(self.starts as usize).block_on(HollowNode::start(setup))
    }

    /// The real nodes.
    #[must_use]
    pub fn real(&self) -> &[RealNode] {
        &self.real
    }

    /// The hollow nodes.
    #[must_use]
    pub fn hollow(&self) -> &[Arc<HollowNode>] {
        &self.hollow
    }

    /// Number of real and hollow nodes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.real.len() + self.hollow.len()
    }

    /// Whether there are no nodes; never true.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Messages and bytes sent by all hollow nodes so far.
    #[must_use]
    pub fn sent(&self) -> SentCounts {
        let mut all = SentCounts::default();
        self.hollow.iter().for_each(|node| all.add(node.sent()));
        all
    }

    /// Processor time of the hollow nodes' event loops, in seconds.
    #[must_use]
    pub fn hollow_cpu_seconds(&self) -> f64 {
        self.loops.cpu_seconds()
    }

    /// Bytes allocated for the member tables of all hollow nodes, as the tables count them.
    #[must_use]
    pub fn hollow_table_bytes(&self) -> usize {
        self.hollow.iter().map(|node| node.table_bytes()).sum()
    }

    /// Number of event loop stalls that the hollow nodes have detected.
    #[must_use]
    pub fn stalls(&self) -> u64 {
        self.hollow.iter().map(|node| node.stalls()).sum()
    }

    /// The common fingerprint of the hollow nodes' tables, where all are equal and have every node of the fleet active.
    fn hollow_view(&self) -> Option<u64> {
        let mut views = self.hollow.iter().map(|node| node.view());
        let first = views.next()?;
        (first.1 == self.len() && views.all(|view| view == first)).then_some(first.0)
    }

    /// Whether the tables of all hollow and real nodes are equal and have every node of the fleet active.
    #[must_use]
    pub fn has_converged(&self) -> bool {
        let Some(fingerprint) = self.hollow_view() else { return false };
        let shown = format!("{fingerprint:016x}");
        self.real.iter().all(|node| {
            node.view().is_ok_and(|view| view.active_members == self.len() && view.fingerprint == shown)
        })
    }

    /// Waits until [`Self::has_converged`], and counts what hollow nodes send in that time.
    #[must_use]
    pub fn wait_until_converged(&self, limit: Duration) -> Convergence {
        let mut settled = Convergence::default();
        self.wait_until_converged_since(Instant::now(), limit, &mut settled);
        settled
    }

    /// Like [`Self::wait_until_converged`] from an earlier start time; adds to what has been counted since then.
    fn wait_until_converged_since(&self, start: Instant, limit: Duration, settled: &mut Convergence) {
        let mut second = SecondCounts::begin(self);
        while start.elapsed() < limit {
            if second.began.elapsed() >= Duration::from_secs(1) {
                second.end(settled);
                second = SecondCounts::begin(self);
            }
            if self.has_converged() {
                settled.after = Some(start.elapsed());
                break;
            }
            thread::sleep(POLL_INTERVAL);
        }
        second.end(settled);
    }

    /// Waits until no hollow node has updates to gossip. Returns the time that took; `None` where the limit was exceeded.
    #[must_use]
    pub fn wait_for_broadcasts(&self, limit: Duration) -> Option<Duration> {
        let start = Instant::now();
        while self.hollow.iter().any(|node| node.has_pending_broadcasts()) {
            if start.elapsed() >= limit {
                return None;
            }
            thread::sleep(POLL_INTERVAL);
        }
        Some(start.elapsed())
    }

    /// Counts for a span what the hollow nodes receive from each node, by the sender's name.
    #[must_use]
    pub fn count_received(&self, span: Duration) -> HashMap<String, Received> {
        let start = Instant::now();
        self.count_until(span, || start.elapsed() >= span)
    }

    /// Like [`Self::count_received`], until a condition holds or the limit is reached.
    #[must_use]
    pub fn count_until(&self, limit: Duration, mut holds: impl FnMut() -> bool) -> HashMap<String, Received> {
        let start = Instant::now();
        self.peers.start();
        while start.elapsed() < limit && !holds() {
            thread::sleep(POLL_INTERVAL);
        }
        let mut counted = self.peers.stop();
        let real = self.real.iter().map(RealNode::name);
        let names = real.chain(self.hollow.iter().map(|node| node.name()));
        let of = |name: &str| {
            let received = counted.remove(&super::counts::sender_id(name)).unwrap_or_default();
            (name.to_owned(), received)
        };
        names.map(of).collect()
    }

    /// What the hollow nodes have received from a node since counting started.
    #[must_use]
    pub fn received_so_far(&self, name: &str) -> Received {
        self.peers.received_from(name)
    }

    /// Kills the last real node, and waits until all others consider it dead.
    ///
    /// # Errors
    /// [`NotDetected`] where some do not within the limit.
    pub fn kill_real(&mut self, limit: Duration) -> Result<Detection, NotDetected> {
        let Some(mut killed) = self.real.pop() else { return Err(NotDetected { hollow: 0, real: 0 }) };
        let name = killed.name().to_owned();
        let start = Instant::now();
        killed.kill();
        let (mut first, mut last_real) = (None, Duration::ZERO);
        let mut not_detected: Vec<_> = self.real.iter().collect();
        loop {
            let holds_dead = |node: &&Arc<HollowNode>| node.state_of(&name) == Some(MemberState::Dead);
            let hollow = self.hollow.iter().filter(holds_dead).count();
            let before = not_detected.len();
            not_detected.retain(|node| !node.considers_dead(&name).unwrap_or(false));
            let after = start.elapsed();
            if not_detected.len() < before {
                last_real = after;
            }
            let real = self.real.len() - not_detected.len();
            if hollow + real > 0 {
                first = first.or(Some(after));
            }
            if let (Some(first), true) = (first, hollow == self.hollow.len() && not_detected.is_empty()) {
                return Ok(Detection { first, last: after, last_real });
            }
            if after > limit {
                return Err(NotDetected { hollow, real });
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Restarts `many` hollow nodes at once, none of them a seed: each announces that it leaves, and starts under the same name
    /// after a pause. Waits until all tables are equal again.
    ///
    /// # Errors
    /// Sockets that can't be created.
    pub fn restart_hollow(
        &mut self,
        many: usize,
        pause: Duration,
        limit: Duration,
    ) -> io::Result<Convergence> {
        let from = HOLLOW_SEEDS.min(self.hollow.len());
        let chosen = from..(from + many).min(self.hollow.len());
        let mut settled = Convergence::default();
        let start = Instant::now();
        let second = SecondCounts::begin(self);
        self.hollow[chosen.clone()].iter().for_each(|node| node.leave());
        thread::sleep(pause);
        second.end(&mut settled);
        for place in chosen {
            let name = self.hollow[place].name().to_owned();
            self.hollow[place] = self.start_hollow(name)?;
        }
        self.wait_until_converged_since(start, limit, &mut settled);
        Ok(settled)
    }
}

/// Counts what each hollow node sends in a second.
struct SecondCounts {
    began: Instant,
    nodes: Vec<(Arc<HollowNode>, SentCounts)>,
}

impl SecondCounts {
    fn begin(fleet: &MixedFleet) -> Self {
        let nodes = fleet.hollow.iter().map(|node| (node.clone(), node.sent())).collect();
        Self { began: Instant::now(), nodes }
    }

    fn end(&self, settled: &mut Convergence) {
        // Counts of a span under a second are not extrapolated to a second.
        let span = self.began.elapsed().as_secs_f64().max(1.0);
        let mut all = SentCounts::default();
        let mut most = 0;
        for (node, before) in &self.nodes {
            let sent = node.sent().since(*before);
            all.add(sent);
            most = most.max(sent.bytes);
        }
        settled.sent.add(all);
        let a_second = |bytes: u64| (bytes as f64 / span) as u64;
        settled.peak_bytes = settled.peak_bytes.max(a_second(all.bytes));
        settled.peak_node_bytes = settled.peak_node_bytes.max(a_second(most));
    }
}
