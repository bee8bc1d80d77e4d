//! The log: lines of text or JSON on standard error. A slow reader never blocks the event loop.
//!
//! Lines that the reader does not accept in time are dropped and counted. Messages of the same kind are rate limited: the
//! first few of an interval are logged, and after it the number of suppressed ones. On the platform the event loop writes
//! the lines ([`start_on_event_loop`]); in a standalone node a separate thread does ([`start_with_thread`]).

mod filter;
mod format;
mod loop_sink;
mod output;
mod panic;
mod sink;

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use pumicehead_flight_recorder::log_rate_limit::{LogRateLimiter, MAX_KINDS, SuppressedMessages};
use tracing::{Event, Level, Subscriber};
use tracing_subscriber::filter::Targets;
use tracing_subscriber::layer::{Context, SubscriberExt};
use tracing_subscriber::{Layer, Registry, reload};

pub use filter::FilterError;
use filter::{DEFAULT_FILTER, parse_filter};
pub use format::LogFormat;
use format::{Fields, line, plain_line};
use loop_sink::LoopSink;
use output::Descriptor;
use sink::{Sink, ThreadSink};

/// How long process exit, or a panic, waits for the reader of the log: a small part of the 0.7 s that the platform allows
/// between the last response and SIGKILL.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// Number of characters of the first message of a kind that serve as the name of the kind.
const MAX_KIND_NAME_CHARS: usize = 60;

struct RateLimitState {
    limiter: LogRateLimiter,
    /// Prefix of the first message of each kind, for the line that reports the suppressed count.
    names: BTreeMap<u64, String>,
}

struct Shared {
    format: Mutex<LogFormat>,
    rate_limit: Mutex<RateLimitState>,
    started: Instant,
    sink: Arc<dyn Sink>,
}

/// Handle to the log of this process.
#[derive(Clone)]
pub struct Log {
    shared: Arc<Shared>,
    replace_filter: Arc<dyn Fn(Targets) + Send + Sync>,
}

/// Flushes the log when dropped, within [`FLUSH_TIMEOUT`] if the sink supports a time limit.
pub struct FlushOnDrop(Arc<dyn Sink>);

impl Drop for FlushOnDrop {
    fn drop(&mut self) {
        self.0.flush(FLUSH_TIMEOUT);
    }
}

/// Event loop task that writes the lines that could not be written when they were logged.
pub struct LoopWriter(Arc<LoopSink>);

impl LoopWriter {
    /// Runs until the event loop stops. Wakes up only while lines are queued.
    pub async fn run(self) {
        self.0.write_queued().await;
    }
}

/// Starts a log that is written by a separate thread. Only the first log started in a process receives events.
pub fn start_with_thread() -> (Log, FlushOnDrop) {
    start_with_sink(Arc::new(ThreadSink::new(io::stderr())))
}

/// Starts a log without a separate thread: the logging thread writes, and [`LoopWriter`] writes lines that were queued.
/// Panic messages are written to this log as well.
pub fn start_on_event_loop() -> (Log, FlushOnDrop, LoopWriter) {
    let sink = LoopSink::new(Descriptor(io::stderr()));
    panic::set_hook(sink.clone(), FLUSH_TIMEOUT);
    let (log, flush) = start_with_sink(sink.clone());
    (log, flush, LoopWriter(sink))
}

fn start_with_sink(sink: Arc<dyn Sink>) -> (Log, FlushOnDrop) {
    let rate_limit = RateLimitState { limiter: LogRateLimiter::default(), names: BTreeMap::new() };
    let shared = Arc::new(Shared {
        format: Mutex::new(LogFormat::Text),
        rate_limit: Mutex::new(rate_limit),
        started: Instant::now(),
        sink: sink.clone(),
    });
    let (targets, handle) = reload::Layer::new(parse_filter(DEFAULT_FILTER).unwrap_or_default());
    let subscriber = Registry::default().with(LineLayer(shared.clone()).with_filter(targets));
    // Fails if the process already has a global subscriber, which then continues to receive the events.
    let _ = tracing::subscriber::set_global_default(subscriber);
    let replace_filter = move |targets| {
        // Fails only once the subscriber has been dropped, at process exit.
        let _ = handle.reload(targets);
    };
    (Log { shared, replace_filter: Arc::new(replace_filter) }, FlushOnDrop(sink))
}

impl Log {
    /// Replaces the filter.
    ///
    /// # Errors
    /// Returns [`FilterError`] if the text is not a valid filter; the current filter then stays in force.
    pub fn set_filter(&self, text: &str) -> Result<(), FilterError> {
        (self.replace_filter)(parse_filter(text)?);
        Ok(())
    }

    pub fn set_format(&self, format: LogFormat) {
        *self.shared.format.lock().unwrap_or_else(PoisonError::into_inner) = format;
    }

    /// Logs the suppressed counts of rate limit intervals that have ended. Must be called about once a second.
    pub fn report_suppressed(&self) {
        let now = self.shared.now();
        let ended = {
            let mut state = self.shared.rate_limit();
            let ended = state.limiter.drain_expired(now);
            let with_name =
                |suppressed: SuppressedMessages| (state.names.get(&suppressed.kind).cloned(), suppressed);
            ended.into_iter().map(with_name).collect::<Vec<_>>()
        };
        for (name, suppressed) in ended {
            self.shared.write_suppressed(name.as_deref(), suppressed);
        }
    }

    /// Writes a line of plain text that bypasses the filter, for the error with which a process exits.
    pub fn write_plain(&self, text: &str) {
        self.shared.sink.write(&plain_line(text));
    }

    /// Returns the number of lines dropped so far because they could not be written.
    pub fn dropped(&self) -> usize {
        self.shared.sink.dropped()
    }
}

impl Shared {
    /// Nanoseconds since the log was started.
    fn now(&self) -> u64 {
        self.started.elapsed().as_nanos() as u64
    }

    fn rate_limit(&self) -> MutexGuard<'_, RateLimitState> {
        self.rate_limit.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn write_suppressed(
        &self,
        name: Option<&str>,
        SuppressedMessages { count, interval, .. }: SuppressedMessages,
    ) {
        let name = name.unwrap_or("messages");
        let message =
            format!("{name}: {count} similar messages suppressed in {:.0} s", interval as f64 / 1e9);
        self.write(Level::INFO, "log", &Fields::with_message(message));
    }

    fn write(&self, level: Level, target: &str, fields: &Fields) {
        let format = *self.format.lock().unwrap_or_else(PoisonError::into_inner);
        self.sink.write(&line(format, unix_ms(), level, target, fields));
    }
}

/// Current Unix time in milliseconds.
fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Subscriber layer that writes a line for each event that its rate limit admits.
struct LineLayer(Arc<Shared>);

/// Whether an event is logged, and how many messages of its kind were suppressed in the previous interval.
struct RateLimitDecision {
    is_logged: bool,
    suppressed: Option<(Option<String>, SuppressedMessages)>,
}

impl LineLayer {
    /// Applies the rate limit to an event. If the event is to be logged, its fields are written to `fields`.
    fn apply_rate_limit(&self, event: &Event<'_>, fields: &mut Fields) -> RateLimitDecision {
        let metadata = event.metadata();
        // Events from the same source line are of the same kind.
        let source =
            format!("{}:{}", metadata.file().unwrap_or_default(), metadata.line().unwrap_or_default());
        let kind = pumicehead_flight_recorder::bounded_text::hash(&source);
        let now = self.0.now();
        let mut state = self.0.rate_limit();
        let (is_logged, suppressed) = state.limiter.check(kind, now);
        if is_logged {
            event.record(fields);
            if state.names.len() < MAX_KINDS {
                let name = || fields.message.chars().take(MAX_KIND_NAME_CHARS).collect();
                state.names.entry(kind).or_insert_with(name);
            }
        }
        let suppressed = suppressed.map(|suppressed| (state.names.get(&kind).cloned(), suppressed));
        RateLimitDecision { is_logged, suppressed }
    }
}

impl<S: Subscriber> Layer<S> for LineLayer {
    fn on_event(&self, event: &Event<'_>, _: Context<'_, S>) {
        let mut fields = Fields::default();
        let decision = self.apply_rate_limit(event, &mut fields);
        if let Some((name, suppressed)) = decision.suppressed {
            self.0.write_suppressed(name.as_deref(), suppressed);
        }
        if decision.is_logged {
            let metadata = event.metadata();
            self.0.write(*metadata.level(), metadata.target(), &fields);
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/log.rs"]
mod tests;
