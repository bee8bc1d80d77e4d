//! Shuffling with the random number generator of the state machine.

use rand_core::RngCore;

/// Shuffles in place (Fisher-Yates), with one random draw for each item except the first.
pub fn shuffle<T>(items: &mut [T], rng: &mut impl RngCore) {
    for last in (1..items.len()).rev() {
        items.swap(last, rng.next_u64() as usize % (last + 1));
    }
}
