//! Command line output: results go to standard output, diagnostics to standard error.

use std::io::{IsTerminal, Write};

use clap::ValueEnum;
use pumicehead_config::diagnostic::{self, MAX_SHOWN};
use pumicehead_config::{Diagnostic, Sources};

/// Output format of diagnostics.
#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Format {
    /// Text with source excerpts, to standard error.
    Text,
    /// One JSON object per line, to standard output.
    Json,
}

/// Writes diagnostics. In text format, at most [`MAX_SHOWN`] of them are written.
pub fn report(sources: &Sources, diagnostics: &[Diagnostic], format: Format) {
    match format {
        Format::Json => {
            for diagnostic in diagnostics {
                if let Ok(line) = serde_json::to_string(&diagnostic::json(sources, diagnostic)) {
                    print(&(line + "\n"));
                }
            }
        }
        Format::Text => {
            let is_styled = std::io::stderr().is_terminal();
            for diagnostic in diagnostics.iter().take(MAX_SHOWN) {
                print_error(&format!("{}\n", diagnostic::render(sources, diagnostic, is_styled)));
            }
            if diagnostics.len() > MAX_SHOWN {
                print_error(&format!("and {} more", diagnostics.len() - MAX_SHOWN));
            }
        }
    }
}

/// Writes to standard output. Write errors are ignored, as a closed pipe (such as to `head`) is not a failure.
pub fn print(text: &str) {
    let _ = std::io::stdout().write_all(text.as_bytes());
}

/// Writes a line to standard error, ignoring write errors.
pub fn print_error(text: &str) {
    let _ = writeln!(std::io::stderr(), "{text}");
}
