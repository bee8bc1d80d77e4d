//! Servers that speak FastCGI. The front that does is `front/fastcgi`.

mod connection;
mod ending;
pub mod upstream;
