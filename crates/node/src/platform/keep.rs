//! The file of the book of servers taken out: what one process of a node is told, the next one and one beside it know.

use std::fs::{self, File, Metadata, TryLockError};
use std::io::{self, Write};
use std::os::unix::fs::MetadataExt;
use std::path::PathBuf;
use std::time::{Duration, SystemTime};

use pumicehead_admin::book::{Book, BookError, LONGEST_TEXT};
use thiserror::Error;
use tokio::time::{Instant, sleep};
use tracing::warn;

/// Another process holds the lock for a moment; one that was stopped while it did must not stop this one. A call is
/// owed its answer in 1 s.
const LOCK_WAIT: Duration = Duration::from_millis(400);
/// Between two tries for the lock.
const LOCK_PAUSE: Duration = Duration::from_millis(5);

/// Why the book can't be read or changed.
#[derive(Debug, Error)]
pub enum KeepError {
    /// The file.
    #[error("{path}: {source}", path = .path.display())]
    File {
        /// Which.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// Another process has it locked, and goes on having it so.
    #[error("another process holds the book")]
    Locked,
    /// What is in it, or was asked of it.
    #[error("{0}")]
    Book(#[from] BookError),
}

/// What a file was when it was last looked at.
type Version = Option<(u64, u64, SystemTime)>;

/// The file.
pub struct Keep {
    path: PathBuf,
    seen: Version,
}

impl Keep {
    /// In a folder, for a node's name. Nothing is read or written yet.
    pub fn new(folder: PathBuf, node: &str) -> Self {
        // A name may hold anything; a file's may not.
        let hash = crate::net::endpoint_directory::unseeded_hash(node.as_bytes());
        Self { path: folder.join(format!("pumicehead-{hash:016x}.out")), seen: None }
    }

    /// What it holds, if that has changed since it was last read or written here.
    ///
    /// # Errors
    /// What keeps it from being read; the next change is read again.
    pub fn changed(&mut self) -> Result<Option<Book>, KeepError> {
        let version = fs::metadata(&self.path).ok().map(|data| version(&data));
        if version == self.seen {
            return Ok(None);
        }
        self.seen = version;
        self.read().map(Some)
    }

    fn read(&self) -> Result<Book, KeepError> {
        let fault = |source| KeepError::File { path: self.path.clone(), source };
        match fs::metadata(&self.path) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(Book::default()),
            Err(error) => return Err(fault(error)),
            Ok(data) if data.len() > LONGEST_TEXT as u64 => {
                return Err(BookError::Text("too long".into()).into());
            }
            Ok(_) => {}
        }
        Ok(Book::parse(&fs::read(&self.path).map_err(fault)?)?)
    }

    /// Changes it as it is by now, whoever wrote it last, and gives it back. A damaged one is begun anew from `known`.
    ///
    /// # Errors
    /// What keeps it from being changed; then it is as it was.
    pub async fn change(
        &mut self,
        known: &Book,
        change: impl FnOnce(&mut Book) -> Result<(), BookError>,
    ) -> Result<Book, KeepError> {
        // The lock's file is never replaced, as the book's is.
        let _lock = self.lock().await?;
        let mut book = match self.read() {
            Ok(book) => book,
            Err(KeepError::Book(error)) => {
                warn!(target: "calls", "{error}; it is begun anew");
                known.clone()
            }
            Err(error) => return Err(error),
        };
        change(&mut book)?;
        self.write(&book).map_err(|source| KeepError::File { path: self.path.clone(), source })?;
        Ok(book)
    }

    async fn lock(&self) -> Result<File, KeepError> {
        let path = self.path.with_extension("lock");
        let fault = |source| KeepError::File { path: path.clone(), source };
        let file = File::create(&path).map_err(fault)?;
        let until = Instant::now() + LOCK_WAIT;
        loop {
            match file.try_lock() {
                Ok(()) => return Ok(file),
                Err(TryLockError::WouldBlock) if Instant::now() < until => sleep(LOCK_PAUSE).await,
                Err(TryLockError::WouldBlock) => return Err(KeepError::Locked),
                Err(TryLockError::Error(error)) => return Err(fault(error)),
            }
        }
    }

    fn write(&mut self, book: &Book) -> io::Result<()> {
        let fresh = self.path.with_extension("new");
        let mut file = File::create(&fresh)?;
        file.write_all(book.text().as_bytes())?;
        file.sync_all()?;
        fs::rename(&fresh, &self.path)?;
        self.seen = Some(version(&fs::metadata(&self.path)?));
        Ok(())
    }
}

fn version(data: &Metadata) -> (u64, u64, SystemTime) {
    (data.ino(), data.len(), data.modified().unwrap_or(SystemTime::UNIX_EPOCH))
}

#[cfg(test)]
mod tests {
    use super::*;
    use pumicehead_admin::book::Stand;
    use tokio::runtime::Builder;

    fn block_on<T>(work: impl Future<Output = T>) -> T {
        Builder::new_current_thread().enable_time().build().unwrap().block_on(work)
    }

    fn folder(name: &str) -> PathBuf {
        let path = std::env::temp_dir().join(format!("pumicehead-keep-{}-{name}", std::process::id()));
        fs::create_dir_all(&path).unwrap();
        path
    }

    #[test]
    fn what_one_process_writes_another_reads_and_adds_to() {
        let folder = folder("two");
        let (mut one, mut other) = (Keep::new(folder.clone(), "n/1"), Keep::new(folder.clone(), "n/1"));
        assert!(one.changed().unwrap().is_none());
        let empty = Book::default();
        block_on(one.change(&empty, |book| book.detach("a", 1))).unwrap();
        assert!(one.changed().unwrap().is_none(), "its own writing is no news");
        assert_eq!(other.changed().unwrap().unwrap().stand("a", 0), Stand::Out);
        let book = block_on(other.change(&empty, |book| book.detach("b", 2))).unwrap();
        assert_eq!((book.stand("a", 0), book.stand("b", 0)), (Stand::Out, Stand::Out));
        assert_eq!(one.changed().unwrap().unwrap(), book);
        fs::remove_dir_all(folder).unwrap();
    }

    #[test]
    fn a_damaged_file_loses_nothing_that_is_known() {
        let folder = folder("damaged");
        let mut keep = Keep::new(folder.clone(), "n1");
        let mut known = Book::default();
        known.detach("a", 1).unwrap();
        fs::write(&keep.path, "{\"v\":1,\"serv").unwrap();
        assert!(matches!(keep.changed(), Err(KeepError::Book(_))));
        assert!(keep.changed().unwrap().is_none(), "said once");
        let book = block_on(keep.change(&known, |book| book.detach("b", 2))).unwrap();
        assert_eq!(book.stand("a", 0), Stand::Out);
        assert_eq!(Keep::new(folder.clone(), "n1").changed().unwrap(), Some(book));
        fs::remove_dir_all(folder).unwrap();
    }

    #[test]
    fn who_holds_the_lock_for_good_stops_a_call_but_not_the_node() {
        let folder = folder("locked");
        let mut keep = Keep::new(folder.clone(), "n1");
        let held = File::create(keep.path.with_extension("lock")).unwrap();
        held.lock().unwrap();
        let done = block_on(keep.change(&Book::default(), |book| book.detach("a", 1)));
        assert!(matches!(done, Err(KeepError::Locked)));
        assert!(keep.changed().unwrap().is_none(), "nothing was written");
        fs::remove_dir_all(folder).unwrap();
    }
}
