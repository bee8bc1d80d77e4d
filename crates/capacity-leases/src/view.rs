//! What a planner makes of what forwarders have seen of servers. Where they disagree the cautious one is believed, by
//! server and by rule; what only many can see, failures and crowding, is added up.
//!
//! A view is rebuilt from reports alone: a planner that starts knows as much as its forwarders do after their first.

use std::collections::BTreeMap;

use pumicehead_policy::{EndpointId, Nanos, SECOND};
use rustc_hash::FxHashMap;

use crate::ForwarderId;
use crate::wire::Sighting;

/// What was seen counts for so long: longer than a failing server takes to show at a few requests a second, short enough
/// that one that has recovered is tried again.
const MEMORY: Nanos = 4 * SECOND;
/// A server is in trouble from so many failures on, over all forwarders ...
const FAILURES: u64 = 3;
/// ... that are such a share of its answers ...
const SHARE: f64 = 0.5;
/// ... and such a multiple of what is usual among servers: where all fail, the cause is elsewhere, and avoiding all helps nobody.
const OWN_FAULT: f64 = 2.0;
/// At most this share of the servers is advised against, worst first: the rest could not take the work of more.
const MOST_AVOIDED: f64 = 0.25;
/// A drain is remembered for so long after anybody spoke of its server: longer than any process takes to drain.
const DRAIN_KEPT: Nanos = 3_600 * SECOND;
/// Servers are crowded when this share of the room that forwarders have learned is taken.
const CROWDED: f64 = 0.9;

/// A server, as all forwarders together see it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Merged {
    /// Its latest start that any forwarder knows, as the list of servers counts starts. It tells processes apart; no clock is
    /// compared with it.
    pub born: u64,
    /// Somebody heard that this process is draining. Never taken back for the same process.
    pub draining: bool,
    /// The least time, over all who say so, that this process has been known.
    pub known_for: Nanos,
    /// It fails much more than others do: better avoided for now.
    pub avoid: bool,
    /// Attempts out.
    pub out: u64,
    /// Places that forwarders think it has.
    pub places: u64,
}

/// What one forwarder said last of a server, with when that was.
#[derive(Clone, Debug)]
struct Said {
    at: Nanos,
    sighting: Sighting,
}

/// Counts of some seconds.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    answered: f64,
    failed: f64,
    at: Nanos,
}

impl Counts {
    fn add(&mut self, answered: u64, failed: u64, now: Nanos) {
        let kept = self.kept(now);
        self.answered = self.answered * kept + answered as f64;
        self.failed = self.failed * kept + failed as f64;
        self.at = now;
    }

    fn kept(&self, now: Nanos) -> f64 {
        (-(now.saturating_sub(self.at) as f64) / MEMORY as f64).exp()
    }

    /// Answers of all kinds, and failures.
    fn now(&self, now: Nanos) -> (f64, f64) {
        let kept = self.kept(now);
        ((self.answered + self.failed) * kept, self.failed * kept)
    }

    fn share(&self, now: Nanos) -> f64 {
        let (all, failed) = self.now(now);
        if all > 0.0 { failed / all } else { 0.0 }
    }
}

#[derive(Debug, Default)]
struct Server {
    said: FxHashMap<ForwarderId, Said>,
    counts: Counts,
    /// The process that is meant by what follows.
    born: u64,
    draining: bool,
    /// When anybody last spoke of it.
    heard: Nanos,
}

/// What a planner knows of servers.
#[derive(Debug, Default)]
pub struct View {
    /// In order: the same reports make the same plans.
    servers: BTreeMap<EndpointId, Server>,
}

impl View {
    /// A forwarder says what it sees of a server. Counts are totals since its start: what is lost on the way comes with
    /// the next.
    pub fn hear(&mut self, forwarder: ForwarderId, server: EndpointId, sighting: &Sighting, now: Nanos) {
        let known = self.servers.entry(server).or_default();
        let last =
            known.said.get(&forwarder).map(|said| &said.sighting).filter(|last| last.born == sighting.born);
        let since = |total: u64, last: u64| total.saturating_sub(last);
        // The first word of a forwarder tells totals of its whole life: when that was is not known.
        let (answered, failed) = last.map_or((0, 0), |last| {
            (since(sighting.answered, last.answered), since(sighting.failed, last.failed))
        });
        if sighting.born > known.born {
            // Another process: what was told of the one before does not hold for it.
            *known =
                Server { said: std::mem::take(&mut known.said), born: sighting.born, ..Server::default() };
        }
        if sighting.born == known.born {
            known.counts.add(answered, failed, now);
            known.draining |= sighting.draining;
        }
        known.heard = now;
        known.said.insert(forwarder, Said { at: now, sighting: sighting.clone() });
    }

    /// A forwarder is gone, or no longer sees a server.
    pub fn forget(&mut self, forwarder: ForwarderId, server: Option<EndpointId>) {
        match server {
            Some(server) => {
                if let Some(known) = self.servers.get_mut(&server) {
                    known.said.remove(&forwarder);
                }
            }
            None => {
                for known in self.servers.values_mut() {
                    known.said.remove(&forwarder);
                }
            }
        }
    }

    /// Forgets what was said before a time, and servers that nobody speaks of; drains later than these.
    pub fn expire(&mut self, before: Nanos) {
        self.servers.retain(|_, known| {
            known.said.retain(|_, said| said.at >= before);
            !known.said.is_empty() || known.draining && known.heard.saturating_add(DRAIN_KEPT) >= before
        });
    }

    /// What comes of it all.
    #[must_use]
    pub fn merged(&self, now: Nanos) -> BTreeMap<EndpointId, Merged> {
        let mut merged: BTreeMap<_, _> =
            self.servers.iter().map(|(&id, server)| (id, server.merged(now))).collect();
        for id in self.avoided(now) {
            if let Some(server) = merged.get_mut(&id) {
                server.avoid = true;
            }
        }
        merged
    }

    fn avoided(&self, now: Nanos) -> Vec<EndpointId> {
        let heard = self.servers.values().filter(|server| server.counts.now(now).0 > 0.5);
        let mut shares: Vec<f64> = heard.map(|server| server.counts.share(now)).collect();
        shares.sort_by(f64::total_cmp);
        // Of servers, not of attempts: one that fails fast has most of those.
        let usual = shares.get(shares.len() / 2).copied().unwrap_or_default();
        let mut bad: Vec<_> = self
            .servers
            .iter()
            .filter_map(|(&id, server)| {
                let (share, failed) = (server.counts.share(now), server.counts.now(now).1);
                let enough = failed + 0.5 >= FAILURES as f64 && share >= SHARE;
                (enough && share >= OWN_FAULT * usual).then_some((share, id))
            })
            .collect();
        bad.sort_by(|one, other| other.0.total_cmp(&one.0).then(one.1.cmp(&other.1)));
        bad.truncate((self.servers.len() as f64 * MOST_AVOIDED) as usize);
        bad.into_iter().map(|(_, id)| id).collect()
    }

    /// Whether the servers that take work are full, over all forwarders.
    #[must_use]
    pub fn is_crowded(&self, now: Nanos) -> bool {
        let (out, places) = self
            .merged(now)
            .values()
            .filter(|server| !server.draining && !server.avoid)
            .fold((0, 0), |(out, places), server| (out + server.out, places + server.places));
        places > 0 && out as f64 >= CROWDED * places as f64
    }
}

impl Server {
    fn merged(&self, now: Nanos) -> Merged {
        // Who still speaks of an earlier process is behind: it says nothing of this one.
        let said = || self.said.values().filter(|said| said.sighting.born == self.born);
        let known_for = |said: &Said| said.sighting.known_for.saturating_add(now.saturating_sub(said.at));
        Merged {
            born: self.born,
            draining: self.draining,
            known_for: said().map(known_for).min().unwrap_or_default(),
            avoid: false,
            out: said().map(|said| u64::from(said.sighting.out)).sum(),
            places: said().map(|said| u64::from(said.sighting.places)).sum(),
        }
    }
}
