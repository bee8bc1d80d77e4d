//! Whether a tenant is over its share of this node's traffic.

use crate::balancer::Balancer;
use crate::tenant_table::{EARNING_S, TenantRequest};
use crate::{Nanos, TenantId, seconds};

/// Requests that any tenant may save up.
const MIN_SAVED_REQUESTS: f64 = 2.0;
/// Time whose earnings a tenant may save up in addition, in seconds.
const SAVED_S: f64 = 3.0;

impl Balancer {
    /// Counts a request and returns whether its tenant is over its share. A tenant earns its share of this
    /// node's arrivals, at least this node's part of its allowance, and spends one with each request within
    /// it.
    pub(crate) fn is_over_share(&mut self, tenant: TenantId) -> bool {
        let Some(quota) = self.settings.tenants.get(tenant) else { return false };
        let own_allowance = quota.allowance_per_s / f64::from(self.settings.node_count);
        let rate_per_s = own_allowance.max(quota.share * self.traffic.arrivals.get(self.now));
        let max_saved = MIN_SAVED_REQUESTS + SAVED_S * rate_per_s;
        let earned = |since: Nanos| rate_per_s * seconds(self.now.saturating_sub(since)).min(EARNING_S);
        let request = TenantRequest { tenant, at: self.now, rate_per_s, max_saved };
        self.tenants.judge(request, |state| {
            state.allowance = (state.allowance + earned(state.updated_at)).min(max_saved);
            state.allowance < 1.0
        })
    }

    /// Number of tenants with a record in this pool, and the bytes that all records take.
    #[must_use]
    pub fn tenant_states(&self) -> (usize, usize) {
        (self.tenants.len(), self.tenants.bytes())
    }
}
