//! A client connection over HTTP/1.1 or FastCGI that carries one request at a time.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use pumicehead_fastcgi::cgi::HeadReader;
use pumicehead_fastcgi::client::{Client, Event};
use pumicehead_fastcgi::record::ProtocolStatus;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use super::Protocol;

/// Size of the read buffer, in bytes.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// A request to be sent.
pub struct OutgoingRequest {
    pub method: String,
    pub path: String,
    pub fields: Vec<(&'static str, String)>,
    pub body: usize,
}

/// The relevant parts of a response.
pub struct ReceivedResponse {
    pub status: u16,
    /// Delay after which the server asks for a retry.
    pub retry_after: Option<Duration>,
    /// Whether the connection can be reused.
    pub keep_alive: bool,
}

/// Why there is no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeError {
    Broken,
    Malformed,
}

/// An open connection.
pub enum Connection {
    Http { sender: http1::SendRequest<Full<Bytes>>, _driver: JoinSet<hyper::Result<()>> },
    FastCgi { stream: TcpStream, state: Client },
}

impl Connection {
    pub async fn open(target: SocketAddr, protocol: Protocol) -> io::Result<Self> {
        let stream = TcpStream::connect(target).await?;
        stream.set_nodelay(true)?;
        if protocol == Protocol::FastCgi {
            return Ok(Self::FastCgi { stream, state: Client::default() });
        }
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
        let mut driver = JoinSet::new();
        driver.spawn_local(connection);
        Ok(Self::Http { sender, _driver: driver })
    }

    pub fn is_open(&self) -> bool {
        match self {
            Self::Http { sender, .. } => !sender.is_closed(),
            // Any data between requests is invalid, so a readable stream has ended or is unusable.
            Self::FastCgi { stream, .. } => {
                matches!(stream.try_read(&mut [0; 1]), Err(error) if error.kind() == io::ErrorKind::WouldBlock)
            }
        }
    }

    pub async fn exchange(&mut self, outgoing: OutgoingRequest) -> Result<ReceivedResponse, ExchangeError> {
        match self {
            Self::Http { sender, .. } => exchange_http(sender, outgoing).await,
            Self::FastCgi { stream, state } => exchange_fastcgi(stream, state, outgoing).await,
        }
    }
}

fn retry_after(value: Option<&hyper::header::HeaderValue>) -> Option<Duration> {
    let seconds: f64 = value?.to_str().ok()?.parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}

async fn exchange_http(
    sender: &mut http1::SendRequest<Full<Bytes>>,
    outgoing: OutgoingRequest,
) -> Result<ReceivedResponse, ExchangeError> {
    sender.ready().await.map_err(|_| ExchangeError::Broken)?;
    let mut request = Request::builder().method(outgoing.method.as_str()).uri(outgoing.path);
    for (name, value) in outgoing.fields {
        request = request.header(name, value);
    }
    let body = Bytes::from(vec![b'x'; outgoing.body]);
    let request = request.body(Full::new(body)).map_err(|_| ExchangeError::Malformed)?;
    let to_exchange_error =
        |error: hyper::Error| if error.is_parse() { ExchangeError::Malformed } else { ExchangeError::Broken };
    let response = sender.send_request(request).await.map_err(to_exchange_error)?;
    let (parts, mut body) = response.into_parts();
    while let Some(frame) = body.frame().await {
        frame.map_err(to_exchange_error)?;
    }
    let keep_alive = parts.headers.get("connection").is_none_or(|value| value != "close");
    Ok(ReceivedResponse {
        status: parts.status.as_u16(),
        retry_after: retry_after(parts.headers.get("retry-after")),
        keep_alive,
    })
}

async fn exchange_fastcgi(
    stream: &mut TcpStream,
    state: &mut Client,
    outgoing: OutgoingRequest,
) -> Result<ReceivedResponse, ExchangeError> {
    let mut out = BytesMut::new();
    let id = state.begin(&mut out, true).ok_or(ExchangeError::Broken)?;
    let length = outgoing.body.to_string();
    let mut variables = vec![
        ("REQUEST_METHOD".to_owned(), outgoing.method),
        ("REQUEST_URI".to_owned(), outgoing.path),
        ("CONTENT_LENGTH".to_owned(), length),
    ];
    let to_variable =
        |(name, value): (&str, String)| (format!("HTTP_{}", name.to_uppercase().replace('-', "_")), value);
    variables.extend(outgoing.fields.into_iter().map(to_variable));
    state.params(&mut out, id, variables.iter().map(|(name, value)| (name.as_bytes(), value.as_bytes())));
    state.stdin(&mut out, id, &vec![b'x'; outgoing.body]);
    state.stdin_end(&mut out, id);
    stream.write_all(&out).await.map_err(|_| ExchangeError::Broken)?;
    let (mut input, mut events) = (vec![0; READ_BUFFER_BYTES], Vec::new());
    let (mut reader, mut head) = (HeadReader::default(), None);
    loop {
        let count = stream.read(&mut input).await.unwrap_or(0);
        if count == 0 {
            return Err(ExchangeError::Broken);
        }
        state.receive(&input[..count], &mut events).map_err(|_| ExchangeError::Malformed)?;
        for event in events.drain(..) {
            match event {
                Event::Stdout(_, part) if head.is_none() => {
                    head = reader.feed(&part).map_err(|_| ExchangeError::Malformed)?.map(|(head, _)| head);
                }
                Event::Ended(_, end) if end.protocol == ProtocolStatus::Overloaded => {
                    return Ok(ReceivedResponse { status: 503, retry_after: None, keep_alive: true });
                }
                Event::Ended(..) => {
                    let head = head.ok_or(ExchangeError::Malformed)?;
                    let retry_after = retry_after(head.headers.get("retry-after"));
                    return Ok(ReceivedResponse {
                        status: head.status.as_u16(),
                        retry_after,
                        keep_alive: true,
                    });
                }
                _ => {}
            }
        }
    }
}
