//! A hollow node's streams: frames with their length before them, bounded in number and time as the real node's are.

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

/// Streams from others at once; more wait.
const MAX_ACCEPTED_STREAMS: usize = 8;
/// Streams to others at once; more are not opened.
const MAX_OPENED_STREAMS: usize = 16;
/// Longest that a comparison of views takes.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest wait for the answer to a check.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);
/// Pause after an accept that failed for lack of descriptors.
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

/// Takes streams for as long as the node lives.
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
            // A stream that fails is an exchange that did not take place.
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

/// A permit for a stream of the node's own, until it is dropped.
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

/// Asks a member over a stream whether it is there.
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
        // Closed without an answer: nothing behind this address takes connections.
        Ok(Ok(None) | Err(_)) => StreamProbeOutcome::Refused,
        Err(_) => StreamProbeOutcome::NoResponse,
    }
}

/// Compares views with a member.
pub(super) async fn push_pull(node: Arc<HollowNode>, to: SocketAddr, frame: Vec<u8>) {
    let Some(_permit) = OpenedStream::new(&node) else { return };
    // One that fails is tried again with another member.
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
