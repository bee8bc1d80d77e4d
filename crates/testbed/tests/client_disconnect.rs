//! Clients that disconnect: the other end has received it once the call returns, whatever other threads do.

use std::io::{ErrorKind, Read};
use std::net::{TcpListener, TcpStream};
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use pumicehead_testbed::client_disconnect::Disconnect;

/// Ways whose requests fit into the receive buffer of the other end, which reads nothing until the client has disconnected.
const SHORT: [Disconnect; 5] =
    [Disconnect::Fin, Disconnect::Reset, Disconnect::HalfClose, Disconnect::Pipelined, Disconnect::MidBody];

/// Returns whether a connection ends behind the input that is there.
fn has_ended(stream: &mut TcpStream) -> bool {
    stream.set_nonblocking(true).unwrap();
    loop {
        match stream.read(&mut [0; 4096]) {
            Ok(0) => return true,
            Ok(_) => {}
            Err(error) => return error.kind() != ErrorKind::WouldBlock,
        }
    }
}

/// A program that is being started has copies of all descriptors, which keep a closed connection open.
#[test]
fn other_end_has_the_disconnect_while_programs_are_started() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let stopped = AtomicBool::new(false);
    let late: Vec<_> = thread::scope(|scope| {
        for _ in 0..2 {
            scope.spawn(|| {
                while !stopped.load(Ordering::SeqCst) {
                    assert!(Command::new("true").status().unwrap().success());
                }
            });
        }
        let ends_late = |way: &Disconnect| {
            let client = way.send_requests(address, "submit");
            let (mut stream, _) = listener.accept().unwrap();
            let _open = client.disconnect();
            !has_ended(&mut stream)
        };
        let late = (0..500).flat_map(|_| SHORT).filter(ends_late).collect();
        stopped.store(true, Ordering::SeqCst);
        late
    });
    assert!(late.is_empty(), "{} disconnects not received: {late:?}", late.len());
}
