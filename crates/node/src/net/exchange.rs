//! Protocol-independent requests and responses that listeners, pool loops and transports exchange.

use std::cell::Cell;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::{Method, StatusCode, Uri};
use pumicehead_admin::stats::RequestOutcome;
use pumicehead_policy::{Nanos, TenantId};
use tokio::time::Instant;

use crate::net::response_body::ResponseBody;
use crate::net::upload::Upload;

/// A request to send to an endpoint.
#[derive(Default)]
pub struct UpstreamRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// End-to-end header fields.
    pub headers: HeaderMap,
    /// The complete body, or its buffered part if the rest is streamed.
    pub body: Bytes,
    /// The rest of the body, if it is streamed.
    pub upload: Option<Rc<Upload>>,
    /// The client's address, for protocols that forward it.
    pub client_ip: Option<IpAddr>,
    /// Set once the final response has been given or the client has disconnected. An attempt that has not written the
    /// request by then must not write it, even if the attempt is not cancelled. Only the pool loop sets it.
    pub finished: Cell<bool>,
}

/// A client's request, with the metadata that the decision module needs.
pub struct ProxyRequest {
    /// Correlation id, unique among the active requests of a node.
    pub correlation_id: Box<str>,
    /// Index of the request's class.
    pub class: usize,
    /// The request's tenant, if tenants are configured.
    pub tenant: Option<TenantId>,
    /// Expected cost, if known.
    pub cost_hint: Option<Nanos>,
    /// Requests with the same key are kept in order.
    pub ordering_key: Option<Vec<u8>>,
    /// Revision of the configuration under which the request was admitted, if the configuration has revisions.
    pub revision: Option<u64>,
    /// When its last byte arrived, as far as the body was read completely. Its deadline counts from this time.
    pub received_at: Instant,
    /// How long the client waits from then on.
    pub time_left: Duration,
    /// Time taken to read the body.
    pub body_read_time: Duration,
    /// The request to send to an endpoint.
    pub upstream: UpstreamRequest,
}

/// An endpoint's response.
pub struct UpstreamResponse {
    /// Status.
    pub status: StatusCode,
    /// Header fields.
    pub headers: HeaderMap,
    /// Body.
    pub body: ResponseBody,
}

/// The final response to a request.
pub enum FinalResponse {
    /// The response of an endpoint.
    Upstream(UpstreamResponse),
    /// The request was not executed. The client may retry it after this delay, if one is known.
    Rejected(Option<Nanos>),
    /// The request failed and may have been executed.
    Failed,
    /// The request failed because its deadline has passed.
    DeadlineExceeded,
    /// The client's body was too slow or incomplete while it was streamed to an endpoint.
    BodyIncomplete,
    /// The client's body exceeded the size limit while it was streamed to an endpoint.
    BodyTooLong,
    /// The client has disconnected, so no response is sent.
    ClientDisconnected,
}

impl FinalResponse {
    /// Returns the outcome under which the statistics count the request.
    pub fn outcome(&self) -> RequestOutcome {
        match self {
            Self::Upstream(response) if response.status.is_server_error() => RequestOutcome::Failed,
            Self::Upstream(_) => RequestOutcome::Completed,
            Self::Rejected(_) => RequestOutcome::Rejected,
            Self::Failed
            | Self::DeadlineExceeded
            | Self::BodyIncomplete
            | Self::BodyTooLong
            | Self::ClientDisconnected => RequestOutcome::Failed,
        }
    }
}
