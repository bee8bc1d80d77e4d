//! A stand-in for a backend server over HTTP/1.1 that records which requests took effect.

use std::collections::HashMap;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, mpsc};
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::task::{LocalSet, spawn_local};

/// The header that identifies a unit of work, which may take effect at most once.
pub const UNIT: &str = "x-unit";

/// What a stand-in has processed.
#[derive(Debug, Default)]
pub struct Record {
    /// Complete requests.
    pub requests: u64,
    /// Number of times that each unit of work took effect; requests with a safe method are not counted.
    pub effects: HashMap<String, u32>,
}

/// How a stand-in processes requests.
#[derive(Clone, Copy, Debug)]
pub struct ServiceModel {
    /// Processing time of a request.
    pub service_time: Duration,
    /// Size of a response, in bytes.
    pub response_bytes: usize,
}

impl Default for ServiceModel {
    fn default() -> Self {
        Self { service_time: Duration::from_millis(2), response_bytes: 200 }
    }
}

/// A running stand-in; it runs until the process ends.
pub struct StandIn {
    /// Where it listens.
    pub address: SocketAddr,
    /// What it has processed.
    pub record: Arc<Mutex<Record>>,
}

impl StandIn {
    /// Starts a stand-in on a thread of its own.
    ///
    /// # Errors
    /// An address that can't be listened on.
    pub fn start(address: SocketAddr, work: ServiceModel) -> io::Result<Self> {
        let record = Arc::new(Mutex::new(Record::default()));
        let (sender, bound) = mpsc::channel();
        let to = record.clone();
        thread::spawn(move || {
            let Ok(runtime) = Builder::new_current_thread().enable_all().build() else { return };
            LocalSet::new().block_on(&runtime, async move {
                match TcpListener::bind(address).await {
                    Ok(listener) => {
                        let _ = sender.send(listener.local_addr());
                        serve(listener, work, to).await;
                    }
                    Err(error) => drop(sender.send(Err(error))),
                }
            });
        });
        let address = bound.recv().map_err(io::Error::other)??;
        Ok(Self { address, record })
    }

    /// Number of complete requests.
    #[must_use]
    pub fn requests(&self) -> u64 {
        self.record.lock().map_or(0, |record| record.requests)
    }
}

async fn serve(listener: TcpListener, work: ServiceModel, record: Arc<Mutex<Record>>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(5)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let record = record.clone();
        spawn_local(async move {
            let service = service_fn(move |request| answer(request, work, record.clone()));
            // Connection errors are ignored: the client sees them, and the record does not depend on them.
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

async fn answer(
    request: Request<Incoming>,
    work: ServiceModel,
    record: Arc<Mutex<Record>>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let (parts, body) = request.into_parts();
    let Ok(body) = body.collect().await else {
        return Ok(Response::new(Full::default()));
    };
    let changes = !matches!(parts.method, Method::GET | Method::HEAD | Method::OPTIONS);
    let unit = parts.headers.get(UNIT).and_then(|unit| unit.to_str().ok()).unwrap_or_default();
    if let Ok(mut record) = record.lock() {
        record.requests += 1;
        if changes && !unit.is_empty() {
            *record.effects.entry(unit.to_owned()).or_default() += 1;
        }
    }
    if !work.service_time.is_zero() {
        tokio::time::sleep(work.service_time).await;
    }
    let mut text = format!("{} {} {unit} {} bytes\n", parts.method, parts.uri, body.to_bytes().len());
    while text.len() < work.response_bytes {
        text.push_str("rank 1  0:01:02.345  runner\n");
    }
    let mut response = Response::new(Full::new(Bytes::from(text)));
    response.headers_mut().insert("content-type", hyper::header::HeaderValue::from_static("text/plain"));
    Ok(response)
}
