//! Captures the heads of HTTP requests as they were received. The HTTP library drops a `Content-Length` next to a
//! `Transfer-Encoding`, so request smuggling can't be detected in the header fields that it returns.

use tokio::time::Instant;

/// The head of the next request.
#[derive(Default)]
pub(super) struct HeadCapture {
    head: Vec<u8>,
    /// Number of bytes of the last request's body that have not been received yet.
    body_bytes_remaining: u64,
    /// When the first byte of `head` was received.
    started_at: Option<Instant>,
}

impl HeadCapture {
    /// Handles bytes that were read.
    pub fn on_read(&mut self, bytes: &[u8]) {
        let skipped = bytes.len().min(usize::try_from(self.body_bytes_remaining).unwrap_or(usize::MAX));
        self.body_bytes_remaining -= skipped as u64;
        let rest = &bytes[skipped..];
        if !rest.is_empty() && self.head.is_empty() {
            self.started_at = Some(Instant::now());
        }
        self.head.extend_from_slice(rest);
    }

    /// Returns when the first byte of a head that was not taken yet was received.
    pub fn started_at(&self) -> Option<Instant> {
        self.started_at
    }

    /// Takes the complete head.
    pub fn take_head(&mut self) -> Vec<u8> {
        let rest = self.head.split_off(head_end(&self.head));
        self.restart(rest.is_empty());
        std::mem::replace(&mut self.head, rest)
    }

    /// Skips the body of the request whose head was taken.
    pub fn skip_body(&mut self, length: u64) {
        let mut received = std::mem::take(&mut self.head);
        let body_received = received.len().min(usize::try_from(length).unwrap_or(usize::MAX));
        self.body_bytes_remaining = length - body_received as u64;
        // The buffer is split off so that an idle connection holds no buffer.
        self.head = received.split_off(body_received);
        self.restart(self.head.is_empty());
    }

    fn restart(&mut self, is_empty: bool) {
        self.started_at = (!is_empty).then(Instant::now);
    }
}

/// Returns the length of the first head including its empty line, or the length of all bytes if the head is
/// incomplete. Empty lines before a request are allowed (RFC 9112 section 2.2).
fn head_end(bytes: &[u8]) -> usize {
    let mut end = 0;
    let mut has_begun = false;
    for line in bytes.split_inclusive(|&byte| byte == b'\n') {
        end += line.len();
        let is_empty = matches!(line, [b'\n'] | [b'\r', b'\n']);
        if has_begun && is_empty {
            break;
        }
        has_begun |= !is_empty;
    }
    end
}
