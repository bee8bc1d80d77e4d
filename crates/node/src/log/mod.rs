//! The log: lines to standard error, as text or JSON, that never block the event loop on a slow reader.
//!
//! Lines that the reader does not take are dropped and counted. Messages of one kind are rate limited: the first few of an
//! interval are logged, and then how many were suppressed. On the platform the event loop writes the lines
//! ([`start_on_event_loop`]), and in a standalone node a thread ([`start_with_thread`]).

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

/// How long the end of the process, or a panic, waits for the reader of the log: a small part of the 0.7 s that the platform
/// leaves between the last answer and SIGKILL.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// Characters of its first message that name a kind of message.
const MAX_KIND_NAME_CHARS: usize = 60;

struct RateLimitState {
    quota: LogRateLimiter,
    /// Start of the first message of each kind, for the line with the suppressed count.
    names: BTreeMap<u64, String>,
}

struct Shared {
    form: Mutex<LogFormat>,
    rate_limit: Mutex<RateLimitState>,
    started: Instant,
    sink: Arc<dyn Sink>,
}

/// The log of this process.
#[derive(Clone)]
pub struct Log {
    shared: Arc<Shared>,
    replace_filter: Arc<dyn Fn(Targets) + Send + Sync>,
}

/// Flushes the log when it is dropped, within [`FLUSH_TIMEOUT`].
pub struct FlushOnDrop(Arc<dyn Sink>);

impl Drop for FlushOnDrop {
    fn drop(&mut self) {
        self.0.flush(FLUSH_TIMEOUT);
    }
}

/// Writes, on the event loop, the lines that could not be written at the time of their event.
pub struct LoopWriter(Arc<LoopSink>);

impl LoopWriter {
    /// Runs for as long as the event loop does. It wakes only while lines are queued.
    pub async fn run(self) {
        self.0.write_queued().await;
    }
}

/// Starts a log that a thread of its own writes. Only the first log of a process gets its events.
pub fn start_with_thread() -> (Log, FlushOnDrop) {
    start_with_sink(Arc::new(ThreadSink::new(io::stderr())))
}

/// Starts a log without a thread: the thread that logs writes, and [`LoopWriter`] what is queued. Panics go there as well.
pub fn start_on_event_loop() -> (Log, FlushOnDrop, LoopWriter) {
    let sink = LoopSink::new(Descriptor(io::stderr()));
    panic::set_hook(sink.clone(), FLUSH_TIMEOUT);
    let (log, flush) = start_with_sink(sink.clone());
    (log, flush, LoopWriter(sink))
}

fn start_with_sink(sink: Arc<dyn Sink>) -> (Log, FlushOnDrop) {
    let rate_limit = RateLimitState { quota: LogRateLimiter::default(), names: BTreeMap::new() };
    let shared = Arc::new(Shared {
        form: Mutex::new(LogFormat::Text),
        rate_limit: Mutex::new(rate_limit),
        started: Instant::now(),
        sink: sink.clone(),
    });
    let (targets, handle) = reload::Layer::new(parse_filter(DEFAULT_FILTER).unwrap_or_default());
    let subscriber = Registry::default().with(LineLayer(shared.clone()).with_filter(targets));
    // It fails where the process has a subscriber already, which then keeps the events.
    let _ = tracing::subscriber::set_global_default(subscriber);
    let set = move |targets| {
        // It fails only once the subscriber is dropped, at the end of the process.
        let _ = handle.reload(targets);
    };
    (Log { shared, replace_filter: Arc::new(set) }, FlushOnDrop(sink))
}

impl Log {
    /// Replaces the filter.
    ///
    /// # Errors
    /// [`FilterError`]; the old filter stays in force.
    pub fn set_filter(&self, text: &str) -> Result<(), FilterError> {
        (self.replace_filter)(parse_filter(text)?);
        Ok(())
    }

    /// Replaces the format.
    pub fn set_format(&self, form: LogFormat) {
        *self.shared.form.lock().unwrap_or_else(PoisonError::into_inner) = form;
    }

    /// Logs the suppressed counts of intervals that have ended; must be called about once a second.
    pub fn report_suppressed(&self) {
        let now = self.shared.now();
        let ended = {
            let mut state = self.shared.rate_limit();
            let ended = state.quota.drain_expired(now);
            ended.into_iter().map(|more| (state.names.get(&more.kind).cloned(), more)).collect::<Vec<_>>()
        };
        for (name, more) in ended {
            self.shared.write_suppressed(name.as_deref(), more);
        }
    }

    /// Writes a line of plain text past the filter: the error that a process ends with.
    pub fn write_plain(&self, text: &str) {
        self.shared.sink.write(&plain_line(text));
    }

    /// Lines dropped so far, for lack of a reader.
    pub fn dropped(&self) -> usize {
        self.shared.sink.dropped()
    }
}

impl Shared {
    /// Time since the start of the log, in nanoseconds.
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
        let message = format!("{name}: and {count} more like it in {:.0} s", interval as f64 / 1e9);
        self.write(Level::INFO, "log", &Fields::with_message(message));
    }

    fn write(&self, level: Level, target: &str, fields: &Fields) {
        let form = *self.form.lock().unwrap_or_else(PoisonError::into_inner);
        self.sink.write(&line(form, unix_ms(), level, target, fields));
    }
}

/// Unix time in milliseconds.
fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// The layer that makes a line of each event within its rate limit.
struct LineLayer(Arc<Shared>);

/// Whether an event is logged, and what its kind has suppressed in the interval before.
struct RateLimitDecision {
    is_logged: bool,
    suppressed: Option<(Option<String>, SuppressedMessages)>,
}

impl LineLayer {
    /// Applies the rate limit; `fields` gets those of the event if it is logged.
    fn apply_rate_limit(&self, event: &Event<'_>, fields: &mut Fields) -> RateLimitDecision {
        let metadata = event.metadata();
        // Events of one source line are of one kind.
        let source =
            format!("{}:{}", metadata.file().unwrap_or_default(), metadata.line().unwrap_or_default());
        let kind = pumicehead_flight_recorder::bounded_text::hash(&source);
        let now = self.0.now();
        let mut state = self.0.rate_limit();
        let (is_logged, suppressed) = state.quota.check(kind, now);
        if is_logged {
            event.record(fields);
            if state.names.len() < MAX_KINDS {
                let name = || fields.message.chars().take(MAX_KIND_NAME_CHARS).collect();
                state.names.entry(kind).or_insert_with(name);
            }
        }
        let suppressed = suppressed.map(|more| (state.names.get(&kind).cloned(), more));
        RateLimitDecision { is_logged, suppressed }
    }
}

impl<S: Subscriber> Layer<S> for LineLayer {
    fn on_event(&self, event: &Event<'_>, _: Context<'_, S>) {
        let mut fields = Fields::default();
        let decision = self.apply_rate_limit(event, &mut fields);
        if let Some((name, more)) = decision.suppressed {
            self.0.write_suppressed(name.as_deref(), more);
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
