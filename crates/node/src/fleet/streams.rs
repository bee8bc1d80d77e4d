//! Streams between members, for push/pull exchanges and stream probes. Their number and duration are bounded.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use pumicehead_membership::{SequenceNumber, StreamAction, StreamProbeOutcome};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task;
use tokio::time::{sleep, timeout};
use tracing::{debug, warn};

use super::Fleet;
use super::framing::{read_frame, write_frame};

/// Maximum number of inbound streams; further ones wait to be accepted. Each may buffer a frame of
/// [`pumicehead_membership::settings::MAX_FRAME_BYTES`].
pub const MAX_INBOUND_STREAMS: usize = 8;
/// Maximum number of outbound streams; further ones are not opened.
pub const MAX_OUTBOUND_STREAMS: usize = 16;
/// Timeout of a whole exchange, long enough for that of a large fleet over a bad link.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout for the reply to a stream probe once the connection is established.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);
/// Delay after a failed accept, for example when the process is out of descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts inbound streams until the process exits.
pub async fn accept(fleet: Rc<Fleet>, listener: TcpListener) {
    let permits = Arc::new(Semaphore::new(MAX_INBOUND_STREAMS));
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else { return };
        let (stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                warn!(target: "fleet", %error, "accepting a stream failed");
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let fleet = fleet.clone();
        task::spawn_local(async move {
            match timeout(EXCHANGE_TIMEOUT, serve(&fleet, stream, peer)).await {
                Ok(Ok(())) => {}
                Ok(Err(error)) => debug!(target: "fleet", %peer, %error, "inbound stream failed"),
                Err(_) => debug!(target: "fleet", %peer, "inbound stream timed out"),
            }
            drop(permit);
        });
    }
}

async fn serve(fleet: &Rc<Fleet>, mut stream: TcpStream, peer: SocketAddr) -> io::Result<()> {
    stream.set_nodelay(true)?;
    while let Some(request) = read_frame(&mut stream).await? {
        let action = fleet.member.borrow_mut().on_stream_request(fleet.clock.now(), peer, &request);
        fleet.changed.notify_one();
        match action {
            Ok(StreamAction::Reply(reply)) => write_frame(&mut stream, &reply).await?,
            Ok(StreamAction::Close) => return Ok(()),
            Err(rejected) => return write_frame(&mut stream, &rejected.reply).await,
        }
    }
    Ok(())
}

/// Permit for one outbound stream; dropping it releases the permit.
struct OutboundPermit(Rc<Fleet>);

impl OutboundPermit {
    fn acquire(fleet: &Rc<Fleet>) -> Option<Self> {
        let open = fleet.outbound_streams.get();
        (open < MAX_OUTBOUND_STREAMS).then(|| {
            fleet.outbound_streams.set(open + 1);
            Self(fleet.clone())
        })
    }
}

impl Drop for OutboundPermit {
    fn drop(&mut self) {
        self.0.outbound_streams.set(self.0.outbound_streams.get() - 1);
    }
}

/// Probes a member over a stream, and passes the outcome to the state machine.
pub async fn probe(fleet: Rc<Fleet>, seq: SequenceNumber, to: SocketAddr, frame: Vec<u8>) {
    let Some(_permit) = OutboundPermit::acquire(&fleet) else { return };
    let outcome = timeout(2 * PROBE_TIMEOUT, probe_outcome(&fleet, to, &frame)).await;
    let outcome = outcome.unwrap_or(StreamProbeOutcome::Unreachable);
    fleet.member.borrow_mut().on_stream_probe(fleet.clock.now(), seq, outcome);
    fleet.changed.notify_one();
}

async fn probe_outcome(fleet: &Rc<Fleet>, to: SocketAddr, frame: &[u8]) -> StreamProbeOutcome {
    let mut stream = match TcpStream::connect(to).await {
        Ok(stream) => stream,
        Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => return StreamProbeOutcome::Refused,
        Err(_) => return StreamProbeOutcome::Unreachable,
    };
    let _ = stream.set_nodelay(true);
    let reply = async {
        write_frame(&mut stream, frame).await?;
        read_frame(&mut stream).await
    };
    match timeout(PROBE_TIMEOUT, reply).await {
        Ok(Ok(Some(bytes))) => {
            fleet.member.borrow_mut().on_stream_reply(fleet.clock.now(), to, &bytes);
            StreamProbeOutcome::Answered
        }
        // Closed or reset without a reply: no member listens behind this address.
        Ok(Ok(None) | Err(_)) => StreamProbeOutcome::Refused,
        Err(_) => StreamProbeOutcome::NoResponse,
    }
}

/// Runs a push/pull exchange with a member.
pub async fn push_pull(fleet: Rc<Fleet>, to: SocketAddr, frame: Vec<u8>) {
    let Some(_permit) = OutboundPermit::acquire(&fleet) else { return };
    match timeout(EXCHANGE_TIMEOUT, exchange(&fleet, to, frame)).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => debug!(target: "fleet", peer = %to, %error, "push/pull exchange failed"),
        Err(_) => debug!(target: "fleet", peer = %to, "push/pull exchange timed out"),
    }
}

async fn exchange(fleet: &Rc<Fleet>, to: SocketAddr, first: Vec<u8>) -> io::Result<()> {
    let mut stream = TcpStream::connect(to).await?;
    stream.set_nodelay(true)?;
    let mut next = first;
    loop {
        write_frame(&mut stream, &next).await?;
        let Some(reply) = read_frame(&mut stream).await? else { return Ok(()) };
        let action = fleet.member.borrow_mut().on_stream_reply(fleet.clock.now(), to, &reply);
        fleet.changed.notify_one();
        match action {
            StreamAction::Reply(bytes) => next = bytes,
            StreamAction::Close => return Ok(()),
        }
    }
}
