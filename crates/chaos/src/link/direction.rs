//! Computes when bytes that are sent over one direction of a link arrive: a state machine without I/O.

use rand::Rng;

use super::{LinkConditions, MAX_LATENCY_MS};
use crate::{MS, Nanos, SECOND};

/// Retransmission timeout of a lost stream segment: the minimum of common TCP implementations.
const RETRANSMISSION_TIMEOUT: Nanos = 200 * MS;
/// Largest number of losses of one segment; the timeout doubles with each loss.
const MAX_RETRANSMISSIONS: u32 = 5;

/// State of one direction of a link.
#[derive(Clone, Debug, Default)]
pub struct LinkDirection {
    /// Arrival of the last stream segment; no later segment arrives before it.
    last_arrival: Nanos,
    /// When all bytes sent so far have been transmitted at the link's bandwidth.
    busy_until: Nanos,
}

impl LinkDirection {
    /// Returns when a stream segment that is sent at `now` arrives. `None` while the link is partitioned: the caller calls this
    /// again once the partition has healed.
    pub fn segment_arrival(
        &mut self,
        now: Nanos,
        bytes: usize,
        conditions: &LinkConditions,
        rng: &mut impl Rng,
    ) -> Option<Nanos> {
        if conditions.partitioned {
            return None;
        }
        let mut arrival = self.departure(now, bytes, conditions) + latency(conditions, rng);
        for retransmission in 0..MAX_RETRANSMISSIONS {
            if rng.random::<f64>() >= conditions.loss {
                break;
            }
            arrival += RETRANSMISSION_TIMEOUT << retransmission;
        }
        self.last_arrival = self.last_arrival.max(arrival);
        Some(self.last_arrival)
    }

    /// Returns when the copies of a datagram that is sent at `now` arrive: none, one or two.
    pub fn datagram_arrivals(
        &mut self,
        now: Nanos,
        bytes: usize,
        conditions: &LinkConditions,
        rng: &mut impl Rng,
    ) -> Vec<Nanos> {
        if conditions.partitioned || rng.random::<f64>() < conditions.loss {
            return Vec::new();
        }
        let departure = self.departure(now, bytes, conditions);
        let mut arrival = departure + latency(conditions, rng);
        if rng.random::<f64>() < conditions.reorder {
            // Three times the latency plus a millisecond: after datagrams that are sent next.
            arrival += 2 * (arrival - departure) + MS;
        }
        let mut arrivals = vec![arrival];
        if rng.random::<f64>() < conditions.duplication {
            arrivals.push(arrival + latency(conditions, rng));
        }
        arrivals
    }

    /// Returns when the last byte has been transmitted at the bandwidth of the link.
    fn departure(&mut self, now: Nanos, bytes: usize, conditions: &LinkConditions) -> Nanos {
        if conditions.bytes_per_s == 0 {
            return now;
        }
        let transmission = (bytes as u64).saturating_mul(SECOND) / conditions.bytes_per_s;
        self.busy_until = self.busy_until.max(now) + transmission;
        self.busy_until
    }
}

fn latency(conditions: &LinkConditions, rng: &mut impl Rng) -> Nanos {
    let jitter_ms = if conditions.jitter_ms > 0.0 {
        -conditions.jitter_ms * (1.0 - rng.random::<f64>()).ln()
    } else {
        0.0
    };
    ((conditions.latency_ms + jitter_ms).min(2.0 * MAX_LATENCY_MS) * MS as f64) as Nanos
}
