//! Lifeguard's local health awareness: an observer that is itself in trouble waits longer before it suspects others.

/// The worst score.
const MAX_SCORE: u8 = 7;

/// The local health score; 0 is healthy. Late acks, missing nacks, refuted suspicions about itself and stalls raise it.
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

    /// The local health multiplier of timeouts: 1 is healthy.
    #[must_use]
    pub fn multiplier(self) -> u32 {
        1 + u32::from(self.0)
    }
}
