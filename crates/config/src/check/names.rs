//! Reads blocks and the names that they define.

use std::collections::HashMap;

use super::Checker;
use super::block_reader::BlockReader;
use crate::diagnostic::{Diagnostic, nearest};
use crate::span::Span;
use crate::syntax::{Statement, Word};

/// Maximum number of entries of one kind: the decision module has 16-bit numbers for classes and zones.
const MAX_ENTRIES: usize = 20_000;
/// Longest name, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Where a name is defined.
#[derive(Clone, Copy)]
pub(super) struct Definition {
    /// Index of the entry among those of its kind.
    index: usize,
    span: Span,
}

/// The names of one kind.
pub(super) type Names = HashMap<String, Definition>;

impl Checker<'_> {
    /// Reads the blocks of a kind with names, and defines the names.
    pub(super) fn named_blocks<'s>(
        &mut self,
        kind: &'static str,
        statements: &[&'s Statement],
    ) -> Vec<BlockReader<'s>> {
        let mut names = Names::new();
        let mut blocks = Vec::new();
        for statement in statements {
            let Some(block) = self.read_block(kind, statement, true) else { continue };
            if blocks.len() == MAX_ENTRIES {
                let message = format!("more than {MAX_ENTRIES} `{kind}` blocks");
                self.report(Diagnostic::error("too-many", block.spans.name, message));
                break;
            }
            let word = &statement.words[1];
            if let Some(first) = names.get(&block.name) {
                self.report(defined_twice(kind, word, first.span));
                continue;
            }
            names.insert(block.name.clone(), Definition { index: blocks.len(), span: word.span });
            blocks.push(block);
        }
        self.names.insert(kind, names);
        blocks
    }

    /// Reads a block of a kind of which there may be at most one.
    pub(super) fn single_block<T>(
        &mut self,
        kind: &'static str,
        statements: &[&Statement],
        read: impl Fn(&mut Self, &BlockReader<'_>) -> T,
    ) -> Option<T> {
        let (first, others) = statements.split_first()?;
        if let Some(other) = others.first() {
            let message = format!("a second `{kind}` block");
            let diagnostic = Diagnostic::error("defined-twice", other.name().span, message);
            self.report(diagnostic.note(first.name().span, "first defined here"));
        }
        let block = self.read_block(kind, first, false)?;
        Some(read(self, &block))
    }

    /// The index of the entry that a name refers to.
    pub(super) fn index_of(&mut self, kind: &'static str, word: &Word) -> Option<usize> {
        let names = self.names.get(kind)?;
        if let Some(definition) = names.get(&*word.text) {
            return Some(definition.index);
        }
        let help = match nearest(&word.text, names.keys().map(String::as_str)) {
            Some(similar) => format!("did you mean `{similar}`?"),
            None => format!("write a block `{kind} {} {{ ... }}`", word.text),
        };
        let message = format!("there is no {kind} `{}`", word.text);
        self.report(Diagnostic::error("unknown-name", word.span, message).help(help));
        None
    }
}

/// Whether a text is a valid name of an entry.
pub(super) fn is_name(text: &str) -> bool {
    let inside = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    let first = text.bytes().next().is_some_and(|b| b.is_ascii_alphabetic());
    first && text.len() <= MAX_NAME_BYTES && text.bytes().all(inside)
}

/// The error for a word that is not a valid name.
pub(super) fn invalid_name(word: &Word, kind: &str) -> Diagnostic {
    let message = format!("`{}` is not a valid name for a {kind}", word.text);
    Diagnostic::error("bad-name", word.span, message).help(format!(
        "a name begins with a letter, followed by letters, digits, `-`, `_` and `.`, and has at most {MAX_NAME_BYTES} characters"
    ))
}

/// The error for a name that is defined a second time.
pub(super) fn defined_twice(kind: &str, word: &Word, first: Span) -> Diagnostic {
    let message = format!("the {kind} `{}` is defined twice", word.text);
    Diagnostic::error("defined-twice", word.span, message).note(first, "first defined here")
}
