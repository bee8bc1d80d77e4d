//! Client of the discovery service: the list of endpoints, and the watch that receives changes to it.

mod endpoint_list;
mod json_stream;
mod watch;

pub use endpoint_list::{EndpointList, ListedEndpoint, ListedState};
pub use watch::{AGENT_RETRY_DELAY, WatchError, watch};
