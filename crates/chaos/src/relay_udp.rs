//! Links that carry datagrams: lost, doubled, late and out of order as [`Way`] says. For protocols between nodes.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::watch;
use tokio::task::{JoinSet, spawn_local};
use tokio::time::sleep;

use crate::clock;
use crate::faults::State;
use crate::link::{Conditions, Door, Way};
use crate::relay::{self, Lateness, Now, Tell};

/// The largest datagram there is.
const LARGEST: usize = 65_536;
/// Datagrams on their way in a direction; more are lost, as from a full queue.
const MOST: usize = 1_024;
/// Senders that a link tells apart, so that answers find back: each has a socket. More than a fleet's nodes are not served.
const MOST_SENDERS: usize = 64;

/// One direction.
struct Direction {
    way: RefCell<Way>,
    rng: RefCell<StdRng>,
    coming: Rc<Cell<usize>>,
    late: Lateness,
}

impl Direction {
    fn new(seed: u64, late: Lateness) -> Self {
        let rng = RefCell::new(StdRng::seed_from_u64(seed));
        Self { way: RefCell::default(), rng, coming: Rc::default(), late }
    }

    fn pass(&self, bytes: &[u8], on: &Conditions, door: Door, by: &Rc<UdpSocket>, to: SocketAddr) {
        // Nobody is told of a datagram that is refused.
        if door != Door::Open {
            return;
        }
        let arrivals =
            self.way.borrow_mut().datagram(clock::now(), bytes.len(), on, &mut *self.rng.borrow_mut());
        for due in arrivals {
            if self.coming.get() >= MOST {
                return;
            }
            self.coming.set(self.coming.get() + 1);
            let (bytes, by, coming, late) =
                (bytes.to_vec(), by.clone(), self.coming.clone(), self.late.clone());
            spawn_local(async move {
                let left = due.saturating_sub(clock::now());
                if left > 0 {
                    sleep(Duration::from_nanos(left)).await;
                }
                late.note(due);
                coming.set(coming.get() - 1);
                // What can't be sent is lost like any.
                let _ = by.send_to(&bytes, to).await;
            });
        }
    }
}

/// Opens a link for datagrams: a socket on loopback, from which they go on to `to`, and answers back to who sent.
///
/// # Errors
/// A socket that can't be opened.
pub async fn open(
    to: Rc<RefCell<SocketAddr>>,
    state: State,
    seed: u64,
    late: Lateness,
) -> io::Result<(SocketAddr, Tell)> {
    open_on(UdpSocket::bind("127.0.0.1:0").await?, to, state, seed, late)
}

/// Tries to find a port that is free for datagrams and streams alike.
const PORTS: usize = 64;

/// A link for datagrams and one for streams, at one address.
///
/// # Errors
/// Sockets that can't be opened.
pub async fn open_both(
    to: Rc<RefCell<SocketAddr>>,
    state: State,
    seed: u64,
    late: Lateness,
) -> io::Result<(SocketAddr, [Tell; 2])> {
    for _ in 0..PORTS {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let Ok(socket) = UdpSocket::bind(listener.local_addr()?).await else { continue };
        let (address, streams) = relay::open_on(listener, to.clone(), state.clone(), seed, late.clone())?;
        let (_, datagrams) = open_on(socket, to, state, seed.wrapping_add(1 << 16), late)?;
        return Ok((address, [streams, datagrams]));
    }
    Err(io::ErrorKind::AddrInUse.into())
}

fn open_on(
    near: UdpSocket,
    to: Rc<RefCell<SocketAddr>>,
    state: State,
    seed: u64,
    late: Lateness,
) -> io::Result<(SocketAddr, Tell)> {
    let near = Rc::new(near);
    let address = near.local_addr()?;
    let (tell, now) = watch::channel(Now { state, resets: 0 });
    spawn_local(carry(near, to, now, seed, late));
    Ok((address, tell))
}

async fn carry(
    near: Rc<UdpSocket>,
    to: Rc<RefCell<SocketAddr>>,
    now: watch::Receiver<Now>,
    seed: u64,
    late: Lateness,
) {
    let there = Direction::new(seed, late.clone());
    let back = Rc::new(Direction::new(seed.wrapping_add(1), late));
    let mut far: HashMap<SocketAddr, Rc<UdpSocket>> = HashMap::new();
    // Ended with this link.
    let mut answers = JoinSet::new();
    let mut over = now.clone();
    let mut bytes = vec![0; LARGEST];
    loop {
        let (count, from) = tokio::select! {
            came = near.recv_from(&mut bytes) => match came {
                Ok(came) => came,
                // Of an earlier datagram that nobody took.
                Err(_) => continue,
            },
            () = ended(&mut over) => return,
        };
        if !far.contains_key(&from) {
            if far.len() >= MOST_SENDERS {
                continue;
            }
            let Ok(socket) = UdpSocket::bind("127.0.0.1:0").await else { continue };
            let socket = Rc::new(socket);
            far.insert(from, socket.clone());
            let (near, now, back) = (near.clone(), now.clone(), back.clone());
            answers.spawn_local(async move {
                let mut bytes = vec![0; LARGEST];
                loop {
                    let Ok((count, _)) = socket.recv_from(&mut bytes).await else { continue };
                    let state = now.borrow().state.clone();
                    back.pass(&bytes[..count], &state.back, state.door, &near, from);
                }
            });
        }
        let state = now.borrow().state.clone();
        there.pass(&bytes[..count], &state.there, state.door, &far[&from], *to.borrow());
    }
}

/// When whoever tells what the link is like is gone.
async fn ended(now: &mut watch::Receiver<Now>) {
    while now.changed().await.is_ok() {}
}

#[cfg(test)]
mod tests {
    use tokio::runtime::Builder;
    use tokio::task::LocalSet;
    use tokio::time::timeout;

    use super::*;

    /// Guards datagrams over sockets: all come where the link is good, none where it is cut, each its own sender's answer, and
    /// with losses and copies about as many as asked for.
    #[test]
    fn datagrams_pass_as_told() {
        let runtime = Builder::new_current_thread().enable_all().build().unwrap();
        LocalSet::new().block_on(&runtime, async {
            let echo = UdpSocket::bind("127.0.0.1:0").await.unwrap();
            let to = Rc::new(RefCell::new(echo.local_addr().unwrap()));
            spawn_local(async move {
                let mut bytes = [0; 64];
                while let Ok((count, from)) = echo.recv_from(&mut bytes).await {
                    let _ = echo.send_to(&bytes[..count], from).await;
                }
            });
            let (address, tell) = open(to, State::default(), 5, Lateness::default()).await.unwrap();
            let ask = async |socket: &UdpSocket, count: u32| {
                let mut came = Vec::new();
                for number in 0..count {
                    socket.send_to(&number.to_be_bytes(), address).await.unwrap();
                    let mut bytes = [0; 64];
                    // One at a time: nothing overflows, and what is lost is seen to be.
                    while let Ok(Ok(count)) =
                        timeout(Duration::from_millis(100), socket.recv(&mut bytes)).await
                    {
                        assert_eq!(count, 4);
                        let back = u32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]);
                        came.push(back);
                        if back == number {
                            break;
                        }
                    }
                }
                came
            };
            let (one, two) = (
                UdpSocket::bind("127.0.0.1:0").await.unwrap(),
                UdpSocket::bind("127.0.0.1:0").await.unwrap(),
            );
            assert_eq!(ask(&one, 50).await.len(), 50);
            assert_eq!(ask(&two, 50).await.len(), 50);
            let cut = State { back: Conditions { cut: true, ..Conditions::default() }, ..State::default() };
            tell.send_replace(Now { state: cut, resets: 0 });
            assert!(ask(&one, 3).await.is_empty());
            let lossy =
                State { there: Conditions { loss: 0.5, ..Conditions::default() }, ..State::default() };
            tell.send_replace(Now { state: lossy, resets: 0 });
            let came = ask(&one, 40).await.len();
            assert!((5..=35).contains(&came), "{came} of 40");
        });
    }
}
