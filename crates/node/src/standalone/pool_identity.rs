//! Identity of a pool: what its learned state depends on, and when it can take a new configuration in place.

use pumicehead_config::model::{Config, PoolEndpoints, Protocol};
use pumicehead_policy::tenant_shares::TenantShares;
use pumicehead_policy::{Nanos, Settings};

use super::error::ApplyError;

/// Most classes that a pool no longer serves and that stay in its settings, so that the others keep their indices. With
/// more of them the pool starts anew.
const MAX_UNUSED_CLASSES: usize = 32;

/// What a pool's learned state depends on. A pool whose identity changes only as [`PoolIdentity::can_update_to`] allows
/// keeps its loop with its queues, connections and learned limits; any other change starts a new loop.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolIdentity {
    /// Settings of the decision module.
    pub settings: Settings,
    /// Names of its classes, in the order of the settings.
    pub classes: Vec<String>,
    /// Settings of its connections.
    pub connection: ConnectionSettings,
}

/// The part of a pool's identity that its connections and its endpoint list depend on.
#[derive(Clone, Debug, PartialEq)]
pub struct ConnectionSettings {
    /// Names of all zones.
    pub zones: Vec<String>,
    /// The configuration lists the endpoints; discovery does otherwise.
    pub has_static_endpoints: bool,
    /// Timeout of a connect.
    pub connect_timeout: Nanos,
    /// Idle time after which a connection closes.
    pub idle_timeout: Nanos,
    /// Longest body of an answer, in bytes.
    pub max_response_body: u64,
    /// Protocol of the endpoints.
    pub protocol: Protocol,
    /// FastCGI: the script that is run.
    pub script: String,
    /// FastCGI: the document root.
    pub root: String,
}

impl PoolIdentity {
    /// Identity of the pool at this index of a configuration, with the shares of all tenants.
    ///
    /// # Errors
    /// [`ApplyError::InvalidSettings`].
    pub fn new(config: &Config, pool_index: usize, tenants: &TenantShares) -> Result<Self, ApplyError> {
        let pool = &config.pools[pool_index];
        let settings = config.settings_with(pool_index, tenants.clone());
        // A pool without routes has no classes, and needs no decisions.
        if !settings.classes.is_empty() {
            settings
                .check()
                .map_err(|source| ApplyError::InvalidSettings { pool: pool.name.clone(), source })?;
        }
        let classes = config.classes_of(pool_index).into_iter();
        Ok(Self {
            settings,
            classes: classes.map(|class| config.classes[class].name.clone()).collect(),
            connection: ConnectionSettings {
                zones: config.node.zones.clone(),
                has_static_endpoints: matches!(pool.endpoints, PoolEndpoints::Static(_)),
                connect_timeout: pool.settings.connect_timeout,
                idle_timeout: pool.settings.idle_timeout,
                max_response_body: config.limits.max_response_body_bytes,
                protocol: pool.settings.protocol,
                script: pool.settings.script_name.clone(),
                root: pool.settings.document_root.clone(),
            },
        })
    }

    /// This identity with the classes of the former one at their indices and new ones behind them: requests in the pool
    /// refer to their class by index. Returned as it is where that would leave too many unused classes.
    #[must_use]
    pub fn with_class_order_of(mut self, former: &Self) -> Self {
        let unused = former.classes.iter().filter(|name| !self.classes.contains(name)).count();
        if unused > MAX_UNUSED_CLASSES {
            return self;
        }
        let names = std::mem::take(&mut self.classes);
        let settings = std::mem::take(&mut self.settings.classes);
        let mut remaining: Vec<_> = names.into_iter().zip(settings).collect();
        for (name, former_class) in former.classes.iter().zip(&former.settings.classes) {
            let index = remaining.iter().position(|(other, _)| other == name);
            let class = index.map_or_else(|| former_class.clone(), |index| remaining.remove(index).1);
            self.classes.push(name.clone());
            self.settings.classes.push(class);
        }
        for (name, class) in remaining {
            self.classes.push(name);
            self.settings.classes.push(class);
        }
        self
    }

    /// Whether a loop can take over another identity and keep what it has learned.
    #[must_use]
    pub fn can_update_to(&self, new: &Self) -> bool {
        let same_names = self.classes.iter().zip(&new.classes).all(|(old, new)| old == new);
        same_names && self.connection == new.connection && self.settings.can_update_to(&new.settings)
    }
}
