//! Reads the heads of HTTP requests without a full HTTP parser.

use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// Size of the largest head, in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Size of the buffer for one read, in bytes.
const READ_BYTES: usize = 1024;

/// Reads a request up to the end of its head, and any bytes that arrive with that. Returns `None` if the connection ends first
/// or the head is too large.
pub(super) async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.windows(4).any(|end| end == b"\r\n\r\n") {
        let mut buffer = [0; READ_BYTES];
        let count = stream.read(&mut buffer).await.ok()?;
        if count == 0 || head.len() >= MAX_HEAD_BYTES {
            return None;
        }
        head.extend_from_slice(&buffer[..count]);
    }
    Some(String::from_utf8_lossy(&head).into_owned())
}

/// Returns the first value of a header.
pub(super) fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let fields = head.lines().filter_map(|line| line.split_once(':'));
    let mut values = fields.filter(|(field, _)| field.eq_ignore_ascii_case(name));
    values.next().map(|(_, value)| value.trim())
}
