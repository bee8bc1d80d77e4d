//! Emulated links for datagrams, over sockets.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use pumicehead_chaos::link::{
    LatenessGauge, Link, LinkConditions, LinkOptions, LinkSettings, LinkState, udp,
};
use tokio::net::UdpSocket;
use tokio::runtime::Builder;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::timeout;

/// Time after which a datagram counts as lost.
const REPLY_TIMEOUT: Duration = Duration::from_millis(100);

/// Opens a link to an echo server for datagrams.
async fn open_link_to_echo() -> Link {
    let echo = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let target = Rc::new(RefCell::new(echo.local_addr().unwrap()));
    spawn_local(async move {
        let mut buffer = [0; 64];
        while let Ok((count, sender)) = echo.recv_from(&mut buffer).await {
            let _ = echo.send_to(&buffer[..count], sender).await;
        }
    });
    let (state, lateness) = (LinkState::default(), LatenessGauge::default());
    udp::open(LinkOptions { target, state, seed: 5, lateness }).await.unwrap()
}

/// Sends numbers, each after the reply to the last one or its timeout; returns the numbers of all replies.
async fn replies(socket: &UdpSocket, address: SocketAddr, count: u32) -> Vec<u32> {
    let mut replies = Vec::new();
    for number in 0..count {
        socket.send_to(&number.to_be_bytes(), address).await.unwrap();
        let mut buffer = [0; 64];
        while let Ok(Ok(count)) = timeout(REPLY_TIMEOUT, socket.recv(&mut buffer)).await {
            assert_eq!(count, 4);
            let reply = u32::from_be_bytes([buffer[0], buffer[1], buffer[2], buffer[3]]);
            replies.push(reply);
            if reply == number {
                break;
            }
        }
    }
    replies
}

/// Without a fault all datagrams arrive and each sender gets its own replies; with a partition none arrives; with loss about
/// the configured share arrives.
#[test]
fn udp_links_apply_partitions_and_loss_to_datagrams() {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let link = open_link_to_echo().await;
        let address = link.address();
        let first = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let second = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        assert_eq!(replies(&first, address, 50).await.len(), 50);
        assert_eq!(replies(&second, address, 50).await.len(), 50);
        let partitioned = LinkConditions { partitioned: true, ..LinkConditions::default() };
        let state = LinkState { reverse: partitioned, ..LinkState::default() };
        link.update(LinkSettings { state, reset_count: 0 });
        assert!(replies(&first, address, 3).await.is_empty());
        let lossy = LinkConditions { loss: 0.5, ..LinkConditions::default() };
        let state = LinkState { forward: lossy, ..LinkState::default() };
        link.update(LinkSettings { state, reset_count: 0 });
        let arrived = replies(&first, address, 40).await.len();
        assert!((5..=35).contains(&arrived), "{arrived} of 40");
    });
}
