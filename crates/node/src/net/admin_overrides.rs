//! Servers taken out by hand: the book that loops go by, and which names it may be about.

use std::cell::RefCell;

use pumicehead_admin::book::{Book, Listed};

/// Shared by whoever is called and the loops.
#[derive(Default)]
pub struct AdminOverrides {
    /// Who is out.
    pub book: RefCell<Book>,
    /// Who was ever listed.
    pub listed: RefCell<Listed>,
}
