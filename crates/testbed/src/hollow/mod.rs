//! Hollow nodes: members of a fleet without traffic or servers, many of them in one process.
//!
//! A hollow node runs the membership state machine of `pumicehead-membership` unchanged, over sockets of its own on loopback.
//! It does not use the real node's driver, which depends on the node's log and recorder. The driver here does the same steps in
//! the same order, with the same limits on streams; `measure::capacity::fleet` verifies this by comparing the messages that
//! peers receive from hollow nodes and from real processes in one fleet.
//!
//! - `counts`: message counters by kind, at the receiver;
//! - `node`: the hollow node, and `stream`, its exchanges over TCP;
//! - `process`: real nodes as child processes that are killed when this process ends;
//! - `mixed`: a fleet of both; `event_loops`, the threads of its hollow nodes.

pub mod counts;
mod event_loops;
pub mod mixed;
pub mod node;
pub mod process;
mod stream;
