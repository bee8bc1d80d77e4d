//! What a host does with a module beside its events: other settings for one that goes on with what it has
//! learned, and what it may lend. Decides nothing.

use super::Balancer;
use crate::{EndpointId, Settings};

impl Settings {
    /// Whether a module with these settings may go over to others: requests that are open must end under the
    /// rules that they began with, and what was learned is kept by the places of classes and zones and by the
    /// ids of tenants. Classes may be added behind the others; tenants may come, go and change.
    #[must_use]
    pub fn can_update_to(&self, new: &Self) -> bool {
        let same_rules = self.classes.iter().zip(&new.classes).all(|(old, new)| {
            // What a repeat may do is asked for again whenever an attempt ends.
            old.idempotency == new.idempotency && old.ordered_by_key == new.ordered_by_key
        });
        same_rules
            && self.classes.len() <= new.classes.len()
            && (self.node_index, self.node_count, self.zone, self.zone_count)
                == (new.node_index, new.node_count, new.zone, new.zone_count)
            && (self.discovery, self.rejection_may_execute) == (new.discovery, new.rejection_may_execute)
            && (self.concurrent_attempts, self.cancellation, self.load_reports)
                == (new.concurrent_attempts, new.cancellation, new.load_reports)
    }
}

impl Balancer {
    /// This node's own share of the cold servers that it uses, in requests a second before their ramp: what
    /// it sends a warm one. It may be lent. Of servers that it does not use it has none: others do.
    pub fn slow_start_rates(&self) -> impl Iterator<Item = (EndpointId, f64)> {
        let used = self.pools.active.iter().flatten().map(|&slot| &self.servers[slot]);
        let cold = used.filter(|server| self.ramp(server) < 1.0);
        cold.map(|server| (server.id, self.pools.warm_rate))
    }

    /// Whether a server gets nothing new for now: it is not ready, set aside or silent.
    #[must_use]
    pub fn avoids(&self, id: EndpointId) -> bool {
        self.slots.get(&id).is_none_or(|&slot| !self.servers[slot].ready || self.out_of_order(slot))
    }

    /// Goes on with other settings; they should have passed [`Settings::check`]. Requests that are held keep
    /// their worth and their aim. Tells whether [`Settings::can_update_to`] allows it; where not, nothing is
    /// changed.
    pub fn update_settings(&mut self, settings: Settings) -> bool {
        let settings = self.shared(settings);
        if !self.settings.can_update_to(&settings) {
            return false;
        }
        // New classes come behind the others, as a node that has just started knows them.
        let known = self.classes.len();
        let fresh = Self::new(settings.clone(), 0);
        self.classes.extend(&fresh.classes[known..]);
        self.calms.extend(&fresh.calms[self.calms.len()..]);
        self.tenants.forget_unknown(self.now, |id| settings.tenants.get(id).is_some());
        self.settings = settings;
        true
    }

    /// Tenants with a state of their own in this module, and the bytes that the states take.
    #[must_use]
    pub fn tenant_states(&self) -> (usize, usize) {
        (self.tenants.len(), self.tenants.bytes())
    }
}
