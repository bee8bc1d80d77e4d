//! Converts final responses to HTTP messages for clients.

use bytes::Bytes;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Response, StatusCode};
use pumicehead_policy::{Nanos, SECOND};

use crate::net::admission::{RequestError, ResponseStyle};
use crate::net::exchange::{FinalResponse, UpstreamResponse};
use crate::net::response_body::ResponseBody;

/// Returns the message for a final response.
pub fn from_final(style: &ResponseStyle, response: FinalResponse) -> Response<ResponseBody> {
    match response {
        FinalResponse::Upstream(upstream) => from_upstream(style, upstream),
        FinalResponse::Rejected(retry_after) => rejection(style, retry_after),
        FinalResponse::Failed | FinalResponse::ClientDisconnected => plain(StatusCode::BAD_GATEWAY, ""),
        FinalResponse::DeadlineExceeded => plain(StatusCode::GATEWAY_TIMEOUT, ""),
        FinalResponse::BodyIncomplete => error(&RequestError::BodyTimeout),
        FinalResponse::BodyTooLong => error(&RequestError::BodyTooLong),
    }
}

fn from_upstream(style: &ResponseStyle, upstream: UpstreamResponse) -> Response<ResponseBody> {
    let UpstreamResponse { status, headers, body } = upstream;
    let mut response = Response::new(body);
    match style {
        ResponseStyle::Platform => {
            if let Some(content_type) = headers.get(header::CONTENT_TYPE) {
                response.headers_mut().insert(header::CONTENT_TYPE, content_type.clone());
            }
        }
        ResponseStyle::Gateway(via) => {
            *response.status_mut() = status;
            *response.headers_mut() = headers;
            response.headers_mut().append(header::VIA, via.clone());
        }
    }
    response
}

/// Returns the message for a request that is not admitted.
pub fn error(error: &RequestError) -> Response<ResponseBody> {
    let mut response = plain(error.status(), &error.to_string());
    if let RequestError::MethodNotAllowed(allowed) = error
        && !allowed.is_empty()
    {
        let names: Vec<_> = allowed.iter().map(Method::as_str).collect();
        insert(response.headers_mut(), header::ALLOW, &names.join(", "));
    }
    if error.closes_connection() {
        close(&mut response);
    }
    response
}

/// Returns the message for a request that was rejected and had no effect.
pub fn rejection(style: &ResponseStyle, retry_after: Option<Nanos>) -> Response<ResponseBody> {
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "");
    if let Some(delay) = retry_after {
        let seconds = match style {
            ResponseStyle::Platform => format!("{:.3}", delay as f64 / SECOND as f64),
            // Whole seconds (RFC 9110 section 10.2.3), rounded up.
            ResponseStyle::Gateway(_) => delay.div_ceil(SECOND).max(1).to_string(),
        };
        insert(response.headers_mut(), header::RETRY_AFTER, &seconds);
    }
    response
}

fn insert(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// Returns a message from the node itself.
pub fn plain(status: StatusCode, text: &str) -> Response<ResponseBody> {
    let mut response = Response::new(Bytes::copy_from_slice(text.as_bytes()).into());
    *response.status_mut() = status;
    response
}

/// Closes the connection after a message.
pub fn close(response: &mut Response<ResponseBody>) {
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
}
