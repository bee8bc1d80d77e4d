//! The command line. Exit codes: 0 success, 1 mistakes in a configuration, 2 a command that failed, 3 a difference found by
//! `fmt --check` or `diff`.

use std::error::Error;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use pumicehead_config::diff::{ChangeKind, DisplayChange, diff};
use pumicehead_config::disk::Disk;
use pumicehead_config::explain::{Request, explain};
use pumicehead_config::format::format;
use pumicehead_config::{Config, Diagnostic, Files, Severity, Sources, check};

use crate::report::{Format, print, report};
use crate::standalone::LoadedConfig;
use crate::{fleet_cli, log, recording_cli};

/// Exit code: a configuration has mistakes.
const EXIT_MISTAKES: u8 = 1;
/// Exit code: a command failed, or the command line is invalid.
const EXIT_FAILED: u8 = 2;
/// Exit code: `fmt --check` or `diff` found a difference.
const EXIT_DIFFERENCE: u8 = 3;

/// A reverse proxy with priority queues, adaptive concurrency limits and latency-aware load balancing.
#[derive(Parser)]
#[command(
    name = "pumicehead",
    version,
    after_help = "Exit codes: 0 success, 1 mistakes in a configuration, \
    2 the command failed, 3 `fmt --check` or `diff` found a difference.\n\
    Started without arguments it reads EDGE_CONFIG, as the platform sets it."
)]
pub struct Arguments {
    #[command(subcommand)]
    pub command: Command,
}

#[derive(Subcommand)]
pub enum Command {
    /// Serves a configuration; SIGHUP reloads it, SIGTERM drains and ends the process.
    Run {
        /// The configuration.
        file: PathBuf,
        /// Record client requests to a new file, for `pumicehead-load replay`.
        #[arg(long, value_name = "FILE")]
        record: Option<PathBuf>,
    },
    /// Fetches the flight recording of a running node.
    Trace {
        /// The node's admin address.
        address: SocketAddr,
        /// The file to write.
        #[arg(long, short, value_name = "FILE", default_value = "pumicehead.rec")]
        out: PathBuf,
    },
    /// Analyzes a flight recording: the timeline of a request, or the causes of lost weight.
    Why(recording_cli::AnalyzeArguments),
    /// Writes a flight recording in a format that other viewers open.
    Export {
        /// The recording.
        file: PathBuf,
        /// The format.
        #[arg(long = "as", value_enum)]
        form: recording_cli::ExportForm,
    },
    /// Shows the fleet as a running node sees it.
    Fleet {
        #[command(subcommand)]
        question: fleet_cli::FleetCommand,
    },
    /// Checks configurations.
    Check {
        /// The configurations.
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// Format of diagnostics.
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
        /// Treat warnings as mistakes.
        #[arg(long)]
        deny_warnings: bool,
    },
    /// Formats files; included ones must be named.
    Fmt {
        /// The files.
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// Change nothing, and name the files that would change.
        #[arg(long)]
        check: bool,
    },
    /// Shows how two configurations differ in meaning.
    Diff {
        /// The old configuration.
        old: PathBuf,
        /// The new one.
        new: PathBuf,
    },
    /// Shows which route a request takes, and why.
    Explain {
        /// The configuration.
        file: PathBuf,
        /// `METHOD http://HOST/PATH`, quoted or as two words.
        #[arg(required = true)]
        request: Vec<String>,
        /// A header, as `NAME: VALUE`.
        #[arg(long, short = 'H')]
        header: Vec<String>,
    },
}

/// Carries out a command; `run` returns when the process ends.
///
/// # Errors
/// Why the command failed.
pub fn run(command: Command) -> Result<ExitCode, Box<dyn Error>> {
    match command {
        Command::Run { file, record } => serve(file, record),
        Command::Trace { address, out } => recording_cli::fetch(address, &out).map(|()| ExitCode::SUCCESS),
        Command::Why(arguments) => arguments.run().map(|()| ExitCode::SUCCESS),
        Command::Fleet { question } => fleet_cli::run(&question).map(|()| ExitCode::SUCCESS),
        Command::Export { file, form } => recording_cli::export(&file, form).map(|()| ExitCode::SUCCESS),
        Command::Check { files, format, deny_warnings } => Ok(check_all(&files, format, deny_warnings)),
        Command::Fmt { files, check } => format_all(&files, check),
        Command::Diff { old, new } => Ok(compare(&old, &new)),
        Command::Explain { file, request, header } => {
            let request = Request::parse(&request.join(" "), &header)?;
            let Some(loaded) = load_valid(&file) else { return Ok(ExitCode::from(EXIT_MISTAKES)) };
            print(&explain(&loaded.config, &loaded.sources, &request)?);
            Ok(ExitCode::SUCCESS)
        }
    }
}

fn serve(file: PathBuf, record: Option<PathBuf>) -> Result<ExitCode, Box<dyn Error>> {
    let loaded = LoadedConfig::load_first(file.clone())?;
    let checked = loaded.checked();
    report(&checked.sources, &checked.diagnostics, Format::Text);
    if checked.config.is_none() {
        return Ok(ExitCode::from(EXIT_MISTAKES));
    }
    let (log, _flush) = log::start_with_thread();
    crate::block_on(crate::standalone::serve(file, loaded, record, log))?;
    Ok(ExitCode::SUCCESS)
}

/// The exit code of a command that failed.
pub fn failure() -> ExitCode {
    ExitCode::from(EXIT_FAILED)
}

fn check_all(files: &[PathBuf], format: Format, deny_warnings: bool) -> ExitCode {
    let mut all_valid = true;
    for file in files {
        let checked = check(&Disk, file);
        report(&checked.sources, &checked.diagnostics, format);
        let tolerated = !deny_warnings || checked.diagnostics.is_empty();
        all_valid &= checked.config.is_some() && tolerated;
        if format == Format::Text {
            let count = |severity| checked.diagnostics.iter().filter(|d| d.severity == severity).count();
            let (errors, warnings) = (count(Severity::Error), count(Severity::Warning));
            let verdict = if errors == 0 { "ok".into() } else { format!("{errors} mistakes") };
            let note = if warnings == 0 { String::new() } else { format!(", {warnings} warnings") };
            print(&format!("{}: {verdict}{note}\n", file.display()));
        }
    }
    if all_valid { ExitCode::SUCCESS } else { ExitCode::from(EXIT_MISTAKES) }
}

fn format_all(files: &[PathBuf], only_check: bool) -> Result<ExitCode, Box<dyn Error>> {
    let (mut any_invalid, mut any_difference) = (false, false);
    for file in files {
        let bytes = Disk.read(file).map_err(|fault| format!("{}: {fault}", file.display()))?;
        let text = String::from_utf8(bytes).map_err(|_| format!("{}: not UTF-8", file.display()))?;
        match format(&text) {
            Err(faults) => {
                let mut sources = Sources::default();
                sources.add(file, text.strip_prefix('\u{feff}').unwrap_or(&text).to_owned());
                report(&sources, &faults, Format::Text);
                any_invalid = true;
            }
            Ok(formatted) if formatted == text => {}
            Ok(_) if only_check => {
                print(&format!("{}\n", file.display()));
                any_difference = true;
            }
            Ok(formatted) => replace(file, &formatted)?,
        }
    }
    Ok(match (any_invalid, any_difference) {
        (true, _) => ExitCode::from(EXIT_MISTAKES),
        (false, true) => ExitCode::from(EXIT_DIFFERENCE),
        (false, false) => ExitCode::SUCCESS,
    })
}

/// Replaces a file as a whole: a node may read it at any moment.
fn replace(file: &Path, text: &str) -> Result<(), Box<dyn Error>> {
    // The target of a symbolic link is replaced, not the link.
    let file = fs::canonicalize(file)?;
    let mut name = file.file_name().unwrap_or_default().to_owned();
    name.push(format!(".{}.new", std::process::id()));
    let new_path = file.with_file_name(name);
    let written = fs::write(&new_path, text)
        .and_then(|()| fs::set_permissions(&new_path, fs::metadata(&file)?.permissions()))
        .and_then(|()| fs::rename(&new_path, &file));
    if written.is_err() {
        let _ = fs::remove_file(&new_path);
    }
    written.map_err(|error| format!("{}: {error}", file.display()).into())
}

/// A configuration without mistakes, and its source texts.
struct ValidConfig {
    config: Config,
    sources: Sources,
}

/// Checks a configuration; `None` where it has mistakes, which are reported.
fn load_valid(file: &Path) -> Option<ValidConfig> {
    let checked = check(&Disk, file);
    let is_error = |diagnostic: &&Diagnostic| diagnostic.severity == Severity::Error;
    let errors: Vec<_> = checked.diagnostics.iter().filter(is_error).cloned().collect();
    report(&checked.sources, &errors, Format::Text);
    Some(ValidConfig { config: checked.config?, sources: checked.sources })
}

fn compare(old: &Path, new: &Path) -> ExitCode {
    let (Some(old), Some(new)) = (load_valid(old), load_valid(new)) else {
        return ExitCode::from(EXIT_MISTAKES);
    };
    let changes = diff(&old.config, &new.config);
    for change in &changes {
        let sources = if change.kind == ChangeKind::Removed { &old.sources } else { &new.sources };
        print(&format!("{}\n", DisplayChange { change, sources }));
    }
    if changes.is_empty() { ExitCode::SUCCESS } else { ExitCode::from(EXIT_DIFFERENCE) }
}
