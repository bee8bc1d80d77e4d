//! The file `record.txt` of a case: what was sent, answered and run, with the time in milliseconds since the start.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Writes the record. Copies write to the same file.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    /// Creates the file at `path`.
    pub fn create(path: &str) -> Result<Self, String> {
        let file = File::create(path).map_err(|error| format!("{path}: {error}"))?;
        Ok(Self { file: Arc::new(Mutex::new(file)), start: Instant::now() })
    }

    /// Adds a line.
    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:>8.1} {}\n", self.start.elapsed().as_secs_f64() * 1e3, text.as_ref());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// Adds a line and prints it.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}
