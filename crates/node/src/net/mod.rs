//! The request path: client connections, one event loop for each pool of endpoints, and connections to endpoints.
//!
//! All load-balancing decisions are made by `pumicehead-policy`; this module carries them out. A listener in
//! [`downstream`] reads a request, selects its pool through [`admission::Admission`], and sends it to that pool's
//! event loop through a [`pool_handle::PoolHandle`]. The [`pool_loop`] starts attempts through the
//! [`upstream::transport::Transport`] for the endpoints' protocol.

pub mod active_requests;
pub mod admin_overrides;
pub mod admission;
pub mod clock;
pub mod counting_stream;
pub mod discovery;
pub mod downstream;
pub mod endpoint_directory;
pub mod exchange;
pub mod header_fields;
pub mod memory_budget;
pub mod pool_handle;
pub mod pool_loop;
mod pool_message;
pub mod recorder_sink;
pub mod response_body;
pub mod response_commit;
pub mod upload;
pub mod upstream;
