//! A flight recorder, and what is read from it.
//!
//! [`recorder::Recorder`] is told each decision of a node with its reason, in a fixed memory: a ring of the newest
//! events ([`event_ring`]), the whole stories of requests that matter ([`reservoir`]), and exact sums of what was asked, earned
//! and lost, by cause, server and moment ([`loss_ledger`]). [`recording`] is the file that all of it leaves the process in.
//! Reading: [`timeline_text`] tells one request in sentences, [`breakdown`] sums up what was lost, [`findings`] says why, and
//! [`export`] and [`html_report`] show it to other viewers and to people.
//!
//! Free of I/O and of clocks: events come with their times, in nanoseconds of the node's own clock, which counts from
//! the Unix time of its start and never jumps.

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
