//! Why the module decided as it did: small facts beside its actions, for a recorder and for the log. They decide
//! nothing, and whoever does not read them loses nothing.

use std::fmt;

use crate::interface::{EndpointId, Nanos, RequestId, SECOND};
use crate::meter::seconds;

/// Why a server was passed over in a pick.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Hurdle {
    /// This node's places there are taken.
    Full,
    /// Set aside after failures, or silent for too long.
    OutOfOrder,
    /// Back after failures, and its one trial is out or this request may not be it.
    OnTrial,
    /// Just started: what a cold server may be sent is spent.
    Cold,
    /// A rule forbids it for this request: a drain, an effect that must not repeat, a turn, the time or the tries.
    Barred,
}

impl Hurdle {
    /// All of them, in their order in [`Hurdles`].
    pub const ALL: [Self; 5] = [Self::Full, Self::OutOfOrder, Self::OnTrial, Self::Cold, Self::Barred];
}

/// How many servers were passed over in a pick, by hurdle in the order of [`Hurdle::ALL`]; a pick looks at some tens
/// of servers at most, and more than 255 count as 255.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Hurdles(pub [u8; 5]);

impl Hurdles {
    /// One more.
    pub fn add(&mut self, hurdle: Hurdle) {
        let count = &mut self.0[hurdle as usize];
        *count = count.saturating_add(1);
    }

    /// What stood in the way of most servers; `None` where no server was looked at.
    #[must_use]
    pub fn most(&self) -> Option<Hurdle> {
        let counted = Hurdle::ALL.into_iter().zip(self.0).filter(|&(_, count)| count > 0);
        counted.max_by_key(|&(hurdle, count)| (count, std::cmp::Reverse(hurdle))).map(|(hurdle, _)| hurdle)
    }
}

/// What a pick has seen.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Look {
    pub best: Option<(f64, usize)>,
    pub next: Option<(f64, usize)>,
    pub found: usize,
    pub hurdles: Hurdles,
}

impl Look {
    /// A server with room, by its slot; of equal ones the first is best.
    pub fn offer(&mut self, score: f64, slot: usize) {
        self.found += 1;
        if self.best.is_none_or(|(least, _)| score < least) {
            self.next = self.best.replace((score, slot));
        } else if self.next.is_none_or(|(least, _)| score < least) {
            self.next = Some((score, slot));
        }
    }
}

/// Why a request gets no further attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stop {
    /// It has made all the attempts that it may.
    Attempts,
    /// It may have run, and must not take effect again.
    Effect,
    /// There is no time left.
    Time,
    /// Retries are a share of requests, and that is spent.
    Budget,
}

/// The rule by which the module gives a final answer of its own. Whether it is worded as a refusal or as a failure
/// depends on whether the request may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// Its tier's queue is so long that the wait would take too large a share of its time.
    WaitShare,
    /// It was held until nearly no time was left for its aim.
    NearlyOut,
    /// Its key's turn did not come in time.
    NoTurn,
    /// An attempt has ended badly, and there is no other.
    NoRetry(Stop),
}

/// Why a limit moved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Moved {
    /// The server's latency differs from the others'.
    Compared,
    /// An attempt there failed or was turned away.
    Failure,
}

/// A fact.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Note {
    /// A request was ranked.
    Taken {
        /// Which.
        id: RequestId,
        /// Its tier, 0 the highest.
        tier: u8,
        /// Its worth, less what its tenant is over its share.
        worth: f32,
        /// An answer after this is late.
        aim_at: Nanos,
    },
    /// It waits: no server has room for it.
    Held {
        /// Which.
        id: RequestId,
        /// How many wait with it, of all tiers.
        held: u32,
    },
    /// A server was picked.
    Picked {
        /// For which request.
        id: RequestId,
        /// The server.
        server: EndpointId,
        /// Its smoothed latency over the expected, times own attempts and one.
        score: f32,
        /// The runner-up and its score.
        next: Option<(EndpointId, f32)>,
        /// Own attempts there before this one.
        out: u16,
        /// Its limit.
        limit: f32,
        /// Who was passed over.
        hurdles: Hurdles,
    },
    /// No server could be picked.
    NoneFits {
        /// For which request.
        id: RequestId,
        /// What stood in the way; all zero where the sum of limits was used up before any was looked at.
        hurdles: Hurdles,
    },
    /// The module gives the final answer itself.
    Over {
        /// To which request.
        id: RequestId,
        /// By which rule.
        rule: Rule,
        /// The queue's wait as the rule saw it, over the time left; 0 where the rule does not look at it.
        pressure: f32,
    },
    /// A server's limit moved.
    Limit {
        /// Whose.
        server: EndpointId,
        /// Before.
        from: f32,
        /// From now on.
        to: f32,
        /// Why.
        why: Moved,
    },
    /// All limits moved with the latency of all.
    Limits {
        /// By this factor.
        factor: f32,
        /// Smoothed latency over its mark: above 1 they fall.
        load: f32,
    },
    /// A server is set aside.
    Aside {
        /// Which.
        server: EndpointId,
        /// For how long.
        span: Nanos,
    },
    /// It has answered again.
    Back {
        /// Which.
        server: EndpointId,
    },
    /// How many servers in use look out of order.
    Doubt {
        /// So many.
        bad: u32,
        /// Of so many.
        all: u32,
        /// Most do: then it is not they, and all are used.
        most: bool,
    },
    /// Overload begins.
    Overload {
        /// Requests held.
        held: u32,
    },
    /// It is over.
    Calm,
    /// The list of servers is no longer told.
    ListLost,
    /// It is again.
    ListRegained,
}

impl Note {
    /// Whether it belongs in a log as it is: few and telling.
    #[must_use]
    pub fn is_news(&self) -> bool {
        self.kind().is_some()
    }

    /// Its kind among news.
    fn kind(&self) -> Option<usize> {
        Some(match self {
            Self::ListLost => 0,
            Self::Doubt { .. } => 1,
            Self::Overload { .. } => 2,
            Self::Calm => 3,
            Self::Back { .. } => 4,
            Self::ListRegained => 5,
            Self::Aside { .. } => 6,
            _ => return None,
        })
    }
}

impl fmt::Display for Note {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ListLost => write!(out, "list of servers lost, going on with the last one"),
            Self::ListRegained => write!(out, "list of servers regained"),
            Self::Doubt { bad, all, most } => {
                write!(out, "{bad} of {all} servers look out of order; most in doubt: {most}")
            }
            Self::Overload { held } => {
                write!(out, "overload entered: {held} requests held, refusing the lowest tiers")
            }
            Self::Calm => write!(out, "overload left"),
            Self::Aside { server, span } => {
                write!(out, "server {} set aside for {:.1} s", server.0, seconds(*span))
            }
            Self::Back { server } => write!(out, "server {} is back", server.0),
            other => write!(out, "{other:?}"),
        }
    }
}

/// Least time between two lines of one kind.
const EVERY: Nanos = 5 * SECOND;

/// Picks, for hosts that keep a plain log, a line of each kind of news every few seconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct News([Nanos; 7]);

impl News {
    /// The line, where there is one to log at `now`.
    pub fn line(&mut self, note: &Note, now: Nanos) -> Option<String> {
        let last = &mut self.0[note.kind()?];
        if *last != 0 && now < *last + EVERY {
            return None;
        }
        *last = now;
        Some(note.to_string())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_best_two_are_kept_and_ties_go_to_the_first() {
        let mut look = Look::default();
        for (slot, score) in [3.0, 2.0, 2.0, 1.0, 9.0].into_iter().enumerate() {
            look.offer(score, slot);
        }
        assert_eq!((look.best, look.next, look.found), (Some((1.0, 3)), Some((2.0, 1)), 5));
    }

    #[test]
    fn hurdles_count_and_the_commonest_is_named() {
        let mut hurdles = Hurdles::default();
        assert_eq!(hurdles.most(), None);
        (0..300).for_each(|_| hurdles.add(Hurdle::Cold));
        hurdles.add(Hurdle::Full);
        assert_eq!((hurdles.0, hurdles.most()), ([1, 0, 0, 255, 0], Some(Hurdle::Cold)));
    }

    #[test]
    fn news_of_one_kind_come_every_few_seconds() {
        let mut news = News::default();
        let aside = |n| Note::Aside { server: EndpointId(n), span: SECOND };
        assert_eq!(news.line(&aside(1), SECOND).as_deref(), Some("server 1 set aside for 1.0 s"));
        assert_eq!(news.line(&aside(2), 2 * SECOND), None);
        assert_eq!(news.line(&Note::Calm, 2 * SECOND).as_deref(), Some("overload left"));
        assert!(news.line(&aside(2), 6 * SECOND).is_some());
        assert_eq!(news.line(&Note::Held { id: RequestId(1), held: 2 }, 90 * SECOND), None);
    }
}
