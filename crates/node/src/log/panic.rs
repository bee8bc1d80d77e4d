//! The panic hook of a process whose log is a [`LoopSink`].
//!
//! The usual hook writes to standard error however long that takes; where the reader has stopped the process would never
//! end. This one has the message follow the lines that wait, within a bound of time.

use std::backtrace::{Backtrace, BacktraceStatus};
use std::panic::{self, PanicHookInfo};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use tracing::Level;

use super::format::{Fields, LogFormat, line, plain_line};
use super::loop_sink::LoopSink;
use super::unix_ms;

/// Replaces the hook: a panic is written to `sink`, which is flushed for `limit` at the most.
pub fn set_hook(sink: Arc<LoopSink>, limit: Duration) {
    panic::set_hook(Box::new(move |panic| sink.write_and_flush(&lines(panic), limit)));
}

/// What the usual hook says, as lines of the log; the backtrace too where the environment asks for one.
fn lines(panic: &PanicHookInfo<'_>) -> Vec<String> {
    let thread = thread::current();
    let message = format!("thread '{}' {panic}", thread.name().unwrap_or("<unnamed>"));
    let message = plain_line(&message).trim_end().to_owned();
    let mut lines =
        vec![line(LogFormat::Text, unix_ms(), Level::ERROR, "panic", &Fields::with_message(message))];
    let backtrace = Backtrace::capture();
    if backtrace.status() == BacktraceStatus::Captured {
        lines.extend(backtrace.to_string().lines().map(plain_line));
    }
    lines
}
