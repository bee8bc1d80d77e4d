//! Whom to ask next whether it is there, and what an exchange came to.

use std::collections::VecDeque;

use rand_core::RngCore;

use crate::Nanos;
use crate::card::{MemberId, RecordVersion};

/// Members to be asked out of turn; more than this are asked in theirs.
const MOST_URGENT: usize = 32;

/// A round through all members, in a new order each time: each is asked once in a round, and nobody's turn can be foreseen.
#[derive(Clone, Debug, Default)]
pub struct ProbeSchedule {
    round: Vec<MemberId>,
    urgent: VecDeque<MemberId>,
}

impl ProbeSchedule {
    /// Asks this one next.
    pub fn urge(&mut self, key: MemberId) {
        if !self.urgent.contains(&key) && self.urgent.len() < MOST_URGENT {
            self.urgent.push_back(key);
        }
    }

    /// Puts a member that has just come into the round that is under way, at a place that is drawn: a round of a large fleet
    /// takes minutes, and one that crashes soon after its start would not be asked before the next. Where a round is over, the
    /// next one has all members in any case.
    pub fn insert(&mut self, key: MemberId, rng: &mut impl RngCore) {
        if !self.round.is_empty() && !self.round.contains(&key) {
            let place = rng.next_u64() as usize % (self.round.len() + 1);
            self.round.insert(place, key);
        }
    }

    /// Whether somebody is to be asked out of turn.
    #[must_use]
    pub fn is_urgent(&self) -> bool {
        !self.urgent.is_empty()
    }

    /// The next one that `may` be asked; `all` is who there is, once a round is over.
    pub fn next(
        &mut self,
        may: impl Fn(MemberId) -> bool,
        all: impl FnOnce() -> Vec<MemberId>,
        rng: &mut impl RngCore,
    ) -> Option<MemberId> {
        while let Some(key) = self.urgent.pop_front() {
            if may(key) {
                return Some(key);
            }
        }
        let mut whole = Some(all);
        loop {
            while let Some(key) = self.round.pop() {
                if may(key) {
                    return Some(key);
                }
            }
            // One new round, not more: there may be nobody.
            self.round = whole.take()?();
            for place in (1..self.round.len()).rev() {
                self.round.swap(place, rng.next_u64() as usize % (place + 1));
            }
        }
    }
}

/// What asking over a stream came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StreamProbeOutcome {
    /// It answered, under its name.
    Answered,
    /// The connection was refused or reset: nobody listens there.
    Refused,
    /// It came up, and nobody answered on it.
    NoResponse,
    /// It did not come up.
    Unreachable,
}

/// A question that is out.
#[derive(Clone, Debug)]
pub struct Probe {
    /// Whom it is about.
    pub key: MemberId,
    /// Of which saying.
    pub stamp: RecordVersion,
    /// Its number.
    pub seq: u32,
    /// When it was asked.
    pub asked: Nanos,
    /// When others are asked to ask.
    pub help_at: Nanos,
    /// So many were.
    pub helpers: u8,
    /// So many of those said that they get no answer either.
    pub nacks: u8,
    /// It answered itself.
    pub direct: bool,
    /// It answered others.
    pub through: bool,
    /// What asking over a stream came to, once it has.
    pub checked: Option<StreamProbeOutcome>,
}

/// What a question came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// It is there, and reached from here.
    Reachable,
    /// It is there, and only others reach it.
    ReachableIndirectly,
    /// Nobody listens at its address.
    Refused,
    /// Its kernel takes connections and it does not answer.
    Silent,
    /// Nothing came back; `helped`: others said the same, so that the fault is not this member's own.
    Nothing {
        /// Others did their part.
        helped: bool,
    },
}

impl Probe {
    /// What it came to, at the end of its time.
    #[must_use]
    pub fn verdict(&self) -> ProbeOutcome {
        if self.direct || self.checked == Some(StreamProbeOutcome::Answered) {
            return ProbeOutcome::Reachable;
        }
        if self.through {
            return ProbeOutcome::ReachableIndirectly;
        }
        match self.checked {
            Some(StreamProbeOutcome::Refused) => ProbeOutcome::Refused,
            Some(StreamProbeOutcome::NoResponse) => ProbeOutcome::Silent,
            _ => ProbeOutcome::Nothing { helped: self.helpers == 0 || self.nacks > 0 },
        }
    }
}

/// What the last questions came to: whoever gets no answer from most of those that it asks is itself cut off.
#[derive(Clone, Debug, Default)]
pub struct ProbeHistory(VecDeque<bool>);

/// Questions looked back on, and of those without an answer from which on the fault is taken for this member's own.
const BACK: (usize, usize) = (4, 3);

impl ProbeHistory {
    /// What one came to.
    pub fn note(&mut self, answered: bool) {
        self.0.push_back(answered);
        if self.0.len() > BACK.0 {
            self.0.pop_front();
        }
    }

    /// Whether it is this member that is cut off.
    #[must_use]
    pub fn is_cut(&self) -> bool {
        self.0.iter().filter(|answered| !**answered).count() >= BACK.1
    }
}
