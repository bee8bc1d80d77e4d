//! Endpoints that speak FastCGI. Client connections over FastCGI are in `downstream/fastcgi`.

mod connection;
mod outcome;
pub mod transport;
