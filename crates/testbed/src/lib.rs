//! Stand-in servers, scripted peers, faults and measurements. Everything stays on loopback, and the node never
//! depends on it.

pub mod board;
pub mod cli;
pub mod client;
pub mod departure;
pub mod gate;
pub mod hollow;
pub mod late;
pub mod measure;
pub mod parity;
pub mod program;
pub mod report;
pub mod scripted;
pub mod standin;
pub mod world;
