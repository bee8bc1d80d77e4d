//! Files of flight recordings. A file is created atomically, and only the newest files of a node are kept.

use std::fs;
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use tokio::task;

/// Maximum number of recordings of one node that are kept in a directory.
pub const MAX_FILES: usize = 2;
/// Number of bytes that the event loop writes before it runs other tasks.
const SLICE_BYTES: usize = 64 << 10;

/// A recording file that is still to be written.
pub struct RecordingFile {
    directory: PathBuf,
    /// Common prefix of the file names of all recordings of the node.
    prefix: String,
    path: PathBuf,
    /// Temporary path, used until the file is complete.
    partial_path: PathBuf,
}

impl RecordingFile {
    /// Creates the file for the node with this name hash. `number` must be unique within the process.
    pub fn new(directory: &Path, node_hash: u64, number: u32) -> Self {
        let prefix = format!("pumicehead-{node_hash:016x}-");
        // The name contains the process id, as two processes of a node may write to the same directory.
        let path = directory.join(format!("{prefix}{}-{number}.rec", std::process::id()));
        let partial_path = path.with_extension("part");
        Self { directory: directory.to_owned(), prefix, path, partial_path }
    }

    /// Writes the whole file at once, then removes the node's oldest files beyond [`MAX_FILES`].
    ///
    /// # Errors
    /// Returns I/O errors; a partially written file is removed.
    pub fn write(self, bytes: &[u8]) -> io::Result<PathBuf> {
        let written = fs::write(&self.partial_path, bytes);
        self.finish(written)
    }

    /// Like [`write`](Self::write), but yields to other tasks of the event loop after each slice.
    ///
    /// # Errors
    /// Same as [`write`](Self::write).
    pub async fn write_in_slices(self, bytes: &[u8]) -> io::Result<PathBuf> {
        let written = self.write_slices(bytes).await;
        self.finish(written)
    }

    async fn write_slices(&self, bytes: &[u8]) -> io::Result<()> {
        let mut file = fs::File::create(&self.partial_path)?;
        for slice in bytes.chunks(SLICE_BYTES) {
            file.write_all(slice)?;
            task::yield_now().await;
        }
        Ok(())
    }

    fn finish(self, written: io::Result<()>) -> io::Result<PathBuf> {
        let finished = written.and_then(|()| fs::rename(&self.partial_path, &self.path));
        if finished.is_err() {
            let _ = fs::remove_file(&self.partial_path);
        }
        finished?;
        self.remove_oldest()?;
        Ok(self.path)
    }

    fn remove_oldest(&self) -> io::Result<()> {
        let is_own = |name: &str| {
            name.starts_with(&self.prefix) && (name.ends_with(".rec") || name.ends_with(".part"))
        };
        let mut own: Vec<_> = fs::read_dir(&self.directory)?
            .filter_map(Result::ok)
            .filter(|entry| entry.file_name().to_str().is_some_and(is_own))
            .filter_map(|entry| Some((entry.metadata().ok()?.modified().ok()?, entry.path())))
            .filter(|(_, other)| *other != self.path)
            .collect();
        own.sort();
        let excess = (own.len() + 1).saturating_sub(MAX_FILES);
        for (_, oldest) in own.into_iter().take(excess) {
            let _ = fs::remove_file(oldest);
        }
        Ok(())
    }
}
