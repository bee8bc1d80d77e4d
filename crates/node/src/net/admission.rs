//! What a request is, from its head: the one question that a front asks about the meaning of requests.

use std::borrow::Cow;
use std::net::IpAddr;

use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, StatusCode, Uri, Version};
use thiserror::Error;

use crate::net::exchange::ProxyRequest;
use crate::net::pool_handle::PoolHandle;

/// How answers are worded.
#[derive(Clone)]
pub enum ResponseStyle {
    /// As the platform has it: 200 with body and type, and advice in decimals.
    Platform,
    /// As RFC 9110 has it of a gateway: status, end-to-end fields and body of a server's answer, with this `Via`.
    Gateway(HeaderValue),
}

/// A request's head.
pub struct RequestHead<'a> {
    /// Method.
    pub method: &'a Method,
    /// Target.
    pub uri: &'a Uri,
    /// Version that the client speaks.
    pub version: Version,
    /// Fields; what is passed on is made of them.
    pub headers: HeaderMap,
    /// Where the client is.
    pub peer: IpAddr,
}

/// A request that is let in.
pub struct AdmittedRequest {
    /// The loop that it goes to.
    pub pool: PoolHandle,
    /// What that loop is told; its body is still to come.
    pub request: ProxyRequest,
    /// How it is answered.
    pub style: ResponseStyle,
    /// It must have no body.
    pub must_be_empty: bool,
}

/// A request that is not one, or has its answer without a server.
#[derive(Debug, Error)]
pub enum RequestError {
    /// A field.
    #[error("header {0} is missing or malformed")]
    InvalidHeader(Cow<'static, str>),
    /// No class or path of that name.
    #[error("no such class or path")]
    UnknownTarget,
    /// A target that could be read in two ways.
    #[error("{0}")]
    AmbiguousTarget(String),
    /// Not this method.
    #[error("method not allowed")]
    MethodNotAllowed(Vec<Method>),
    /// A method that is never passed on.
    #[error("method not implemented")]
    NotImplemented,
    /// Too long a body.
    #[error("body too long")]
    BodyTooLong,
    /// The body's end is missing.
    #[error("body broken off")]
    BodyIncomplete,
    /// The body took too long.
    #[error("body too slow")]
    BodyTimeout,
    /// It may hide another request in its body.
    #[error("Content-Length more than once or with Transfer-Encoding")]
    AmbiguousFraming,
    /// Its name is taken.
    #[error("a request with this X-Correlation-Id is open")]
    DuplicateId,
    /// No mistake: the node itself answers, with nothing more to say.
    #[error("")]
    LocalResponse(StatusCode),
}

impl RequestError {
    /// The status that tells of it.
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

    /// Whether where the request ends is not known, or not worth reading on for.
    pub fn closes_connection(&self) -> bool {
        matches!(self, Self::BodyTooLong | Self::BodyIncomplete | Self::BodyTimeout | Self::AmbiguousFraming)
    }
}

/// Knows what requests are.
pub trait Admission {
    /// What a request is.
    ///
    /// # Errors
    /// What is wrong with it, or the answer that it has already.
    fn admit(&self, head: RequestHead<'_>) -> Result<AdmittedRequest, RequestError>;
}
