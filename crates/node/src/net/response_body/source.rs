//! Where the rest of a streamed body comes from.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming};
use tokio::sync::mpsc;

/// The rest of a body that an endpoint is sending.
pub enum BodySource {
    /// A body that the HTTP library reads.
    Http(Incoming),
    /// A body whose parts another task sends.
    Parts(BodyParts),
}

/// A part of a body.
pub enum BodyPart {
    /// Data, which is not empty.
    Data(Bytes),
    /// The end. A channel that is closed before it belongs to an incomplete body.
    End,
}

/// The receiving side of a body whose parts another task sends.
pub struct BodyParts {
    receiver: mpsc::UnboundedReceiver<BodyPart>,
    is_complete: bool,
}

impl BodyParts {
    /// Returns a body, and the sender of its parts, which sees when the body is dropped.
    #[must_use]
    pub fn channel() -> (mpsc::UnboundedSender<BodyPart>, Self) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (sender, Self { receiver, is_complete: false })
    }

    fn poll_part(&mut self, cx: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        if self.is_complete {
            return Poll::Ready(None);
        }
        Poll::Ready(match ready!(self.receiver.poll_recv(cx)) {
            Some(BodyPart::Data(data)) => Some(Ok(data)),
            Some(BodyPart::End) => {
                self.is_complete = true;
                None
            }
            None => Some(Err(io::ErrorKind::UnexpectedEof.into())),
        })
    }
}

impl BodySource {
    /// Whether the end has been received.
    pub fn is_at_end(&self) -> bool {
        match self {
            Self::Http(body) => body.is_end_stream(),
            Self::Parts(parts) => parts.is_complete,
        }
    }

    /// Returns the next data, or `None` at the end. Trailers are skipped, because neither side has negotiated them.
    pub fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        match self {
            Self::Parts(parts) => parts.poll_part(cx),
            Self::Http(body) => loop {
                match ready!(Pin::new(&mut *body).poll_frame(cx)).map(|frame| frame.map(Frame::into_data)) {
                    None => return Poll::Ready(None),
                    Some(Err(error)) => return Poll::Ready(Some(Err(io::Error::other(error)))),
                    Some(Ok(Ok(data))) => return Poll::Ready(Some(Ok(data))),
                    Some(Ok(Err(_trailers))) => {}
                }
            },
        }
    }
}
