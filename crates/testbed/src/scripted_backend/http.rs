//! Scripted backends over HTTP/1.1.

use std::io::{self, BufReader, Read, Write};
use std::net::TcpStream;

use super::{Act, ScriptedBackends, write_endlessly};
use crate::scripted::Message;
use crate::standin::UNIT;

/// Whether a connection stays open after a request.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Connection {
    Keep,
    Close,
}

impl ScriptedBackends {
    /// Answers the requests of a connection; it is to be closed when this returns.
    pub(super) fn serve_http(&self, stream: &TcpStream) -> io::Result<()> {
        let mut input = BufReader::new(stream.try_clone()?);
        while let Some(message) = Message::read(&mut input) {
            let mut words = message.first.split(' ');
            let (method, target) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
            let unit = message.header(UNIT).unwrap_or_default();
            let act = self.next_act(method, target, unit).after_delays();
            if act == Act::Silent {
                let count = input.read(&mut [0; 1])?;
                self.update_record(|record| record.dropped += u32::from(count == 0));
                return Ok(());
            }
            if perform(act, method, stream)? == Connection::Close {
                return Ok(());
            }
        }
        Ok(())
    }
}

/// Writes the scripted response. Errors are those of the connection.
fn perform(act: Act, method: &str, mut out: &TcpStream) -> io::Result<Connection> {
    match act {
        Act::Answer(status, headers, body) => {
            out.write_all(response(status, headers, body, method).as_bytes())?;
            return Ok(Connection::Keep);
        }
        Act::ByBytes(body) => {
            let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            text.as_bytes().chunks(1).try_for_each(|part| out.write_all(part))?;
            return Ok(Connection::Keep);
        }
        Act::Paced(response) => {
            if response.write(out)? {
                return Ok(Connection::Keep);
            }
        }
        Act::Silent | Act::Close | Act::Raw(_) | Act::End(..) | Act::Later(..) => {}
        Act::CutBody => out.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n0123456789")?,
        Act::CutHead => out.write_all(b"HTTP/1.1 200 OK\r\nContent-Le")?,
        Act::Garbage => out.write_all(b"\x00\xff what is this\r\n\r\n")?,
        Act::EndlessHead => {
            out.write_all(b"HTTP/1.1 200 OK\r\n")?;
            write_endlessly(|part| out.write_all(part))?;
        }
        Act::TooLong => {
            out.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n")?;
            write_endlessly(|part| out.write_all(part))?;
        }
    }
    Ok(Connection::Close)
}

/// A response's text; a `Content-Length` is added where the status has a body and `headers` hold none.
fn response(status: u16, headers: &str, body: &str, method: &str) -> String {
    let body = if method == "HEAD" { "" } else { body };
    let length = match status {
        204 | 304 => String::new(),
        _ if headers.to_ascii_lowercase().contains("content-length") => String::new(),
        _ => format!("Content-Length: {}\r\n", body.len()),
    };
    format!("HTTP/1.1 {status} X\r\n{headers}{length}\r\n{body}")
}
