//! Outputs: what lines are written to by the thread that logs.

use std::io;
use std::os::fd::AsFd;
use std::time::Duration;

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::io::Errno;

/// Somewhere to write to, that tells whether it would keep the writer waiting.
pub trait Output: Send {
    /// Whether a write of at most `PIPE_BUF` bytes would not wait for a reader; waits for that so long at the most.
    fn is_ready(&mut self, limit: Duration) -> bool;

    /// Writes, and says how many bytes were taken.
    ///
    /// # Errors
    /// As `write(2)` has them.
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize>;
}

/// A descriptor in whatever mode it is. It is not put into non-blocking mode: the mode belongs to the open file, which
/// may be shared with the shell that started the process and with other processes.
///
/// A pipe that `poll(2)` calls writable has a free page, and takes `PIPE_BUF` bytes at once. Another process that
/// writes to the same pipe may fill it between the question and the write; then the write waits for the reader. A
/// regular file is always writable by `poll(2)`, also where its disk is slow.
pub struct Descriptor<F>(pub F);

impl<F: AsFd + Send> Output for Descriptor<F> {
    fn is_ready(&mut self, limit: Duration) -> bool {
        let mut question = [PollFd::new(&self.0, PollFlags::OUT)];
        let limit = Timespec { tv_sec: limit.as_secs() as i64, tv_nsec: i64::from(limit.subsec_nanos()) };
        // An error or the end of the other side counts as an answer as well: the write then tells it.
        poll(&mut question, Some(&limit)).is_ok_and(|answered| answered > 0)
    }

    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        loop {
            match rustix::io::write(&self.0, bytes) {
                Err(Errno::INTR) => {}
                done => return done.map_err(io::Error::from),
            }
        }
    }
}
