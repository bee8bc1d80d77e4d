//! The configuration language of a standalone node.
//!
//! [`load`] reads a file and its includes through [`Files`], [`syntax`] parses them to trees that keep
//! comments and spans, `check` turns these into a [`Config`] or into [`Diagnostic`]s, and
//! [`format`](mod@format) and [`diff`](mod@diff) work on trees and on configurations. The grammar is in
//! `docs/grammar.ebnf`.
//!
//! Nothing here does I/O but [`disk`], which implements [`Files`].

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

/// Reads and checks a configuration. Every problem is reported as a diagnostic; [`load`] has limits on the
/// size and the number of files.
pub fn check(files: &dyn Files, path: &Path) -> Checked {
    let loaded = load::load(files, path);
    let (sources, mut diagnostics) = (loaded.sources, loaded.diagnostics);
    // An incomplete tree would give diagnostics about what was not read.
    let config = diagnostics.is_empty().then(|| check::check(&loaded.statements, &mut diagnostics));
    diagnostic::sort_and_dedup(&mut diagnostics);
    let failed = diagnostics.iter().any(|diagnostic| diagnostic.severity == Severity::Error);
    Checked { sources, diagnostics, config: config.flatten().filter(|_| !failed) }
}
