//! Responses that an endpoint writes in bursts with pauses between them.

use std::io::{self, Write};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

/// How the end of a response's body is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By a stated length.
    Length,
    /// By the last chunk.
    Chunked,
    /// By the end of the connection, which the head announces.
    Close,
}

impl Framing {
    /// All framings.
    pub const ALL: [Self; 3] = [Self::Length, Self::Chunked, Self::Close];
}

/// A 200 response whose body is written in bursts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PacedResponse {
    /// How the end of the body is marked.
    pub framing: Framing,
    /// Size of the body in bytes.
    pub size: usize,
    /// Size of a burst in bytes. The last one may be smaller.
    pub burst: usize,
    /// Pause before each burst but the first, which follows the head at once, and before the end of a chunked body.
    pub pause: Duration,
    /// Whether the connection is closed in place of the last burst.
    pub is_cut: bool,
}

impl PacedResponse {
    /// Returns the number of bursts that are written.
    #[must_use]
    pub fn burst_count(&self) -> usize {
        self.size.div_ceil(self.burst) - usize::from(self.is_cut)
    }

    /// Returns the body.
    #[must_use]
    pub fn body(&self) -> Vec<u8> {
        vec![b'x'; self.size]
    }

    /// Writes the response; returns whether the connection stays open.
    ///
    /// # Errors
    /// The connection ends.
    pub fn write(&self, mut output: &TcpStream) -> io::Result<bool> {
        let field = match self.framing {
            Framing::Length => format!("Content-Length: {}", self.size),
            Framing::Chunked => "Transfer-Encoding: chunked".to_owned(),
            Framing::Close => "Connection: close".to_owned(),
        };
        let head = format!("HTTP/1.1 200 OK\r\n{field}\r\n\r\n");
        output.write_all(head.as_bytes())?;
        for (index, burst) in self.body().chunks(self.burst).take(self.burst_count()).enumerate() {
            if index > 0 {
                thread::sleep(self.pause);
            }
            output.write_all(&self.framed(burst))?;
        }
        if self.is_cut {
            thread::sleep(self.pause);
            return Ok(false);
        }
        if self.framing == Framing::Chunked {
            thread::sleep(self.pause);
            output.write_all(b"0\r\n\r\n")?;
        }
        Ok(self.framing != Framing::Close)
    }

    fn framed(&self, burst: &[u8]) -> Vec<u8> {
        if self.framing != Framing::Chunked {
            return burst.to_vec();
        }
        let mut chunk = format!("{:x}\r\n", burst.len()).into_bytes();
        chunk.extend_from_slice(burst);
        chunk.extend_from_slice(b"\r\n");
        chunk
    }
}
