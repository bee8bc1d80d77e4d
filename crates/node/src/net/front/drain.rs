//! The orderly end of a front: at SIGTERM, or when its listener is gone from the configuration.

use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::time::{Instant, sleep, timeout_at};

use super::conn::RESTED;
use super::{ACCEPT_PAUSE, Front};

/// After SIGTERM new connections go on coming for up to 0.4 s: accepting ends after this ...
const ACCEPT_ON: Duration = Duration::from_millis(500);
/// ... or once so long has passed without a new one, but at the latest ...
const ACCEPT_QUIET: Duration = Duration::from_millis(200);
/// ... after this.
const ACCEPT_MOST: Duration = Duration::from_millis(1_500);
/// A new connection that has asked nothing for so long is idle.
const FRESH: Duration = Duration::from_millis(700);
/// What is still open so long after the last deadline fails.
const LAST_MARGIN: Duration = Duration::from_millis(400);

/// Why a front ends.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// The process does.
    Process,
    /// Its listener is gone from the configuration; others go on.
    Listener,
}

impl Front {
    /// Goes on accepting while new connections come, answers with `Connection: close`, closes what is idle,
    /// and returns when all that was taken has been answered.
    pub(super) async fn drain(self: Rc<Self>, listener: TcpListener, ending: Ending) {
        self.draining.set(true);
        let start = Instant::now();
        let mut last = start;
        loop {
            self.close_idle();
            let until = (start + ACCEPT_ON).max(last + ACCEPT_QUIET).min(start + ACCEPT_MOST);
            let soon = (Instant::now() + ACCEPT_PAUSE).min(until);
            match timeout_at(soon, self.accept(&listener)).await {
                Ok((stream, peer)) => {
                    last = Instant::now();
                    self.clone().take(stream, peer);
                }
                Err(_) if soon == until => break,
                Err(_) => {}
            }
        }
        drop(listener);
        let end = start + self.options.get().last_deadline + LAST_MARGIN;
        while self.open() > 0 {
            self.close_idle();
            let now = Instant::now();
            // A front that ends alone has no say over the requests of others; its own end by their deadlines.
            if now >= end && ending == Ending::Process {
                (self.give_up)();
            }
            // Answers get a moment to be written; what is left then is lingering or says nothing.
            if now >= end + LAST_MARGIN / 4 {
                break;
            }
            sleep(ACCEPT_PAUSE).await;
        }
    }

    /// Its connections.
    fn open(&self) -> usize {
        let mut count = 0;
        self.budget.each_of(self, |_| count += 1);
        count
    }

    fn close_idle(&self) {
        self.budget.each_of(self, |conn| {
            // The last answer must have arrived by now.
            let rested = if conn.used() { RESTED } else { FRESH };
            if conn.is_idle() && conn.since.get().elapsed() > rested {
                conn.cut();
            }
        });
    }
}
