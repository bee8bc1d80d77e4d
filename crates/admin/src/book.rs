//! The book of servers taken out by hand: who is out, who came back when. By name, so that it holds across changes of the
//! list, and as a text, so that it holds across a change of the process.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::call::LONGEST_NAME;

/// A time in Unix milliseconds, of one machine's clock.
pub type UnixMs = u64;

/// The form of the text.
const VERSION: u32 = 1;
/// Most servers that may be out: more than a fleet of any size that one node uses has.
pub const MOST_OUT: usize = 4_096;
/// A return is remembered for so long, far longer than a server takes to warm up.
pub const REMEMBERED_MS: UnixMs = 600_000;
/// Names of servers that were ever listed; of more than these some are forgotten, and a call about one gets a no.
pub const MOST_LISTED: usize = 20_000;
/// Longest text that is read: all entries with the longest names.
pub const LONGEST_TEXT: usize = MOST_OUT * (LONGEST_NAME + 100);

/// How a server stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Hand {
    /// Taken out then.
    Out(UnixMs),
    /// Taken out and brought back then.
    Back {
        /// When it was taken out first.
        out: UnixMs,
        /// When it was brought back.
        back: UnixMs,
    },
}

/// What the book makes of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stand {
    /// It gets nothing.
    Out,
    /// It may serve; its process is no older than this.
    In {
        /// Unix milliseconds; 0 is long ago.
        born_ms: UnixMs,
    },
}

/// Why a call on the book, or a text of it, is turned down.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum BookError {
    /// No such server.
    #[error("no server `{0}` was ever listed")]
    NeverListed(String),
    /// Too many are out.
    #[error("{MOST_OUT} servers are out already")]
    Full,
    /// A text that can't be read.
    #[error("the book of servers taken out: {0}")]
    Text(String),
}

/// The book.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Book {
    hands: BTreeMap<String, Hand>,
}

#[derive(Serialize, Deserialize)]
struct Text {
    v: u32,
    servers: BTreeMap<String, Hand>,
}

impl Book {
    /// Reads a text that [`Book::text`] wrote.
    ///
    /// # Errors
    /// What is wrong with it.
    pub fn parse(text: &[u8]) -> Result<Self, BookError> {
        if text.len() > LONGEST_TEXT {
            return Err(BookError::Text("too long".into()));
        }
        let text: Text = serde_json::from_slice(text).map_err(|error| BookError::Text(error.to_string()))?;
        if text.v != VERSION {
            return Err(BookError::Text(format!("version {}, not {VERSION}", text.v)));
        }
        if text.servers.len() > MOST_OUT || text.servers.keys().any(|name| name.len() > LONGEST_NAME) {
            return Err(BookError::Text("too many servers, or too long a name".into()));
        }
        Ok(Self { hands: text.servers })
    }

    /// The whole book as a text.
    #[must_use]
    pub fn text(&self) -> String {
        let text = Text { v: VERSION, servers: self.hands.clone() };
        // Strings and numbers alone: this can't fail.
        serde_json::to_string(&text).unwrap_or_default()
    }

    /// Takes a server out. Said again, it changes nothing.
    ///
    /// # Errors
    /// [`BookError::Full`].
    pub fn detach(&mut self, server: &str, now: UnixMs) -> Result<(), BookError> {
        self.forget(now);
        match self.hands.get(server) {
            Some(Hand::Out(_)) => return Ok(()),
            None if self.hands.len() >= MOST_OUT => return Err(BookError::Full),
            _ => {}
        }
        self.hands.insert(server.to_owned(), Hand::Out(now));
        Ok(())
    }

    /// Brings a server back, however often it was taken out. One that is not out stays as it is.
    pub fn attach(&mut self, server: &str, now: UnixMs) {
        self.forget(now);
        if let Some(hand) = self.hands.get_mut(server)
            && let Hand::Out(out) = *hand
        {
            *hand = Hand::Back { out, back: now };
        }
    }

    fn forget(&mut self, now: UnixMs) {
        self.hands.retain(|_, hand| match hand {
            Hand::Out(_) => true,
            Hand::Back { back, .. } => now < back.saturating_add(REMEMBERED_MS),
        });
    }

    /// How a server stands that the list dates to `born_ms`. Back from outside, one that is dated before it was taken
    /// out was restarted meanwhile: it is taken to have started with the call back, the latest that it can be.
    #[must_use]
    pub fn stand(&self, server: &str, born_ms: UnixMs) -> Stand {
        match self.hands.get(server) {
            None => Stand::In { born_ms },
            Some(Hand::Out(_)) => Stand::Out,
            Some(&Hand::Back { out, back }) => {
                Stand::In { born_ms: if born_ms <= out { born_ms.max(back) } else { born_ms } }
            }
        }
    }

    /// Whether it says anything about a server: then that was listed once, if only to an earlier process.
    #[must_use]
    pub fn knows(&self, server: &str) -> bool {
        self.hands.contains_key(server)
    }

    /// Names whose entries differ between two books.
    #[must_use]
    pub fn changed(&self, other: &Self) -> BTreeSet<String> {
        let differs = |name: &&String| self.hands.get(*name) != other.hands.get(*name);
        self.hands.keys().chain(other.hands.keys()).filter(differs).cloned().collect()
    }
}

/// Names that the list has ever held.
#[derive(Debug, Default)]
pub struct Listed(BTreeSet<String>);

impl Listed {
    /// The list holds this one.
    pub fn add(&mut self, name: &str) {
        if self.0.contains(name) {
            return;
        }
        if self.0.len() >= MOST_LISTED {
            self.0.pop_first();
        }
        self.0.insert(name.to_owned());
    }

    /// All of them.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.0.iter().map(String::as_str)
    }

    /// Whether it was ever there.
    ///
    /// # Errors
    /// [`BookError::NeverListed`].
    pub fn check(&self, name: &str) -> Result<(), BookError> {
        if self.0.contains(name) { Ok(()) } else { Err(BookError::NeverListed(name.into())) }
    }
}
