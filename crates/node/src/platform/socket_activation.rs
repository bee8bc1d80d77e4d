//! The listening socket that the platform holds open, so that a new version can start beside the old one.
//!
//! Safe code can't take over a descriptor by its number, and `listenfd` does so by systemd's protocol only. So the program
//! re-executes itself, as the same process, with the platform's number in the variables of that protocol.

use std::env;
use std::io;
use std::os::unix::process::CommandExt;
use std::process::Command;

use listenfd::ListenFd;
use thiserror::Error;
use tokio::net::TcpListener;

/// Variable in which the platform passes the descriptor's number.
const DESCRIPTOR_VARIABLE: &str = "EDGE_FD";
/// Variables of systemd's protocol (`sd_listen_fds(3)`), with `listenfd`'s one for the first descriptor.
const COUNT_VARIABLE: &str = "LISTEN_FDS";
const FIRST_DESCRIPTOR_VARIABLE: &str = "LISTEN_FDS_FIRST_FD";
const PROCESS_VARIABLE: &str = "LISTEN_PID";
/// Standard input, output and error are no sockets for clients.
const LAST_STANDARD_DESCRIPTOR: i32 = 2;

/// The inherited socket can't be used.
#[derive(Debug, Error)]
pub enum SocketActivationError {
    /// The variable has no number of a descriptor.
    #[error("{DESCRIPTOR_VARIABLE} is `{0}`, not the number of a descriptor")]
    InvalidNumber(String),
    /// The process can't re-execute itself.
    #[error("can't start again for {DESCRIPTOR_VARIABLE}: {0}")]
    Execute(#[source] io::Error),
    /// The descriptor is not a TCP socket, or can't be used as one.
    #[error("the socket of {DESCRIPTOR_VARIABLE}: {0}")]
    Socket(#[source] io::Error),
    /// The platform names a socket, and systemd's variables name none.
    #[error("{DESCRIPTOR_VARIABLE} names a socket, and {COUNT_VARIABLE} none")]
    NotPassed,
}

/// Re-executes this process where it inherits a socket and systemd's variables don't name it yet. Must be called before
/// the process has threads or descriptors of its own.
///
/// # Errors
/// [`SocketActivationError::InvalidNumber`] or [`SocketActivationError::Execute`].
pub fn reexecute_with_listen_fds() -> Result<(), SocketActivationError> {
    let Some(number) = env::var_os(DESCRIPTOR_VARIABLE) else { return Ok(()) };
    if env::var_os(FIRST_DESCRIPTOR_VARIABLE).as_ref() == Some(&number) {
        return Ok(());
    }
    let descriptor: i32 = number
        .to_str()
        .and_then(|text| text.parse().ok())
        .filter(|&descriptor| descriptor > LAST_STANDARD_DESCRIPTOR)
        .ok_or_else(|| SocketActivationError::InvalidNumber(number.display().to_string()))?;
    let mut command = Command::new(env::current_exe().map_err(SocketActivationError::Execute)?);
    command
        .env(COUNT_VARIABLE, "1")
        .env(FIRST_DESCRIPTOR_VARIABLE, descriptor.to_string())
        .env_remove(PROCESS_VARIABLE);
    // It returns only where it fails.
    Err(SocketActivationError::Execute(command.exec()))
}

/// The inherited socket, if there is one.
///
/// # Errors
/// [`SocketActivationError::Socket`] or [`SocketActivationError::NotPassed`].
pub fn inherited_listener() -> Result<Option<TcpListener>, SocketActivationError> {
    if env::var_os(DESCRIPTOR_VARIABLE).is_none() {
        return Ok(None);
    }
    let passed = ListenFd::from_env().take_tcp_listener(0).map_err(SocketActivationError::Socket)?;
    let listener = passed.ok_or(SocketActivationError::NotPassed)?;
    listener.set_nonblocking(true).map_err(SocketActivationError::Socket)?;
    TcpListener::from_std(listener).map(Some).map_err(SocketActivationError::Socket)
}
