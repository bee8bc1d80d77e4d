//! An HTTP/1.1 client with one persistent connection.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// Why there is no response.
#[derive(Debug, Error)]
pub enum ClientError {
    /// The connection could not be opened.
    #[error("connect: {0}")]
    Connect(#[from] std::io::Error),
    /// The connection broke, or what was received is not HTTP.
    #[error("{0}")]
    Http(#[from] hyper::Error),
}

struct OpenConnection {
    sender: http1::SendRequest<Full<Bytes>>,
    _driver: JoinSet<hyper::Result<()>>,
}

/// A client of one server address.
pub struct Client {
    address: SocketAddr,
    open: Option<OpenConnection>,
}

impl Client {
    /// A client that has no connection yet.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self { address, open: None }
    }

    /// Sends a request and reads the whole response. A kept connection that has been closed is replaced; one that breaks
    /// during the request is an error.
    ///
    /// # Errors
    /// [`ClientError`]: no connection, or a broken one.
    pub async fn request(&mut self, request: Request<Full<Bytes>>) -> Result<Response<Bytes>, ClientError> {
        let kept = match self.open.take() {
            Some(mut open) => open.sender.ready().await.is_ok().then_some(open),
            None => None,
        };
        let mut open = match kept {
            Some(open) => open,
            None => self.connect().await?,
        };
        let response = open.sender.send_request(request).await?;
        let (parts, body) = response.into_parts();
        let body = body.collect().await?.to_bytes();
        if parts.headers.get("connection").is_none_or(|value| value != "close") {
            self.open = Some(open);
        }
        Ok(Response::from_parts(parts, body))
    }

    async fn connect(&self) -> Result<OpenConnection, ClientError> {
        let stream = TcpStream::connect(self.address).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        let mut driver = JoinSet::new();
        driver.spawn_local(connection);
        Ok(OpenConnection { sender, _driver: driver })
    }
}
