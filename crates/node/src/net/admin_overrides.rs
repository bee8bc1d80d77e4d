//! Servers taken out by hand: the book that loops go by, and which names it may be about.

use std::cell::RefCell;

use pumicehead_admin::disabled_backends::DisabledBackends;
use pumicehead_admin::known_backends::KnownBackends;

/// Shared by whoever is called and the loops.
#[derive(Default)]
pub struct AdminOverrides {
    /// Who is out.
    pub disabled: RefCell<DisabledBackends>,
    /// Who was ever listed.
    pub known: RefCell<KnownBackends>,
}
