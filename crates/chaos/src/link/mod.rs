//! Link emulation: latency, jitter, loss, bandwidth and partitions between clients, nodes, endpoints and discovery.
//!
//! [`LinkDirection`] decides when bytes arrive and does no I/O; [`tcp`] and [`udp`] relay bytes over loopback at these times.

mod direction;
mod lateness;
mod pump;
mod state;
pub mod tcp;
pub mod udp;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use serde::{Deserialize, Serialize};
use tokio::sync::watch;

pub use direction::LinkDirection;
pub use lateness::LatenessGauge;
pub use state::{LinkEnd, LinkPath, LinkState};

use crate::task::AbortOnDrop;

/// Largest latency and jitter, in milliseconds: as long as the longest deadline, so that more would be a partition.
pub const MAX_LATENCY_MS: f64 = 60_000.0;

/// What happens to new connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConnectPolicy {
    /// They are accepted.
    #[default]
    #[serde(rename = "open")]
    Accept,
    /// They are refused, and open ones are reset.
    Refuse,
    /// The kernel accepts them but nothing is read from them; open ones stay open.
    #[serde(rename = "silent")]
    Blackhole,
}

impl ConnectPolicy {
    /// Returns the stricter of two policies, which applies when several faults affect a link.
    #[must_use]
    pub fn stricter(self, other: Self) -> Self {
        let strictness = |policy: Self| match policy {
            Self::Accept => 0,
            Self::Refuse => 1,
            Self::Blackhole => 2,
        };
        if strictness(other) > strictness(self) { other } else { self }
    }
}

/// Conditions of one direction of a link.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LinkConditions {
    /// Constant part of the latency, in milliseconds.
    #[serde(rename = "delay_ms")]
    pub latency_ms: f64,
    /// Mean of the exponentially distributed part of the latency, in milliseconds.
    pub jitter_ms: f64,
    /// Share of datagrams that are lost, and of stream segments that need a retransmission.
    pub loss: f64,
    /// Share of datagrams that arrive twice.
    #[serde(rename = "duplicates")]
    pub duplication: f64,
    /// Share of datagrams that are delayed so that later ones arrive first.
    pub reorder: f64,
    /// Bandwidth in bytes per second; 0 is unlimited.
    #[serde(rename = "rate")]
    pub bytes_per_s: u64,
    /// Whether nothing arrives, without an error for either side.
    #[serde(rename = "cut")]
    pub partitioned: bool,
}

/// Why conditions of a link are not possible.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LinkConditionsError {
    /// A share is out of its range.
    #[error("`{0}` is out of range: shares are 0 to 1, and loss is under 1")]
    Share(&'static str),
    /// A latency is out of its range.
    #[error("`{0}` is out of range: it is 0 to {MAX_LATENCY_MS} ms")]
    Latency(&'static str),
}

impl LinkConditions {
    /// Checks that all values are in their ranges.
    ///
    /// # Errors
    /// The keyword of the first value that is out of its range.
    pub fn validate(&self) -> Result<(), LinkConditionsError> {
        let shares = [("loss", self.loss), ("duplicates", self.duplication), ("reorder", self.reorder)];
        for (keyword, share) in shares {
            // With a loss of 1 no stream segment would ever arrive: that is a partition.
            if !(0.0..=1.0).contains(&share) || (keyword == "loss" && share >= 1.0) {
                return Err(LinkConditionsError::Share(keyword));
            }
        }
        for (keyword, latency_ms) in [("delay_ms", self.latency_ms), ("jitter_ms", self.jitter_ms)] {
            if !(0.0..=MAX_LATENCY_MS).contains(&latency_ms) {
                return Err(LinkConditionsError::Latency(keyword));
            }
        }
        Ok(())
    }

    /// Combines conditions that apply at the same time: latencies and jitters add up, loss, duplication and reordering are
    /// independent, and the lower bandwidth and any partition apply.
    #[must_use]
    pub fn combine(&self, other: &Self) -> Self {
        let either = |a: f64, b: f64| 1.0 - (1.0 - a) * (1.0 - b);
        Self {
            latency_ms: self.latency_ms + other.latency_ms,
            jitter_ms: self.jitter_ms + other.jitter_ms,
            loss: either(self.loss, other.loss),
            duplication: either(self.duplication, other.duplication),
            reorder: either(self.reorder, other.reorder),
            bytes_per_s: match (self.bytes_per_s, other.bytes_per_s) {
                (0, rate) | (rate, 0) => rate,
                (a, b) => a.min(b),
            },
            partitioned: self.partitioned || other.partitioned,
        }
    }
}

/// Options for opening a link.
#[derive(Clone, Debug)]
pub struct LinkOptions {
    /// Address to which connections and datagrams are forwarded. It changes when the process there is restarted.
    pub target: Rc<RefCell<SocketAddr>>,
    /// Initial state of the link.
    pub state: LinkState,
    /// Seed of the link's random numbers; for TCP, of those from the opening end to the accepting one only.
    pub seed: u64,
    /// Where the link records its own lateness.
    pub lateness: LatenessGauge,
}

/// Settings of an open link.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LinkSettings {
    /// State of the link.
    pub state: LinkState,
    /// How often the link's connections were reset. A change resets all open connections.
    pub reset_count: u32,
}

/// An open link, listening on loopback; closed when dropped.
#[derive(Debug)]
pub struct Link {
    address: SocketAddr,
    settings: watch::Sender<LinkSettings>,
    _task: AbortOnDrop,
}

impl Link {
    /// Returns the address where the link listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns how often the link's connections were reset.
    #[must_use]
    pub fn reset_count(&self) -> u32 {
        self.settings.borrow().reset_count
    }

    /// Changes the settings; does nothing if they are the same.
    pub fn update(&self, settings: LinkSettings) {
        if *self.settings.borrow() != settings {
            self.settings.send_replace(settings);
        }
    }
}
