//! A TCP or Unix stream.

use std::io;
use std::task::{Context, Poll};

use bytes::BufMut;
use rustix::io::ioctl_fionread;
use socket2::SockRef;
use tokio::io::{Interest, Ready};
use tokio::net::{TcpStream, UnixStream};

/// Either kind of stream.
pub(super) enum Socket {
    Tcp(TcpStream),
    Unix(UnixStream),
}

/// Evaluates the same expression for either kind of stream.
macro_rules! either {
    ($socket:expr, $stream:ident => $do:expr) => {
        match $socket {
            Socket::Tcp($stream) => $do,
            Socket::Unix($stream) => $do,
        }
    };
}

impl Socket {
    pub fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        either!(self, stream => stream.poll_read_ready(cx))
    }

    pub fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        either!(self, stream => stream.poll_write_ready(cx))
    }

    /// Waits until the peer has closed the connection. Priority interest wakes up for nothing else, because urgent
    /// data is not registered.
    pub async fn peer_closed(&self) -> io::Result<Ready> {
        either!(self, stream => stream.ready(Interest::PRIORITY).await)
    }

    pub async fn readable(&self) -> io::Result<()> {
        either!(self, stream => stream.readable().await)
    }

    /// Reads into memory that need not be initialized.
    pub fn try_read_buf(&self, buffer: &mut impl BufMut) -> io::Result<usize> {
        either!(self, stream => stream.try_read_buf(buffer))
    }

    /// Clears the read readiness until the kernel reports more data, which avoids a read that would find none.
    pub fn clear_read_ready(&self) {
        let would_block = || Err::<(), _>(io::ErrorKind::WouldBlock.into());
        let _ = either!(self, stream => stream.try_io(Interest::READABLE, would_block));
    }

    /// Acknowledges all data that has been received, instead of waiting for data to send.
    pub fn acknowledge(&self) -> io::Result<()> {
        match self {
            Self::Tcp(stream) => stream.set_quickack(true),
            Self::Unix(_) => Ok(()),
        }
    }

    pub fn try_read(&self, buffer: &mut [u8]) -> io::Result<usize> {
        either!(self, stream => stream.try_read(buffer))
    }

    pub fn try_write(&self, buffer: &[u8]) -> io::Result<usize> {
        either!(self, stream => stream.try_write(buffer))
    }

    pub fn try_write_vectored(&self, buffers: &[io::IoSlice<'_>]) -> io::Result<usize> {
        either!(self, stream => stream.try_write_vectored(buffers))
    }

    /// Returns the number of bytes that have arrived and were not read.
    pub fn count_unread(&self) -> io::Result<u64> {
        Ok(either!(self, stream => ioctl_fionread(stream))?)
    }

    pub fn as_ref(&self) -> SockRef<'_> {
        either!(self, stream => SockRef::from(stream))
    }
}
