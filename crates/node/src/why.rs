//! Recordings on the command line: fetched, read, written in other forms.

use std::error::Error;
use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::time::Duration;

use clap::{Args, ValueEnum};
use pumicehead_flight_recorder::breakdown::Breakdown;
use pumicehead_flight_recorder::findings::{Finding, find};
use pumicehead_flight_recorder::recording::{MAX_RECORDING_BYTES, Recording};
use pumicehead_flight_recorder::{export as forms, html_report, timeline_text, timestamp};
use pumicehead_policy::Nanos;
use serde_json::json;

use crate::report::{error, print};

/// A node writes its recording within some milliseconds; the rest is the way.
const PATIENCE: Duration = Duration::from_secs(60);
/// Longest first line of an answer.
const LONGEST_LINE: usize = 1_024;
/// Findings that are told.
const FINDINGS: usize = 5;
/// Stories of one name that are told.
const STORIES: usize = 3;

/// What is asked of a recording.
#[derive(Args)]
pub struct Why {
    /// The recording.
    file: PathBuf,
    /// What its client called the request.
    request: Option<String>,
    /// From one moment to another: seconds since the node's start, or times of day in UTC.
    #[arg(long, num_args = 2, value_names = ["FROM", "TO"], conflicts_with = "request")]
    between: Option<Vec<String>>,
    /// Another recording, to be set beside it.
    #[arg(long, value_name = "FILE", conflicts_with = "request")]
    diff: Option<PathBuf>,
    /// Findings as one JSON object.
    #[arg(long, conflicts_with = "request")]
    json: bool,
}

/// Forms that others open.
#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum ExportForm {
    /// OpenTelemetry's OTLP/JSON, a line a request.
    Otlp,
    /// Chrome's trace events.
    Chrome,
    /// A page.
    Html,
}

fn open(file: &Path) -> Result<Recording, Box<dyn Error>> {
    let named = |error: &dyn std::fmt::Display| format!("{}: {error}", file.display());
    let length = fs::metadata(file).map_err(|error| named(&error))?.len();
    if length > MAX_RECORDING_BYTES as u64 {
        return Err(named(&format!("{length} bytes, more than {MAX_RECORDING_BYTES}")).into());
    }
    let bytes = fs::read(file).map_err(|error| named(&error))?;
    let dump = Recording::read(&bytes).map_err(|error| named(&error))?;
    if let Some(damage) = dump.damage {
        let text = format!("damaged from byte {} of {} on; what comes before is read", damage.at, damage.of);
        error(&format!("pumicehead: {}", named(&text)));
    }
    Ok(dump)
}

/// Fetches a recording.
///
/// # Errors
/// What keeps it from coming.
pub fn fetch(address: SocketAddr, out: &Path) -> Result<(), Box<dyn Error>> {
    let mut stream =
        TcpStream::connect_timeout(&address, PATIENCE).map_err(|error| format!("{address}: {error}"))?;
    stream.set_read_timeout(Some(PATIENCE))?;
    stream.write_all(b"TRACE\n")?;
    let mut answer = Vec::new();
    stream.take(MAX_RECORDING_BYTES as u64 + LONGEST_LINE as u64).read_to_end(&mut answer)?;
    let end = answer.iter().take(LONGEST_LINE).position(|&byte| byte == b'\n');
    let end = end.ok_or_else(|| format!("{address}: no answer of a node"))?;
    let line = String::from_utf8_lossy(&answer[..end]).into_owned();
    let length = line.strip_prefix("OK ").and_then(|length| length.parse::<usize>().ok());
    let length = length
        .ok_or_else(|| format!("{address}: {}", pumicehead_flight_recorder::bounded_text::escape(&line)))?;
    let file = &answer[end + 1..];
    if file.len() != length {
        return Err(format!("{address}: {} of {length} bytes came", file.len()).into());
    }
    fs::write(out, file).map_err(|error| format!("{}: {error}", out.display()))?;
    print(&format!("{}: {length} bytes\n", out.display()));
    Ok(())
}

/// Writes a recording in another form to standard output.
///
/// # Errors
/// Why it can't be read.
pub fn export(file: &Path, form: ExportForm) -> Result<(), Box<dyn Error>> {
    let dump = open(file)?;
    print(&match form {
        ExportForm::Otlp => forms::otlp(&dump),
        ExportForm::Chrome => forms::chrome(&dump),
        ExportForm::Html => html_report::write(&dump),
    });
    Ok(())
}

impl Why {
    /// Tells it.
    ///
    /// # Errors
    /// Why it can't be told.
    pub fn tell(&self) -> Result<(), Box<dyn Error>> {
        let dump = open(&self.file)?;
        if let Some(request) = &self.request {
            return tell_request(&dump, request);
        }
        let (from, to) = self.span(&dump)?;
        let accounts = dump.ledger.as_ref().ok_or("the recording's sums are damaged")?;
        let breakdown = Breakdown::of_ledger(&dump.head, accounts, from, to);
        let found = find(&dump.head, accounts, from, to);
        if let Some(other) = &self.diff {
            let other = open(other)?;
            let (from, to) = self.span(&other)?;
            let beside =
                Breakdown::of_recording(&other, from, to).ok_or("the other recording's sums are damaged")?;
            print(&breakdown.compare(&beside));
            return Ok(());
        }
        if self.json {
            print(&(json(&breakdown, &found) + "\n"));
            return Ok(());
        }
        print(&breakdown.to_string());
        match found.first() {
            None => print("nothing was lost\n"),
            Some(first) => print(&format!("largest cause: {}\n", first.text)),
        }
        for one in found.iter().take(FINDINGS) {
            print(&format!("  {:10.1}  {:7} requests  {}\n", one.lost as f64 / 1e6, one.requests, one.text));
        }
        let examples = dump.timelines.iter().filter(|story| story.cause.is_some()).take(STORIES);
        let names: Vec<_> = examples.map(|story| story.name.display()).collect();
        if !names.is_empty() {
            print(&format!("some of them: {}\n", names.join(", ")));
        }
        Ok(())
    }

    fn span(&self, dump: &Recording) -> Result<(Nanos, Nanos), timestamp::TimestampError> {
        match self.between.as_deref() {
            Some([from, to]) => {
                Ok((timestamp::parse(from, dump.head.start)?, timestamp::parse(to, dump.head.start)?))
            }
            _ => Ok((0, Nanos::MAX)),
        }
    }
}

fn tell_request(dump: &Recording, request: &str) -> Result<(), Box<dyn Error>> {
    let found = dump.timelines_of(request);
    if found.is_empty() {
        let kept = dump.timelines.len();
        let name =
            pumicehead_flight_recorder::bounded_text::escape(&request.chars().take(60).collect::<String>());
        return Err(format!("no story of `{name}` among the {kept} that were kept").into());
    }
    for story in found.into_iter().take(STORIES) {
        print(&timeline_text::render(&dump.head, story));
    }
    Ok(())
}

fn json(breakdown: &Breakdown, found: &[Finding]) -> String {
    let parts = breakdown.views.iter().map(|(name, parts)| {
        let rows = parts
            .iter()
            .map(|part| json!({ "what": part.label, "lost": part.lost, "requests": part.requests }));
        ((*name).to_owned(), rows.collect::<Vec<_>>().into())
    });
    let found = found.iter().map(|one| {
        json!({
            "subject": one.subject.exported_name(), "matter": one.symptom.exported_name(),
            "lost": one.lost, "requests": one.requests, "text": one.text,
        })
    });
    json!({
        "requests": breakdown.requests, "asked": breakdown.offered, "earned": breakdown.earned,
        "lost": breakdown.lost(), "by": parts.collect::<serde_json::Map<_, _>>(),
        "findings": found.collect::<Vec<_>>(),
    })
    .to_string()
}
