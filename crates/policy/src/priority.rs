//! Priority tiers of requests.

use crate::Class;

/// Priority tier of a request, highest first. The queue is served in this order, and requests of the lower
/// tiers are rejected when the expected wait is too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum PriorityTier {
    /// Within this tier, requests with the highest weight are served first.
    Highest,
    High,
    Medium,
    Low,
}

/// Minimum ratio of a request's weight to the largest class weight for the highest tier.
const HIGHEST_MIN_SHARE: f64 = 0.8;
/// Ratios above which a request is in tier high or medium.
const HIGH_ABOVE_SHARE: f64 = 0.55;
const MEDIUM_ABOVE_SHARE: f64 = 0.3;

impl PriorityTier {
    /// Number of tiers.
    pub const COUNT: usize = 4;

    /// Returns the tier of a request with this weight, by its ratio to the largest weight of a class. If all
    /// classes have the same weight, no request is above medium.
    pub fn classify(priority_weight: f64, classes: &[Class]) -> Self {
        let weights = || classes.iter().map(|class| class.priority_weight);
        let largest = weights().fold(0.0, f64::max);
        let least = weights().fold(f64::MAX, f64::min);
        let share = if largest > 0.0 { priority_weight / largest } else { 1.0 };
        let has_preference = least < largest;
        if share >= HIGHEST_MIN_SHARE && has_preference {
            Self::Highest
        } else if share > HIGH_ABOVE_SHARE && has_preference {
            Self::High
        } else if share > MEDIUM_ABOVE_SHARE {
            Self::Medium
        } else {
            Self::Low
        }
    }

    /// Returns whether requests of this tier may be rejected because the expected wait is too long.
    pub fn may_be_shed(self) -> bool {
        self >= Self::Medium
    }

    /// Returns the position of the tier, 0 for the highest.
    pub fn index(self) -> usize {
        self as usize
    }
}

#[cfg(test)]
#[path = "../tests/unit/priority.rs"]
mod tests;
