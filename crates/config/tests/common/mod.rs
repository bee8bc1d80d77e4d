//! A file system in memory, and configurations for tests.

// Each test program uses only some of the items.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::path::{Component, Path, PathBuf};

use pumicehead_config::{Checked, Config, Files, ReadError, check};

/// The content of a file, or the error that a read of it returns.
#[derive(Clone, Debug)]
pub enum Entry {
    Text(Vec<u8>),
    Error(ReadError),
}

/// A file system in memory.
#[derive(Clone, Debug, Default)]
pub struct MemoryFiles(pub BTreeMap<PathBuf, Entry>);

impl MemoryFiles {
    pub fn with(mut self, path: &str, text: impl AsRef<[u8]>) -> Self {
        self.0.insert(path.into(), Entry::Text(text.as_ref().to_vec()));
        self
    }

    pub fn with_error(mut self, path: &str, error: ReadError) -> Self {
        self.0.insert(path.into(), Entry::Error(error));
        self
    }
}

impl Files for MemoryFiles {
    fn read(&self, path: &Path) -> Result<Vec<u8>, ReadError> {
        match self.0.get(&self.identity(path)) {
            Some(Entry::Text(text)) => Ok(text.clone()),
            Some(Entry::Error(error)) => Err(error.clone()),
            None => Err(ReadError::Missing),
        }
    }

    fn list(&self, directory: &Path) -> Result<Vec<String>, ReadError> {
        let directory = self.identity(directory);
        let inside = self.0.keys().filter(|path| path.parent() == Some(&directory));
        let names: Vec<_> = inside.filter_map(|path| Some(path.file_name()?.to_str()?.to_owned())).collect();
        // Reversed, because the order of a real directory is undefined.
        Ok(names.into_iter().rev().collect())
    }

    fn identity(&self, path: &Path) -> PathBuf {
        let mut normalized = PathBuf::new();
        for part in path.components() {
            match part {
                Component::ParentDir => drop(normalized.pop()),
                Component::CurDir => {}
                part => normalized.push(part),
            }
        }
        normalized
    }
}

pub fn check_text(text: &str) -> Checked {
    check(&MemoryFiles::default().with("main.conf", text), Path::new("main.conf"))
}

/// Checks a text that must be valid.
pub fn config(text: &str) -> Config {
    let checked = check_text(text);
    let shown: Vec<_> = checked.diagnostics.iter().map(|one| one.message.clone()).collect();
    checked.config.unwrap_or_else(|| panic!("{shown:?} in\n{text}"))
}

/// A valid configuration with most kinds of settings.
pub const VALID: &str = r#"
node { name n1; zones cdmx monterrey; zone cdmx }
const patience 6s
listener public { address 127.0.0.1:8080 }
pool boards {
    server board-1 { address 127.0.0.1:9001; zone cdmx; weight 2 }
    server board-2 { address 127.0.0.1:9002; zone monterrey }
    warm-up 23s from 16%
    tips-over 4 within 1500ms
}
pool archive { discovery watch 127.0.0.1:8500 }
class board-read { aim 1200ms; deadline $patience; late-worth 30%; repeats safe }
class run-submit { aim 600ms; deadline 1200ms; worth 10; repeats unsafe }
class run-edit { aim 600ms; deadline 2s; repeats keyed by Idempotency-Key within zone for 5min; order key }
tenant acme { share 20%; rate 100/s }
route edit { path /runs/*; method PUT; class run-edit; pool boards; key segment 2; tenant acme }
route submit { path /runs/**; class run-submit; pool boards; tenant header X-Account }
route old { host *.old.example.org; path /**; class board-read; pool archive }
route read { path /**; class board-read; pool boards; key last-segment }
limits { memory 128MiB; held 500 }
"#;
