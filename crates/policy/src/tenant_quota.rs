//! Tenant quotas: whether a request exceeds its tenant's share of this node's traffic.

use crate::balancer::Balancer;
use crate::tenant_table::{EARNING_S, TenantRequest};
use crate::{Nanos, TenantId, seconds};

/// Part of a tenant's burst capacity that doesn't depend on its rate, in requests.
const MIN_BURST_REQUESTS: f64 = 2.0;
/// Part of a tenant's burst capacity that depends on its rate: the earnings of this many seconds.
const BURST_S: f64 = 3.0;

impl Balancer {
    /// Counts a request and returns whether its tenant is over its share; a tenant without settings never is.
    /// The allowance is a token bucket. It is refilled at the tenant's share of this node's arrival rate, but
    /// at least at this node's part of the tenant's guaranteed rate, and each request within the share takes
    /// one token.
    pub(crate) fn is_over_share(&mut self, tenant: TenantId) -> bool {
        let Some(quota) = self.settings.tenants.get(tenant) else { return false };
        let own_allowance = quota.allowance_per_s / f64::from(self.settings.node_count);
        let rate_per_s = own_allowance.max(quota.share * self.traffic.arrivals.get(self.now));
        let burst_capacity = MIN_BURST_REQUESTS + BURST_S * rate_per_s;
        let earned = |since: Nanos| rate_per_s * seconds(self.now.saturating_sub(since)).min(EARNING_S);
        let request = TenantRequest { tenant, at: self.now, rate_per_s, burst_capacity };
        self.tenants.check_and_charge(request, |state| {
            state.allowance = (state.allowance + earned(state.updated_at)).min(burst_capacity);
            state.allowance < 1.0
        })
    }

    /// Returns the number of tenant records of this pool, and the memory that they take in bytes.
    #[must_use]
    pub fn tenant_record_usage(&self) -> (usize, usize) {
        (self.tenants.len(), self.tenants.bytes())
    }
}
