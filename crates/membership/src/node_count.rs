//! How many nodes share the servers.
//!
//! A node that counts too few takes more than its share of every server. So dead members count for a while: a short one where
//! their address refused connections, a long one where they merely do not answer, since they may use the servers on the other
//! side of a network partition. A higher count applies at once, a lower one gradually.

use crate::entry::MemberEntry;
use crate::settings::Settings;
use crate::state::MemberState;
use crate::table::MemberTable;
use crate::{Nanos, SECOND};

/// Rate at which the count falls, per second: concurrency limits adapt within seconds.
const DECAY_PER_SECOND: f64 = 0.1;

/// The number of nodes that share the servers.
#[derive(Clone, Debug)]
pub struct NodeCount {
    count: f64,
    updated_at: Nanos,
}

impl NodeCount {
    /// Starts with the number in the configuration: a node that has not heard from others yet is not alone.
    #[must_use]
    pub fn new(nodes: u32, now: Nanos) -> Self {
        Self { count: f64::from(nodes.max(1)), updated_at: now }
    }

    /// Returns the current number of nodes, this one included.
    pub fn update(&mut self, table: &MemberTable, settings: &Settings, now: Nanos) -> u32 {
        let counted = counted_nodes(table, settings, now) as f64;
        let seconds = now.saturating_sub(self.updated_at) as f64 / SECOND as f64;
        self.updated_at = now;
        let decayed = self.count * (-DECAY_PER_SECOND * seconds).exp();
        self.count = counted.max(decayed).max(1.0);
        self.count.ceil() as u32
    }
}

/// Number of members that count as nodes: active ones, and dead ones within their grace.
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
