use std::cell::Cell;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpListener;
use std::rc::Rc;

use tokio::runtime::{Builder, LocalOptions};

use super::*;

/// What a service says before it falls silent.
#[derive(Clone, Copy, PartialEq)]
enum Said {
    Nothing,
    Head,
    List,
}

/// How long a watch goes on after the last thing that its service says. The clock stands from then on, but for what the
/// watch waits for.
fn silent_for(agent: bool, said: Said) -> Duration {
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
        if said != Said::Nothing {
            stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").unwrap();
        }
        if said == Said::List {
            stream.write_all(format!("{:x}\r\n{list}\r\n", list.len()).as_bytes()).unwrap();
        } else {
            fell_silent(&last);
        }
        assert!(matches!(watch.await.unwrap(), WatchError::Timeout(_)));
        last.get().expect("it fell silent").elapsed()
    })
}

/// Guards drains from an agent that has lost a call or a watch: within 2 s of its return it has been asked again. Asking it
/// costs nothing, so one heartbeat that is late is enough.
#[test]
fn an_agent_that_is_silent_is_left_in_time() {
    let grace = Duration::from_secs(2);
    for said in [Said::Nothing, Said::Head] {
        assert!(silent_for(true, said) + AGENT_RETRY_DELAY < grace);
    }
    let watched = silent_for(true, Said::List);
    assert!(watched > HEARTBEAT && watched + AGENT_RETRY_DELAY < HEARTBEAT + grace, "{watched:?}");
}

/// Guards drains and prices at a service of all nodes: two heartbeats may be late, and it may have a call wait for 2 s. What is
/// missed binds 6 s later, and a drain is kept in 2 s more: that is time for two pauses of half a second, since one call may be
/// turned away, and a call of 2 s; after a call that was lost for two of a whole second, since others may have failed before.
#[test]
fn a_service_that_is_silent_is_left_in_time() {
    let (call, kept) = (Duration::from_secs(2), Duration::from_secs(8));
    for said in [Said::Head, Said::List] {
        let watched = silent_for(false, said);
        assert!(watched > HEARTBEAT * 2 && watched + Duration::from_secs(1) + call < kept, "{watched:?}");
    }
    let waited = silent_for(false, Said::Nothing);
    assert!(waited > call && waited + Duration::from_secs(2) + call < kept, "{waited:?}");
}
