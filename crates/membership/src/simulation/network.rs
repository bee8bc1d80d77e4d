//! The simulated network: addresses, delay, loss and blocked links.

use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::config::SimulationConfig;
use crate::{MS, Nanos};

/// Time until a lost stream frame is retransmitted.
const RETRANSMISSION_DELAY: Nanos = 200 * MS;
/// Port used by all nodes.
const PORT: u16 = 7_000;

/// Returns the address of a node.
#[must_use]
pub fn node_address(node: usize) -> SocketAddr {
    let [_, a, b, c] = (node as u32).to_be_bytes();
    SocketAddr::from(([10, a, b, c], PORT))
}

/// Returns the node at an address.
pub(super) fn node_at(address: SocketAddr) -> usize {
    match address.ip() {
        IpAddr::V4(ip) => {
            let [_, a, b, c] = ip.octets();
            u32::from_be_bytes([0, a, b, c]) as usize
        }
        IpAddr::V6(_) => usize::MAX,
    }
}

/// The links between all nodes.
pub(super) struct Network {
    rng: Pcg64Mcg,
    nodes: usize,
    delay: Nanos,
    jitter: Nanos,
    loss: f64,
    duplication: f64,
    /// Whether the link from the first node to the second is blocked.
    is_blocked: Rc<dyn Fn(usize, usize) -> bool>,
}

impl Network {
    pub(super) fn new(config: &SimulationConfig) -> Self {
        Self {
            rng: Pcg64Mcg::seed_from_u64(config.seed),
            nodes: config.nodes,
            delay: config.delay,
            jitter: config.jitter,
            loss: config.loss,
            duplication: config.duplication,
            is_blocked: Rc::new(|_, _| false),
        }
    }

    pub(super) fn block_links(&mut self, is_blocked: impl Fn(usize, usize) -> bool + 'static) {
        self.is_blocked = Rc::new(is_blocked);
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        to < self.nodes && !(self.is_blocked)(from, to)
    }

    /// Whether a connection between two nodes can be established.
    pub(super) fn can_connect(&self, from: usize, to: usize) -> bool {
        self.reaches(from, to) && !(self.is_blocked)(to, from)
    }

    /// Draws a one-way delay.
    pub(super) fn draw_delay(&mut self) -> Nanos {
        self.delay + (self.draw() * self.jitter as f64) as Nanos
    }

    /// Draws the delays of the copies of a datagram that arrive; empty if the datagram is lost.
    pub(super) fn datagram_delays(&mut self, from: usize, to: usize) -> Vec<Nanos> {
        if !self.reaches(from, to) || self.draw() < self.loss {
            return Vec::new();
        }
        let copies = if self.draw() < self.duplication { 2 } else { 1 };
        (0..copies).map(|_| self.draw_delay()).collect()
    }

    /// Draws the delay of a stream frame, including retransmission. Returns `None` if the nodes cannot connect.
    pub(super) fn frame_delay(&mut self, from: usize, to: usize) -> Option<Nanos> {
        if !self.can_connect(from, to) {
            return None;
        }
        let delay = self.draw_delay();
        let retransmission = if self.draw() < self.loss { RETRANSMISSION_DELAY } else { 0 };
        Some(delay + retransmission)
    }

    /// Draws a random number in `0.0..1.0`.
    fn draw(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }
}
