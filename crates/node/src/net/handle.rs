//! A front's way to an event loop.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};

use pumicehead_flight_recorder::event::{Event, Turned};
use pumicehead_policy::WarmState;
use pumicehead_policy::{NodeShare, RequestId, Settings};
use rustc_hash::FxHashSet;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use super::ask::{Answer, Ask};
use super::discovery::List;
use super::message::{Members, Message};
use super::tap::Tap;

/// Requests without a final answer, and the names in use: one of these for all loops of a node.
#[derive(Clone, Default)]
pub struct Held(Rc<HeldState>);

#[derive(Default)]
struct HeldState {
    count: Cell<usize>,
    names: RefCell<FxHashSet<Box<str>>>,
}

impl Held {
    /// How many requests have no final answer, or one that is on its way.
    pub fn count(&self) -> usize {
        self.0.count.get()
    }

    fn one_more(&self) -> Counted {
        self.0.count.set(self.count() + 1);
        Counted(self.clone())
    }

    /// Takes a name; `None` where it is in use.
    fn take(&self, correlation: &str) -> Option<Rc<Name>> {
        let fresh = self.0.names.borrow_mut().insert(correlation.into());
        fresh.then(|| Rc::new(Name { held: self.clone(), correlation: correlation.into() }))
    }
}

/// A front's way to an event loop.
#[derive(Clone)]
pub struct Handle {
    messages: mpsc::UnboundedSender<Message>,
    /// Shared by all clones; the loop sees by it whether any are left.
    next: Rc<Cell<u32>>,
    held: Held,
    tap: Option<Tap>,
}

/// The name of a request that has no final answer, whose answer is on its way, or of which an attempt is out.
pub(super) struct Name {
    held: Held,
    correlation: Box<str>,
}

impl Drop for Name {
    fn drop(&mut self) {
        self.held.0.names.borrow_mut().remove(&self.correlation);
    }
}

/// One of the requests that count as held.
struct Counted(Held);

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.0.count.set(self.0.count() - 1);
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
    pub(super) fn new(
        messages: mpsc::UnboundedSender<Message>,
        held: Held,
        tap: Option<Tap>,
    ) -> (Self, Weak<Cell<u32>>) {
        let next = Rc::default();
        let alive = Rc::downgrade(&next);
        (Self { messages, next, held, tap }, alive)
    }

    /// A front answers a request of a class by itself.
    pub fn turned(&self, class: usize, why: Turned) {
        if let Some(tap) = &self.tap {
            tap.record(&Event::Turned { class: class as u16, why });
        }
    }

    /// Waits for the final answer; dropped before, the client is gone. `None`: a request of this name is open,
    /// and this one goes nowhere.
    pub async fn ask(&self, ask: Ask) -> Option<Answer> {
        let name = self.held.take(&ask.correlation)?;
        let counted = self.held.one_more();
        let id = RequestId(self.next.get());
        self.next.set(id.0.wrapping_add(1));
        let mut waiting = Waiting { handle: self, id, answered: false };
        let (sender, answer) = oneshot::channel();
        // A loop that has ended drops the sender, and the answer is a failure.
        let _ = self.messages.send(Message::Request(id, Box::new(ask), Instant::now(), sender, name.clone()));
        let answer = answer.await;
        waiting.answered = true;
        let mut answer = answer.unwrap_or(Answer::Failed);
        if let Answer::Served(served) = &mut answer {
            served.body.at_end(move |_| drop((name, counted)));
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

    /// The module goes on with these settings; [`Settings::can_update_to`] must allow it.
    pub fn retune(&self, settings: Box<Settings>) {
        let _ = self.messages.send(Message::Retune(settings));
    }

    /// So many nodes share the servers from now on.
    pub fn share(&self, sharing: NodeShare) {
        let _ = self.messages.send(Message::Sharing(sharing));
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
    pub async fn knowledge(&self) -> Option<WarmState> {
        let (reply, learned) = oneshot::channel();
        let _ = self.messages.send(Message::Learned(reply));
        learned.await.ok()
    }

    /// Has all that is still open fail now: the process is about to end.
    pub fn give_up(&self) {
        let _ = self.messages.send(Message::GiveUp);
    }
}
