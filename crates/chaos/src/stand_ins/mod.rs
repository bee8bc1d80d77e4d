//! Processes that stand in for endpoints and discovery. They write events to standard output, one JSON object per line, and
//! read messages from standard input.

mod bursts;
mod discovery;
mod endpoint;
mod http_head;
mod malformed;
mod messages;

pub use discovery::run_discovery;
pub use endpoint::{EndpointArgs, run_endpoint};
pub use messages::{DiscoveryChange, ListenAddresses, PLATFORM_ID_HEADER, REQUEST_ID_HEADER};
