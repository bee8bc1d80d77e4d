//! Suspicions: who accuses a member, and when the member counts as dead without a refutation.

use crate::Nanos;
use crate::awareness::Awareness;
use crate::record::MemberId;
use crate::settings::Settings;

/// Lifeguard's K: independent confirmations that shorten a suspicion to its minimum.
pub const MAX_CONFIRMATIONS: usize = 3;
/// Minimum of a suspicion, in probe intervals for each power of ten of members.
const MIN_TIMEOUT_INTERVALS: f64 = 2.0;
/// Maximum of a suspicion, as a multiple of its minimum.
const MAX_TIMEOUT_FACTOR: f64 = 6.0;
/// Time to refute for a member whose address refuses connections, in probe intervals.
const REFUSED_TIMEOUT_INTERVALS: u64 = 1;

/// A suspicion against a member that is held suspect or stalled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspicion {
    /// When it began, on the local clock.
    pub started_at: Nanos,
    /// The first accuser and those that confirmed, each by its own probe.
    pub accusers: Vec<MemberId>,
    /// Whether the member's address refuses connections.
    pub connection_refused: bool,
    /// Whether the member is held stalled rather than suspect.
    pub stalled: bool,
}

impl Suspicion {
    /// Confirms the suspicion. Returns whether that is new, and so is to be broadcast.
    pub fn confirm(&mut self, accuser: MemberId, connection_refused: bool) -> bool {
        let newly_refused = connection_refused && !self.connection_refused;
        self.connection_refused |= connection_refused;
        if self.accusers.contains(&accuser) || self.accusers.len() > MAX_CONFIRMATIONS {
            return newly_refused;
        }
        self.accusers.push(accuser);
        true
    }

    /// When the member counts as dead, for an observer with this awareness among `members` active members. An observer whose
    /// finding nobody else confirms waits [`Settings::unconfirmed_timeout`], since the fault may be its own.
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
        // With one or two members nobody else is there to confirm.
        let others_can_confirm = members > 2;
        if others_can_confirm && self.accusers.iter().all(|accuser| *accuser == observer) {
            return self.started_at + settings.unconfirmed_timeout;
        }
        let timeout = self.lifeguard_timeout(settings.probe_interval, members);
        self.started_at + (timeout * f64::from(awareness.multiplier())) as Nanos
    }

    /// Lifeguard's timeout in nanoseconds: falls from its maximum to its minimum with the logarithm of the confirmations.
    fn lifeguard_timeout(&self, probe_interval: Nanos, members: usize) -> f64 {
        let min =
            MIN_TIMEOUT_INTERVALS * (members.max(1) as f64 + 1.0).log10().max(1.0) * probe_interval as f64;
        let max = MAX_TIMEOUT_FACTOR * min;
        let confirmations = (self.accusers.len() - 1).min(MAX_CONFIRMATIONS) as f64;
        max - (max - min) * (confirmations + 1.0).ln() / (MAX_CONFIRMATIONS as f64 + 1.0).ln()
    }
}
