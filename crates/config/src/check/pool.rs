//! The block `pool`.

use pumicehead_policy::{Nanos, SECOND};

use super::Checker;
use super::block_reader::BlockReader;
use super::values::{integer, within};
use crate::diagnostic::Diagnostic;
use crate::keywords::ON_OFF_VALUES;
use crate::model::{Node, Pool, PoolSettings, Protocol};
use crate::units::{ValueError, parse_duration, parse_number, parse_share};

const MILLISECOND: Nanos = SECOND / 1_000;
const DEFAULT_WARMUP_DURATION: Nanos = 30 * SECOND;
const DEFAULT_WARMUP_INITIAL_FRACTION: f64 = 0.1;
const DEFAULT_OVERLOAD_MULTIPLE: f64 = 2.0;
const DEFAULT_OVERLOAD_DURATION: Nanos = 2 * SECOND;
const DEFAULT_CONNECT_TIMEOUT: Nanos = 250 * MILLISECOND;
const DEFAULT_IDLE_TIMEOUT: Nanos = 15 * SECOND;
const DEFAULT_MAX_ATTEMPTS: u32 = 3;
const DEFAULT_CROSS_ZONE_COST: f64 = 0.01;

/// The setting `warm-up SPAN from SHARE`.
struct Warmup {
    duration: Nanos,
    initial_fraction: f64,
}

/// The setting `tips-over MULTIPLE within SPAN`.
struct Overload {
    multiple: f64,
    duration: Nanos,
}

impl Checker<'_> {
    pub(super) fn pool(&mut self, block: &BlockReader<'_>, node: &Node) -> Option<Pool> {
        let protocol = self.protocol(block);
        let script_name = self.fastcgi_path(block, "script", protocol);
        let document_root = self.fastcgi_path(block, "root", protocol);
        let endpoints = self.endpoints(block, node, protocol);
        let warmup = self.warmup(block);
        let overload = self.overload(block);
        let time = |min, max| within(parse_duration, min, max);
        let connect_timeout =
            self.parsed(block, "connect-timeout", DEFAULT_CONNECT_TIMEOUT, time("1ms", "1min"));
        let idle_timeout = self.parsed(block, "idle", DEFAULT_IDLE_TIMEOUT, time("100ms", "1h"));
        let max_attempts =
            self.parsed(block, "attempts", DEFAULT_MAX_ATTEMPTS, within(integer::<u32>, "1", "10"));
        let concurrent_attempts =
            self.choice_or(block, "hedge", "is neither `on` nor `off`", &ON_OFF_VALUES, true);
        let cross_zone_cost = self.parsed(block, "crossing-price", DEFAULT_CROSS_ZONE_COST, parse_share);
        let (warmup, overload) = (warmup?, overload?);
        let settings = PoolSettings {
            protocol: protocol?,
            script_name: script_name?,
            document_root: document_root?,
            warmup_duration: warmup.duration,
            warmup_initial_fraction: warmup.initial_fraction,
            overload_multiple: overload.multiple,
            overload_duration: overload.duration,
            connect_timeout: connect_timeout?,
            idle_timeout: idle_timeout?,
            max_attempts: max_attempts?,
            concurrent_attempts: concurrent_attempts?,
            cross_zone_cost: cross_zone_cost?,
        };
        Some(Pool { name: block.name.clone(), endpoints: endpoints?, settings, spans: block.spans.clone() })
    }

    fn warmup(&mut self, block: &BlockReader<'_>) -> Option<Warmup> {
        let Some(words) = self.values_of_form(block, "warm-up", "SPAN from SHARE").ok()? else {
            return Some(Warmup {
                duration: DEFAULT_WARMUP_DURATION,
                initial_fraction: DEFAULT_WARMUP_INITIAL_FRACTION,
            });
        };
        let duration = self.read(&words[0], within(parse_duration, "0s", "1h"));
        let initial_fraction = self.read(&words[1], within(parse_share, "1%", "100%"));
        Some(Warmup { duration: duration?, initial_fraction: initial_fraction? })
    }

    fn overload(&mut self, block: &BlockReader<'_>) -> Option<Overload> {
        let Some(words) = self.values_of_form(block, "tips-over", "MULTIPLE within SPAN").ok()? else {
            return Some(Overload {
                multiple: DEFAULT_OVERLOAD_MULTIPLE,
                duration: DEFAULT_OVERLOAD_DURATION,
            });
        };
        let multiple = self.read(&words[0], within(parse_number, "1", "1000"));
        let duration = self.read(&words[1], within(parse_duration, "100ms", "10min"));
        Some(Overload { multiple: multiple?, duration: duration? })
    }

    /// A path that only FastCGI pools have; empty if it is not set.
    fn fastcgi_path(
        &mut self,
        block: &BlockReader<'_>,
        keyword: &str,
        protocol: Option<Protocol>,
    ) -> Option<String> {
        let path = self.parsed(block, keyword, String::new(), |text| parse_fastcgi_path(keyword, text));
        if let (Some(&span), Some(Protocol::Http)) = (block.spans.settings.get(keyword), protocol) {
            let message = format!("`{keyword}` is only allowed in pools with `protocol fastcgi`");
            self.report(Diagnostic::error("wrong-protocol", span, message));
            return None;
        }
        path
    }
}

fn parse_fastcgi_path(keyword: &str, text: &str) -> Result<String, ValueError> {
    if text.starts_with('/') && !text.ends_with('/') && !text.split('/').any(|part| part == "..") {
        return Ok(text.to_owned());
    }
    Err(ValueError {
        code: "bad-path",
        message: format!("`{text}` is not a valid path for `{keyword}`"),
        help: Some("write a path such as `/app`, without a trailing slash and without `..`".into()),
    })
}
