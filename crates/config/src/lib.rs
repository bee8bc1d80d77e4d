//! The configuration language of a standalone node.
//!
//! [`load`] reads a file with all that it includes through [`Files`], [`syntax`] makes trees of them that keep
//! comments and places, `check` turns these into a [`Config`] or into [`Diagnostic`]s, and [`format`](mod@format)
//! and [`diff`](mod@diff) work on trees and on meaning. The grammar stands in `docs/grammar.ebnf`.
//!
//! Nothing here does I/O but [`disk`], which implements [`Files`].

mod check;
pub mod diag;
pub mod diff;
pub mod disk;
pub mod explain;
pub mod format;
pub mod kept;
pub mod lexer;
pub mod load;
pub mod model;
pub mod route_table;
pub mod span;
pub mod syntax;
mod tables;
pub mod units;

pub use diag::{Diagnostic, Severity};
pub use load::{Files, ReadFault};
pub use model::Config;
pub use span::{FileId, Sources, Span};

use std::path::Path;

/// A configuration that was read, or what keeps it from being one.
pub struct Checked {
    /// The texts, for showing places.
    pub sources: Sources,
    /// Errors and warnings, in the order of their places.
    pub diagnostics: Vec<Diagnostic>,
    /// There where no diagnostic is an error.
    pub config: Option<Config>,
}

/// Reads and checks a configuration. Bounds on size and number of files are those of [`load`]; every fault is a
/// diagnostic.
pub fn check(files: &dyn Files, path: &Path) -> Checked {
    let loaded = load::load(files, path);
    let (sources, mut diagnostics) = (loaded.sources, loaded.diagnostics);
    // A tree with a hole in it would give messages about what is not there.
    let config = diagnostics.is_empty().then(|| check::check(&loaded.statements, &mut diagnostics));
    diag::settle(&mut diagnostics);
    let broken = diagnostics.iter().any(|one| one.severity == Severity::Error);
    Checked { sources, diagnostics, config: config.flatten().filter(|_| !broken) }
}
