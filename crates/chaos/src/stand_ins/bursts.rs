//! Responses of the endpoint stand-in that are written in bursts.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;

use super::endpoint::{Endpoint, Reply};
use super::http_head::{header, read_head};
use super::messages::{emit, request_id};
use crate::history::EventKind;
use crate::response_bursts::{BodyFraming, ResponseBursts, ResponseEnd};

/// Response that reports a request as not executed.
const NOT_EXECUTED: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";

/// Executes the requests of a connection and writes their responses in bursts, generated from a seed.
pub(super) async fn serve(mut stream: TcpStream, endpoint: Rc<Endpoint>, seed: u64) -> io::Result<()> {
    while let Some(head) = read_head(&mut stream).await {
        skip_body(&mut stream, &head).await?;
        let Some(id) = request_id(|name| header(&head, name)) else { return Ok(()) };
        let via = header(&head, "via").unwrap_or_default().to_owned();
        match endpoint.clone().execute(id, via).await {
            Reply::Response(response) if response.status().is_success() => {}
            Reply::Response(_) => {
                stream.write_all(NOT_EXECUTED).await?;
                continue;
            }
            Reply::Close => return Ok(()),
        }
        let response = ResponseBursts::generate(seed, id);
        sleep(response.head_delay).await;
        let is_sound = response.end == ResponseEnd::Complete;
        emit(EventKind::ResponseBegun { id, endpoint: endpoint.number(), is_sound });
        if !write(&mut stream, &response, id).await? {
            return Ok(());
        }
    }
    Ok(())
}

/// Reads the part of a request's body that did not arrive with its head.
async fn skip_body(stream: &mut TcpStream, head: &str) -> io::Result<()> {
    let length = header(head, "content-length").and_then(|length| length.parse::<usize>().ok()).unwrap_or(0);
    let arrived = head.split_once("\r\n\r\n").map_or(0, |(_, body)| body.len());
    let mut rest = vec![0; length.saturating_sub(arrived)];
    stream.read_exact(&mut rest).await.map(|_| ())
}

/// Writes a response; returns whether the connection stays open.
async fn write(stream: &mut TcpStream, response: &ResponseBursts, id: u64) -> io::Result<bool> {
    stream.write_all(head(response).as_bytes()).await?;
    let body = response.body(id);
    let mut written = 0;
    for (index, size) in response.bursts.iter().enumerate() {
        if index > 0 {
            sleep(response.pause).await;
        }
        if response.end == ResponseEnd::Reset && index + 1 == response.bursts.len() {
            // A socket that is dropped with this option set is reset.
            SockRef::from(&*stream).set_linger(Some(Duration::ZERO))?;
            return Ok(false);
        }
        stream.write_all(&framed(response.framing, &body[written..written + size])).await?;
        written += size;
    }
    if matches!(response.framing, BodyFraming::Chunked | BodyFraming::ChunkedWithTrailer) {
        sleep(response.pause).await;
    }
    stream.write_all(last_chunk(response.framing)).await?;
    Ok(response.framing != BodyFraming::Close)
}

fn head(response: &ResponseBursts) -> String {
    let field = match response.framing {
        BodyFraming::Length => format!("Content-Length: {}", response.size()),
        BodyFraming::Chunked => "Transfer-Encoding: chunked".to_owned(),
        BodyFraming::ChunkedWithTrailer => "Transfer-Encoding: chunked\r\nTrailer: X-Sum".to_owned(),
        BodyFraming::Close => "Connection: close".to_owned(),
    };
    format!("HTTP/1.1 200 OK\r\n{field}\r\n\r\n")
}

fn framed(framing: BodyFraming, burst: &[u8]) -> Vec<u8> {
    match framing {
        BodyFraming::Length | BodyFraming::Close => burst.to_vec(),
        BodyFraming::Chunked | BodyFraming::ChunkedWithTrailer => {
            [format!("{:x}\r\n", burst.len()).as_bytes(), burst, b"\r\n"].concat()
        }
    }
}

fn last_chunk(framing: BodyFraming) -> &'static [u8] {
    match framing {
        BodyFraming::Length | BodyFraming::Close => b"",
        BodyFraming::Chunked => b"0\r\n\r\n",
        BodyFraming::ChunkedWithTrailer => b"0\r\nX-Sum: 1\r\n\r\n",
    }
}
