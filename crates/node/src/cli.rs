//! The command line. Exit codes: 0 success, 1 errors in a configuration, 2 the command failed, 3 `fmt --check` or `diff`
//! found a difference.

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

/// Exit code: a configuration has errors.
const EXIT_INVALID_CONFIG: u8 = 1;
/// Exit code: a command failed, or the command line is invalid.
const EXIT_FAILED: u8 = 2;
/// Exit code: `fmt --check` or `diff` found a difference.
const EXIT_DIFFERENCE: u8 = 3;

/// A reverse proxy with priority queues, adaptive concurrency limits and latency-aware load balancing.
#[derive(Parser)]
#[command(
    name = "pumicehead",
    version,
    after_help = "Exit codes: 0 success, 1 errors in a configuration, \
    2 the command failed, 3 `fmt --check` or `diff` found a difference.\n\
    Without arguments, the node is configured by EDGE_CONFIG, which the platform sets."
)]
pub struct Arguments {
    #[command(subcommand)]
    pub command: Command,
}

#[derive(Subcommand)]
pub enum Command {
    /// Serves a configuration; SIGHUP reloads it, SIGTERM drains the node and ends the process.
    Run {
        /// The configuration file.
        file: PathBuf,
        /// Record client requests to a new file, for `pumicehead-load replay`.
        #[arg(long, value_name = "FILE")]
        record: Option<PathBuf>,
    },
    /// Fetches the flight recording of a running node.
    Trace {
        /// Admin address of the node.
        address: SocketAddr,
        /// The file to write.
        #[arg(long, short, value_name = "FILE", default_value = "pumicehead.rec")]
        out: PathBuf,
    },
    /// Analyzes a flight recording: the timeline of a request, or the causes of lost weight.
    Why(recording_cli::AnalyzeArguments),
    /// Converts a flight recording to a format that other viewers can open.
    Export {
        /// The recording file.
        file: PathBuf,
        /// The output format.
        #[arg(long = "as", value_enum)]
        format: recording_cli::ExportFormat,
    },
    /// Shows the fleet as a running node sees it.
    Fleet {
        #[command(subcommand)]
        command: fleet_cli::FleetCommand,
    },
    /// Checks configurations.
    Check {
        /// The configuration files.
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// Output format of diagnostics.
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
        /// Treat warnings as errors.
        #[arg(long)]
        deny_warnings: bool,
    },
    /// Formats configuration files in place; included files are not formatted unless they are given as well.
    Fmt {
        /// The files to format.
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// Don't change any file; list the files that would change.
        #[arg(long)]
        check: bool,
    },
    /// Shows the semantic differences between two configurations.
    Diff {
        /// The old configuration file.
        old: PathBuf,
        /// The new configuration file.
        new: PathBuf,
    },
    /// Shows which route a request takes, and why.
    Explain {
        /// The configuration file.
        file: PathBuf,
        /// The request as `METHOD http://HOST/PATH`, quoted or as two arguments.
        #[arg(required = true)]
        request: Vec<String>,
        /// A request header as `NAME: VALUE`; may be repeated.
        #[arg(long, short = 'H')]
        header: Vec<String>,
    },
}

/// Executes a command. `pumicehead run` returns when the node has drained.
///
/// # Errors
/// Returns the reason why the command failed.
pub fn run(command: Command) -> Result<ExitCode, Box<dyn Error>> {
    match command {
        Command::Run { file, record } => serve(file, record),
        Command::Trace { address, out } => recording_cli::fetch(address, &out).map(|()| ExitCode::SUCCESS),
        Command::Why(arguments) => arguments.run().map(|()| ExitCode::SUCCESS),
        Command::Fleet { command } => fleet_cli::run(&command).map(|()| ExitCode::SUCCESS),
        Command::Export { file, format } => recording_cli::export(&file, format).map(|()| ExitCode::SUCCESS),
        Command::Check { files, format, deny_warnings } => Ok(check_all(&files, format, deny_warnings)),
        Command::Fmt { files, check } => format_all(&files, check),
        Command::Diff { old, new } => Ok(compare(&old, &new)),
        Command::Explain { file, request, header } => {
            let request = Request::parse(&request.join(" "), &header)?;
            let Some(loaded) = load_valid(&file) else { return Ok(ExitCode::from(EXIT_INVALID_CONFIG)) };
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
        return Ok(ExitCode::from(EXIT_INVALID_CONFIG));
    }
    let (log, _flush) = log::start_with_thread();
    crate::block_on(crate::standalone::serve(file, loaded, record, log))?;
    Ok(ExitCode::SUCCESS)
}

/// Returns the exit code for a failed command.
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
            let error_summary = if errors == 0 { "ok".into() } else { format!("{errors} errors") };
            let warning_summary =
                if warnings == 0 { String::new() } else { format!(", {warnings} warnings") };
            print(&format!("{}: {error_summary}{warning_summary}\n", file.display()));
        }
    }
    if all_valid { ExitCode::SUCCESS } else { ExitCode::from(EXIT_INVALID_CONFIG) }
}

fn format_all(files: &[PathBuf], only_check: bool) -> Result<ExitCode, Box<dyn Error>> {
    let (mut any_invalid, mut any_difference) = (false, false);
    for file in files {
        let bytes = Disk.read(file).map_err(|error| format!("{}: {error}", file.display()))?;
        let text = String::from_utf8(bytes).map_err(|_| format!("{}: not UTF-8", file.display()))?;
        match format(&text) {
            Err(diagnostics) => {
                let mut sources = Sources::default();
                sources.add(file, text.strip_prefix('\u{feff}').unwrap_or(&text).to_owned());
                report(&sources, &diagnostics, Format::Text);
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
        (true, _) => ExitCode::from(EXIT_INVALID_CONFIG),
        (false, true) => ExitCode::from(EXIT_DIFFERENCE),
        (false, false) => ExitCode::SUCCESS,
    })
}

/// Replaces a file atomically, since a node may read it at any time.
fn replace(file: &Path, text: &str) -> Result<(), Box<dyn Error>> {
    // Replaces the target of a symbolic link, not the link itself.
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

/// A configuration without errors, and its source texts.
struct ValidConfig {
    config: Config,
    sources: Sources,
}

/// Loads and checks a configuration. If it has errors, reports them and returns `None`; warnings are not reported.
fn load_valid(file: &Path) -> Option<ValidConfig> {
    let checked = check(&Disk, file);
    let is_error = |diagnostic: &&Diagnostic| diagnostic.severity == Severity::Error;
    let errors: Vec<_> = checked.diagnostics.iter().filter(is_error).cloned().collect();
    report(&checked.sources, &errors, Format::Text);
    Some(ValidConfig { config: checked.config?, sources: checked.sources })
}

fn compare(old: &Path, new: &Path) -> ExitCode {
    let (Some(old), Some(new)) = (load_valid(old), load_valid(new)) else {
        return ExitCode::from(EXIT_INVALID_CONFIG);
    };
    let changes = diff(&old.config, &new.config);
    for change in &changes {
        let sources = if change.kind == ChangeKind::Removed { &old.sources } else { &new.sources };
        print(&format!("{}\n", DisplayChange { change, sources }));
    }
    if changes.is_empty() { ExitCode::SUCCESS } else { ExitCode::from(EXIT_DIFFERENCE) }
}
