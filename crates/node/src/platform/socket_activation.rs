//! Takes over the listening socket that the platform keeps open, so that a new version can start while the old one runs.
//!
//! Safe code can't take over a descriptor by number, and `listenfd` supports only systemd's protocol. The program therefore
//! re-executes itself (in the same process) and passes the platform's descriptor number in the variables of that protocol.

use std::env;
use std::io;
use std::os::unix::process::CommandExt;
use std::process::Command;

use listenfd::ListenFd;
use thiserror::Error;
use tokio::net::TcpListener;

/// Environment variable in which the platform passes the descriptor number.
const DESCRIPTOR_VARIABLE: &str = "EDGE_FD";
/// Environment variables of systemd's protocol (`sd_listen_fds(3)`), with the `listenfd` extension for the number of the
/// first descriptor.
const COUNT_VARIABLE: &str = "LISTEN_FDS";
const FIRST_DESCRIPTOR_VARIABLE: &str = "LISTEN_FDS_FIRST_FD";
const PROCESS_VARIABLE: &str = "LISTEN_PID";
/// The descriptors up to this one are standard input, output and error, and can't be the client socket.
const LAST_STANDARD_DESCRIPTOR: i32 = 2;

/// Why the inherited socket can't be used.
#[derive(Debug, Error)]
pub enum SocketActivationError {
    /// The value of the variable is not a valid descriptor number.
    #[error("{DESCRIPTOR_VARIABLE} is `{0}`, not a valid descriptor number")]
    InvalidNumber(String),
    /// The process can't re-execute itself.
    #[error("can't re-execute the process to take over the socket of {DESCRIPTOR_VARIABLE}: {0}")]
    Execute(#[source] io::Error),
    /// The descriptor is not a TCP socket, or can't be used as one.
    #[error("can't use the socket of {DESCRIPTOR_VARIABLE}: {0}")]
    Socket(#[source] io::Error),
    /// The platform passes a socket, but systemd's variables pass none.
    #[error("{DESCRIPTOR_VARIABLE} is set, but {COUNT_VARIABLE} passes no socket")]
    NotPassed,
}

/// Re-executes this process if it inherits a socket that is not yet named in systemd's variables. Must be called before the
/// process starts threads or opens descriptors.
///
/// # Errors
/// Returns [`SocketActivationError::InvalidNumber`] or [`SocketActivationError::Execute`].
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
    // `exec` returns only on failure.
    Err(SocketActivationError::Execute(command.exec()))
}

/// Returns the inherited socket, if there is one.
///
/// # Errors
/// Returns [`SocketActivationError::Socket`] or [`SocketActivationError::NotPassed`].
pub fn inherited_listener() -> Result<Option<TcpListener>, SocketActivationError> {
    if env::var_os(DESCRIPTOR_VARIABLE).is_none() {
        return Ok(None);
    }
    let passed = ListenFd::from_env().take_tcp_listener(0).map_err(SocketActivationError::Socket)?;
    let listener = passed.ok_or(SocketActivationError::NotPassed)?;
    listener.set_nonblocking(true).map_err(SocketActivationError::Socket)?;
    TcpListener::from_std(listener).map(Some).map_err(SocketActivationError::Socket)
}
