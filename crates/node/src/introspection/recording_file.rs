//! Files of flight recordings: each appears whole or not at all, and the oldest of a node make room for new ones.

use std::fs;
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use tokio::task;

/// Recordings of a node that stay in a folder.
pub const MAX_FILES: usize = 2;
/// Bytes that the event loop writes in one turn.
const SLICE_BYTES: usize = 64 << 10;

/// A recording's file that is not written yet.
pub struct RecordingFile {
    folder: PathBuf,
    /// Start of the names of all recordings of the node.
    prefix: String,
    path: PathBuf,
    /// Path until the file is whole.
    partial_path: PathBuf,
}

impl RecordingFile {
    /// The file of a node, by the hash of its name and a number that is new in this process.
    pub fn new(folder: &Path, node_hash: u64, number: u32) -> Self {
        let prefix = format!("pumicehead-{node_hash:016x}-");
        // Two processes of a node may write into one folder: the process is part of the name.
        let path = folder.join(format!("{prefix}{}-{number}.rec", std::process::id()));
        let partial_path = path.with_extension("part");
        Self { folder: folder.to_owned(), prefix, path, partial_path }
    }

    /// Writes the file in one go, and removes the node's oldest ones beyond [`MAX_FILES`].
    ///
    /// # Errors
    /// As the file system has them; no partial file stays.
    pub fn write(self, bytes: &[u8]) -> io::Result<PathBuf> {
        let written = fs::write(&self.partial_path, bytes);
        self.finish(written)
    }

    /// The same on the event loop, which runs other tasks after each slice.
    ///
    /// # Errors
    /// As [`write`](Self::write).
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
        let mut own: Vec<_> = fs::read_dir(&self.folder)?
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
