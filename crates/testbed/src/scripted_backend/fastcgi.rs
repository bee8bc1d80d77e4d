//! Scripted backends over FastCGI.

use std::io::{self, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

use bytes::BytesMut;
use pumicehead_fastcgi::pairs::Pair;
use pumicehead_fastcgi::record::{End, Kind, ProtocolStatus, put_record, put_stream, put_stream_end};
use pumicehead_fastcgi::server::{Event, Limits, Server as Application};

use super::{Act, ScriptedBackends, write_endlessly};
use crate::scripted::{Framing, PacedResponse};

/// Bytes read per call.
const READ_BUFFER: usize = 16 << 10;

/// A FastCGI connection of a backend.
struct Connection<'a> {
    backends: &'a ScriptedBackends,
    application: Application,
    /// Multiplexed requests are answered on a thread each, which share the stream.
    writer: Arc<Mutex<TcpStream>>,
    /// Requests that stay without an answer.
    unanswered: u32,
}

/// A complete request.
struct Request {
    id: u16,
    method: String,
    act: Act,
}

impl ScriptedBackends {
    /// Answers the requests of a connection; it is to be closed when this returns.
    pub(super) fn serve_fastcgi(&self, stream: &TcpStream) -> io::Result<()> {
        let application = Application::new(bounds(self.multiplex));
        let writer = Arc::new(Mutex::new(stream.try_clone()?));
        let mut connection = Connection { backends: self, application, writer, unanswered: 0 };
        let mut input = vec![0; READ_BUFFER];
        let mut reader = stream;
        loop {
            let count = reader.read(&mut input).unwrap_or(0);
            if count == 0 {
                self.update_record(|record| record.dropped += connection.unanswered);
                return Ok(());
            }
            connection.receive(&input[..count])?;
        }
    }
}

/// Limits above what the tests reach, except the number of requests on a connection without multiplexing, which is 1.
fn bounds(multiplex: bool) -> Limits {
    Limits {
        max_connections: 100,
        max_requests: if multiplex { 200 } else { 1 },
        max_params_bytes: 64 << 10,
        max_params: 512,
        max_body_bytes: 1 << 20,
        max_incoming_bytes: 8 << 20,
        max_response_bytes: 64 << 20,
    }
}

impl Connection<'_> {
    fn receive(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut events = Vec::new();
        self.application.receive(bytes, &mut events).map_err(io::Error::other)?;
        self.write_output()?;
        for event in events {
            match event {
                Event::Request { id, params, .. } => self.on_request(id, &params)?,
                Event::Aborted(id) => {
                    self.backends.update_record(|record| record.dropped += 1);
                    self.unanswered = self.unanswered.saturating_sub(1);
                    self.application.end(id, [], 0);
                    self.write_output()?;
                }
                Event::Started(_) | Event::Rejected(..) => {}
            }
        }
        Ok(())
    }

    fn write_output(&mut self) -> io::Result<()> {
        let mut out = BytesMut::new();
        self.application.output(&mut out, usize::MAX);
        write_locked(&self.writer, &out)
    }

    fn on_request(&mut self, id: u16, params: &[Pair]) -> io::Result<()> {
        let param = |name: &str| {
            let found = params.iter().find(|(known, _)| known == name.as_bytes());
            found.map(|(_, value)| String::from_utf8_lossy(value).into_owned()).unwrap_or_default()
        };
        let (method, target) = (param("REQUEST_METHOD"), param("REQUEST_URI"));
        let act = self.backends.next_act(&method, &target, &param("HTTP_X_UNIT"));
        if act == Act::Silent {
            self.unanswered += 1;
            return Ok(());
        }
        // Ends the request in the state machine and discards that output; the scripted response is written to the stream directly.
        self.application.end(id, [], 0);
        self.application.output(&mut BytesMut::new(), usize::MAX);
        let request = Request { id, method, act };
        if self.backends.multiplex {
            let writer = self.writer.clone();
            thread::spawn(move || {
                if perform(&writer, request).is_err()
                    && let Ok(stream) = writer.lock()
                {
                    let _ = stream.shutdown(Shutdown::Both);
                }
            });
            return Ok(());
        }
        perform(&self.writer, request)
    }
}

fn write_locked(writer: &Mutex<TcpStream>, bytes: &[u8]) -> io::Result<()> {
    let mut stream =
        writer.lock().map_err(|_| io::Error::other("writer lock poisoned by a panicked thread"))?;
    stream.write_all(bytes)
}

/// Writes the scripted response; the caller closes the connection on an error.
fn perform(writer: &Mutex<TcpStream>, request: Request) -> io::Result<()> {
    let Request { id, method, act } = request;
    let closed = || Err(io::ErrorKind::ConnectionAborted.into());
    match act.after_delays() {
        Act::Answer(status, headers, body) => {
            let body = if method == "HEAD" { "" } else { body };
            let text = format!("Status: {status} X\r\n{headers}\r\n{body}");
            write_locked(writer, &complete_output(id, text.as_bytes()))
        }
        Act::Silent | Act::Close | Act::Later(..) => closed(),
        Act::CutBody => {
            write_locked(writer, &stdout(id, b"Content-Type: a\r\nContent-Length: 100\r\n\r\n0123456789"))?;
            closed()
        }
        Act::CutHead => {
            write_locked(writer, &stdout(id, b"Content-Type: a\r\nConte"))?;
            closed()
        }
        Act::Garbage => write_locked(writer, &complete_output(id, b"\x00\xff what is this\r\n\r\n")),
        Act::EndlessHead => write_endlessly(|part| write_locked(writer, &stdout(id, part))),
        Act::TooLong => {
            write_locked(writer, &stdout(id, b"Content-Type: a\r\nContent-Length: 3000000000\r\n\r\n"))?;
            write_endlessly(|part| write_locked(writer, &stdout(id, part)))
        }
        Act::ByBytes(body) => {
            let text = format!("Content-Type: a\r\n\r\n{body}");
            text.as_bytes().chunks(1).try_for_each(|part| write_locked(writer, &stdout(id, part)))?;
            write_locked(writer, &complete_output(id, b""))
        }
        Act::Paced(response) => write_paced(writer, id, response),
        Act::Raw(bytes) => {
            write_locked(writer, &bytes)?;
            closed()
        }
        Act::End(application, protocol) => write_locked(writer, &end_request(id, application, protocol)),
    }
}

/// Writes a response in bursts. Its framing decides whether a length is stated.
fn write_paced(writer: &Mutex<TcpStream>, id: u16, response: PacedResponse) -> io::Result<()> {
    let length = match response.framing {
        Framing::Length => format!("Content-Length: {}\r\n", response.size),
        Framing::Chunked | Framing::Close => String::new(),
    };
    write_locked(writer, &stdout(id, format!("Content-Type: a\r\n{length}\r\n").as_bytes()))?;
    for (index, burst) in response.body().chunks(response.burst).take(response.burst_count()).enumerate() {
        if index > 0 {
            thread::sleep(response.pause);
        }
        write_locked(writer, &stdout(id, burst))?;
    }
    thread::sleep(response.pause);
    if response.is_cut {
        return Err(io::ErrorKind::ConnectionAborted.into());
    }
    write_locked(writer, &complete_output(id, b""))
}

/// A piece of a request's output.
fn stdout(id: u16, text: &[u8]) -> BytesMut {
    let mut out = BytesMut::new();
    put_stream(&mut out, Kind::Stdout, id, text);
    out
}

/// The end of a request, with its application status and protocol status.
fn end_request(id: u16, application: u32, protocol: u8) -> BytesMut {
    let mut out = BytesMut::new();
    let protocol = match protocol {
        0 => ProtocolStatus::Complete,
        code => ProtocolStatus::Other(code),
    };
    put_record(&mut out, Kind::EndRequest, id, &End { application, protocol }.encode());
    out
}

/// All of a request's output and its end.
fn complete_output(id: u16, text: &[u8]) -> BytesMut {
    let mut out = stdout(id, text);
    put_stream_end(&mut out, Kind::Stdout, id);
    out.extend_from_slice(&end_request(id, 0, 0));
    out
}
