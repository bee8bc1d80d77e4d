//! Names of tenants by their ids, stored once for all pools.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Names, sorted by id. Clones share the same allocation.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "Vec<(u32, String)>", into = "Vec<(u32, String)>")]
pub struct TenantNames(Arc<[(u32, Arc<str>)]>);

impl TenantNames {
    /// Returns the name of a tenant id.
    #[must_use]
    pub fn get(&self, id: u32) -> Option<&str> {
        let index = self.0.binary_search_by_key(&id, |(id, _)| *id).ok()?;
        Some(&self.0[index].1)
    }
}

impl FromIterator<(u32, Arc<str>)> for TenantNames {
    fn from_iter<T: IntoIterator<Item = (u32, Arc<str>)>>(names: T) -> Self {
        let mut names: Vec<_> = names.into_iter().collect();
        names.sort_by_key(|(id, _)| *id);
        Self(names.into())
    }
}

impl From<Vec<(u32, String)>> for TenantNames {
    fn from(names: Vec<(u32, String)>) -> Self {
        names.into_iter().map(|(id, name)| (id, name.into())).collect()
    }
}

impl From<TenantNames> for Vec<(u32, String)> {
    fn from(names: TenantNames) -> Self {
        names.0.iter().map(|(id, name)| (*id, name.to_string())).collect()
    }
}
