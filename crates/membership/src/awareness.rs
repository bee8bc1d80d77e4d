//! Lifeguard's local health awareness: a member that is itself unhealthy waits longer before it suspects others.

/// The score of a member with the worst local health.
const MAX_SCORE: u8 = 7;

/// The local health score; 0 is healthy. It is raised by a probe without any ack or nack, by a refuted claim that this member is
/// suspect or dead, and by a stall of the local process. Each direct ack lowers it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Awareness(u8);

impl Awareness {
    /// Raises the score.
    pub fn degrade(&mut self, by: u8) {
        self.0 = (self.0 + by).min(MAX_SCORE);
    }

    /// Lowers the score by one.
    pub fn improve(&mut self) {
        self.0 = self.0.saturating_sub(1);
    }

    /// The local health multiplier for timeouts; 1 is healthy.
    #[must_use]
    pub fn multiplier(self) -> u32 {
        1 + u32::from(self.0)
    }
}
