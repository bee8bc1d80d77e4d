//! The side of an application: takes requests on one connection, several at once, and answers them.

use std::collections::{BTreeMap, VecDeque};

use bytes::{Buf, Bytes, BytesMut};
use thiserror::Error;

use crate::pairs::{self, Pair, Pairs, PairsError};
use crate::record::{
    Begin, CHUNK, Decoder, End, Kind, MANAGEMENT, ProtocolStatus, Record, RecordError, Role, put,
    put_stream_end,
};

/// Most bytes and pairs of a question for variables.
const MOST_VALUES: (usize, usize) = (4 << 10, 64);

/// Bounds of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Connections that the application takes, as it says when asked.
    pub connections: u32,
    /// Requests at once on this connection; a further one is answered with `FCGI_OVERLOADED`.
    pub requests: usize,
    /// Bytes of a request's variables.
    pub params: usize,
    /// Their number.
    pub pairs: usize,
    /// Bytes of a request's body.
    pub body: usize,
    /// Bytes of requests that are still coming, over all of the connection; past it a new one is answered with
    /// `FCGI_OVERLOADED`.
    pub coming: usize,
    /// Bytes of answers that wait to be written; past it a new request is answered with `FCGI_OVERLOADED`.
    pub waiting: usize,
}

/// What has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A request has begun; it must be whole in some time.
    Began(u16),
    /// A whole request.
    Request {
        /// Its id.
        id: u16,
        /// Its variables.
        params: Vec<Pair>,
        /// Its body.
        body: Bytes,
    },
    /// One that can't be taken. It is still to be answered.
    Bad(u16, BadRequest),
    /// The front end's client has gone. It needs no answer; [`Server::end`] is called all the same.
    Aborted(u16),
}

/// Why a request can't be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum BadRequest {
    /// Its variables.
    #[error(transparent)]
    Params(#[from] PairsError),
    /// Its body.
    #[error("a body of more than {0} bytes")]
    BodyTooLong(usize),
}

/// What no front end may send. The connection is of no further use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ServerError {
    /// Bytes that are no record.
    #[error(transparent)]
    Record(#[from] RecordError),
    /// A request with the id of none, or of one that is open.
    #[error("a request begins with the id {0}, which is taken or none")]
    Begin(u16),
    /// The beginning of a request that is too short to be one.
    #[error("a beginning of {0} bytes")]
    ShortBegin(usize),
    /// A part of a stream behind its end.
    #[error("a record of type {kind} of the request {id} behind the stream's end")]
    AfterEnd {
        /// Its type.
        kind: u8,
        /// Its id.
        id: u16,
    },
    /// So many records that need an answer that these can't be kept.
    #[error("more questions than answers can wait")]
    TooManyQuestions,
}

#[derive(Debug)]
enum Stage {
    Params(Pairs),
    Stdin(Vec<Pair>, BytesMut),
    /// With the host, or answered and not wholly written.
    Whole,
    /// It can't be taken; what still comes of it is dropped.
    Bad,
}

#[derive(Debug)]
struct Open {
    stage: Stage,
    keep: bool,
    /// Bytes of it that are held.
    held: usize,
    stdin_over: bool,
    aborted: bool,
}

/// An answer on its way out.
#[derive(Debug)]
struct Outgoing {
    id: u16,
    parts: VecDeque<Bytes>,
    end: End,
}

/// A connection from a front end.
#[derive(Debug)]
pub struct Server {
    bounds: Bounds,
    decoder: Decoder,
    open: BTreeMap<u16, Open>,
    /// Short records that answer at once: ends of what is turned away, variables.
    replies: BytesMut,
    /// Answers in the order in which their next record is due.
    outgoing: VecDeque<Outgoing>,
    coming: usize,
    waiting: usize,
    /// A request without FCGI_KEEP_CONN has ended, or is to.
    last: bool,
    failed: Option<ServerError>,
}

impl Server {
    /// A new connection.
    #[must_use]
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            decoder: Decoder::default(),
            open: BTreeMap::new(),
            replies: BytesMut::new(),
            outgoing: VecDeque::new(),
            coming: 0,
            waiting: 0,
            last: false,
            failed: None,
        }
    }

    /// Requests that have no end yet.
    #[must_use]
    pub fn open(&self) -> usize {
        self.open.len()
    }

    /// Whether nothing of a request or of a record has come that is not answered and written.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.open.is_empty() && self.decoder.is_between() && !self.has_output()
    }

    /// Whether the application is to close now: the front end asked for no more than what is answered by now.
    #[must_use]
    pub fn is_over(&self) -> bool {
        self.last && self.open.is_empty() && !self.has_output()
    }

    /// Bytes of requests that are still coming and of answers that wait: what this connection holds.
    #[must_use]
    pub fn held(&self) -> usize {
        self.coming + self.waiting + self.replies.len()
    }

    /// No further requests are taken; each is answered with `FCGI_OVERLOADED`.
    pub fn stop(&mut self) {
        self.bounds.requests = 0;
    }

    /// Takes bytes that have come; what they tell is appended to `events`.
    ///
    /// # Errors
    /// What no front end may send; then always the same. Events before it are valid.
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
            if self.replies.len() > self.bounds.params {
                return Err(ServerError::TooManyQuestions);
            }
            match kind {
                Kind::BeginRequest => self.begin(id, &content, events)?,
                Kind::GetValues if id == MANAGEMENT => self.values(&content),
                kind if id == MANAGEMENT => {
                    let unknown = [kind.code(), 0, 0, 0, 0, 0, 0, 0];
                    put(&mut self.replies, Kind::UnknownType, MANAGEMENT, &unknown);
                }
                // Records of what is not open are ignored (section 3.3): its end may have crossed them.
                kind if self.open.contains_key(&id) => self.of_request(kind, id, &content, events)?,
                _ => {}
            }
        }
        Ok(())
    }

    fn begin(&mut self, id: u16, content: &[u8], events: &mut Vec<Event>) -> Result<(), ServerError> {
        let begin = Begin::read(content).ok_or(ServerError::ShortBegin(content.len()))?;
        let answered = self.outgoing.iter().any(|out| out.id == id);
        if id == MANAGEMENT || self.open.contains_key(&id) || answered {
            return Err(ServerError::Begin(id));
        }
        self.last |= !begin.keep;
        let full = self.open.len() >= self.bounds.requests
            || self.coming > self.bounds.coming
            || self.waiting > self.bounds.waiting;
        let status = match begin.role {
            Role::Responder if full => ProtocolStatus::Overloaded,
            Role::Responder => {
                let stage = Stage::Params(Pairs::new(self.bounds.params, self.bounds.pairs));
                let open = Open { stage, keep: begin.keep, held: 0, stdin_over: false, aborted: false };
                self.open.insert(id, open);
                events.push(Event::Began(id));
                return Ok(());
            }
            _ => ProtocolStatus::UnknownRole,
        };
        let end = End { application: 0, protocol: status };
        put(&mut self.replies, Kind::EndRequest, id, &end.content());
        Ok(())
    }

    fn of_request(
        &mut self,
        kind: Kind,
        id: u16,
        content: &[u8],
        events: &mut Vec<Event>,
    ) -> Result<(), ServerError> {
        let bounds = self.bounds;
        let Some(open) = self.open.get_mut(&id) else { return Ok(()) };
        if kind == Kind::AbortRequest {
            if !std::mem::replace(&mut open.aborted, true) {
                events.push(Event::Aborted(id));
            }
            return Ok(());
        }
        let after = Err(ServerError::AfterEnd { kind: kind.code(), id });
        if open.aborted || matches!(open.stage, Stage::Bad) {
            return Ok(());
        }
        match (kind, &mut open.stage) {
            (Kind::Params, Stage::Params(pairs)) if !content.is_empty() => {
                if let Err(error) = pairs.feed(content) {
                    self.bad(id, error.into(), events);
                    return Ok(());
                }
                open.held += content.len();
                self.coming += content.len();
            }
            (Kind::Params, Stage::Params(_)) => {
                let Stage::Params(pairs) = std::mem::replace(&mut open.stage, Stage::Bad) else {
                    return Ok(());
                };
                match pairs.finish() {
                    Ok(params) => open.stage = Stage::Stdin(params, BytesMut::new()),
                    Err(error) => self.bad(id, error.into(), events),
                }
            }
            (Kind::Params, _) => return after,
            (Kind::Stdin, Stage::Stdin(_, body)) if !content.is_empty() => {
                if body.len() + content.len() > bounds.body {
                    self.bad(id, BadRequest::BodyTooLong(bounds.body), events);
                    return Ok(());
                }
                body.extend_from_slice(content);
                open.held += content.len();
                self.coming += content.len();
            }
            (Kind::Stdin, Stage::Stdin(..)) => {
                let stage = std::mem::replace(&mut open.stage, Stage::Whole);
                if let Stage::Stdin(params, body) = stage {
                    self.coming -= std::mem::take(&mut open.held);
                    open.stdin_over = true;
                    events.push(Event::Request { id, params, body: body.freeze() });
                }
            }
            (Kind::Stdin, Stage::Whole) => return after,
            // A body before its variables; filters' second bodies; what only applications send.
            _ => {}
        }
        Ok(())
    }

    fn bad(&mut self, id: u16, why: BadRequest, events: &mut Vec<Event>) {
        if let Some(open) = self.open.get_mut(&id) {
            open.stage = Stage::Bad;
            self.coming -= std::mem::take(&mut open.held);
            events.push(Event::Bad(id, why));
        }
    }

    /// Answers what an application says of itself when asked (section 4.1): only what was asked for.
    fn values(&mut self, content: &[u8]) {
        let (most_bytes, most_pairs) = MOST_VALUES;
        let mut asked = Pairs::new(most_bytes, most_pairs);
        let asked = asked.feed(content).ok().and_then(|()| asked.finish().ok()).unwrap_or_default();
        let Bounds { connections, requests, .. } = self.bounds;
        let known = [
            ("FCGI_MAX_CONNS", connections.to_string()),
            ("FCGI_MAX_REQS", u64::from(connections).saturating_mul(requests as u64).to_string()),
            ("FCGI_MPXS_CONNS", u8::from(requests > 1).to_string()),
        ];
        let mut answer = BytesMut::new();
        for (name, value) in &known {
            if asked.iter().any(|(wanted, _)| wanted == name.as_bytes()) {
                pairs::put(&mut answer, name.as_bytes(), value.as_bytes());
            }
        }
        put(&mut self.replies, Kind::GetValuesResult, MANAGEMENT, &answer);
    }

    /// Answers a request with all of its output, head first, or with none where it was aborted. Told once for each
    /// request; what is not open is not answered.
    pub fn end(&mut self, id: u16, parts: impl IntoIterator<Item = Bytes>, application: u32) {
        let Some(open) = self.open.remove(&id) else { return };
        self.coming -= open.held;
        self.last |= !open.keep;
        let parts: VecDeque<_> = if open.aborted {
            VecDeque::new()
        } else {
            parts.into_iter().filter(|part| !part.is_empty()).collect()
        };
        self.waiting += parts.iter().map(Bytes::len).sum::<usize>();
        let end = End { application, protocol: ProtocolStatus::Complete };
        self.outgoing.push_back(Outgoing { id, parts, end });
    }

    /// Whether there is anything to write.
    #[must_use]
    pub fn has_output(&self) -> bool {
        !self.replies.is_empty() || !self.outgoing.is_empty()
    }

    /// Moves what is to be written next to `out`, until that holds `most` bytes. Answers take turns by records: a long
    /// one does not keep the others waiting.
    pub fn output(&mut self, out: &mut BytesMut, most: usize) {
        if !self.replies.is_empty() {
            out.extend_from_slice(&self.replies);
            self.replies.clear();
        }
        while out.len() < most {
            let Some(mut next) = self.outgoing.pop_front() else { return };
            let Some(part) = next.parts.front_mut() else {
                put_stream_end(out, Kind::Stdout, next.id);
                put(out, Kind::EndRequest, next.id, &next.end.content());
                continue;
            };
            let size = part.len().min(CHUNK);
            put(out, Kind::Stdout, next.id, &part[..size]);
            part.advance(size);
            if part.is_empty() {
                next.parts.pop_front();
            }
            self.waiting -= size;
            self.outgoing.push_back(next);
        }
    }
}
