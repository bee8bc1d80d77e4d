//! Hollow nodes: members of a fleet without traffic or servers, many of them in one process.
//!
//! A hollow node runs the membership machine of `pumicehead-membership` as it is, over sockets of its own on loopback. Only the
//! driver is not the node's, which is bound to the node's log and recorder. The driver here does the same in the same order,
//! with the same limits on streams; `measure::capacity::fleet` verifies it by counting what hollow nodes and real processes send
//! in one fleet, at their peers.
//!
//! - `counts`: messages by kind, counted where they arrive;
//! - `node`: the hollow node, and `stream`, its part over TCP;
//! - `process`: real nodes as processes that end with this one;
//! - `mixed`: a fleet of both; `event_loops`, the threads of its hollow nodes.

pub mod counts;
mod event_loops;
pub mod mixed;
pub mod node;
pub mod process;
mod stream;
