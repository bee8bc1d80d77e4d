//! Command line access to flight recordings: fetching, analysis and export.

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
use pumicehead_flight_recorder::{
    bounded_text, export as export_formats, html_report, timeline_text, timestamp,
};
use pumicehead_policy::Nanos;
use serde_json::json;

use crate::report::{print, print_error};

/// Timeout for connecting to a node, and for each read from it.
const FETCH_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum length of the first line of a reply, in bytes.
const MAX_REPLY_LINE_BYTES: usize = 1_024;
/// Maximum number of findings that are printed.
const MAX_FINDINGS: usize = 5;
/// Maximum number of request timelines, or of names of example requests, that are printed.
const MAX_REQUESTS: usize = 3;
/// Maximum number of characters of an unknown request's name that the error message quotes.
const MAX_QUOTED_CHARS: usize = 60;
const MICRO_WEIGHTS_PER_WEIGHT: f64 = 1e6;

/// Arguments of the `why` command, which analyzes a recording.
#[derive(Args)]
pub struct AnalyzeArguments {
    /// The recording file.
    file: PathBuf,
    /// A request, by the name that its client gave it.
    request: Option<String>,
    /// A time range, in seconds since the start of the node or as times of day in UTC.
    #[arg(long, num_args = 2, value_names = ["FROM", "TO"], conflicts_with = "request")]
    between: Option<Vec<String>>,
    /// Another recording file to compare with.
    #[arg(long, value_name = "FILE", conflicts_with = "request")]
    diff: Option<PathBuf>,
    /// Print the findings as one JSON object.
    #[arg(long, conflicts_with = "request")]
    json: bool,
}

/// Formats that other programs can open.
#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum ExportFormat {
    /// OpenTelemetry OTLP/JSON, one line per request.
    Otlp,
    /// Chrome trace events.
    Chrome,
    /// An HTML page.
    Html,
}

/// A time range, on the time axis of the recording.
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
    let recording = Recording::read(&bytes).map_err(|error| in_file(&error))?;
    if let Some(damage) = recording.damage {
        let text = format!(
            "damaged from byte {} of {}; only the data before it is used",
            damage.offset, damage.file_size
        );
        print_error(&format!("pumicehead: {}", in_file(&text)));
    }
    Ok(recording)
}

/// Fetches the recording of a running node with the admin command `TRACE`, and writes it to a file.
///
/// # Errors
/// Fails if the connection fails, if the reply is an error or incomplete, or if the file can't be written.
pub fn fetch(address: SocketAddr, out: &Path) -> Result<(), Box<dyn Error>> {
    let mut stream =
        TcpStream::connect_timeout(&address, FETCH_TIMEOUT).map_err(|error| format!("{address}: {error}"))?;
    stream.set_read_timeout(Some(FETCH_TIMEOUT))?;
    stream.write_all(b"TRACE\n")?;
    let mut reply = Vec::new();
    stream.take(MAX_RECORDING_BYTES as u64 + MAX_REPLY_LINE_BYTES as u64).read_to_end(&mut reply)?;
    let line_end = reply.iter().take(MAX_REPLY_LINE_BYTES).position(|&byte| byte == b'\n');
    let line_end = line_end.ok_or_else(|| format!("{address}: reply without a status line"))?;
    let line = String::from_utf8_lossy(&reply[..line_end]).into_owned();
    let length = line.strip_prefix("OK ").and_then(|length| length.parse::<usize>().ok());
    let length = length.ok_or_else(|| format!("{address}: {}", bounded_text::escape(&line)))?;
    let recording = &reply[line_end + 1..];
    if recording.len() != length {
        return Err(format!("{address}: got {} of {length} bytes of the recording", recording.len()).into());
    }
    fs::write(out, recording).map_err(|error| format!("{}: {error}", out.display()))?;
    print(&format!("{}: {length} bytes\n", out.display()));
    Ok(())
}

/// Converts a recording to another format and writes it to standard output.
///
/// # Errors
/// Fails if the recording can't be read.
pub fn export(file: &Path, format: ExportFormat) -> Result<(), Box<dyn Error>> {
    let recording = open(file)?;
    print(&match format {
        ExportFormat::Otlp => export_formats::otlp(&recording),
        ExportFormat::Chrome => export_formats::chrome(&recording),
        ExportFormat::Html => html_report::write(&recording),
    });
    Ok(())
}

impl AnalyzeArguments {
    /// Prints the timeline of a request, the causes of lost weight, or a comparison with another recording.
    ///
    /// # Errors
    /// Fails if a recording or a time can't be read, or if the request is not in the recording.
    pub fn run(&self) -> Result<(), Box<dyn Error>> {
        let recording = open(&self.file)?;
        if let Some(request) = &self.request {
            return print_request(&recording, request);
        }
        let range = self.time_range(&recording)?;
        let ledger = recording.ledger.as_ref().ok_or("the ledger of the recording is damaged")?;
        let breakdown = Breakdown::of_ledger(&recording.header, ledger, range.from, range.to);
        if let Some(other) = &self.diff {
            return self.print_comparison(&breakdown, other);
        }
        let findings = find(&recording.header, ledger, range.from, range.to);
        if self.json {
            print(&(json(&breakdown, &findings) + "\n"));
        } else {
            print_analysis(&recording, &breakdown, &findings);
        }
        Ok(())
    }

    fn print_comparison(&self, breakdown: &Breakdown, other: &Path) -> Result<(), Box<dyn Error>> {
        let other = open(other)?;
        let range = self.time_range(&other)?;
        let other = Breakdown::of_recording(&other, range.from, range.to);
        print(&breakdown.compare(&other.ok_or("the ledger of the other recording is damaged")?));
        Ok(())
    }

    fn time_range(&self, recording: &Recording) -> Result<TimeRange, timestamp::TimestampError> {
        match self.between.as_deref() {
            Some([from, to]) => Ok(TimeRange {
                from: timestamp::parse(from, recording.header.start)?,
                to: timestamp::parse(to, recording.header.start)?,
            }),
            _ => Ok(TimeRange { from: 0, to: Nanos::MAX }),
        }
    }
}

fn print_analysis(recording: &Recording, breakdown: &Breakdown, findings: &[Finding]) {
    print(&breakdown.to_string());
    match findings.first() {
        None => print("nothing was lost\n"),
        Some(first) => print(&format!("largest cause: {}\n", first.text)),
    }
    for finding in findings.iter().take(MAX_FINDINGS) {
        let lost = finding.lost as f64 / MICRO_WEIGHTS_PER_WEIGHT;
        print(&format!("  {lost:10.1}  {:7} requests  {}\n", finding.requests, finding.text));
    }
    let examples = recording.timelines.iter().filter(|timeline| timeline.cause.is_some()).take(MAX_REQUESTS);
    let names: Vec<_> = examples.map(|timeline| timeline.name.display()).collect();
    if !names.is_empty() {
        print(&format!("some of them: {}\n", names.join(", ")));
    }
}

fn print_request(recording: &Recording, request: &str) -> Result<(), Box<dyn Error>> {
    let found = recording.timelines_of(request);
    if found.is_empty() {
        let recorded = recording.timelines.len();
        let name = bounded_text::escape(&request.chars().take(MAX_QUOTED_CHARS).collect::<String>());
        return Err(format!("no request `{name}` among the {recorded} recorded timelines").into());
    }
    for timeline in found.into_iter().take(MAX_REQUESTS) {
        print(&timeline_text::render(&recording.header, timeline));
    }
    Ok(())
}

/// Formats breakdown and findings as a JSON object, with the exported names of subjects and symptoms.
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
