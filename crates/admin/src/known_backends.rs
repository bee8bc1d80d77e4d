//! Names that the endpoint list has ever held: a command may only name one of them.

use std::collections::BTreeSet;

use thiserror::Error;

/// Names that are kept; beyond this the lexically first one is forgotten, and a command that names it is refused.
pub const MAX_KNOWN: usize = 20_000;

/// The endpoint list never held this backend.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("no server `{0}` was ever listed")]
pub struct UnknownBackendError(pub String);

/// Names that the endpoint list has ever held.
#[derive(Debug, Default)]
pub struct KnownBackends(BTreeSet<String>);

impl KnownBackends {
    /// Adds a name.
    pub fn add(&mut self, name: &str) {
        if self.0.contains(name) {
            return;
        }
        if self.0.len() >= MAX_KNOWN {
            self.0.pop_first();
        }
        self.0.insert(name.to_owned());
    }

    /// All names, in their order.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.0.iter().map(String::as_str)
    }

    /// Checks that a name was ever listed.
    ///
    /// # Errors
    /// [`UnknownBackendError`].
    pub fn check(&self, name: &str) -> Result<(), UnknownBackendError> {
        if self.0.contains(name) { Ok(()) } else { Err(UnknownBackendError(name.into())) }
    }
}
