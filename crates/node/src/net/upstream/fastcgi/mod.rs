//! The transport for endpoints that speak FastCGI. Client connections over FastCGI are in `downstream/fastcgi`.

mod connection;
mod connector;
mod driver;
mod endpoint_connections;
mod outcome;
mod pending_request;
pub mod transport;
