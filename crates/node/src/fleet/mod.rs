//! Fleet membership of this node: drives the state machine of `pumicehead-membership` with sockets and a clock, and provides
//! its results to the rest of the node.

mod event_loop;
mod framing;
pub mod report;
mod streams;

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use pumicehead_admin::command::{Command, error_reply};
use pumicehead_config::model::{Cluster as FleetConfig, Node};
use pumicehead_membership::{
    MemberRecord, Membership, MembershipConfig, MembershipError, Nanos, Output, Settings,
};
use pumicehead_policy::NodeShare;
use thiserror::Error;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{Notify, watch};
use tokio::task;
use tokio::time::sleep;
use tracing::info;

use crate::introspection::Introspection;
use crate::net::clock::Clock;
use crate::net::recorder_sink::RecorderSink;

/// Maximum number of file descriptors of the member: its two sockets, and its streams.
pub const DESCRIPTORS: usize = 2 + streams::MAX_INBOUND_STREAMS + streams::MAX_OUTBOUND_STREAMS;
/// The search for a port that is free for both TCP and UDP gives up before this many attempts.
const MAX_PORT_ATTEMPTS: usize = 32;
/// Time for the last datagrams to be sent before the process exits.
const LEAVE_DELAY: Duration = Duration::from_millis(50);
/// Length of one epoch unit in nanoseconds: epochs are process start times in Unix milliseconds.
const EPOCH_UNIT: Nanos = 1_000_000;

/// Why the fleet membership can't be started.
#[derive(Debug, Error)]
pub enum FleetError {
    /// The listening address can't be bound.
    #[error("listen on {address} for the fleet: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The I/O error.
        source: io::Error,
    },
    /// The member's configuration is invalid.
    #[error("fleet: {0}")]
    Membership(#[from] MembershipError),
}

/// This node's membership in a fleet.
pub struct Fleet {
    name: String,
    member: RefCell<Membership>,
    clock: Clock,
    recorder: RecorderSink,
    datagrams: UdpSocket,
    /// Wakes the event loop after a call from outside of it, which may have produced outputs or changed a timer.
    changed: Notify,
    node_share: watch::Sender<Option<NodeShare>>,
    outbound_streams: Cell<usize>,
    rejected_peers: Cell<u64>,
}

impl Fleet {
    /// Binds the sockets, starts the event loop and begins to join the fleet through the seeds.
    ///
    /// # Errors
    /// Returns [`FleetError`] if the address can't be bound or the configuration is invalid.
    pub async fn start(
        config: &FleetConfig,
        node: &Node,
        introspection: &Introspection,
        rng_seed: u64,
    ) -> Result<Rc<Self>, FleetError> {
        let clock = introspection.clock();
        let failed = |source| FleetError::Listen { address: config.bind_address, source };
        let (listener, datagrams) = bind(config.bind_address).await.map_err(failed)?;
        let address = listener.local_addr().map_err(failed)?;
        let membership_config = MembershipConfig {
            settings: Settings::default(),
            fleet_name: config.name.clone(),
            record: own_record(config, node, address, clock.started_at()),
            seeds: config.seeds.clone(),
            address_overrides: config.peer_addresses.clone(),
            initial_node_count: node.node_count,
            rng_seed,
        };
        let member = Membership::new(membership_config, clock.now())?;
        info!(
            target: "fleet",
            fleet = %config.name,
            node = %node.name,
            fleet_address = %address,
            "fleet listener bound"
        );
        let fleet = Rc::new(Self {
            name: config.name.clone(),
            member: RefCell::new(member),
            clock: introspection.clock(),
            recorder: introspection.node_recorder(),
            datagrams,
            changed: Notify::new(),
            node_share: watch::Sender::new(None),
            outbound_streams: Cell::new(0),
            rejected_peers: Cell::new(0),
        });
        task::spawn_local(fleet.clone().run());
        task::spawn_local(streams::accept(fleet.clone(), listener));
        Ok(fleet)
    }

    /// Returns a receiver for this node's index and the number of nodes that share the endpoints. The value is `None` until
    /// this node has joined the fleet and has a number.
    pub fn node_share(&self) -> watch::Receiver<Option<NodeShare>> {
        self.node_share.subscribe()
    }

    /// Returns the current gauges with their metric names.
    pub fn gauges(&self) -> Vec<(&'static str, f64)> {
        let member = self.member.borrow();
        let table = member.table();
        vec![
            ("pumicehead_fleet_members", table.active_count() as f64),
            ("pumicehead_fleet_known", table.len() as f64),
            ("pumicehead_fleet_health", f64::from(member.health_multiplier())),
            ("pumicehead_fleet_cut", f64::from(u8::from(member.is_isolated()))),
            ("pumicehead_fleet_bytes_sent", member.bytes_sent() as f64),
            ("pumicehead_fleet_refused", self.rejected_peers.get() as f64),
        ]
    }

    /// Returns the reply to an admin command about the fleet, or `None` for any other command.
    pub fn reply(&self, command: &Command) -> Option<String> {
        let mut member = self.member.borrow_mut();
        let now = self.clock.now();
        match command {
            Command::Members => Some(report::fleet(&self.name, &mut member, now)),
            Command::ExplainMember(name) => {
                let unknown = || error_reply(&format!("nobody here knows `{name}`"));
                Some(report::member(&member, name, now).unwrap_or_else(unknown))
            }
            _ => None,
        }
    }

    /// Announces that this node has entered or left lame-duck mode.
    pub fn set_lame_duck(&self, lame_duck: bool) {
        self.member.borrow_mut().set_lame_duck(self.clock.now(), lame_duck);
        self.changed.notify_one();
    }

    /// Updates the utilization of this node, in eighths. It is announced at a limited rate.
    pub fn set_load(&self, eighths: u32) {
        self.member.borrow_mut().set_load(self.clock.now(), eighths);
        self.changed.notify_one();
    }

    /// Announces that this node leaves the fleet, and waits for [`LEAVE_DELAY`] so that the datagrams can be sent.
    pub async fn leave(&self) {
        self.member.borrow_mut().leave(self.clock.now());
        for output in self.take_outputs() {
            if let Output::Datagram { to, bytes } = output {
                let _ = self.datagrams.send_to(&bytes, to).await;
            }
        }
        sleep(LEAVE_DELAY).await;
    }

    fn take_outputs(&self) -> Vec<Output> {
        self.member.borrow_mut().take_outputs().collect()
    }
}

/// The record that this node publishes about itself.
fn own_record(config: &FleetConfig, node: &Node, bound: SocketAddr, started_unix: Nanos) -> MemberRecord {
    MemberRecord {
        name: node.name.clone(),
        // A later start has a greater epoch. If the machine's clock was set back, the epoch is corrected during the join.
        epoch: started_unix / EPOCH_UNIT,
        address: config.advertise_address.unwrap_or(bound).to_string(),
        zone: node.zones[node.zone].clone(),
        program_version: env!("CARGO_PKG_VERSION").into(),
        capabilities: vec!["view".into()],
        ..MemberRecord::default()
    }
}

/// Binds the same port for TCP streams and UDP datagrams.
async fn bind(address: SocketAddr) -> io::Result<(TcpListener, UdpSocket)> {
    for _ in 1..MAX_PORT_ATTEMPTS {
        let listener = TcpListener::bind(address).await?;
        let bound = listener.local_addr()?;
        match UdpSocket::bind(bound).await {
            Ok(datagrams) => return Ok((listener, datagrams)),
            // The port that was assigned for TCP is in use for UDP, so another one is tried.
            Err(error) if address.port() == 0 && error.kind() == io::ErrorKind::AddrInUse => {}
            Err(error) => return Err(error),
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}
