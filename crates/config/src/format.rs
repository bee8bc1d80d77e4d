//! The formatter: indents by four spaces per level, with one space between words and at most one empty line
//! in a row. Comments, quotes and the order of statements are kept.

use crate::diagnostic::Diagnostic;
use crate::span::{FileId, Span};
use crate::syntax::{Block, Statement, Tree, Trivia, parse};

const INDENT: &str = "    ";

/// Formats a text. Removes a byte order mark and carriage returns.
///
/// # Errors
/// Those of [`parse`].
pub fn format(text: &str) -> Result<String, Vec<Diagnostic>> {
    let text = text.strip_prefix('\u{feff}').unwrap_or(text);
    let tree = parse(FileId(0), text)?;
    let mut printer = Printer { text, out: String::with_capacity(text.len()) };
    printer.body(&tree, 0);
    Ok(printer.out)
}

struct Printer<'a> {
    text: &'a str,
    out: String,
}

impl Printer<'_> {
    fn body(&mut self, tree: &Tree, depth: usize) {
        self.statements(&tree.statements, depth);
        self.trivia(&tree.after, depth, tree.statements.is_empty(), true);
    }

    fn source_text(&mut self, span: Span) {
        self.out.push_str(self.text[span.range()].trim_end());
    }

    fn indent(&mut self, depth: usize) {
        self.out.push_str(&INDENT.repeat(depth));
    }

    /// Prints comments and empty lines, except for empty lines at the start and the end of a block.
    fn trivia(&mut self, trivia: &[Trivia], depth: usize, first: bool, last: bool) {
        let mut at_start = first;
        for (index, item) in trivia.iter().enumerate() {
            match item {
                Trivia::Comment(span) => {
                    self.indent(depth);
                    self.source_text(*span);
                    self.out.push('\n');
                    at_start = false;
                }
                Trivia::Blank => {
                    let at_end = last && index + 1 == trivia.len();
                    if !at_start && !at_end {
                        self.out.push('\n');
                    }
                }
            }
        }
    }

    fn statements(&mut self, statements: &[Statement], depth: usize) {
        for (index, statement) in statements.iter().enumerate() {
            self.trivia(&statement.before, depth, index == 0, false);
            self.indent(depth);
            for (index, word) in statement.words.iter().enumerate() {
                if index > 0 {
                    self.out.push(' ');
                }
                self.source_text(word.span);
            }
            if let Some(block) = &statement.block {
                self.block(block, depth);
            }
            self.comment(statement.comment);
            self.out.push('\n');
        }
    }

    fn comment(&mut self, comment: Option<Span>) {
        if let Some(span) = comment {
            self.out.push_str("  ");
            self.source_text(span);
        }
    }

    fn block(&mut self, block: &Block, depth: usize) {
        self.out.push_str(" {");
        let comments = block.after.iter().any(|item| matches!(item, Trivia::Comment(_)));
        if block.statements.is_empty() && block.comment.is_none() && !comments {
            self.out.push('}');
            return;
        }
        self.comment(block.comment);
        self.out.push('\n');
        self.statements(&block.statements, depth + 1);
        self.trivia(&block.after, depth + 1, block.statements.is_empty(), true);
        self.indent(depth);
        self.out.push('}');
    }
}
