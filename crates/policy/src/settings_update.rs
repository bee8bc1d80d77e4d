//! Updates of the settings while requests are in progress.

use crate::Settings;
use crate::balancer::Balancer;

impl Settings {
    /// Returns whether a balancer with these settings may be updated to `new` ones. Open requests must end
    /// under the rules that they started with, and learned state is kept by the index of classes and zones
    /// and by the id of tenants. So classes may only be appended, while tenants may be added, removed and
    /// changed.
    #[must_use]
    pub fn can_update_to(&self, new: &Self) -> bool {
        let same_rules = self.classes.iter().zip(&new.classes).all(|(old, new)| {
            // Idempotency is looked up again whenever an attempt ends.
            old.idempotency == new.idempotency && old.ordered_by_key == new.ordered_by_key
        });
        same_rules
            && self.classes.len() <= new.classes.len()
            && (self.node_index, self.node_count) == (new.node_index, new.node_count)
            && (self.zone, self.zone_count) == (new.zone, new.zone_count)
            && (self.discovery, self.rejection_may_execute) == (new.discovery, new.rejection_may_execute)
            && (self.concurrent_attempts, self.cancellation) == (new.concurrent_attempts, new.cancellation)
            && self.load_reports == new.load_reports
    }
}

impl Balancer {
    /// Replaces the settings by others, which should have passed [`Settings::check`]. Queued requests keep
    /// their priority and objective. Returns whether [`Settings::can_update_to`] allows the update; if not,
    /// nothing changes.
    pub fn update_settings(&mut self, settings: Settings) -> bool {
        let settings = self.with_node_share(settings);
        if !self.settings.can_update_to(&settings) {
            return false;
        }
        self.latencies.add_classes(&settings);
        self.tenants.evict_idle_unknown(self.now, |id| settings.tenants.get(id).is_some());
        self.settings = settings;
        true
    }
}
