//! Panic hook of a process whose log is written by a [`LoopSink`].
//!
//! The default hook writes to standard error and blocks; if the reader has stopped, the process would never exit. This hook
//! queues the message behind other lines and flushes the queue within a time limit.

use std::backtrace::{Backtrace, BacktraceStatus};
use std::panic::{self, PanicHookInfo};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use tracing::Level;

use super::format::{Fields, LogFormat, line, plain_line};
use super::loop_sink::LoopSink;
use super::unix_ms;

/// Replaces the panic hook with one that writes to `sink` and flushes it for at most `timeout`.
pub fn set_hook(sink: Arc<LoopSink>, timeout: Duration) {
    panic::set_hook(Box::new(move |panic| sink.write_and_flush(&panic_lines(panic), timeout)));
}

/// Formats the message of the default hook as log lines, with a backtrace if the environment enables it.
fn panic_lines(panic: &PanicHookInfo<'_>) -> Vec<String> {
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
