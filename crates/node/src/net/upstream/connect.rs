//! Establishes connections to endpoints, for all protocols.

use std::io;
use std::time::Duration;

use tokio::time::timeout;

use crate::net::upstream::transport::AttemptResult;

/// Waits for a connection; a timeout or an error ends the attempt.
///
/// # Errors
/// The result of the attempt, if no connection was established.
pub(super) async fn connect<S>(
    connecting: impl Future<Output = io::Result<S>>,
    connect_timeout: Duration,
) -> Result<S, AttemptResult> {
    match timeout(connect_timeout, connecting).await {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(error)) => Err(AttemptResult::connect_failed(is_refusal(error.kind()))),
        Err(_) => Err(AttemptResult::connect_failed(false)),
    }
}

/// Whether the error shows that no process listens at the address. The file of a Unix socket may not exist if no
/// process listens on it.
fn is_refusal(error: io::ErrorKind) -> bool {
    matches!(error, io::ErrorKind::ConnectionRefused | io::ErrorKind::NotFound)
}
