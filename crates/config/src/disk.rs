//! Files of the machine. The one module with I/O.

use std::fs::{self, File};
use std::io::{self, Read};
use std::path::{Path, PathBuf};

use crate::load::{Files, LARGEST_FILE, ReadFault};

/// The machine's files.
#[derive(Clone, Copy, Debug, Default)]
pub struct Disk;

impl Files for Disk {
    fn read(&self, path: &Path) -> Result<Vec<u8>, ReadFault> {
        // Asked before opening: to open a pipe without a writer never returns.
        let metadata = fs::metadata(path).map_err(fault)?;
        if metadata.is_dir() {
            return Err(ReadFault::Directory);
        }
        if !metadata.is_file() {
            return Err(ReadFault::NotRegular);
        }
        if metadata.len() > LARGEST_FILE {
            return Err(ReadFault::TooLarge(metadata.len()));
        }
        let mut bytes = Vec::new();
        // The file may grow meanwhile.
        File::open(path).map_err(fault)?.take(LARGEST_FILE + 1).read_to_end(&mut bytes).map_err(fault)?;
        if bytes.len() as u64 > LARGEST_FILE {
            return Err(ReadFault::TooLarge(bytes.len() as u64));
        }
        Ok(bytes)
    }

    fn list(&self, directory: &Path) -> Result<Vec<String>, ReadFault> {
        let directory = if directory.as_os_str().is_empty() { Path::new(".") } else { directory };
        let entries = fs::read_dir(directory).map_err(fault)?;
        let names = entries.map(|entry| entry.map(|entry| entry.file_name().to_string_lossy().into_owned()));
        names.collect::<Result<_, _>>().map_err(fault)
    }

    fn identity(&self, path: &Path) -> PathBuf {
        fs::canonicalize(path).unwrap_or_else(|_| path.into())
    }
}

fn fault(error: io::Error) -> ReadFault {
    match error.kind() {
        io::ErrorKind::NotFound => ReadFault::Missing,
        io::ErrorKind::PermissionDenied => ReadFault::Denied,
        io::ErrorKind::IsADirectory => ReadFault::Directory,
        io::ErrorKind::NotADirectory => ReadFault::Missing,
        _ => ReadFault::Other(error.to_string()),
    }
}
