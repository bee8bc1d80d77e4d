//! Reads a file and its includes.

use std::collections::HashSet;
use std::path::{Path, PathBuf};

use thiserror::Error;

use crate::diagnostic::{Diagnostic, Severity};
use crate::span::{FileId, Sources, Span};
use crate::syntax::{self, Statement, Word};

/// Largest file, in bytes: about 100,000 routes.
pub const MAX_FILE_BYTES: u64 = 4 << 20;
/// Maximum size of all files together, in bytes. It bounds the memory that a reload takes.
pub const MAX_TOTAL_BYTES: u64 = 32 << 20;
/// Maximum number of files of a configuration.
pub const MAX_FILES: usize = 1_024;
/// Deepest nesting of includes.
pub const MAX_INCLUDE_DEPTH: usize = 16;

/// Why a file can't be read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ReadError {
    /// It does not exist.
    #[error("no such file")]
    Missing,
    /// It is a directory.
    #[error("it is a directory")]
    Directory,
    /// It is a pipe, a socket or a device; reading it might never end.
    #[error("it is not a regular file")]
    NotRegular,
    /// There is no permission to read it.
    #[error("permission denied")]
    Denied,
    /// It is larger than [`MAX_FILE_BYTES`]; its size in bytes.
    #[error("it has {0} bytes, more than the maximum of {MAX_FILE_BYTES}")]
    TooLarge(u64),
    /// Another error of the operating system.
    #[error("{0}")]
    Other(String),
}

/// The files that a configuration is read from.
pub trait Files {
    /// Reads a file.
    ///
    /// # Errors
    /// The reason why it can't be read.
    fn read(&self, path: &Path) -> Result<Vec<u8>, ReadError>;

    /// Lists the names in a directory, in any order.
    ///
    /// # Errors
    /// The reason why it can't be listed.
    fn list(&self, directory: &Path) -> Result<Vec<String>, ReadError>;

    /// Returns a canonical path, which is the same for all paths to one file.
    fn identity(&self, path: &Path) -> PathBuf;
}

/// The statements of a file. Each include is replaced by the statements of the included files.
pub struct Loaded {
    /// The texts that spans refer to.
    pub sources: Sources,
    /// Errors, in the order in which files were read.
    pub diagnostics: Vec<Diagnostic>,
    /// The statements in order.
    pub statements: Vec<Statement>,
}

/// Reads a file and its includes. A file that is included twice is read once.
pub fn load(files: &dyn Files, path: &Path) -> Loaded {
    let mut loader = Loader {
        files,
        loaded: Loaded { sources: Sources::default(), diagnostics: Vec::new(), statements: Vec::new() },
        chain: Vec::new(),
        done: HashSet::new(),
        total_bytes: 0,
    };
    loader.load_file(path, None);
    loader.loaded
}

/// A file that is being read.
struct OpenFile {
    identity: PathBuf,
    path: PathBuf,
    /// The include statement that it is read for; `None` for the first file.
    included_at: Option<Span>,
}

struct Loader<'a> {
    files: &'a dyn Files,
    loaded: Loaded,
    /// The files that are being read, each included by the previous one.
    chain: Vec<OpenFile>,
    /// Identities of the files that were read.
    done: HashSet<PathBuf>,
    total_bytes: u64,
}

impl Loader<'_> {
    fn error(&mut self, span: Option<Span>, code: &'static str, message: String, help: Option<&str>) {
        let severity = Severity::Error;
        let help = help.map(Into::into);
        let diagnostic = Diagnostic { severity, code, span, message, help, notes: Vec::new() };
        self.loaded.diagnostics.push(diagnostic);
    }

    fn load_file(&mut self, path: &Path, included_at: Option<Span>) {
        let identity = self.files.identity(path);
        if let Some(first) = self.chain.iter().position(|file| file.identity == identity) {
            return self.report_circular_include(first, path, included_at);
        }
        if self.done.contains(&identity) || !self.is_within_limits(included_at) {
            return;
        }
        let Some(bytes) = self.read(path, included_at) else { return };
        let Some(file) = self.decode(path, bytes) else { return };
        self.done.insert(identity.clone());
        let text = self.loaded.sources.get(file).map_or("", |source| &source.text);
        match syntax::parse(file, text) {
            Err(diagnostics) => self.loaded.diagnostics.extend(diagnostics),
            Ok(tree) => {
                self.chain.push(OpenFile { identity, path: path.into(), included_at });
                for statement in tree.statements {
                    if *statement.name().text == *"include" && !statement.name().quoted {
                        self.include(path, &statement);
                    } else {
                        self.loaded.statements.push(statement);
                    }
                }
                self.chain.pop();
            }
        }
    }

    /// Reports that a file includes itself. `first` is its index in the chain.
    fn report_circular_include(&mut self, first: usize, path: &Path, included_at: Option<Span>) {
        let cycle = self.chain[first..].iter().map(|file| file.path.display().to_string());
        let names: Vec<_> = cycle.chain([path.display().to_string()]).collect();
        let includes = self.chain[first + 1..].iter().filter_map(|file| file.included_at);
        let notes = includes.map(|span| (span, "included here".into())).collect();
        self.loaded.diagnostics.push(Diagnostic {
            severity: Severity::Error,
            code: "circular-include",
            span: included_at,
            message: format!("a file includes itself: {}", names.join(" -> ")),
            help: Some("remove one of the includes".into()),
            notes,
        });
    }

    /// Whether one more file may be read. Reports the limit that it would exceed.
    fn is_within_limits(&mut self, included_at: Option<Span>) -> bool {
        if self.chain.len() == MAX_INCLUDE_DEPTH {
            let message = format!("includes nested deeper than {MAX_INCLUDE_DEPTH}");
            self.error(included_at, "include-chain", message, None);
            return false;
        }
        if self.loaded.sources.len() == MAX_FILES {
            // Reported only once, not for every further include.
            if !self.loaded.diagnostics.iter().any(|diagnostic| diagnostic.code == "too-many-files") {
                self.error(included_at, "too-many-files", format!("more than {MAX_FILES} files"), None);
            }
            return false;
        }
        true
    }

    /// Reads a file. Reports an error and returns `None` if it can't be read or all files together are too
    /// large.
    fn read(&mut self, path: &Path, included_at: Option<Span>) -> Option<Vec<u8>> {
        let bytes = match self.files.read(path) {
            Ok(bytes) => bytes,
            Err(error) => {
                let message = format!("can't read {}: {error}", path.display());
                let help = match error {
                    ReadError::Directory => Some("include the files in it: `include DIRECTORY/*.conf`"),
                    _ => None,
                };
                self.error(included_at, "unreadable-file", message, help);
                return None;
            }
        };
        self.total_bytes += bytes.len() as u64;
        if self.total_bytes > MAX_TOTAL_BYTES {
            let message = format!("all files together have more than the maximum of {MAX_TOTAL_BYTES} bytes");
            self.error(included_at, "too-large", message, None);
            return None;
        }
        Some(bytes)
    }

    /// Decodes a file and adds it to the sources. Reports bytes that are not UTF-8.
    fn decode(&mut self, path: &Path, bytes: Vec<u8>) -> Option<FileId> {
        match String::from_utf8(bytes) {
            Ok(mut text) => {
                // Some editors write a byte order mark; offsets of spans begin after it.
                if text.starts_with('\u{feff}') {
                    text.drain(..'\u{feff}'.len_utf8());
                }
                Some(self.loaded.sources.add(path, text))
            }
            Err(error) => {
                let valid = error.utf8_error().valid_up_to();
                let bytes = error.into_bytes();
                let byte = bytes.get(valid).copied().unwrap_or_default();
                let file = self.loaded.sources.add(path, String::from_utf8_lossy(&bytes).into_owned());
                let span = Span { file, start: valid as u32, end: valid as u32 + 1 };
                let message = format!("the byte 0x{byte:02X} is not UTF-8");
                self.error(Some(span), "not-utf8", message, Some("save the file as UTF-8"));
                None
            }
        }
    }

    /// Reads the files of an `include`.
    fn include(&mut self, from: &Path, statement: &Statement) {
        let span = statement.span();
        let [_, target] = &statement.words[..] else {
            return self.error(Some(span), "include-form", "`include` takes one path".into(), None);
        };
        if let Some(block) = &statement.block {
            return self.error(
                Some(block.open_brace),
                "include-form",
                "`include` takes no block".into(),
                None,
            );
        }
        let directory = from.parent().unwrap_or(Path::new(""));
        let path = directory.join(&*target.text);
        match &*target.text {
            "" => self.error(Some(target.span), "include-form", "an empty path".into(), None),
            text if text.contains('*') => self.include_all(&path, target),
            _ => self.load_file(&path, Some(target.span)),
        }
    }

    /// Includes all files of a directory whose names match a pattern. Hidden files are skipped, as in shells.
    fn include_all(&mut self, path: &Path, target: &Word) {
        let name = path.file_name().and_then(|name| name.to_str()).unwrap_or_default().to_owned();
        let directory = path.parent().unwrap_or(Path::new(""));
        if directory.to_string_lossy().contains('*') || !name.contains('*') {
            let message = "`*` is only allowed in the file name, not in a directory".into();
            return self.error(Some(target.span), "include-form", message, None);
        }
        let mut names = match self.files.list(directory) {
            Ok(names) => names,
            Err(error) => {
                let message = format!("can't list {}: {error}", directory.display());
                return self.error(Some(target.span), "unreadable-file", message, None);
            }
        };
        names.retain(|entry| !entry.starts_with('.') && matches(&name, entry));
        // Directory listings have no defined order; sorting by name lets the operator choose the order.
        names.sort_unstable();
        for entry in names {
            self.load_file(&directory.join(entry), Some(target.span));
        }
    }
}

/// Whether a name matches a pattern in which `*` matches any text.
fn matches(pattern: &str, name: &str) -> bool {
    let mut parts = pattern.split('*');
    let first = parts.next().unwrap_or_default();
    let Some(mut rest) = name.strip_prefix(first) else { return false };
    let Some(last) = parts.next_back() else { return rest.is_empty() };
    for part in parts {
        let Some(at) = rest.find(part) else { return false };
        rest = &rest[at + part.len()..];
    }
    rest.ends_with(last)
}
