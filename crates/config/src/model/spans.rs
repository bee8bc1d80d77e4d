//! The positions of entries and settings in the configuration files.

use std::ops::{Deref, Index};

use crate::span::Span;

/// Spans of an entry: of its name, and of each explicit setting.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EntrySpans {
    /// Span of the name.
    pub name: Span,
    /// Spans of the settings, by keyword.
    pub settings: SettingSpans,
}

/// Spans of explicit settings, sorted by keyword. A sorted list takes less memory than a map: an entry has
/// few settings, and there may be thousands of entries.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SettingSpans(Vec<(&'static str, Span)>);

impl SettingSpans {
    /// The span of a setting, if it is explicit.
    #[must_use]
    pub fn get(&self, keyword: &str) -> Option<&Span> {
        let found = self.search(keyword).ok()?;
        Some(&self.0[found].1)
    }

    /// Adds the span of a setting, unless there is one already.
    pub fn insert_first(&mut self, keyword: &'static str, span: Span) {
        if let Err(position) = self.search(keyword) {
            self.0.insert(position, (keyword, span));
        }
    }

    fn search(&self, keyword: &str) -> Result<usize, usize> {
        self.0.binary_search_by(|(known, _)| (*known).cmp(keyword))
    }
}

impl Index<&str> for SettingSpans {
    type Output = Span;

    /// The span of a setting that is known to be explicit.
    fn index(&self, keyword: &str) -> &Span {
        self.get(keyword).expect("the setting is explicit")
    }
}

/// An entry with its spans. It dereferences to the entry.
#[derive(Clone, Debug, PartialEq)]
pub struct Spanned<T> {
    /// The entry.
    pub value: T,
    /// Its spans; the default for an entry that is in no file.
    pub spans: EntrySpans,
}

impl<T> Spanned<T> {
    /// An entry with default values, which is in no file.
    #[must_use]
    pub fn without_spans(value: T) -> Self {
        Self { value, spans: EntrySpans::default() }
    }
}

impl<T> Deref for Spanned<T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.value
    }
}
