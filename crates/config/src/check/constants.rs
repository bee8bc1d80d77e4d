//! Constants: `const NAME VALUE` defines one, and `$NAME` stands for its value.

use super::Checker;
use super::names::{defined_twice, invalid_name, is_name};
use crate::diagnostic::{Diagnostic, nearest};
use crate::span::Span;
use crate::syntax::{Statement, Word};

/// A constant.
pub(super) struct Constant<'a> {
    words: &'a [Word],
    span: Span,
    used: bool,
}

impl<'a> Checker<'a> {
    /// Defines a constant.
    pub(super) fn define_constant(&mut self, statement: &'a Statement) {
        let [_, name, values @ ..] = &statement.words[..] else {
            let message = "`const` takes a name and a value";
            return self.report(Diagnostic::error("const-form", statement.span(), message));
        };
        if values.is_empty() || statement.block.is_some() {
            let message = format!("the constant `{}` has no value", name.text);
            let diagnostic = Diagnostic::error("const-form", name.span, message);
            return self.report(diagnostic.help("`const NAME VALUE`"));
        }
        if !is_name(&name.text) || name.quoted {
            return self.report(invalid_name(name, "constant"));
        }
        if let Some(first) = self.constants.get(&*name.text) {
            let first = first.span;
            return self.report(defined_twice("constant", name, first));
        }
        let constant = Constant { words: values, span: name.span, used: false };
        self.constants.insert(name.text.to_string(), constant);
    }

    /// Reports circular constants, once for each cycle.
    pub(super) fn check_constants(&mut self) {
        let circular = |(name, constant): (&String, &Constant<'_>)| {
            let cycle = self.cycle_from(name, constant)?;
            let message = format!("the constant refers to itself: {}", cycle.join(" -> "));
            Some(Diagnostic::error("circular-constant", constant.span, message))
        };
        let diagnostics: Vec<_> = self.constants.iter().filter_map(circular).collect();
        diagnostics.into_iter().for_each(|diagnostic| self.report(diagnostic));
    }

    /// The names of a cycle of references that begins and ends at a constant. `None` if there is none, if the
    /// constant only refers to a cycle that it is not part of, and if another constant of the cycle comes
    /// first by name: the cycle is reported at that one.
    fn cycle_from<'c>(&'c self, name: &'c str, constant: &'c Constant<'_>) -> Option<Vec<&'c str>> {
        let mut chain = vec![name];
        let mut words = constant.words;
        while let Some(next) = words.iter().find_map(referenced_constant) {
            let known = self.constants.get(next)?;
            chain.push(next);
            if next == name {
                return (chain.iter().min() == Some(&name)).then_some(chain);
            }
            if chain.len() > self.constants.len() {
                return None;
            }
            words = known.words;
        }
        None
    }

    /// Warns about unused constants.
    pub(super) fn warn_of_unused_constants(&mut self) {
        let unused = self.constants.iter().filter(|(_, constant)| !constant.used);
        let warning = |(name, constant): (&String, &Constant<'_>)| {
            Diagnostic::warning("unused", constant.span, format!("the constant `{name}` is not used"))
        };
        let warnings: Vec<_> = unused.map(warning).collect();
        warnings.into_iter().for_each(|warning| self.report(warning));
    }

    /// Replaces constants with their values; `None` if one is unknown or circular.
    pub(super) fn expand(&mut self, words: &[Word]) -> Option<Vec<Word>> {
        let mut expanded = Vec::new();
        self.expand_into(words, &mut expanded, 0).then_some(expanded)
    }

    fn expand_into(&mut self, words: &[Word], expanded: &mut Vec<Word>, depth: usize) -> bool {
        words.iter().all(|word| {
            let Some(name) = referenced_constant(word) else {
                expanded.push(word.clone());
                return true;
            };
            let count = self.constants.len();
            let Some(constant) = self.constants.get_mut(name) else {
                self.report_unknown_constant(word, name);
                return false;
            };
            constant.used = true;
            let words = constant.words;
            // A depth above the number of constants means a cycle, which is reported at its definition.
            depth <= count && self.expand_into(words, expanded, depth + 1)
        })
    }

    fn report_unknown_constant(&mut self, word: &Word, name: &str) {
        let known: Vec<_> = self.constants.keys().map(|known| format!("${known}")).collect();
        let similar = nearest(&word.text, known.iter().map(String::as_str));
        let message = format!("there is no constant `{name}`");
        let mut diagnostic = Diagnostic::error("unknown-name", word.span, message);
        if let Some(similar) = similar {
            diagnostic = diagnostic.help(format!("did you mean `{similar}`?"));
        }
        self.report(diagnostic);
    }
}

/// The name of the constant that a word refers to, if any.
pub(super) fn referenced_constant(word: &Word) -> Option<&str> {
    word.text.strip_prefix('$').filter(|_| !word.quoted)
}
