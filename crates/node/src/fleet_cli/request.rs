//! Sends an admin command and reads its reply.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::string::FromUtf8Error;
use std::time::Duration;

use thiserror::Error;

use crate::report::print_error;

/// Timeout for connecting, and for each read and write.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum length of a reply in bytes, enough for the largest fleet.
const MAX_REPLY_BYTES: u64 = 16 << 20;

/// Why a request failed.
#[derive(Debug, Error)]
pub enum RequestError {
    /// Communication with the node failed.
    #[error("{address}: {source}")]
    Io {
        /// Address of the node.
        address: SocketAddr,
        /// The I/O error.
        source: io::Error,
    },
    /// The node rejected the command.
    #[error("{address}: {reason}")]
    Rejected {
        /// Address of the node.
        address: SocketAddr,
        /// Reason given by the node.
        reason: String,
    },
    /// The node closed the connection without a reply.
    #[error("{address}: no reply")]
    NoReply {
        /// Address of the node.
        address: SocketAddr,
    },
    /// The reply is not valid UTF-8.
    #[error(transparent)]
    Encoding(#[from] FromUtf8Error),
}

/// Sends a command and returns the reply.
///
/// # Errors
/// Returns a [`RequestError`] if there is no reply or if it is an error.
pub fn request(address: SocketAddr, command: &str) -> Result<String, RequestError> {
    let bytes = exchange(address, command).map_err(|source| RequestError::Io { address, source })?;
    let reply = String::from_utf8(bytes)?;
    if let Some(reason) = reply.strip_prefix("ERR ") {
        return Err(RequestError::Rejected { address, reason: reason.trim().to_owned() });
    }
    if reply.is_empty() {
        print_error("pumicehead: the node closed the connection without a reply");
        return Err(RequestError::NoReply { address });
    }
    Ok(reply)
}

fn exchange(address: SocketAddr, command: &str) -> io::Result<Vec<u8>> {
    let mut stream = TcpStream::connect_timeout(&address, TIMEOUT)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    stream.set_write_timeout(Some(TIMEOUT))?;
    stream.write_all(format!("{command}\n").as_bytes())?;
    let mut reply = Vec::new();
    stream.take(MAX_REPLY_BYTES).read_to_end(&mut reply)?;
    Ok(reply)
}
