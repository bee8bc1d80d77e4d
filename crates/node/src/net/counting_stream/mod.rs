//! A socket that counts the bytes that pass, and can be examined beside the library that reads and writes it.

mod head_capture;
mod socket;

use std::cell::{Cell, RefCell};
use std::future::pending;
use std::io;
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll, Waker, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpStream, UnixStream};
use tokio::time::Instant;

use self::head_capture::HeadCapture;
use self::socket::Socket;

/// Most that is read and dropped of what the peer of a closed connection still sends.
const MAX_DRAIN_BYTES: usize = 1 << 20;
/// Bytes that are read at once while draining.
const DRAIN_READ_BYTES: usize = 4096;

/// A shared socket; the descriptor closes with its last clone.
#[derive(Clone)]
pub struct CountingStream(Rc<StreamState>);

/// A counter that others read.
pub type Counter = Rc<Cell<u64>>;

struct StreamState {
    socket: Socket,
    bytes_written: Cell<u64>,
    bytes_read: Cell<u64>,
    /// A write waits for the peer to read.
    is_blocked: Cell<bool>,
    write_threshold: RefCell<Option<WriteThreshold>>,
    head_capture: Option<RefCell<HeadCapture>>,
}

/// Increments a counter once so many bytes are written.
struct WriteThreshold {
    bytes_written: u64,
    counter: Counter,
}

/// What lies unread in a socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnreadState {
    /// Nothing; the connection is open.
    Empty,
    /// Data.
    Data,
    /// The end of the connection.
    Closed,
}

impl CountingStream {
    /// Takes a TCP stream.
    pub fn new(stream: TcpStream) -> Self {
        Self::from_tcp(stream, None)
    }

    /// Takes a Unix stream.
    pub fn from_unix(stream: UnixStream) -> Self {
        Self::from_socket(Socket::Unix(stream), None)
    }

    /// Takes a TCP stream of a client, and captures the heads of its requests.
    pub fn capturing_heads(stream: TcpStream) -> Self {
        Self::from_tcp(stream, Some(RefCell::default()))
    }

    fn from_tcp(stream: TcpStream, head_capture: Option<RefCell<HeadCapture>>) -> Self {
        // Small messages must not wait for acknowledgements. An error means a dead socket, which its first use shows.
        let _ = stream.set_nodelay(true);
        Self::from_socket(Socket::Tcp(stream), head_capture)
    }

    fn from_socket(socket: Socket, head_capture: Option<RefCell<HeadCapture>>) -> Self {
        Self(Rc::new(StreamState {
            socket,
            bytes_written: Cell::new(0),
            bytes_read: Cell::new(0),
            is_blocked: Cell::new(false),
            write_threshold: RefCell::default(),
            head_capture,
        }))
    }

    /// Takes the head that was received completely; what follows it is the body.
    pub fn take_head(&self) -> Vec<u8> {
        self.0.head_capture.as_ref().map_or_else(Vec::new, |capture| capture.borrow_mut().take_head())
    }

    /// Skips the body, of this many bytes, of the request whose head was taken.
    pub fn skip_body(&self, length: u64) {
        if let Some(capture) = &self.0.head_capture {
            capture.borrow_mut().skip_body(length);
        }
    }

    /// When the first byte of a head came that is not taken.
    pub fn head_started_at(&self) -> Option<Instant> {
        self.0.head_capture.as_ref()?.borrow().started_at()
    }

    /// Writes what the kernel takes at once: a message on a connection that the HTTP library has no response for.
    pub fn write_best_effort(&self, text: &[u8]) {
        let _ = self.0.socket.try_write(text);
    }

    /// Whether a write waits for the peer to read.
    pub fn is_blocked(&self) -> bool {
        self.0.is_blocked.get()
    }

    /// Makes the kernel buffer as little as it can for a peer that does not read.
    #[cfg(test)]
    pub fn shrink_send_buffer(&self) {
        self.0.socket.as_ref().set_send_buffer_size(1).unwrap();
    }

    /// Number of bytes that have been read.
    pub fn bytes_read(&self) -> u64 {
        self.0.bytes_read.get()
    }

    /// Number of bytes that the kernel has taken.
    pub fn bytes_written(&self) -> u64 {
        self.0.bytes_written.get()
    }

    /// Increments a counter once `size` more bytes are written.
    pub fn count_after_writing(&self, size: u64, counter: &Counter) {
        let bytes_written = self.bytes_written() + size;
        *self.0.write_threshold.borrow_mut() =
            Some(WriteThreshold { bytes_written, counter: counter.clone() });
    }

    /// Returns what lies unread. The kernel is asked: the event loop may not have seen the latest data.
    pub fn unread(&self) -> UnreadState {
        match self.0.socket.as_ref().peek(&mut [MaybeUninit::uninit()]) {
            Ok(0) => UnreadState::Closed,
            Ok(_) => UnreadState::Data,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => UnreadState::Empty,
            Err(_) => UnreadState::Closed,
        }
    }

    /// Waits until the peer has closed its side, whatever data lies unread before that. The HTTP library sees a close only
    /// where it holds no data of a next request.
    pub async fn peer_closed(&self) {
        match self.0.socket.peer_closed().await {
            Ok(ready) if ready.is_read_closed() => {}
            // Not a close: the reader gets the error.
            _ => pending().await,
        }
    }

    /// Whether the peer has closed its side, as far as the event loop has seen.
    pub fn has_peer_closed(&self) -> bool {
        pin!(self.peer_closed()).poll(&mut Context::from_waker(Waker::noop())).is_ready()
    }

    /// Closes this side.
    pub fn close_writing(&self) {
        let _ = self.0.socket.as_ref().shutdown(Shutdown::Write);
    }

    /// Reads and drops what the peer still sends until it closes. To close on unread data resets the connection, and a
    /// reset can overtake the response that was just written.
    pub async fn drain_until_closed(&self) {
        let mut scratch = [0; DRAIN_READ_BYTES];
        let mut drained = 0;
        while drained < MAX_DRAIN_BYTES && self.0.socket.readable().await.is_ok() {
            match self.0.socket.try_read(&mut scratch) {
                Ok(0) => return,
                Ok(count) => drained += count,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
    }

    fn on_read(&self, bytes: &[u8]) {
        self.0.bytes_read.set(self.0.bytes_read.get() + bytes.len() as u64);
        if let Some(capture) = &self.0.head_capture {
            capture.borrow_mut().on_read(bytes);
        }
    }

    fn on_written(&self, count: u64) {
        let written = self.0.bytes_written.get() + count;
        self.0.bytes_written.set(written);
        let mut threshold = self.0.write_threshold.borrow_mut();
        if let Some(reached) = threshold.take_if(|threshold| written >= threshold.bytes_written) {
            reached.counter.set(reached.counter.get() + 1);
        }
    }

    fn poll_write_with(
        &self,
        cx: &mut Context<'_>,
        mut write: impl FnMut(&Socket) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            let ready = self.0.socket.poll_write_ready(cx);
            self.0.is_blocked.set(ready.is_pending());
            ready!(ready)?;
            match write(&self.0.socket) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => {
                    self.on_written(*result.as_ref().unwrap_or(&0) as u64);
                    return Poll::Ready(result);
                }
            }
        }
    }
}

impl AsyncRead for CountingStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.socket.poll_read_ready(cx))?;
            let before = buf.filled().len();
            match self.0.socket.try_read_buf(buf) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => {
                    // A read that does not fill the buffer has taken all there was. A close that has been seen stays
                    // seen, and none is missed: only this thread polls the socket.
                    if result.as_ref().is_ok_and(|&count| count > 0) && buf.remaining() > 0 {
                        self.0.socket.clear_read_ready();
                    }
                    self.on_read(&buf.filled()[before..]);
                    return Poll::Ready(result.map(|_| ()));
                }
            }
        }
    }
}

impl AsyncWrite for CountingStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, |socket| socket.try_write(buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, |socket| socket.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.0.socket.as_ref().shutdown(Shutdown::Write))
    }
}
