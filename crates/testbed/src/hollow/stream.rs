//! A hollow node's streams: length-prefixed frames, with the same limits on number and time as the real node's.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use pumicehead_membership::settings::MAX_FRAME_BYTES;
use pumicehead_membership::{SequenceNumber, StreamAction, StreamProbeOutcome};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::{sleep, timeout};

use super::node::HollowNode;

/// Limit of concurrent streams from other members; further ones wait to be accepted.
const MAX_ACCEPTED_STREAMS: usize = 8;
/// Limit of concurrent streams to other members; further ones are not opened.
const MAX_OPENED_STREAMS: usize = 16;
/// Timeout of a push-pull exchange, and of serving an accepted stream.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout of the reply to a stream probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);
/// Pause after a failed accept, such as for lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

async fn read(node: &HollowNode, stream: &mut TcpStream) -> io::Result<Option<Vec<u8>>> {
    let mut length = [0; 4];
    match stream.read_exact(&mut length).await {
        Ok(_) => {}
        Err(error) if error.kind() == io::ErrorKind::UnexpectedEof => return Ok(None),
        Err(error) => return Err(error),
    }
    let length = u32::from_be_bytes(length) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut bytes = vec![0; length];
    stream.read_exact(&mut bytes).await?;
    node.peers.frame(&bytes);
    Ok(Some(bytes))
}

async fn write(node: &HollowNode, stream: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
    let length = u32::try_from(bytes.len()).map_err(io::Error::other)?;
    stream.write_all(&[&length.to_be_bytes(), bytes].concat()).await?;
    node.traffic.frame(bytes.len());
    Ok(())
}

/// Accepts and serves streams for as long as the node runs.
pub(super) async fn accept(node: Arc<HollowNode>, listener: TcpListener) {
    let permits = Arc::new(Semaphore::new(MAX_ACCEPTED_STREAMS));
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else { return };
        let Ok((stream, from)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let server = node.clone();
        node.spawn(async move {
            // Errors are ignored: a failed stream is an exchange that did not take place.
            let _ = timeout(EXCHANGE_TIMEOUT, serve(&server, stream, from)).await;
            drop(permit);
        });
    }
}

async fn serve(node: &HollowNode, mut stream: TcpStream, from: SocketAddr) -> io::Result<()> {
    stream.set_nodelay(true)?;
    while let Some(bytes) = read(node, &mut stream).await? {
        let action = node.member().on_stream_request(node.now(), from, &bytes);
        node.wake_up.notify_one();
        match action {
            Ok(StreamAction::Reply(answer)) => write(node, &mut stream, &answer).await?,
            Ok(StreamAction::Close) => return Ok(()),
            Err(rejected) => return write(node, &mut stream, &rejected.reply).await,
        }
    }
    Ok(())
}

/// A permit for a stream that the node opens; dropping it releases the permit.
struct OpenedStream(Arc<HollowNode>);

impl OpenedStream {
    fn new(node: &Arc<HollowNode>) -> Option<Self> {
        let opened = Self(node.clone());
        let before = node.open_streams.fetch_add(1, Ordering::Relaxed);
        (before < MAX_OPENED_STREAMS).then_some(opened)
    }
}

impl Drop for OpenedStream {
    fn drop(&mut self) {
        self.0.open_streams.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Probes a member over a stream and reports the outcome to the state machine.
pub(super) async fn probe(node: Arc<HollowNode>, seq: SequenceNumber, to: SocketAddr, frame: Vec<u8>) {
    let Some(_permit) = OpenedStream::new(&node) else { return };
    let probed = timeout(2 * PROBE_TIMEOUT, exchange_probe(&node, to, &frame));
    let outcome = probed.await.unwrap_or(StreamProbeOutcome::Unreachable);
    node.member().on_stream_probe(node.now(), seq, outcome);
    node.wake_up.notify_one();
}

async fn exchange_probe(node: &HollowNode, to: SocketAddr, frame: &[u8]) -> StreamProbeOutcome {
    let mut stream = match TcpStream::connect(to).await {
        Ok(stream) => stream,
        Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => return StreamProbeOutcome::Refused,
        Err(_) => return StreamProbeOutcome::Unreachable,
    };
    let _ = stream.set_nodelay(true);
    let answered = async {
        write(node, &mut stream, frame).await?;
        read(node, &mut stream).await
    };
    match timeout(PROBE_TIMEOUT, answered).await {
        Ok(Ok(Some(bytes))) => {
            node.member().on_stream_reply(node.now(), to, &bytes);
            StreamProbeOutcome::Answered
        }
        // Closed without a reply: no membership listener accepts connections at this address.
        Ok(Ok(None) | Err(_)) => StreamProbeOutcome::Refused,
        Err(_) => StreamProbeOutcome::NoResponse,
    }
}

/// Runs a push-pull exchange of member tables with a member.
pub(super) async fn push_pull(node: Arc<HollowNode>, to: SocketAddr, frame: Vec<u8>) {
    let Some(_permit) = OpenedStream::new(&node) else { return };
    // A failed exchange is not retried here; the state machine starts the next one with another member.
    let _ = timeout(EXCHANGE_TIMEOUT, exchange_push_pull(&node, to, frame)).await;
}

async fn exchange_push_pull(node: &HollowNode, to: SocketAddr, frame: Vec<u8>) -> io::Result<()> {
    let mut stream = TcpStream::connect(to).await?;
    stream.set_nodelay(true)?;
    let mut next = frame;
    loop {
        write(node, &mut stream, &next).await?;
        let Some(bytes) = read(node, &mut stream).await? else { return Ok(()) };
        let action = node.member().on_stream_reply(node.now(), to, &bytes);
        node.wake_up.notify_one();
        match action {
            StreamAction::Reply(answer) => next = answer,
            StreamAction::Close => return Ok(()),
        }
    }
}
