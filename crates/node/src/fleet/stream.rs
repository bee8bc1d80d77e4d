//! Streams between members: frames with their length before them, few at once, each within its time.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use pumicehead_membership::settings::MAX_FRAME_BYTES;
use pumicehead_membership::{SequenceNumber, StreamAction, StreamProbeOutcome};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task;
use tokio::time::{sleep, timeout};
use tracing::{debug, warn};

use super::Fleet;

/// Streams from others at once; more wait. A frame takes [`MAX_FRAME_BYTES`] at the most.
pub const MOST_TAKEN: usize = 8;
/// Streams to others at once; more are not opened.
pub const MOST_OPENED: usize = 16;
/// Longest that a whole comparison takes, a large fleet's over a bad link included.
const PATIENCE: Duration = Duration::from_secs(10);
/// Until a member that was asked over a stream whether it is there is taken not to answer.
const CHECK: Duration = Duration::from_millis(200);
/// Frames of a stranger come in pieces: no more is reserved than has come, in steps of this.
const PIECE: u64 = 64 << 10;
/// Pause after an accept that failed for lack of descriptors.
const PAUSE: Duration = Duration::from_millis(50);

async fn read(stream: &mut TcpStream) -> io::Result<Option<Vec<u8>>> {
    let mut length = [0; 4];
    match stream.read_exact(&mut length).await {
        Ok(_) => {}
        Err(error) if error.kind() == io::ErrorKind::UnexpectedEof => return Ok(None),
        Err(error) => return Err(error),
    }
    let length = u32::from_be_bytes(length) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(io::Error::new(io::ErrorKind::InvalidData, format!("a frame of {length} bytes")));
    }
    let mut bytes = Vec::new();
    while bytes.len() < length {
        let most = PIECE.min((length - bytes.len()) as u64);
        if (&mut *stream).take(most).read_to_end(&mut bytes).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    Ok(Some(bytes))
}

async fn write(stream: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
    let length = u32::try_from(bytes.len()).map_err(io::Error::other)?;
    stream.write_all(&[&length.to_be_bytes(), bytes].concat()).await
}

/// Takes streams for as long as the process lives.
pub async fn accept(fleet: Rc<Fleet>, listener: TcpListener) {
    let places = Arc::new(Semaphore::new(MOST_TAKEN));
    loop {
        let Ok(place) = places.clone().acquire_owned().await else { return };
        let (stream, from) = match listener.accept().await {
            Ok(came) => came,
            Err(error) => {
                warn!(target: "fleet", "accept: {error}");
                sleep(PAUSE).await;
                continue;
            }
        };
        let fleet = fleet.clone();
        task::spawn_local(async move {
            match timeout(PATIENCE, take(&fleet, stream, from)).await {
                Ok(Ok(())) => {}
                Ok(Err(error)) => debug!(target: "fleet", "stream from {from}: {error}"),
                Err(_) => debug!(target: "fleet", "stream from {from}: too slow"),
            }
            drop(place);
        });
    }
}

async fn take(fleet: &Rc<Fleet>, mut stream: TcpStream, from: SocketAddr) -> io::Result<()> {
    stream.set_nodelay(true)?;
    while let Some(bytes) = read(&mut stream).await? {
        let came = fleet.member.borrow_mut().on_stream_request(fleet.clock.now(), from, &bytes);
        fleet.touched.notify_one();
        match came {
            Ok(StreamAction::Reply(answer)) => write(&mut stream, &answer).await?,
            Ok(StreamAction::Close) => return Ok(()),
            Err(rejected) => return write(&mut stream, &rejected.reply).await,
        }
    }
    Ok(())
}

/// A place for a stream of this node's own, until it is dropped.
struct Opened(Rc<Fleet>);

impl Opened {
    fn new(fleet: &Rc<Fleet>) -> Option<Self> {
        let open = fleet.streams.get();
        (open < MOST_OPENED).then(|| {
            fleet.streams.set(open + 1);
            Self(fleet.clone())
        })
    }
}

impl Drop for Opened {
    fn drop(&mut self) {
        self.0.streams.set(self.0.streams.get() - 1);
    }
}

/// Asks a member whether it is there.
pub async fn check(fleet: Rc<Fleet>, seq: SequenceNumber, to: SocketAddr, frame: Vec<u8>) {
    let Some(_place) = Opened::new(&fleet) else { return };
    let asked = async {
        let mut stream = match TcpStream::connect(to).await {
            Ok(stream) => stream,
            Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
                return StreamProbeOutcome::Refused;
            }
            Err(_) => return StreamProbeOutcome::Unreachable,
        };
        let _ = stream.set_nodelay(true);
        let answered = async {
            write(&mut stream, &frame).await?;
            read(&mut stream).await
        };
        match timeout(CHECK, answered).await {
            Ok(Ok(Some(bytes))) => {
                fleet.member.borrow_mut().on_stream_reply(fleet.clock.now(), to, &bytes);
                StreamProbeOutcome::Answered
            }
            // Closed or reset without a word: what is behind this address takes no connections.
            Ok(Ok(None) | Err(_)) => StreamProbeOutcome::Refused,
            Err(_) => StreamProbeOutcome::NoResponse,
        }
    };
    let checked = timeout(2 * CHECK, asked).await.unwrap_or(StreamProbeOutcome::Unreachable);
    fleet.member.borrow_mut().on_stream_probe(fleet.clock.now(), seq, checked);
    fleet.touched.notify_one();
}

/// Compares views with a member.
pub async fn compare(fleet: Rc<Fleet>, to: SocketAddr, frame: Vec<u8>) {
    let Some(_place) = Opened::new(&fleet) else { return };
    let exchange = async {
        let mut stream = TcpStream::connect(to).await?;
        stream.set_nodelay(true)?;
        let mut next = frame;
        loop {
            write(&mut stream, &next).await?;
            let Some(bytes) = read(&mut stream).await? else { return io::Result::Ok(()) };
            let came = fleet.member.borrow_mut().on_stream_reply(fleet.clock.now(), to, &bytes);
            fleet.touched.notify_one();
            match came {
                StreamAction::Reply(answer) => next = answer,
                StreamAction::Close => return Ok(()),
            }
        }
    };
    match timeout(PATIENCE, exchange).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => debug!(target: "fleet", "comparison with {to}: {error}"),
        Err(_) => debug!(target: "fleet", "comparison with {to}: too slow"),
    }
}
