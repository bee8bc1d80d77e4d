//! Scripted peers of a node on the platform's protocol (backends, discovery, clients), and the node's process itself.
//!
//! These run on plain blocking sockets and threads, so that a test controls the order of events by itself.

mod backend;
mod client;
mod discovery;
mod load_clients;
mod message;
mod node_config;
mod node_process;
mod paced_response;

pub use crate::program::wait_for;
pub use backend::{Act, Backend, Gauge, answer, ok};
pub use client::{Client, request, request_with};
pub use discovery::{Discovery, host, list, refusing};
pub use load_clients::LoadClients;
pub use message::Message;
pub use node_config::{FleetPosition, Setup};
pub use node_process::{Node, run_with};
pub use paced_response::{Framing, PacedResponse};
