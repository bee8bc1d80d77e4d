//! The web server's side: sends requests on one connection and decodes the responses.

use std::collections::BTreeMap;

use bytes::{Bytes, BytesMut};
use thiserror::Error;

use crate::pairs::{self, PairDecoder};
use crate::record::{
    Begin, End, Kind, MANAGEMENT_ID, ProtocolStatus, Record, RecordDecoder, RecordError, Role, put_record,
    put_stream, put_stream_end,
};

/// Variables queried from the application (section 4.1).
const QUERIED_VARIABLES: [&str; 3] = ["FCGI_MAX_CONNS", "FCGI_MAX_REQS", "FCGI_MPXS_CONNS"];
/// Maximum length of the answer to the query, in bytes.
const MAX_VALUES_BYTES: usize = 4 << 10;
/// Maximum number of pairs in the answer to the query.
const MAX_VALUES_PAIRS: usize = 64;

/// Id of a request on a connection; never 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(u16);

impl RequestId {
    /// Returns the id's number on the wire.
    #[must_use]
    pub fn number(self) -> u16 {
        self.0
    }
}

/// Properties that an application has stated; `None` if it has not stated the property.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Values {
    /// Maximum number of concurrent connections to the application.
    pub connections: Option<u32>,
    /// Maximum number of concurrent requests to the application.
    pub requests: Option<u32>,
    /// Whether the application accepts several concurrent requests on one connection.
    pub multiplexes: Option<bool>,
}

/// Something received from the application.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The answer to [`Client::get_values`]. All values are `None` if the application does not know that record type.
    Values(Values),
    /// A part of a response.
    Stdout(RequestId, Bytes),
    /// The end of a response. [`Event::Ended`] still follows.
    StdoutEnd(RequestId),
    /// Error output of the application; not a part of the response.
    Stderr(RequestId, Bytes),
    /// The end of a request.
    Ended(RequestId, End),
}

/// A protocol violation by the application. The connection can't be used any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ClientError {
    /// Bytes that are not a valid record.
    #[error(transparent)]
    Record(#[from] RecordError),
    /// A record for a request that is not open: it has ended, or was never sent.
    #[error("received a record of type {kind} for request {id}, which is not open")]
    NotOpen {
        /// Type of the record.
        kind: u8,
        /// Id of the request.
        id: u16,
    },
    /// A record of a type that only web servers send, or of an unknown type.
    #[error("received a record of type {0}, which applications must not send")]
    Unexpected(u8),
    /// A part of a response after its end.
    #[error("received output of request {0} after the end of its output stream")]
    AfterStreamEnd(u16),
    /// The content of `FCGI_END_REQUEST` is too short.
    #[error("FCGI_END_REQUEST has {0} bytes of content; 8 are required")]
    EndTooShort(usize),
}

#[derive(Debug, Default)]
struct OpenRequest {
    stdout_ended: bool,
    /// Events of the request are dropped, except its end, which is still expected.
    aborted: bool,
}

/// A connection to an application.
#[derive(Debug, Default)]
pub struct Client {
    decoder: RecordDecoder,
    open: BTreeMap<u16, OpenRequest>,
    last_id: u16,
    failed: Option<ClientError>,
}

impl Client {
    /// Returns the number of requests that have not ended, including aborted ones.
    #[must_use]
    pub fn open(&self) -> usize {
        self.open.len()
    }

    /// Returns whether no part of a record is buffered, so that the application may close the connection here.
    #[must_use]
    pub fn is_at_record_boundary(&self) -> bool {
        self.decoder.is_at_record_boundary()
    }

    /// Writes the start of a request to a responder. Returns `None` if all 65,535 ids are open. An id is reused only
    /// after all others, so that a late record of the request that had it before is unlikely to be mistaken for one of
    /// the new request.
    pub fn begin(&mut self, out: &mut BytesMut, keep: bool) -> Option<RequestId> {
        if self.open.len() == usize::from(u16::MAX) {
            return None;
        }
        loop {
            self.last_id = self.last_id.checked_add(1).unwrap_or(1);
            if !self.open.contains_key(&self.last_id) {
                break;
            }
        }
        let id = self.last_id;
        self.open.insert(id, OpenRequest::default());
        put_record(out, Kind::BeginRequest, id, &Begin { role: Role::Responder, keep }.encode());
        Some(RequestId(id))
    }

    /// Writes all variables of a request and the end of their stream.
    pub fn params<'a>(
        &self,
        out: &mut BytesMut,
        id: RequestId,
        variables: impl IntoIterator<Item = (&'a [u8], &'a [u8])>,
    ) {
        let mut content = BytesMut::new();
        variables.into_iter().for_each(|(name, value)| pairs::put_pair(&mut content, name, value));
        put_stream(out, Kind::Params, id.0, &content);
        put_stream_end(out, Kind::Params, id.0);
    }

    /// Writes a part of the body of a request.
    pub fn stdin(&self, out: &mut BytesMut, id: RequestId, content: &[u8]) {
        put_stream(out, Kind::Stdin, id.0, content);
    }

    /// Writes the end of the body of a request, after which the application may execute it.
    pub fn stdin_end(&self, out: &mut BytesMut, id: RequestId) {
        put_stream_end(out, Kind::Stdin, id.0);
    }

    /// Aborts a request. [`Event::Ended`] is then its only further event.
    pub fn abort(&mut self, out: &mut BytesMut, id: RequestId) {
        if let Some(open) = self.open.get_mut(&id.0).filter(|open| !open.aborted) {
            open.aborted = true;
            put_record(out, Kind::AbortRequest, id.0, &[]);
        }
    }

    /// Writes a query for the limits of the application.
    pub fn get_values(&self, out: &mut BytesMut) {
        let mut content = BytesMut::new();
        QUERIED_VARIABLES.iter().for_each(|name| pairs::put_pair(&mut content, name.as_bytes(), b""));
        put_record(out, Kind::GetValues, MANAGEMENT_ID, &content);
    }

    /// Decodes received bytes and appends the resulting events to `events`.
    ///
    /// # Errors
    /// If the application violates the protocol. Every later call then returns the same error. Events appended before
    /// the error are valid.
    pub fn receive(&mut self, mut input: &[u8], events: &mut Vec<Event>) -> Result<(), ClientError> {
        if let Some(error) = self.failed {
            return Err(error);
        }
        let done = self.receive_all(&mut input, events);
        self.failed = done.err();
        done
    }

    fn receive_all(&mut self, input: &mut &[u8], events: &mut Vec<Event>) -> Result<(), ClientError> {
        while let Some(record) = self.decoder.next(input)? {
            if record.id == MANAGEMENT_ID {
                match record.kind {
                    Kind::GetValuesResult => events.push(Event::Values(decode_values(&record.content))),
                    Kind::UnknownType => events.push(Event::Values(Values::default())),
                    kind => return Err(ClientError::Unexpected(kind.code())),
                }
                continue;
            }
            events.extend(self.on_request_record(record)?);
        }
        Ok(())
    }

    fn on_request_record(
        &mut self,
        Record { kind, id, content }: Record,
    ) -> Result<Option<Event>, ClientError> {
        if !matches!(kind, Kind::Stdout | Kind::Stderr | Kind::EndRequest) {
            return Err(ClientError::Unexpected(kind.code()));
        }
        let open = self.open.get_mut(&id).ok_or(ClientError::NotOpen { kind: kind.code(), id })?;
        let request = RequestId(id);
        let event = match kind {
            Kind::Stdout if open.stdout_ended => return Err(ClientError::AfterStreamEnd(id)),
            Kind::Stdout if content.is_empty() => {
                open.stdout_ended = true;
                Event::StdoutEnd(request)
            }
            Kind::Stdout => Event::Stdout(request, content),
            Kind::Stderr if content.is_empty() => return Ok(None),
            Kind::Stderr => Event::Stderr(request, content),
            _ => {
                let end = End::decode(&content).ok_or(ClientError::EndTooShort(content.len()))?;
                self.open.remove(&id);
                return Ok(Some(Event::Ended(request, end)));
            }
        };
        Ok(Some(event).filter(|_| !open.aborted))
    }
}

/// Decodes the values that an application states; a value that can't be parsed counts as not stated.
fn decode_values(content: &[u8]) -> Values {
    let mut pairs = PairDecoder::new(MAX_VALUES_BYTES, MAX_VALUES_PAIRS);
    let Some(pairs) = pairs.feed(content).ok().and_then(|()| pairs.finish().ok()) else {
        return Values::default();
    };
    let number = |name: &str| {
        let (_, value) = pairs.iter().find(|(known, _)| known == name.as_bytes())?;
        std::str::from_utf8(value).ok()?.trim().parse::<u32>().ok()
    };
    let [connections, requests, multiplexes] = QUERIED_VARIABLES.map(number);
    // A limit of 0 would mean that the application accepts nothing at all, so it is ignored.
    Values {
        connections: connections.filter(|&max| max > 0),
        requests: requests.filter(|&max| max > 0),
        multiplexes: multiplexes.map(|value| value == 1),
    }
}

/// Returns whether a request with this end was certainly not executed, because the protocol status is a rejection.
#[must_use]
pub fn never_ran(end: &End) -> bool {
    !matches!(end.protocol, ProtocolStatus::Complete | ProtocolStatus::Other(_))
}
