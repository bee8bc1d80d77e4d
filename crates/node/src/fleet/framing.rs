//! Frames on a stream: each after its length, four bytes in network byte order.

use std::io;

use pumicehead_membership::settings::MAX_FRAME_BYTES;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Memory is reserved in steps of this as bytes arrive: a stranger's length reserves none by itself.
const READ_STEP_BYTES: u64 = 64 << 10;

/// Reads a frame; `None` at the end of the stream.
///
/// # Errors
/// I/O errors, an incomplete frame, or one over [`MAX_FRAME_BYTES`].
pub async fn read_frame(stream: &mut TcpStream) -> io::Result<Option<Vec<u8>>> {
    let mut length = [0; 4];
    match stream.read_exact(&mut length).await {
        Ok(_) => {}
        Err(error) if error.kind() == io::ErrorKind::UnexpectedEof => return Ok(None),
        Err(error) => return Err(error),
    }
    let length = u32::from_be_bytes(length) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(io::Error::new(io::ErrorKind::InvalidData, format!("a frame of {length} bytes")));
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

/// Writes a frame.
///
/// # Errors
/// I/O errors.
pub async fn write_frame(stream: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
    let length = u32::try_from(bytes.len()).map_err(io::Error::other)?;
    stream.write_all(&[&length.to_be_bytes(), bytes].concat()).await
}
