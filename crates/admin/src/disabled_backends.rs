//! Backends that operators have disabled, and those enabled again a short while ago. Entries are by name, so that they
//! outlive changes of the endpoint list; the stored form outlives the process.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::command::MAX_NAME_BYTES;

/// Unix milliseconds of one machine's clock.
pub type UnixMs = u64;

/// Version of the stored form.
const STORED_VERSION: u32 = 1;
/// Most backends that may be disabled at once.
pub const MAX_DISABLED: usize = 4_096;
/// How long the time of an enable is kept, in milliseconds; far longer than a backend's slow start.
pub const ENABLED_RETENTION_MS: UnixMs = 600_000;
/// Bytes around a name in the stored form, at the most.
const MAX_ENTRY_OVERHEAD_BYTES: usize = 100;
/// Longest stored form that is read.
pub const MAX_STORED_BYTES: usize = MAX_DISABLED * (MAX_NAME_BYTES + MAX_ENTRY_OVERHEAD_BYTES);

/// What operators decided about a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Override {
    /// Disabled at this time.
    #[serde(rename = "out")]
    Disabled(UnixMs),
    /// Disabled and enabled again.
    #[serde(rename = "back")]
    Enabled {
        /// When it was first disabled.
        #[serde(rename = "out")]
        disabled_at: UnixMs,
        /// When it was enabled again.
        #[serde(rename = "back")]
        enabled_at: UnixMs,
    },
}

/// Whether a backend may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendState {
    /// It gets no new requests.
    Disabled,
    /// It may serve.
    Enabled {
        /// Earliest possible start of its process, in Unix milliseconds; 0 is long ago.
        started_ms: UnixMs,
    },
}

/// [`MAX_DISABLED`] backends are disabled: no other one can be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{MAX_DISABLED} servers are out already")]
pub struct TooManyDisabledError;

/// A stored form can't be read.
#[derive(Debug, Error)]
pub enum StoredFormError {
    /// The stored form has too many bytes.
    #[error("disabled backends: {length} bytes, more than {MAX_STORED_BYTES}")]
    TooLong {
        /// Its length in bytes.
        length: u64,
    },
    /// The stored form is not the expected JSON.
    #[error("disabled backends: {0}")]
    Json(#[from] serde_json::Error),
    /// The stored form is of another version.
    #[error("disabled backends: version {found}, not {STORED_VERSION}")]
    Version {
        /// The version found.
        found: u32,
    },
    /// The stored form has too many backends, or too long a name.
    #[error(
        "disabled backends: more than {MAX_DISABLED} backends, or a name of more than {MAX_NAME_BYTES} bytes"
    )]
    OutOfBounds,
}

/// Backends disabled, or enabled again within [`ENABLED_RETENTION_MS`], by name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DisabledBackends {
    overrides: BTreeMap<String, Override>,
}

#[derive(Serialize, Deserialize)]
struct StoredForm {
    #[serde(rename = "v")]
    version: u32,
    #[serde(rename = "servers")]
    overrides: BTreeMap<String, Override>,
}

impl DisabledBackends {
    /// Reads what [`to_stored`](Self::to_stored) wrote.
    ///
    /// # Errors
    /// [`StoredFormError`].
    pub fn from_stored(stored: &[u8]) -> Result<Self, StoredFormError> {
        if stored.len() > MAX_STORED_BYTES {
            return Err(StoredFormError::TooLong { length: stored.len() as u64 });
        }
        let stored: StoredForm = serde_json::from_slice(stored)?;
        if stored.version != STORED_VERSION {
            return Err(StoredFormError::Version { found: stored.version });
        }
        let has_long_name = stored.overrides.keys().any(|name| name.len() > MAX_NAME_BYTES);
        if stored.overrides.len() > MAX_DISABLED || has_long_name {
            return Err(StoredFormError::OutOfBounds);
        }
        Ok(Self { overrides: stored.overrides })
    }

    /// The stored form: JSON on one line.
    #[must_use]
    pub fn to_stored(&self) -> String {
        let stored = StoredForm { version: STORED_VERSION, overrides: self.overrides.clone() };
        serde_json::to_string(&stored).expect("strings and numbers alone are always JSON")
    }

    /// Disables a backend. Repeated, it changes nothing.
    ///
    /// # Errors
    /// [`TooManyDisabledError`].
    pub fn disable(&mut self, backend: &str, now: UnixMs) -> Result<(), TooManyDisabledError> {
        self.forget_expired(now);
        match self.overrides.get(backend) {
            Some(Override::Disabled(_)) => return Ok(()),
            None if self.overrides.len() >= MAX_DISABLED => return Err(TooManyDisabledError),
            _ => {}
        }
        self.overrides.insert(backend.to_owned(), Override::Disabled(now));
        Ok(())
    }

    /// Enables a backend, however often it was disabled. One that is not disabled stays as it is.
    pub fn enable(&mut self, backend: &str, now: UnixMs) {
        self.forget_expired(now);
        if let Some(entry) = self.overrides.get_mut(backend)
            && let Override::Disabled(disabled_at) = *entry
        {
            *entry = Override::Enabled { disabled_at, enabled_at: now };
        }
    }

    fn forget_expired(&mut self, now: UnixMs) {
        self.overrides.retain(|_, entry| match entry {
            Override::Disabled(_) => true,
            Override::Enabled { enabled_at, .. } => now < enabled_at.saturating_add(ENABLED_RETENTION_MS),
        });
    }

    /// State of a backend whose process started at `started_ms` by the endpoint list. One that was disabled since then
    /// counts as started when it was enabled again, the latest that a restart meanwhile can have been.
    #[must_use]
    pub fn state(&self, backend: &str, started_ms: UnixMs) -> BackendState {
        match self.overrides.get(backend) {
            Some(Override::Disabled(_)) => BackendState::Disabled,
            Some(&Override::Enabled { disabled_at, enabled_at }) if started_ms <= disabled_at => {
                BackendState::Enabled { started_ms: started_ms.max(enabled_at) }
            }
            _ => BackendState::Enabled { started_ms },
        }
    }

    /// Whether there is an entry for a backend: then it was listed once, if only in an earlier process.
    #[must_use]
    pub fn contains(&self, backend: &str) -> bool {
        self.overrides.contains_key(backend)
    }

    /// Names whose entries differ between the two sets.
    #[must_use]
    pub fn changed(&self, other: &Self) -> BTreeSet<String> {
        let differs = |name: &&String| self.overrides.get(*name) != other.overrides.get(*name);
        self.overrides.keys().chain(other.overrides.keys()).filter(differs).cloned().collect()
    }
}
