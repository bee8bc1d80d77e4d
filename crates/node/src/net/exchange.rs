//! Requests and responses on their way between listeners, pool loops and transports, whatever the protocols.

use std::cell::Cell;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::{Method, StatusCode, Uri};
use pumicehead_admin::stats::RequestOutcome;
use pumicehead_policy::{Nanos, TenantId};

use crate::net::response_body::ResponseBody;
use crate::net::upload::Upload;

/// A request as it is sent to an endpoint.
#[derive(Default)]
pub struct UpstreamRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// End-to-end fields.
    pub headers: HeaderMap,
    /// The body, or the part of it that is buffered.
    pub body: Bytes,
    /// The rest of the body, where it is streamed.
    pub upload: Option<Rc<Upload>>,
    /// The client's address, for protocols that pass it on.
    pub client_ip: Option<IpAddr>,
    /// The client has its final response or has disconnected: an attempt that is not written must not be, whether
    /// attempts are cancelled or not. The pool loop alone sets it.
    pub finished: Cell<bool>,
}

/// A client's request, with what the decision module needs to know of it.
pub struct ProxyRequest {
    /// Unique among the active requests of a node.
    pub correlation_id: Box<str>,
    /// Index of its class.
    pub class: usize,
    /// Its tenant, where there are tenants.
    pub tenant: Option<TenantId>,
    /// Expected cost.
    pub cost_hint: Option<Nanos>,
    /// Requests of the same key are ordered.
    pub ordering_key: Option<Vec<u8>>,
    /// Revision of the configuration that it was admitted under, where there are several.
    pub revision: Option<u64>,
    /// How long the client waits from now on.
    pub time_left: Duration,
    /// How long it took to read the body.
    pub body_read_time: Duration,
    /// What is sent to an endpoint.
    pub upstream: UpstreamRequest,
}

/// An endpoint's response.
pub struct UpstreamResponse {
    /// Status.
    pub status: StatusCode,
    /// Fields.
    pub headers: HeaderMap,
    /// Body.
    pub body: ResponseBody,
}

/// The final response to a request.
pub enum FinalResponse {
    /// An endpoint's.
    Upstream(UpstreamResponse),
    /// The request was not executed; a retry is possible after this delay, where it is known.
    Rejected(Option<Nanos>),
    /// The request failed, and may have been executed.
    Failed,
    /// The request has failed since its deadline has passed.
    DeadlineExceeded,
    /// The client's body was too slow or incomplete while it was streamed.
    BodyIncomplete,
    /// The client's body proved too long while it was streamed.
    BodyTooLong,
    /// The client has disconnected and gets no response.
    ClientDisconnected,
}

impl FinalResponse {
    /// What it counts as.
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
