//! The configuration language of a standalone node.
//!
//! [`load`] reads a file and its includes through [`Files`], [`syntax`] parses them to trees that keep
//! comments and spans, and `check` converts the trees to a [`Config`] or to [`Diagnostic`]s.
//! [`format`](mod@format) works on trees, and [`diff`](mod@diff) on configurations. The grammar is in
//! `docs/grammar.ebnf`.
//!
//! Only [`disk`], which implements [`Files`], does I/O.

mod check;
pub mod compact_config;
pub mod diagnostic;
pub mod diff;
pub mod disk;
pub mod explain;
pub mod format;
mod keywords;
pub mod lexer;
pub mod load;
pub mod model;
pub mod route_table;
mod snapshot;
pub mod span;
pub mod syntax;
pub mod units;

pub use diagnostic::{Diagnostic, Severity};
pub use load::{Files, ReadError};
pub use model::Config;
pub use span::{FileId, Sources, Span};

use std::path::Path;

/// The result of a check.
pub struct Checked {
    /// The texts that spans refer to.
    pub sources: Sources,
    /// Errors and warnings, in the order of their spans.
    pub diagnostics: Vec<Diagnostic>,
    /// The configuration; `None` if a diagnostic is an error.
    pub config: Option<Config>,
}

/// Reads and checks a configuration. Every problem is reported as a diagnostic, also when the limits of
/// [`load`] on the size and the number of files are exceeded.
pub fn check(files: &dyn Files, path: &Path) -> Checked {
    let loaded = load::load(files, path);
    let (sources, mut diagnostics) = (loaded.sources, loaded.diagnostics);
    // Checks of an incomplete tree would report what was not read as missing.
    let config = diagnostics.is_empty().then(|| check::check(&loaded.statements, &mut diagnostics));
    diagnostic::sort_and_dedup(&mut diagnostics);
    let failed = diagnostics.iter().any(|diagnostic| diagnostic.severity == Severity::Error);
    Checked { sources, diagnostics, config: config.flatten().filter(|_| !failed) }
}
