//! The command line. Exit codes: 0 all is well, 1 mistakes in a configuration, 2 a command or request that can't be
//! carried out, 3 `fmt --check` or `diff` found a difference.

use std::error::Error;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use pumicehead_config::diff::{Shown, diff};
use pumicehead_config::disk::Disk;
use pumicehead_config::explain::{Request, explain};
use pumicehead_config::format::format;
use pumicehead_config::{Checked, Config, Files, Severity, Sources, check};

use crate::report::{Format, print, report};
use crate::standalone::LoadedConfig;
use crate::{fleet_cli, log, recording_cli};

/// A configuration with mistakes.
const MISTAKES: u8 = 1;
/// What can't be carried out; the command line's own mistakes have it too.
const FAILED: u8 = 2;
/// Something differs.
const DIFFERS: u8 = 3;

/// A reverse proxy: worth-ranked queues, learned in-flight limits, latency-weighted pick.
#[derive(Parser)]
#[command(
    name = "pumicehead",
    version,
    after_help = "Exit codes: 0 all is well, 1 mistakes in a configuration, \
    2 can't be carried out, 3 `fmt --check` or `diff` found a difference.\n\
    Started with no arguments it reads EDGE_CONFIG, as the platform has it."
)]
pub struct Arguments {
    #[command(subcommand)]
    pub command: Command,
}

#[derive(Subcommand)]
pub enum Command {
    /// Serves what a file says; SIGHUP reads it again, SIGTERM ends in order.
    Run {
        /// The configuration.
        file: PathBuf,
        /// Writes what is asked to a new file, in the form that `pumicehead-load replay` plays.
        #[arg(long, value_name = "FILE")]
        record: Option<PathBuf>,
    },
    /// Fetches the recording of a running node from where it takes calls.
    Trace {
        /// Where it takes calls.
        address: SocketAddr,
        /// Where it is put.
        #[arg(long, short, value_name = "FILE", default_value = "pumicehead.rec")]
        out: PathBuf,
    },
    /// Says why, from a recording: what became of one request, or what worth was lost to.
    Why(recording_cli::AnalyzeArguments),
    /// Writes a recording in a form that other viewers open.
    Export {
        /// The recording.
        file: PathBuf,
        /// Which form.
        #[arg(long = "as", value_enum)]
        form: recording_cli::ExportForm,
    },
    /// The fleet as a running node sees it.
    Fleet {
        #[command(subcommand)]
        question: fleet_cli::Question,
    },
    /// Checks configurations.
    Check {
        /// The configurations.
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// How mistakes are written.
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
        /// Warnings count as mistakes.
        #[arg(long)]
        deny_warnings: bool,
    },
    /// Writes files in the one layout; included ones have to be named.
    Fmt {
        /// The files.
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// Changes nothing, and names the files that it would.
        #[arg(long)]
        check: bool,
    },
    /// Shows what differs in meaning.
    Diff {
        /// The old configuration.
        old: PathBuf,
        /// The new one.
        new: PathBuf,
    },
    /// Says which route a request takes, and why.
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

/// Carries out all commands but `run`, for which it gives the checked configuration back.
///
/// # Errors
/// What can't be carried out.
pub fn carry_out(command: Command) -> Result<ExitCode, Box<dyn Error>> {
    match command {
        Command::Run { file, record } => {
            let loaded = LoadedConfig::load_first(file.clone())?;
            let checked = loaded.checked();
            report(&checked.sources, &checked.diagnostics, Format::Text);
            if checked.config.is_none() {
                return Ok(ExitCode::from(MISTAKES));
            }
            let (log, _flush) = log::start_with_thread();
            crate::block_on(crate::standalone::serve(file, loaded, record, log))?;
            Ok(ExitCode::SUCCESS)
        }
        Command::Trace { address, out } => recording_cli::fetch(address, &out).map(|()| ExitCode::SUCCESS),
        Command::Why(why) => why.tell().map(|()| ExitCode::SUCCESS),
        Command::Fleet { question } => fleet_cli::tell(&question).map(|()| ExitCode::SUCCESS),
        Command::Export { file, form } => recording_cli::export(&file, form).map(|()| ExitCode::SUCCESS),
        Command::Check { files, format, deny_warnings } => Ok(check_all(&files, format, deny_warnings)),
        Command::Fmt { files, check } => format_all(&files, check),
        Command::Diff { old, new } => Ok(compare(&old, &new)),
        Command::Explain { file, request, header } => {
            let request = Request::parse(&request.join(" "), &header)?;
            let Some((checked, config)) = sound(&file) else { return Ok(ExitCode::from(MISTAKES)) };
            print(&explain(&config, &checked.sources, &request)?);
            Ok(ExitCode::SUCCESS)
        }
    }
}

/// The code for what can't be carried out.
pub fn failed() -> ExitCode {
    ExitCode::from(FAILED)
}

fn check_all(files: &[PathBuf], format: Format, deny_warnings: bool) -> ExitCode {
    let mut sound = true;
    for file in files {
        let checked = check(&Disk, file);
        report(&checked.sources, &checked.diagnostics, format);
        let tolerated = !deny_warnings || checked.diagnostics.is_empty();
        sound &= checked.config.is_some() && tolerated;
        if format == Format::Text {
            let count = |severity| checked.diagnostics.iter().filter(|one| one.severity == severity).count();
            let (errors, warnings) = (count(Severity::Error), count(Severity::Warning));
            let said = if errors == 0 { "ok".into() } else { format!("{errors} mistakes") };
            let warned = if warnings == 0 { String::new() } else { format!(", {warnings} warnings") };
            print(&format!("{}: {said}{warned}\n", file.display()));
        }
    }
    if sound { ExitCode::SUCCESS } else { ExitCode::from(MISTAKES) }
}

fn format_all(files: &[PathBuf], only_check: bool) -> Result<ExitCode, Box<dyn Error>> {
    let (mut broken, mut differs) = (false, false);
    for file in files {
        let bytes = Disk.read(file).map_err(|fault| format!("{}: {fault}", file.display()))?;
        let text = String::from_utf8(bytes).map_err(|_| format!("{}: not UTF-8", file.display()))?;
        match format(&text) {
            Err(faults) => {
                let mut sources = Sources::default();
                sources.add(file, text.strip_prefix('\u{feff}').unwrap_or(&text).to_owned());
                report(&sources, &faults, Format::Text);
                broken = true;
            }
            Ok(formatted) if formatted == text => {}
            Ok(_) if only_check => {
                print(&format!("{}\n", file.display()));
                differs = true;
            }
            Ok(formatted) => replace(file, &formatted)?,
        }
    }
    Ok(match (broken, differs) {
        (true, _) => ExitCode::from(MISTAKES),
        (false, true) => ExitCode::from(DIFFERS),
        (false, false) => ExitCode::SUCCESS,
    })
}

/// A node may read the file at any moment: it is replaced as a whole.
fn replace(file: &Path, text: &str) -> Result<(), Box<dyn Error>> {
    // A link stays a link.
    let file = fs::canonicalize(file)?;
    let mut name = file.file_name().unwrap_or_default().to_owned();
    name.push(format!(".{}.new", std::process::id()));
    let fresh = file.with_file_name(name);
    let written = fs::write(&fresh, text)
        .and_then(|()| fs::set_permissions(&fresh, fs::metadata(&file)?.permissions()))
        .and_then(|()| fs::rename(&fresh, &file));
    if written.is_err() {
        let _ = fs::remove_file(&fresh);
    }
    written.map_err(|error| format!("{}: {error}", file.display()).into())
}

/// A configuration that can be used; mistakes are reported.
fn sound(file: &Path) -> Option<(Checked, Config)> {
    let mut checked = check(&Disk, file);
    let errors: Vec<_> =
        checked.diagnostics.iter().filter(|one| one.severity == Severity::Error).cloned().collect();
    report(&checked.sources, &errors, Format::Text);
    let config = checked.config.take()?;
    Some((checked, config))
}

fn compare(old: &Path, new: &Path) -> ExitCode {
    let (Some((before, old)), Some((after, new))) = (sound(old), sound(new)) else {
        return ExitCode::from(MISTAKES);
    };
    let changes = diff(&old, &new);
    for change in &changes {
        let removed = change.what == pumicehead_config::diff::What::Removed;
        let sources = if removed { &before.sources } else { &after.sources };
        print(&format!("{}\n", Shown { change, sources }));
    }
    if changes.is_empty() { ExitCode::SUCCESS } else { ExitCode::from(DIFFERS) }
}
