//! Records client requests to a file that `pumicehead-load replay` can replay. Each request is one JSON line, written as the
//! request arrives and before admission, so that requests that are rejected or match no route are included.

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

/// Maximum number of lines that wait to be written; further ones are dropped and counted. Enough for about 10 s at 5,000
/// requests per second; a few MiB.
const MAX_QUEUED_LINES: usize = 50_000;
/// Maximum length of a recorded target in bytes; requests with a longer one are dropped and counted.
const MAX_TARGET_BYTES: usize = 8 << 10;
/// Maximum length of the file in bytes, a few hours of a busy node: a forgotten recording must not fill the disk.
const MAX_FILE_BYTES: u64 = 4 << 30;
/// Interval at which buffered lines are flushed, and timeout for receiving a line. A line stays in the buffer for less than
/// two intervals.
const FLUSH_INTERVAL: Duration = Duration::from_secs(1);

/// One line of the file.
#[derive(Serialize)]
struct RecordedRequest<'a> {
    /// Seconds since the start of the recording.
    #[serde(rename = "at")]
    elapsed_s: f64,
    method: &'a str,
    #[serde(rename = "path")]
    target: &'a str,
    #[serde(rename = "body")]
    body_bytes: u64,
}

/// Records requests. Dropping the recorder writes the queued lines and logs the counts.
pub struct TrafficRecorder {
    started: Instant,
    /// `None` once the recorder is being dropped, which stops the writer thread.
    lines: Option<SyncSender<Vec<u8>>>,
    writer: Option<JoinHandle<io::Result<u64>>>,
    dropped: Cell<u64>,
}

impl TrafficRecorder {
    /// Creates the file and starts the writer thread.
    ///
    /// # Errors
    /// Fails if the file already exists or can't be created, or if the thread can't be started.
    pub fn start(path: &Path) -> io::Result<Self> {
        let file = File::create_new(path)?;
        let (lines, queue) = sync_channel(MAX_QUEUED_LINES);
        // A separate thread writes the file, as the event loop must not wait for a disk.
        let write = move || {
            let written = write_lines(file, &queue);
            if let Err(error) = &written {
                // Logged immediately, as the node may run for days before the recorder is dropped.
                warn!(target: "record", %error, "traffic recording failed");
            }
            written
        };
        let writer = thread::Builder::new().name("record".into()).spawn(write)?;
        Ok(Self { started: Instant::now(), lines: Some(lines), writer: Some(writer), dropped: Cell::new(0) })
    }

    /// Records a request. `body_bytes` is the length of its body, or 0 if that is not known yet.
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
            // The writer thread has already logged the error.
            Ok(Err(_)) => {}
            Err(_) => warn!(target: "record", "traffic recording failed: its thread panicked"),
        }
    }
}

/// Writes lines until the recorder is dropped or the file is full. Returns the number of lines written.
fn write_lines(file: File, queue: &Receiver<Vec<u8>>) -> io::Result<u64> {
    let mut out = BufWriter::new(file);
    let (mut bytes, mut written) = (0, 0);
    let mut flushed_at = std::time::Instant::now();
    loop {
        // Flushed by the clock rather than on a receive timeout: with a line every half second, there would never be a
        // timeout.
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
