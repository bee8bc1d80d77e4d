//! Final answers as messages to clients.

use bytes::Bytes;
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::{Response, StatusCode};
use pumicehead_policy::{Nanos, SECOND};

use crate::net::admission::{RequestError, ResponseStyle};
use crate::net::exchange::{FinalResponse, UpstreamResponse};
use crate::net::response_body::ResponseBody;

/// An answer's message.
pub fn response(manner: &ResponseStyle, answer: FinalResponse) -> Response<ResponseBody> {
    match (answer, manner) {
        (FinalResponse::Upstream(served), ResponseStyle::Platform) => {
            let mut response = Response::new(served.body);
            if let Some(content_type) = served.headers.get(header::CONTENT_TYPE) {
                response.headers_mut().insert(header::CONTENT_TYPE, content_type.clone());
            }
            response
        }
        (
            FinalResponse::Upstream(UpstreamResponse { status, headers, body }),
            ResponseStyle::Gateway(via),
        ) => {
            let mut response = Response::new(body);
            *response.status_mut() = status;
            *response.headers_mut() = headers;
            response.headers_mut().append(header::VIA, via.clone());
            response
        }
        (FinalResponse::Rejected(retry_after), _) => refusal(manner, retry_after),
        (FinalResponse::Failed | FinalResponse::ClientDisconnected, _) => plain(StatusCode::BAD_GATEWAY, ""),
        (FinalResponse::DeadlineExceeded, _) => plain(StatusCode::GATEWAY_TIMEOUT, ""),
        (FinalResponse::BodyIncomplete, _) => bad(&RequestError::BodyTimeout),
        (FinalResponse::BodyTooLong, _) => bad(&RequestError::BodyTooLong),
    }
}

/// The answer to what is no request.
pub fn bad(bad: &RequestError) -> Response<ResponseBody> {
    let mut response = plain(bad.status(), &bad.to_string());
    if let RequestError::MethodNotAllowed(allowed) = bad
        && !allowed.is_empty()
    {
        let names: Vec<_> = allowed.iter().map(hyper::Method::as_str).collect();
        insert(response.headers_mut(), header::ALLOW, &names.join(", "));
    }
    if bad.closes_connection() {
        close(&mut response);
    }
    response
}

/// Come back later; nothing happened.
pub fn refusal(manner: &ResponseStyle, retry_after: Option<Nanos>) -> Response<ResponseBody> {
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "");
    if let Some(span) = retry_after {
        let seconds = match manner {
            ResponseStyle::Platform => format!("{:.3}", span as f64 / SECOND as f64),
            // Whole seconds (RFC 9110 section 10.2.3), and not too early.
            ResponseStyle::Gateway(_) => span.div_ceil(SECOND).max(1).to_string(),
        };
        insert(response.headers_mut(), header::RETRY_AFTER, &seconds);
    }
    response
}

fn insert(headers: &mut HeaderMap, name: header::HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// A message of the node's own.
pub fn plain(status: StatusCode, text: &str) -> Response<ResponseBody> {
    let mut response = Response::new(Bytes::copy_from_slice(text.as_bytes()).into());
    *response.status_mut() = status;
    response
}

/// Has the connection end with a message.
pub fn close(response: &mut Response<ResponseBody>) {
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
}
