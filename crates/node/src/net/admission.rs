//! The interface that decides, from the head of a request, to which pool it is sent or how it is answered without a
//! pool.

use std::borrow::Cow;
use std::net::IpAddr;

use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, StatusCode, Uri, Version};
use thiserror::Error;

use crate::net::exchange::ProxyRequest;
use crate::net::pool_handle::PoolHandle;

/// Format of final responses.
#[derive(Clone)]
pub enum ResponseStyle {
    /// The platform's format: status 200 with the body and its `Content-Type` only, and `Retry-After` in decimal
    /// seconds.
    Platform,
    /// The format of a gateway (RFC 9110): status, end-to-end fields and body of the endpoint's response, with this
    /// `Via` entry.
    Gateway(HeaderValue),
}

/// The head of a request.
pub struct RequestHead<'a> {
    /// Method.
    pub method: &'a Method,
    /// Request target.
    pub uri: &'a Uri,
    /// HTTP version of the client.
    pub version: Version,
    /// Header fields, from which the forwarded fields are derived.
    pub headers: HeaderMap,
    /// The client's address.
    pub client_ip: IpAddr,
}

/// An admitted request.
pub struct AdmittedRequest {
    /// The pool to which the request is sent.
    pub pool: PoolHandle,
    /// The request, without its body.
    pub request: ProxyRequest,
    /// Format of its response.
    pub style: ResponseStyle,
    /// Whether the request is rejected if it has a body.
    pub requires_empty_body: bool,
}

/// Why a request is answered without being sent to a pool.
#[derive(Debug, Error)]
pub enum RequestError {
    /// A header field is missing or malformed.
    #[error("header {0} is missing or malformed")]
    InvalidHeader(Cow<'static, str>),
    /// No class or path with this name exists.
    #[error("no such class or path")]
    UnknownTarget,
    /// The request target is ambiguous.
    #[error("{0}")]
    AmbiguousTarget(String),
    /// The target does not allow the method, only these methods.
    #[error("method not allowed")]
    MethodNotAllowed(Vec<Method>),
    /// The method is never forwarded.
    #[error("method not implemented")]
    NotImplemented,
    /// The body is too long.
    #[error("body too long")]
    BodyTooLong,
    /// The body is incomplete.
    #[error("body broken off")]
    BodyIncomplete,
    /// The body was not received in time.
    #[error("body too slow")]
    BodyTimeout,
    /// There was no memory for the body in time.
    #[error("no memory left for the body")]
    NoMemory,
    /// The end of the body is ambiguous, so that the body may contain another request.
    #[error("Content-Length more than once or with Transfer-Encoding")]
    AmbiguousFraming,
    /// Another active request has the same correlation id.
    #[error("a request with this X-Correlation-Id is open")]
    DuplicateId,
    /// Not an error: the node itself responds with this status.
    #[error("")]
    LocalResponse(StatusCode),
}

impl RequestError {
    /// Returns the status of the response.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::InvalidHeader(_)
            | Self::BodyIncomplete
            | Self::AmbiguousFraming
            | Self::AmbiguousTarget(_) => StatusCode::BAD_REQUEST,
            Self::DuplicateId => StatusCode::CONFLICT,
            Self::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::UnknownTarget => StatusCode::NOT_FOUND,
            Self::NoMemory => StatusCode::SERVICE_UNAVAILABLE,
            Self::MethodNotAllowed(_) => StatusCode::METHOD_NOT_ALLOWED,
            Self::NotImplemented => StatusCode::NOT_IMPLEMENTED,
            Self::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Self::LocalResponse(status) => *status,
        }
    }

    /// Whether the connection is closed after the response, because the end of the request is unknown, or too far
    /// away to read up to it.
    pub fn closes_connection(&self) -> bool {
        matches!(
            self,
            Self::BodyTooLong
                | Self::BodyIncomplete
                | Self::BodyTimeout
                | Self::NoMemory
                | Self::AmbiguousFraming
        )
    }
}

/// Admits requests.
pub trait Admission {
    /// Selects the pool of a request.
    ///
    /// # Errors
    /// Why the request is rejected, or the status of a response that needs no pool.
    fn admit(&self, head: RequestHead<'_>) -> Result<AdmittedRequest, RequestError>;
}
