//! Files that nodes write, each node into its own directory. Faults damage them, and recordings are read at the end.

#[cfg(test)]
mod tests;

use std::collections::BTreeSet;
use std::fs;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::process::Command;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::fault_kind::FileFault;
use crate::history::{EventKind, ReadFailure};

/// Largest number of bytes of a file that a fault overwrites.
const MAX_FLIPPED_BYTES: usize = 8;
/// Exit codes of the proxy program when it reports what is wrong with a recording.
const REJECTION_EXIT_CODES: [i32; 2] = [1, 2];
/// Extension of recordings.
const RECORDING_EXTENSION: &str = "rec";
/// File with the proxy program's explanations of all recordings.
const EXPLANATIONS_FILE: &str = "why.txt";
/// Makes the random numbers for files independent of others from the same seed.
const SEED_SALT: u64 = 0xF11E_5EED;

/// A recording of a node.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct NodeRecording {
    /// The node.
    pub node: usize,
    /// Path of the file.
    pub path: PathBuf,
}

/// The files of all nodes.
pub(super) struct NodeFiles {
    work_dir: PathBuf,
    rng: StdRng,
    damaged: BTreeSet<PathBuf>,
}

impl NodeFiles {
    /// Creates no directories: each is created when its node starts.
    pub fn new(work_dir: &Path, seed: u64) -> Self {
        Self {
            work_dir: work_dir.to_owned(),
            rng: StdRng::seed_from_u64(seed ^ SEED_SALT),
            damaged: BTreeSet::new(),
        }
    }

    /// Removes recordings of an earlier run.
    pub fn clear_recordings(&self, nodes: usize) -> io::Result<()> {
        self.recordings(nodes)?.into_iter().try_for_each(|recording| fs::remove_file(recording.path))
    }

    /// Returns a node's directory.
    pub fn node_dir(&self, node: usize) -> PathBuf {
        self.work_dir.join(format!("n{node}"))
    }

    /// Damages or removes all files of a node that is down.
    pub fn damage(&mut self, node: usize, file_fault: FileFault) -> io::Result<()> {
        for path in files_in(&self.node_dir(node))? {
            match file_fault {
                FileFault::Intact => {}
                FileFault::Removed => fs::remove_file(&path)?,
                FileFault::Truncated => {
                    self.truncate(&path)?;
                    self.damaged.insert(path);
                }
                FileFault::BytesFlipped => {
                    self.flip_bytes(&path)?;
                    self.damaged.insert(path);
                }
            }
        }
        Ok(())
    }

    fn truncate(&mut self, path: &Path) -> io::Result<()> {
        let bytes = fs::read(path)?;
        let length = if bytes.is_empty() { 0 } else { self.rng.random_range(0..bytes.len()) };
        fs::write(path, &bytes[..length])
    }

    fn flip_bytes(&mut self, path: &Path) -> io::Result<()> {
        let mut bytes = fs::read(path)?;
        for _ in 0..MAX_FLIPPED_BYTES.min(bytes.len()) {
            let index = self.rng.random_range(0..bytes.len());
            bytes[index] ^= self.rng.random_range(1..=255u8);
        }
        fs::write(path, bytes)
    }

    /// Returns the recordings of all nodes.
    pub fn recordings(&self, nodes: usize) -> io::Result<BTreeSet<NodeRecording>> {
        let mut recordings = BTreeSet::new();
        for node in 0..nodes {
            let files = files_in(&self.node_dir(node))?.into_iter();
            let is_recording =
                |path: &PathBuf| path.extension().is_some_and(|extension| extension == RECORDING_EXTENSION);
            recordings.extend(files.filter(is_recording).map(|path| NodeRecording { node, path }));
        }
        Ok(recordings)
    }

    /// Reads all recordings with the proxy program, and writes its explanations to a file in the work directory.
    pub fn read_recordings(&self, nodes: usize, node_program: &Path) -> io::Result<Vec<EventKind>> {
        let mut explanations = fs::File::create(self.work_dir.join(EXPLANATIONS_FILE))?;
        let mut events = Vec::new();
        for NodeRecording { node, path } in self.recordings(nodes)? {
            let output = Command::new(node_program).arg("why").arg(&path).output()?;
            let file = path.file_name().unwrap_or_default().to_string_lossy().into_owned();
            writeln!(explanations, "node {node}, {file}")?;
            explanations.write_all(&output.stdout)?;
            explanations.write_all(&output.stderr)?;
            writeln!(explanations)?;
            let failure = match output.status.code() {
                Some(0) => None,
                Some(code) if REJECTION_EXIT_CODES.contains(&code) => Some(ReadFailure::Rejected),
                _ => Some(ReadFailure::ReaderCrashed),
            };
            let damaged = self.damaged.contains(&path);
            events.push(EventKind::RecordingRead { node, file, damaged, failure });
        }
        Ok(events)
    }
}

/// Returns the files of a directory, sorted, so that each gets the same random numbers in every run; none if there is no
/// such directory.
fn files_in(directory: &Path) -> io::Result<Vec<PathBuf>> {
    if !directory.exists() {
        return Ok(Vec::new());
    }
    let mut files =
        fs::read_dir(directory)?.map(|entry| Ok(entry?.path())).collect::<io::Result<Vec<_>>>()?;
    files.retain(|path| path.is_file());
    files.sort();
    Ok(files)
}
