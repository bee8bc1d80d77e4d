//! Discovery: the whole list, and watches that get the whole list first and an empty line every 2 s.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use crate::node::list;

/// Starts discovery with a list that never changes; returns its address.
pub fn start(hosts: &[String]) -> Result<SocketAddr, String> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
    let address = listener.local_addr().map_err(|error| error.to_string())?;
    let list = list(1, hosts);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let list = list.clone();
            thread::spawn(move || drop(serve(stream, &list)));
        }
    });
    Ok(address)
}

fn serve(mut stream: TcpStream, list: &str) -> std::io::Result<()> {
    let mut input = BufReader::new(stream.try_clone()?);
    loop {
        let mut first = String::new();
        if input.read_line(&mut first)? == 0 {
            return Ok(());
        }
        let mut line = String::new();
        while input.read_line(&mut line)? > 2 {
            line.clear();
        }
        if !first.contains("watch=1") {
            let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
            write!(stream, "{head}Content-Length: {}\r\n\r\n{list}", list.len())?;
            continue;
        }
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        let mut text = format!("{list}\n");
        loop {
            write!(stream, "{:x}\r\n{text}\r\n", text.len())?;
            thread::sleep(Duration::from_secs(2));
            text = "\n".into();
        }
    }
}
