//! Records client requests to a file that `pumicehead-load replay` plays: one JSON line for each request as it arrived,
//! before admission, so that rejected and unknown ones are included.

use std::cell::Cell;
use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::Path;
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use serde::Serialize;
use tokio::time::Instant;
use tracing::{info, warn};

/// Lines that wait for the disk; more are dropped and counted. Some 10 s at 5,000 requests a second, and a few MiB.
const MAX_QUEUED_LINES: usize = 50_000;
/// Longest recorded target in bytes; requests with a longer one are dropped and counted.
const MAX_TARGET_BYTES: usize = 8 << 10;
/// Longest file in bytes, some hours of a busy node: a forgotten recording must not fill a disk.
const MAX_FILE_BYTES: u64 = 4 << 30;
/// Longest time that a written line stays in the buffer.
const FLUSH_INTERVAL: Duration = Duration::from_secs(1);

/// A line of the file.
#[derive(Serialize)]
struct RecordedRequest<'a> {
    /// Seconds since the recording began.
    #[serde(rename = "at")]
    elapsed_s: f64,
    method: &'a str,
    #[serde(rename = "path")]
    target: &'a str,
    #[serde(rename = "body")]
    body_bytes: u64,
}

/// Records requests. Dropping it writes the queued lines and logs the counts.
pub struct TrafficRecorder {
    started: Instant,
    /// `None` once the recorder is dropped, which ends the writer.
    lines: Option<SyncSender<Vec<u8>>>,
    writer: Option<JoinHandle<io::Result<u64>>>,
    dropped: Cell<u64>,
}

impl TrafficRecorder {
    /// Starts a new file.
    ///
    /// # Errors
    /// A file that exists already or can't be created, or a thread that can't be started.
    pub fn start(path: &Path) -> io::Result<Self> {
        let file = File::create_new(path)?;
        let (lines, queue) = sync_channel(MAX_QUEUED_LINES);
        // A thread of its own: the event loop must not wait for a disk.
        let write = move || {
            let written = write_lines(file, &queue);
            if let Err(error) = &written {
                // Logged at once: the node's end may be days away.
                warn!(target: "record", %error, "traffic recording failed");
            }
            written
        };
        let writer = thread::Builder::new().name("record".into()).spawn(write)?;
        Ok(Self { started: Instant::now(), lines: Some(lines), writer: Some(writer), dropped: Cell::new(0) })
    }

    /// Records a request with a body of so many bytes; 0 where the length is not known yet.
    pub fn record(&self, method: &str, target: &str, body_bytes: u64) {
        let elapsed_s = self.started.elapsed().as_secs_f64();
        let request = RecordedRequest { elapsed_s, method, target, body_bytes };
        let can_be_replayed = target.len() <= MAX_TARGET_BYTES && target.starts_with('/');
        let line = can_be_replayed.then(|| serde_json::to_vec(&request).ok()).flatten();
        let queued = line.zip(self.lines.as_ref()).is_some_and(|(mut line, lines)| {
            line.push(b'\n');
            lines.try_send(line).is_ok()
        });
        if !queued {
            self.dropped.set(self.dropped.get() + 1);
        }
    }
}

impl Drop for TrafficRecorder {
    fn drop(&mut self) {
        self.lines = None;
        let Some(writer) = self.writer.take() else { return };
        match writer.join() {
            Ok(Ok(requests)) => {
                info!(target: "record", requests, dropped = self.dropped.get(), "traffic recording ended");
            }
            // The writer has logged the error.
            Ok(Err(_)) => {}
            Err(_) => warn!(target: "record", "traffic recording failed: its thread panicked"),
        }
    }
}

/// Writes lines until the recorder is dropped or the file is full; returns how many.
fn write_lines(file: File, queue: &Receiver<Vec<u8>>) -> io::Result<u64> {
    let mut out = BufWriter::new(file);
    let (mut bytes, mut written) = (0, 0);
    let mut flushed_at = std::time::Instant::now();
    loop {
        // By the clock and not in a pause: with a line every half second there would never be one.
        if flushed_at.elapsed() >= FLUSH_INTERVAL {
            out.flush()?;
            flushed_at = std::time::Instant::now();
        }
        match queue.recv_timeout(FLUSH_INTERVAL) {
            Ok(line) if bytes + line.len() as u64 > MAX_FILE_BYTES => {
                warn!(target: "record", bytes, "traffic recording ended: the file is full");
                break;
            }
            Ok(line) => {
                out.write_all(&line)?;
                bytes += line.len() as u64;
                written += 1;
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => break,
        }
    }
    out.flush()?;
    Ok(written)
}

#[cfg(test)]
#[path = "../../tests/unit/traffic_recorder.rs"]
mod tests;
