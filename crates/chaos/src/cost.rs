//! What a link of the storm's costs by itself: round trips over a connection through a relay beside ones without, in turn.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Builder;
use tokio::task::{LocalSet, spawn_local};

use crate::clock;
use crate::faults::State;
use crate::relay::{self, Lateness};

/// Rounds of each, in turn; the medians count.
const ROUNDS: usize = 9;
/// Round trips in a round.
const TRIPS: u32 = 500;
/// Bytes each way: a small request with its head.
const BYTES: usize = 400;

/// Microseconds a round trip, the medians of the rounds.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Cost {
    /// Over loopback as it is.
    pub direct_us: f64,
    /// Through a link without a fault.
    pub through_us: f64,
}

/// Measures it.
///
/// # Errors
/// Sockets that can't be opened.
pub fn measure() -> io::Result<Cost> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        let direct = echo().await?;
        let to = Rc::new(RefCell::new(direct));
        let (through, _tell) = relay::open(to, State::default(), 1, Lateness::default()).await?;
        let mut both = [Vec::new(), Vec::new()];
        for _ in 0..ROUNDS {
            for (of, address) in both.iter_mut().zip([direct, through]) {
                of.push(round(address).await?);
            }
        }
        let [direct_us, through_us] = both.map(|mut all| {
            all.sort_by(f64::total_cmp);
            all[ROUNDS / 2]
        });
        Ok(Cost { direct_us, through_us })
    })
}

async fn echo() -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            spawn_local(async move {
                let (mut from, mut to) = stream.split();
                let _ = tokio::io::copy(&mut from, &mut to).await;
            });
        }
    });
    Ok(address)
}

async fn round(address: SocketAddr) -> io::Result<f64> {
    let mut stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let mut bytes = [7; BYTES];
    let start = clock::now();
    for _ in 0..TRIPS {
        stream.write_all(&bytes).await?;
        stream.read_exact(&mut bytes).await?;
    }
    Ok((clock::now() - start) as f64 / 1e3 / f64::from(TRIPS))
}
