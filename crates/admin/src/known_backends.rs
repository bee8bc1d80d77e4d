//! Names of all backends that have ever been in the endpoint list. Commands are accepted for these names only.

use std::collections::BTreeSet;

use thiserror::Error;

/// Maximum number of names that are kept. Adding another one evicts the lexicographically first name, for which commands
/// are then rejected.
pub const MAX_KNOWN: usize = 20_000;

/// This backend has never been in the endpoint list.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("no server `{0}` was ever listed")]
pub struct UnknownBackendError(pub String);

/// Names of all backends that have ever been in the endpoint list, up to [`MAX_KNOWN`].
#[derive(Debug, Default)]
pub struct KnownBackends(BTreeSet<String>);

impl KnownBackends {
    /// Adds a name; evicts the lexicographically first one if the set is full.
    pub fn add(&mut self, name: &str) {
        if self.0.contains(name) {
            return;
        }
        if self.0.len() >= MAX_KNOWN {
            self.0.pop_first();
        }
        self.0.insert(name.to_owned());
    }

    /// Returns all names in lexicographic order.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.0.iter().map(String::as_str)
    }

    /// Checks that a backend has been listed at some time.
    ///
    /// # Errors
    /// Returns [`UnknownBackendError`] for any other name.
    pub fn check(&self, name: &str) -> Result<(), UnknownBackendError> {
        if self.0.contains(name) { Ok(()) } else { Err(UnknownBackendError(name.into())) }
    }
}
