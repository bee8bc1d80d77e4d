//! What a link does to what passes over it, as a state machine without I/O: it is handed the time and random numbers and
//! says when a piece of bytes or a datagram arrives.

use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::{MS, Nanos, SECOND};

/// Until a lost segment of a stream is sent again, as the least of usual systems.
const RESEND: Nanos = 200 * MS;
/// A stream stands still no longer than this for losses in a row, as with backing off.
const MOST_RESENDS: u32 = 5;

/// Whether new connections come up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Door {
    /// They do.
    #[default]
    Open,
    /// They are refused, and those that are open are reset.
    Refuse,
    /// They are taken by a kernel behind which nobody answers; those that are open stay open.
    Silent,
}

/// What a direction of a link is like.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Conditions {
    /// Least delay, in milliseconds.
    pub delay_ms: f64,
    /// Mean of what is added to it, exponentially distributed, in milliseconds.
    pub jitter_ms: f64,
    /// Share of datagrams that are lost; of a stream's pieces that come only once sent again.
    pub loss: f64,
    /// Share of datagrams that come twice.
    pub duplicates: f64,
    /// Share of datagrams that later ones overtake.
    pub reorder: f64,
    /// Bytes a second; 0 is without bound.
    pub rate: u64,
    /// Nothing comes through, and nobody is told.
    pub cut: bool,
}

/// Why conditions can't be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BadConditions {
    /// A share that is none.
    #[error("`{0}` is a share: from 0 to 1, and loss under 1")]
    Share(&'static str),
    /// A delay that is none, or over the bound.
    #[error("`{0}` is from 0 to {MOST_DELAY_MS} ms")]
    Delay(&'static str),
}

/// A minute: longer than any deadline here, so that more would be a cut.
pub const MOST_DELAY_MS: f64 = 60_000.0;

impl Conditions {
    /// Whether they can be.
    ///
    /// # Errors
    /// What is wrong.
    pub fn check(&self) -> Result<(), BadConditions> {
        for (name, share) in [("loss", self.loss), ("duplicates", self.duplicates), ("reorder", self.reorder)]
        {
            // A stream over a link that loses all would never arrive: that is `cut`.
            if !(0.0..=1.0).contains(&share) || (name == "loss" && share >= 1.0) {
                return Err(BadConditions::Share(name));
            }
        }
        for (name, delay) in [("delay_ms", self.delay_ms), ("jitter_ms", self.jitter_ms)] {
            if !(0.0..=MOST_DELAY_MS).contains(&delay) {
                return Err(BadConditions::Delay(name));
            }
        }
        Ok(())
    }
}

/// One direction of a link: what is on its way.
#[derive(Clone, Debug, Default)]
pub struct Way {
    /// When the last piece of the stream arrives: none overtakes it.
    last: Nanos,
    /// Until when the rate is used up.
    busy: Nanos,
}

impl Way {
    /// When a piece of a stream arrives that is sent now; `None` while the way is cut: it has to be asked again.
    pub fn piece(&mut self, now: Nanos, bytes: usize, on: &Conditions, rng: &mut impl Rng) -> Option<Nanos> {
        if on.cut {
            return None;
        }
        let mut at = self.sent(now, bytes, on) + delay(on, rng);
        for again in 0..MOST_RESENDS {
            if rng.random::<f64>() >= on.loss {
                break;
            }
            at += RESEND << again;
        }
        self.last = self.last.max(at);
        Some(self.last)
    }

    /// When copies of a datagram arrive that is sent now: none, one or two.
    pub fn datagram(&mut self, now: Nanos, bytes: usize, on: &Conditions, rng: &mut impl Rng) -> Vec<Nanos> {
        if on.cut || rng.random::<f64>() < on.loss {
            return Vec::new();
        }
        let sent = self.sent(now, bytes, on);
        let mut at = sent + delay(on, rng);
        if rng.random::<f64>() < on.reorder {
            // Held back behind what comes next: twice the usual way, and some.
            at += 2 * (at - sent) + MS;
        }
        let mut copies = vec![at];
        if rng.random::<f64>() < on.duplicates {
            copies.push(at + delay(on, rng));
        }
        copies
    }

    fn sent(&mut self, now: Nanos, bytes: usize, on: &Conditions) -> Nanos {
        if on.rate == 0 {
            return now;
        }
        let takes = (bytes as u64).saturating_mul(SECOND) / on.rate;
        self.busy = self.busy.max(now) + takes;
        self.busy
    }
}

fn delay(on: &Conditions, rng: &mut impl Rng) -> Nanos {
    let more = if on.jitter_ms > 0.0 { -on.jitter_ms * (1.0 - rng.random::<f64>()).ln() } else { 0.0 };
    ((on.delay_ms + more).min(2.0 * MOST_DELAY_MS) * MS as f64) as Nanos
}

#[cfg(test)]
mod tests {
    use rand::SeedableRng;
    use rand::rngs::StdRng;

    use super::*;

    fn rng() -> StdRng {
        StdRng::seed_from_u64(7)
    }

    /// Guards the figures: what was asked of loss, delay and copies is what comes of it.
    #[test]
    fn datagrams_do_as_they_were_asked() {
        let on =
            Conditions { delay_ms: 20.0, jitter_ms: 10.0, loss: 0.2, duplicates: 0.1, ..Default::default() };
        let (mut rng, mut way) = (rng(), Way::default());
        let all: Vec<_> = (0..20_000).map(|n| (n * MS, way.datagram(n * MS, 100, &on, &mut rng))).collect();
        let lost = all.iter().filter(|(_, copies)| copies.is_empty()).count() as f64 / 20_000.0;
        let twice = all.iter().filter(|(_, copies)| copies.len() == 2).count() as f64 / 20_000.0;
        assert!((lost - 0.2).abs() < 0.015 && (twice - 0.08).abs() < 0.01, "{lost} {twice}");
        let delays: Vec<_> =
            all.iter().filter_map(|(at, copies)| Some((copies.first()? - at) as f64 / MS as f64)).collect();
        let mean = delays.iter().sum::<f64>() / delays.len() as f64;
        assert!((mean - 30.0).abs() < 0.5 && delays.iter().all(|delay| *delay >= 20.0), "{mean}");
    }

    /// Guards order: a stream's pieces never overtake one another, whatever the delays; datagrams do where asked.
    #[test]
    fn streams_keep_order_and_datagrams_need_not() {
        let on = Conditions { delay_ms: 5.0, jitter_ms: 50.0, loss: 0.3, ..Default::default() };
        let (mut rng, mut way) = (rng(), Way::default());
        let arrivals: Vec<_> = (0..2_000).filter_map(|n| way.piece(n * MS, 100, &on, &mut rng)).collect();
        assert!(arrivals.len() == 2_000 && arrivals.is_sorted());
        let on = Conditions { delay_ms: 5.0, reorder: 0.3, ..Default::default() };
        let arrivals: Vec<_> = (0..2_000).flat_map(|n| way.datagram(n * MS, 100, &on, &mut rng)).collect();
        assert!(!arrivals.is_sorted());
    }

    /// Guards the rate: what is sent at once arrives one after another.
    #[test]
    fn a_rate_spreads_what_is_sent_at_once() {
        let on = Conditions { rate: 100_000, ..Default::default() };
        let (mut rng, mut way) = (rng(), Way::default());
        let arrivals: Vec<_> = (0..10).filter_map(|_| way.piece(0, 10_000, &on, &mut rng)).collect();
        assert_eq!(arrivals.last(), Some(&SECOND));
        assert_eq!(way.piece(5 * SECOND, 0, &on, &mut rng), Some(5 * SECOND), "unused rate is not saved up");
    }

    /// Guards what can't be: shares over one, a stream that loses all, delays without end.
    #[test]
    fn conditions_that_cannot_be_are_told() {
        assert!(Conditions::default().check().is_ok());
        for bad in [
            Conditions { loss: 1.0, ..Default::default() },
            Conditions { duplicates: -0.1, ..Default::default() },
            Conditions { delay_ms: f64::NAN, ..Default::default() },
            Conditions { jitter_ms: 1e9, ..Default::default() },
        ] {
            assert!(bad.check().is_err(), "{bad:?}");
        }
        let (mut rng, mut way) = (rng(), Way::default());
        let cut = Conditions { cut: true, ..Default::default() };
        assert_eq!(way.piece(0, 1, &cut, &mut rng), None);
        assert!(way.datagram(0, 1, &cut, &mut rng).is_empty());
    }
}
