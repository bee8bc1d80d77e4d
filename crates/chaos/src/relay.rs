//! The links of a fleet as sockets: for each pair a listener of the storm's own, whose bytes go on as [`Way`] says.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::Nanos;
use crate::clock;
use crate::faults::State;
use crate::link::{Conditions, Door, Way};

/// Bytes read at once.
const PIECE: usize = 16 << 10;
/// Pieces on their way in a direction; a sender waits for room beyond, as behind a full window.
const MOST_PIECES: usize = 64;
/// Until the other side of a link is given up on: nobody listens there on loopback.
const DIAL: Duration = Duration::from_secs(1);
/// Pause after an accept that failed for want of descriptors.
const PAUSE: Duration = Duration::from_millis(10);

/// What a link is like now, and how often its connections were reset.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Now {
    /// What it is like.
    pub state: State,
    /// Connections of an earlier number are reset.
    pub resets: u32,
}

/// The way to tell a link what it is to be like.
pub type Tell = watch::Sender<Now>;

/// How late the relay came, at most since it was asked last.
#[derive(Clone, Debug, Default)]
pub struct Lateness(Arc<AtomicU64>);

impl Lateness {
    /// Something was due then, and comes now.
    pub fn note(&self, due: Nanos) {
        self.0.fetch_max(clock::now().saturating_sub(due) / 1_000, Ordering::Relaxed);
    }

    /// The most since the last call, in microseconds.
    #[must_use]
    pub fn take(&self) -> u64 {
        self.0.swap(0, Ordering::Relaxed)
    }
}

/// Opens a link: a listener on loopback whose connections go on to `to`, which may change with each start of a process.
///
/// # Errors
/// A listener that can't be opened.
pub async fn open(
    to: Rc<RefCell<SocketAddr>>,
    state: State,
    seed: u64,
    late: Lateness,
) -> io::Result<(SocketAddr, Tell)> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    open_on(listener, to, state, seed, late)
}

/// The same on a listener that is there.
///
/// # Errors
/// A listener that has no address.
pub fn open_on(
    listener: TcpListener,
    to: Rc<RefCell<SocketAddr>>,
    state: State,
    seed: u64,
    late: Lateness,
) -> io::Result<(SocketAddr, Tell)> {
    let address = listener.local_addr()?;
    let (tell, now) = watch::channel(Now { state, resets: 0 });
    spawn_local(accept(listener, address, to, now, seed, late));
    Ok((address, tell))
}

async fn accept(
    listener: TcpListener,
    address: SocketAddr,
    to: Rc<RefCell<SocketAddr>>,
    mut now: watch::Receiver<Now>,
    seed: u64,
    late: Lateness,
) {
    let mut listener = Some(listener);
    let mut count = 0u64;
    loop {
        let door = now.borrow_and_update().state.door;
        if door == Door::Refuse {
            // Nobody listens: the system refuses for us.
            listener = None;
            if now.changed().await.is_err() {
                return;
            }
            continue;
        }
        if listener.is_none() {
            listener = TcpListener::bind(address).await.ok();
        }
        let Some(open) = &listener else {
            sleep(PAUSE).await;
            continue;
        };
        tokio::select! {
            changed = now.changed() => if changed.is_err() {
                return;
            },
            came = open.accept() => match came {
                Ok((stream, _)) => {
                    count += 1;
                    let rng = StdRng::seed_from_u64(seed.wrapping_add(count));
                    let to = *to.borrow();
                    spawn_local(carry(stream, to, now.clone(), rng, late.clone()));
                }
                Err(_) => sleep(PAUSE).await,
            },
        }
    }
}

/// One connection.
async fn carry(near: TcpStream, to: SocketAddr, mut now: watch::Receiver<Now>, rng: StdRng, late: Lateness) {
    let resets = now.borrow_and_update().resets;
    let is_reset = |now: &Now| now.resets != resets || now.state.door == Door::Refuse;
    // Behind a silent door the kernel has taken the connection, and nobody reads it until the link is back.
    while now.borrow_and_update().state.door == Door::Silent {
        if now.changed().await.is_err() {
            return;
        }
        if is_reset(&now.borrow()) {
            return reset(&near);
        }
    }
    let Ok(Ok(far)) = timeout(DIAL, TcpStream::connect(to)).await else { return reset(&near) };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (near_end, far_end) = (SockRef::from(&near).try_clone(), SockRef::from(&far).try_clone());
    let (near_in, near_out) = near.into_split();
    let (far_in, far_out) = far.into_split();
    let other = StdRng::seed_from_u64(clock::now());
    let there = pump(near_in, far_out, now.clone(), |state| &state.there, rng, late.clone());
    let back = pump(far_in, near_out, now.clone(), |state| &state.back, other, late);
    let both = async { tokio::try_join!(there, back) };
    let until_reset = async {
        while now.changed().await.is_ok() {
            if is_reset(&now.borrow_and_update()) {
                return;
            }
        }
    };
    let whole = tokio::select! {
        done = both => done.is_ok(),
        () = until_reset => false,
    };
    if !whole {
        for socket in [near_end, far_end].into_iter().flatten() {
            let _ = socket.set_linger(Some(Duration::ZERO));
        }
    }
}

fn reset(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// One direction of a connection, until its end has arrived.
async fn pump(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    mut now: watch::Receiver<Now>,
    which: impl Fn(&State) -> &Conditions,
    mut rng: StdRng,
    late: Lateness,
) -> io::Result<()> {
    let mut way = Way::default();
    // With its time of arrival; what has none yet waits for the link. An empty piece is the end.
    let mut coming: VecDeque<(Option<Nanos>, Vec<u8>)> = VecDeque::new();
    let mut ended = false;
    let mut bytes = vec![0; PIECE];
    loop {
        let cut = {
            let state = &now.borrow_and_update().state;
            let on = which(state);
            for (due, piece) in &mut coming {
                if due.is_none() {
                    *due = way.piece(clock::now(), piece.len(), on, &mut rng);
                }
            }
            on.cut
        };
        let first = coming.front().and_then(|(due, _)| *due);
        let wait = async {
            match first {
                Some(due) => {
                    let left = Duration::from_nanos(due.saturating_sub(clock::now()));
                    if !left.is_zero() {
                        sleep_until(Instant::now() + left).await;
                    }
                }
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            // What is on its way when a link is cut is lost with it, and is sent again once it is back.
            () = wait, if !cut => {
                if let Some((Some(due), piece)) = coming.pop_front() {
                    late.note(due);
                    if piece.is_empty() {
                        return to.shutdown().await;
                    }
                    to.write_all(&piece).await?;
                }
            }
            changed = now.changed() => if changed.is_err() {
                return Ok(());
            },
            read = from.read(&mut bytes), if !ended && coming.len() < MOST_PIECES => {
                let count = read?;
                ended = count == 0;
                let due = way.piece(clock::now(), count, which(&now.borrow().state), &mut rng);
                coming.push_back((due, bytes[..count].to_vec()));
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use tokio::runtime::Builder;
    use tokio::task::LocalSet;

    use super::*;

    const LIMIT: Duration = Duration::from_secs(20);

    fn on_a_loop<T>(test: impl Future<Output = T>) -> T {
        let runtime = Builder::new_current_thread().enable_all().build().unwrap();
        LocalSet::new().block_on(&runtime, async { timeout(LIMIT, test).await.expect("in time") })
    }

    async fn echo() -> Rc<RefCell<SocketAddr>> {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        spawn_local(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                spawn_local(async move {
                    let (mut from, mut to) = stream.split();
                    let _ = tokio::io::copy(&mut from, &mut to).await;
                });
            }
        });
        Rc::new(RefCell::new(address))
    }

    async fn ask(stream: &mut TcpStream, text: &[u8]) -> io::Result<Vec<u8>> {
        stream.write_all(text).await?;
        let mut back = vec![0; text.len()];
        stream.read_exact(&mut back).await?;
        Ok(back)
    }

    /// Guards that a link passes on all bytes in order, slowly where told, and the end of a side.
    #[test]
    fn bytes_pass_in_order_and_so_does_the_end() {
        on_a_loop(async {
            let bad = Conditions { delay_ms: 20.0, jitter_ms: 5.0, loss: 0.05, ..Default::default() };
            let state = State { there: bad.clone(), back: bad, ..State::default() };
            let (address, tell) = open(echo().await, state, 3, Lateness::default()).await.unwrap();
            let mut stream = TcpStream::connect(address).await.unwrap();
            let text: Vec<u8> = (0..200_000u32).map(|n| (n % 251) as u8).collect();
            let start = Instant::now();
            assert_eq!(ask(&mut stream, &text).await.unwrap(), text);
            assert!(start.elapsed() >= Duration::from_millis(40), "both ways take their time");
            stream.shutdown().await.unwrap();
            assert_eq!(stream.read(&mut [0; 8]).await.unwrap(), 0);
            drop(tell);
        });
    }

    /// Guards what a link can be: cut one way and silent, healed with nothing lost, refused, reset.
    #[test]
    fn cuts_are_silent_heal_and_reset_as_told() {
        on_a_loop(async {
            let (address, tell) = open(echo().await, State::default(), 3, Lateness::default()).await.unwrap();
            let mut stream = TcpStream::connect(address).await.unwrap();
            assert_eq!(ask(&mut stream, b"one").await.unwrap(), b"one");
            // The way back alone: what is asked arrives, no answer does, and the connection stays.
            let cut = Conditions { cut: true, ..Default::default() };
            let state = State { door: Door::Silent, back: cut, ..State::default() };
            tell.send_replace(Now { state, resets: 0 });
            let waited = timeout(Duration::from_millis(300), ask(&mut stream, b"two")).await;
            assert!(waited.is_err(), "{waited:?}");
            let mut late = TcpStream::connect(address).await.expect("the kernel takes it");
            assert!(timeout(Duration::from_millis(300), ask(&mut late, b"x")).await.is_err());
            // Healed: what was held arrives, on both.
            tell.send_replace(Now::default());
            let mut back = [0; 3];
            stream.read_exact(&mut back).await.unwrap();
            assert_eq!(&back, b"two");
            late.read_exact(&mut back[..1]).await.unwrap();
            tell.send_replace(Now { resets: 1, ..Now::default() });
            assert!(ask(&mut stream, b"three").await.is_err());
            let refuse = State { door: Door::Refuse, ..State::default() };
            tell.send_replace(Now { state: refuse, resets: 1 });
            while TcpStream::connect(address).await.is_ok() {
                sleep(PAUSE).await;
            }
            tell.send_replace(Now { resets: 1, ..Now::default() });
            let mut again = loop {
                match TcpStream::connect(address).await {
                    Ok(stream) => break stream,
                    Err(_) => sleep(PAUSE).await,
                }
            };
            assert_eq!(ask(&mut again, b"four").await.unwrap(), b"four");
        });
    }
}
