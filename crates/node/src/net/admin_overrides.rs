//! Endpoints that operators have disabled or enabled by hand.

use std::cell::RefCell;

use pumicehead_admin::book::{Book, Listed};

/// Shared by the admin listener and the pool loops.
#[derive(Default)]
pub struct AdminOverrides {
    /// The overrides, by name of the endpoint.
    pub book: RefCell<Book>,
    /// All names that were ever listed.
    pub listed: RefCell<Listed>,
}
