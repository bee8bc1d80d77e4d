//! Malformed responses of the endpoint stand-in.

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::endpoint::EndpointArgs;
use super::http_head::{header, read_head};
use super::messages::{emit, request_id};
use crate::history::EventKind;

/// Malformed responses: bytes that are not HTTP, a body shorter than its `Content-Length`, and two different
/// `Content-Length` fields.
const MALFORMED_RESPONSES: [&[u8]; 3] = [
    b"\x16\x03\x01 what is this\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\nhalf",
    b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 7\r\n\r\nabcdefg",
];

/// Executes the request of a connection and sends a malformed response. Returns `None` if there is no request with an id, or
/// the connection ends.
pub(super) async fn respond(mut stream: TcpStream, endpoint: EndpointArgs) -> Option<()> {
    let head = read_head(&mut stream).await?;
    let id = request_id(|name| header(&head, name))?;
    let via = header(&head, "via").unwrap_or_default().to_owned();
    emit(EventKind::RequestExecuted {
        id,
        endpoint: endpoint.number,
        incarnation: endpoint.incarnation,
        via,
    });
    let response = MALFORMED_RESPONSES[(id % MALFORMED_RESPONSES.len() as u64) as usize];
    stream.write_all(response).await.ok()
}
