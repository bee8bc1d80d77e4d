//! Spans and bounds, with their reasons.

use crate::{MS, Nanos, SECOND};

/// Most members: what a view's memory (some 650 bytes an entry) and a whole table over a stream (1 MiB) are sized for.
pub const MAX_MEMBERS: usize = 16_384;
/// Most dead and departed members that are remembered; the oldest go first.
pub const MAX_TOMBSTONES: usize = 4_096;
/// Largest datagram: what passes every usual network in one piece.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Largest frame of a stream: all entries of the largest fleet.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

/// How a member behaves. All members of a fleet should have the same.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Between two questions to others whether they are there.
    pub probe_interval: Nanos,
    /// Until a question is put through others, and over a stream.
    pub probe_timeout: Nanos,
    /// Through so many others: enough that one of them has a way, at 30% loss too.
    pub indirect_probes: usize,
    /// Between two rounds of passing news on, while there are any.
    pub gossip_interval: Nanos,
    /// To so many others each time.
    pub gossip_fanout: usize,
    /// Between two comparisons of whole views with some member.
    pub push_pull_interval: Nanos,
    /// Between two questions to some member that is held dead: whether it is back, or was cut off.
    pub reconnect_interval: Nanos,
    /// One that stands still for so long is taken for dead.
    pub stall_timeout: Nanos,
    /// One that only this member misses, and nobody else says so, is taken for dead after this.
    pub unconfirmed_timeout: Nanos,
    /// The dead and departed are remembered for so long; who was away longer begins anew.
    pub tombstone_retention: Nanos,
    /// A member that is known to be gone has rights for so long.
    pub confirmed_death_grace: Nanos,
    /// One that is merely out of sight has them for so long: the other side of a cut uses them.
    pub unconfirmed_death_grace: Nanos,
    /// Changes in this span from which on a member counts as one that comes and goes.
    pub flap_window: Nanos,
}

/// Changes from which on a member counts as one that comes and goes: a restart and a stall in a minute are none.
pub const FLAP_THRESHOLD: u32 = 4;
/// A timer that comes so late tells that this process stood still.
pub const STALL_THRESHOLD: Nanos = 300 * MS;
/// A member's own load is said anew no more often than this for each member there is: what all say together stays the same.
pub const LOAD_EACH: Nanos = 4 * SECOND;
/// ... and no more often than this.
pub const LOAD_LEAST: Nanos = 10 * SECOND;

impl Default for Settings {
    fn default() -> Self {
        Self {
            probe_interval: 500 * MS,
            probe_timeout: 200 * MS,
            indirect_probes: 3,
            gossip_interval: 200 * MS,
            gossip_fanout: 3,
            push_pull_interval: 10 * SECOND,
            reconnect_interval: 2 * SECOND,
            stall_timeout: 60 * SECOND,
            unconfirmed_timeout: 60 * SECOND,
            tombstone_retention: 3_600 * SECOND,
            confirmed_death_grace: 5 * SECOND,
            unconfirmed_death_grace: 600 * SECOND,
            flap_window: 60 * SECOND,
        }
    }
}

/// Why settings can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("`{0}` is out of its bounds")]
pub struct SettingsError(pub &'static str);

impl Settings {
    /// Whether they can be used: each span can hold what happens within it.
    ///
    /// # Errors
    /// The first that is out of bounds.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let within = |name, value: Nanos, least: Nanos, most: Nanos| {
            if (least..=most).contains(&value) { Ok(()) } else { Err(SettingsError(name)) }
        };
        within("period", self.probe_interval, 50 * MS, 60 * SECOND)?;
        within("patience", self.probe_timeout, 5 * MS, self.probe_interval / 2)?;
        within("gossip", self.gossip_interval, 20 * MS, 10 * SECOND)?;
        within("sync", self.push_pull_interval, self.probe_interval, 3_600 * SECOND)?;
        within("recall", self.reconnect_interval, self.probe_interval, 3_600 * SECOND)?;
        within("stalled", self.stall_timeout, self.probe_interval, 3_600 * SECOND)?;
        within("alone", self.unconfirmed_timeout, self.probe_interval, 3_600 * SECOND)?;
        within("memory", self.tombstone_retention, self.stall_timeout.max(self.unconfirmed_timeout), 7 * 86_400 * SECOND)?;
        within("lost_lease", self.unconfirmed_death_grace, self.confirmed_death_grace, 86_400 * SECOND)?;
        if !(1..=10).contains(&self.indirect_probes) || !(1..=10).contains(&self.gossip_fanout) {
            return Err(SettingsError("helpers"));
        }
        Ok(())
    }
}
