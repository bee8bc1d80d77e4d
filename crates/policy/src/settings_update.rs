//! The change of settings while requests are in progress.

use crate::Settings;
use crate::balancer::Balancer;

impl Settings {
    /// Whether a module with these settings may be updated to `new` ones. Open requests must end under the
    /// rules that they began with, and what was learned is kept by the position of classes and zones and by
    /// the id of tenants. Classes may be added behind the others; tenants may be added, removed and changed.
    #[must_use]
    pub fn can_update_to(&self, new: &Self) -> bool {
        let same_rules = self.classes.iter().zip(&new.classes).all(|(old, new)| {
            // Idempotency is asked for again whenever an attempt ends.
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
    /// Goes on with other settings, which should have passed [`Settings::check`]. Queued requests keep their
    /// priority and objective. Returns whether [`Settings::can_update_to`] allows it; if not, nothing is
    /// changed.
    pub fn update_settings(&mut self, settings: Settings) -> bool {
        let settings = self.with_node_share(settings);
        if !self.settings.can_update_to(&settings) {
            return false;
        }
        self.latencies.add_classes(&settings);
        self.tenants.forget_unknown(self.now, |id| settings.tenants.get(id).is_some());
        self.settings = settings;
        true
    }
}
