//! Random orders from the generator of the state machine.

use rand_core::RngCore;

/// Shuffles in place (Fisher-Yates): one draw for each item but the first.
pub fn shuffle<T>(items: &mut [T], rng: &mut impl RngCore) {
    for last in (1..items.len()).rev() {
        items.swap(last, rng.next_u64() as usize % (last + 1));
    }
}
