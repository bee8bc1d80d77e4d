//! Endpoints that speak HTTP/1.1.

pub mod response_reader;
pub mod transport;
