//! How a configuration that was read differs from the one in force.

use pumicehead_config::Span;
use pumicehead_config::diff::{Change, ChangeKind, diff_with_delta};
use pumicehead_config::model::Config;
use pumicehead_resources::{Digest, Snapshot, ValidationError};

use super::revision::NodeConfig;
use super::touched::Touched;

/// How a configuration differs from the one in force, and its digest.
pub struct Difference {
    /// Fingerprint of the new state.
    pub digest: Digest,
    /// Both states are the same.
    pub is_empty: bool,
    /// What differs, for the log.
    pub changes: Vec<Change>,
    /// The pools that it has to do with.
    pub touched: Touched,
    /// Settings that differ and are read at a start only, as the log names them.
    pub waiting: Vec<&'static str>,
}

impl Difference {
    /// That of the first configuration of a process.
    ///
    /// # Errors
    /// What the tables don't allow.
    pub fn first(config: &Config) -> Result<Self, ValidationError> {
        let digest = config.snapshot()?.digest();
        Ok(Self { digest, is_empty: false, changes: Vec::new(), touched: Touched::All, waiting: Vec::new() })
    }

    /// That between the one in force and a new one. The tables of both are made for it and are gone when it is known.
    ///
    /// # Errors
    /// What the tables don't allow.
    pub fn between(current: &NodeConfig, config: &Config) -> Result<Self, ValidationError> {
        let former = current.config.restore();
        let (old, new) = (former.snapshot()?, config.snapshot()?);
        let delta = old.difference(&new);
        let mut changes = diff_with_delta(&former, config, &delta);
        // What is gone stood in texts that are gone as well.
        let gone = changes.iter_mut().filter(|change| change.kind == ChangeKind::Removed);
        gone.for_each(|change| change.span = Span::default());
        Ok(Self {
            digest: new.digest(),
            is_empty: delta.is_empty(),
            changes,
            touched: Touched::by(&delta, &old, &new),
            waiting: waiting_settings(&old, &new),
        })
    }
}

/// Settings that differ and are read at a start only, as the log names them.
fn waiting_settings(old: &Snapshot, new: &Snapshot) -> Vec<&'static str> {
    let (old, new) = (old.node(), new.node());
    let (limits, new_limits) = (&old.limits, &new.limits);
    let (observe, new_observe) = (&old.observability, &new.observability);
    let differ = [
        (
            (limits.memory_bytes, limits.max_descriptors)
                != (new_limits.memory_bytes, new_limits.max_descriptors),
            "`memory` and `descriptors` wait",
        ),
        (
            (observe.admin_address, observe.recorder_bytes, &observe.recording_directory)
                != (new_observe.admin_address, new_observe.recorder_bytes, &new_observe.recording_directory),
            "`calls`, `recorder` and `recordings` wait",
        ),
        (old.cluster != new.cluster, "`fleet` waits"),
    ];
    differ.into_iter().filter_map(|(differs, which)| differs.then_some(which)).collect()
}
