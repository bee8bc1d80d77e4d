//! Difference between a newly loaded configuration and the one in force.

use pumicehead_config::Span;
use pumicehead_config::compact_config::CompactConfig;
use pumicehead_config::diff::{Change, ChangeKind, diff_with_delta};
use pumicehead_config::model::Config;
use pumicehead_resources::{Digest, Snapshot, ValidationError};

use super::affected_pools::AffectedPools;

/// Difference between a configuration and the one in force.
pub struct ConfigDiff {
    /// Digest of the new configuration.
    pub digest: Digest,
    /// Whether both configurations have the same resources.
    pub is_empty: bool,
    /// The changes, for the log.
    pub changes: Vec<Change>,
    /// Pools that the changes affect.
    pub affected_pools: AffectedPools,
    /// Descriptions, for the log, of changed settings that take effect only at the next start.
    pub restart_required: Vec<&'static str>,
}

impl ConfigDiff {
    /// Returns the difference for the first configuration of a process: no changes, and all pools affected.
    ///
    /// # Errors
    /// Fails if the configuration violates a rule of the resource tables.
    pub fn first(config: &Config) -> Result<Self, ValidationError> {
        Ok(Self {
            digest: config.snapshot()?.digest(),
            is_empty: false,
            changes: Vec::new(),
            affected_pools: AffectedPools::All,
            restart_required: Vec::new(),
        })
    }

    /// Compares a new configuration with the one in force. The resource tables of both are built for the comparison and
    /// dropped afterwards.
    ///
    /// # Errors
    /// Fails if a configuration violates a rule of the resource tables.
    pub fn between(current: &CompactConfig, config: &Config) -> Result<Self, ValidationError> {
        let former = current.restore();
        let (old, new) = (former.snapshot()?, config.snapshot()?);
        let delta = old.difference(&new);
        let mut changes = diff_with_delta(&former, config, &delta);
        // The source texts of removed resources are no longer available, so their spans are reset.
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

/// Describes the changed settings that take effect only at the next start.
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
