//! What planners advise on servers: a plain container, and how far advice is believed as it ages. What is made of it is
//! said in `src/policy.rs`: it can make a node more careful, never less.

use rustc_hash::FxHashMap;

use crate::interface::{Advice, Nanos, ServerId};

/// A server that is advised against looks this many times as slow: it gets work where no other has room, so that advice
/// against all servers, or all but one, changes little.
const CAUTION: f64 = 16.0;
/// Most servers that are remembered as draining: far more than a fleet has at a time.
const MOST_DRAINING: usize = 25_000;

/// The advice that a node goes by.
#[derive(Debug, Default)]
pub struct Advised {
    avoid: FxHashMap<ServerId, ()>,
    heard: Nanos,
    lasts: Nanos,
    /// By server, the process that was told to be draining. That stays told for as long as it is that process.
    draining: FxHashMap<ServerId, Nanos>,
}

impl Advised {
    /// Takes advice in; it replaces what was said before, but for drains.
    pub fn hear(&mut self, advice: &Advice, now: Nanos) {
        self.avoid = advice.avoid.iter().map(|&server| (server, ())).collect();
        self.heard = now;
        self.lasts = advice.lasts;
        for &(server, started_at) in &*advice.draining {
            if self.draining.len() < MOST_DRAINING || self.draining.contains_key(&server) {
                self.draining.insert(server, started_at);
            }
        }
    }

    /// How many times as slow a server is to look, at least 1. In full for half of the time that advice lasts, then by
    /// degrees less, so that its end is no jump.
    #[must_use]
    pub fn caution(&self, server: ServerId, started_at: Nanos, now: Nanos) -> f64 {
        if self.draining.get(&server) == Some(&started_at) {
            return CAUTION;
        }
        if !self.avoid.contains_key(&server) {
            return 1.0;
        }
        let age = now.saturating_sub(self.heard) as f64 / (self.lasts as f64).max(1.0);
        1.0 + (CAUTION - 1.0) * (2.0 - 2.0 * age).clamp(0.0, 1.0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::interface::SECOND;

    const ONE: ServerId = ServerId(1);

    #[test]
    fn advice_fades_and_drains_do_not() {
        let mut advised = Advised::default();
        assert_eq!(advised.caution(ONE, 0, 0), 1.0);
        let advice = Advice { lasts: 2 * SECOND, avoid: [ONE].into(), draining: [(ServerId(2), 7)].into() };
        advised.hear(&advice, SECOND);
        let at = |half_seconds: u64| advised.caution(ONE, 0, half_seconds * SECOND / 2);
        assert_eq!([2, 4, 5, 6, 60].map(at), [CAUTION, CAUTION, 8.5, 1.0, 1.0]);
        let later = 3_600 * SECOND;
        assert_eq!(advised.caution(ServerId(2), 7, later), CAUTION);
        assert_eq!(advised.caution(ServerId(2), 8, later), 1.0, "another process");
        // What is no longer advised ends at once; a drain that is not repeated stays.
        advised.hear(&Advice { lasts: 2 * SECOND, ..Advice::default() }, later);
        assert_eq!(advised.caution(ONE, 0, later), 1.0);
        assert_eq!(advised.caution(ServerId(2), 7, later), CAUTION);
    }

    #[test]
    fn advice_without_an_end_in_sight_does_no_harm() {
        let mut advised = Advised::default();
        advised.hear(&Advice { lasts: 0, avoid: [ONE].into(), ..Advice::default() }, SECOND);
        assert_eq!(advised.caution(ONE, 0, SECOND + 1), 1.0);
        advised.hear(&Advice { lasts: u64::MAX, avoid: [ONE].into(), ..Advice::default() }, SECOND);
        assert!(advised.caution(ONE, 0, u64::MAX).is_finite());
    }
}
