//! Intervals, timeouts and bounds.

use crate::{MS, Nanos, SECOND};

/// Maximum number of members. A table's memory (some 650 bytes an entry) and a whole table in one stream frame are sized for it.
pub const MAX_MEMBERS: usize = 16_384;
/// Maximum number of dead and left members that are remembered; the oldest are removed first.
pub const MAX_TOMBSTONES: usize = 4_096;
/// Maximum datagram size in bytes: below the usual MTUs, so that datagrams are not fragmented.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Maximum size of a stream frame in bytes: a whole table fits.
pub const MAX_FRAME_BYTES: usize = 4 << 20;
/// A member with more than this many cycles of going and coming back, of two state changes each, is flapping: updates about it
/// are delayed. A restart and a stall in a minute are fewer.
pub const FLAP_THRESHOLD: u32 = 4;
/// A timer that fires this late means that the process was stalled.
pub const STALL_THRESHOLD: Nanos = 300 * MS;
/// Minimum time between two announcements of a member's own load, for each member there is: it bounds the updates of all
/// members together.
pub const LOAD_INTERVAL_PER_MEMBER: Nanos = 4 * SECOND;
/// Minimum time between two announcements of a member's own load in a small fleet.
pub const MIN_LOAD_INTERVAL: Nanos = 10 * SECOND;

/// Intervals and timeouts. All members of a fleet should have the same.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// SWIM's protocol period: time between two probes.
    pub probe_interval: Nanos,
    /// Time to wait for a direct ack before indirect probes and a stream probe are sent.
    pub probe_timeout: Nanos,
    /// Number of members that are asked for an indirect probe.
    pub indirect_probes: usize,
    /// Time between two rounds of gossip while updates are queued.
    pub gossip_interval: Nanos,
    /// Number of members that a round of gossip goes to.
    pub gossip_fanout: usize,
    /// Mean time between two push/pull exchanges with a random member.
    pub push_pull_interval: Nanos,
    /// Mean time between two pings of a dead member, to find out whether it is back.
    pub reconnect_interval: Nanos,
    /// Time after which a stalled member counts as dead.
    pub stall_timeout: Nanos,
    /// Time after which a suspicion that only this member has counts as death.
    pub unconfirmed_timeout: Nanos,
    /// Time for which dead and left members are remembered. A member that was away for longer joins anew.
    pub tombstone_retention: Nanos,
    /// Time for which a dead member still counts as a node where its address refused connections.
    pub confirmed_death_grace: Nanos,
    /// The same where it merely does not answer: it may use the servers on the other side of a network partition.
    pub unconfirmed_death_grace: Nanos,
    /// A member's state changes are counted anew where it was not heard from for this long.
    pub flap_window: Nanos,
}

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

/// A setting is out of its bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("`{setting}` is out of its bounds")]
pub struct SettingsError {
    /// Name of the setting.
    pub setting: &'static str,
}

impl Settings {
    /// Checks that every setting is in bounds and that longer spans can hold what happens within them.
    ///
    /// # Errors
    /// The first setting that is out of bounds.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let within = |setting, value: Nanos, min: Nanos, max: Nanos| {
            if (min..=max).contains(&value) { Ok(()) } else { Err(SettingsError { setting }) }
        };
        let (interval, hour) = (self.probe_interval, 3_600 * SECOND);
        within("probe_interval", interval, 50 * MS, 60 * SECOND)?;
        within("probe_timeout", self.probe_timeout, 5 * MS, interval / 2)?;
        within("gossip_interval", self.gossip_interval, 20 * MS, 10 * SECOND)?;
        within("push_pull_interval", self.push_pull_interval, interval, hour)?;
        within("reconnect_interval", self.reconnect_interval, interval, hour)?;
        within("stall_timeout", self.stall_timeout, interval, hour)?;
        within("unconfirmed_timeout", self.unconfirmed_timeout, interval, hour)?;
        let min_retention = self.stall_timeout.max(self.unconfirmed_timeout);
        within("tombstone_retention", self.tombstone_retention, min_retention, 7 * 24 * hour)?;
        within(
            "unconfirmed_death_grace",
            self.unconfirmed_death_grace,
            self.confirmed_death_grace,
            24 * hour,
        )?;
        for (setting, count) in
            [("indirect_probes", self.indirect_probes), ("gossip_fanout", self.gossip_fanout)]
        {
            if !(1..=10).contains(&count) {
                return Err(SettingsError { setting });
            }
        }
        Ok(())
    }
}
