//! Files that were read, and positions in them.

use std::path::{Path, PathBuf};

/// Number of a file, in the order in which files are read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FileId(pub u32);

/// A range of bytes in a file.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Span {
    /// The file.
    pub file: FileId,
    /// Offset of the first byte.
    pub start: u32,
    /// Offset after the last byte.
    pub end: u32,
}

impl Span {
    /// The span from the start of this one to the end of another one in the same file.
    #[must_use]
    pub fn to(self, other: Self) -> Self {
        Self { end: other.end.max(self.end), ..self }
    }

    /// The range of byte offsets.
    #[must_use]
    pub fn range(self) -> std::ops::Range<usize> {
        self.start as usize..self.end as usize
    }
}

/// A file and its text.
#[derive(Clone, Debug)]
pub struct Source {
    /// Path of the file, as it was given.
    pub path: PathBuf,
    /// Its text; bytes that are not UTF-8 are replaced.
    pub text: String,
}

/// A position in a text: line and column from 1; columns count characters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LineColumn {
    /// Number of the line.
    pub line: usize,
    /// Number of the column.
    pub column: usize,
}

/// All files that were read.
#[derive(Clone, Debug, Default)]
pub struct Sources(Vec<Source>);

impl Sources {
    /// Adds a file.
    pub fn add(&mut self, path: &Path, text: String) -> FileId {
        self.0.push(Source { path: path.into(), text });
        FileId(self.0.len() as u32 - 1)
    }

    /// The number of files.
    #[must_use]
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether no file was read.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// A file by its number.
    #[must_use]
    pub fn get(&self, file: FileId) -> Option<&Source> {
        self.0.get(file.0 as usize)
    }

    /// All files, in the order in which they were read.
    pub fn iter(&self) -> impl Iterator<Item = &Source> {
        self.0.iter()
    }

    /// The position of the start of a span.
    #[must_use]
    pub fn line_column(&self, span: Span) -> LineColumn {
        let text = self.get(span.file).map_or("", |source| &source.text);
        let mut start = (span.start as usize).min(text.len());
        while !text.is_char_boundary(start) {
            start -= 1;
        }
        let before = &text[..start];
        let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
        LineColumn {
            line: before.bytes().filter(|&byte| byte == b'\n').count() + 1,
            column: before[line_start..].chars().count() + 1,
        }
    }

    /// The start of a span as `path:line`.
    #[must_use]
    pub fn path_and_line(&self, span: Span) -> String {
        let path = self.get(span.file).map(|source| source.path.display().to_string()).unwrap_or_default();
        format!("{path}:{}", self.line_column(span).line)
    }
}
