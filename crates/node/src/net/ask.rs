//! Requests and their answers, as all rooms know them. No protocol here.

use std::cell::Cell;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::{Method, StatusCode, Uri};
use pumicehead_admin::figures::Outcome;
use pumicehead_policy::{Nanos, TenantId};

use super::body::Body;
use super::upload::Upload;

/// A request as it goes on to a server.
#[derive(Default)]
pub struct Call {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// Body, or as much of it as is held.
    pub body: Bytes,
    /// The rest of it.
    pub rest: Option<Rc<Upload>>,
    /// Where the client is, for protocols that tell servers.
    pub peer: Option<IpAddr>,
    /// The client has its final answer or has left: what is not written yet stays unwritten, whatever the settings say of
    /// calling attempts back. The event loop alone sets it.
    pub over: Cell<bool>,
}

/// A client's request with what the module wants to know of it.
pub struct Ask {
    /// A name for it that no other open request has.
    pub correlation: Box<str>,
    /// Class.
    pub class: usize,
    /// Tenant, where there are tenants.
    pub tenant: Option<TenantId>,
    /// Expected work.
    pub hint: Option<Nanos>,
    /// What it is about.
    pub key: Option<Vec<u8>>,
    /// The revision of the configuration that it was admitted under, where there are several.
    pub revision: Option<u64>,
    /// How long the client waits from now on.
    pub left: Duration,
    /// How long its body took to come.
    pub sending: Duration,
    /// What goes on to a server.
    pub call: Call,
}

/// A server's whole answer.
pub struct Served {
    /// Its status.
    pub status: StatusCode,
    /// Its fields.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Body,
}

/// A final answer.
pub enum Answer {
    /// A server's.
    Served(Served),
    /// Come back later; nothing happened.
    Refused(Option<Nanos>),
    /// It failed, with no promise.
    Failed,
    /// It failed since its time is up.
    Late,
    /// Its body was too slow or broke off on its way to a server.
    Broken,
    /// Its body proved too long on its way to a server.
    TooLong,
    /// Its client has left: nobody hears this.
    Left,
}

impl Answer {
    /// What it counts as.
    pub fn outcome(&self) -> Outcome {
        match self {
            Self::Served(served) if served.status.is_server_error() => Outcome::Failed,
            Self::Served(_) => Outcome::Completed,
            Self::Refused(_) => Outcome::Rejected,
            Self::Failed | Self::Late | Self::Broken | Self::TooLong | Self::Left => Outcome::Failed,
        }
    }
}
