//! The HTTP request of an attempt.

use std::time::Duration;

use hyper::Request;
use hyper::header::HeaderValue;

use crate::net::exchange::UpstreamRequest;
use crate::net::upload::OutgoingBody;

/// Bytes of a header field on the wire in addition to its name and value: `: ` and the line ending.
const FIELD_OVERHEAD_BYTES: usize = 4;

/// A request that is ready to be written.
pub(super) struct OutgoingRequest {
    pub message: Request<OutgoingBody>,
    /// Lower bound of its size on the wire, in bytes.
    pub min_size: u64,
}

impl OutgoingRequest {
    /// Builds the message. `time_left` is how long the client still waits.
    pub fn new(request: &UpstreamRequest, time_left: Duration) -> Self {
        let mut message = Request::new(OutgoingBody::new(request.body.clone(), request.upload.clone()));
        *message.method_mut() = request.method.clone();
        *message.uri_mut() = request.uri.clone();
        *message.headers_mut() = request.headers.clone();
        if let Ok(time_left) = HeaderValue::try_from(format!("{}u", time_left.as_micros())) {
            message.headers_mut().insert("x-time-left", time_left);
        }
        let line = request.method.as_str().len() + request.uri.path().len() + " HTTP/1.1\r\n".len();
        let fields = message
            .headers()
            .iter()
            .map(|(name, value)| name.as_str().len() + value.len() + FIELD_OVERHEAD_BYTES);
        let head = line + fields.sum::<usize>();
        let stated = request.upload.as_ref().and_then(|upload| upload.length());
        let body = stated.unwrap_or(request.body.len() as u64);
        Self { message, min_size: head as u64 + body }
    }
}
