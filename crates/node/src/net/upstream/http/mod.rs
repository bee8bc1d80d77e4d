//! The transport for endpoints that speak HTTP/1.1.

mod attempt;
mod attempt_timeout;
mod connection;
mod held_body;
mod idle_connections;
mod request;
pub mod response_reader;
pub mod transport;
