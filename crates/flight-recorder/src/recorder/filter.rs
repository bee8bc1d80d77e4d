//! Which events are recorded at a level.

use pumicehead_policy::Nanos;
use pumicehead_policy::decision_event::DecisionEvent;

use super::{Level, Recorder};
use crate::event::{Event, PoolId};
use crate::loss_ledger::EndpointKey;

/// Factor by which a limit must have changed to be recorded again.
const LIMIT_CHANGE_FACTOR: f32 = 1.1;
/// Greatest number of endpoints whose recorded limits are remembered.
const MAX_REMEMBERED_LIMITS: usize = 20_000;

impl Recorder {
    /// Whether an event is to be recorded: unless the level is [`Level::Full`], repetitions and small changes of limits are
    /// not. That no endpoint is available is never recorded for a request without a timeline.
    pub(super) fn should_record(&mut self, at: Nanos, pool: PoolId, event: &Event) -> bool {
        match event {
            Event::Decision(DecisionEvent::NoEndpointAvailable { id, exclusions }) => {
                match self.open.get_mut(&(pool, *id)) {
                    Some(open) => {
                        open.last_exclusions.replace(*exclusions) != Some(*exclusions)
                            || self.level == Level::Full
                    }
                    None => false,
                }
            }
            Event::Decision(DecisionEvent::LimitChanged { endpoint, from, to, .. }) => {
                self.ledger
                    .endpoints
                    .row_mut(at, EndpointKey { pool, endpoint: endpoint.0 })
                    .concurrency_limit = *to;
                if self.limits.len() >= MAX_REMEMBERED_LIMITS {
                    self.limits.clear();
                }
                let last = self.limits.entry((pool, *endpoint)).or_insert(*from);
                let has_changed = *to > *last * LIMIT_CHANGE_FACTOR
                    || *to * LIMIT_CHANGE_FACTOR < *last
                    || self.level == Level::Full;
                if has_changed {
                    *last = *to;
                }
                has_changed
            }
            Event::Decision(DecisionEvent::AllLimitsChanged { factor, .. }) => {
                self.level == Level::Full
                    || *factor > LIMIT_CHANGE_FACTOR
                    || *factor * LIMIT_CHANGE_FACTOR < 1.0
            }
            _ => true,
        }
    }
}
