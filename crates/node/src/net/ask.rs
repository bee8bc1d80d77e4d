//! Where requests come from: what a front hands to an event loop, and what it gets back. No protocol here.

use std::cell::{Cell, RefCell};
use std::net::{IpAddr, SocketAddr};
use std::rc::{Rc, Weak};
use std::time::Duration;

use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::{Method, StatusCode, Uri};
use pumicehead_ops::figures::Outcome;
use pumicehead_policy::interface::{Nanos, RequestId, Settings};
use pumicehead_policy::policy::Knowledge;
use rustc_hash::FxHashSet;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use super::body::Body;
use super::core::{Members, Message};
use super::discovery::List;
use super::upload::Upload;

/// A request as it goes on to a server.
#[derive(Default)]
pub struct Call {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// Body, or as much of it as is held.
    pub body: Bytes,
    /// The rest of it.
    pub rest: Option<Rc<Upload>>,
    /// Where the client is, for protocols that tell servers.
    pub peer: Option<IpAddr>,
}

/// A client's request with what the module wants to know of it.
pub struct Ask {
    /// A name for it that no other open request has.
    pub correlation: Box<str>,
    /// Class.
    pub class: usize,
    /// Tenant, where there are tenants.
    pub tenant: Option<usize>,
    /// Expected work.
    pub hint: Option<Nanos>,
    /// What it is about.
    pub key: Option<Vec<u8>>,
    /// How long the client waits from now on.
    pub left: Duration,
    /// What goes on to a server.
    pub call: Call,
}

/// A server's whole answer.
pub struct Served {
    /// Its status.
    pub status: StatusCode,
    /// Its fields.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Body,
}

/// A final answer.
pub enum Answer {
    /// A server's.
    Served(Served),
    /// Come back later; nothing happened.
    Refused(Option<Nanos>),
    /// It failed, with no promise.
    Failed,
    /// It failed since its time is up.
    Late,
    /// Its body was too slow or broke off on its way to a server.
    Broken,
    /// Its body proved too long on its way to a server.
    TooLong,
}

impl Answer {
    /// What it counts as.
    pub fn outcome(&self) -> Outcome {
        match self {
            Self::Served(served) if served.status.is_server_error() => Outcome::Failed,
            Self::Served(_) => Outcome::Completed,
            Self::Refused(_) => Outcome::Rejected,
            Self::Failed | Self::Late | Self::Broken | Self::TooLong => Outcome::Failed,
        }
    }
}

/// Requests without a final answer, by their names: one set for all loops of a node.
#[derive(Clone, Default)]
pub struct Held(Rc<RefCell<FxHashSet<Box<str>>>>);

impl Held {
    /// How many there are.
    pub fn count(&self) -> usize {
        self.0.borrow().len()
    }
}

/// A front's way to an event loop.
#[derive(Clone)]
pub struct Handle {
    messages: mpsc::UnboundedSender<Message>,
    /// Shared by all clones; the loop sees by it whether any are left.
    next: Rc<Cell<u32>>,
    held: Held,
}

/// The name of a request without a final answer, or whose answer is on its way.
struct Name {
    held: Held,
    correlation: Box<str>,
}

impl Drop for Name {
    fn drop(&mut self) {
        self.held.0.borrow_mut().remove(&self.correlation);
    }
}

/// Tells of a client that left before its answer.
struct Waiting<'a> {
    handle: &'a Handle,
    id: RequestId,
    answered: bool,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if !self.answered {
            let _ = self.handle.messages.send(Message::ClientGone(self.id));
        }
    }
}

impl Handle {
    pub(super) fn new(messages: mpsc::UnboundedSender<Message>, held: Held) -> (Self, Weak<Cell<u32>>) {
        let next = Rc::default();
        let alive = Rc::downgrade(&next);
        (Self { messages, next, held }, alive)
    }

    /// Waits for the final answer; dropped before, the client is gone. `None`: a request of this name is open,
    /// and this one goes nowhere.
    pub async fn ask(&self, ask: Ask) -> Option<Answer> {
        let correlation = ask.correlation.clone();
        if !self.held.0.borrow_mut().insert(correlation.clone()) {
            return None;
        }
        let name = Name { held: self.held.clone(), correlation };
        let id = RequestId(self.next.get());
        self.next.set(id.0.wrapping_add(1));
        let mut waiting = Waiting { handle: self, id, answered: false };
        let (sender, answer) = oneshot::channel();
        // A loop that has ended drops the sender, and the answer is a failure.
        let _ = self.messages.send(Message::Request(id, Box::new(ask), Instant::now(), sender));
        let answer = answer.await;
        waiting.answered = true;
        let mut answer = answer.unwrap_or(Answer::Failed);
        if let Answer::Served(served) = &mut answer {
            served.body.at_end(move |_| drop(name));
        }
        Some(answer)
    }

    /// Discovery is at this address from now on.
    pub fn move_discovery(&self, address: SocketAddr) {
        let _ = self.messages.send(Message::Moved(address));
    }

    /// The servers are these from now on.
    pub fn set_servers(&self, list: List) {
        let _ = self.messages.send(Message::Servers(list));
    }

    /// The module goes on with these settings; [`Settings::retunes_to`] must allow it.
    pub fn retune(&self, settings: Settings) {
        let _ = self.messages.send(Message::Retune(Box::new(settings)));
    }

    /// No more requests come. The loop ends with the last that it has; where the servers are `gone`, nothing new
    /// goes to them after a grace.
    pub fn retire(&self, gone: bool) {
        let _ = self.messages.send(Message::Retire { gone });
    }

    /// The book of servers taken out has changed for these names.
    pub fn restate(&self, names: Vec<String>) {
        let _ = self.messages.send(Message::Restate(names));
    }

    /// The servers as the loop sees them now; none where it has ended.
    pub async fn look(&self) -> Members {
        let (reply, members) = oneshot::channel();
        let _ = self.messages.send(Message::Look(reply));
        members.await.unwrap_or_default()
    }

    /// What the module has learned; none where the loop has ended.
    pub async fn knowledge(&self) -> Option<Knowledge> {
        let (reply, learned) = oneshot::channel();
        let _ = self.messages.send(Message::Learned(reply));
        learned.await.ok()
    }

    /// Has all that is still open fail now: the process is about to end.
    pub fn give_up(&self) {
        let _ = self.messages.send(Message::GiveUp);
    }
}
