use std::cell::Cell;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpListener;
use std::rc::Rc;

use tokio::runtime::{Builder, LocalOptions};

use super::*;

/// What a service sends before it falls silent.
#[derive(Clone, Copy, PartialEq)]
enum Sent {
    Nothing,
    Head,
    List,
}

/// Returns how long a watch goes on after the last data of its service. The clock is paused from then on, and advances to
/// what the watch waits for.
fn silent_for(agent: bool, sent: Sent) -> Duration {
    let runtime = Builder::new_current_thread().enable_all().build_local(LocalOptions::default()).unwrap();
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let last = Rc::new(Cell::new(None));
        let fell_silent = |last: &Cell<Option<Instant>>| {
            tokio::time::pause();
            last.set(Some(Instant::now()));
        };
        let (address, heard) = (listener.local_addr().unwrap(), last.clone());
        let watch =
            tokio::task::spawn_local(async move { watch(address, 0, agent, |_| fell_silent(&heard)).await });
        let mut stream = loop {
            match listener.accept() {
                Ok((stream, _)) => break stream,
                Err(error) if error.kind() == ErrorKind::WouldBlock => tokio::task::yield_now().await,
                Err(error) => panic!("{error}"),
            }
        };
        stream.set_nonblocking(true).unwrap();
        let mut call = Vec::new();
        while !call.ends_with(b"\r\n\r\n") {
            let mut some = [0; 256];
            match stream.read(&mut some) {
                Ok(count) => call.extend_from_slice(&some[..count]),
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
            fell_silent(&last);
        }
        assert!(matches!(watch.await.unwrap(), WatchError::Timeout(_)));
        last.get().expect("it fell silent").elapsed()
    })
}

/// Drains depend on an agent that has lost a call or a watch: within 2 s of its return it is called again. A call to it
/// costs nothing, so one late heartbeat is enough.
#[test]
fn silent_agent_is_called_again_in_time() {
    let grace = Duration::from_secs(2);
    for sent in [Sent::Nothing, Sent::Head] {
        assert!(silent_for(true, sent) + AGENT_RETRY_DELAY < grace);
    }
    let watched = silent_for(true, Sent::List);
    assert!(
        watched > HEARTBEAT_INTERVAL && watched + AGENT_RETRY_DELAY < HEARTBEAT_INTERVAL + grace,
        "{watched:?}"
    );
}

/// Two heartbeats of a service that all nodes share may be late, and it may let a call wait for 2 s. A missed change binds 6 s
/// later, and a drain has to be honoured in 2 s more: that is time for two retry delays of half a second, since one call may
/// be rejected, and a call of 2 s; after a lost call for two delays of a second, since others may have failed before.
#[test]
fn silent_service_is_called_again_in_time() {
    let (call, kept) = (Duration::from_secs(2), Duration::from_secs(8));
    for sent in [Sent::Head, Sent::List] {
        let watched = silent_for(false, sent);
        assert!(
            watched > HEARTBEAT_INTERVAL * 2 && watched + Duration::from_secs(1) + call < kept,
            "{watched:?}"
        );
    }
    let waited = silent_for(false, Sent::Nothing);
    assert!(waited > call && waited + Duration::from_secs(2) + call < kept, "{waited:?}");
}
