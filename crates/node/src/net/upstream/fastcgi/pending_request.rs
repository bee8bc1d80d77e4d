//! A request on a FastCGI connection, and the part of its response received so far.

use bytes::{Bytes, BytesMut};
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::{Method, StatusCode};
use pumicehead_fastcgi::cgi::{CgiResponseHead, HeadReader};
use pumicehead_fastcgi::record::End;
use pumicehead_policy::AttemptOutcome;
use tokio::sync::mpsc;

use super::connection::{CommittedResponse, FastCgiRequest};
use super::outcome::{FastCgiEnding, ResponseProgress};
use crate::net::exchange::UpstreamResponse;
use crate::net::header_fields::strip_hop_by_hop;
use crate::net::response_body::{BodyPart, BodyParts};
use crate::net::upstream::response_classification::{ResponseHead, StatusPolicy, is_marked_unprocessed};
use crate::net::upstream::transport::AttemptResult;

/// A request that has been put into the connection's output.
pub(super) struct PendingRequest {
    pub number: u64,
    request: FastCgiRequest,
    /// Number of bytes that the connection has written once this request is written completely.
    written_at: u64,
    head_reader: HeadReader,
    head: Option<CgiResponseHead>,
    /// What has been received of the body and was not passed on.
    body: BytesMut,
    /// Number of bytes of the body that have been received.
    body_bytes: usize,
    /// Takes the rest of the body, once the response is committed.
    rest: Option<mpsc::UnboundedSender<BodyPart>>,
    is_empty: bool,
    is_malformed: bool,
}

impl PendingRequest {
    pub fn new(number: u64, request: FastCgiRequest, written_at: u64) -> Self {
        Self {
            number,
            request,
            written_at,
            head_reader: HeadReader::default(),
            head: None,
            body: BytesMut::new(),
            body_bytes: 0,
            rest: None,
            is_empty: true,
            is_malformed: false,
        }
    }

    /// Handles a part of the application's output.
    pub fn on_output(&mut self, part: &[u8]) {
        self.is_empty = false;
        if self.is_malformed {
            return;
        }
        if self.head.is_some() {
            return self.on_body(part);
        }
        match self.head_reader.feed(part) {
            Ok(None) => {}
            Ok(Some((head, rest))) => {
                self.head = Some(head);
                self.on_body(&rest);
            }
            Err(_) => self.is_malformed = true,
        }
    }

    fn on_body(&mut self, part: &[u8]) {
        if part.is_empty() || self.is_bodiless() {
            return;
        }
        self.body_bytes += part.len();
        let has_memory = self.request.reservation.try_grow_to_fit(self.body_bytes);
        if self.body_bytes as u64 > self.request.max_body || !has_memory {
            self.is_malformed = true;
            self.body = BytesMut::new();
            self.rest = None;
            return;
        }
        match &self.rest {
            // Fails if the client has disconnected; the attempt then aborts the request.
            Some(rest) => drop(rest.send(BodyPart::Data(Bytes::copy_from_slice(part)))),
            None => self.body.extend_from_slice(part),
        }
    }

    /// Passes the response on from now on, if a successful one with a body has begun; returns its start.
    pub fn commit(&mut self) -> Option<CommittedResponse> {
        if self.is_malformed || self.is_bodiless() || self.rest.is_some() {
            return None;
        }
        let CgiResponseHead { status, headers } = self.head.as_ref()?;
        let class = StatusPolicy::Gateway.classify(&response_head(*status, headers));
        if class.outcome != AttemptOutcome::Success {
            return None;
        }
        let (status, mut headers) = (*status, headers.clone());
        let length = content_length(&headers).and_then(parse_length).map(|length| length as u64);
        strip_hop_by_hop(&mut headers);
        let (sender, rest) = BodyParts::channel();
        self.rest = Some(sender);
        let start = std::mem::take(&mut self.body).freeze();
        Some(CommittedResponse { status, headers, length, start, rest })
    }

    /// Whether the response has no body, regardless of what the application writes.
    fn is_bodiless(&self) -> bool {
        let status = self.head.as_ref().map(|head| head.status);
        self.request.method == Method::HEAD
            || matches!(status, Some(StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED))
    }

    /// Sends the result of a request that the application has ended.
    pub fn finish(mut self, end: End) {
        let class = FastCgiEnding::Completed(end, self.progress()).classify();
        if let Some(rest) = &self.rest {
            if class.outcome == AttemptOutcome::Success {
                let _ = rest.send(BodyPart::End);
            }
            let _ = self.request.result.send(AttemptResult::without_response(class.outcome));
            return;
        }
        let is_bodiless = self.is_bodiless();
        let head = self.head.take().filter(|_| class.forward);
        let Self { request, body, .. } = self;
        let FastCgiRequest { reservation, result, .. } = request;
        let response = head.map(|CgiResponseHead { status, mut headers }| {
            let length = content_length(&headers).cloned();
            strip_hop_by_hop(&mut headers);
            // For a response without a body, this field states how long the body would be.
            if let Some(length) = length.filter(|_| is_bodiless && status != StatusCode::NO_CONTENT) {
                headers.insert(header::CONTENT_LENGTH, length);
            }
            UpstreamResponse { status, headers, body: reservation.attach_to(body.freeze()).into() }
        });
        let _ = result.send(AttemptResult { response, ..AttemptResult::without_response(class.outcome) });
    }

    fn progress(&self) -> ResponseProgress {
        if self.is_empty {
            return ResponseProgress::Empty;
        }
        let Some(head) = self.head.as_ref().filter(|_| !self.is_malformed) else {
            return ResponseProgress::Malformed;
        };
        let length_matches =
            content_length(&head.headers).is_none_or(|length| parse_length(length) == Some(self.body_bytes));
        if !self.is_bodiless() && !length_matches {
            return ResponseProgress::Malformed;
        }
        ResponseProgress::Complete(response_head(head.status, &head.headers))
    }

    /// Sends the result of a request whose connection ended after `written` bytes of output. Bytes that were not
    /// written never arrived.
    pub fn fail(self, written: u64) {
        let ending = FastCgiEnding::ConnectionLost { request_written: written >= self.written_at };
        let _ = self.request.result.send(AttemptResult::without_response(ending.classify().outcome));
    }
}

fn response_head(status: StatusCode, headers: &HeaderMap) -> ResponseHead {
    ResponseHead { status, unprocessed: is_marked_unprocessed(headers), delimited: true }
}

fn content_length(headers: &HeaderMap) -> Option<&HeaderValue> {
    headers.get(header::CONTENT_LENGTH)
}

fn parse_length(length: &HeaderValue) -> Option<usize> {
    length.to_str().ok().and_then(|text| text.parse().ok())
}
