//! Identity of a pool: the settings that its learned state depends on, and whether it can adopt new settings in place.

use pumicehead_config::model::{Config, PoolEndpoints, Protocol};
use pumicehead_policy::tenant_shares::TenantShares;
use pumicehead_policy::{Nanos, Settings};

use super::error::ApplyError;

/// Maximum number of classes that stay in a pool's settings although it no longer serves them, so that the other classes keep
/// their indices. With more of them, the pool is started anew.
const MAX_UNUSED_CLASSES: usize = 32;

/// The settings that a pool's learned state depends on. If they change only as [`PoolIdentity::can_update_to`] allows, the
/// pool keeps its event loop with its queues, connections and learned limits. Any other change starts a new loop.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolIdentity {
    /// Settings of the decision module.
    pub settings: Settings,
    /// Names of the pool's classes, in the order of the settings.
    pub classes: Vec<String>,
    /// Settings of the pool's connections.
    pub connection: ConnectionSettings,
}

/// The part of a pool's identity that its connections and its endpoint list depend on.
#[derive(Clone, Debug, PartialEq)]
pub struct ConnectionSettings {
    /// Names of all zones.
    pub zones: Vec<String>,
    /// Whether the configuration lists the endpoints; otherwise discovery does.
    pub has_static_endpoints: bool,
    /// Timeout for connecting to an endpoint.
    pub connect_timeout: Nanos,
    /// Idle time after which a connection is closed.
    pub idle_timeout: Nanos,
    /// Maximum length of a response body in bytes.
    pub max_response_body: u64,
    /// Protocol of the endpoints.
    pub protocol: Protocol,
    /// FastCGI: name of the script.
    pub script: String,
    /// FastCGI: document root.
    pub root: String,
}

impl PoolIdentity {
    /// Returns the identity of the pool at this index of a configuration, with the shares of all tenants.
    ///
    /// # Errors
    /// Returns [`ApplyError::InvalidSettings`] if the decision module rejects the settings.
    pub fn new(config: &Config, pool_index: usize, tenants: &TenantShares) -> Result<Self, ApplyError> {
        let pool = &config.pools[pool_index];
        let settings = config.settings_with(pool_index, tenants.clone());
        // A pool without routes has no classes and needs no decisions, so its settings are not checked.
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

    /// Reorders the classes such that those of the former identity keep their indices and new ones follow, because requests
    /// in the pool refer to their class by index. Former classes that are no longer used are kept. Returns the identity
    /// unchanged if more than [`MAX_UNUSED_CLASSES`] of them would be kept.
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

    /// Whether the pool's event loop can switch to another identity and keep what it has learned.
    #[must_use]
    pub fn can_update_to(&self, new: &Self) -> bool {
        let same_names = self.classes.iter().zip(&new.classes).all(|(old, new)| old == new);
        same_names && self.connection == new.connection && self.settings.can_update_to(&new.settings)
    }
}
