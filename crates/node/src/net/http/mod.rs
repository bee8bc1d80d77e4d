//! Servers that speak HTTP/1.1.

pub mod answer;
pub mod upstream;
