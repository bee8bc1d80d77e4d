//! What staff's calls do to the platform's node. What a line means is `pumicehead-admin`'s to say.

use std::io;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use pumicehead_admin::book::{Book, UnixMs};
use pumicehead_admin::call::{Call, no, yes};
use pumicehead_admin::figures::{Figures, Now};
use tokio::sync::Mutex;
use tokio::time::{sleep, timeout};
use tracing::warn;

use super::handover::{Handover, Left};
use super::keep::Keep;
use crate::calls::Answers;
use crate::eyes::Eyes;
use crate::net::admin_overrides::AdminOverrides;
use crate::net::downstream::DownstreamListener;
use crate::net::pool_handle::{ActiveRequestIds, PoolHandle};

/// Longest that a call is kept from its answer by another one that changes the book.
const TURN_WAIT: Duration = Duration::from_millis(800);
/// How often the file of the book is looked at: another process of this node may have been called.
const LOOK: Duration = Duration::from_millis(200);
/// How often what was learned is written down: a new version believes it less the older it is, and starts at any time.
const HAND_OVER: Duration = Duration::from_secs(1);

/// What calls are about.
pub struct Admin {
    /// The loop of the servers.
    pub core: PoolHandle,
    /// The front of the clients.
    pub front: Rc<DownstreamListener>,
    /// Requests in hand.
    pub held: ActiveRequestIds,
    /// Counts.
    pub figures: Rc<Figures>,
    /// Servers out by hand.
    pub hands: Rc<AdminOverrides>,
    /// Where that is kept; without a place for it, in memory alone. One call changes it at a time.
    pub keep: Mutex<Option<Keep>>,
    /// What the next process is to know of this one, where there may be one.
    pub handover: Option<Handover>,
    /// What it can be asked about itself.
    pub eyes: Rc<Eyes>,
}

impl Admin {
    /// Reads the book's file whenever another process has changed it.
    pub async fn follow(self: Rc<Self>) {
        loop {
            sleep(LOOK).await;
            if let Some(keep) = &mut *self.keep.lock().await {
                match keep.changed() {
                    Ok(Some(book)) => self.go_by(book),
                    Ok(None) => {}
                    Err(error) => warn!(target: "calls", "servers taken out: {error}"),
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
                warn!(target: "upgrade", "what this process has learned is not left for the next: {error}");
                return;
            }
        }
    }

    async fn leave(&self, handover: &Handover) -> io::Result<()> {
        let Some(knowledge) = self.core.warm_state().await else { return Ok(()) };
        let listed = self.hands.listed.borrow().names().map(str::to_owned).collect();
        handover.write(&Left { listed, knowledge, lame: self.front.is_lame_duck() })
    }

    /// Empties the node or takes it back to work. The next process must know before the caller does: it may start at
    /// any time from then on.
    async fn set_lame(&self, lame: bool) -> String {
        self.front.set_lame_duck(lame);
        let left = match &self.handover {
            Some(handover) => self.leave(handover).await,
            None => Ok(()),
        };
        match left {
            Ok(()) => yes(""),
            Err(error) => yes(&format!("but a next process will not know: {error}")),
        }
    }

    async fn text(&self, call: Call) -> String {
        match call {
            Call::Ping if self.front.is_draining() => no("this process ends"),
            Call::Ping if self.core.endpoint_counts().await.listed == 0 => no("no server is known yet"),
            Call::Ping if self.front.is_lame_duck() => yes("serves what comes, and is emptied"),
            Call::Ping => yes(""),
            Call::Info => {
                let members = self.core.endpoint_counts().await;
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
            Call::Members | Call::WhyMember(_) => no("this node shares nothing with others"),
            Call::Config => no("this node's configuration has no revisions"),
            // The eyes' own.
            Call::Trace | Call::Metrics | Call::Filter(_) | Call::Record(_) => String::new(),
        }
    }

    /// What is in hand now.
    async fn gauges(&self) -> [(&'static str, f64); 3] {
        let members = self.core.endpoint_counts().await;
        [
            ("pumicehead_requests_open", self.held.count() as f64),
            ("pumicehead_servers", members.listed as f64),
            ("pumicehead_servers_unavailable", members.unavailable as f64),
        ]
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
            self.core.refresh_overrides(names.into_iter().collect());
        }
    }
}

impl Answers for Admin {
    async fn answer(&self, call: Call) -> Vec<u8> {
        match self.eyes.answer(&call, async || self.gauges().await.to_vec()).await {
            Some(answer) => answer,
            None => self.text(call).await.into_bytes(),
        }
    }
}

/// The machine's clock: the book's times are for the processes of one machine.
fn unix_ms() -> UnixMs {
    let span = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
