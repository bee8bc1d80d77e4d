//! Reads the settings of a block, and checks their number and their form.

use super::names::{invalid_name, is_name};
use super::schema::{Setting, settings_of};
use super::{AlreadyReported, Checker};
use crate::diagnostic::Diagnostic;
use crate::model::EntrySpans;
use crate::syntax::{Block, Statement, Word};
use crate::units::{DURATION_UNITS, SIZE_UNITS, ValueError};

/// A block and its settings.
pub(super) struct BlockReader<'s> {
    pub kind: &'static str,
    /// Empty for a kind of block without names.
    pub name: String,
    pub spans: EntrySpans,
    /// Settings in the order of the file. A list takes less memory than a map: a block has few settings, and
    /// there may be thousands of blocks.
    settings: Vec<(&'static str, &'s Statement)>,
}

impl<'s> BlockReader<'s> {
    /// All statements of a setting.
    pub fn statements(&self, keyword: &str) -> Vec<&'s Statement> {
        let statements = self.settings.iter().filter(|(setting, _)| *setting == keyword);
        statements.map(|(_, statement)| *statement).collect()
    }

    /// Whether a setting is present.
    pub fn has(&self, keyword: &str) -> bool {
        self.first(keyword).is_some()
    }

    /// The first statement of a setting.
    fn first(&self, keyword: &str) -> Option<&'s Statement> {
        let found = self.settings.iter().find(|(setting, _)| *setting == keyword);
        found.map(|(_, statement)| *statement)
    }
}

impl Checker<'_> {
    /// Reads the name and the settings of a block; `None` if the block or its name is missing or invalid.
    pub(super) fn read_block<'s>(
        &mut self,
        kind: &'static str,
        statement: &'s Statement,
        named: bool,
    ) -> Option<BlockReader<'s>> {
        let form = if named { format!("`{kind} NAME {{ ... }}`") } else { format!("`{kind} {{ ... }}`") };
        let name = self.block_name(kind, statement, named, &form)?;
        let Some(block) = &statement.block else {
            let message = format!("a {kind} without a block");
            self.report(Diagnostic::error("block-form", statement.span(), message).help(form));
            return None;
        };
        let name_span = name.map_or(statement.name().span, |name| name.span);
        let mut reader = BlockReader {
            kind,
            name: name.map(|name| name.text.to_string()).unwrap_or_default(),
            spans: EntrySpans { name: name_span, ..EntrySpans::default() },
            settings: Vec::with_capacity(block.statements.len()),
        };
        self.read_settings(&mut reader, block);
        Some(reader)
    }

    /// The name of a block: `Some(None)` for a kind without names, `None` if it is missing or invalid, or if
    /// there are other words.
    fn block_name<'s>(
        &mut self,
        kind: &str,
        statement: &'s Statement,
        named: bool,
        form: &str,
    ) -> Option<Option<&'s Word>> {
        let name = match (named, &statement.words[1..]) {
            (false, []) => return Some(None),
            (true, [name]) => name,
            (true, []) => {
                let message = format!("a {kind} without a name");
                let diagnostic = Diagnostic::error("block-form", statement.name().span, message);
                self.report(diagnostic.help(form));
                return None;
            }
            (_, [.., extra]) => {
                let message = format!("unexpected word `{}` at the start of a `{kind}` block", extra.text);
                self.report(Diagnostic::error("block-form", extra.span, message).help(form));
                return None;
            }
        };
        if !is_name(&name.text) {
            self.report(invalid_name(name, kind));
            return None;
        }
        Some(Some(name))
    }

    fn read_settings<'s>(&mut self, reader: &mut BlockReader<'s>, block: &'s Block) {
        let kind = reader.kind;
        let known = settings_of(kind);
        let mut first_statements: Vec<Option<&Statement>> = vec![None; known.len()];
        for statement in &block.statements {
            let word = statement.name();
            let index = known.iter().position(|setting| *setting.keyword == *word.text && !word.quoted);
            let Some(index) = index else {
                self.report_unknown_setting(kind, word, known);
                continue;
            };
            let setting = &known[index];
            if let Some(block) = statement.block.as_ref().filter(|_| !setting.is_block) {
                let message = format!("`{}` takes no block", setting.keyword);
                self.report(Diagnostic::error("setting-form", block.open_brace, message));
                continue;
            }
            if let Some(first) = first_statements[index].filter(|_| !setting.repeatable) {
                let message = format!("`{}` is set twice in one {kind}", setting.keyword);
                let diagnostic = Diagnostic::error("set-twice", word.span, message);
                self.report(diagnostic.note(first.name().span, "first set here"));
                continue;
            }
            reader.spans.settings.insert_first(setting.keyword, statement.span());
            first_statements[index].get_or_insert(statement);
            reader.settings.push((setting.keyword, statement));
        }
    }

    fn report_unknown_setting(&mut self, kind: &str, word: &Word, known: &[Setting]) {
        if *word.text == *"include" {
            let message = "`include` is not allowed inside of a block";
            self.report(Diagnostic::error("include-form", word.span, message));
        } else {
            let what = format!("is not a setting of a `{kind}` block");
            self.report_unknown_word(word, &what, known.iter().map(|setting| setting.keyword));
        }
    }

    /// The values of a setting, with constants replaced; `Ok(None)` if it is not present.
    pub(super) fn values(
        &mut self,
        block: &BlockReader<'_>,
        keyword: &str,
    ) -> Result<Option<Vec<Word>>, AlreadyReported> {
        let Some(statement) = block.first(keyword) else { return Ok(None) };
        self.values_of(statement).map(Some)
    }

    /// The values of a statement, with constants replaced; at least one.
    pub(super) fn values_of(&mut self, statement: &Statement) -> Result<Vec<Word>, AlreadyReported> {
        let values = self.expand(&statement.words[1..]).ok_or(AlreadyReported)?;
        if values.is_empty() {
            let message = format!("`{}` has no value", statement.name().text);
            self.report(Diagnostic::error("no-value", statement.span(), message));
            return Err(AlreadyReported);
        }
        Ok(values)
    }

    /// The value of a setting that takes one value; `Ok(None)` if it is not present.
    pub(super) fn value(
        &mut self,
        block: &BlockReader<'_>,
        keyword: &str,
    ) -> Result<Option<Word>, AlreadyReported> {
        let Some(mut values) = self.values(block, keyword)? else { return Ok(None) };
        if let Some(second) = values.get(1) {
            let message = format!("`{keyword}` takes one value");
            let mut units = DURATION_UNITS.iter().chain(&SIZE_UNITS).map(|(unit, _)| *unit);
            let help = match units.any(|unit| *unit == *second.text) {
                true => format!("write `{}{}`, without a space", values[0].text, second.text),
                false => "a statement ends at the end of its line, or with `;`".into(),
            };
            self.report(Diagnostic::error("too-many-values", second.span, message).help(help));
            return Err(AlreadyReported);
        }
        Ok(Some(values.remove(0)))
    }

    /// The parsed value of a setting, or its default; `None` if the value is invalid.
    pub(super) fn parsed<T>(
        &mut self,
        block: &BlockReader<'_>,
        keyword: &str,
        default: T,
        parse: impl Fn(&str) -> Result<T, ValueError>,
    ) -> Option<T> {
        match self.value(block, keyword).ok()? {
            None => Some(default),
            Some(word) => self.read(&word, parse),
        }
    }

    /// The parsed value of a required setting; `None` if it is missing or invalid.
    pub(super) fn required<T>(
        &mut self,
        block: &BlockReader<'_>,
        keyword: &str,
        parse: impl Fn(&str) -> Result<T, ValueError>,
    ) -> Option<T> {
        match self.value(block, keyword).ok()? {
            Some(word) => self.read(&word, parse),
            None => {
                self.report_missing(block, keyword);
                None
            }
        }
    }

    /// Reports a missing required setting.
    pub(super) fn report_missing(&mut self, block: &BlockReader<'_>, keyword: &str) {
        let name = if block.name.is_empty() { String::new() } else { format!(" `{}`", block.name) };
        let message = format!("the {}{name} has no `{keyword}`", block.kind);
        self.report(Diagnostic::error("missing-setting", block.spans.name, message));
    }

    /// Parses a word; `None` if it is invalid, which is reported.
    pub(super) fn read<T>(
        &mut self,
        word: &Word,
        parse: impl Fn(&str) -> Result<T, ValueError>,
    ) -> Option<T> {
        let report = |error: ValueError| {
            let diagnostic = Diagnostic::error(error.code, word.span, error.message);
            self.report(Diagnostic { help: error.help, ..diagnostic });
        };
        parse(&word.text).map_err(report).ok()
    }

    /// The values of a setting with a form such as `SPAN from SHARE`: those at the positions of words in
    /// capital letters. The other words of the form must be present literally.
    pub(super) fn values_of_form(
        &mut self,
        block: &BlockReader<'_>,
        keyword: &str,
        form: &str,
    ) -> Result<Option<Vec<Word>>, AlreadyReported> {
        let Some(values) = self.values(block, keyword)? else { return Ok(None) };
        let parts: Vec<_> = form.split(' ').collect();
        let is_value = |part: &str| part.chars().any(char::is_uppercase);
        let part_matches = |(word, part): (&Word, &&str)| is_value(part) || *word.text == **part;
        if values.len() != parts.len() || !values.iter().zip(&parts).all(part_matches) {
            let span = values.iter().fold(values[0].span, |span, word| span.to(word.span));
            let message = format!("`{keyword}` must have the form `{keyword} {form}`");
            self.report(Diagnostic::error("setting-form", span, message));
            return Err(AlreadyReported);
        }
        let values = values.into_iter().zip(parts).filter(|(_, part)| is_value(part));
        Ok(Some(values.map(|(word, _)| word).collect()))
    }

    /// The value that a keyword stands for.
    pub(super) fn choice<T: Copy>(&mut self, word: &Word, what: &str, known: &[(&str, T)]) -> Option<T> {
        let found = known.iter().find(|(keyword, _)| **keyword == *word.text).map(|(_, value)| *value);
        if found.is_none() {
            self.report_unknown_word(word, what, known.iter().map(|(keyword, _)| *keyword));
        }
        found
    }

    /// The value that the keyword of a setting stands for, or its default.
    pub(super) fn choice_or<T: Copy>(
        &mut self,
        block: &BlockReader<'_>,
        keyword: &str,
        what: &str,
        known: &[(&str, T)],
        default: T,
    ) -> Option<T> {
        match self.value(block, keyword).ok()? {
            Some(word) => self.choice(&word, what, known),
            None => Some(default),
        }
    }
}
