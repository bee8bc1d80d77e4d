//! A planner's side of the rights to cold servers: what forwarders have lent to it, and what it grants from that.

use std::collections::VecDeque;

use pumicehead_policy::{EndpointId, Nanos};
use rustc_hash::FxHashMap;

use crate::holder::{Granting, Lending, MOST_COLD};
use crate::room::{Rate, Standing};
use crate::sync::mix;
use crate::terms::Terms;
use crate::{ForwarderId, PlanNo, PlannerId, ReportNo};

/// Plans of which the time is remembered, by forwarder.
const REMEMBERED: usize = 64;
/// A cold server's room is granted in pieces of at least so much, as far as it reaches: with less, most forwarders send it
/// nothing for seconds, and open connections to it all the same.
const PIECE: Rate = Rate::of(1);
/// Most forwarders that a planner keeps: what one can look after with some hundred bytes for each. More are turned away,
/// and keep what is their own.
pub const MOST_FORWARDERS: usize = 65_536;

#[derive(Debug, Default)]
struct Member {
    sent: VecDeque<(PlanNo, Nanos)>,
    answers: ReportNo,
    lent: FxHashMap<EndpointId, Standing>,
}

/// What is lent to a planner, and what it has granted.
#[derive(Debug)]
pub struct Ledger {
    me: PlannerId,
    terms: Terms,
    /// An earlier process at this place may have granted what is still in use.
    from: Nanos,
    /// Number of the last plan for anyone: one that was forgotten and comes back must not hear a number twice.
    last: PlanNo,
    members: FxHashMap<ForwarderId, Member>,
    granted: FxHashMap<EndpointId, FxHashMap<ForwarderId, Standing>>,
}

impl Ledger {
    /// Of a planner that starts `now`.
    #[must_use]
    pub fn new(me: PlannerId, terms: Terms, now: Nanos) -> Self {
        let from = now + Terms::at_most(terms.lease);
        Self {
            me,
            terms,
            from,
            last: PlanNo::default(),
            members: FxHashMap::default(),
            granted: FxHashMap::default(),
        }
    }

    /// A report has come. Tells whether the forwarder is among those that are looked after.
    pub fn hear(&mut self, forwarder: ForwarderId, report: &Lending, now: Nanos) -> bool {
        if !self.members.contains_key(&forwarder) && self.members.len() >= MOST_FORWARDERS {
            return false;
        }
        let member = self.members.entry(forwarder).or_default();
        if report.number <= member.answers {
            // An old one, come late: a newer one has said all that counts.
            return true;
        }
        member.answers = report.number;
        // The report may have been on its way for an hour, and its loan may be over. It was sent after the plan that it has
        // heard, whose time is known.
        let heard = report.heard.filter(|(planner, _)| *planner == self.me);
        let since = heard.and_then(|(_, plan)| member.sent.iter().find(|(number, _)| *number == plan));
        if let Some((_, since)) = since {
            let until = since + Terms::at_least(self.terms.loan);
            member.lent.retain(|_, standing| standing.expire(now));
            for &(server, rate) in report.lent.iter().take(MOST_COLD) {
                member.lent.entry(server).or_default().add(rate, until);
            }
        }
        true
    }

    /// The plan that is about to be sent to a forwarder: of each cold server at most what is wished, as far as loans
    /// reach. `None` for one that has not reported.
    pub fn plan(
        &mut self,
        forwarder: ForwarderId,
        wishes: &[(EndpointId, Rate)],
        now: Nanos,
    ) -> Option<Granting> {
        let until = now + Terms::at_most(self.terms.lease);
        let rooms: Vec<Rate> = wishes.iter().map(|&(server, _)| self.lent(server, until)).collect();
        let member = self.members.get_mut(&forwarder)?;
        self.last.0 += 1;
        let number = self.last;
        member.sent.push_back((number, now));
        if member.sent.len() > REMEMBERED {
            member.sent.pop_front();
        }
        let answers = member.answers;
        let mut grants = Vec::new();
        let wishes = wishes.iter().zip(rooms).filter(|_| now >= self.from);
        for (&(server, wish), room) in wishes {
            let holders = self.granted.entry(server).or_default();
            // What others have may end before this grant does, and so may loans: the former counts as it is now, the latter
            // as they are at its end. What it has itself says nothing: that was made of loans that may end sooner.
            let others = holders.iter().filter(|(id, _)| **id != forwarder);
            let taken: Rate = others.map(|(_, standing)| standing.at(now)).sum();
            let grant = wish.min(room.less(taken));
            if grant > Rate::NONE {
                holders.entry(forwarder).or_default().add(grant, until);
                grants.push((server, grant));
            }
        }
        Some(Granting { planner: self.me, number, answers, grants })
    }

    /// What a forwarder had best get: of each server that it lends, and so uses, an equal piece for some of those who lend it.
    /// Who they are depends on the server alone, so that all planners choose the same.
    #[must_use]
    pub fn wishes(&self, forwarder: ForwarderId, now: Nanos) -> Vec<(EndpointId, Rate)> {
        let Some(member) = self.members.get(&forwarder) else { return Vec::new() };
        let until = now + Terms::at_most(self.terms.lease);
        let mut servers: Vec<EndpointId> = member.lent.keys().copied().collect();
        servers.sort_unstable();
        let wish = |server: EndpointId| {
            let lends = |member: &&Member| member.lent.contains_key(&server);
            let lenders = self.members.values().filter(lends).count() as u64;
            let room = self.lent(server, until);
            let pieces = (room.raw() / PIECE.raw()).clamp(1, lenders.max(1));
            let mine = weight(server, forwarder);
            let others = self.members.iter().filter(|(_, member)| member.lent.contains_key(&server));
            let ahead = others.filter(|(id, _)| weight(server, **id) > mine).count() as u64;
            (server, if ahead < pieces { room.split(pieces) } else { Rate::NONE })
        };
        servers.into_iter().map(wish).collect()
    }

    /// Forgets what has ended, and forwarders that were not heard of for the span of a loan.
    pub fn expire(&mut self, now: Nanos) {
        self.granted.retain(|_, holders| {
            holders.retain(|_, standing| standing.expire(now));
            !holders.is_empty()
        });
        let silent = now.saturating_sub(Terms::at_most(self.terms.loan));
        self.members.retain(|_, member| {
            member.lent.retain(|_, standing| standing.expire(now));
            !member.lent.is_empty() || member.sent.back().is_some_and(|(_, sent)| *sent > silent)
        });
    }

    /// What of a server is lent now and will still be at a time.
    #[must_use]
    pub fn lent(&self, server: EndpointId, until: Nanos) -> Rate {
        let standing = self.members.values().filter_map(|member| member.lent.get(&server));
        standing.map(|standing| standing.at(until)).sum()
    }

    /// What of a server's room is granted now.
    #[must_use]
    pub fn granted(&self, server: EndpointId, now: Nanos) -> Rate {
        let holders = self.granted.get(&server);
        holders.map_or(Rate::NONE, |holders| holders.values().map(|standing| standing.at(now)).sum())
    }

    /// How many forwarders there are.
    #[must_use]
    pub fn forwarders(&self) -> usize {
        self.members.len()
    }
}

/// Highest first: rendezvous hashing, by which the coming and going of one forwarder moves no other's place by more than one.
fn weight(server: EndpointId, forwarder: ForwarderId) -> (u64, ForwarderId) {
    (mix(mix(u64::from(server.0)) ^ forwarder.0), forwarder)
}
