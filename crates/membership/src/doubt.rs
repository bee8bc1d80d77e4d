//! Suspicion that ends, and the observer's own health.

use crate::Nanos;
use crate::card::MemberId;
use crate::settings::Settings;

/// Witnesses beside the first that make a suspicion as short as it gets.
pub const MAX_CONFIRMATIONS: usize = 3;
/// The least suspicion, in periods for each power of ten of members.
const LEAST_PERIODS: f64 = 2.0;
/// The longest one is so many times the least.
const MOST_TIMES: f64 = 6.0;
/// Where the suspect's own kernel refuses connections, it has this many periods to say that it lives.
const REFUSED_PERIODS: u64 = 1;

/// A member that is held for suspect or stalled, and until when.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspicion {
    /// Since when.
    pub started_at: Nanos,
    /// Who says so, each of its own seeing.
    pub accusers: Vec<MemberId>,
    /// Its kernel refuses connections.
    pub connection_refused: bool,
    /// It stands still, and is not suspected of more.
    pub stalled: bool,
}

impl Suspicion {
    /// One that begins.
    #[must_use]
    pub fn new(since: Nanos, witness: MemberId, refused: bool, stalled: bool) -> Self {
        Self { started_at: since, accusers: vec![witness], connection_refused: refused, stalled }
    }

    /// Another one says so as well; whether that is new and worth telling.
    pub fn confirm(&mut self, witness: MemberId, refused: bool) -> bool {
        let fresh = refused && !self.connection_refused;
        self.connection_refused |= refused;
        if self.accusers.contains(&witness) || self.accusers.len() > MAX_CONFIRMATIONS {
            return fresh;
        }
        self.accusers.push(witness);
        true
    }

    /// When it ends in death, for an observer `me` with this health among so many members. One who is alone in its seeing has
    /// to wait for long: the fault may be its own.
    #[must_use]
    pub fn expires_at(&self, settings: &Settings, me: MemberId, members: usize, health: Awareness) -> Nanos {
        if self.stalled {
            return self.started_at + settings.stall_timeout;
        }
        if self.connection_refused {
            return self.started_at + REFUSED_PERIODS * settings.probe_interval;
        }
        let least = LEAST_PERIODS * (members.max(1) as f64 + 1.0).log10().max(1.0) * settings.probe_interval as f64;
        let most = MOST_TIMES * least;
        let others = self.accusers.iter().filter(|witness| **witness != me).count();
        // Nobody else is there to see it.
        let alone = others == 0 && members > 2;
        if alone {
            return self.started_at + settings.unconfirmed_timeout;
        }
        let more = (self.accusers.len() - 1).min(MAX_CONFIRMATIONS) as f64;
        let span = most - (most - least) * (more + 1.0).ln() / (MAX_CONFIRMATIONS as f64 + 1.0).ln();
        self.started_at + (span * f64::from(health.multiplier())) as Nanos
    }
}

/// The observer's own health: 0 is good. Whoever gets answers late, misses those of its helpers or stands still trusts its
/// own seeing less.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Awareness(u8);

/// Worst health.
const WORST: u8 = 7;

impl Awareness {
    /// Something speaks against it.
    pub fn degrade(&mut self, by: u8) {
        self.0 = (self.0 + by).min(WORST);
    }

    /// Something speaks for it.
    pub fn improve(&mut self) {
        self.0 = self.0.saturating_sub(1);
    }

    /// How many times as long it waits.
    #[must_use]
    pub fn multiplier(self) -> u32 {
        1 + u32::from(self.0)
    }
}
