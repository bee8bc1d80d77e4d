//! Writes down what is asked, in the form that `pumicehead-load replay` plays: one JSON line for each request, as it
//! came and before anything is decided about it, so that refused and unknown ones are there too.

use std::cell::Cell;
use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::Path;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use serde::Serialize;
use tokio::time::Instant;
use tracing::{info, warn};

/// Lines that wait for the disk. More are left out and counted: a slow disk must not keep requests waiting. Some
/// 10 s at 5,000 requests a second, and a few MiB.
const MOST_WAITING: usize = 50_000;
/// Longest target that is written; longer ones are left out and counted.
const LONGEST_TARGET: usize = 8 << 10;
/// A file ends at so many bytes, some hours of a busy node: a forgotten recording must not fill a disk.
const MOST_BYTES: u64 = 4 << 30;
/// What was written is on its way to the disk this long after a line at the latest.
const FLUSH: Duration = Duration::from_secs(1);

/// A line.
#[derive(Serialize)]
struct Line<'a> {
    /// Seconds since the recording began.
    at: f64,
    method: &'a str,
    path: &'a str,
    body: u64,
}

/// A recording. Dropped, it writes what it has and says what it left out.
pub struct Recorder {
    since: Instant,
    lines: Option<SyncSender<Vec<u8>>>,
    writer: Option<JoinHandle<io::Result<u64>>>,
    left_out: Cell<u64>,
}

impl Recorder {
    /// Begins a new file.
    ///
    /// # Errors
    /// A file that is there already, or can't be made.
    pub fn start(path: &Path) -> io::Result<Self> {
        let file = File::create_new(path)?;
        let (lines, waiting) = sync_channel(MOST_WAITING);
        // A thread of its own: the one that serves never waits for a disk.
        let write = move || {
            let done = write(file, &waiting);
            if let Err(error) = &done {
                // Now, not at the node's end: until then nobody would look.
                warn!(target: "record", "the recording broke off: {error}");
            }
            done
        };
        let writer = thread::Builder::new().name("record".into()).spawn(write)?;
        Ok(Self { since: Instant::now(), lines: Some(lines), writer: Some(writer), left_out: Cell::new(0) })
    }

    /// A request has come, with a body of so many bytes, 0 where that is not known yet.
    pub fn note(&self, method: &str, target: &str, body: u64) {
        let line = Line { at: self.since.elapsed().as_secs_f64(), method, path: target, body };
        let text = (target.len() <= LONGEST_TARGET && target.starts_with('/'))
            .then(|| serde_json::to_vec(&line).ok())
            .flatten();
        let sent = text.zip(self.lines.as_ref()).is_some_and(|(mut text, lines)| {
            text.push(b'\n');
            lines.try_send(text).is_ok()
        });
        if !sent {
            self.left_out.set(self.left_out.get() + 1);
        }
    }
}

impl Drop for Recorder {
    fn drop(&mut self) {
        self.lines = None;
        let Some(writer) = self.writer.take() else { return };
        let left_out = self.left_out.get();
        match writer.join() {
            Ok(Ok(written)) => info!(target: "record", "recorded {written} requests, left out {left_out}"),
            // Said when it happened.
            Ok(Err(_)) => {}
            Err(_) => warn!(target: "record", "the recording broke off"),
        }
    }
}

/// Until the recorder is gone or the file is full; the lines that are in it.
fn write(file: File, lines: &Receiver<Vec<u8>>) -> io::Result<u64> {
    use std::sync::mpsc::RecvTimeoutError;
    let (mut out, mut bytes, mut written) = (BufWriter::new(file), 0, 0);
    let mut flushed = std::time::Instant::now();
    loop {
        // By the clock, not by a pause in what comes: a line every half second would else wait for a full buffer.
        if flushed.elapsed() >= FLUSH {
            out.flush()?;
            flushed = std::time::Instant::now();
        }
        match lines.recv_timeout(FLUSH) {
            Ok(line) if bytes + line.len() as u64 > MOST_BYTES => {
                warn!(target: "record", "the recording is full at {bytes} bytes and ends");
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
mod tests {
    use std::{env, fs, process};

    use super::*;

    #[test]
    fn a_recording_has_all_that_came_and_overwrites_nothing() {
        let path = env::temp_dir().join(format!("record-{}.jsonl", process::id()));
        let recorder = Recorder::start(&path).unwrap();
        recorder.note("GET", "/a\"b?c=d", 0);
        recorder.note("POST", "/runs", 120);
        recorder.note("OPTIONS", "*", 0);
        recorder.note("GET", &format!("/{}", "x".repeat(LONGEST_TARGET)), 0);
        assert_eq!(recorder.left_out.get(), 2);
        assert!(Recorder::start(&path).is_err(), "a recording took another's file");
        drop(recorder);
        let text = fs::read_to_string(&path).unwrap();
        let lines: Vec<serde_json::Value> =
            text.lines().map(|line| serde_json::from_str(line).unwrap()).collect();
        assert_eq!(lines.len(), 2);
        assert_eq!((&lines[0]["path"], &lines[0]["body"]), (&"/a\"b?c=d".into(), &0.into()));
        assert_eq!((&lines[1]["method"], &lines[1]["body"]), (&"POST".into(), &120.into()));
        assert!(lines[0]["at"].as_f64().unwrap() <= lines[1]["at"].as_f64().unwrap());
        fs::remove_file(path).unwrap();
    }

    #[test]
    fn a_disk_that_stands_still_keeps_nobody_waiting() {
        let (lines, waiting) = sync_channel(1);
        let recorder =
            Recorder { since: Instant::now(), lines: Some(lines), writer: None, left_out: Cell::new(0) };
        for _ in 0..5 {
            recorder.note("GET", "/", 0);
        }
        assert_eq!((recorder.left_out.get(), waiting.try_iter().count()), (4, 1));
    }
}
