//! A change as a line of text.

use std::fmt;

use super::{Change, ChangeKind};
use crate::span::{Sources, Span};

/// Maximum number of affected entries that a line lists.
const MAX_LISTED: usize = 4;

/// Displays a change as a line, with its position in the file if it is known.
pub struct DisplayChange<'a> {
    /// The change.
    pub change: &'a Change,
    /// The texts that its span refers to.
    pub sources: &'a Sources,
}

impl fmt::Display for DisplayChange<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Change { entry_kind, entry_name, kind, span, affects } = self.change;
        f.write_str(entry_kind)?;
        if !entry_name.is_empty() {
            write!(f, " {entry_name}")?;
        }
        match kind {
            ChangeKind::Added => f.write_str(": added")?,
            ChangeKind::Removed => f.write_str(": removed")?,
            ChangeKind::Changed { setting, old, new } => write!(f, ": {setting} {old} -> {new}")?,
            ChangeKind::Moved { before } => {
                write!(f, ": now before route {before}, and requests fit both")?;
            }
        }
        if *span != Span::default() {
            write!(f, " ({})", self.sources.path_and_line(*span))?;
        }
        if !affects.is_empty() {
            let listed = affects.iter().take(MAX_LISTED).cloned().collect::<Vec<_>>().join(", ");
            write!(f, "; affects {listed}")?;
            if affects.len() > MAX_LISTED {
                write!(f, " and {} more", affects.len() - MAX_LISTED)?;
            }
        }
        Ok(())
    }
}
