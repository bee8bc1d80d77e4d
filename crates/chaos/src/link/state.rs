//! State and ends of a link.

use super::{ConnectPolicy, LinkConditions};

/// One end of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum LinkEnd {
    /// The clients.
    Clients,
    /// A node.
    Node(usize),
    /// An endpoint.
    Endpoint(usize),
    /// Discovery.
    Discovery,
}

/// Both ends of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LinkPath {
    /// The end that opens connections.
    pub from: LinkEnd,
    /// The end that accepts them.
    pub to: LinkEnd,
}

/// State of a link.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LinkState {
    /// What happens to new connections.
    pub connect_policy: ConnectPolicy,
    /// Conditions from the opening end to the accepting one.
    pub forward: LinkConditions,
    /// Conditions from the accepting end to the opening one.
    pub reverse: LinkConditions,
}
