//! What a host does with a module beside its events: other settings for one that goes on with what it has learned, and
//! what it may lend. Decides nothing.

use super::Balancer;
use crate::interface::{ServerId, Settings};

impl Settings {
    /// Whether a module with these settings may go over to others: requests that are open must end under the rules
    /// that they began with, and what was learned is kept by the places of classes and zones and by the ids of tenants.
    /// Classes may be added behind the others; tenants may come, go and change.
    #[must_use]
    pub fn retunes_to(&self, new: &Self) -> bool {
        let same_rules = self.classes.iter().zip(&new.classes).all(|(old, new)| {
            // What a repeat may do is asked for again whenever an attempt ends.
            old.effect == new.effect && old.keep_order == new.keep_order
        });
        same_rules
            && self.classes.len() <= new.classes.len()
            && (self.me, self.nodes, self.zone, self.zones) == (new.me, new.nodes, new.zone, new.zones)
            && (self.discovery, self.full_unproven) == (new.discovery, new.full_unproven)
            && (self.parallel_tries, self.cancel, self.peers) == (new.parallel_tries, new.cancel, new.peers)
    }
}

impl Balancer {
    /// This node's own share of the cold servers that it uses, in requests a second before their ramp: what it sends a warm
    /// one. It may be lent. Of servers that it does not use it has none: others do.
    pub fn cold_shares(&self) -> impl Iterator<Item = (ServerId, f64)> {
        let used = self.pools.active.iter().flatten().map(|&slot| &self.servers[slot]);
        let cold = used.filter(|server| self.ramp(server) < 1.0);
        cold.map(|server| (server.id, self.pools.warm_rate))
    }

    /// Whether a server gets nothing new for now: it is not ready, set aside or silent.
    #[must_use]
    pub fn avoids(&self, id: ServerId) -> bool {
        self.slots.get(&id).is_none_or(|&slot| !self.servers[slot].ready || self.out_of_order(slot))
    }

    /// Goes on with other settings; they should have passed [`Settings::check`]. Requests that are held keep their worth
    /// and their aim. Tells whether [`Settings::retunes_to`] allows it; where not, nothing is changed.
    pub fn retune(&mut self, settings: Settings) -> bool {
        let settings = self.shared(settings);
        if !self.settings.retunes_to(&settings) {
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
