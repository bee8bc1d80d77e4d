//! Outputs that the logging thread writes to directly.

use std::io;
use std::os::fd::AsFd;
use std::time::Duration;

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::io::Errno;

/// An output that can tell whether a write would block.
pub trait Output: Send {
    /// Waits up to `timeout` until a write of at most `PIPE_BUF` bytes would not block. Returns whether the output is ready.
    fn is_ready(&mut self, timeout: Duration) -> bool;

    /// Writes bytes and returns how many were written.
    ///
    /// # Errors
    /// Returns the errors of `write(2)`.
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize>;
}

/// A blocking or non-blocking descriptor. It is not switched to non-blocking mode, because the mode belongs to the open file
/// description, which may be shared with the shell that started the process and with other processes.
///
/// A pipe that `poll(2)` reports as writable has a free page and accepts `PIPE_BUF` bytes without blocking. Another process
/// that writes to the same pipe may fill it between `poll` and the write; the write then blocks until the reader reads.
/// `poll(2)` reports a regular file as always writable, even if its disk is slow.
pub struct Descriptor<F>(pub F);

impl<F: AsFd + Send> Output for Descriptor<F> {
    fn is_ready(&mut self, timeout: Duration) -> bool {
        let mut descriptors = [PollFd::new(&self.0, PollFlags::OUT)];
        let timeout =
            Timespec { tv_sec: timeout.as_secs() as i64, tv_nsec: i64::from(timeout.subsec_nanos()) };
        // An error or hang-up counts as ready: the following write returns the error.
        poll(&mut descriptors, Some(&timeout)).is_ok_and(|ready| ready > 0)
    }

    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        loop {
            match rustix::io::write(&self.0, bytes) {
                Err(Errno::INTR) => {}
                result => return result.map_err(io::Error::from),
            }
        }
    }
}
