//! This node as a member of its fleet: sockets and time for the machine of `pumicehead-membership`, and what the rest of the node
//! gets from it.

mod stream;
mod told;

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use pumicehead_admin::command::{Command, error_reply};
use pumicehead_config::model::{Fleet as Block, Node};
use pumicehead_flight_recorder::event::Event as Told;
use pumicehead_flight_recorder::text::Name;
use pumicehead_membership::settings::MAX_DATAGRAM_BYTES;
use pumicehead_membership::{Event, Membership, MembershipConfig, MembershipError, Output};
use pumicehead_membership::{MemberRecord, SECOND, Settings};
use pumicehead_policy::{Nanos, NodeShare};
use thiserror::Error;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{Notify, watch};
use tokio::task;
use tokio::time::{sleep, sleep_until};
use tracing::{debug, info, warn};

use crate::introspection::Introspection;
use crate::net::clock::Clock;
use crate::net::recorder_sink::RecorderSink;

/// How often the number of nodes is looked at, and the node's load told: both change slowly.
const LOOK: Nanos = SECOND;
/// Descriptors that it may hold: its sockets, and streams.
pub const DESCRIPTORS: usize = 2 + stream::MOST_TAKEN + stream::MOST_OPENED;
/// Tries to find a port that is free for datagrams and streams alike.
const PORTS: usize = 32;
/// What is said at the end has so long to get out.
const LAST: std::time::Duration = std::time::Duration::from_millis(50);

/// Why this node is no member.
#[derive(Debug, Error)]
pub enum FleetError {
    /// Its address.
    #[error("listen on {address} for the fleet: {source}")]
    Listen {
        /// Which.
        address: SocketAddr,
        /// Why not.
        source: io::Error,
    },
    /// What it would say of itself.
    #[error("fleet: {0}")]
    Setup(#[from] MembershipError),
}

/// A member of a fleet.
pub struct Fleet {
    name: String,
    member: RefCell<Membership>,
    clock: Clock,
    tap: RecorderSink,
    datagrams: UdpSocket,
    /// Something was put into the machine from outside of its own loop.
    touched: Notify,
    sharing: watch::Sender<Option<NodeShare>>,
    /// Streams that this node has opened and not ended.
    streams: Cell<usize>,
    refused: Cell<u64>,
}

impl Fleet {
    /// Listens, and begins to ask the seeds.
    ///
    /// # Errors
    /// An address that can't be listened on, or a name that can't be one.
    pub async fn start(
        block: &Block,
        node: &Node,
        introspection: &Introspection,
        seed: u64,
    ) -> Result<Rc<Self>, FleetError> {
        let clock = introspection.clock();
        let failed = |source| FleetError::Listen { address: block.address, source };
        let (streams, datagrams) = bind(block.address).await.map_err(failed)?;
        let address = streams.local_addr().map_err(failed)?;
        let card = MemberRecord {
            name: node.name.clone(),
            // Later starts have later epochs, on one machine; where its clock went back, the fleet says so at the join.
            epoch: clock.started_at() / 1_000_000,
            address: block.told_as.unwrap_or(address).to_string(),
            zone: node.zones[node.zone].clone(),
            program_version: env!("CARGO_PKG_VERSION").into(),
            capabilities: vec!["view".into()],
            ..MemberRecord::default()
        };
        let setup = MembershipConfig {
            settings: Settings::default(),
            fleet_name: block.name.clone(),
            record: card,
            seeds: block.seeds.clone(),
            address_overrides: block.reach.clone(),
            initial_node_count: node.nodes,
            rng_seed: seed,
        };
        let member = Membership::new(setup, clock.now())?;
        info!(target: "fleet", "{} of {} speaks on {address}", node.name, block.name);
        let fleet = Rc::new(Self {
            name: block.name.clone(),
            member: RefCell::new(member),
            clock: introspection.clock(),
            tap: introspection.node_recorder(),
            datagrams,
            touched: Notify::new(),
            sharing: watch::Sender::new(None),
            streams: Cell::new(0),
            refused: Cell::new(0),
        });
        task::spawn_local(fleet.clone().run());
        task::spawn_local(stream::accept(fleet.clone(), streams));
        Ok(fleet)
    }

    /// How many nodes share the servers, as it changes; nothing until the fleet is known.
    pub fn sharing(&self) -> watch::Receiver<Option<NodeShare>> {
        self.sharing.subscribe()
    }

    /// Figures of it.
    pub fn gauges(&self) -> Vec<(&'static str, f64)> {
        let member = self.member.borrow();
        let table = member.table();
        vec![
            ("pumicehead_fleet_members", table.active_count() as f64),
            ("pumicehead_fleet_known", table.len() as f64),
            ("pumicehead_fleet_health", f64::from(member.health_multiplier())),
            ("pumicehead_fleet_cut", f64::from(u8::from(member.is_isolated()))),
            ("pumicehead_fleet_bytes_sent", member.bytes_sent() as f64),
            ("pumicehead_fleet_refused", self.refused.get() as f64),
        ]
    }

    /// The answer to a call that is about the fleet; `None` where it is about something else.
    pub fn answer(&self, call: &Command) -> Option<String> {
        let mut member = self.member.borrow_mut();
        let now = self.clock.now();
        match call {
            Command::Members => Some(told::members(&self.name, &mut member, now)),
            Command::ExplainMember(node) => Some(
                told::why(&member, now, node)
                    .unwrap_or_else(|| error_reply(&format!("nobody here knows `{node}`"))),
            ),
            _ => None,
        }
    }

    /// Staff empty this node, or have it back at work; the fleet is told.
    pub fn set_lame(&self, lame: bool) {
        self.member.borrow_mut().set_lame_duck(self.clock.now(), lame);
        self.touched.notify_one();
    }

    /// How much this node has to do, in eighths; the fleet is told now and then.
    pub fn set_load(&self, eighths: u32) {
        let now = self.clock.now();
        self.member.borrow_mut().set_load(now, eighths);
        self.touched.notify_one();
    }

    /// Says that it goes.
    pub async fn leave(&self) {
        self.member.borrow_mut().leave(self.clock.now());
        let outputs: Vec<_> = self.member.borrow_mut().take_outputs().collect();
        for output in outputs {
            if let Output::Datagram { to, bytes } = output {
                let _ = self.datagrams.send_to(&bytes, to).await;
            }
        }
        sleep(LAST).await;
    }

    async fn run(self: Rc<Self>) {
        let mut bytes = vec![0; MAX_DATAGRAM_BYTES + 1];
        let mut look = self.clock.now();
        loop {
            self.carry_out();
            let now = self.clock.now();
            if now >= look {
                look = now + LOOK;
                self.look(now);
            }
            let next = self.member.borrow().next_timer().min(look);
            tokio::select! {
                came = self.datagrams.recv_from(&mut bytes) => match came {
                    Ok((count, from)) => {
                        self.member.borrow_mut().on_datagram(self.clock.now(), from, &bytes[..count]);
                    }
                    // Somebody refused an earlier one: that is no news here, a question without an answer is.
                    Err(error) => debug!(target: "fleet", "datagrams: {error}"),
                },
                () = sleep_until(self.clock.instant_at(next)) => {
                    let now = self.clock.now();
                    if self.member.borrow().next_timer() <= now {
                        self.member.borrow_mut().on_timer(now);
                    }
                }
                () = self.touched.notified() => {}
            }
        }
    }

    fn look(&self, now: Nanos) {
        let mut member = self.member.borrow_mut();
        if !member.is_joined() || member.record().node_number == 0 || member.is_stopped() {
            return;
        }
        let sharing = Some(NodeShare {
            node_index: member.record().node_number - 1,
            node_count: member.node_count(now),
        });
        self.sharing.send_if_modified(|known| std::mem::replace(known, sharing) != sharing);
    }

    fn carry_out(self: &Rc<Self>) {
        let outputs: Vec<_> = self.member.borrow_mut().take_outputs().collect();
        for output in outputs {
            match output {
                Output::Datagram { to, bytes } => {
                    // A full buffer is a lost datagram like any.
                    if let Err(error) = self.datagrams.try_send_to(&bytes, to) {
                        debug!(target: "fleet", "datagram to {to}: {error}");
                    }
                }
                Output::StreamProbe { seq, to, frame } => {
                    drop(task::spawn_local(stream::check(self.clone(), seq, to, frame)))
                }
                Output::PushPull { to, frame } => {
                    drop(task::spawn_local(stream::compare(self.clone(), to, frame)))
                }
                Output::Event(event) => self.tell(event),
            }
        }
    }

    fn tell(&self, event: Event) {
        match event {
            Event::Joined { members } => info!(target: "fleet", "joined {}: {members} members", self.name),
            Event::StateChanged { name, from, to, reporter } => {
                let number = |state: pumicehead_membership::MemberState| state.code() as u8;
                let (from_number, to_number) = (from.map(number), number(to));
                self.tap.record(&Told::Member { name: Name::new(&name), from: from_number, to: to_number });
                let from = from.map_or("new", pumicehead_membership::MemberState::as_str);
                info!(target: "fleet", "{name}: {from} -> {}, says {reporter}", to.as_str());
            }
            Event::ReachabilityChanged { name, reachable: true } => {
                info!(target: "fleet", "{name} is reached from here again")
            }
            Event::ReachabilityChanged { name, reachable: false } => {
                warn!(target: "fleet", "{name} is not reached from here, though others reach it or this node is cut off");
            }
            Event::ProcessStalled { duration: span } => {
                warn!(target: "fleet", "stood still for {:.1} s", span as f64 / SECOND as f64);
            }
            Event::Superseded { address: by } => {
                warn!(target: "fleet", "a later process has this node's name, at {by}: this one is no member any more");
            }
            Event::PeerRejected { address: from, error: why } => {
                self.refused.set(self.refused.get() + 1);
                warn!(target: "fleet", "{from} is refused: {why}");
            }
        }
    }
}

/// Binds one port for streams and datagrams.
async fn bind(address: SocketAddr) -> io::Result<(TcpListener, UdpSocket)> {
    for _ in 1..PORTS {
        let streams = TcpListener::bind(address).await?;
        let bound = streams.local_addr()?;
        match UdpSocket::bind(bound).await {
            Ok(datagrams) => return Ok((streams, datagrams)),
            // Another program has this one for datagrams.
            Err(error) if address.port() == 0 && error.kind() == io::ErrorKind::AddrInUse => {}
            Err(error) => return Err(error),
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}
