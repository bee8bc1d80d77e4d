//! A file with all that it includes.

use std::collections::HashMap;
use std::path::{Path, PathBuf};

use thiserror::Error;

use crate::diag::{Diagnostic, Severity};
use crate::span::{FileId, Sources, Span};
use crate::syntax::{self, Statement, Word};

/// Largest file: some 100,000 routes.
pub const LARGEST_FILE: u64 = 4 << 20;
/// Most bytes of all files together, and with them the memory that a reload takes.
pub const LARGEST_TOTAL: u64 = 32 << 20;
/// Most files.
pub const MOST_FILES: usize = 1_024;
/// Longest chain of includes.
pub const LONGEST_CHAIN: usize = 16;

/// Why a file can't be read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ReadFault {
    /// It isn't there.
    #[error("there is no such file")]
    Missing,
    /// A directory.
    #[error("it is a directory")]
    Directory,
    /// A pipe, a socket or a device: reading it may never end.
    #[error("it is no regular file")]
    NotRegular,
    /// No permission.
    #[error("no permission to read it")]
    Denied,
    /// Too large.
    #[error("it has {0} bytes; the largest may have {LARGEST_FILE}")]
    TooLarge(u64),
    /// Anything else.
    #[error("{0}")]
    Other(String),
}

/// Where files come from.
pub trait Files {
    /// A file's bytes.
    ///
    /// # Errors
    /// Why it can't be read.
    fn read(&self, path: &Path) -> Result<Vec<u8>, ReadFault>;

    /// The names in a directory, in any order.
    ///
    /// # Errors
    /// Why it can't be listed.
    fn list(&self, directory: &Path) -> Result<Vec<String>, ReadFault>;

    /// The same for two paths that lead to one file.
    fn identity(&self, path: &Path) -> PathBuf;
}

/// All statements of a file and those that it includes, in the places of the includes.
pub struct Loaded {
    /// The texts.
    pub sources: Sources,
    /// Errors.
    pub diagnostics: Vec<Diagnostic>,
    /// The statements, without includes.
    pub statements: Vec<Statement>,
}

/// Reads a file with all that it includes. A file that is included twice counts once.
pub fn load(files: &dyn Files, path: &Path) -> Loaded {
    let mut loader = Loader {
        files,
        loaded: Loaded { sources: Sources::default(), diagnostics: Vec::new(), statements: Vec::new() },
        chain: Vec::new(),
        done: HashMap::new(),
        total: 0,
    };
    loader.file(path, None);
    loader.loaded
}

struct Loader<'a> {
    files: &'a dyn Files,
    loaded: Loaded,
    /// Files that are being read, with the place of the include that led there.
    chain: Vec<(PathBuf, PathBuf, Option<Span>)>,
    done: HashMap<PathBuf, FileId>,
    total: u64,
}

impl Loader<'_> {
    fn fault(&mut self, span: Option<Span>, code: &'static str, message: String, help: Option<&str>) {
        let severity = Severity::Error;
        let help = help.map(Into::into);
        let diagnostic = Diagnostic { severity, code, span, message, help, notes: Vec::new() };
        self.loaded.diagnostics.push(diagnostic);
    }

    fn file(&mut self, path: &Path, from: Option<Span>) {
        let identity = self.files.identity(path);
        if let Some(first) = self.chain.iter().position(|(known, ..)| *known == identity) {
            let mut names: Vec<_> =
                self.chain[first..].iter().map(|(_, p, _)| p.display().to_string()).collect();
            names.push(path.display().to_string());
            let message = format!("a file includes itself: {}", names.join(" -> "));
            let notes = self.chain[first + 1..].iter().filter_map(|(.., at)| *at);
            let notes = notes.map(|at| (at, "on the way round".into())).collect();
            return self.loaded.diagnostics.push(Diagnostic {
                severity: Severity::Error,
                code: "circular-include",
                span: from,
                message,
                help: Some("remove one of the includes".into()),
                notes,
            });
        }
        if self.done.contains_key(&identity) {
            return;
        }
        if self.chain.len() == LONGEST_CHAIN {
            return self.fault(
                from,
                "include-chain",
                format!("more than {LONGEST_CHAIN} files include one another"),
                None,
            );
        }
        if self.loaded.sources.len() == MOST_FILES {
            // Once: every further include would say the same.
            if !self.loaded.diagnostics.iter().any(|one| one.code == "too-many-files") {
                self.fault(from, "too-many-files", format!("more than {MOST_FILES} files"), None);
            }
            return;
        }
        let bytes = match self.files.read(path) {
            Ok(bytes) => bytes,
            Err(fault) => {
                let message = format!("can't read {}: {fault}", path.display());
                let help = match fault {
                    ReadFault::Directory => Some("include the files in it: `include DIRECTORY/*.conf`"),
                    _ => None,
                };
                return self.fault(from, "unreadable-file", message, help);
            }
        };
        self.total += bytes.len() as u64;
        if self.total > LARGEST_TOTAL {
            let message = format!("all files together have more than {LARGEST_TOTAL} bytes");
            return self.fault(from, "too-large", message, None);
        }
        let Some(file) = self.text(path, bytes) else { return };
        self.done.insert(identity.clone(), file);
        let text = self.loaded.sources.get(file).map_or("", |source| &source.text);
        match syntax::parse(file, text) {
            Err(faults) => self.loaded.diagnostics.extend(faults),
            Ok(tree) => {
                self.chain.push((identity, path.into(), from));
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

    /// Decodes a file and adds it to the sources; what is no UTF-8 is reported by its place.
    fn text(&mut self, path: &Path, bytes: Vec<u8>) -> Option<FileId> {
        match String::from_utf8(bytes) {
            Ok(mut text) => {
                // Some editors leave a mark of the byte order; places count from behind it.
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
                self.fault(Some(span), "not-utf8", message, Some("save the file as UTF-8"));
                None
            }
        }
    }

    fn include(&mut self, from: &Path, statement: &Statement) {
        let span = statement.span();
        let [_, target] = &statement.words[..] else {
            return self.fault(Some(span), "include-form", "`include` takes one path".into(), None);
        };
        if let Some(block) = &statement.block {
            return self.fault(Some(block.braces.0), "include-form", "`include` takes no block".into(), None);
        }
        let directory = from.parent().unwrap_or(Path::new(""));
        let path = directory.join(&*target.text);
        match &*target.text {
            "" => self.fault(Some(target.span), "include-form", "an empty path".into(), None),
            text if text.contains('*') => self.include_all(&path, target),
            _ => self.file(&path, Some(target.span)),
        }
    }

    /// `*` stands for any part of a file's name; hidden files are left out, as shells do it.
    fn include_all(&mut self, path: &Path, target: &Word) {
        let name = path.file_name().and_then(|name| name.to_str()).unwrap_or_default().to_owned();
        let directory = path.parent().unwrap_or(Path::new(""));
        if directory.to_string_lossy().contains('*') || !name.contains('*') {
            let message = "`*` stands in the name of the file only, not of a directory".into();
            return self.fault(Some(target.span), "include-form", message, None);
        }
        let mut names = match self.files.list(directory) {
            Ok(names) => names,
            Err(fault) => {
                let message = format!("can't list {}: {fault}", directory.display());
                return self.fault(Some(target.span), "unreadable-file", message, None);
            }
        };
        names.retain(|entry| !entry.starts_with('.') && fits(&name, entry));
        // The order of a directory is nobody's choice; that of names is the operator's.
        names.sort_unstable();
        for entry in names {
            self.file(&directory.join(entry), Some(target.span));
        }
    }
}

/// Whether a name fits a pattern in which `*` stands for any text.
fn fits(pattern: &str, name: &str) -> bool {
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
