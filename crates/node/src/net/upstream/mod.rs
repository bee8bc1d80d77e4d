//! Connections to endpoints: the transport interface for attempts, and an implementation for each protocol.

mod connect;
pub mod connection_registry;
pub mod fastcgi;
pub mod http;
pub mod response_classification;
pub mod response_hold;
mod response_report;
pub mod transport;
