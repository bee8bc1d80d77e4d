//! A flight recorder, and the analysis of its recordings.
//!
//! [`recorder::Recorder`] records the events of a node in fixed memory: a ring of the newest events ([`event_ring`]), sampled
//! timelines of requests ([`reservoir`]) and exact totals of what was offered, earned and lost ([`loss_ledger`]).
//! [`recording`] is the file format. [`timeline_text`] describes a request, [`breakdown`] sums up losses, [`findings`]
//! attributes them, and [`export`] and [`html_report`] render recordings for other tools and as a web page.
//!
//! There is no I/O and no clock: events come with their times, in nanoseconds of the node's clock, which starts at the Unix
//! time of the process start and never jumps.

pub mod bounded_text;
pub mod breakdown;
pub mod code_tables;
mod decision_codec;
pub mod event;
mod event_codec;
pub mod event_ring;
pub mod export;
mod exported_names;
pub mod findings;
pub mod html_report;
mod ledger_rows;
pub mod log_rate_limit;
pub mod loss_cause;
pub mod loss_ledger;
pub mod metrics;
pub mod recorder;
pub mod recording;
pub mod request_progress;
pub mod request_timeline;
pub mod reservoir;
mod slot_table;
pub mod tenant_names;
pub mod timeline_text;
pub mod timestamp;
pub mod wire_format;
