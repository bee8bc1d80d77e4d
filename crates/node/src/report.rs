//! What the command line says: results to standard output, mistakes to standard error.

use std::io::{IsTerminal, Write};

use clap::ValueEnum;
use pumicehead_config::diagnostic::{self, MAX_SHOWN};
use pumicehead_config::{Diagnostic, Sources};

/// How mistakes are written.
#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Format {
    /// For people, with the source lines, to standard error.
    Text,
    /// For editors: one object a line, to standard output.
    Json,
}

/// Writes messages, the first of very many.
pub fn report(sources: &Sources, diagnostics: &[Diagnostic], format: Format) {
    match format {
        Format::Json => {
            for one in diagnostics {
                if let Ok(line) = serde_json::to_string(&diagnostic::json(sources, one)) {
                    print(&(line + "\n"));
                }
            }
        }
        Format::Text => {
            let styled = std::io::stderr().is_terminal();
            for one in diagnostics.iter().take(MAX_SHOWN) {
                error(&format!("{}\n", diagnostic::render(sources, one, styled)));
            }
            if diagnostics.len() > MAX_SHOWN {
                error(&format!("and {} more", diagnostics.len() - MAX_SHOWN));
            }
        }
    }
}

/// Whoever reads may have gone, as `head` does; that is no fault.
pub fn print(text: &str) {
    let _ = std::io::stdout().write_all(text.as_bytes());
}

/// A line to standard error.
pub fn error(text: &str) {
    let _ = writeln!(std::io::stderr(), "{text}");
}
