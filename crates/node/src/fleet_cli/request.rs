//! One admin command and its answer.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::string::FromUtf8Error;
use std::time::Duration;

use thiserror::Error;

use crate::report::print_error;

/// Time limit for each step of a request.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum length of an answer, in bytes: that of the largest fleet fits.
const MAX_ANSWER_BYTES: u64 = 16 << 20;

/// Why there is no answer.
#[derive(Debug, Error)]
pub enum RequestError {
    /// The node cannot be reached.
    #[error("{address}: {source}")]
    Io {
        /// Address of the node.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The node rejected the command.
    #[error("{address}: {reason}")]
    Rejected {
        /// Address of the node.
        address: SocketAddr,
        /// Its reason.
        reason: String,
    },
    /// The node closed the connection without an answer.
    #[error("{address}: no answer")]
    NoAnswer {
        /// Address of the node.
        address: SocketAddr,
    },
    /// The answer is not text.
    #[error(transparent)]
    Encoding(#[from] FromUtf8Error),
}

/// Sends a command and returns the answer.
///
/// # Errors
/// See [`RequestError`].
pub fn request(address: SocketAddr, command: &str) -> Result<String, RequestError> {
    let bytes = exchange(address, command).map_err(|source| RequestError::Io { address, source })?;
    let answer = String::from_utf8(bytes)?;
    if let Some(reason) = answer.strip_prefix("ERR ") {
        return Err(RequestError::Rejected { address, reason: reason.trim().to_owned() });
    }
    if answer.is_empty() {
        print_error("pumicehead: the node ended before it answered");
        return Err(RequestError::NoAnswer { address });
    }
    Ok(answer)
}

fn exchange(address: SocketAddr, command: &str) -> io::Result<Vec<u8>> {
    let mut stream = TcpStream::connect_timeout(&address, TIMEOUT)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    stream.set_write_timeout(Some(TIMEOUT))?;
    stream.write_all(format!("{command}\n").as_bytes())?;
    let mut answer = Vec::new();
    stream.take(MAX_ANSWER_BYTES).read_to_end(&mut answer)?;
    Ok(answer)
}
