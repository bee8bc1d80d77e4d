//! A stand-in server over HTTP/1.1 with the service times and stalls of a model.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep_until};

use crate::Nanos;
use crate::model::ServerModel;

struct Shared {
    model: ServerModel,
    start: Instant,
    rng: std::cell::RefCell<Pcg64Mcg>,
    permits: Semaphore,
    response_body: Bytes,
}

/// Serves a model on several addresses, each an independent server, until the future is dropped. `bound` is called with
/// each address that a server listens on.
///
/// # Errors
/// If a listener can't be bound.
pub async fn serve_all(
    addresses: &[SocketAddr],
    model: &ServerModel,
    response_bytes: usize,
    bound: impl Fn(SocketAddr) + Copy + 'static,
) -> io::Result<()> {
    let mut servers = tokio::task::JoinSet::new();
    for &address in addresses {
        servers.spawn_local(serve(address, model.clone(), response_bytes, bound));
    }
    match servers.join_next().await {
        Some(ended) => ended.map_err(io::Error::other)?,
        None => Ok(()),
    }
}

/// Serves a model on one address until the future is dropped. Times of stalls count from the start of the server.
///
/// # Errors
/// If the listener can't be bound.
pub async fn serve(
    address: SocketAddr,
    model: ServerModel,
    response_bytes: usize,
    bound: impl FnOnce(SocketAddr),
) -> io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    bound(listener.local_addr()?);
    let shared = Rc::new(Shared {
        rng: Pcg64Mcg::seed_from_u64(model.seed).into(),
        permits: Semaphore::new(model.max_in_service.min(Semaphore::MAX_PERMITS)),
        model,
        start: Instant::now(),
        response_body: Bytes::from(vec![b'r'; response_bytes]),
    });
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            // Out of file descriptors: waits for a connection to end.
            Err(_) => {
                tokio::time::sleep(Duration::from_millis(5)).await;
                continue;
            }
        };
        let _ = stream.set_nodelay(true);
        let shared = shared.clone();
        spawn_local(async move {
            let service = service_fn(move |request| respond(shared.clone(), request));
            // Errors are ignored, because the client counts them.
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

async fn respond(
    shared: Rc<Shared>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let mut body = request.into_body();
    while let Some(Ok(_)) = body.frame().await {}
    let Shared { model, start, rng, permits, response_body } = &*shared;
    // The semaphore is never closed.
    let _permit = permits.acquire().await.ok();
    let service = model.service.sample(&mut rng.borrow_mut());
    let ready = start.elapsed().as_nanos() as Nanos + service;
    let out = model.stalls.release_time(ready) + model.delay;
    if out > start.elapsed().as_nanos() as Nanos {
        sleep_until(*start + Duration::from_nanos(out)).await;
    }
    Ok(Response::new(Full::new(response_body.clone())))
}
