//! What nodes write, each into a folder of its own: harmed as a fault wants it, and read again at the end.

use std::collections::BTreeSet;
use std::fs;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::process::Command;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::history::{EventKind, ReadFailure};
use crate::scenario;

/// Most bytes of a file that are changed.
const FLIPS: usize = 8;
/// How a reader of ours ends that has said what is wrong.
const REFUSED: [i32; 2] = [1, 2];

/// The files of all nodes.
pub(super) struct Files {
    folder: PathBuf,
    rng: StdRng,
    harmed: BTreeSet<PathBuf>,
}

impl Files {
    pub fn new(folder: &Path, seed: u64) -> Self {
        // A number of its own, so that what is harmed does not depend on what else is drawn.
        Self {
            folder: folder.to_owned(),
            rng: StdRng::seed_from_u64(seed ^ 0xF11E_5EED),
            harmed: BTreeSet::new(),
        }
    }

    /// Takes away what an earlier storm's nodes recorded in the same folder.
    pub fn clear(&self, nodes: usize) -> io::Result<()> {
        self.recordings(nodes)?.into_iter().try_for_each(|(_, path)| fs::remove_file(path))
    }

    /// A node's own folder.
    pub fn of(&self, node: usize) -> PathBuf {
        self.folder.join(format!("n{node}"))
    }

    /// Does to all files of a node that is down what a fault wants.
    pub fn harm(&mut self, node: usize, how: scenario::Files) -> io::Result<()> {
        for path in list(&self.of(node))? {
            match how {
                scenario::Files::Kept => continue,
                scenario::Files::Gone => {
                    fs::remove_file(&path)?;
                    continue;
                }
                scenario::Files::Cut => {
                    let bytes = fs::read(&path)?;
                    let keep = if bytes.is_empty() { 0 } else { self.rng.random_range(0..bytes.len()) };
                    fs::write(&path, &bytes[..keep])?;
                }
                scenario::Files::Flipped => {
                    let mut bytes = fs::read(&path)?;
                    for _ in 0..FLIPS.min(bytes.len()) {
                        let place = self.rng.random_range(0..bytes.len());
                        bytes[place] ^= self.rng.random_range(1..=255u8);
                    }
                    fs::write(&path, bytes)?;
                }
            }
            self.harmed.insert(path);
        }
        Ok(())
    }

    /// All recordings, with their nodes.
    pub fn recordings(&self, nodes: usize) -> io::Result<BTreeSet<(usize, PathBuf)>> {
        let mut all = BTreeSet::new();
        for node in 0..nodes {
            let written = list(&self.of(node))?.into_iter();
            all.extend(
                written
                    .filter(|path| path.extension().is_some_and(|end| end == "rec"))
                    .map(|path| (node, path)),
            );
        }
        Ok(all)
    }

    /// Reads all recordings with the shipped program, which tells where worth was lost; what it says goes into `why.txt`.
    pub fn read(&self, nodes: usize, program: &Path) -> io::Result<Vec<EventKind>> {
        let mut out = fs::File::create(self.folder.join("why.txt"))?;
        let mut all = Vec::new();
        for (node, path) in self.recordings(nodes)? {
            let done = Command::new(program).arg("why").arg(&path).output()?;
            let file = path.file_name().unwrap_or_default().to_string_lossy().into_owned();
            writeln!(out, "node {node}, {file}")?;
            out.write_all(&done.stdout)?;
            out.write_all(&done.stderr)?;
            writeln!(out)?;
            let failed = match done.status.code() {
                Some(0) => None,
                Some(code) if REFUSED.contains(&code) => Some(ReadFailure::Rejected),
                _ => Some(ReadFailure::ReaderCrashed),
            };
            all.push(EventKind::RecordingRead { node, file, harmed: self.harmed.contains(&path), failed });
        }
        Ok(all)
    }
}

fn list(folder: &Path) -> io::Result<Vec<PathBuf>> {
    if !folder.exists() {
        return Ok(Vec::new());
    }
    let mut all = fs::read_dir(folder)?.map(|entry| Ok(entry?.path())).collect::<io::Result<Vec<_>>>()?;
    all.retain(|path| path.is_file());
    // The order of a folder is nobody's promise, and draws go by it.
    all.sort();
    Ok(all)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards what becomes of files: the same for a seed, gone where that is asked, and no other node's.
    #[test]
    fn files_are_harmed_as_asked() {
        let folder = crate::run::folder("files").unwrap();
        let play = |how: scenario::Files| {
            for node in 0..2 {
                let own = folder.join(format!("n{node}"));
                fs::create_dir_all(&own).unwrap();
                fs::write(own.join("a.rec"), [7; 500]).unwrap();
            }
            let mut files = Files::new(&folder, 3);
            files.harm(0, how).unwrap();
            assert_eq!(fs::read(folder.join("n1/a.rec")).unwrap(), [7; 500]);
            (fs::read(folder.join("n0/a.rec")).ok(), files.harmed.len())
        };
        assert_eq!(play(scenario::Files::Kept), (Some(vec![7; 500]), 0));
        assert_eq!(play(scenario::Files::Gone), (None, 0));
        let (cut, harmed) = play(scenario::Files::Cut);
        assert!(cut.as_ref().unwrap().len() < 500 && harmed == 1);
        assert_eq!(play(scenario::Files::Cut).0, cut);
        let flipped = play(scenario::Files::Flipped).0.unwrap();
        let other = flipped.iter().filter(|byte| **byte != 7).count();
        assert!(flipped.len() == 500 && (1..=FLIPS).contains(&other), "{other}");
        fs::remove_dir_all(&folder).unwrap();
    }
}
