//! Suspicions: which members accuse a member, and when it is declared dead if it does not refute.

use crate::Nanos;
use crate::awareness::Awareness;
use crate::record::MemberId;
use crate::settings::Settings;

/// Lifeguard's K: number of independent confirmations that reduce the suspicion timeout to its minimum.
pub const MAX_CONFIRMATIONS: usize = 3;
/// Minimum suspicion timeout, in probe intervals per power of ten of the number of members.
const MIN_TIMEOUT_INTERVALS: f64 = 2.0;
/// Maximum suspicion timeout, as a multiple of the minimum.
const MAX_TIMEOUT_FACTOR: f64 = 6.0;
/// Time for a refutation by a member whose address refuses connections, in probe intervals.
const REFUSED_TIMEOUT_INTERVALS: u64 = 1;

/// A suspicion against a member in state suspect or stalled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspicion {
    /// When the suspicion started, on the local clock.
    pub started_at: Nanos,
    /// The first accuser, and the members that confirmed the suspicion by their own probes.
    pub accusers: Vec<MemberId>,
    /// Whether the member's address refuses connections.
    pub connection_refused: bool,
    /// Whether the member's state is stalled rather than suspect.
    pub stalled: bool,
}

impl Suspicion {
    /// Adds a confirmation. Returns whether it is new and therefore has to be broadcast.
    pub fn confirm(&mut self, accuser: MemberId, connection_refused: bool) -> bool {
        let newly_refused = connection_refused && !self.connection_refused;
        self.connection_refused |= connection_refused;
        if self.accusers.contains(&accuser) || self.accusers.len() > MAX_CONFIRMATIONS {
            return newly_refused;
        }
        self.accusers.push(accuser);
        true
    }

    /// Returns when an observer with this awareness declares the member dead, in a fleet of `members` active members. If no
    /// other member confirmed the suspicion, the observer waits for [`Settings::unconfirmed_timeout`], since the fault may be
    /// its own.
    #[must_use]
    pub fn expires_at(
        &self,
        settings: &Settings,
        observer: MemberId,
        members: usize,
        awareness: Awareness,
    ) -> Nanos {
        if self.stalled {
            return self.started_at + settings.stall_timeout;
        }
        if self.connection_refused {
            return self.started_at + REFUSED_TIMEOUT_INTERVALS * settings.probe_interval;
        }
        // In a fleet of one or two members there is nobody else to confirm.
        let others_can_confirm = members > 2;
        if others_can_confirm && self.accusers.iter().all(|accuser| *accuser == observer) {
            return self.started_at + settings.unconfirmed_timeout;
        }
        let timeout = self.lifeguard_timeout(settings.probe_interval, members);
        self.started_at + (timeout * f64::from(awareness.multiplier())) as Nanos
    }

    /// Lifeguard's timeout in nanoseconds, which falls from its maximum to its minimum with the logarithm of the number of
    /// confirmations.
    fn lifeguard_timeout(&self, probe_interval: Nanos, members: usize) -> f64 {
        let min =
            MIN_TIMEOUT_INTERVALS * (members.max(1) as f64 + 1.0).log10().max(1.0) * probe_interval as f64;
        let max = MAX_TIMEOUT_FACTOR * min;
        let confirmations = (self.accusers.len() - 1).min(MAX_CONFIRMATIONS) as f64;
        max - (max - min) * (confirmations + 1.0).ln() / (MAX_CONFIRMATIONS as f64 + 1.0).ln()
    }
}
