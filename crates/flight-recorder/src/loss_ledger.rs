//! Priority weight that was offered, earned and lost on a node, and the attempts of its endpoints, in bounded memory.

use pumicehead_policy::Nanos;

pub use crate::ledger_rows::{
    EndpointKey, EndpointTotals, LossKey, LossTotals, NO_ENDPOINT, TrafficKey, TrafficTotals,
};
pub use crate::slot_table::{Key, Row, SlotTable};
use crate::wire_format::{Reader, put_varint};

/// Tables of losses, traffic and endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct LossLedger {
    /// Losses by cause, class and endpoint.
    pub losses: SlotTable<LossKey, LossTotals>,
    /// Offered and earned weight by class.
    pub traffic: SlotTable<TrafficKey, TrafficTotals>,
    /// Attempts by endpoint.
    pub endpoints: SlotTable<EndpointKey, EndpointTotals>,
    /// Number of times that file descriptors ran out: for downstream and for upstream connections.
    pub resource_exhaustions: [u64; 2],
}

/// Upper bound of the memory of a row of losses, in bytes.
const LOSS_ROW_BYTES: usize = 64;
/// Upper bound of the memory of a row of traffic, in bytes.
const TRAFFIC_ROW_BYTES: usize = 128;
/// Upper bound of the memory of a row of endpoints, in bytes.
const ENDPOINT_ROW_BYTES: usize = 208;

impl LossLedger {
    /// Creates a ledger of at most `memory` bytes: half for endpoints, a quarter for each other table.
    #[must_use]
    pub fn new(start: Nanos, memory: usize) -> Self {
        Self {
            losses: SlotTable::new(start, memory / 4 / LOSS_ROW_BYTES),
            traffic: SlotTable::new(start, memory / 4 / TRAFFIC_ROW_BYTES),
            endpoints: SlotTable::new(start, memory / 2 / ENDPOINT_ROW_BYTES),
            resource_exhaustions: [0; 2],
        }
    }

    /// Returns an upper bound of the memory of all rows, in bytes.
    #[must_use]
    pub fn memory_used(&self) -> usize {
        self.losses.len() * LOSS_ROW_BYTES
            + self.traffic.len() * TRAFFIC_ROW_BYTES
            + self.endpoints.len() * ENDPOINT_ROW_BYTES
    }

    /// Widens a time range to the slots of all tables.
    #[must_use]
    pub fn align_to_slots(&self, from: Nanos, to: Nanos) -> (Nanos, Nanos) {
        let width = self.losses.width.max(self.traffic.width).max(self.endpoints.width);
        let start = self.losses.start;
        let slots = |at: Nanos| at.saturating_sub(start) / width;
        let begin = start.saturating_add(slots(from).saturating_mul(width));
        let end = start.saturating_add(slots(to.saturating_add(width - 1)).saturating_mul(width));
        (begin, if to == Nanos::MAX { to } else { end.max(begin) })
    }

    /// Appends the stored form.
    pub fn write(&self, out: &mut Vec<u8>) {
        self.losses.write(out);
        self.traffic.write(out);
        self.endpoints.write(out);
        self.resource_exhaustions.iter().for_each(|n| put_varint(out, *n));
    }

    /// Reads the stored form.
    pub fn read(from: &mut Reader<'_>) -> Option<Self> {
        Some(Self {
            losses: SlotTable::read(from)?,
            traffic: SlotTable::read(from)?,
            endpoints: SlotTable::read(from)?,
            resource_exhaustions: [from.varint()?, from.varint()?],
        })
    }
}
