//! The discovery service: its list of endpoints, and the watch that brings changes of it.

mod endpoint_list;
mod json_stream;
mod watch;

pub use endpoint_list::{EndpointList, ListedEndpoint, ListedState};
pub use watch::{AGENT_RETRY_DELAY, WatchError, watch};
