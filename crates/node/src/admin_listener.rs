//! Listener for admin commands: one command line and one reply per connection.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use pumicehead_admin::command::{Command, MAX_LINE_BYTES, error_reply};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{self, AbortHandle};
use tokio::time::{sleep, timeout};
use tracing::warn;

/// Maximum number of open connections. Accepting another one closes the oldest.
const MAX_CONNECTIONS: usize = 8;
/// Maximum number of descriptors of the listener and its connections.
pub const MAX_DESCRIPTORS: usize = 1 + MAX_CONNECTIONS;
/// Timeout for receiving the command line, and separately for sending the reply.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout for sending a reply of at least [`LONG_REPLY_BYTES`].
const LONG_REPLY_TIMEOUT: Duration = Duration::from_secs(60);
/// Minimum length of a reply, in bytes, that gets [`LONG_REPLY_TIMEOUT`].
const LONG_REPLY_BYTES: usize = 256 << 10;
/// How long bytes from the client are still read and discarded after the reply.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of bytes that are read and discarded after the reply.
const MAX_LINGER_BYTES: u64 = 64 << 10;
/// Delay after a failed accept, for example when the process is out of descriptors.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Executes admin commands.
pub trait CommandHandler: 'static {
    /// Executes a command and returns the complete reply.
    fn handle(&self, command: Command) -> impl Future<Output = Vec<u8>>;
}

/// Tasks of the open connections, oldest first.
#[derive(Default)]
struct Connections(RefCell<VecDeque<AbortHandle>>);

/// Accepts connections until the process exits.
pub async fn serve(handler: Rc<impl CommandHandler>, listener: TcpListener) {
    let connections = Connections::default();
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!(target: "admin", %error, "accept failed");
                sleep(ACCEPT_RETRY_INTERVAL).await;
                continue;
            }
        };
        let handler = handler.clone();
        let connection = task::spawn_local(async move {
            // An I/O error affects only this connection, which is closed when the task ends.
            let _ = serve_connection(&*handler, stream).await;
        });
        connections.add(connection.abort_handle());
    }
}

async fn serve_connection(handler: &impl CommandHandler, mut stream: TcpStream) -> io::Result<()> {
    let Ok(line) = timeout(CLIENT_TIMEOUT, read_line(&mut stream)).await else { return Ok(()) };
    let reply = match line?.as_deref().map(Command::parse) {
        Some(Ok(command)) => handler.handle(command).await,
        Some(Err(error)) => error_reply(&error.to_string()).into_bytes(),
        None => error_reply("the line has no end").into_bytes(),
    };
    let reply_timeout = if reply.len() >= LONG_REPLY_BYTES { LONG_REPLY_TIMEOUT } else { CLIENT_TIMEOUT };
    timeout(reply_timeout, stream.write_all(&reply)).await??;
    stream.shutdown().await?;
    // Closing a socket with unread data resets the connection, and the client may then lose the reply.
    let mut unread = stream.take(MAX_LINGER_BYTES);
    let _ = timeout(LINGER_TIMEOUT, tokio::io::copy(&mut unread, &mut tokio::io::sink())).await;
    Ok(())
}

impl Connections {
    fn add(&self, connection: AbortHandle) {
        let mut connections = self.0.borrow_mut();
        connections.retain(|connection| !connection.is_finished());
        if connections.len() >= MAX_CONNECTIONS
            && let Some(oldest) = connections.pop_front()
        {
            oldest.abort();
        }
        connections.push_back(connection);
    }
}

/// Reads a line without its line feed. Returns `None` if the connection ends first: the end of the line may be missing, and
/// a truncated name could be that of another backend. A line that is too long is returned with more than
/// [`MAX_LINE_BYTES`], so that the parser rejects it.
async fn read_line(stream: &mut TcpStream) -> io::Result<Option<Vec<u8>>> {
    let mut line = Vec::new();
    while line.len() <= MAX_LINE_BYTES {
        let mut chunk = [0; MAX_LINE_BYTES];
        let count = stream.read(&mut chunk).await?;
        if count == 0 {
            return Ok(None);
        }
        let end = chunk[..count].iter().position(|&byte| byte == b'\n');
        line.extend_from_slice(&chunk[..end.unwrap_or(count)]);
        if end.is_some() {
            break;
        }
    }
    Ok(Some(line))
}
