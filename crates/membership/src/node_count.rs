//! The number of nodes that share the endpoints.
//!
//! A node whose count is too low takes more than its share of each endpoint. Dead members therefore count for a grace period:
//! a short one if their address refused connections, a long one if they only do not answer, since they may still use the
//! endpoints from the other side of a network partition. A higher count applies at once, a lower one gradually.

use crate::entry::MemberEntry;
use crate::settings::Settings;
use crate::state::MemberState;
use crate::table::MemberTable;
use crate::{Nanos, SECOND};

/// Rate of the exponential decay of the count, per second. Concurrency limits adapt within seconds, and can follow this rate.
const DECAY_PER_SECOND: f64 = 0.1;

/// The number of nodes that share the endpoints.
#[derive(Clone, Debug)]
pub struct NodeCount {
    count: f64,
    updated_at: Nanos,
}

impl NodeCount {
    /// Starts with the configured number, since a node that has not heard from others yet is not necessarily alone.
    #[must_use]
    pub fn new(nodes: u32, now: Nanos) -> Self {
        Self { count: f64::from(nodes.max(1)), updated_at: now }
    }

    /// Updates the count and returns it. It includes the local node.
    pub fn update(&mut self, table: &MemberTable, settings: &Settings, now: Nanos) -> u32 {
        let counted = counted_nodes(table, settings, now) as f64;
        let seconds = now.saturating_sub(self.updated_at) as f64 / SECOND as f64;
        self.updated_at = now;
        let decayed = self.count * (-DECAY_PER_SECOND * seconds).exp();
        self.count = counted.max(decayed).max(1.0);
        self.count.ceil() as u32
    }
}

/// Returns the number of members that count as nodes: active ones, and dead ones within their grace period.
#[must_use]
pub fn counted_nodes(table: &MemberTable, settings: &Settings, now: Nanos) -> usize {
    table.iter().filter(|entry| counts_as_node(entry, settings, now)).count()
}

fn counts_as_node(entry: &MemberEntry, settings: &Settings, now: Nanos) -> bool {
    match entry.state {
        MemberState::Alive | MemberState::Stalled | MemberState::Suspect => true,
        MemberState::Left => false,
        MemberState::Dead if entry.connection_refused => entry.age(now) < settings.confirmed_death_grace,
        MemberState::Dead => entry.age(now) < settings.unconfirmed_death_grace,
    }
}
