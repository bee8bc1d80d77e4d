//! Admin interface of a running node: its commands, its statistics, and the backends that operators have disabled.
//!
//! Free of I/O and of clocks: lines and texts come in and go out, and the caller passes Unix milliseconds of one machine's
//! clock. The node owns the socket (`admin_listener`) and the state file (`platform/state_file`).

pub mod command;
pub mod disabled_backends;
pub mod known_backends;
pub mod stats;
