//! Intervals, timeouts and limits.

use crate::{MS, Nanos, SECOND};

/// Maximum number of members. The memory of a table (about 650 bytes per entry) and the size of a stream frame with a whole
/// table are dimensioned for it.
pub const MAX_MEMBERS: usize = 16_384;
/// Maximum number of tombstones (dead and left members) in a table. The oldest are removed first.
pub const MAX_TOMBSTONES: usize = 4_096;
/// Maximum datagram size in bytes: below the usual MTUs, so that datagrams are not fragmented.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Maximum size of a stream frame in bytes, enough for a whole table.
pub const MAX_FRAME_BYTES: usize = 4 << 20;
/// A member is flapping, and updates about it are delayed, after more than this many cycles of failure and recovery (two state
/// changes each). A restart and a stall within a minute stay below it.
pub const FLAP_THRESHOLD: u32 = 4;
/// The process is considered to have been stalled if a timer fires this late.
pub const STALL_THRESHOLD: Nanos = 300 * MS;
/// Minimum time between two load announcements of a member, per active member. It limits the rate of load updates in the
/// whole fleet.
pub const LOAD_INTERVAL_PER_MEMBER: Nanos = 4 * SECOND;
/// Minimum time between two load announcements of a member, whatever the size of the fleet.
pub const MIN_LOAD_INTERVAL: Nanos = 10 * SECOND;

/// Intervals and timeouts. All members of a fleet should use the same values.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// SWIM's protocol period: the time between two probes.
    pub probe_interval: Nanos,
    /// Time to wait for a direct ack before indirect probes and a stream probe are sent.
    pub probe_timeout: Nanos,
    /// Number of members that are asked for an indirect probe.
    pub indirect_probes: usize,
    /// Time between two gossip rounds while updates are queued.
    pub gossip_interval: Nanos,
    /// Number of members that each gossip round sends updates to.
    pub gossip_fanout: usize,
    /// Mean time between two push/pull exchanges with a random member.
    pub push_pull_interval: Nanos,
    /// Mean time between two pings of a dead member, which detect its return.
    pub reconnect_interval: Nanos,
    /// Time after which a stalled member is declared dead.
    pub stall_timeout: Nanos,
    /// Time after which a suspicion that no other member confirms leads to a declaration of death.
    pub unconfirmed_timeout: Nanos,
    /// Time for which dead and left members are kept in the table. A member that received nothing, or was stalled, for more
    /// than half of it joins again with an empty table.
    pub tombstone_retention: Nanos,
    /// Time for which a dead member still counts as a node if its address refused connections.
    pub confirmed_death_grace: Nanos,
    /// Time for which a dead member still counts as a node if it only does not answer: it may still use the endpoints from the
    /// other side of a network partition.
    pub unconfirmed_death_grace: Nanos,
    /// The count of a member's state changes restarts if nothing was heard from the member for this long.
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

/// A setting is out of range.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("membership setting `{setting}` is out of range")]
pub struct SettingsError {
    /// Name of the setting.
    pub setting: &'static str,
}

impl Settings {
    /// Checks that the settings are in range, and that durations that contain others are long enough for them.
    ///
    /// # Errors
    /// Returns the first setting that is out of range.
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
