//! The blocks `class` and `tenant`.

use super::Checker;
use super::block_reader::BlockReader;
use super::values::{header_name, within};
use crate::diagnostic::Diagnostic;
use crate::keywords::{DEDUP_SCOPES, ORDER_VALUES};
use crate::model::{Class, ClassSettings, Idempotency, Tenant};
use crate::units::{format_duration, parse_duration, parse_number, parse_rate, parse_share};

/// First words of `repeats`.
#[derive(Clone, Copy)]
enum RepeatsKind {
    Safe,
    Unsafe,
    Keyed,
}

const REPEATS_KINDS: [(&str, RepeatsKind); 3] =
    [("safe", RepeatsKind::Safe), ("unsafe", RepeatsKind::Unsafe), ("keyed", RepeatsKind::Keyed)];

impl Checker<'_> {
    pub(super) fn class(&mut self, block: &BlockReader<'_>) -> Option<Class> {
        let latency_objective = self.required(block, "aim", within(parse_duration, "1ms", "10min"));
        let deadline = self.required(block, "deadline", within(parse_duration, "10ms", "10min"));
        if let (Some(objective), Some(deadline)) = (latency_objective, deadline)
            && objective > deadline
        {
            let (aim, deadline) = (format_duration(objective), format_duration(deadline));
            let message = format!("`aim` is {aim}, longer than `deadline`, {deadline}");
            let spans = &block.spans.settings;
            let diagnostic = Diagnostic::error("aim-over-deadline", spans["aim"], message);
            self.report(diagnostic.note(spans["deadline"], "the deadline is here"));
        }
        let priority_weight = self.parsed(block, "worth", 1.0, within(parse_number, "0", "1000000"));
        let late_weight = self.parsed(block, "late-worth", 0.0, parse_share);
        let idempotency = self.idempotency(block);
        let ordered_by_key =
            self.choice_or(block, "order", "is not a value of `order`", &ORDER_VALUES, false);
        let settings = ClassSettings {
            latency_objective: latency_objective?,
            deadline: deadline?,
            priority_weight: priority_weight?,
            late_weight: late_weight?,
            idempotency: idempotency?,
            ordered_by_key: ordered_by_key?,
        };
        Some(Class { name: block.name.clone(), settings, spans: block.spans.clone() })
    }

    /// Reads `repeats`. It has no default: `safe` could repeat requests with side effects, and `unsafe` would
    /// silently disable retries.
    fn idempotency(&mut self, block: &BlockReader<'_>) -> Option<Idempotency> {
        let Some(values) = self.values(block, "repeats").ok()? else {
            self.report_missing(block, "repeats");
            return None;
        };
        let kind = self.choice(&values[0], "is none of `safe`, `keyed` and `unsafe`", &REPEATS_KINDS)?;
        let idempotency = match kind {
            RepeatsKind::Keyed => return self.idempotency_key(block),
            RepeatsKind::Safe => Idempotency::Idempotent,
            RepeatsKind::Unsafe => Idempotency::NotIdempotent,
        };
        if let Some(extra) = values.get(1) {
            let message = format!("`repeats {}` takes no further values", values[0].text);
            self.report(Diagnostic::error("too-many-values", extra.span, message));
            return None;
        }
        Some(idempotency)
    }

    fn idempotency_key(&mut self, block: &BlockReader<'_>) -> Option<Idempotency> {
        let words = self.values_of_form(block, "repeats", "keyed by HEADER within GROUP for SPAN").ok()??;
        let header = self.read(&words[0], header_name);
        let scope = self.choice(&words[1], "is not a group of servers", &DEDUP_SCOPES);
        let window = self.read(&words[2], within(parse_duration, "1s", "30d"));
        Some(Idempotency::IdempotencyKey { header: header?, scope: scope?, window: window? })
    }

    pub(super) fn tenant(&mut self, block: &BlockReader<'_>) -> Option<Tenant> {
        let share = self.required(block, "share", parse_share);
        let rate = self.required(block, "rate", parse_rate);
        let (name, spans) = (block.name.clone(), block.spans.clone());
        Some(Tenant { name, share: share?, allowance_per_s: rate?, spans })
    }
}
