//! Bodies of responses to clients, either complete or streamed.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::rc::Rc;
use std::time::Instant;
use tokio::task;

pub use self::pieces::{BodyPieces, PieceBuffer};
pub use self::progress::StreamProgress;
pub use self::source::{BodyPart, BodyParts, BodySource};
use crate::net::counting_stream::CountingStream;
use crate::net::memory_budget::Reservation;

mod pieces;
mod progress;
mod source;

/// How a streamed body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// The whole body was passed on.
    Complete,
    /// The endpoint aborted the response, or the stream was aborted because of its pace.
    UpstreamFailed,
    /// The client disconnected.
    ClientDisconnected,
}

/// The body of a response.
pub enum ResponseBody {
    /// The complete body.
    Full(Bytes),
    /// The complete body, in pieces.
    Pieces(BodyPieces),
    /// A body that is streamed.
    Stream(Box<StreamedBody>),
}

impl ResponseBody {
    /// Adds a hook that is called at the end of a streamed body; a complete body drops it.
    pub fn on_end(&mut self, hook: impl FnOnce(StreamEnd) + 'static) {
        if let Self::Stream(stream) = self {
            stream.hooks.push(Box::new(hook));
        }
    }

    /// Whether the body is streamed.
    pub fn is_stream(&self) -> bool {
        matches!(self, Self::Stream(_))
    }

    /// Makes a streamed body with a small window wait while `client` does not read.
    pub fn limit_unread_data(&mut self, client: &CountingStream) {
        if let Self::Stream(stream) = self
            && stream.window == StreamWindow::Small
        {
            stream.blocking_client = Some(client.clone());
        }
    }

    /// Sets the hook that aborts a streamed body by closing the client's connection.
    pub fn set_abort_hook(&self, hook: impl Fn() + 'static) {
        if let Self::Stream(stream) = self {
            stream.progress.set_abort_hook(Box::new(hook));
        }
    }
}

impl From<Bytes> for ResponseBody {
    fn from(bytes: Bytes) -> Self {
        Self::Full(bytes)
    }
}

/// How much of a streamed body may wait for the client in this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamWindow {
    /// What fills the buffers of the HTTP library for both connections.
    Full,
    /// A single piece.
    Small,
}

/// Called at the end of a stream.
type EndHook = Box<dyn FnOnce(StreamEnd)>;

/// A streamed body whose start has been received.
pub struct StreamStart {
    /// What has been received.
    pub pieces: BodyPieces,
    /// Length, if stated.
    pub length: Option<u64>,
    /// Maximum size of the body in bytes, if it is limited.
    pub max_bytes: Option<u64>,
    /// How much of the body may wait for the client.
    pub window: StreamWindow,
    /// Reservation for the buffers of the connections.
    pub reservation: Reservation,
}

/// A streamed body.
pub struct StreamedBody {
    /// The part of the start of the body that has not been passed on.
    start: BodyPieces,
    rest: BodySource,
    /// Length, if stated.
    length: Option<u64>,
    max_bytes: Option<u64>,
    progress: Rc<StreamProgress>,
    hooks: Vec<EndHook>,
    window: StreamWindow,
    /// Reservation for the buffers of the connections.
    _reservation: Reservation,
    /// The client's connection, if the body waits while it is blocked.
    blocking_client: Option<CountingStream>,
}

impl StreamedBody {
    /// Returns a body whose start has been received. Its pace is checked in a task that ends with the stream.
    pub fn new(start: StreamStart, rest: BodySource) -> (Self, Rc<StreamProgress>) {
        let StreamStart { pieces, length, max_bytes, window, reservation } = start;
        let progress = StreamProgress::new();
        task::spawn_local(progress.clone().enforce_pace());
        let body = Self {
            start: pieces,
            rest,
            length,
            max_bytes,
            progress: progress.clone(),
            hooks: Vec::new(),
            window,
            _reservation: reservation,
            blocking_client: None,
        };
        (body, progress)
    }

    fn finish(&mut self, end: StreamEnd) {
        if self.progress.finish(end) {
            self.hooks.drain(..).for_each(|hook| hook(end));
        }
    }

    fn is_at_end(&self) -> bool {
        self.start.is_empty() && self.rest.is_at_end()
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if self.progress.is_aborted() {
            self.finish(StreamEnd::UpstreamFailed);
            return Poll::Ready(Some(Err(io::ErrorKind::TimedOut.into())));
        }
        if let Some(client) = &self.blocking_client
            && client.poll_unblocked(cx).is_pending()
        {
            self.progress.on_blocked(Instant::now());
            return Poll::Pending;
        }
        if let Some(piece) = self.start.pop() {
            self.progress.on_data(piece.len(), Instant::now());
            return Poll::Ready(Some(Ok(Frame::data(piece))));
        }
        let polled = self.rest.poll_data(cx);
        let now = Instant::now();
        match polled {
            Poll::Pending => {
                self.progress.on_pending(now, cx);
                Poll::Pending
            }
            Poll::Ready(None) => {
                self.finish(StreamEnd::Complete);
                Poll::Ready(None)
            }
            Poll::Ready(Some(Err(error))) => {
                self.finish(StreamEnd::UpstreamFailed);
                Poll::Ready(Some(Err(error)))
            }
            Poll::Ready(Some(Ok(data))) => {
                self.progress.on_data(data.len(), now);
                if self.max_bytes.is_some_and(|max| self.progress.bytes() > max) {
                    self.finish(StreamEnd::UpstreamFailed);
                    return Poll::Ready(Some(Err(io::ErrorKind::FileTooLarge.into())));
                }
                Poll::Ready(Some(Ok(Frame::data(data))))
            }
        }
    }
}

impl Drop for StreamedBody {
    fn drop(&mut self) {
        let end = if self.is_at_end() { StreamEnd::Complete } else { StreamEnd::ClientDisconnected };
        self.finish(end);
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match self.get_mut() {
            Self::Full(bytes) if bytes.is_empty() => Poll::Ready(None),
            Self::Full(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            Self::Pieces(pieces) => Poll::Ready(pieces.pop().map(|piece| Ok(Frame::data(piece)))),
            Self::Stream(stream) => stream.poll(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(bytes) => bytes.is_empty(),
            Self::Pieces(pieces) => pieces.is_empty(),
            Self::Stream(stream) => stream.is_at_end(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Self::Pieces(pieces) => SizeHint::with_exact(pieces.len() as u64),
            Self::Stream(stream) => stream.length.map_or_else(SizeHint::default, |length| {
                SizeHint::with_exact(length.saturating_sub(stream.progress.bytes()))
            }),
        }
    }
}
