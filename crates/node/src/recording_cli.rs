//! Flight recordings on the command line: fetching, analysis and export.

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
use pumicehead_flight_recorder::{bounded_text, export as forms, html_report, timeline_text, timestamp};
use pumicehead_policy::Nanos;
use serde_json::json;

use crate::report::{error, print};

/// Timeout of a connection to a node, and of each read from it.
const FETCH_TIMEOUT: Duration = Duration::from_secs(60);
/// Longest first line of a reply in bytes.
const MAX_REPLY_LINE_BYTES: usize = 1_024;
/// Findings that are printed.
const MAX_FINDINGS: usize = 5;
/// Request timelines, or names of requests, that are printed.
const MAX_REQUESTS: usize = 3;
/// Characters of an unknown request's name that the error repeats.
const MAX_QUOTED_CHARS: usize = 60;
const NANOS_PER_MILLI: f64 = 1e6;

/// Analysis of a recording.
#[derive(Args)]
pub struct AnalyzeArguments {
    /// The recording.
    file: PathBuf,
    /// A request, by the name that its client gave it.
    request: Option<String>,
    /// A time range: seconds since the node's start, or times of day in UTC.
    #[arg(long, num_args = 2, value_names = ["FROM", "TO"], conflicts_with = "request")]
    between: Option<Vec<String>>,
    /// Another recording to compare with.
    #[arg(long, value_name = "FILE", conflicts_with = "request")]
    diff: Option<PathBuf>,
    /// Print the findings as one JSON object.
    #[arg(long, conflicts_with = "request")]
    json: bool,
}

/// Formats that other programs open.
#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum ExportForm {
    /// OpenTelemetry's OTLP/JSON, a line for each request.
    Otlp,
    /// Chrome's trace events.
    Chrome,
    /// A page.
    Html,
}

/// A time range, in the recording's time.
#[derive(Clone, Copy)]
struct TimeRange {
    from: Nanos,
    to: Nanos,
}

fn open(file: &Path) -> Result<Recording, Box<dyn Error>> {
    let in_file = |error: &dyn std::fmt::Display| format!("{}: {error}", file.display());
    let length = fs::metadata(file).map_err(|error| in_file(&error))?.len();
    if length > MAX_RECORDING_BYTES as u64 {
        return Err(in_file(&format!("{length} bytes, more than {MAX_RECORDING_BYTES}")).into());
    }
    let bytes = fs::read(file).map_err(|error| in_file(&error))?;
    let dump = Recording::read(&bytes).map_err(|error| in_file(&error))?;
    if let Some(damage) = dump.damage {
        let text = format!("damaged from byte {} of {} on; what comes before is read", damage.at, damage.of);
        error(&format!("pumicehead: {}", in_file(&text)));
    }
    Ok(dump)
}

/// Fetches the recording of a running node by an admin command, and writes it to a file.
///
/// # Errors
/// A connection that fails, a reply that is an error or incomplete, or a file that can't be written.
pub fn fetch(address: SocketAddr, out: &Path) -> Result<(), Box<dyn Error>> {
    let mut stream =
        TcpStream::connect_timeout(&address, FETCH_TIMEOUT).map_err(|error| format!("{address}: {error}"))?;
    stream.set_read_timeout(Some(FETCH_TIMEOUT))?;
    stream.write_all(b"TRACE\n")?;
    let mut reply = Vec::new();
    stream.take(MAX_RECORDING_BYTES as u64 + MAX_REPLY_LINE_BYTES as u64).read_to_end(&mut reply)?;
    let line_end = reply.iter().take(MAX_REPLY_LINE_BYTES).position(|&byte| byte == b'\n');
    let line_end = line_end.ok_or_else(|| format!("{address}: no answer of a node"))?;
    let line = String::from_utf8_lossy(&reply[..line_end]).into_owned();
    let length = line.strip_prefix("OK ").and_then(|length| length.parse::<usize>().ok());
    let length = length.ok_or_else(|| format!("{address}: {}", bounded_text::escape(&line)))?;
    let recording = &reply[line_end + 1..];
    if recording.len() != length {
        return Err(format!("{address}: {} of {length} bytes came", recording.len()).into());
    }
    fs::write(out, recording).map_err(|error| format!("{}: {error}", out.display()))?;
    print(&format!("{}: {length} bytes\n", out.display()));
    Ok(())
}

/// Writes a recording in another format to standard output.
///
/// # Errors
/// A recording that can't be read.
pub fn export(file: &Path, form: ExportForm) -> Result<(), Box<dyn Error>> {
    let dump = open(file)?;
    print(&match form {
        ExportForm::Otlp => forms::otlp(&dump),
        ExportForm::Chrome => forms::chrome(&dump),
        ExportForm::Html => html_report::write(&dump),
    });
    Ok(())
}

impl AnalyzeArguments {
    /// Prints the timeline of a request, the causes of lost weight, or a comparison.
    ///
    /// # Errors
    /// A recording or time that can't be read, or a request that is not in the recording.
    pub fn run(&self) -> Result<(), Box<dyn Error>> {
        let dump = open(&self.file)?;
        if let Some(request) = &self.request {
            return print_request(&dump, request);
        }
        let range = self.time_range(&dump)?;
        let accounts = dump.ledger.as_ref().ok_or("the recording's sums are damaged")?;
        let breakdown = Breakdown::of_ledger(&dump.header, accounts, range.from, range.to);
        if let Some(other) = &self.diff {
            return self.print_comparison(&breakdown, other);
        }
        let findings = find(&dump.header, accounts, range.from, range.to);
        if self.json {
            print(&(json(&breakdown, &findings) + "\n"));
        } else {
            print_analysis(&dump, &breakdown, &findings);
        }
        Ok(())
    }

    fn print_comparison(&self, breakdown: &Breakdown, other: &Path) -> Result<(), Box<dyn Error>> {
        let other = open(other)?;
        let range = self.time_range(&other)?;
        let other = Breakdown::of_recording(&other, range.from, range.to);
        print(&breakdown.compare(&other.ok_or("the other recording's sums are damaged")?));
        Ok(())
    }

    fn time_range(&self, dump: &Recording) -> Result<TimeRange, timestamp::TimestampError> {
        match self.between.as_deref() {
            Some([from, to]) => Ok(TimeRange {
                from: timestamp::parse(from, dump.header.start)?,
                to: timestamp::parse(to, dump.header.start)?,
            }),
            _ => Ok(TimeRange { from: 0, to: Nanos::MAX }),
        }
    }
}

fn print_analysis(dump: &Recording, breakdown: &Breakdown, findings: &[Finding]) {
    print(&breakdown.to_string());
    match findings.first() {
        None => print("nothing was lost\n"),
        Some(first) => print(&format!("largest cause: {}\n", first.text)),
    }
    for finding in findings.iter().take(MAX_FINDINGS) {
        let lost = finding.lost as f64 / NANOS_PER_MILLI;
        print(&format!("  {lost:10.1}  {:7} requests  {}\n", finding.requests, finding.text));
    }
    let examples = dump.timelines.iter().filter(|story| story.cause.is_some()).take(MAX_REQUESTS);
    let names: Vec<_> = examples.map(|story| story.name.display()).collect();
    if !names.is_empty() {
        print(&format!("some of them: {}\n", names.join(", ")));
    }
}

fn print_request(dump: &Recording, request: &str) -> Result<(), Box<dyn Error>> {
    let found = dump.timelines_of(request);
    if found.is_empty() {
        let recorded = dump.timelines.len();
        let name = bounded_text::escape(&request.chars().take(MAX_QUOTED_CHARS).collect::<String>());
        return Err(format!("no story of `{name}` among the {recorded} that were kept").into());
    }
    for timeline in found.into_iter().take(MAX_REQUESTS) {
        print(&timeline_text::render(&dump.header, timeline));
    }
    Ok(())
}

/// The findings as JSON, with the stored names of subjects and causes.
fn json(breakdown: &Breakdown, findings: &[Finding]) -> String {
    let views = breakdown.views.iter().map(|(name, parts)| {
        let rows = parts
            .iter()
            .map(|part| json!({ "what": part.label, "lost": part.lost, "requests": part.requests }));
        ((*name).to_owned(), rows.collect::<Vec<_>>().into())
    });
    let findings = findings.iter().map(|finding| {
        json!({
            "subject": finding.subject.exported_name(), "matter": finding.symptom.exported_name(),
            "lost": finding.lost, "requests": finding.requests, "text": finding.text,
        })
    });
    json!({
        "requests": breakdown.requests, "asked": breakdown.offered, "earned": breakdown.earned,
        "lost": breakdown.lost(), "by": views.collect::<serde_json::Map<_, _>>(),
        "findings": findings.collect::<Vec<_>>(),
    })
    .to_string()
}
