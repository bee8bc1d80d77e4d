//! The side of a web server: sends requests on one connection and reads what comes back.

use std::collections::BTreeMap;

use bytes::{Bytes, BytesMut};
use thiserror::Error;

use crate::pairs::{self, Pairs};
use crate::record::{
    Begin, Decoder, End, Kind, MANAGEMENT, ProtocolStatus, Record, RecordError, Role, put, put_stream,
    put_stream_end,
};

/// Variables that are asked for (section 4.1).
const VALUES: [&str; 3] = ["FCGI_MAX_CONNS", "FCGI_MAX_REQS", "FCGI_MPXS_CONNS"];
/// Most bytes and pairs of the answer to that.
const MOST_VALUES: (usize, usize) = (4 << 10, 64);

/// A request on a connection; never 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(u16);

impl RequestId {
    /// The number on the wire.
    #[must_use]
    pub fn number(self) -> u16 {
        self.0
    }
}

/// What an application says of itself; `None` is what it does not say.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Values {
    /// Most connections that it takes at once.
    pub connections: Option<u32>,
    /// Most requests that it takes at once.
    pub requests: Option<u32>,
    /// Whether a connection may carry several requests at once.
    pub multiplexes: Option<bool>,
}

/// What has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The answer to [`Upload::get_values`]; without any, where the application knows no such record.
    Values(Values),
    /// A part of an answer.
    Stdout(RequestId, Bytes),
    /// The answer's end; the request's is still to come.
    StdoutEnd(RequestId),
    /// What an application says of errors; not a part of the answer.
    Stderr(RequestId, Bytes),
    /// The request's end.
    Ended(RequestId, End),
}

/// What no application may send. The connection is of no further use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ClientError {
    /// Bytes that are no record.
    #[error(transparent)]
    Record(#[from] RecordError),
    /// A record of a request that is not open: after its end, or of none that was sent.
    #[error("a record of type {kind} for the request {id}, which is not open")]
    NotOpen {
        /// Its type.
        kind: u8,
        /// Its id.
        id: u16,
    },
    /// A record that only web servers send, or of no known type.
    #[error("a record of type {0}, which applications don't send")]
    Unexpected(u8),
    /// A part of an answer behind its end.
    #[error("output of the request {0} behind its end")]
    AfterEnd(u16),
    /// The end of a request that is too short to be one.
    #[error("an end of {0} bytes")]
    ShortEnd(usize),
}

#[derive(Debug, Default)]
struct Open {
    stdout_over: bool,
    /// Nobody is interested any more; its end is still awaited.
    aborted: bool,
}

/// A connection to an application.
#[derive(Debug, Default)]
pub struct Client {
    decoder: Decoder,
    open: BTreeMap<u16, Open>,
    last: u16,
    failed: Option<ClientError>,
}

impl Client {
    /// Requests that have not ended, those that were aborted included.
    #[must_use]
    pub fn open(&self) -> usize {
        self.open.len()
    }

    /// Whether the other side may close here: no part of a record has come.
    #[must_use]
    pub fn is_between(&self) -> bool {
        self.decoder.is_between()
    }

    /// Writes the beginning of a request as of a responder. `None` where all 65,535 ids are open. An id is used again
    /// only after all others: a late record of its former request would hardly meet it.
    pub fn begin(&mut self, out: &mut BytesMut, keep: bool) -> Option<RequestId> {
        if self.open.len() == usize::from(u16::MAX) {
            return None;
        }
        loop {
            self.last = self.last.checked_add(1).unwrap_or(1);
            if !self.open.contains_key(&self.last) {
                break;
            }
        }
        let id = self.last;
        self.open.insert(id, Open::default());
        put(out, Kind::BeginRequest, id, &Begin { role: Role::Responder, keep }.content());
        Some(RequestId(id))
    }

    /// Writes all of a request's variables, and their end.
    pub fn params<'a>(
        &self,
        out: &mut BytesMut,
        id: RequestId,
        variables: impl IntoIterator<Item = (&'a [u8], &'a [u8])>,
    ) {
        let mut content = BytesMut::new();
        variables.into_iter().for_each(|(name, value)| pairs::put(&mut content, name, value));
        put_stream(out, Kind::Params, id.0, &content);
        put_stream_end(out, Kind::Params, id.0);
    }

    /// Writes a part of a request's body.
    pub fn stdin(&self, out: &mut BytesMut, id: RequestId, content: &[u8]) {
        put_stream(out, Kind::Stdin, id.0, content);
    }

    /// Writes the end of a request's body: from here on it may run.
    pub fn stdin_end(&self, out: &mut BytesMut, id: RequestId) {
        put_stream_end(out, Kind::Stdin, id.0);
    }

    /// Writes that nobody waits for an answer any more. No more events tell of the request but its end.
    pub fn abort(&mut self, out: &mut BytesMut, id: RequestId) {
        if let Some(open) = self.open.get_mut(&id.0).filter(|open| !open.aborted) {
            open.aborted = true;
            put(out, Kind::AbortRequest, id.0, &[]);
        }
    }

    /// Writes the question what the application is able to do.
    pub fn get_values(&self, out: &mut BytesMut) {
        let mut content = BytesMut::new();
        VALUES.iter().for_each(|name| pairs::put(&mut content, name.as_bytes(), b""));
        put(out, Kind::GetValues, MANAGEMENT, &content);
    }

    /// Takes bytes that have come; what they tell is appended to `events`.
    ///
    /// # Errors
    /// What no application may send; then always the same. Events before it are valid.
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
            if record.id == MANAGEMENT {
                match record.kind {
                    Kind::GetValuesResult => events.push(Event::Values(values(&record.content))),
                    Kind::UnknownType => events.push(Event::Values(Values::default())),
                    kind => return Err(ClientError::Unexpected(kind.code())),
                }
                continue;
            }
            events.extend(self.of_request(record)?);
        }
        Ok(())
    }

    fn of_request(&mut self, Record { kind, id, content }: Record) -> Result<Option<Event>, ClientError> {
        if !matches!(kind, Kind::Stdout | Kind::Stderr | Kind::EndRequest) {
            return Err(ClientError::Unexpected(kind.code()));
        }
        let open = self.open.get_mut(&id).ok_or(ClientError::NotOpen { kind: kind.code(), id })?;
        let request = RequestId(id);
        let event = match kind {
            Kind::Stdout if open.stdout_over => return Err(ClientError::AfterEnd(id)),
            Kind::Stdout if content.is_empty() => {
                open.stdout_over = true;
                Event::StdoutEnd(request)
            }
            Kind::Stdout => Event::Stdout(request, content),
            Kind::Stderr if content.is_empty() => return Ok(None),
            Kind::Stderr => Event::Stderr(request, content),
            _ => {
                let end = End::read(&content).ok_or(ClientError::ShortEnd(content.len()))?;
                self.open.remove(&id);
                return Ok(Some(Event::Ended(request, end)));
            }
        };
        Ok(Some(event).filter(|_| !open.aborted))
    }
}

/// Reads what an application says of itself; what can't be read is not said.
fn values(content: &[u8]) -> Values {
    let (most_bytes, most_pairs) = MOST_VALUES;
    let mut list = Pairs::new(most_bytes, most_pairs);
    let Some(list) = list.feed(content).ok().and_then(|()| list.finish().ok()) else {
        return Values::default();
    };
    let number = |name: &str| {
        let (_, value) = list.iter().find(|(known, _)| known == name.as_bytes())?;
        std::str::from_utf8(value).ok()?.trim().parse::<u32>().ok()
    };
    let [connections, requests, multiplexes] = VALUES.map(number);
    // A bound of 0 would be no application at all: it is not taken at its word.
    Values {
        connections: connections.filter(|&most| most > 0),
        requests: requests.filter(|&most| most > 0),
        multiplexes: multiplexes.map(|value| value == 1),
    }
}

/// Whether a request that ended like this surely never ran: it was turned away by the protocol itself.
#[must_use]
pub fn never_ran(end: &End) -> bool {
    !matches!(end.protocol, ProtocolStatus::Complete | ProtocolStatus::Other(_))
}
