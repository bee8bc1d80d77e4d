//! Hashing of ids, and the ring on which nodes take their endpoints.

/// Spreads the bits of a number (the finalizer of a 64-bit hash).
#[must_use]
pub fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// The golden ratio less 1.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;

/// Returns a node's position on a ring of `of` positions. Multiples of the golden ratio are spread evenly,
/// and so is any run of them, such as the nodes of one zone.
#[must_use]
pub fn ring(node: u32, of: usize) -> usize {
    ((f64::from(node) * GOLDEN_RATIO).fract() * of as f64) as usize
}
