use std::cell::Cell;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpListener;
use std::rc::Rc;

use tokio::runtime::{Builder, LocalOptions};

use super::*;

/// What a service sends before it stops sending.
#[derive(Clone, Copy, PartialEq)]
enum Sent {
    Nothing,
    Head,
    List,
}

/// Returns the time from the last data of a service until the watch times out. The clock is paused from the last data
/// on, and advances automatically to the next timeout.
fn time_until_timeout(agent: bool, sent: Sent) -> Duration {
    let runtime = Builder::new_current_thread().enable_all().build_local(LocalOptions::default()).unwrap();
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let last = Rc::new(Cell::new(None));
        let mark_last_data = |last: &Cell<Option<Instant>>| {
            tokio::time::pause();
            last.set(Some(Instant::now()));
        };
        let (address, last_data) = (listener.local_addr().unwrap(), last.clone());
        let watch = tokio::task::spawn_local(async move {
            watch(address, 0, agent, |_| mark_last_data(&last_data)).await
        });
        let mut stream = loop {
            match listener.accept() {
                Ok((stream, _)) => break stream,
                Err(error) if error.kind() == ErrorKind::WouldBlock => tokio::task::yield_now().await,
                Err(error) => panic!("{error}"),
            }
        };
        stream.set_nonblocking(true).unwrap();
        let mut received = Vec::new();
        while !received.ends_with(b"\r\n\r\n") {
            let mut chunk = [0; 256];
            match stream.read(&mut chunk) {
                Ok(count) => received.extend_from_slice(&chunk[..count]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => tokio::task::yield_now().await,
                Err(error) => panic!("{error}"),
            }
        }
        let list = "{\"seq\":1,\"whole\":true,\"hosts\":[]}\n";
        if sent != Sent::Nothing {
            stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").unwrap();
        }
        if sent == Sent::List {
            stream.write_all(format!("{:x}\r\n{list}\r\n", list.len()).as_bytes()).unwrap();
        } else {
            mark_last_data(&last);
        }
        assert!(matches!(watch.await.unwrap(), WatchError::Timeout(_)));
        last.get().expect("the service should have sent its last data").elapsed()
    })
}

/// An agent that has lost a request or a watch must get a new request within 2 s of its return, because drains depend
/// on it. A request to it costs nothing, so a single late heartbeat is sufficient for a retry.
#[test]
fn watch_of_silent_agent_is_retried_in_time() {
    let grace = Duration::from_secs(2);
    for sent in [Sent::Nothing, Sent::Head] {
        assert!(time_until_timeout(true, sent) + AGENT_RETRY_DELAY < grace);
    }
    let after_list = time_until_timeout(true, Sent::List);
    assert!(
        after_list > HEARTBEAT_INTERVAL && after_list + AGENT_RETRY_DELAY < HEARTBEAT_INTERVAL + grace,
        "{after_list:?}"
    );
}

/// A service that all nodes share may send two heartbeats late, and may take 2 s to respond to a request. A missed
/// change becomes binding 6 s later, and a drain has to be honoured within another 2 s. This leaves time for two
/// retry delays of half a second, since one request may be rejected, and a request of 2 s; or after a lost request,
/// for two retry delays of a second, since earlier requests may have failed.
#[test]
fn watch_of_silent_service_is_retried_in_time() {
    let (response_time, drain_due) = (Duration::from_secs(2), Duration::from_secs(8));
    for sent in [Sent::Head, Sent::List] {
        let after_list = time_until_timeout(false, sent);
        assert!(
            after_list > HEARTBEAT_INTERVAL * 2
                && after_list + Duration::from_secs(1) + response_time < drain_due,
            "{after_list:?}"
        );
    }
    let after_request = time_until_timeout(false, Sent::Nothing);
    assert!(
        after_request > response_time && after_request + Duration::from_secs(2) + response_time < drain_due,
        "{after_request:?}"
    );
}
