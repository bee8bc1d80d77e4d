//! Endpoints that operators have disabled or enabled through the admin interface.

use std::cell::RefCell;

use pumicehead_admin::disabled_backends::DisabledBackends;
use pumicehead_admin::known_backends::KnownBackends;

/// Shared by the admin listener and the pool loops.
#[derive(Default)]
pub struct AdminOverrides {
    /// Overrides by endpoint name.
    pub disabled: RefCell<DisabledBackends>,
    /// Names of all endpoints that have been listed.
    pub known: RefCell<KnownBackends>,
}
