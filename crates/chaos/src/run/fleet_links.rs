//! The emulated links of a fleet: from clients to each node, and from each node to discovery, to each endpoint and, with
//! membership, to each other node.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use super::node_process::NodeAddresses;
use crate::fault_effects::link_state;
use crate::fault_kind::FaultKind;
use crate::link::{LatenessGauge, Link, LinkEnd, LinkOptions, LinkPath, LinkSettings, tcp, udp};
use crate::scenario::Scenario;

/// The target of links to a process that has not started yet: the discard port of loopback, where nothing listens.
const NO_TARGET: ([u8; 4], u16) = ([127, 0, 0, 1], 9);

/// The links of one path: one for TCP and, between members, one for UDP at the same address.
struct FleetLink {
    address: SocketAddr,
    target: Rc<RefCell<SocketAddr>>,
    links: Vec<Link>,
}

/// All links of a fleet.
pub(super) struct FleetLinks {
    links: BTreeMap<LinkPath, FleetLink>,
    /// Indexes of the link faults that are active.
    active_faults: Vec<usize>,
}

impl FleetLinks {
    /// Opens all links. `discovery` has one address per node.
    pub async fn open(
        scenario: &Scenario,
        discovery: &[SocketAddr],
        lateness: &LatenessGauge,
    ) -> io::Result<Self> {
        let mut links = BTreeMap::new();
        for (number, path) in paths(scenario).into_iter().enumerate() {
            let target = match path {
                LinkPath { from: LinkEnd::Node(node), to: LinkEnd::Discovery } => discovery[node],
                _ => NO_TARGET.into(),
            };
            let options = LinkOptions {
                target: Rc::new(RefCell::new(target)),
                state: link_state(&scenario.fleet.links, &[], path),
                seed: scenario.seed.wrapping_mul(1 << 20).wrapping_add((number as u64) << 32),
                lateness: lateness.clone(),
            };
            links.insert(path, FleetLink::open(path, options).await?);
        }
        Ok(Self { links, active_faults: Vec::new() })
    }

    /// Returns the address of the link on this path; `None` if there is no such link.
    pub fn find_address(&self, path: LinkPath) -> Option<SocketAddr> {
        self.links.get(&path).map(|link| link.address)
    }

    /// Returns the address of the link on this path, which must exist.
    pub fn address(&self, path: LinkPath) -> SocketAddr {
        self.find_address(path).expect("a link is open for every path of this kind")
    }

    /// Points all links to an endpoint at its new process.
    pub fn set_endpoint(&self, endpoint: usize, address: SocketAddr) {
        for (path, link) in &self.links {
            if path.to == LinkEnd::Endpoint(endpoint) {
                *link.target.borrow_mut() = address;
            }
        }
    }

    /// Points all links to a node at its new process.
    pub fn set_node(&self, node: usize, addresses: NodeAddresses) {
        for (path, link) in &self.links {
            if path.to == LinkEnd::Node(node) {
                let is_between_members = matches!(path.from, LinkEnd::Node(_));
                *link.target.borrow_mut() = match addresses.membership {
                    Some(membership) if is_between_members => membership,
                    _ => addresses.clients,
                };
            }
        }
    }

    /// Begins a link fault, or ends it if it is active, and updates all links.
    pub fn toggle_fault(&mut self, scenario: &Scenario, index: usize) {
        let begins = toggle(&mut self.active_faults, index);
        let fault = &scenario.faults[index];
        let resets = matches!(fault.kind, FaultKind::Link { reset_at_end: true, .. }) && !begins;
        let active: Vec<_> = self.active_faults.iter().map(|index| &scenario.faults[*index]).collect();
        let fault_free = &scenario.fleet.links;
        for (&path, fleet_link) in &self.links {
            let state = link_state(fault_free, &active, path);
            let is_affected = link_state(fault_free, &[fault], path) != link_state(fault_free, &[], path);
            for link in &fleet_link.links {
                let reset_count = link.reset_count() + u32::from(resets && is_affected);
                link.update(LinkSettings { state: state.clone(), reset_count });
            }
        }
    }
}

impl FleetLink {
    async fn open(path: LinkPath, options: LinkOptions) -> io::Result<Self> {
        let target = options.target.clone();
        let links = if matches!((path.from, path.to), (LinkEnd::Node(_), LinkEnd::Node(_))) {
            let pair = udp::open_with_tcp(options).await?;
            vec![pair.tcp, pair.udp]
        } else {
            vec![tcp::open(options).await?]
        };
        Ok(Self { address: links[0].address(), target, links })
    }
}

/// Returns all paths. Their order determines the random seeds of their links.
fn paths(scenario: &Scenario) -> Vec<LinkPath> {
    let fleet = &scenario.fleet;
    let mut paths = Vec::new();
    for node in 0..fleet.nodes {
        let from = LinkEnd::Node(node);
        paths.push(LinkPath { from: LinkEnd::Clients, to: from });
        paths.push(LinkPath { from, to: LinkEnd::Discovery });
        let endpoints = (0..fleet.endpoints).map(LinkEnd::Endpoint);
        paths.extend(endpoints.map(|to| LinkPath { from, to }));
        let others = (0..fleet.nodes).filter(|other| *other != node && fleet.membership);
        paths.extend(others.map(|other| LinkPath { from, to: LinkEnd::Node(other) }));
    }
    paths
}

/// Adds an index, or removes it if it is there; returns whether it was added.
pub(super) fn toggle(active: &mut Vec<usize>, index: usize) -> bool {
    let before = active.len();
    active.retain(|other| *other != index);
    let added = active.len() == before;
    active.extend(added.then_some(index));
    added
}
