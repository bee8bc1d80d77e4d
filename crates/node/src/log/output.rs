//! Outputs that the logging thread itself writes to.

use std::io;
use std::os::fd::AsFd;
use std::time::Duration;

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::io::Errno;

/// An output that knows whether a write would block.
pub trait Output: Send {
    /// Waits up to `limit` until a write of at most `PIPE_BUF` bytes would not block; returns whether that is so.
    fn is_ready(&mut self, limit: Duration) -> bool;

    /// Writes, and returns how many bytes were taken.
    ///
    /// # Errors
    /// Those of `write(2)`.
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize>;
}

/// A descriptor in any mode. It is not made non-blocking: the mode belongs to the open file, which may be shared with the
/// shell that started the process and with other processes.
///
/// A pipe that `poll(2)` calls writable has a free page, and takes `PIPE_BUF` bytes at once. Another process that
/// writes to the same pipe may fill it between `poll` and the write; then the write blocks on the reader. A
/// regular file is always writable by `poll(2)`, also where its disk is slow.
pub struct Descriptor<F>(pub F);

impl<F: AsFd + Send> Output for Descriptor<F> {
    fn is_ready(&mut self, limit: Duration) -> bool {
        let mut descriptors = [PollFd::new(&self.0, PollFlags::OUT)];
        let limit = Timespec { tv_sec: limit.as_secs() as i64, tv_nsec: i64::from(limit.subsec_nanos()) };
        // An error or a hangup counts as ready: the write returns it.
        poll(&mut descriptors, Some(&limit)).is_ok_and(|ready| ready > 0)
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
