//! What can go wrong, and in words.

use serde::{Deserialize, Serialize};

use crate::link::{Conditions, Door};

/// A fault with its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fault {
    /// Seconds after the calm.
    pub at_s: f64,
    /// How long, in seconds.
    #[serde(default)]
    pub for_s: f64,
    /// What.
    #[serde(flatten)]
    pub kind: Kind,
}

/// An end of links.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Side {
    /// All clients.
    Clients,
    /// These nodes.
    Nodes(Vec<usize>),
    /// These servers.
    Servers(Vec<usize>),
    /// Discovery.
    Discovery,
}

/// What a node that is started again finds of its files.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Files {
    /// All that it wrote.
    #[default]
    Kept,
    /// Nothing: another machine stands in for it.
    Gone,
    /// Each is cut off at a byte drawn from the seed.
    Cut,
    /// In each some bytes are others, drawn from the seed.
    Flipped,
}

/// What a server says that is not so.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Lie {
    /// Nothing was done of it, where it was.
    Denies,
    /// The answer to another request in place of its own.
    Swaps,
    /// What is no HTTP, or an answer that ends before its stated length.
    Garbles,
}

/// What goes wrong.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind", deny_unknown_fields)]
pub enum Kind {
    /// Nodes are killed outright, and started again at the end of the fault.
    Kill {
        /// Which.
        nodes: Vec<usize>,
        /// What they find of their files then.
        #[serde(default)]
        files: Files,
    },
    /// Nodes are told to end (SIGTERM) and started again, one after another over the span of the fault.
    Roll {
        /// Which.
        nodes: Vec<usize>,
    },
    /// Nodes are killed and started again, over and over, until the end of the fault.
    Loop {
        /// Which.
        nodes: Vec<usize>,
        /// Seconds from one kill to the next.
        every_s: f64,
    },
    /// Nodes are stopped: their kernel goes on.
    Stall {
        /// Which.
        nodes: Vec<usize>,
    },
    /// Nodes are stopped for a part of each 100 ms.
    Slow {
        /// Which.
        nodes: Vec<usize>,
        /// The part.
        share: f64,
    },
    /// No file of these nodes can grow, as on a disk that is full; they are asked for a recording meanwhile, and after.
    Full {
        /// Which.
        nodes: Vec<usize>,
    },
    /// Nodes are asked for a recording, as the fault begins.
    Record {
        /// Which.
        nodes: Vec<usize>,
    },
    /// Links from one side to another are in other conditions, and back from there.
    Link {
        /// Who opens connections.
        from: Side,
        /// Who takes them.
        to: Side,
        /// New connections.
        #[serde(default)]
        door: Door,
        /// The way there.
        #[serde(default)]
        there: Conditions,
        /// The way back.
        #[serde(default)]
        back: Conditions,
        /// At the end of the fault open connections are reset, as by a device that has forgotten them.
        #[serde(default)]
        forgets: bool,
    },
    /// Nodes of different groups reach each other no more; whoever is in none is reached by all. Several at once need not be
    /// transitive: what one cuts the other need not.
    Partition {
        /// The groups.
        groups: Vec<Vec<usize>>,
    },
    /// Servers are stopped.
    ServerStall {
        /// Which.
        servers: Vec<usize>,
    },
    /// Servers are killed, and started again at the end of the fault, cold; discovery tells so.
    ServerKill {
        /// Which.
        servers: Vec<usize>,
    },
    /// Servers take so many times as long.
    ServerSlow {
        /// Which.
        servers: Vec<usize>,
        /// How many times.
        factor: f64,
    },
    /// Servers say what is not so.
    ServerLie {
        /// Which.
        servers: Vec<usize>,
        /// What.
        lie: Lie,
    },
    /// Servers are listed as leaving until the end of the fault.
    Drain {
        /// Which.
        servers: Vec<usize>,
    },
    /// So many times as much is asked.
    Burst {
        /// How many times.
        factor: f64,
    },
}

impl Kind {
    /// Nodes whose processes or links it concerns: each link has nodes on one side.
    #[must_use]
    pub fn nodes(&self) -> &[usize] {
        match self {
            Self::Kill { nodes, .. }
            | Self::Roll { nodes }
            | Self::Loop { nodes, .. }
            | Self::Stall { nodes }
            | Self::Slow { nodes, .. }
            | Self::Link { from: Side::Nodes(nodes), .. }
            | Self::Link { to: Side::Nodes(nodes), .. } => nodes,
            _ => &[],
        }
    }

    /// Servers that say what is not so.
    #[must_use]
    pub fn liars(&self) -> &[usize] {
        if let Self::ServerLie { servers, .. } = self { servers } else { &[] }
    }

    /// Whether it concerns links from clients.
    #[must_use]
    pub fn is_of_clients(&self) -> bool {
        matches!(self, Self::Link { from: Side::Clients, .. })
    }
}

impl Fault {
    /// In words.
    #[must_use]
    pub fn words(&self) -> String {
        let list = |of: &[usize]| of.iter().map(ToString::to_string).collect::<Vec<_>>().join(" ");
        let side = |side: &Side| match side {
            Side::Clients => "clients".to_owned(),
            Side::Nodes(nodes) => format!("nodes {}", list(nodes)),
            Side::Servers(servers) => format!("servers {}", list(servers)),
            Side::Discovery => "discovery".to_owned(),
        };
        match &self.kind {
            Kind::Kill { nodes, files } => {
                let files = match files {
                    Files::Kept => "",
                    Files::Gone => ", their files are gone",
                    Files::Cut => ", their files are cut",
                    Files::Flipped => ", their files have other bytes",
                };
                format!("nodes {} are killed{files}", list(nodes))
            }
            Kind::Roll { nodes } => format!("nodes {} restart in turn", list(nodes)),
            Kind::Loop { nodes, every_s } => format!("nodes {} crash every {every_s} s", list(nodes)),
            Kind::Stall { nodes } => format!("nodes {} stand still", list(nodes)),
            Kind::Slow { nodes, share } => {
                format!("nodes {} stand still for {share} of the time", list(nodes))
            }
            Kind::Full { nodes } => format!("files of nodes {} can't grow", list(nodes)),
            Kind::Record { nodes } => format!("nodes {} write recordings", list(nodes)),
            Kind::Link { from, to, .. } => format!("links from {} to {}", side(from), side(to)),
            Kind::Partition { groups } => {
                let groups = groups.iter().map(|group| list(group)).collect::<Vec<_>>();
                format!("nodes {} are cut from each other", groups.join(" | "))
            }
            Kind::ServerStall { servers } => format!("servers {} stand still", list(servers)),
            Kind::ServerKill { servers } => format!("servers {} are killed", list(servers)),
            Kind::ServerSlow { servers, factor } => {
                format!("servers {} take {factor} times as long", list(servers))
            }
            Kind::ServerLie { servers, lie } => {
                let lie = match lie {
                    Lie::Denies => "say that nothing was done",
                    Lie::Swaps => "give answers to other requests",
                    Lie::Garbles => "send what is no answer",
                };
                format!("servers {} {lie}", list(servers))
            }
            Kind::Drain { servers } => format!("servers {} drain", list(servers)),
            Kind::Burst { factor } => format!("{factor} times as much is asked"),
        }
    }
}
