//! What was offered, earned and lost on a node, and what its endpoints did, in bounded memory.

use pumicehead_policy::Nanos;

pub use crate::ledger_rows::{
    EndpointKey, EndpointTotals, LossKey, LossTotals, NO_ENDPOINT, TrafficKey, TrafficTotals,
};
pub use crate::slot_table::{Key, Row, SlotTable};
use crate::wire_format::{Reader, put};

/// All tables.
#[derive(Clone, Debug, PartialEq)]
pub struct LossLedger {
    /// What was lost.
    pub losses: SlotTable<LossKey, LossTotals>,
    /// What was asked and earned.
    pub traffic: SlotTable<TrafficKey, TrafficTotals>,
    /// What servers did.
    pub endpoints: SlotTable<EndpointKey, EndpointTotals>,
    /// How often the node ran out of descriptors: for clients, for servers.
    pub resource_exhaustions: [u64; 2],
}

/// Bytes that rows take with their place in a tree, at most.
const LOSS_ROW: usize = 64;
const FLOW_ROW: usize = 128;
const SERVER_ROW: usize = 208;

impl LossLedger {
    /// Empty, in so many bytes: half for servers, of which there are most, and a quarter for each of the others.
    #[must_use]
    pub fn new(start: Nanos, memory: usize) -> Self {
        Self {
            losses: SlotTable::new(start, memory / 4 / LOSS_ROW),
            traffic: SlotTable::new(start, memory / 4 / FLOW_ROW),
            endpoints: SlotTable::new(start, memory / 2 / SERVER_ROW),
            resource_exhaustions: [0; 2],
        }
    }

    /// Bytes that its rows take.
    #[must_use]
    pub fn memory(&self) -> usize {
        self.losses.len() * LOSS_ROW + self.traffic.len() * FLOW_ROW + self.endpoints.len() * SERVER_ROW
    }

    /// A span widened to where slots of all tables begin.
    #[must_use]
    pub fn aligned(&self, from: Nanos, to: Nanos) -> (Nanos, Nanos) {
        let width = self.losses.width.max(self.traffic.width).max(self.endpoints.width);
        let start = self.losses.start;
        let steps = |at: Nanos| at.saturating_sub(start) / width;
        let begin = start.saturating_add(steps(from).saturating_mul(width));
        let end = start.saturating_add(steps(to.saturating_add(width - 1)).saturating_mul(width));
        (begin, if to == Nanos::MAX { to } else { end.max(begin) })
    }

    /// Appends all of it.
    pub fn write(&self, out: &mut Vec<u8>) {
        self.losses.write(out);
        self.traffic.write(out);
        self.endpoints.write(out);
        self.resource_exhaustions.iter().for_each(|n| put(out, *n));
    }

    /// Reads what was appended.
    pub fn read(from: &mut Reader<'_>) -> Option<Self> {
        Some(Self {
            losses: SlotTable::read(from)?,
            traffic: SlotTable::read(from)?,
            endpoints: SlotTable::read(from)?,
            resource_exhaustions: [from.number()?, from.number()?],
        })
    }
}
