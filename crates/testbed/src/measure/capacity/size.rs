//! Sizes of a configuration, and the sets of sizes in which one factor grows alone.

/// How many of each resource a configuration has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Backends, distributed round-robin over all pools.
    pub backends: usize,
    /// Pools: one for each service.
    pub pools: usize,
    /// Routes, distributed round-robin over all pools.
    pub routes: usize,
    /// Tenants.
    pub tenants: usize,
}

/// The size that operators expect within two years.
pub const TARGET: Size = Size { backends: 8_000, pools: 140, routes: 15_000, tenants: 16_000 };
/// A configuration whose cost is mostly that of the node itself.
pub const SMALLEST: Size = Size { backends: 10, pools: 1, routes: 10, tenants: 0 };
/// The short run measures the target divided by this.
const SHORT_DIVISOR: usize = 4;
/// Divisors of the largest size of a factor, which give the four sizes in which it grows alone.
const STEP_DIVISORS: [usize; 4] = [8, 4, 2, 1];

impl Size {
    /// The size at which the claims are checked, where all factors are large at once: the target, or a fraction of it.
    #[must_use]
    pub fn corner(full: bool) -> Self {
        if full { TARGET } else { TARGET.divided(SHORT_DIVISOR) }
    }

    /// Each count divided.
    #[must_use]
    pub fn divided(self, divisor: usize) -> Self {
        Self {
            backends: self.backends / divisor,
            pools: self.pools / divisor,
            routes: self.routes / divisor,
            tenants: self.tenants / divisor,
        }
    }

    /// Its share of the target, from 0 to 1, by the number of routes; at the corner all counts have the same share.
    #[must_use]
    pub fn share_of_target(self) -> f64 {
        self.routes as f64 / TARGET.routes as f64
    }

    /// Its counts as readable text.
    #[must_use]
    pub fn describe(self) -> String {
        let Self { backends, pools, routes, tenants } = self;
        format!("{backends} backends, {pools} pools, {routes} routes, {tenants} tenants")
    }
}

/// Factors that grow alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Factor {
    /// Backends in one pool.
    Backends,
    /// Pools that share the same number of backends.
    Pools,
    /// Routes to one pool.
    Routes,
    /// Tenants of one pool.
    Tenants,
    /// The same tenants with more pools: pairs of a tenant and a pool.
    TenantPools,
}

/// All factors, in the order of the table.
pub const FACTORS: [Factor; 5] =
    [Factor::Backends, Factor::Pools, Factor::Routes, Factor::Tenants, Factor::TenantPools];

impl Factor {
    /// Name of one unit of the factor.
    #[must_use]
    pub fn one(self) -> &'static str {
        match self {
            Self::Backends => "backend",
            Self::Pools => "pool",
            Self::Routes => "route",
            Self::Tenants => "tenant",
            Self::TenantPools => "tenant in a pool",
        }
    }

    /// Names of its slopes of memory (bytes) and of a reload's processor time (microseconds) in the last line.
    #[must_use]
    pub fn figures(self) -> (&'static str, &'static str) {
        match self {
            Self::Backends => ("rss_b_backend", "reload_us_backend"),
            Self::Pools => ("rss_b_pool", "reload_us_pool"),
            Self::Routes => ("rss_b_route", "reload_us_route"),
            Self::Tenants => ("rss_b_tenant", "reload_us_tenant"),
            Self::TenantPools => ("rss_b_tenant_pool", "reload_us_tenant_pool"),
        }
    }

    /// Four sizes in which only this factor grows, up to its count at the corner.
    #[must_use]
    pub fn sizes(self, corner: Size) -> [Size; 4] {
        // Enough backends and routes for the largest number of pools.
        let base = Size { backends: corner.pools, pools: 1, routes: corner.pools, tenants: 0 };
        STEP_DIVISORS.map(|divisor| match self {
            Self::Backends => Size { backends: corner.backends / divisor, ..base },
            Self::Pools => Size { pools: corner.pools / divisor, ..base },
            Self::Routes => Size { routes: corner.routes / divisor, ..base },
            Self::Tenants => Size { tenants: corner.tenants / divisor, ..base },
            Self::TenantPools => {
                Size { pools: corner.pools / divisor, tenants: corner.tenants / STEP_DIVISORS[0], ..base }
            }
        })
    }

    /// Count of the factor in a configuration.
    #[must_use]
    pub fn count(self, size: Size) -> usize {
        match self {
            Self::Backends => size.backends,
            Self::Pools => size.pools,
            Self::Routes => size.routes,
            Self::Tenants => size.tenants,
            Self::TenantPools => size.tenants * size.pools,
        }
    }
}
