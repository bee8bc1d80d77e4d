//! Emulated links for TCP connections, over sockets.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use pumicehead_chaos::link::{
    ConnectPolicy, LatenessGauge, Link, LinkConditions, LinkOptions, LinkSettings, LinkState, tcp,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Builder;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, timeout};

const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Time without a reply after which none is expected.
const NO_REPLY_TIME: Duration = Duration::from_millis(300);
const CONNECT_RETRY: Duration = Duration::from_millis(10);

fn block_on<T>(test: impl Future<Output = T>) -> T {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        timeout(TEST_TIMEOUT, test).await.expect("the test ends within its timeout")
    })
}

/// Opens a link to an echo server.
async fn open_link_to_echo(state: LinkState) -> Link {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address: SocketAddr = listener.local_addr().unwrap();
    spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            spawn_local(async move {
                let (mut reader, mut writer) = stream.split();
                let _ = tokio::io::copy(&mut reader, &mut writer).await;
            });
        }
    });
    let target = Rc::new(RefCell::new(address));
    tcp::open(LinkOptions { target, state, seed: 3, lateness: LatenessGauge::default() }).await.unwrap()
}

async fn round_trip(stream: &mut TcpStream, message: &[u8]) -> io::Result<Vec<u8>> {
    stream.write_all(message).await?;
    let mut reply = vec![0; message.len()];
    stream.read_exact(&mut reply).await?;
    Ok(reply)
}

/// Tries to connect until the link accepts the connection.
async fn connect_until_accepted(address: SocketAddr) -> TcpStream {
    loop {
        match TcpStream::connect(address).await {
            Ok(stream) => return stream,
            Err(_) => sleep(CONNECT_RETRY).await,
        }
    }
}

#[test]
fn bytes_and_the_end_of_stream_arrive_in_order_after_the_latency() {
    block_on(async {
        let slow = LinkConditions { latency_ms: 20.0, jitter_ms: 5.0, loss: 0.05, ..Default::default() };
        let state = LinkState { forward: slow.clone(), reverse: slow, ..LinkState::default() };
        let link = open_link_to_echo(state).await;
        let mut stream = TcpStream::connect(link.address()).await.unwrap();
        let message: Vec<u8> = (0..200_000u32).map(|n| (n % 251) as u8).collect();
        let start = Instant::now();
        assert_eq!(round_trip(&mut stream, &message).await.unwrap(), message);
        assert!(start.elapsed() >= Duration::from_millis(40), "the latency applies to both directions");
        stream.shutdown().await.unwrap();
        assert_eq!(stream.read(&mut [0; 8]).await.unwrap(), 0);
    });
}

#[test]
fn a_partition_holds_bytes_back_until_it_heals() {
    block_on(async {
        let link = open_link_to_echo(LinkState::default()).await;
        let mut stream = TcpStream::connect(link.address()).await.unwrap();
        assert_eq!(round_trip(&mut stream, b"one").await.unwrap(), b"one");
        // A partition in the reverse direction only: requests arrive, responses do not, and the connection stays open.
        let reverse = LinkConditions { partitioned: true, ..Default::default() };
        let state = LinkState { connect_policy: ConnectPolicy::Blackhole, reverse, ..LinkState::default() };
        link.update(LinkSettings { state, reset_count: 0 });
        let waited = timeout(NO_REPLY_TIME, round_trip(&mut stream, b"two")).await;
        assert!(waited.is_err(), "{waited:?}");
        let mut late = TcpStream::connect(link.address()).await.expect("the kernel accepts it");
        assert!(timeout(NO_REPLY_TIME, round_trip(&mut late, b"x")).await.is_err());
        // Healed: bytes that were held back arrive on both connections.
        link.update(LinkSettings::default());
        let mut reply = [0; 3];
        stream.read_exact(&mut reply).await.unwrap();
        assert_eq!(&reply, b"two");
        late.read_exact(&mut reply[..1]).await.unwrap();
        link.update(LinkSettings { reset_count: 1, ..LinkSettings::default() });
        assert!(round_trip(&mut stream, b"three").await.is_err());
    });
}

#[test]
fn a_link_refuses_connections_until_it_accepts_again() {
    block_on(async {
        let link = open_link_to_echo(LinkState::default()).await;
        let refuse = LinkState { connect_policy: ConnectPolicy::Refuse, ..LinkState::default() };
        link.update(LinkSettings { state: refuse, reset_count: 1 });
        while TcpStream::connect(link.address()).await.is_ok() {
            sleep(CONNECT_RETRY).await;
        }
        link.update(LinkSettings { reset_count: 1, ..LinkSettings::default() });
        let mut again = connect_until_accepted(link.address()).await;
        assert_eq!(round_trip(&mut again, b"four").await.unwrap(), b"four");
    });
}
