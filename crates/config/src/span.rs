//! Places in files.

use std::path::{Path, PathBuf};

/// A file that was read, by the order of reading.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FileId(pub u32);

/// Bytes of a file, from `start` to before `end`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Span {
    /// The file.
    pub file: FileId,
    /// First byte.
    pub start: u32,
    /// Past the last byte.
    pub end: u32,
}

impl Span {
    /// From the start of this one to the end of another in the same file.
    #[must_use]
    pub fn to(self, other: Self) -> Self {
        Self { end: other.end.max(self.end), ..self }
    }

    /// Its bytes.
    #[must_use]
    pub fn range(self) -> std::ops::Range<usize> {
        self.start as usize..self.end as usize
    }
}

/// A file's text.
#[derive(Clone, Debug)]
pub struct Source {
    /// As it was named.
    pub path: PathBuf,
    /// Its text; what is not UTF-8 is replaced.
    pub text: String,
}

/// A line and a column, both from 1; the column counts characters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// Line.
    pub line: usize,
    /// Column.
    pub column: usize,
}

/// All files that were read.
#[derive(Clone, Debug, Default)]
pub struct Sources(Vec<Source>);

impl Sources {
    /// Adds one.
    pub fn add(&mut self, path: &Path, text: String) -> FileId {
        self.0.push(Source { path: path.into(), text });
        FileId(self.0.len() as u32 - 1)
    }

    /// Gives one the text it has after all.
    pub fn set_text(&mut self, file: FileId, text: String) {
        if let Some(source) = self.0.get_mut(file.0 as usize) {
            source.text = text;
        }
    }

    /// How many there are.
    #[must_use]
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether nothing was read.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// One of them.
    #[must_use]
    pub fn get(&self, file: FileId) -> Option<&Source> {
        self.0.get(file.0 as usize)
    }

    /// All, in the order of reading.
    pub fn iter(&self) -> impl Iterator<Item = &Source> {
        self.0.iter()
    }

    /// Where a span starts.
    #[must_use]
    pub fn place(&self, span: Span) -> Place {
        let text = self.get(span.file).map_or("", |source| &source.text);
        let mut start = (span.start as usize).min(text.len());
        while !text.is_char_boundary(start) {
            start -= 1;
        }
        let before = &text[..start];
        let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
        Place {
            line: before.bytes().filter(|&byte| byte == b'\n').count() + 1,
            column: before[line_start..].chars().count() + 1,
        }
    }

    /// `path:line` of a span.
    #[must_use]
    pub fn line(&self, span: Span) -> String {
        let path = self.get(span.file).map(|source| source.path.display().to_string()).unwrap_or_default();
        format!("{path}:{}", self.place(span).line)
    }
}
