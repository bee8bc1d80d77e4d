use std::cell::Cell;
use std::future::{Future, poll_fn};
use std::pin::pin;

use bytes::Bytes;
use hyper::Method;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::{self, LocalSet};
use tokio::time::Instant;

use super::*;
use crate::net::memory_budget::MemoryBudget;
use crate::net::upstream::http::attempt::AttemptStage;
use crate::net::upstream::http::idle_connections::MIN_IDLE_BEFORE_REUSE;
use crate::net::upstream::response_classification::StatusPolicy;

/// Most attempts end long before their deadline, and each wake-up of the event loop costs processor time.
#[tokio::test(start_paused = true)]
async fn attempt_without_upload_does_not_wake_before_its_deadline() {
    let (request, stage) = (UpstreamRequest::default(), Cell::new(AttemptStage::Written));
    let mut waiting = pin!(timeout_outcome(&request, Instant::now() + Duration::from_secs(60), &stage));
    let mut polls = 0;
    let outcome = poll_fn(|cx| {
        polls += 1;
        waiting.as_mut().poll(cx)
    });
    assert_eq!((outcome.await, polls), (AttemptOutcome::TimedOut, 2));
}

fn transport() -> Rc<HttpTransport> {
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

/// A second response may still be in flight on a connection that has only just received its first one. As long as no
/// unsolicited data has been seen, connections that have been idle for [`MIN_IDLE_BEFORE_REUSE`] are preferred, and
/// no new connection is needed; after that, no other connections are reused.
#[tokio::test]
async fn connections_idle_for_the_minimum_are_reused_first() {
    let local = LocalSet::new();
    let reused = local.run_until(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let pool = transport().0.clone();
        let address = Address::Tcp(listener.local_addr().unwrap());
        let endpoint = EndpointConnections::new(address, pool.unsolicited_data.clone(), pool.max_idle);
        let (mut connections, mut peers) = (Vec::new(), Vec::new());
        for _ in 0..3 {
            connections.push(pool.connect(&endpoint).await.ok().unwrap());
            peers.push(listener.accept().await.unwrap());
        }
        tokio::time::pause();
        let start = Instant::now();
        for connection in connections {
            endpoint.push_idle(connection);
            tokio::time::advance(MIN_IDLE_BEFORE_REUSE * 3 / 5).await;
        }
        // They have been idle for 18, 12 and 6 ms; each is put back as just used.
        let mut order = Vec::new();
        for _ in 0..3 {
            let idle = endpoint.take_idle().unwrap();
            order.push((idle.since - start).as_millis());
            endpoint.push_idle(idle.connection);
        }
        pool.unsolicited_data.set(Some(Instant::now()));
        let none = endpoint.take_idle().is_none();
        tokio::time::advance(MIN_IDLE_BEFORE_REUSE).await;
        (order, none, endpoint.take_idle().is_some())
    });
    assert_eq!(reused.await, (vec![6, 0, 12], true, true));
}

/// A response that has been read is the outcome, even if the attempt is cancelled while it waits for its connection
/// to become ready for another request. The connection is not ready because the endpoint responded before it received
/// the whole request body.
#[tokio::test]
async fn response_that_was_read_is_the_outcome_despite_cancellation() {
    let local = LocalSet::new();
    let outcome = local.run_until(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (transport, second) = (transport(), Duration::from_secs(1));
        let connector = transport.connector(&Address::Tcp(listener.local_addr().unwrap()));
        let request = UpstreamRequest {
            method: Method::POST,
            body: Bytes::from(vec![0; 64 << 20]),
            ..UpstreamRequest::default()
        };
        let (cancel, cancelled) = oneshot::channel();
        let deadline = Instant::now() + 60 * second;
        let deadlines = AttemptDeadlines { deadline, start_before: deadline };
        let attempt = connector.attempt(Rc::new(request), deadlines, cancelled, Box::new(|_| ()));
        let peer = async {
            let (mut stream, _) = listener.accept().await.unwrap();
            assert!(stream.read(&mut [0; 64]).await.unwrap() > 0);
            stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone").await.unwrap();
            // The response is read while the sockets are polled several times. If this takes longer than the time in
            // which a connection has to become ready, the attempt ends before the cancellation.
            for _ in 0..200 {
                task::yield_now().await;
            }
            let _ = cancel.send(());
            stream
        };
        let (result, _stream) = tokio::join!(attempt, peer);
        (result.outcome, result.response.is_some())
    });
    assert_eq!(outcome.await, (AttemptOutcome::Success, true));
}
