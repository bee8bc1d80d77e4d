//! Framing of messages on a stream: each frame is preceded by its length, four bytes in network byte order.

use std::io;

use pumicehead_membership::settings::MAX_FRAME_BYTES;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Frames are read in steps of this size, so that memory is allocated as bytes arrive and not merely because a peer, which is
/// not trusted, claims a large length.
const READ_STEP_BYTES: u64 = 64 << 10;

/// Reads a frame. Returns `None` if the stream ends before the length of a frame is complete.
///
/// # Errors
/// Returns I/O errors, and an error for a frame that is incomplete or longer than [`MAX_FRAME_BYTES`].
pub async fn read_frame(stream: &mut TcpStream) -> io::Result<Option<Vec<u8>>> {
    let mut length = [0; 4];
    match stream.read_exact(&mut length).await {
        Ok(_) => {}
        Err(error) if error.kind() == io::ErrorKind::UnexpectedEof => return Ok(None),
        Err(error) => return Err(error),
    }
    let length = u32::from_be_bytes(length) as usize;
    if length > MAX_FRAME_BYTES {
        let message = format!("frame of {length} bytes, more than {MAX_FRAME_BYTES}");
        return Err(io::Error::new(io::ErrorKind::InvalidData, message));
    }
    let mut bytes = Vec::new();
    while bytes.len() < length {
        let step = READ_STEP_BYTES.min((length - bytes.len()) as u64);
        if (&mut *stream).take(step).read_to_end(&mut bytes).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    Ok(Some(bytes))
}

/// Writes a frame with its length.
///
/// # Errors
/// Returns I/O errors, and an error if the length does not fit into four bytes.
pub async fn write_frame(stream: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
    let length = u32::try_from(bytes.len()).map_err(io::Error::other)?;
    stream.write_all(&[&length.to_be_bytes(), bytes].concat()).await
}
