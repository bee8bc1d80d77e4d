//! The block `limits`.

use pumicehead_policy::SECOND;

use super::Checker;
use super::block_reader::BlockReader;
use super::values::{integer, within};
use crate::model::{Limits, Spanned};
use crate::units::{parse_duration, parse_size};

/// The default limits.
pub(super) fn default_limits() -> Limits {
    Limits {
        memory_bytes: 64 << 20,
        max_descriptors: 1_024,
        max_active_requests: 2_000,
        max_request_body_bytes: 64 << 10,
        max_response_body_bytes: 1 << 20,
        request_timeout: 10 * SECOND,
        idle_timeout: 60 * SECOND,
        max_retry_after: SECOND,
    }
}

impl Checker<'_> {
    pub(super) fn limits(&mut self, block: &BlockReader<'_>) -> Spanned<Limits> {
        let mut limits = default_limits();
        self.size(block, "memory", &mut limits.memory_bytes, "16MiB", "64GiB");
        self.count(block, "descriptors", &mut limits.max_descriptors, "128", "1000000");
        self.count(block, "held", &mut limits.max_active_requests, "1", "1000000");
        self.size(block, "request-body", &mut limits.max_request_body_bytes, "0B", "64MiB");
        self.size(block, "answer-body", &mut limits.max_response_body_bytes, "64KiB", "64MiB");
        self.duration(block, "request-time", &mut limits.request_timeout, "100ms", "10min");
        self.duration(block, "idle", &mut limits.idle_timeout, "1s", "1h");
        self.duration(block, "retry-after", &mut limits.max_retry_after, "1s", "1h");
        Spanned { value: limits, spans: block.spans.clone() }
    }

    /// Reads a size in bytes, if the setting is present.
    fn size(&mut self, block: &BlockReader<'_>, keyword: &str, value: &mut u64, min: &str, max: &str) {
        *value = self.parsed(block, keyword, *value, within(parse_size, min, max)).unwrap_or(*value);
    }

    /// Reads a whole number, if the setting is present.
    fn count(&mut self, block: &BlockReader<'_>, keyword: &str, value: &mut usize, min: &str, max: &str) {
        *value = self.parsed(block, keyword, *value, within(integer, min, max)).unwrap_or(*value);
    }

    /// Reads a duration in nanoseconds, if the setting is present.
    fn duration(&mut self, block: &BlockReader<'_>, keyword: &str, value: &mut u64, min: &str, max: &str) {
        *value = self.parsed(block, keyword, *value, within(parse_duration, min, max)).unwrap_or(*value);
    }
}
