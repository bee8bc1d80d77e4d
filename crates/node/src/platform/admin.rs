//! Where staff call: a second address, one line to a connection. What a line means is `pumicehead-ops`'s to say.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use pumicehead_ops::book::{Book, UnixMs};
use pumicehead_ops::call::{Call, LONGEST_LINE, no, yes};
use pumicehead_ops::figures::{Figures, Now};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Mutex;
use tokio::task::{self, AbortHandle};
use tokio::time::{sleep, timeout};

use super::handover::{Handover, Left};
use super::keep::Keep;
use crate::net::ask::{Handle, Held};
use crate::net::front::Front;
use crate::net::hands::Hands;

/// Callers at once; one more takes the place of the one that has waited longest without a whole line.
pub const MOST_CALLERS: usize = 8;
/// Longest that a caller may take over its line, and then over reading the answer.
const PATIENCE: Duration = Duration::from_secs(5);
/// What a caller still sends is read on for so long, and so much of it.
const LINGER: Duration = Duration::from_millis(500);
const LINGER_BYTES: u64 = 64 << 10;
/// Longest that a call is kept from its answer by another one that changes the book.
const TURN_WAIT: Duration = Duration::from_millis(800);
/// How often the file of the book is looked at: another process of this node may have been called.
const LOOK: Duration = Duration::from_millis(200);
/// How often what was learned is written down: a new version believes it less the older it is, and starts at any time.
const HAND_OVER: Duration = Duration::from_secs(1);
/// Pause after an accept that failed for lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// What calls are about.
pub struct Admin {
    /// The loop of the servers.
    pub core: Handle,
    /// The front of the clients.
    pub front: Rc<Front>,
    /// Requests in hand.
    pub held: Held,
    /// Counts.
    pub figures: Rc<Figures>,
    /// Servers out by hand.
    pub hands: Rc<Hands>,
    /// Where that is kept; without a place for it, in memory alone. One call changes it at a time.
    pub keep: Mutex<Option<Keep>>,
    /// What the next process is to know of this one, where there may be one.
    pub handover: Option<Handover>,
}

/// A caller's task; whoever has waited longest is first.
struct Callers(RefCell<VecDeque<AbortHandle>>);

impl Admin {
    /// Takes calls for as long as the process lives.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        let callers = Callers(RefCell::default());
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    eprintln!("calls: accept: {error}");
                    sleep(ACCEPT_PAUSE).await;
                    continue;
                }
            };
            let admin = self.clone();
            let caller = task::spawn_local(async move {
                // However it ends, there is nobody else to tell.
                let _ = admin.take(stream).await;
            });
            callers.add(caller.abort_handle());
        }
    }

    /// Reads the book's file whenever another process has changed it.
    pub async fn follow(self: Rc<Self>) {
        loop {
            sleep(LOOK).await;
            if let Some(keep) = &mut *self.keep.lock().await {
                match keep.changed() {
                    Ok(Some(book)) => self.go_by(book),
                    Ok(None) => {}
                    Err(error) => eprintln!("servers taken out: {error}"),
                }
            }
        }
    }

    /// Leaves what this process has learned for the next one, until it ends.
    pub async fn hand_over(self: Rc<Self>) {
        let Some(handover) = &self.handover else { return };
        while !self.front.is_draining() {
            sleep(HAND_OVER).await;
            if let Err(error) = self.leave(handover).await {
                eprintln!("what this process has learned is not left for the next: {error}");
                return;
            }
        }
    }

    async fn leave(&self, handover: &Handover) -> io::Result<()> {
        let Some(knowledge) = self.core.knowledge().await else { return Ok(()) };
        let listed = self.hands.listed.borrow().names().map(str::to_owned).collect();
        handover.write(&Left { listed, knowledge, lame: self.front.is_lame() })
    }

    /// Empties the node or takes it back to work. The next process must know before the caller does: it may start at
    /// any time from then on.
    async fn set_lame(&self, lame: bool) -> String {
        self.front.set_lame(lame);
        let left = match &self.handover {
            Some(handover) => self.leave(handover).await,
            None => Ok(()),
        };
        match left {
            Ok(()) => yes(""),
            Err(error) => yes(&format!("but a next process will not know: {error}")),
        }
    }

    async fn take(&self, mut stream: TcpStream) -> io::Result<()> {
        let Ok(line) = timeout(PATIENCE, line(&mut stream)).await else { return Ok(()) };
        let answer = match line? {
            Some(line) => self.answer(&line).await,
            None => no("the line has no end"),
        };
        timeout(PATIENCE, stream.write_all(answer.as_bytes())).await??;
        stream.shutdown().await?;
        // Closing on bytes that are unread resets the connection, and a reset can overtake the answer.
        let mut rest = stream.take(LINGER_BYTES);
        let _ = timeout(LINGER, tokio::io::copy(&mut rest, &mut tokio::io::sink())).await;
        Ok(())
    }

    async fn answer(&self, line: &[u8]) -> String {
        let call = match Call::parse(line) {
            Ok(call) => call,
            Err(error) => return no(&error.to_string()),
        };
        match call {
            Call::Ping if self.front.is_draining() => no("this process ends"),
            Call::Ping if self.core.look().await.listed == 0 => no("no server is known yet"),
            Call::Ping if self.front.is_lame() => yes("serves what comes, and is emptied"),
            Call::Ping => yes(""),
            Call::Info => {
                let members = self.core.look().await;
                let now = Now {
                    pending: self.held.count(),
                    members: members.listed,
                    members_unavailable: members.unavailable,
                };
                self.figures.text(now) + "END\n"
            }
            Call::LameDuck => self.set_lame(true).await,
            Call::Rejoin => self.set_lame(false).await,
            Call::Detach(server) => self.set_out(&server, true).await,
            Call::Attach(server) => self.set_out(&server, false).await,
        }
    }

    async fn set_out(&self, server: &str, out: bool) -> String {
        let known = self.hands.book.borrow().knows(server);
        if let Err(error) = self.hands.listed.borrow().check(server)
            && !known
        {
            return no(&error.to_string());
        }
        let Ok(mut keep) = timeout(TURN_WAIT, self.keep.lock()).await else {
            return no("other calls take too long");
        };
        let change = |book: &mut Book| {
            if out {
                return book.detach(server, unix_ms());
            }
            book.attach(server, unix_ms());
            Ok(())
        };
        let mut book = self.hands.book.borrow().clone();
        let changed = match &mut *keep {
            Some(keep) => keep.change(&book, change).await.map_err(|error| error.to_string()),
            None => change(&mut book).map(|()| book).map_err(|error| error.to_string()),
        };
        match changed {
            Ok(book) => {
                self.go_by(book);
                yes("")
            }
            Err(error) => no(&error),
        }
    }

    fn go_by(&self, book: Book) {
        let names = self.hands.book.borrow().changed(&book);
        *self.hands.book.borrow_mut() = book;
        if !names.is_empty() {
            self.core.restate(names.into_iter().collect());
        }
    }
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

/// The machine's clock: the book's times are for the processes of one machine.
fn unix_ms() -> UnixMs {
    let span = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
