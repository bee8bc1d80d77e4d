//! A network path of a fixed one-way delay: a TCP proxy that passes on all bytes in order, each later by that time.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

/// Starts a path to `target`; returns its near end.
pub fn start(target: SocketAddr, one_way: Duration) -> Result<SocketAddr, String> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
    let address = listener.local_addr().map_err(|error| error.to_string())?;
    thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let Ok(far) = TcpStream::connect(target) else { continue };
            let _ = (near.set_nodelay(true), far.set_nodelay(true));
            let (Ok(near_copy), Ok(far_copy)) = (near.try_clone(), far.try_clone()) else { continue };
            pass_on(near, far, one_way);
            pass_on(far_copy, near_copy, one_way);
        }
    });
    Ok(address)
}

/// Passes on the bytes of one direction, and its end.
fn pass_on(mut from: TcpStream, mut to: TcpStream, one_way: Duration) {
    let (sender, pieces) = mpsc::channel::<(Instant, Vec<u8>)>();
    thread::spawn(move || {
        let mut piece = [0; 65536];
        while let Ok(count) = from.read(&mut piece) {
            if sender.send((Instant::now() + one_way, piece[..count].to_vec())).is_err() || count == 0 {
                return;
            }
        }
    });
    thread::spawn(move || {
        for (due, piece) in pieces {
            thread::sleep(due.saturating_duration_since(Instant::now()));
            if piece.is_empty() || to.write_all(&piece).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Write);
    });
}
