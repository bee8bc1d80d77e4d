//! The task that drives a connection to a FastCGI endpoint.

use std::cell::Cell;
use std::collections::{HashMap, VecDeque};
use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use pumicehead_fastcgi::client::{Client, Event, RequestId, Values};
use pumicehead_fastcgi::record::End;
use pumicehead_policy::AttemptOutcome;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::{mpsc, oneshot};
use tokio::task::yield_now;
use tokio::time::{Instant, sleep_until, timeout};
use tracing::warn;

use super::connection::{ConnectionCommand, FastCgiConnection, FastCgiRequest};
use super::pending_request::PendingRequest;
use crate::net::counting_stream::{CountingStream, UnreadState};
use crate::net::upstream::connection_registry::ConnectionPermit;
use crate::net::upstream::transport::AttemptResult;

/// Size of the read buffer, in bytes.
const READ_BYTES: usize = 16 << 10;
/// Maximum number of reads of what has arrived when a response is committed.
const MAX_ARRIVED_READS: usize = 8;
/// Initial buffer capacity for the records of a request in addition to its body, in bytes.
const REQUEST_RECORDS_BYTES: usize = 1_024;
/// Maximum time to wait for the end of an aborted request, after which its connection accepts no more requests.
const ABORT_TIMEOUT: Duration = Duration::from_secs(5);
/// Minimum time between two log lines about an endpoint's standard error.
const STDERR_LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of bytes of standard error in such a line.
const MAX_STDERR_LOG_BYTES: usize = 200;

/// State shared by the drivers of an endpoint's connections.
#[derive(Clone)]
pub(super) struct DriverContext {
    /// Whether a connection may carry several requests at once.
    pub multiplexes: Rc<Cell<bool>>,
    /// The endpoint's address, for the log.
    pub endpoint: Rc<str>,
    /// When the endpoint's standard error was last logged.
    pub last_stderr_log: Rc<Cell<Option<Instant>>>,
}

/// The task of a connection.
pub(super) struct ConnectionDriver {
    /// A clone of the writer's socket.
    reader: CountingStream,
    writer: CountingStream,
    connection: Rc<FastCgiConnection>,
    commands: mpsc::UnboundedReceiver<ConnectionCommand>,
    client: Client,
    output: VecDeque<Bytes>,
    /// Number of bytes put into the output since the start.
    bytes_queued: u64,
    /// Number of these bytes that were written.
    bytes_written: u64,
    pending: HashMap<RequestId, PendingRequest>,
    /// Aborted requests that the application has not ended yet, with the time of the abort.
    aborted: HashMap<RequestId, Instant>,
    values: Option<oneshot::Sender<Values>>,
    context: DriverContext,
    _permit: ConnectionPermit,
}

impl ConnectionDriver {
    /// Returns the driver of an established connection. If `values` is given, the endpoint's values are requested
    /// first.
    pub fn new(
        stream: CountingStream,
        context: DriverContext,
        permit: ConnectionPermit,
        values: Option<oneshot::Sender<Values>>,
    ) -> (Self, Rc<FastCgiConnection>) {
        let (sender, commands) = mpsc::unbounded_channel();
        let connection = FastCgiConnection::new(stream.clone(), sender);
        let driver = Self {
            reader: stream.clone(),
            writer: stream,
            connection: connection.clone(),
            commands,
            client: Client::default(),
            output: VecDeque::new(),
            bytes_queued: 0,
            bytes_written: 0,
            pending: HashMap::new(),
            aborted: HashMap::new(),
            values,
            context,
            _permit: permit,
        };
        (driver, connection)
    }

    /// Runs until the connection ends or is no longer needed.
    pub async fn run(mut self) {
        self.request_values();
        let connection = self.connection.clone();
        let mut input = vec![0; READ_BYTES];
        while !self.is_done() {
            // Some applications never end an aborted request.
            let abort_due = self.aborted.values().min().map(|since| *since + ABORT_TIMEOUT);
            let unused = Instant::now() + ABORT_TIMEOUT;
            let stays_open = tokio::select! {
                command = self.commands.recv() => self.on_command(command).await,
                read = self.reader.read(&mut input) => match read {
                    Ok(count) if count > 0 => self.on_input(&input[..count]),
                    _ => false,
                },
                written = write(&mut self.writer, self.output.front()), if !self.output.is_empty() => {
                    self.on_written(written)
                }
                () = connection.close.notified() => true,
                () = sleep_until(abort_due.unwrap_or(unused)), if abort_due.is_some() => {
                    connection.closed.set(true);
                    self.aborted.clear();
                    true
                }
            };
            if !stays_open {
                break;
            }
        }
        self.close();
    }

    fn is_done(&self) -> bool {
        self.connection.closed.get() && self.pending.is_empty() && self.commands.is_empty()
    }

    fn request_values(&mut self) {
        if self.values.is_some() {
            let mut output = BytesMut::new();
            self.client.get_values(&mut output);
            self.queue(output);
        }
    }

    fn queue(&mut self, output: BytesMut) {
        self.bytes_queued += output.len() as u64;
        self.output.push_back(output.freeze());
    }

    /// Executes a command; returns whether the connection stays open.
    async fn on_command(&mut self, command: Option<ConnectionCommand>) -> bool {
        match command {
            Some(ConnectionCommand::Send(number, request)) => {
                // If a request is written after the endpoint has closed the connection, it can't be ruled out that it
                // was executed.
                if self.pending.is_empty() && self.reader.unread() == UnreadState::Closed {
                    return false;
                }
                self.send(number, request);
                true
            }
            Some(ConnectionCommand::Abort(number)) => self.abort(number).await,
            Some(ConnectionCommand::Commit(number, reply)) => {
                let stays_open = self.read_arrived().await;
                let mut pending = self.pending.values_mut();
                let found = pending.find(|pending| pending.number == number);
                let _ = reply.send(found.and_then(PendingRequest::commit));
                stays_open
            }
            None => false,
        }
    }

    fn send(&mut self, number: u64, request: FastCgiRequest) {
        if request.result.is_closed() {
            return self.connection.end_request();
        }
        let mut output = BytesMut::with_capacity(request.body.len() + REQUEST_RECORDS_BYTES);
        let Some(id) = self.client.begin(&mut output, true) else {
            let _ = request.result.send(AttemptResult::without_response(AttemptOutcome::Rejected));
            return self.connection.end_request();
        };
        let params = request.params.iter().map(|param| (&param.name[..], &param.value[..]));
        self.client.params(&mut output, id, params);
        self.client.stdin(&mut output, id, &request.body);
        self.client.stdin_end(&mut output, id);
        request.is_written.set(true);
        self.queue(output);
        self.pending.insert(id, PendingRequest::new(number, request, self.bytes_queued));
    }

    /// Aborts a request that is no longer awaited; returns whether the connection stays open. A connection that
    /// carries one request at a time is closed.
    async fn abort(&mut self, number: u64) -> bool {
        let found = self.pending.iter().find(|(_, pending)| pending.number == number);
        let Some(id) = found.map(|(id, _)| *id) else { return true };
        self.pending.remove(&id);
        self.connection.end_request();
        let mut output = BytesMut::new();
        self.client.abort(&mut output, id);
        self.queue(output);
        self.aborted.insert(id, Instant::now());
        if self.context.multiplexes.get() && !self.connection.closed.get() {
            return true;
        }
        // Writes as much as the kernel accepts immediately, so that the application sees the abort before the
        // connection is closed.
        if let Some(front) = self.output.front()
            && let Ok(Ok(count)) = timeout(Duration::ZERO, self.writer.write(front)).await
        {
            self.advance(count);
        }
        !self.pending.is_empty()
    }

    /// Reads what has arrived, which a process that was held up has not read in time; returns whether the connection stays
    /// open.
    async fn read_arrived(&mut self) -> bool {
        let mut input = vec![0; READ_BYTES];
        for _ in 0..MAX_ARRIVED_READS {
            if self.reader.unread() != UnreadState::Data {
                break;
            }
            // The event loop learns of the data.
            yield_now().await;
            match timeout(Duration::ZERO, self.reader.read(&mut input)).await {
                Ok(Ok(count)) if count > 0 => {
                    if !self.on_input(&input[..count]) {
                        return false;
                    }
                }
                Ok(_) => return false,
                Err(_) => {}
            }
        }
        true
    }

    /// Handles the result of a write; returns whether the connection stays open.
    fn on_written(&mut self, written: io::Result<usize>) -> bool {
        match written {
            Ok(count) if count > 0 => {
                self.advance(count);
                true
            }
            _ => false,
        }
    }

    /// Removes written bytes from the output.
    fn advance(&mut self, count: usize) {
        self.bytes_written += count as u64;
        if let Some(front) = self.output.front_mut() {
            front.advance(count);
            if front.is_empty() {
                self.output.pop_front();
            }
        }
    }

    /// Handles bytes from the endpoint; returns whether the connection stays open.
    fn on_input(&mut self, input: &[u8]) -> bool {
        let mut events = Vec::new();
        let result = self.client.receive(input, &mut events);
        for event in events {
            match event {
                Event::Values(values) => {
                    if let Some(sender) = self.values.take() {
                        let _ = sender.send(values);
                    }
                }
                Event::Stdout(id, part) => {
                    if let Some(pending) = self.pending.get_mut(&id) {
                        pending.on_output(&part);
                    }
                }
                Event::StdoutEnd(_) => {}
                Event::Stderr(_, text) => self.log_stderr(&text),
                Event::Ended(id, end) => self.on_request_ended(id, end),
            }
        }
        if let Err(error) = &result {
            warn!(target: "fastcgi", endpoint = %self.context.endpoint, %error, "protocol error");
        }
        result.is_ok()
    }

    fn on_request_ended(&mut self, id: RequestId, end: End) {
        self.aborted.remove(&id);
        if let Some(pending) = self.pending.remove(&id) {
            // This happens before the result is sent, so that the next attempt finds the connection free.
            self.connection.end_request();
            pending.finish(end);
        }
    }

    /// Logs a part of the application's standard error, at a limited rate.
    fn log_stderr(&self, text: &[u8]) {
        let now = Instant::now();
        let last = &self.context.last_stderr_log;
        if last.get().is_some_and(|last| now < last + STDERR_LOG_INTERVAL) {
            return;
        }
        last.set(Some(now));
        let shown = String::from_utf8_lossy(&text[..text.len().min(MAX_STDERR_LOG_BYTES)]);
        let shown = shown.trim_end().escape_debug();
        warn!(target: "fastcgi", endpoint = %self.context.endpoint, "stderr: {shown}");
    }

    /// Fails all requests on the connection, which has ended.
    fn close(mut self) {
        self.connection.closed.set(true);
        self.connection.stream.take();
        for (_, pending) in std::mem::take(&mut self.pending) {
            self.connection.end_request();
            pending.fail(self.bytes_written);
        }
    }
}

async fn write(stream: &mut CountingStream, bytes: Option<&Bytes>) -> io::Result<usize> {
    stream.write(bytes.map_or(&[], |bytes| &bytes[..])).await
}
