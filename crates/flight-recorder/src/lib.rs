//! A flight recorder, and what is read from it.
//!
//! [`recorder::Recorder`] is told each decision of a node with its reason, in a fixed memory: a ring of the newest
//! events ([`ring`]), the whole stories of requests that matter ([`reservoir`]), and exact sums of what was asked, earned
//! and lost, by cause, server and moment ([`account`]). [`dump`] is the file that all of it leaves the process in.
//! Reading: [`story`] tells one request in sentences, [`breakdown`] sums up what was lost, [`cause`] says why, and
//! [`export`] and [`page`] show it to other viewers and to people.
//!
//! Free of I/O and of clocks: events come with their times, in nanoseconds of the node's own clock, which counts from
//! the Unix time of its start and never jumps.

pub mod account;
pub mod breakdown;
pub mod bytes;
pub mod cause;
pub mod dump;
pub mod event;
pub mod export;
mod export_names;
pub mod kept;
pub mod loss;
pub mod metrics;
pub mod moment;
pub mod page;
pub mod quota;
pub mod recorder;
pub mod reservoir;
pub mod ring;
pub mod story;
pub mod tenant_names;
pub mod text;
