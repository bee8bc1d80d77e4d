//! A TCP socket that counts what was written to it and can be looked at from beside the HTTP library.

use std::cell::Cell;
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A shared socket; the descriptor closes with its last clone.
#[derive(Clone)]
pub struct Link(Rc<Shared>);

struct Shared {
    stream: TcpStream,
    written: Cell<u64>,
}

/// What lies unread in a socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unread {
    /// Nothing; the connection is open.
    Nothing,
    /// Bytes.
    Bytes,
    /// The end of the connection.
    End,
}

impl Link {
    /// Takes a connected socket over.
    pub fn new(stream: TcpStream) -> Self {
        // Small messages must not wait for acknowledgements. A socket that can't be set up is dead, which
        // its first use will tell.
        let _ = stream.set_nodelay(true);
        Self(Rc::new(Shared { stream, written: Cell::new(0) }))
    }

    /// Bytes that the kernel has taken so far.
    pub fn written(&self) -> u64 {
        self.0.written.get()
    }

    /// Asks the kernel, not the event loop, which may not have seen the latest yet.
    pub fn unread(&self) -> Unread {
        match SockRef::from(&self.0.stream).peek(&mut [MaybeUninit::uninit()]) {
            Ok(0) => Unread::End,
            Ok(_) => Unread::Bytes,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Unread::Nothing,
            Err(_) => Unread::End,
        }
    }

    /// Reads and drops what the other side still sends until it closes. Closing on unread bytes resets the
    /// connection, and a reset can overtake the answer that was just written.
    pub async fn linger(&self) {
        let mut scrap = [0; 4096];
        while self.0.stream.readable().await.is_ok() {
            match self.0.stream.try_read(&mut scrap) {
                Ok(0) => return,
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
    }
}

impl AsyncRead for Link {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.stream.poll_read_ready(cx))?;
            match self.0.stream.try_read(buf.initialize_unfilled()) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                read => return Poll::Ready(read.map(|count| buf.advance(count))),
            }
        }
    }
}

impl Link {
    fn poll_try(
        &self,
        cx: &mut Context<'_>,
        mut write: impl FnMut(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.stream.poll_write_ready(cx))?;
            match write(&self.0.stream) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                done => {
                    let count = *done.as_ref().unwrap_or(&0) as u64;
                    self.0.written.set(self.0.written.get() + count);
                    return Poll::Ready(done);
                }
            }
        }
    }
}

impl AsyncWrite for Link {
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
        Poll::Ready(SockRef::from(&self.0.stream).shutdown(std::net::Shutdown::Write))
    }
}
