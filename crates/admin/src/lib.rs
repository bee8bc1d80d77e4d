//! Admin interface of a running node: commands, statistics, and the backends that operators have disabled.
//!
//! The crate does no I/O and reads no clock: it parses command lines and produces reply texts, and the caller passes the
//! time in Unix milliseconds, always from the clock of the same machine. The node owns the socket (`admin_listener`) and the
//! state file (`platform/state_file`).

pub mod command;
pub mod disabled_backends;
pub mod known_backends;
pub mod stats;
