//! Access to the file system. The only module with I/O.

use std::fs::{self, File};
use std::io::{self, Read};
use std::path::{Path, PathBuf};

use crate::load::{Files, MAX_FILE_BYTES, ReadError};

/// The local file system.
#[derive(Clone, Copy, Debug, Default)]
pub struct Disk;

impl Files for Disk {
    fn read(&self, path: &Path) -> Result<Vec<u8>, ReadError> {
        // Checked before the file is opened: opening a pipe without a writer blocks.
        let metadata = fs::metadata(path).map_err(read_error)?;
        if metadata.is_dir() {
            return Err(ReadError::Directory);
        }
        if !metadata.is_file() {
            return Err(ReadError::NotRegular);
        }
        if metadata.len() > MAX_FILE_BYTES {
            return Err(ReadError::TooLarge(metadata.len()));
        }
        let mut bytes = Vec::new();
        // The file may have grown since the check, so the limit applies to the read as well.
        File::open(path)
            .map_err(read_error)?
            .take(MAX_FILE_BYTES + 1)
            .read_to_end(&mut bytes)
            .map_err(read_error)?;
        if bytes.len() as u64 > MAX_FILE_BYTES {
            return Err(ReadError::TooLarge(bytes.len() as u64));
        }
        Ok(bytes)
    }

    fn list(&self, directory: &Path) -> Result<Vec<String>, ReadError> {
        let directory = if directory.as_os_str().is_empty() { Path::new(".") } else { directory };
        let entries = fs::read_dir(directory).map_err(read_error)?;
        let names = entries.map(|entry| entry.map(|entry| entry.file_name().to_string_lossy().into_owned()));
        names.collect::<Result<_, _>>().map_err(read_error)
    }

    fn identity(&self, path: &Path) -> PathBuf {
        fs::canonicalize(path).unwrap_or_else(|_| path.into())
    }
}

fn read_error(error: io::Error) -> ReadError {
    match error.kind() {
        io::ErrorKind::NotFound => ReadError::Missing,
        io::ErrorKind::PermissionDenied => ReadError::Denied,
        io::ErrorKind::IsADirectory => ReadError::Directory,
        io::ErrorKind::NotADirectory => ReadError::Missing,
        _ => ReadError::Other(error.to_string()),
    }
}
