use std::future::{Future, poll_fn};
use std::pin::pin;

use bytes::Bytes;
use hyper::Method;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::LocalSet;

use super::*;
use crate::net::room::Room;
use crate::net::verdict::Reading;

/// Guards the loop's rest: most attempts end long before their time is up, and each wake is work for nothing.
#[tokio::test(start_paused = true)]
async fn an_attempt_without_an_upload_wakes_nobody_before_its_time() {
    let (call, stage) = (Call::default(), Cell::new(Stage::Written));
    let mut waiting = pin!(expiry(&call, Instant::now() + Duration::from_secs(60), &stage));
    let mut polls = 0;
    let outcome = poll_fn(|cx| {
        polls += 1;
        waiting.as_mut().poll(cx)
    });
    assert_eq!((outcome.await, polls), (Outcome::TimedOut, 2));
}

/// Guards an answer that has been read from whoever calls the attempt back while its connection settles: the server has
/// answered before it had the whole body, so the connection is not ready for another request, which is waited for.
#[tokio::test]
async fn an_answer_that_has_been_read_is_the_outcome() {
    let local = LocalSet::new();
    let told = local.run_until(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let reader = Reader {
            reading: Reading::Platform,
            longest: 1 << 20,
            longest_unstated: 1 << 20,
            room: Room::new(1 << 20),
            passes: false,
        };
        let second = Duration::from_secs(1);
        let upstream = Upstream::new(Connections::new(8), second, 60 * second, reader, Counter::default());
        let server = upstream.server(&Address::Tcp(listener.local_addr().unwrap()));
        let call = Call { method: Method::POST, body: Bytes::from(vec![0; 64 << 20]), ..Call::default() };
        let (cancel, cancelled) = oneshot::channel();
        let by = Instant::now() + 60 * second;
        let attempt = server.attempt(Rc::new(call), by, cancelled, Box::new(|_| ()));
        let peer = async {
            let (mut stream, _) = listener.accept().await.unwrap();
            assert!(stream.read(&mut [0; 64]).await.unwrap() > 0);
            stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone").await.unwrap();
            // Some looks at the sockets: the answer is read meanwhile. Where they take longer than the connection is waited
            // for, all is over already.
            for _ in 0..200 {
                task::yield_now().await;
            }
            let _ = cancel.send(());
            stream
        };
        let (end, _stream) = tokio::join!(attempt, peer);
        (end.outcome, end.answer.is_some())
    });
    assert_eq!(told.await, (Outcome::Ok, true));
}
