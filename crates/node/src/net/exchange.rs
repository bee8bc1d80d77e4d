//! Requests and their answers, as all rooms know them. No protocol here.

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

/// A request as it goes on to a server.
#[derive(Default)]
pub struct UpstreamRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// Body, or as much of it as is held.
    pub body: Bytes,
    /// The rest of it.
    pub upload: Option<Rc<Upload>>,
    /// Where the client is, for protocols that tell servers.
    pub client_ip: Option<IpAddr>,
    /// The client has its final answer or has left: what is not written yet stays unwritten, whatever the settings say of
    /// calling attempts back. The event loop alone sets it.
    pub finished: Cell<bool>,
}

/// A client's request with what the module wants to know of it.
pub struct ProxyRequest {
    /// A name for it that no other open request has.
    pub correlation_id: Box<str>,
    /// Class.
    pub class: usize,
    /// Tenant, where there are tenants.
    pub tenant: Option<TenantId>,
    /// Expected work.
    pub cost_hint: Option<Nanos>,
    /// What it is about.
    pub ordering_key: Option<Vec<u8>>,
    /// The revision of the configuration that it was admitted under, where there are several.
    pub revision: Option<u64>,
    /// How long the client waits from now on.
    pub time_left: Duration,
    /// How long its body took to come.
    pub body_read_time: Duration,
    /// What goes on to a server.
    pub upstream: UpstreamRequest,
}

/// A server's whole answer.
pub struct UpstreamResponse {
    /// Its status.
    pub status: StatusCode,
    /// Its fields.
    pub headers: HeaderMap,
    /// Its body.
    pub body: ResponseBody,
}

/// A final answer.
pub enum FinalResponse {
    /// A server's.
    Upstream(UpstreamResponse),
    /// Come back later; nothing happened.
    Rejected(Option<Nanos>),
    /// It failed, with no promise.
    Failed,
    /// It failed since its time is up.
    DeadlineExceeded,
    /// Its body was too slow or broke off on its way to a server.
    BodyIncomplete,
    /// Its body proved too long on its way to a server.
    BodyTooLong,
    /// Its client has left: nobody hears this.
    ClientDisconnected,
}

impl FinalResponse {
    /// What it counts as.
    pub fn outcome(&self) -> RequestOutcome {
        match self {
            Self::Upstream(served) if served.status.is_server_error() => RequestOutcome::Failed,
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
