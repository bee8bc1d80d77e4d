//! A forwarder's rights to the room of cold servers.
//!
//! Of each cold server that it uses a forwarder owns as much as it sends a warm one: so do all together, without knowing each other. It may
//! lend that, as a rate, to planners, which grant it to whom it helps most: among a thousand forwarders the own share of
//! each is less than a request a minute. What is lent is not used until the loan has ended, and what is granted ends before
//! any loan that it can be made of. So the rights of all forwarders never add up to more than what all of them own, or
//! owned a loan ago, whoever is alive, cut off, restarted or confused, and a forwarder without planners ends up with its
//! own share again.

use std::collections::{BTreeMap, VecDeque};

use pumicehead_policy::{EndpointId, Nanos};
use rustc_hash::FxHashMap;

use crate::room::{Rate, Standing};
use crate::terms::Terms;
use crate::{PlanNo, PlannerId, ReportNo};

/// Reports of which the time is remembered. An answer to an older one is too late anyway at any usual pace.
const REMEMBERED: usize = 64;

/// Most cold servers of which a forwarder lends: more than it uses at all.
pub const MOST_COLD: usize = 1_024;

/// What a report says of rights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lending {
    /// The report's number.
    pub number: ReportNo,
    /// The planner that it knows there, and the last plan that it heard of it.
    pub heard: Option<(PlannerId, PlanNo)>,
    /// What it does without for the span of a loan from now, by server.
    pub lent: Vec<(EndpointId, Rate)>,
}

/// What a plan says of rights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Granting {
    /// Who says so.
    pub planner: PlannerId,
    /// The plan's number.
    pub number: PlanNo,
    /// The last report that it has taken in.
    pub answers: ReportNo,
    /// What the forwarder may use of each cold server, until the end of the lease. All earlier grants are replaced.
    pub grants: Vec<(EndpointId, Rate)>,
}

/// Why a plan is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Passed {
    /// It answers a report that was never sent, or long ago.
    Unknown,
    /// Its lease has ended.
    Late,
    /// A later one was heard before.
    Old,
}

/// What is between a forwarder and one place where a planner may be.
#[derive(Debug, Default)]
struct Side {
    next: u64,
    sent: VecDeque<(ReportNo, Nanos)>,
    heard: Option<(PlannerId, PlanNo)>,
    /// The lease of the last plan ends then.
    leased_until: Nanos,
    lent: FxHashMap<EndpointId, Standing>,
    grants: FxHashMap<EndpointId, Rate>,
}

impl Side {
    fn lent(&self, server: EndpointId, now: Nanos) -> Rate {
        self.lent.get(&server).map_or(Rate::NONE, |standing| standing.at(now))
    }

    fn is_live(&self, now: Nanos) -> bool {
        now < self.leased_until
    }
}

/// A forwarder's rights.
#[derive(Debug)]
pub struct Holder {
    own: BTreeMap<EndpointId, Rate>,
    terms: Terms,
    /// From when on its own share is its own: an earlier process on this machine may have lent it.
    free_from: Nanos,
    sides: Vec<Side>,
}

impl Holder {
    /// Of a forwarder that starts `now`, with so many places where planners may be.
    #[must_use]
    pub fn new(terms: Terms, planners: usize, now: Nanos) -> Self {
        Self {
            own: BTreeMap::new(),
            terms,
            free_from: now + Terms::at_most(terms.loan),
            sides: (0..planners).map(|_| Side::default()).collect(),
        }
    }

    /// What this forwarder owns now of the cold servers that it uses. Where that falls under what is lent, nothing of it is
    /// left to use, and the loans run on.
    pub fn set_own(&mut self, own: impl IntoIterator<Item = (EndpointId, Rate)>) {
        self.own = own.into_iter().take(MOST_COLD).collect();
    }

    /// The places of planners are others now: `kept` names, for each new place, which old one it is. What was lent at a place
    /// that is gone stays lent until its end, and its grants end at once.
    pub fn replace(&mut self, kept: &[Option<usize>], now: Nanos) {
        let mut old: Vec<Option<Side>> = std::mem::take(&mut self.sides).into_iter().map(Some).collect();
        let mut take = |place: &Option<usize>| place.and_then(|place| old.get_mut(place)?.take());
        self.sides = kept.iter().map(|place| take(place).unwrap_or_default()).collect();
        for mut gone in old.into_iter().flatten() {
            gone.lent.retain(|_, standing| standing.expire(now));
            if !gone.lent.is_empty() {
                // Held among the others, without a way to be used: loans are summed over all sides.
                self.sides.push(Side { lent: gone.lent, next: u64::MAX, ..Side::default() });
            }
        }
    }

    /// A report is about to be sent to a place. Nothing is lent to whom nothing was heard of lately.
    pub fn report(&mut self, place: usize, now: Nanos) -> Lending {
        let live = self.sides.iter().filter(|side| side.is_live(now)).count() as u64;
        let mut lent = Vec::new();
        if now >= self.free_from && self.sides.get(place).is_some_and(|side| side.is_live(now)) {
            for (&server, &own) in &self.own {
                // What others have been lent counts against what is owned now, also where that has fallen since: renewed
                // one by one, loans would outlast what they were made of.
                let others = self.sides.iter().enumerate().filter(|(other, _)| *other != place);
                let others: Rate = others.map(|(_, side)| side.lent(server, now)).sum();
                let rate = own.split(live).min(own.less(others));
                if rate > Rate::NONE {
                    lent.push((server, rate));
                }
            }
        }
        let until = now + Terms::at_most(self.terms.loan);
        let Some(side) = self.sides.get_mut(place).filter(|side| side.next < u64::MAX) else {
            return Lending { number: ReportNo::default(), heard: None, lent: Vec::new() };
        };
        side.next += 1;
        let number = ReportNo(side.next);
        side.sent.push_back((number, now));
        if side.sent.len() > REMEMBERED {
            side.sent.pop_front();
        }
        side.lent.retain(|_, standing| standing.expire(now));
        for &(server, rate) in &lent {
            side.lent.entry(server).or_default().add(rate, until);
        }
        Lending { number, heard: side.heard, lent }
    }

    /// A plan has come from a place.
    ///
    /// # Errors
    /// Why it is passed over; nothing is changed.
    pub fn hear(&mut self, place: usize, plan: &Granting, now: Nanos) -> Result<(), Passed> {
        let side = self.sides.get_mut(place).ok_or(Passed::Unknown)?;
        let sent = side.sent.iter().find(|(number, _)| *number == plan.answers).ok_or(Passed::Unknown)?.1;
        let until = sent + Terms::at_least(self.terms.lease);
        if now >= until {
            return Err(Passed::Late);
        }
        if side.heard.is_some_and(|(planner, number)| planner == plan.planner && number >= plan.number) {
            return Err(Passed::Old);
        }
        side.heard = Some((plan.planner, plan.number));
        side.leased_until = until;
        side.grants = plan.grants.iter().copied().collect();
        Ok(())
    }

    /// At what rate this forwarder may ask a cold server now, before its ramp.
    #[must_use]
    pub fn room(&self, server: EndpointId, now: Nanos) -> Rate {
        let live = self.sides.iter().filter(|side| side.is_live(now));
        let granted: Rate = live.filter_map(|side| side.grants.get(&server)).copied().sum();
        self.free(server, now) + granted
    }

    /// What is granted now, by server, and how long all of it holds yet.
    #[must_use]
    pub fn granted(&self, now: Nanos) -> (BTreeMap<EndpointId, Rate>, Nanos) {
        let mut granted: BTreeMap<EndpointId, Rate> = BTreeMap::new();
        let mut until = Nanos::MAX;
        for side in self.sides.iter().filter(|side| side.is_live(now) && !side.grants.is_empty()) {
            until = until.min(side.leased_until);
            for (&server, &rate) in &side.grants {
                *granted.entry(server).or_default() += rate;
            }
        }
        (granted, until.saturating_sub(now))
    }

    /// What is lent now, by server.
    #[must_use]
    pub fn all_lent(&self, now: Nanos) -> BTreeMap<EndpointId, Rate> {
        let mut lent: BTreeMap<EndpointId, Rate> = BTreeMap::new();
        for (&server, standing) in self.sides.iter().flat_map(|side| &side.lent) {
            *lent.entry(server).or_default() += standing.at(now);
        }
        lent
    }

    /// How many places have a planner whose plan is in force.
    #[must_use]
    pub fn planners(&self, now: Nanos) -> usize {
        self.sides.iter().filter(|side| side.is_live(now)).count()
    }

    /// What of its own share of a server is lent now: its decision module must do without.
    #[must_use]
    pub fn lent(&self, server: EndpointId, now: Nanos) -> Rate {
        self.sides.iter().map(|side| side.lent(server, now)).sum()
    }

    /// What of its own is lent to nobody.
    fn free(&self, server: EndpointId, now: Nanos) -> Rate {
        if now < self.free_from {
            return Rate::NONE;
        }
        self.own.get(&server).map_or(Rate::NONE, |own| own.less(self.lent(server, now)))
    }
}
