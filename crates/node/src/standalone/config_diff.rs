//! How a loaded configuration differs from the one in force.

use pumicehead_config::Span;
use pumicehead_config::compact_config::CompactConfig;
use pumicehead_config::diff::{Change, ChangeKind, diff_with_delta};
use pumicehead_config::model::Config;
use pumicehead_resources::{Digest, Snapshot, ValidationError};

use super::affected_pools::AffectedPools;

/// How a configuration differs from the one in force.
pub struct ConfigDiff {
    /// Digest of the new state.
    pub digest: Digest,
    /// Both states are the same.
    pub is_empty: bool,
    /// The changes, for the log.
    pub changes: Vec<Change>,
    /// Pools that the changes concern.
    pub affected_pools: AffectedPools,
    /// Settings that changed and take effect at the next start only, in words for the log.
    pub restart_required: Vec<&'static str>,
}

impl ConfigDiff {
    /// Diff of the first configuration of a process: no changes, and all pools affected.
    ///
    /// # Errors
    /// A rule of the resource tables that the configuration breaks.
    pub fn first(config: &Config) -> Result<Self, ValidationError> {
        Ok(Self {
            digest: config.snapshot()?.digest(),
            is_empty: false,
            changes: Vec::new(),
            affected_pools: AffectedPools::All,
            restart_required: Vec::new(),
        })
    }

    /// Diff between the configuration in force and a new one. The resource tables of both are built for it and dropped.
    ///
    /// # Errors
    /// A rule of the resource tables that a configuration breaks.
    pub fn between(current: &CompactConfig, config: &Config) -> Result<Self, ValidationError> {
        let former = current.restore();
        let (old, new) = (former.snapshot()?, config.snapshot()?);
        let delta = old.difference(&new);
        let mut changes = diff_with_delta(&former, config, &delta);
        // The source texts of removed resources are gone: their spans point nowhere.
        for removed in changes.iter_mut().filter(|change| change.kind == ChangeKind::Removed) {
            removed.span = Span::default();
        }
        Ok(Self {
            digest: new.digest(),
            is_empty: delta.is_empty(),
            changes,
            affected_pools: AffectedPools::of_delta(&delta, &old, &new),
            restart_required: restart_required(&old, &new),
        })
    }
}

/// Settings that differ and take effect at the next start only.
fn restart_required(old: &Snapshot, new: &Snapshot) -> Vec<&'static str> {
    let (old, new) = (old.node(), new.node());
    let (limits, new_limits) = (&old.limits, &new.limits);
    let (observe, new_observe) = (&old.observability, &new.observability);
    let mut settings = Vec::new();
    if (limits.memory_bytes, limits.max_descriptors) != (new_limits.memory_bytes, new_limits.max_descriptors)
    {
        settings.push("`memory` and `descriptors`");
    }
    if (observe.admin_address, observe.recorder_bytes, &observe.recording_directory)
        != (new_observe.admin_address, new_observe.recorder_bytes, &new_observe.recording_directory)
    {
        settings.push("`calls`, `recorder` and `recordings`");
    }
    if old.cluster != new.cluster {
        settings.push("`fleet`");
    }
    settings
}
