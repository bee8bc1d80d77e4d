//! Endpoints that operators have disabled or enabled by hand.

use std::cell::RefCell;

use pumicehead_admin::disabled_backends::DisabledBackends;
use pumicehead_admin::known_backends::KnownBackends;

/// Shared by the admin listener and the pool loops.
#[derive(Default)]
pub struct AdminOverrides {
    /// The overrides, by name of the endpoint.
    pub disabled: RefCell<DisabledBackends>,
    /// All names that were ever listed.
    pub known: RefCell<KnownBackends>,
}
