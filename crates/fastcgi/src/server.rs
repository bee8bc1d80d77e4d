//! The application's side: accepts requests on one connection, several of them concurrently, and answers them.

use std::collections::{BTreeMap, VecDeque};

use bytes::{Buf, Bytes, BytesMut};
use thiserror::Error;

use crate::pairs::{self, Pair, PairDecoder, PairsError};
use crate::record::{
    Begin, End, Kind, MANAGEMENT_ID, MAX_CHUNK_BYTES, ProtocolStatus, Record, RecordDecoder, RecordError,
    Role, put_record, put_stream_end,
};

/// Maximum length of a query for variables, in bytes.
const MAX_QUERY_BYTES: usize = 4 << 10;
/// Maximum number of pairs in a query for variables.
const MAX_QUERY_PAIRS: usize = 64;

/// Limits of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of connections to the application, stated in answers to `FCGI_GET_VALUES`.
    pub max_connections: u32,
    /// Maximum number of concurrent requests on this connection; further ones are answered with `FCGI_OVERLOADED`.
    pub max_requests: usize,
    /// Maximum length of the variables of a request, in bytes.
    pub max_params_bytes: usize,
    /// Maximum number of variables of a request.
    pub max_params: usize,
    /// Maximum length of the body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Number of buffered bytes of incomplete requests on this connection above which a new request is answered with
    /// `FCGI_OVERLOADED`.
    pub max_incoming_bytes: usize,
    /// Number of bytes of responses waiting to be written above which a new request is answered with `FCGI_OVERLOADED`.
    pub max_response_bytes: usize,
}

/// Something received from the front end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A request has started; the caller limits the time until it is complete.
    Started(u16),
    /// A complete request.
    Request {
        /// Id of the request.
        id: u16,
        /// Variables.
        params: Vec<Pair>,
        /// Body.
        body: Bytes,
    },
    /// A request that is rejected; it still has to be answered.
    Rejected(u16, BadRequest),
    /// The front end has aborted a request. It needs no response, but [`Server::end`] must still be called.
    Aborted(u16),
}

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum BadRequest {
    /// The variables are malformed or exceed a limit.
    #[error(transparent)]
    Params(#[from] PairsError),
    /// The body exceeds the limit.
    #[error("request body exceeds {0} bytes")]
    BodyTooLong(usize),
}

/// A protocol violation by the front end. The connection can't be used any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ServerError {
    /// Bytes that are not a valid record.
    #[error(transparent)]
    Record(#[from] RecordError),
    /// A request starts with id 0 or an id that is still in use.
    #[error("FCGI_BEGIN_REQUEST with id {0}, which is in use or reserved")]
    InvalidRequestId(u16),
    /// The content of `FCGI_BEGIN_REQUEST` is too short.
    #[error("FCGI_BEGIN_REQUEST has {0} bytes of content; 8 are required")]
    BeginTooShort(usize),
    /// A part of a stream after its end.
    #[error("received a record of type {kind} for request {id} after the end of its stream")]
    AfterStreamEnd {
        /// Type of the record.
        kind: u8,
        /// Id of the request.
        id: u16,
    },
    /// The front end sends records that need an immediate reply faster than it reads the replies.
    #[error("too many replies to management records and rejected requests are waiting to be written")]
    TooManyReplies,
}

#[derive(Debug)]
enum Stage {
    Params(PairDecoder),
    Stdin(Vec<Pair>, BytesMut),
    /// Complete, and passed to the caller.
    Complete,
    /// Rejected; further records of the request are dropped.
    Rejected,
}

#[derive(Debug)]
struct OpenRequest {
    stage: Stage,
    keep_connection: bool,
    /// Number of buffered bytes of the request while it is incomplete.
    buffered_bytes: usize,
    stdin_ended: bool,
    aborted: bool,
}

/// A response that is being written.
#[derive(Debug)]
struct QueuedResponse {
    id: u16,
    parts: VecDeque<Bytes>,
    end: End,
}

/// A connection from a front end.
#[derive(Debug)]
pub struct Server {
    limits: Limits,
    decoder: RecordDecoder,
    open: BTreeMap<u16, OpenRequest>,
    /// Short replies that are written first: ends of rejected requests and answers to management records.
    replies: BytesMut,
    /// Responses in the order in which their next records are written.
    responses: VecDeque<QueuedResponse>,
    incoming_bytes: usize,
    response_bytes: usize,
    /// A request without FCGI_KEEP_CONN has been received: the connection is closed after the open requests.
    closes_when_done: bool,
    failed: Option<ServerError>,
}

impl Server {
    /// Creates the state of a new connection.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            decoder: RecordDecoder::default(),
            open: BTreeMap::new(),
            replies: BytesMut::new(),
            responses: VecDeque::new(),
            incoming_bytes: 0,
            response_bytes: 0,
            closes_when_done: false,
            failed: None,
        }
    }

    /// Returns the number of requests that have not been answered.
    #[must_use]
    pub fn open(&self) -> usize {
        self.open.len()
    }

    /// Returns whether no request is open, no part of a record is buffered, and all output has been taken.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.open.is_empty() && self.decoder.is_at_record_boundary() && !self.has_output()
    }

    /// Returns whether the application is to close the connection now: a request without FCGI_KEEP_CONN has been
    /// received, and all requests have been answered and their output taken.
    #[must_use]
    pub fn should_close(&self) -> bool {
        self.closes_when_done && self.open.is_empty() && !self.has_output()
    }

    /// Returns the number of bytes buffered for incomplete requests, responses and replies.
    #[must_use]
    pub fn buffered_bytes(&self) -> usize {
        self.incoming_bytes + self.response_bytes + self.replies.len()
    }

    /// Rejects further requests with `FCGI_OVERLOADED`.
    pub fn reject_new_requests(&mut self) {
        self.limits.max_requests = 0;
    }

    /// Decodes received bytes and appends the resulting events to `events`.
    ///
    /// # Errors
    /// If the front end violates the protocol. Every later call then returns the same error. Events appended before the
    /// error are valid.
    pub fn receive(&mut self, mut input: &[u8], events: &mut Vec<Event>) -> Result<(), ServerError> {
        if let Some(error) = self.failed {
            return Err(error);
        }
        let done = self.receive_all(&mut input, events);
        self.failed = done.err();
        done
    }

    fn receive_all(&mut self, input: &mut &[u8], events: &mut Vec<Event>) -> Result<(), ServerError> {
        while let Some(Record { kind, id, content }) = self.decoder.next(input)? {
            if self.replies.len() > self.limits.max_params_bytes {
                return Err(ServerError::TooManyReplies);
            }
            match kind {
                Kind::BeginRequest => self.begin(id, &content, events)?,
                Kind::GetValues if id == MANAGEMENT_ID => self.answer_get_values(&content),
                kind if id == MANAGEMENT_ID => {
                    let unknown = [kind.code(), 0, 0, 0, 0, 0, 0, 0];
                    put_record(&mut self.replies, Kind::UnknownType, MANAGEMENT_ID, &unknown);
                }
                // Records for requests that are not open are ignored (section 3.3): they may have been sent before the
                // end of the request was received.
                kind if self.open.contains_key(&id) => self.on_request_record(kind, id, &content, events)?,
                _ => {}
            }
        }
        Ok(())
    }

    fn begin(&mut self, id: u16, content: &[u8], events: &mut Vec<Event>) -> Result<(), ServerError> {
        let begin = Begin::decode(content).ok_or(ServerError::BeginTooShort(content.len()))?;
        let answered = self.responses.iter().any(|out| out.id == id);
        if id == MANAGEMENT_ID || self.open.contains_key(&id) || answered {
            return Err(ServerError::InvalidRequestId(id));
        }
        self.closes_when_done |= !begin.keep;
        let is_full = self.open.len() >= self.limits.max_requests
            || self.incoming_bytes > self.limits.max_incoming_bytes
            || self.response_bytes > self.limits.max_response_bytes;
        let status = match begin.role {
            Role::Responder if is_full => ProtocolStatus::Overloaded,
            Role::Responder => {
                let stage =
                    Stage::Params(PairDecoder::new(self.limits.max_params_bytes, self.limits.max_params));
                let open = OpenRequest {
                    stage,
                    keep_connection: begin.keep,
                    buffered_bytes: 0,
                    stdin_ended: false,
                    aborted: false,
                };
                self.open.insert(id, open);
                events.push(Event::Started(id));
                return Ok(());
            }
            _ => ProtocolStatus::UnknownRole,
        };
        let end = End { application: 0, protocol: status };
        put_record(&mut self.replies, Kind::EndRequest, id, &end.encode());
        Ok(())
    }

    fn on_request_record(
        &mut self,
        kind: Kind,
        id: u16,
        content: &[u8],
        events: &mut Vec<Event>,
    ) -> Result<(), ServerError> {
        let limits = self.limits;
        let Some(open) = self.open.get_mut(&id) else { return Ok(()) };
        if kind == Kind::AbortRequest {
            if !std::mem::replace(&mut open.aborted, true) {
                events.push(Event::Aborted(id));
            }
            return Ok(());
        }
        let after_end = Err(ServerError::AfterStreamEnd { kind: kind.code(), id });
        if open.aborted || matches!(open.stage, Stage::Rejected) {
            return Ok(());
        }
        match (kind, &mut open.stage) {
            (Kind::Params, Stage::Params(pairs)) if !content.is_empty() => {
                if let Err(error) = pairs.feed(content) {
                    self.reject(id, error.into(), events);
                    return Ok(());
                }
                open.buffered_bytes += content.len();
                self.incoming_bytes += content.len();
            }
            (Kind::Params, Stage::Params(_)) => {
                let Stage::Params(pairs) = std::mem::replace(&mut open.stage, Stage::Rejected) else {
                    return Ok(());
                };
                match pairs.finish() {
                    Ok(params) => open.stage = Stage::Stdin(params, BytesMut::new()),
                    Err(error) => self.reject(id, error.into(), events),
                }
            }
            (Kind::Params, _) => return after_end,
            (Kind::Stdin, Stage::Stdin(_, body)) if !content.is_empty() => {
                if body.len() + content.len() > limits.max_body_bytes {
                    self.reject(id, BadRequest::BodyTooLong(limits.max_body_bytes), events);
                    return Ok(());
                }
                body.extend_from_slice(content);
                open.buffered_bytes += content.len();
                self.incoming_bytes += content.len();
            }
            (Kind::Stdin, Stage::Stdin(..)) => {
                let stage = std::mem::replace(&mut open.stage, Stage::Complete);
                if let Stage::Stdin(params, body) = stage {
                    self.incoming_bytes -= std::mem::take(&mut open.buffered_bytes);
                    open.stdin_ended = true;
                    events.push(Event::Request { id, params, body: body.freeze() });
                }
            }
            (Kind::Stdin, Stage::Complete) => return after_end,
            // Ignored: a body before the end of the variables, second bodies for filters, and record types that only
            // applications send.
            _ => {}
        }
        Ok(())
    }

    fn reject(&mut self, id: u16, error: BadRequest, events: &mut Vec<Event>) {
        if let Some(open) = self.open.get_mut(&id) {
            open.stage = Stage::Rejected;
            self.incoming_bytes -= std::mem::take(&mut open.buffered_bytes);
            events.push(Event::Rejected(id, error));
        }
    }

    /// Answers a query for variables (section 4.1) with those that were asked for and are known.
    fn answer_get_values(&mut self, content: &[u8]) {
        let mut query = PairDecoder::new(MAX_QUERY_BYTES, MAX_QUERY_PAIRS);
        let queried = query.feed(content).ok().and_then(|()| query.finish().ok()).unwrap_or_default();
        let Limits { max_connections, max_requests, .. } = self.limits;
        let known = [
            ("FCGI_MAX_CONNS", max_connections.to_string()),
            ("FCGI_MAX_REQS", u64::from(max_connections).saturating_mul(max_requests as u64).to_string()),
            ("FCGI_MPXS_CONNS", u8::from(max_requests > 1).to_string()),
        ];
        let mut answer = BytesMut::new();
        for (name, value) in &known {
            if queried.iter().any(|(queried, _)| queried == name.as_bytes()) {
                pairs::put_pair(&mut answer, name.as_bytes(), value.as_bytes());
            }
        }
        put_record(&mut self.replies, Kind::GetValuesResult, MANAGEMENT_ID, &answer);
    }

    /// Queues the complete response to a request, starting with its head, and ends the request; an aborted request gets
    /// no output. Does nothing if the request is not open, so each request is answered once.
    pub fn end(&mut self, id: u16, parts: impl IntoIterator<Item = Bytes>, application: u32) {
        let Some(open) = self.open.remove(&id) else { return };
        self.incoming_bytes -= open.buffered_bytes;
        self.closes_when_done |= !open.keep_connection;
        let parts: VecDeque<_> = if open.aborted {
            VecDeque::new()
        } else {
            parts.into_iter().filter(|part| !part.is_empty()).collect()
        };
        self.response_bytes += parts.iter().map(Bytes::len).sum::<usize>();
        let end = End { application, protocol: ProtocolStatus::Complete };
        self.responses.push_back(QueuedResponse { id, parts, end });
    }

    /// Returns whether there is anything to write.
    #[must_use]
    pub fn has_output(&self) -> bool {
        !self.replies.is_empty() || !self.responses.is_empty()
    }

    /// Moves pending output to `out` until that has at least `target_bytes` bytes. Responses are interleaved record by
    /// record, so that a long one does not delay the others.
    pub fn output(&mut self, out: &mut BytesMut, target_bytes: usize) {
        if !self.replies.is_empty() {
            out.extend_from_slice(&self.replies);
            self.replies.clear();
        }
        while out.len() < target_bytes {
            let Some(mut next) = self.responses.pop_front() else { return };
            let Some(part) = next.parts.front_mut() else {
                put_stream_end(out, Kind::Stdout, next.id);
                put_record(out, Kind::EndRequest, next.id, &next.end.encode());
                continue;
            };
            let size = part.len().min(MAX_CHUNK_BYTES);
            put_record(out, Kind::Stdout, next.id, &part[..size]);
            part.advance(size);
            if part.is_empty() {
                next.parts.pop_front();
            }
            self.response_bytes -= size;
            self.responses.push_back(next);
        }
    }
}
