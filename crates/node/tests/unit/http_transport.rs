use std::future::{Future, poll_fn};
use std::pin::pin;

use bytes::Bytes;
use hyper::Method;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::LocalSet;

use super::*;
use crate::net::memory_budget::MemoryBudget;
use crate::net::upstream::response_classification::StatusPolicy;

/// Guards the loop's rest: most attempts end long before their time is up, and each wake is work for nothing.
#[tokio::test(start_paused = true)]
async fn an_attempt_without_an_upload_wakes_nobody_before_its_time() {
    let (call, stage) = (UpstreamRequest::default(), Cell::new(AttemptStage::Written));
    let mut waiting = pin!(expiry(&call, Instant::now() + Duration::from_secs(60), &stage));
    let mut polls = 0;
    let outcome = poll_fn(|cx| {
        polls += 1;
        waiting.as_mut().poll(cx)
    });
    assert_eq!((outcome.await, polls), (AttemptOutcome::TimedOut, 2));
}

fn upstream() -> Rc<HttpTransport> {
    let reader = ResponseReader {
        status_policy: StatusPolicy::Platform,
        max_body: 1 << 20,
        max_unsized_body: 1 << 20,
        memory: MemoryBudget::new(1 << 20),
        streaming: false,
    };
    let second = Duration::from_secs(1);
    HttpTransport::new(ConnectionRegistry::new(8), second, 60 * second, reader, Counter::default())
}

/// Guards a request from a second answer that is still on its way on a connection that has only just had its first, as far
/// as another connection is at hand: the first of all such answers has nothing that tells it, and no new connection is made
/// for it. Once one has been seen, none is used that has not rested.
#[tokio::test]
async fn what_has_rested_goes_first() {
    let local = LocalSet::new();
    let told = local.run_until(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let shared = upstream().0.clone();
        let backend = EndpointConnections {
            dial: Address::Tcp(listener.local_addr().unwrap()),
            usable: Cell::new(true),
            idle: RefCell::default(),
            surplus: shared.surplus.clone(),
            idle_for: shared.idle_for,
            registered: Cell::new(false),
        };
        let (mut up, mut peers) = (Vec::new(), Vec::new());
        for _ in 0..3 {
            up.push(shared.dial(&backend).await.ok().unwrap());
            peers.push(listener.accept().await.unwrap());
        }
        tokio::time::pause();
        let start = Instant::now();
        let put = |conn| backend.idle.borrow_mut().push_back((Instant::now(), conn));
        for conn in up {
            put(conn);
            tokio::time::advance(REST * 3 / 5).await;
        }
        // They have rested for 18, 12 and 6 ms; each is put back as just used.
        let mut order = Vec::new();
        for _ in 0..3 {
            let (since, conn) = shared.kept(&backend).unwrap();
            order.push((since - start).as_millis());
            put(conn);
        }
        shared.surplus.set(Some(Instant::now()));
        let none = shared.kept(&backend).is_none();
        tokio::time::advance(REST).await;
        (order, none, shared.kept(&backend).is_some())
    });
    assert_eq!(told.await, (vec![6, 0, 12], true, true));
}

/// Guards an answer that has been read from whoever calls the attempt back while its connection settles: the server has
/// answered before it had the whole body, so the connection is not ready for another request, which is waited for.
#[tokio::test]
async fn an_answer_that_has_been_read_is_the_outcome() {
    let local = LocalSet::new();
    let told = local.run_until(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (upstream, second) = (upstream(), Duration::from_secs(1));
        let server = upstream.connector(&Address::Tcp(listener.local_addr().unwrap()));
        let call = UpstreamRequest {
            method: Method::POST,
            body: Bytes::from(vec![0; 64 << 20]),
            ..UpstreamRequest::default()
        };
        let (cancel, cancelled) = oneshot::channel();
        let by = Instant::now() + 60 * second;
        let times = AttemptDeadlines { deadline: by, start_before: by };
        let attempt = server.attempt(Rc::new(call), times, cancelled, Box::new(|_| ()));
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
        (end.outcome, end.response.is_some())
    });
    assert_eq!(told.await, (AttemptOutcome::Success, true));
}
