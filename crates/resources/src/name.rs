//! Names of resources.

use std::sync::Arc;

/// The name of a resource. Clones share the text.
pub type Name = Arc<str>;
