//! The interface that decides, from a request's head, which pool it goes to or how it is answered without one.

use std::borrow::Cow;
use std::net::IpAddr;

use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, StatusCode, Uri, Version};
use thiserror::Error;

use crate::net::exchange::ProxyRequest;
use crate::net::pool_handle::PoolHandle;

/// How final responses are worded.
#[derive(Clone)]
pub enum ResponseStyle {
    /// The platform's: status 200 with body and type alone, and `Retry-After` in decimals.
    Platform,
    /// A gateway's (RFC 9110): status, end-to-end fields and body of the endpoint's response, with this `Via`.
    Gateway(HeaderValue),
}

/// The head of a request.
pub struct RequestHead<'a> {
    /// Method.
    pub method: &'a Method,
    /// Target.
    pub uri: &'a Uri,
    /// The client's version of HTTP.
    pub version: Version,
    /// Fields; those that are forwarded are made of them.
    pub headers: HeaderMap,
    /// The client's address.
    pub client_ip: IpAddr,
}

/// A request that is admitted.
pub struct AdmittedRequest {
    /// The pool that it goes to.
    pub pool: PoolHandle,
    /// The request, without its body.
    pub request: ProxyRequest,
    /// How it is answered.
    pub style: ResponseStyle,
    /// It is rejected if it has a body.
    pub requires_empty_body: bool,
}

/// Why a request is answered without a pool.
#[derive(Debug, Error)]
pub enum RequestError {
    /// A field is missing or malformed.
    #[error("header {0} is missing or malformed")]
    InvalidHeader(Cow<'static, str>),
    /// There is no class or path of that name.
    #[error("no such class or path")]
    UnknownTarget,
    /// The target could be understood in two ways.
    #[error("{0}")]
    AmbiguousTarget(String),
    /// The target does not allow the method; these are allowed.
    #[error("method not allowed")]
    MethodNotAllowed(Vec<Method>),
    /// The method is never forwarded.
    #[error("method not implemented")]
    NotImplemented,
    /// The body is too long.
    #[error("body too long")]
    BodyTooLong,
    /// The end of the body is missing.
    #[error("body broken off")]
    BodyIncomplete,
    /// The body took too long.
    #[error("body too slow")]
    BodyTimeout,
    /// The body may hide another request.
    #[error("Content-Length more than once or with Transfer-Encoding")]
    AmbiguousFraming,
    /// Another active request has its correlation id.
    #[error("a request with this X-Correlation-Id is open")]
    DuplicateId,
    /// No error: the node answers with this status.
    #[error("")]
    LocalResponse(StatusCode),
}

impl RequestError {
    /// The status of the response.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::InvalidHeader(_)
            | Self::BodyIncomplete
            | Self::AmbiguousFraming
            | Self::AmbiguousTarget(_) => StatusCode::BAD_REQUEST,
            Self::DuplicateId => StatusCode::CONFLICT,
            Self::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::UnknownTarget => StatusCode::NOT_FOUND,
            Self::MethodNotAllowed(_) => StatusCode::METHOD_NOT_ALLOWED,
            Self::NotImplemented => StatusCode::NOT_IMPLEMENTED,
            Self::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Self::LocalResponse(status) => *status,
        }
    }

    /// Whether the connection closes with the response: the end of the request is unknown, or too far to read on.
    pub fn closes_connection(&self) -> bool {
        matches!(self, Self::BodyTooLong | Self::BodyIncomplete | Self::BodyTimeout | Self::AmbiguousFraming)
    }
}

/// Admits requests.
pub trait Admission {
    /// Decides which pool a request goes to.
    ///
    /// # Errors
    /// What is wrong with the request, or the response that needs no pool.
    fn admit(&self, head: RequestHead<'_>) -> Result<AdmittedRequest, RequestError>;
}
