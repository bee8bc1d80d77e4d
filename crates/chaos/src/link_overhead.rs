//! Measures how much an emulated link adds to the round-trip time of a direct connection.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Builder;
use tokio::task::{JoinSet, LocalSet, spawn_local};

use crate::clock;
use crate::link::{LatenessGauge, LinkOptions, LinkState, tcp};
use crate::task::AbortOnDrop;

/// Rounds over each path, direct and via the link in turn; the medians are reported.
const ROUNDS: usize = 9;
/// Round trips per round.
const ROUND_TRIPS: u32 = 500;
/// Bytes in each direction of a round trip: a small request with its header.
const MESSAGE_BYTES: usize = 400;

/// Microseconds per round trip, as medians of the rounds.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct LinkOverhead {
    /// Over loopback.
    pub direct_us: f64,
    /// Over an emulated link without a fault.
    #[serde(rename = "through_us")]
    pub via_link_us: f64,
}

/// Measures round trips over loopback, directly and via an emulated link.
///
/// # Errors
/// A socket that can't be opened, or a connection that breaks.
pub fn measure() -> io::Result<LinkOverhead> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        let echo = EchoServer::start().await?;
        let options = LinkOptions {
            target: Rc::new(RefCell::new(echo.address)),
            state: LinkState::default(),
            seed: 1,
            lateness: LatenessGauge::default(),
        };
        let link = tcp::open(options).await?;
        let (mut direct, mut via_link) = (Vec::new(), Vec::new());
        for _ in 0..ROUNDS {
            direct.push(round_trip_us(echo.address).await?);
            via_link.push(round_trip_us(link.address()).await?);
        }
        Ok(LinkOverhead { direct_us: median(direct), via_link_us: median(via_link) })
    })
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

/// An echo server that runs until it is dropped.
struct EchoServer {
    address: SocketAddr,
    _task: AbortOnDrop,
}

impl EchoServer {
    async fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let task = spawn_local(async move {
            let mut connections = JoinSet::new();
            while let Ok((mut stream, _)) = listener.accept().await {
                let _ = stream.set_nodelay(true);
                connections.spawn_local(async move {
                    let (mut reader, mut writer) = stream.split();
                    let _ = tokio::io::copy(&mut reader, &mut writer).await;
                });
            }
        });
        Ok(Self { address, _task: AbortOnDrop::new(task) })
    }
}

/// Returns the mean microseconds of the round trips over one new connection.
async fn round_trip_us(address: SocketAddr) -> io::Result<f64> {
    let mut stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let mut message = [7; MESSAGE_BYTES];
    let start = clock::now();
    for _ in 0..ROUND_TRIPS {
        stream.write_all(&message).await?;
        stream.read_exact(&mut message).await?;
    }
    Ok((clock::now() - start) as f64 / 1e3 / f64::from(ROUND_TRIPS))
}
