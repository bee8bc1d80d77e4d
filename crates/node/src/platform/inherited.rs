//! The socket for clients that the platform holds, so that a new version can start beside the old one.
//!
//! A descriptor by its number can't be taken over in safe code, and `listenfd` does so by systemd's protocol only. So
//! the program starts itself once more, as the same process, with the platform's number in that protocol's words.

use std::env;
use std::error::Error;
use std::os::unix::process::CommandExt;
use std::process::Command;

use listenfd::ListenFd;
use tokio::net::TcpListener;

/// Where the platform tells the number.
const NUMBER: &str = "EDGE_FD";
/// systemd's words (`sd_listen_fds(3)`), and where the first one is, as `listenfd` has it.
const COUNT: &str = "LISTEN_FDS";
const FIRST: &str = "LISTEN_FDS_FIRST_FD";
const PID: &str = "LISTEN_PID";

/// Starts this process anew where it inherits a socket and does not know it yet. To be called before any thread or
/// descriptor of its own is there.
///
/// # Errors
/// A number that is none, or why it can't start again.
pub fn announce() -> Result<(), Box<dyn Error>> {
    let Some(number) = env::var_os(NUMBER) else { return Ok(()) };
    if env::var_os(FIRST).as_ref() == Some(&number) {
        return Ok(());
    }
    let number: i32 = number
        .to_str()
        .and_then(|text| text.parse().ok())
        .filter(|&number| number > 2)
        .ok_or_else(|| format!("{NUMBER} is `{}`, not the number of a descriptor", number.display()))?;
    let mut again = Command::new(env::current_exe()?);
    again.env(COUNT, "1").env(FIRST, number.to_string()).env_remove(PID);
    // It comes back with an error alone.
    Err(format!("can't start again for {NUMBER}: {}", again.exec()).into())
}

/// The inherited socket, if there is one.
///
/// # Errors
/// What is there is no TCP socket.
pub fn listener() -> Result<Option<TcpListener>, Box<dyn Error>> {
    if env::var_os(NUMBER).is_none() {
        return Ok(None);
    }
    let fault = |error| format!("the socket of {NUMBER}: {error}");
    let taken = ListenFd::from_env().take_tcp_listener(0).map_err(fault)?;
    let listener = taken.ok_or_else(|| format!("{NUMBER} names a socket, and {COUNT} none"))?;
    listener.set_nonblocking(true)?;
    Ok(Some(TcpListener::from_std(listener)?))
}
