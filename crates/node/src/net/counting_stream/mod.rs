//! A socket that counts the transferred bytes and can be inspected while a library reads and writes it.

mod arrival;
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

use bytes::BufMut as _;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpStream, UnixStream};
use tokio::time::Instant;

use self::arrival::ArrivalMonitor;
use self::head_capture::HeadCapture;
use self::socket::Socket;
use crate::net::memory_budget::Reservation;

/// Maximum number of bytes that are read and discarded from the peer of a closed connection.
const MAX_DRAIN_BYTES: usize = 1 << 20;
/// Written to a client whose head is too long for the memory that is left.
const NO_MEMORY_RESPONSE: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
/// Initial size of the HTTP library's read buffer, which is doubled whenever a read fills it.
const INITIAL_READ_BUFFER_BYTES: usize = 8 << 10;
/// Maximum number of bytes per read from a peer whose message has no memory reserved for the buffers of its connection. It
/// is too little to make the HTTP library's read buffer grow.
pub const MAX_UNRESERVED_READ_BYTES: usize = INITIAL_READ_BUFFER_BYTES - 1;
/// Size of the read buffer while draining, in bytes.
const DRAIN_READ_BYTES: usize = 4096;

/// A shared socket. The descriptor is closed with the last clone.
#[derive(Clone)]
pub struct CountingStream(Rc<StreamState>);

/// A shared counter.
pub type Counter = Rc<Cell<u64>>;

struct StreamState {
    socket: Socket,
    bytes_written: Cell<u64>,
    bytes_read: Cell<u64>,
    arrival: ArrivalMonitor,
    /// Whether a write is blocked until the peer reads.
    is_blocked: Cell<bool>,
    /// Woken when a blocked write can go on.
    unblocked: RefCell<Option<Waker>>,
    write_threshold: RefCell<Option<WriteThreshold>>,
    head_capture: Option<RefCell<HeadCapture>>,
    /// Maximum number of bytes per read. The HTTP library's read buffer grows with the size of the reads.
    max_read: Cell<usize>,
}

/// Increments a counter once this number of bytes has been written.
struct WriteThreshold {
    bytes_written: u64,
    counter: Counter,
}

/// State of the unread data in a socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnreadState {
    /// No data; the connection is open.
    Empty,
    /// There is unread data.
    Data,
    /// The connection has ended.
    Closed,
}

impl CountingStream {
    /// Wraps a TCP stream.
    pub fn new(stream: TcpStream) -> Self {
        Self::from_tcp(stream, None)
    }

    /// Wraps a Unix stream.
    pub fn from_unix(stream: UnixStream) -> Self {
        Self::from_socket(Socket::Unix(stream), None)
    }

    /// Wraps the TCP stream of a client, and captures the heads of its requests. Long heads are reserved in
    /// `head_memory`.
    pub fn capturing_heads(stream: TcpStream, head_memory: Reservation) -> Self {
        let stream = Self::from_tcp(stream, Some(RefCell::new(HeadCapture::new(head_memory))));
        stream.set_max_read(MAX_UNRESERVED_READ_BYTES);
        stream
    }

    fn from_tcp(stream: TcpStream, head_capture: Option<RefCell<HeadCapture>>) -> Self {
        // Disables Nagle's algorithm, so that small messages do not wait for acknowledgements. An error means that
        // the socket is broken, which its first use will show.
        let _ = stream.set_nodelay(true);
        Self::from_socket(Socket::Tcp(stream), head_capture)
    }

    fn from_socket(socket: Socket, head_capture: Option<RefCell<HeadCapture>>) -> Self {
        Self(Rc::new(StreamState {
            socket,
            bytes_written: Cell::new(0),
            bytes_read: Cell::new(0),
            arrival: ArrivalMonitor::new(),
            is_blocked: Cell::new(false),
            unblocked: RefCell::default(),
            write_threshold: RefCell::default(),
            head_capture,
            max_read: Cell::new(usize::MAX),
        }))
    }

    /// Takes the head that was received completely. The data after it is the body.
    pub fn take_head(&self) -> Vec<u8> {
        self.0.head_capture.as_ref().map_or_else(Vec::new, |capture| capture.borrow_mut().take_head())
    }

    /// Skips the body of the request whose head was taken; `length` is its size in bytes.
    pub fn skip_body(&self, length: u64) {
        if let Some(capture) = &self.0.head_capture {
            capture.borrow_mut().skip_body(length);
        }
    }

    /// Returns when the first byte of a head that was not taken yet was received.
    pub fn head_started_at(&self) -> Option<Instant> {
        self.0.head_capture.as_ref()?.borrow().started_at()
    }

    /// Limits the number of bytes per read.
    pub fn set_max_read(&self, bytes: usize) {
        self.0.max_read.set(bytes);
    }

    /// Returns when the client last sent anything.
    pub fn last_read_at(&self) -> Option<Instant> {
        self.0.head_capture.as_ref()?.borrow().last_read_at()
    }

    /// Whether memory is reserved for a long head.
    pub fn holds_head_memory(&self) -> bool {
        self.0.head_capture.as_ref().is_some_and(|capture| capture.borrow().holds_memory())
    }

    /// Writes as much as the kernel accepts immediately, for a message on a connection for which the HTTP library has
    /// no response.
    pub fn write_best_effort(&self, text: &[u8]) {
        let _ = self.0.socket.try_write(text);
    }

    /// Whether a write is blocked until the peer reads.
    pub fn is_blocked(&self) -> bool {
        self.0.is_blocked.get()
    }

    /// Waits while a write is blocked until the peer reads.
    pub fn poll_unblocked(&self, cx: &mut Context<'_>) -> Poll<()> {
        if !self.is_blocked() {
            return Poll::Ready(());
        }
        *self.0.unblocked.borrow_mut() = Some(cx.waker().clone());
        Poll::Pending
    }

    /// Reduces the kernel's send buffer to the minimum, for tests with a peer that does not read.
    #[cfg(test)]
    pub fn shrink_send_buffer(&self) {
        self.0.socket.as_ref().set_send_buffer_size(1).unwrap();
    }

    /// Returns the number of bytes that have been read.
    pub fn bytes_read(&self) -> u64 {
        self.0.bytes_read.get()
    }

    /// Returns the number of bytes that have been written to the kernel.
    pub fn bytes_written(&self) -> u64 {
        self.0.bytes_written.get()
    }

    /// Increments a counter once `size` more bytes have been written.
    pub fn count_after_writing(&self, size: u64, counter: &Counter) {
        let bytes_written = self.bytes_written() + size;
        *self.0.write_threshold.borrow_mut() =
            Some(WriteThreshold { bytes_written, counter: counter.clone() });
    }

    /// Returns the state of the unread data. Queries the kernel, because the event loop may not have seen the latest
    /// data yet.
    pub fn unread(&self) -> UnreadState {
        match self.0.socket.as_ref().peek(&mut [MaybeUninit::uninit()]) {
            Ok(0) => UnreadState::Closed,
            Ok(_) => UnreadState::Data,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => UnreadState::Empty,
            Err(_) => UnreadState::Closed,
        }
    }

    /// Returns the number of bytes that have arrived and were not read.
    pub fn count_unread(&self) -> u64 {
        self.0.socket.count_unread().unwrap_or(0)
    }

    /// Records what has arrived. Must be called regularly while nothing is read and the time of arrival matters.
    pub fn observe_arrival(&self) {
        self.0.arrival.observe(self.bytes_read() + self.count_unread());
    }

    /// Returns when data was last observed to have arrived.
    pub fn last_arrival_at(&self) -> Instant {
        self.0.arrival.last_at()
    }

    /// Whether the whole body of the request whose head was taken has arrived; false if its length is not stated.
    pub fn has_body_arrived(&self) -> bool {
        let capture = self.0.head_capture.as_ref();
        capture.is_some_and(|capture| capture.borrow().body_bytes_remaining() <= self.count_unread())
    }

    /// Acknowledges all data that has been received. Until then the peer's system may hold back small writes.
    pub fn acknowledge(&self) {
        // Without it the acknowledgement is sent later.
        let _ = self.0.socket.acknowledge();
    }

    /// Waits until the peer has closed its side, even if there is unread data before the close. The HTTP library only
    /// notices a close if it holds no data of a next request.
    pub async fn peer_closed(&self) {
        match self.0.socket.peer_closed().await {
            Ok(ready) if ready.is_read_closed() => {}
            // Not a close; the reader gets the error.
            _ => pending().await,
        }
    }

    /// Whether the event loop has seen that the peer has closed its side.
    pub fn has_peer_closed(&self) -> bool {
        pin!(self.peer_closed()).poll(&mut Context::from_waker(Waker::noop())).is_ready()
    }

    /// Closes this side of the connection for writing.
    pub fn close_writing(&self) {
        let _ = self.0.socket.as_ref().shutdown(Shutdown::Write);
    }

    /// Reads and discards what the peer still sends, until it closes the connection. Closing a socket with unread
    /// data resets the connection, and the reset can overtake the response that was just written.
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

    fn on_read(&self, bytes: &[u8]) -> io::Result<()> {
        self.0.bytes_read.set(self.0.bytes_read.get() + bytes.len() as u64);
        self.0.arrival.observe(self.0.bytes_read.get());
        let Some(capture) = &self.0.head_capture else { return Ok(()) };
        capture.borrow_mut().on_read(bytes).map_err(|error| {
            self.write_best_effort(NO_MEMORY_RESPONSE);
            io::Error::other(error)
        })
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
            if let Some(waker) = self.0.unblocked.borrow_mut().take() {
                waker.wake();
            }
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
            let max_read = self.0.max_read.get().min(buf.remaining());
            match self.0.socket.try_read_buf(&mut (&mut *buf).limit(max_read)) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => {
                    // A read that does not fill the buffer has read all available data. Clearing the readiness does
                    // not lose a close that was already seen, and can't miss another one, because only this thread
                    // polls the socket.
                    if result.as_ref().is_ok_and(|&count| count > 0 && count < max_read) {
                        self.0.socket.clear_read_ready();
                    }
                    self.on_read(&buf.filled()[before..])?;
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
