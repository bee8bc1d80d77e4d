//! Hashing of ids, and positions of nodes on the endpoint ring.

/// Mixes the bits of a number (the finalizer of SplitMix64, a 64-bit hash).
#[must_use]
pub fn mix64(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Fractional part of the golden ratio.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_895;

/// Returns a node's position on a ring of `positions`. Multiples of the golden ratio are spread evenly, and
/// so is any run of consecutive ones, such as the nodes of one zone.
#[must_use]
pub fn node_position(node: u32, positions: usize) -> usize {
    ((f64::from(node) * GOLDEN_RATIO_FRACTION).fract() * positions as f64) as usize
}
