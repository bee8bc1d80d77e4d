//! Bodies of responses to clients, either complete or streamed.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::rc::Rc;
use std::time::Instant;
use tokio::task;

pub use self::progress::StreamProgress;
use crate::net::memory_budget::Reservation;

mod progress;

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

/// Called at the end of a stream.
type EndHook = Box<dyn FnOnce(StreamEnd)>;

/// A streamed body.
pub struct StreamedBody {
    /// The start of the body, until it has been passed on.
    start: Option<Bytes>,
    rest: Incoming,
    /// Length, if stated.
    length: Option<u64>,
    progress: Rc<StreamProgress>,
    hooks: Vec<EndHook>,
    /// Reservation for the buffers of the connections.
    _reservation: Reservation,
}

impl StreamedBody {
    /// Returns a body whose start has been received. Its pace is checked in a task that ends with the stream.
    pub fn new(
        start: Bytes,
        rest: Incoming,
        length: Option<u64>,
        reservation: Reservation,
    ) -> (Self, Rc<StreamProgress>) {
        let progress = StreamProgress::new();
        task::spawn_local(progress.clone().enforce_pace());
        let start = Some(start).filter(|start| !start.is_empty());
        let body = Self {
            start,
            rest,
            length,
            progress: progress.clone(),
            hooks: Vec::new(),
            _reservation: reservation,
        };
        (body, progress)
    }

    fn finish(&mut self, end: StreamEnd) {
        if self.progress.finish(end) {
            self.hooks.drain(..).for_each(|hook| hook(end));
        }
    }

    fn is_at_end(&self) -> bool {
        self.start.is_none() && self.rest.is_end_stream()
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if self.progress.is_aborted() {
            self.finish(StreamEnd::UpstreamFailed);
            return Poll::Ready(Some(Err(io::ErrorKind::TimedOut.into())));
        }
        if let Some(start) = self.start.take() {
            self.progress.on_data(start.len(), Instant::now());
            return Poll::Ready(Some(Ok(Frame::data(start))));
        }
        loop {
            let polled = Pin::new(&mut self.rest).poll_frame(cx);
            let now = Instant::now();
            return match polled {
                Poll::Pending => {
                    self.progress.on_pending(now);
                    Poll::Pending
                }
                Poll::Ready(None) => {
                    self.finish(StreamEnd::Complete);
                    Poll::Ready(None)
                }
                Poll::Ready(Some(Err(error))) => {
                    self.finish(StreamEnd::UpstreamFailed);
                    Poll::Ready(Some(Err(io::Error::other(error))))
                }
                Poll::Ready(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) => {
                        self.progress.on_data(data.len(), now);
                        Poll::Ready(Some(Ok(Frame::data(data))))
                    }
                    // Trailers are not forwarded, because neither side has negotiated them.
                    Err(_) => continue,
                },
            };
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
            Self::Stream(stream) => stream.poll(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(bytes) => bytes.is_empty(),
            Self::Stream(stream) => stream.is_at_end(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Self::Stream(stream) => stream.length.map_or_else(SizeHint::default, |length| {
                SizeHint::with_exact(length.saturating_sub(stream.progress.bytes()))
            }),
        }
    }
}
