//! A network path with a fixed one-way delay, as between two zones.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

/// Bytes read per call.
const READ_BYTES: usize = 64 << 10;

/// Bytes that leave the path at a time; empty at the end of the connection.
struct DelayedBytes {
    leave_at: Instant,
    bytes: Vec<u8>,
}

/// Starts a TCP proxy that passes on all bytes in order, each later by `one_way`. Returns its address.
///
/// # Panics
/// Where no port is free.
#[must_use]
pub fn delayed_path(target: SocketAddr, one_way: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("no free loopback port");
    let address = listener.local_addr().expect("listener has no local address");
    thread::spawn(move || {
        for near in listener.incoming().map_while(Result::ok) {
            if let Ok(far) = TcpStream::connect(target) {
                delay_both_ways(&near, &far, one_way);
            }
        }
    });
    address
}

fn delay_both_ways(near: &TcpStream, far: &TcpStream, one_way: Duration) {
    for (from, to) in [(near, far), (far, near)] {
        let _ = to.set_nodelay(true);
        if let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) {
            delay_one_way(from, to, one_way);
        }
    }
}

/// Passes on the bytes of one direction, and its end.
fn delay_one_way(mut from: TcpStream, mut to: TcpStream, one_way: Duration) {
    let (sender, delayed) = mpsc::channel();
    thread::spawn(move || {
        let mut buffer = vec![0; READ_BYTES];
        while let Ok(count) = from.read(&mut buffer) {
            let bytes = buffer[..count].to_vec();
            if sender.send(DelayedBytes { leave_at: Instant::now() + one_way, bytes }).is_err() || count == 0
            {
                return;
            }
        }
    });
    thread::spawn(move || {
        for DelayedBytes { leave_at, bytes } in delayed {
            thread::sleep(leave_at.saturating_duration_since(Instant::now()));
            if bytes.is_empty() || to.write_all(&bytes).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Write);
    });
}
