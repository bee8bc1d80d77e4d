//! Why a configuration can't be used.

use thiserror::Error;

use crate::resource::{Kind, ResourceId};

/// Why the resources of a snapshot can't be used together.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum ValidationError {
    /// A resource refers to one that does not exist.
    #[error("{from} refers to {to}, which does not exist")]
    DanglingReference {
        /// The resource that refers to it.
        from: ResourceId,
        /// The missing resource.
        to: ResourceId,
    },
    /// A resource refers to a zone that the node does not have.
    #[error("{from} is in the zone {zone}, which does not exist")]
    UnknownZone {
        /// The resource that refers to it.
        from: ResourceId,
        /// The name of the zone.
        zone: String,
    },
    /// There is no resource of a kind of which at least one must exist.
    #[error("at least one {0} is required")]
    NoneOfKind(Kind),
    /// A resource of this kind has an empty name.
    #[error("a {0} has an empty name")]
    EmptyName(Kind),
    /// Two listeners have the same address. Port 0 stands for any free port and may be used by several.
    #[error("{0} and {1} have the same address")]
    DuplicateAddress(ResourceId, ResourceId),
    /// An endpoint belongs to a pool whose endpoints are discovered.
    #[error("{0} is in a pool whose backends are discovered")]
    EndpointOfDiscoveredPool(ResourceId),
    /// A value is out of its range or not finite.
    #[error("{resource}: {setting} is out of range")]
    OutOfRange {
        /// The resource that has the value.
        resource: ResourceId,
        /// The setting, as error messages print it.
        setting: &'static str,
    },
}

/// Why a delta was not applied. The snapshot is unchanged.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum ApplyError {
    /// It removes or moves a resource that does not exist.
    #[error("{0} does not exist")]
    NotFound(ResourceId),
    /// It removes the settings of the node itself, which always exist.
    #[error("the settings of the node can't be removed")]
    NodeRemoved,
    /// The state after the delta can't be used.
    #[error(transparent)]
    Invalid(#[from] ValidationError),
}
