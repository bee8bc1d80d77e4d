//! How many nodes share a server, and this one's number among them.
//!
//! A node that counts fewer than there are takes more of each server than its part. So whoever has gone counts until its
//! rights have ended: soon where it said so itself or its own kernel did, after long where it is merely out of sight: the other
//! side of a cut uses the same servers. More are believed at once, fewer by degrees.

use crate::card::MemberId;
use crate::settings::Settings;
use crate::state::MemberState;
use crate::table::MemberTable;
use crate::{Nanos, SECOND};

/// The number of nodes falls by this part of itself a second at the most: limits are learned within some seconds.
const FALL: f64 = 0.1;

/// The number of nodes that share.
#[derive(Clone, Debug)]
pub struct NodeCount {
    nodes: f64,
    at: Nanos,
}

impl NodeCount {
    /// Begins with what the operator's file says: a node that has not heard from others yet is not alone.
    #[must_use]
    pub fn new(nodes: u32, now: Nanos) -> Self {
        Self { nodes: f64::from(nodes.max(1)), at: now }
    }

    /// How many there are now, this one among them.
    pub fn update(&mut self, table: &MemberTable, settings: &Settings, now: Nanos) -> u32 {
        let counted = counted_nodes(table, settings, now) as f64;
        let span = now.saturating_sub(self.at) as f64 / SECOND as f64;
        self.at = now;
        let least = self.nodes * (-FALL * span).exp();
        self.nodes = counted.max(least).max(1.0);
        self.nodes.ceil() as u32
    }
}

/// Members with rights: those there are, and those gone whose rights have not ended.
#[must_use]
pub fn counted_nodes(table: &MemberTable, settings: &Settings, now: Nanos) -> usize {
    let has = |state: MemberState, refused: bool, since: i64| {
        let age = (now as i64).saturating_sub(since).max(0) as Nanos;
        match state {
            MemberState::Alive | MemberState::Stalled | MemberState::Suspect => true,
            MemberState::Left => false,
            MemberState::Dead => age < if refused { settings.confirmed_death_grace } else { settings.unconfirmed_death_grace },
        }
    };
    table.iter().filter(|held| has(held.state, held.connection_refused, held.state_since)).count()
}

/// The number, from 1, that a member takes where it has none, or one that another member keeps: of those that are free, the one
/// at its own rank among all members in that place, by key; the lowest where it is alone. Members that hold the same view choose different numbers, so many that
/// join at once are done in some rounds; if each took the lowest, one of them at a time would be.
#[must_use]
pub fn free_node_number(table: &MemberTable, me: MemberId) -> u32 {
    let mut there: Vec<_> = table
        .iter()
        .filter(|held| held.state.is_active())
        .map(|held| (held.encoded.record.node_number, held.encoded.id()))
        .collect();
    there.sort_unstable();
    // Of those with one number the lowest key keeps it; the others, and those without one, take another.
    let mut kept = Vec::new();
    let mut rank = 0;
    for (number, key) in there {
        if number != 0 && kept.last() != Some(&number) && key != me {
            kept.push(number);
        } else if key < me {
            rank += 1;
        }
    }
    let mut kept = kept.into_iter().peekable();
    let is_free = |number: &u32| kept.next_if_eq(number).is_none();
    (1..).filter(is_free).nth(rank).unwrap_or(1)
}
