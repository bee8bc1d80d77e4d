//! Where staff call: a second address, one line to a connection.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use pumicehead_admin::call::{Call, LONGEST_LINE, no};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{self, AbortHandle};
use tokio::time::{sleep, timeout};
use tracing::warn;

/// Callers at once; one more takes the place of the one that has waited longest without a whole line.
pub const MOST_CALLERS: usize = 8;
/// Longest that a caller may take over its line, and then over reading the answer.
const PATIENCE: Duration = Duration::from_secs(5);
/// The same over some MB.
const LONG_PATIENCE: Duration = Duration::from_secs(60);
/// An answer is long from here on.
const LONG: usize = 256 << 10;
/// What a caller still sends is read on for so long, and so much of it.
const LINGER: Duration = Duration::from_millis(500);
const LINGER_BYTES: u64 = 64 << 10;
/// Pause after an accept that failed for lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Whoever answers calls.
pub trait Answers: 'static {
    /// The whole answer.
    fn answer(&self, call: Call) -> impl Future<Output = Vec<u8>>;
}

/// A caller's task; whoever has waited longest is first.
struct Callers(RefCell<VecDeque<AbortHandle>>);

/// Takes calls for as long as the process lives.
pub async fn serve(answers: Rc<impl Answers>, listener: TcpListener) {
    let callers = Callers(RefCell::default());
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!(target: "calls", "accept: {error}");
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let answers = answers.clone();
        let caller = task::spawn_local(async move {
            // However it ends, there is nobody else to tell.
            let _ = take(&*answers, stream).await;
        });
        callers.add(caller.abort_handle());
    }
}

async fn take(answers: &impl Answers, mut stream: TcpStream) -> io::Result<()> {
    let Ok(line) = timeout(PATIENCE, line(&mut stream)).await else { return Ok(()) };
    let answer = match line?.as_deref().map(Call::parse) {
        Some(Ok(call)) => answers.answer(call).await,
        Some(Err(error)) => no(&error.to_string()).into_bytes(),
        None => no("the line has no end").into_bytes(),
    };
    let patience = if answer.len() >= LONG { LONG_PATIENCE } else { PATIENCE };
    timeout(patience, stream.write_all(&answer)).await??;
    stream.shutdown().await?;
    // Closing on bytes that are unread resets the connection, and a reset can overtake the answer.
    let mut rest = stream.take(LINGER_BYTES);
    let _ = timeout(LINGER, tokio::io::copy(&mut rest, &mut tokio::io::sink())).await;
    Ok(())
}

impl Callers {
    fn add(&self, caller: AbortHandle) {
        let mut callers = self.0.borrow_mut();
        callers.retain(|caller| !caller.is_finished());
        if callers.len() >= MOST_CALLERS
            && let Some(longest) = callers.pop_front()
        {
            longest.abort();
        }
        callers.push_back(caller);
    }
}

/// A whole line; `None` where the connection ends before the line does: half a name may be another's. One that is
/// too long is cut, but still too long.
async fn line(stream: &mut TcpStream) -> io::Result<Option<Vec<u8>>> {
    let mut line = Vec::new();
    while line.len() <= LONGEST_LINE {
        let mut piece = [0; LONGEST_LINE];
        let count = stream.read(&mut piece).await?;
        if count == 0 {
            return Ok(None);
        }
        let end = piece[..count].iter().position(|&byte| byte == b'\n');
        line.extend_from_slice(&piece[..end.unwrap_or(count)]);
        if end.is_some() {
            break;
        }
    }
    Ok(Some(line))
}
