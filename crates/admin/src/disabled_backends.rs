//! Backends that operators have disabled, and those that were re-enabled recently. Entries are keyed by name, so that they
//! survive changes of the endpoint list; the stored form survives a restart of the process.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::command::MAX_NAME_BYTES;

/// Unix time in milliseconds, always from the clock of the same machine.
pub type UnixMs = u64;

/// Version of the stored format.
const STORED_VERSION: u32 = 1;
/// Maximum number of entries, which bounds the number of backends disabled at once.
pub const MAX_DISABLED: usize = 4_096;
/// How long the entry of a re-enabled backend is kept, in milliseconds; much longer than a backend's slow start.
pub const ENABLED_RETENTION_MS: UnixMs = 600_000;
/// Maximum number of bytes of a stored entry in addition to its name.
const MAX_ENTRY_OVERHEAD_BYTES: usize = 100;
/// Maximum length of a stored form that is accepted, in bytes.
pub const MAX_STORED_BYTES: usize = MAX_DISABLED * (MAX_NAME_BYTES + MAX_ENTRY_OVERHEAD_BYTES);

/// Operator override for a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Override {
    /// Disabled since this time.
    #[serde(rename = "out")]
    Disabled(UnixMs),
    /// Disabled, and later re-enabled.
    #[serde(rename = "back")]
    Enabled {
        /// When it was disabled. Disabling it again meanwhile does not change this time.
        #[serde(rename = "out")]
        disabled_at: UnixMs,
        /// When it was re-enabled.
        #[serde(rename = "back")]
        enabled_at: UnixMs,
    },
}

/// Whether a backend may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendState {
    /// The backend gets no new requests.
    Disabled,
    /// The backend may get requests.
    Enabled {
        /// Assumed start time of its process, in Unix milliseconds; 0 means long ago.
        started_ms: UnixMs,
    },
}

/// No further backend can be disabled, as there are [`MAX_DISABLED`] entries already.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{MAX_DISABLED} servers are out already")]
pub struct TooManyDisabledError;

/// Why a stored form can't be read.
#[derive(Debug, Error)]
pub enum StoredFormError {
    /// The stored form is longer than [`MAX_STORED_BYTES`].
    #[error("disabled backends: {length} bytes, more than {MAX_STORED_BYTES}")]
    TooLong {
        /// Its length in bytes.
        length: u64,
    },
    /// The stored form is not valid JSON of the expected structure.
    #[error("disabled backends: {0}")]
    Json(#[from] serde_json::Error),
    /// The stored form has an unsupported version.
    #[error("disabled backends: version {found}, not {STORED_VERSION}")]
    Version {
        /// The version in the stored form.
        found: u32,
    },
    /// The stored form has more than [`MAX_DISABLED`] entries, or a name longer than [`MAX_NAME_BYTES`].
    #[error(
        "disabled backends: more than {MAX_DISABLED} backends, or a name of more than {MAX_NAME_BYTES} bytes"
    )]
    OutOfBounds,
}

/// Backends that are disabled, or that were re-enabled within the last [`ENABLED_RETENTION_MS`], by name.
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
    /// Parses the output of [`to_stored`](Self::to_stored).
    ///
    /// # Errors
    /// Returns a [`StoredFormError`] if the input is too long, malformed or of another version.
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

    /// Serializes the entries as JSON on a single line.
    #[must_use]
    pub fn to_stored(&self) -> String {
        let stored = StoredForm { version: STORED_VERSION, overrides: self.overrides.clone() };
        serde_json::to_string(&stored).expect("a map of strings and numbers can always be serialized as JSON")
    }

    /// Disables a backend. Disabling a disabled backend has no effect.
    ///
    /// # Errors
    /// Returns [`TooManyDisabledError`] if a new entry would exceed [`MAX_DISABLED`].
    pub fn disable(&mut self, backend: &str, now: UnixMs) -> Result<(), TooManyDisabledError> {
        self.remove_expired(now);
        match self.overrides.get(backend) {
            Some(Override::Disabled(_)) => return Ok(()),
            None if self.overrides.len() >= MAX_DISABLED => return Err(TooManyDisabledError),
            _ => {}
        }
        self.overrides.insert(backend.to_owned(), Override::Disabled(now));
        Ok(())
    }

    /// Re-enables a backend. One call is enough however often it was disabled; a backend that is not disabled is left
    /// unchanged.
    pub fn enable(&mut self, backend: &str, now: UnixMs) {
        self.remove_expired(now);
        if let Some(entry) = self.overrides.get_mut(backend)
            && let Override::Disabled(disabled_at) = *entry
        {
            *entry = Override::Enabled { disabled_at, enabled_at: now };
        }
    }

    fn remove_expired(&mut self, now: UnixMs) {
        self.overrides.retain(|_, entry| match entry {
            Override::Disabled(_) => true,
            Override::Enabled { enabled_at, .. } => now < enabled_at.saturating_add(ENABLED_RETENTION_MS),
        });
    }

    /// Returns the state of a backend whose process started at `started_ms` according to the endpoint list. A backend that
    /// was disabled and re-enabled since then counts as started when it was re-enabled: it may have been restarted while it
    /// was disabled, and that is the latest possible time of such a restart.
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

    /// Whether there is an entry for a backend. Such a backend has been listed at some time, possibly only in the lifetime
    /// of an earlier process.
    #[must_use]
    pub fn contains(&self, backend: &str) -> bool {
        self.overrides.contains_key(backend)
    }

    /// Returns the names whose entries differ between the two sets.
    #[must_use]
    pub fn changed(&self, other: &Self) -> BTreeSet<String> {
        let differs = |name: &&String| self.overrides.get(*name) != other.overrides.get(*name);
        self.overrides.keys().chain(other.overrides.keys()).filter(differs).cloned().collect()
    }
}
