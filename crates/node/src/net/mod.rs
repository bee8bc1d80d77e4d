//! The real node: sockets in, sockets out. Decides nothing; every decision is the module's.

pub mod config;
pub mod core;
pub mod discovery;
pub mod front;
pub mod link;
pub mod upstream;
