//! The log: lines to standard error, for people or for machines, that never keep the loop waiting.
//!
//! A thread of its own writes them. Where whoever reads stops reading, lines are dropped and counted; of one kind of
//! message the first few in ten seconds are told, and then how many more there were.

use std::fmt::{self, Write};
use std::io;
use std::str::FromStr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use pumicehead_trace::quota::{More, Quota};
use pumicehead_trace::text::plain;
use thiserror::Error;
use tracing::field::{Field, Visit};
use tracing::{Event, Level, Subscriber};
use tracing_appender::non_blocking::{ErrorCounter, NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::filter::Targets;
use tracing_subscriber::layer::{Context, SubscriberExt};
use tracing_subscriber::{Layer, Registry, reload};

/// Lines that wait to be written: a burst at a start or in a fault, and some 100 KiB at the most usual length.
const WAITING: usize = 1_000;
/// Longest line; what a message says beyond is cut.
const LONGEST: usize = 2_048;
/// Longest filter that is read: a dozen rooms with their levels.
const LONGEST_FILTER: usize = 300;
/// What is told where nobody says otherwise.
pub const USUAL: &str = "info";

/// How lines are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Form {
    /// For people.
    #[default]
    Text,
    /// An object a line.
    Json,
}

/// A filter that can't be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("`{0}` is no filter: write levels, for all or for a room, such as `info` or `warn,discovery=debug`")]
pub struct BadFilter(String);

/// Reads a filter: a level, or levels of rooms, with commas between.
///
/// # Errors
/// [`BadFilter`].
pub fn filter(text: &str) -> Result<Targets, BadFilter> {
    let fault = || BadFilter(plain(&text.chars().take(60).collect::<String>()));
    // An empty part means "all" to the library, and a word that is no level a room: neither is what was meant.
    let sound = |part: &str| {
        let (room, level) = part.split_once('=').unwrap_or(("", part));
        let room = room.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"_:-".contains(&byte));
        let known = ["off", "error", "warn", "info", "debug", "trace"];
        room && known.contains(&level.to_ascii_lowercase().as_str())
    };
    if text.len() > LONGEST_FILTER || !text.split(',').all(sound) {
        return Err(fault());
    }
    Targets::from_str(text).map_err(|_| fault())
}

struct State {
    quota: Quota,
    /// What kinds are called, for the line that tells how many more there were.
    names: std::collections::BTreeMap<u64, String>,
}

struct Shared {
    form: Mutex<Form>,
    state: Mutex<State>,
    began: Instant,
    writer: NonBlocking,
}

/// The log of this process.
#[derive(Clone)]
pub struct Log {
    shared: Arc<Shared>,
    filter: Arc<dyn Fn(Targets) + Send + Sync>,
    dropped: ErrorCounter,
}

/// What is still to be written is, when this is dropped, for a moment at most.
pub struct Written(#[expect(dead_code, reason = "dropped in its time")] WorkerGuard);

/// Begins the log. The second and later ones of a process write nothing.
pub fn begin() -> (Log, Written) {
    begin_to(io::stderr())
}

fn begin_to(out: impl io::Write + Send + 'static) -> (Log, Written) {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(WAITING)
        .thread_name("log")
        .finish(out);
    let dropped = writer.error_counter();
    let state = State { quota: Quota::default(), names: std::collections::BTreeMap::new() };
    let shared = Arc::new(Shared {
        form: Mutex::new(Form::Text),
        state: Mutex::new(state),
        began: Instant::now(),
        writer,
    });
    let (targets, handle) = reload::Layer::new(filter(USUAL).unwrap_or_default());
    let subscriber = Registry::default().with(Lines(shared.clone()).with_filter(targets));
    // Where another one is set already, this one's lines go there.
    let _ = tracing::subscriber::set_global_default(subscriber);
    let set = move |targets| {
        // It fails only once the subscriber is gone, which the process outlives at its very end.
        let _ = handle.reload(targets);
    };
    (Log { shared, filter: Arc::new(set), dropped }, Written(guard))
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

    /// Tells how many messages were held back in spans that have ended; to be called now and then.
    pub fn look(&self) {
        let now = self.shared.now();
        let ended = {
            let mut state = self.shared.state.lock().unwrap_or_else(PoisonError::into_inner);
            let ended = state.quota.ended(now);
            ended.into_iter().map(|more| (state.names.get(&more.kind).cloned(), more)).collect::<Vec<_>>()
        };
        for (name, more) in ended {
            self.shared.more(name.as_deref().unwrap_or("messages"), more);
        }
    }

    /// Lines that were dropped since nobody read them.
    pub fn dropped(&self) -> usize {
        self.dropped.dropped_lines()
    }
}

impl Shared {
    fn now(&self) -> u64 {
        self.began.elapsed().as_nanos() as u64
    }

    fn more(&self, name: &str, More { count, span, .. }: More) {
        let text = format!("{name}: and {count} more like it in {:.0} s", span as f64 / 1e9);
        self.write(Level::INFO, "log", &text, &[]);
    }

    fn write(&self, level: Level, target: &str, message: &str, fields: &[(&'static str, String)]) {
        let form = *self.form.lock().unwrap_or_else(PoisonError::into_inner);
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let mut line = match form {
            Form::Text => {
                let mut line = format!("{} {level:>5} {target}: {message}", utc(since.as_millis() as u64));
                for (name, value) in fields {
                    let _ = write!(line, " {name}={value}");
                }
                line
            }
            Form::Json => {
                let mut object = serde_json::Map::new();
                object.insert("time".into(), utc(since.as_millis() as u64).into());
                object.insert("level".into(), level.to_string().into());
                object.insert("room".into(), target.into());
                object.insert("message".into(), message.into());
                object.extend(fields.iter().map(|(name, value)| ((*name).to_owned(), value.clone().into())));
                serde_json::Value::Object(object).to_string()
            }
        };
        line.push('\n');
        // A channel's end: it takes the line or drops and counts it.
        let _ = io::Write::write_all(&mut self.writer.clone(), line.as_bytes());
    }
}

/// A time as RFC 3339 has it.
fn utc(unix_ms: u64) -> String {
    let (days, of_day) = (unix_ms / 86_400_000, unix_ms % 86_400_000);
    // Days since 1 March 0000, in years that end with February ("chrono-compatible low-level date algorithms", Hinnant).
    let shifted = days + 719_468;
    let (era, of_era) = (shifted / 146_097, shifted % 146_097);
    let year = (of_era - of_era / 1_460 + of_era / 36_524 - of_era / 146_096) / 365;
    let of_year = of_era - (365 * year + year / 4 - year / 100);
    let month = (5 * of_year + 2) / 153;
    let day = of_year - (153 * month + 2) / 5 + 1;
    let month = if month < 10 { month + 3 } else { month - 9 };
    let year = era * 400 + year + u64::from(month <= 2);
    let (seconds, millis) = (of_day / 1_000, of_day % 1_000);
    let (hour, minute, second) = (seconds / 3_600, seconds / 60 % 60, seconds % 60);
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}.{millis:03}Z")
}

struct Lines(Arc<Shared>);

#[derive(Default)]
struct Fields {
    message: String,
    others: Vec<(&'static str, String)>,
}

impl Visit for Fields {
    fn record_str(&mut self, field: &Field, value: &str) {
        let value = cut(plain(value));
        if field.name() == "message" { self.message = value } else { self.others.push((field.name(), value)) }
    }

    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        // A message comes this way, already put together.
        let value = format!("{value:?}");
        let clean: String = value.chars().map(|sign| if sign.is_control() { ' ' } else { sign }).collect();
        let clean = cut(clean);
        if field.name() == "message" { self.message = clean } else { self.others.push((field.name(), clean)) }
    }
}

fn cut(mut text: String) -> String {
    text.truncate(text.floor_char_boundary(LONGEST));
    text
}

impl<S: Subscriber> Layer<S> for Lines {
    fn on_event(&self, event: &Event<'_>, _: Context<'_, S>) {
        let metadata = event.metadata();
        // A place in the code is a kind.
        let place =
            format!("{}:{}", metadata.file().unwrap_or_default(), metadata.line().unwrap_or_default());
        let kind = pumicehead_trace::text::hash(&place);
        let mut fields = Fields::default();
        let (told, before) = {
            let now = self.0.now();
            let mut state = self.0.state.lock().unwrap_or_else(PoisonError::into_inner);
            let (told, before) = state.quota.take(kind, now);
            if told {
                event.record(&mut fields);
                if state.names.len() < pumicehead_trace::quota::KINDS {
                    let name = || fields.message.chars().take(60).collect();
                    state.names.entry(kind).or_insert_with(name);
                }
            }
            (told, before.map(|more| (state.names.get(&kind).cloned(), more)))
        };
        if let Some((name, more)) = before {
            self.0.more(name.as_deref().unwrap_or("messages"), more);
        }
        if told {
            self.0.write(*metadata.level(), metadata.target(), &fields.message, &fields.others);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn filters_are_levels_of_rooms() {
        for good in ["info", "off", "warn,discovery=debug", "front=trace,ERROR"] {
            assert!(filter(good).is_ok(), "{good}");
        }
        for bad in
            ["", "loud", "info,", "front=", "front=loud", "a b=info", "\u{1b}[2J", &"info,".repeat(200)]
        {
            let fault = filter(bad).unwrap_err().to_string();
            assert!(fault.chars().all(|sign| !sign.is_control()) && fault.len() < 300, "{bad}");
        }
    }

    /// Guards the loop: where whoever reads has stopped, lines are dropped and counted, and nobody waits.
    #[test]
    fn a_reader_that_stops_costs_lines_alone() {
        struct Stuck(std::sync::mpsc::Receiver<()>);
        impl io::Write for Stuck {
            fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
                let _ = self.0.recv();
                Ok(bytes.len())
            }

            fn flush(&mut self) -> io::Result<()> {
                Ok(())
            }
        }
        let (go_on, stuck) = std::sync::mpsc::channel();
        let (log, written) = begin_to(Stuck(stuck));
        for n in 0..10 * WAITING {
            log.shared.write(Level::INFO, "test", &format!("line {n}"), &[]);
        }
        // One is being written, and as many wait as may.
        assert!(log.dropped() >= 9 * WAITING - 1, "{}", log.dropped());
        drop(go_on);
        drop(written);
    }

    #[test]
    fn times_are_those_of_the_calendar() {
        assert_eq!(utc(0), "1970-01-01T00:00:00.000Z");
        assert_eq!(utc(951_782_399_999), "2000-02-28T23:59:59.999Z");
        assert_eq!(utc(951_782_400_000), "2000-02-29T00:00:00.000Z");
        assert_eq!(utc(1_798_761_599_001), "2026-12-31T23:59:59.001Z");
        assert_eq!(utc(4_107_542_400_000), "2100-03-01T00:00:00.000Z");
    }
}
