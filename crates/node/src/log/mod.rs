//! The log: lines to standard error, for people or for machines, that never keep the loop waiting for a reader.
//!
//! Where whoever reads stops reading, lines are dropped and counted; of one kind of message the first few in ten seconds
//! are logged, and then how many more there were. On the platform the event loop writes them ([`begin_on_loop`]), and
//! a standalone node has a thread that does ([`begin_with_thread`]).

mod filter;
mod format;
mod loop_sink;
mod output;
mod panic;
mod sink;

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use pumicehead_flight_recorder::log_rate_limit::{LogRateLimiter, MAX_KINDS, SuppressedMessages};
use tracing::{Event, Level, Subscriber};
use tracing_subscriber::filter::Targets;
use tracing_subscriber::layer::{Context, SubscriberExt};
use tracing_subscriber::{Layer, Registry, reload};

pub use filter::BadFilter;
use filter::{USUAL, filter};
pub use format::Form;
use format::{Fields, line, plain_line};
use loop_sink::LoopSink;
use output::Descriptor;
use sink::{Sink, ThreadSink};

/// Longest that the end of the process, or a panic, waits for the reader of the log. Of what the platform leaves
/// between the last answer and SIGKILL (0.7 s) most is left.
const LONGEST_FLUSH: Duration = Duration::from_millis(200);
/// Most characters of a message that name its kind.
const LONGEST_NAME: usize = 60;

struct State {
    quota: LogRateLimiter,
    /// The first message of each kind, for the line that says how many more there were.
    names: BTreeMap<u64, String>,
}

struct Shared {
    form: Mutex<Form>,
    state: Mutex<State>,
    began: Instant,
    sink: Arc<dyn Sink>,
}

/// The log of this process.
#[derive(Clone)]
pub struct Log {
    shared: Arc<Shared>,
    filter: Arc<dyn Fn(Targets) + Send + Sync>,
}

/// Flushes the log when it is dropped, for a moment at most.
pub struct FlushOnDrop(Arc<dyn Sink>);

impl Drop for FlushOnDrop {
    fn drop(&mut self) {
        self.0.flush(LONGEST_FLUSH);
    }
}

/// Has the event loop write the lines that could not be written at the time of their event.
pub struct LoopWriter(Arc<LoopSink>);

impl LoopWriter {
    /// Writes for as long as the loop runs. It wakes only while a line waits.
    pub async fn run(self) {
        self.0.write_what_waits().await;
    }
}

/// Begins a log that a thread of its own writes. Of the logs that a process begins only the first gets its events.
pub fn begin_with_thread() -> (Log, FlushOnDrop) {
    begin_to(Arc::new(ThreadSink::new(io::stderr())))
}

/// Begins a log that has no thread: whoever logs writes, and the [`LoopWriter`] what is left. Panics go there as well.
pub fn begin_on_loop() -> (Log, FlushOnDrop, LoopWriter) {
    let sink = LoopSink::new(Descriptor(io::stderr()));
    panic::set_hook(sink.clone(), LONGEST_FLUSH);
    let (log, flush) = begin_to(sink.clone());
    (log, flush, LoopWriter(sink))
}

fn begin_to(sink: Arc<dyn Sink>) -> (Log, FlushOnDrop) {
    let state = State { quota: LogRateLimiter::default(), names: BTreeMap::new() };
    let shared = Arc::new(Shared {
        form: Mutex::new(Form::Text),
        state: Mutex::new(state),
        began: Instant::now(),
        sink: sink.clone(),
    });
    let (targets, handle) = reload::Layer::new(filter(USUAL).unwrap_or_default());
    let subscriber = Registry::default().with(Lines(shared.clone()).with_filter(targets));
    // Where another one is set already, this one's lines go there.
    let _ = tracing::subscriber::set_global_default(subscriber);
    let set = move |targets| {
        // It fails only once the subscriber is gone, which the process outlives at its very end.
        let _ = handle.reload(targets);
    };
    (Log { shared, filter: Arc::new(set) }, FlushOnDrop(sink))
}

impl Log {
    /// Goes over to another filter.
    ///
    /// # Errors
    /// [`BadFilter`]; the old one stays.
    pub fn set_filter(&self, text: &str) -> Result<(), BadFilter> {
        (self.filter)(filter(text)?);
        Ok(())
    }

    /// Goes over to another form.
    pub fn set_form(&self, form: Form) {
        *self.shared.form.lock().unwrap_or_else(PoisonError::into_inner) = form;
    }

    /// Logs how many messages were held back in spans that have ended; to be called now and then.
    pub fn look(&self) {
        let now = self.shared.now();
        let ended = {
            let mut state = self.shared.state();
            let ended = state.quota.drain_expired(now);
            ended.into_iter().map(|more| (state.names.get(&more.kind).cloned(), more)).collect::<Vec<_>>()
        };
        for (name, more) in ended {
            self.shared.write_more(name.as_deref(), more);
        }
    }

    /// Writes a line of plain text, whatever the filter: the error that a process ends with.
    pub fn write_plain(&self, text: &str) {
        self.shared.sink.write(&plain_line(text));
    }

    /// Lines that were dropped since nobody read them.
    pub fn dropped(&self) -> usize {
        self.shared.sink.dropped()
    }
}

impl Shared {
    /// Since the log began, in nanoseconds.
    fn now(&self) -> u64 {
        self.began.elapsed().as_nanos() as u64
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn write_more(&self, name: Option<&str>, SuppressedMessages { count, interval, .. }: SuppressedMessages) {
        let name = name.unwrap_or("messages");
        let message = format!("{name}: and {count} more like it in {:.0} s", interval as f64 / 1e9);
        self.write(Level::INFO, "log", &Fields::of(message));
    }

    fn write(&self, level: Level, target: &str, fields: &Fields) {
        let form = *self.form.lock().unwrap_or_else(PoisonError::into_inner);
        self.sink.write(&line(form, unix_ms(), level, target, fields));
    }
}

/// The time of day, in milliseconds since 1970.
fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// The layer that makes a line of each event.
struct Lines(Arc<Shared>);

impl<S: Subscriber> Layer<S> for Lines {
    fn on_event(&self, event: &Event<'_>, _: Context<'_, S>) {
        let metadata = event.metadata();
        // A place in the code is a kind.
        let place =
            format!("{}:{}", metadata.file().unwrap_or_default(), metadata.line().unwrap_or_default());
        let kind = pumicehead_flight_recorder::bounded_text::hash(&place);
        let mut fields = Fields::default();
        let (told, before) = {
            let now = self.0.now();
            let mut state = self.0.state();
            let (told, before) = state.quota.check(kind, now);
            if told {
                event.record(&mut fields);
                if state.names.len() < MAX_KINDS {
                    let name = || fields.message.chars().take(LONGEST_NAME).collect();
                    state.names.entry(kind).or_insert_with(name);
                }
            }
            (told, before.map(|more| (state.names.get(&kind).cloned(), more)))
        };
        if let Some((name, more)) = before {
            self.0.write_more(name.as_deref(), more);
        }
        if told {
            self.0.write(*metadata.level(), metadata.target(), &fields);
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/log.rs"]
mod tests;
