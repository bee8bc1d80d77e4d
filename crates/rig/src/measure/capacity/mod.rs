//! What the design carries at the size that operators need.

pub mod fleet;
