//! Why a scenario can't be run.

use crate::link::LinkConditionsError;

/// Why a scenario can't be run.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// The text is not a scenario.
    #[error("{0}")]
    Parse(#[from] toml::de::Error),
    /// A number is out of its range.
    #[error("`{name}` is {value}; the allowed range is {min} to {max}")]
    OutOfRange {
        /// Name of the number.
        name: &'static str,
        /// Its value.
        value: f64,
        /// The smallest allowed value.
        min: f64,
        /// The largest allowed value.
        max: f64,
    },
    /// The conditions of links without a fault are not possible.
    #[error("fleet.links: {source}")]
    FleetLinks {
        /// Which condition is not possible.
        source: LinkConditionsError,
    },
    /// A fault is not possible.
    #[error("fault {number}: {source}")]
    Fault {
        /// Position of the fault, counted from 1.
        number: usize,
        /// What is wrong with it.
        source: FaultError,
    },
}

/// Why a fault can't be injected.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum FaultError {
    /// A number is out of its range.
    #[error("`{name}` is {value}; the allowed range is {min} to {max}")]
    OutOfRange {
        /// Keyword of the number.
        name: &'static str,
        /// Its value.
        value: f64,
        /// The smallest allowed value.
        min: f64,
        /// The largest allowed value.
        max: f64,
    },
    /// A node or endpoint does not exist.
    #[error("there is no {target} {number}: the numbers are 0 to {last}")]
    UnknownTarget {
        /// Keyword of the kind of target.
        target: &'static str,
        /// The number.
        number: usize,
        /// The last one that exists.
        last: usize,
    },
    /// The list of nodes or endpoints is empty.
    #[error("it names no {target}")]
    NoTarget {
        /// Keyword of the kind of target.
        target: &'static str,
    },
    /// No connections are opened from the first of these sides to the second.
    #[error("connections go from clients to nodes, from nodes to servers or discovery, and between members")]
    NoSuchLink,
    /// A partition without membership, or of fewer than two groups.
    #[error("a partition needs a fleet with members and at least two groups")]
    Partition,
    /// The conditions of a link are not possible.
    #[error(transparent)]
    Conditions(#[from] LinkConditionsError),
}
