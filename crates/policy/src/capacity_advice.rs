//! What planners advise on servers: a plain container, and how far advice is believed as it ages. What is
//! made of it is said in `src/policy.rs`: it can make a node more careful, or give it of a cold server's room
//! what another node has given up, and nothing else.

use rustc_hash::FxHashMap;

use crate::{CapacityAdvice, EndpointId, Nanos, NodeShare};

/// A server that is advised against looks this many times as slow: it gets work where no other has room, so
/// that advice against all servers, or all but one, changes little.
const CAUTION: f64 = 16.0;
/// Most servers that are remembered as draining: far more than a fleet has at a time.
const MOST_DRAINING: usize = 25_000;

/// The advice that a node goes by.
#[derive(Debug, Default)]
pub struct Advised {
    avoid: FxHashMap<EndpointId, ()>,
    heard: Nanos,
    lasts: Nanos,
    lent: FxHashMap<EndpointId, f64>,
    granted: FxHashMap<EndpointId, f64>,
    granted_until: Nanos,
    /// By server, the process that was told to be draining. That stays told for as long as it is that
    /// process.
    draining: FxHashMap<EndpointId, Nanos>,
    /// How many nodes share the servers, where the fleet says so.
    pub sharing: Option<NodeShare>,
}

impl Advised {
    /// Takes advice in; it replaces what was said before, but for drains.
    pub fn hear(&mut self, advice: &CapacityAdvice, now: Nanos) {
        self.avoid = advice.avoid.iter().map(|&server| (server, ())).collect();
        self.heard = now.saturating_sub(advice.age);
        self.lasts = advice.valid_for;
        self.lent = advice.lent.iter().copied().collect();
        self.granted = advice.granted.iter().copied().collect();
        self.granted_until = now.saturating_add(advice.granted_for);
        for &(server, started_at) in &*advice.draining {
            if self.draining.len() < MOST_DRAINING || self.draining.contains_key(&server) {
                self.draining.insert(server, started_at);
            }
        }
    }

    /// At what rate a cold server may be asked, before its ramp, by a node that would ask it at `own` if it
    /// were alone.
    #[must_use]
    pub fn cold_rate(&self, server: EndpointId, own: f64, now: Nanos) -> f64 {
        let granted = self.granted.get(&server).filter(|_| now < self.granted_until);
        let lent = self.lent.get(&server).copied().unwrap_or(0.0);
        (own - lent).max(0.0) + granted.copied().unwrap_or(0.0).max(0.0)
    }

    /// How many times as slow a server is to look, at least 1. In full for half of the time that advice
    /// lasts, then by degrees less, so that its end is no jump.
    #[must_use]
    pub fn caution(&self, server: EndpointId, started_at: Nanos, now: Nanos) -> f64 {
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
    use crate::SECOND;

    const ONE: EndpointId = EndpointId(1);

    fn at(advised: &Advised) -> impl Fn(u64) -> f64 + '_ {
        |half_seconds| advised.caution(ONE, 0, half_seconds * SECOND / 2)
    }

    #[test]
    fn advice_fades_and_drains_do_not() {
        let mut advised = Advised::default();
        assert_eq!(advised.caution(ONE, 0, 0), 1.0);
        let advice = CapacityAdvice {
            valid_for: 2 * SECOND,
            avoid: [ONE].into(),
            draining: [(EndpointId(2), 7)].into(),
            ..CapacityAdvice::default()
        };
        advised.hear(&advice, SECOND);
        assert_eq!([2, 4, 5, 6, 60].map(at(&advised)), [CAUTION, CAUTION, 8.5, 1.0, 1.0]);
        let later = 3_600 * SECOND;
        assert_eq!(advised.caution(EndpointId(2), 7, later), CAUTION);
        assert_eq!(advised.caution(EndpointId(2), 8, later), 1.0, "another process");
        // The same said again, as old as it is, fades on.
        let again = CapacityAdvice {
            age: 3 * SECOND / 2,
            valid_for: 2 * SECOND,
            avoid: [ONE].into(),
            ..CapacityAdvice::default()
        };
        advised.hear(&again, 5 * SECOND / 2);
        assert_eq!([5, 6].map(at(&advised)), [8.5, 1.0]);
        // What is no longer advised ends at once; a drain that is not repeated stays.
        advised.hear(&CapacityAdvice { valid_for: 2 * SECOND, ..CapacityAdvice::default() }, later);
        assert_eq!(advised.caution(ONE, 0, later), 1.0);
        assert_eq!(advised.caution(EndpointId(2), 7, later), CAUTION);
    }

    #[test]
    fn what_is_lent_is_done_without_and_grants_end() {
        let mut advised = Advised::default();
        assert_eq!(advised.cold_rate(ONE, 5.0, 0), 5.0);
        let granted = [(ONE, 7.0)].into();
        let lent = [(ONE, 3.0), (EndpointId(2), 3.0)].into();
        advised.hear(
            &CapacityAdvice { lent, granted, granted_for: SECOND, ..CapacityAdvice::default() },
            SECOND,
        );
        let rates = |server, own| [1, 2].map(|second| advised.cold_rate(server, own, second * SECOND));
        assert_eq!((rates(ONE, 5.0), rates(EndpointId(2), 5.0)), ([9.0, 2.0], [2.0, 2.0]));
        // Where its own share has fallen under what is lent, there is nothing left of it, and no debt.
        assert_eq!(rates(ONE, 1.0), [7.0, 0.0]);
    }

    #[test]
    fn advice_without_an_end_in_sight_does_no_harm() {
        let mut advised = Advised::default();
        advised
            .hear(&CapacityAdvice { valid_for: 0, avoid: [ONE].into(), ..CapacityAdvice::default() }, SECOND);
        assert_eq!(advised.caution(ONE, 0, SECOND + 1), 1.0);
        advised.hear(
            &CapacityAdvice { valid_for: u64::MAX, avoid: [ONE].into(), ..CapacityAdvice::default() },
            SECOND,
        );
        assert!(advised.caution(ONE, 0, u64::MAX).is_finite());
    }
}
