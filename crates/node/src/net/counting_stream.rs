//! A socket that counts what was written to it and can be looked at from beside the library that uses it.

use std::cell::{Cell, RefCell};
use std::future::pending;
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker, ready};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::{TcpStream, UnixStream};
use tokio::time::Instant;

/// Most that is read and dropped of what a closed connection's other side still sends.
const LINGER_BYTES: usize = 1 << 20;

/// A shared socket; the descriptor closes with its last clone.
#[derive(Clone)]
pub struct CountingStream(Rc<StreamState>);

/// Either kind of stream.
enum Socket {
    Tcp(TcpStream),
    Unix(UnixStream),
}

/// Does the same with either.
macro_rules! either {
    ($socket:expr, $stream:ident => $do:expr) => {
        match $socket {
            Socket::Tcp($stream) => $do,
            Socket::Unix($stream) => $do,
        }
    };
}

impl Socket {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        either!(self, stream => stream.poll_read_ready(cx))
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        either!(self, stream => stream.poll_write_ready(cx))
    }

    /// Ready at the other side's end alone: nothing is registered for urgent bytes.
    async fn ended(&self) -> io::Result<tokio::io::Ready> {
        either!(self, stream => stream.ready(Interest::PRIORITY).await)
    }

    async fn readable(&self) -> io::Result<()> {
        either!(self, stream => stream.readable().await)
    }

    /// Reads into room that need not be cleared first.
    fn try_read_buf(&self, buffer: &mut ReadBuf<'_>) -> io::Result<usize> {
        either!(self, stream => stream.try_read_buf(buffer))
    }

    /// The kernel has nothing more for now: it tells when there is. Without this, each message costs another read,
    /// which finds nothing.
    fn is_drained(&self) {
        let nothing = || Err::<(), _>(io::ErrorKind::WouldBlock.into());
        let _ = either!(self, stream => stream.try_io(Interest::READABLE, nothing));
    }

    fn try_read(&self, buffer: &mut [u8]) -> io::Result<usize> {
        either!(self, stream => stream.try_read(buffer))
    }

    fn try_write(&self, buffer: &[u8]) -> io::Result<usize> {
        either!(self, stream => stream.try_write(buffer))
    }

    fn try_write_vectored(&self, buffers: &[io::IoSlice<'_>]) -> io::Result<usize> {
        either!(self, stream => stream.try_write_vectored(buffers))
    }

    fn as_ref(&self) -> SockRef<'_> {
        either!(self, stream => SockRef::from(stream))
    }
}

/// A counter that others read.
pub type Counter = Rc<Cell<u64>>;

struct StreamState {
    stream: Socket,
    written: Cell<u64>,
    came: Cell<u64>,
    /// What is to be written waits for the other side to read.
    blocked: Cell<bool>,
    /// Once so much is written, the counter goes up by one.
    mark: RefCell<Option<(u64, Counter)>>,
    tap: Option<RefCell<HeadCapture>>,
}

/// The head of the next request as it came. The HTTP library drops a `Content-Length` beside a
/// `Transfer-Encoding` without a word, so its headers can't tell of a request that hides another.
#[derive(Default)]
struct HeadCapture {
    head: Vec<u8>,
    /// Bytes of the last request's body that are still to come.
    skip: u64,
    /// When the first byte of `head` came.
    since: Option<Instant>,
}

impl HeadCapture {
    fn take(&mut self, bytes: &[u8]) {
        let skipped = bytes.len().min(usize::try_from(self.skip).unwrap_or(usize::MAX));
        self.skip -= skipped as u64;
        let rest = &bytes[skipped..];
        if !rest.is_empty() && self.head.is_empty() {
            self.since = Some(Instant::now());
        }
        self.head.extend_from_slice(rest);
    }
}

/// What lies unread in a socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnreadState {
    /// Nothing; the connection is open.
    Nothing,
    /// Bytes.
    Bytes,
    /// The end of the connection.
    End,
}

impl CountingStream {
    /// Takes a connected socket over.
    pub fn new(stream: TcpStream) -> Self {
        Self::with(stream, None)
    }

    /// The same of this machine's own kind.
    pub fn from_unix(stream: UnixStream) -> Self {
        Self(Rc::new(StreamState {
            stream: Socket::Unix(stream),
            written: Cell::new(0),
            came: Cell::new(0),
            mark: RefCell::default(),
            blocked: Cell::new(false),
            tap: None,
        }))
    }

    /// One that requests come in on: their heads can be had as they came.
    pub fn capturing_heads(stream: TcpStream) -> Self {
        Self::with(stream, Some(RefCell::default()))
    }

    fn with(stream: TcpStream, tap: Option<RefCell<HeadCapture>>) -> Self {
        // Small messages must not wait for acknowledgements. A socket that can't be set up is dead, which
        // its first use will tell.
        let _ = stream.set_nodelay(true);
        Self(Rc::new(StreamState {
            stream: Socket::Tcp(stream),
            written: Cell::new(0),
            came: Cell::new(0),
            mark: RefCell::default(),
            blocked: Cell::new(false),
            tap,
        }))
    }

    /// The head that has come in whole, as it came; what follows is the body.
    pub fn take_head(&self) -> Vec<u8> {
        let Some(tap) = &self.0.tap else { return Vec::new() };
        let mut tap = tap.borrow_mut();
        let end = head_end(&tap.head);
        let rest = tap.head.split_off(end);
        tap.since = (!rest.is_empty()).then(Instant::now);
        std::mem::replace(&mut tap.head, rest)
    }

    /// So many bytes are the body of the request whose head was taken.
    pub fn skip_body(&self, body: u64) {
        let Some(tap) = &self.0.tap else { return };
        let mut tap = tap.borrow_mut();
        let mut came = std::mem::take(&mut tap.head);
        let here = came.len().min(usize::try_from(body).unwrap_or(usize::MAX));
        tap.skip = body - here as u64;
        // An idle connection holds no buffer.
        tap.head = came.split_off(here);
        tap.since = (!tap.head.is_empty()).then(Instant::now);
    }

    /// Since when part of a head has been here.
    pub fn head_started_at(&self) -> Option<Instant> {
        self.0.tap.as_ref()?.borrow().since
    }

    /// Writes what fits at once: a last word on a connection that the HTTP library has no answer on.
    pub fn write_best_effort(&self, text: &[u8]) {
        let _ = self.0.stream.try_write(text);
    }

    /// Whether something waits to be written until the other side has read.
    pub fn is_blocked(&self) -> bool {
        self.0.blocked.get()
    }

    /// Has the system hold back as little as it can for a client that does not read.
    #[cfg(test)]
    pub fn shrink_send_buffer(&self) {
        self.0.stream.as_ref().set_send_buffer_size(1).unwrap();
    }

    /// Bytes that have been read so far.
    pub fn bytes_read(&self) -> u64 {
        self.0.came.get()
    }

    /// Bytes that the kernel has taken so far.
    pub fn bytes_written(&self) -> u64 {
        self.0.written.get()
    }

    /// Counts one more once `size` bytes from now on are written.
    pub fn count_at(&self, size: u64, counter: &Counter) {
        *self.0.mark.borrow_mut() = Some((self.bytes_written() + size, counter.clone()));
    }

    /// Asks the kernel, not the event loop, which may not have seen the latest yet.
    pub fn unread(&self) -> UnreadState {
        match self.0.stream.as_ref().peek(&mut [MaybeUninit::uninit()]) {
            Ok(0) => UnreadState::End,
            Ok(_) => UnreadState::Bytes,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => UnreadState::Nothing,
            Err(_) => UnreadState::End,
        }
    }

    /// Waits until the other side has closed, or will send no more. The kernel tells of that whatever lies unread before
    /// it: the HTTP library looks for the end only where it holds no bytes of a next request, and a client that sent some
    /// and left went unnoticed until its answer.
    pub async fn peer_closed(&self) {
        match self.0.stream.ended().await {
            Ok(ready) if ready.is_read_closed() => {}
            // Not an end: who reads is told of the fault.
            _ => pending().await,
        }
    }

    /// Whether the other side's end has come, as far as the event loop has been told.
    pub fn has_peer_closed(&self) -> bool {
        std::pin::pin!(self.peer_closed()).poll(&mut Context::from_waker(Waker::noop())).is_ready()
    }

    /// Tells the other side that nothing more comes.
    pub fn close_writing(&self) {
        let _ = self.0.stream.as_ref().shutdown(std::net::Shutdown::Write);
    }

    /// Reads and drops what the other side still sends until it closes. Closing on unread bytes resets the
    /// connection, and a reset can overtake the answer that was just written.
    pub async fn drain_until_closed(&self) {
        let (mut scrap, mut dropped) = ([0; 4096], 0);
        while dropped < LINGER_BYTES && self.0.stream.readable().await.is_ok() {
            match self.0.stream.try_read(&mut scrap) {
                Ok(0) => return,
                Ok(count) => dropped += count,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
    }
}

/// Where the first head in some bytes ends, its empty line included; empty lines ahead of a request are allowed (RFC
/// 9112 section 2.2). All of it where it has no end.
fn head_end(bytes: &[u8]) -> usize {
    let (mut end, mut begun) = (0, false);
    for line in bytes.split_inclusive(|&byte| byte == b'\n') {
        end += line.len();
        let empty = matches!(line, [b'\n'] | [b'\r', b'\n']);
        if begun && empty {
            break;
        }
        begun |= !empty;
    }
    end
}

impl AsyncRead for CountingStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.stream.poll_read_ready(cx))?;
            let before = buf.filled().len();
            match self.0.stream.try_read_buf(buf) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                read => {
                    // Less than there was room for was all there was. An end that has come is not forgotten by
                    // this, and nothing comes in between: the one thread that is told is this one.
                    if read.as_ref().is_ok_and(|&count| count > 0) && buf.remaining() > 0 {
                        self.0.stream.is_drained();
                    }
                    let count = buf.filled().len() - before;
                    self.0.came.set(self.0.came.get() + count as u64);
                    let read = read.map(|_| ());
                    if let Some(tap) = &self.0.tap {
                        tap.borrow_mut().take(&buf.filled()[before..]);
                    }
                    return Poll::Ready(read);
                }
            }
        }
    }
}

impl CountingStream {
    fn poll_try(
        &self,
        cx: &mut Context<'_>,
        mut write: impl FnMut(&Socket) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            let ready = self.0.stream.poll_write_ready(cx);
            self.0.blocked.set(ready.is_pending());
            ready!(ready)?;
            match write(&self.0.stream) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                done => {
                    let count = *done.as_ref().unwrap_or(&0) as u64;
                    let written = self.0.written.get() + count;
                    self.0.written.set(written);
                    if let Some((_, counter)) = self.0.mark.borrow_mut().take_if(|(at, _)| written >= *at) {
                        counter.set(counter.get() + 1);
                    }
                    return Poll::Ready(done);
                }
            }
        }
    }
}

impl AsyncWrite for CountingStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_try(cx, |stream| stream.try_write(buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_try(cx, |stream| stream.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.0.stream.as_ref().shutdown(std::net::Shutdown::Write))
    }
}
