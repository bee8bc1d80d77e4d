//! Keywords of values, for parsing and for printing.

use pumicehead_policy::{DedupScope, Discovery};

use crate::model::Protocol;

/// Values of `protocol`.
pub(crate) const PROTOCOL_VALUES: [(&str, Protocol); 2] =
    [("http", Protocol::Http), ("fastcgi", Protocol::FastCgi)];
/// First words of `discovery`.
pub(crate) const DISCOVERY_MODES: [(&str, Discovery); 2] =
    [("watch", Discovery::Poll), ("agent", Discovery::Push)];
/// Values of `hedge`.
pub(crate) const ON_OFF_VALUES: [(&str, bool); 2] = [("on", true), ("off", false)];
/// Values of `order`; true if requests with the same key are ordered.
pub(crate) const ORDER_VALUES: [(&str, bool); 2] = [("key", true), ("none", false)];
/// Values of `log-form`; true if log lines are JSON.
pub(crate) const LOG_FORMS: [(&str, bool); 2] = [("text", false), ("json", true)];
/// Groups of endpoints in `repeats keyed by HEADER within GROUP for SPAN`.
pub(crate) const DEDUP_SCOPES: [(&str, DedupScope); 3] =
    [("pool", DedupScope::All), ("zone", DedupScope::Zone), ("cell", DedupScope::Cell)];

/// The keyword of a value. The table must contain every value of its type.
pub(crate) fn keyword<T: PartialEq>(table: &[(&'static str, T)], value: &T) -> &'static str {
    let found = table.iter().find(|(_, known)| known == value);
    found.map(|(keyword, _)| *keyword).expect("the table contains every value of its type")
}
