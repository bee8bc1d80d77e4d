//! Scenarios: a fleet, what is asked of it, and faults with their times. From a file, or drawn from a seed.

use serde::{Deserialize, Serialize};

pub use crate::kind::{Fault, Files, Kind, Lie, Side};
use crate::link::{BadConditions, Conditions};

/// Most nodes: 50 processes and their relays are what two cores carry.
pub const MOST_NODES: usize = 50;
/// Most servers, and pairs of nodes and servers: each pair has a listener of its own.
pub const MOST_SERVERS: usize = 50;
/// See [`MOST_SERVERS`].
pub const MOST_PAIRS: usize = 1_000;
/// Most pairs of members: 50 nodes have 2,450, each with a listener and a socket for datagrams.
pub const MOST_LINKED: usize = 2_450;
/// Most requests a second over all nodes: what two cores carry beside the processes.
pub const MOST_RATE: f64 = 2_000.0;
/// Longest run, in seconds.
pub const LONGEST_S: f64 = 600.0;
/// Most faults.
pub const MOST_FAULTS: usize = 200;

/// Why a scenario can't be played.
#[derive(Debug, thiserror::Error)]
pub enum BadScenario {
    /// Not what a file of this kind says.
    #[error("{0}")]
    Text(#[from] toml::de::Error),
    /// A number out of its bounds.
    #[error("`{name}` is {value}, not from {least} to {most}")]
    Bound {
        /// Its name.
        name: &'static str,
        /// What it is.
        value: f64,
        /// The least.
        least: f64,
        /// The most.
        most: f64,
    },
    /// A fault that can't be.
    #[error("fault {number}: {text}")]
    Fault {
        /// Its place, from 1 on.
        number: usize,
        /// What is wrong.
        text: String,
    },
}

/// A scenario.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Its name, and what it is about.
    pub name: String,
    /// For all draws.
    #[serde(default = "one")]
    pub seed: u64,
    /// Who takes part.
    pub fleet: Fleet,
    /// What is asked.
    pub load: Load,
    /// Calm before the first fault and after the last one, in seconds.
    pub calm_s: [f64; 2],
    /// What goes wrong.
    #[serde(default)]
    pub fault: Vec<Fault>,
}

fn one() -> u64 {
    1
}

/// Who takes part.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Nodes.
    pub nodes: usize,
    /// Servers.
    pub servers: usize,
    /// What a server does at once; more waits there.
    #[serde(default = "places")]
    pub places: usize,
    /// How long a request takes there, in milliseconds: half of it for sure, the rest exponentially distributed.
    #[serde(default = "takes_ms")]
    pub takes_ms: f64,
    /// How long a server that has just started is cold, in seconds, and the share of its places that it has at first.
    #[serde(default = "cold")]
    pub cold: (f64, f64),
    /// Links are like this without a fault.
    #[serde(default)]
    pub links: Conditions,
    /// Nodes are members of a fleet, and know of each other over links as well.
    #[serde(default)]
    pub members: bool,
}

pub(crate) fn places() -> usize {
    8
}

pub(crate) fn takes_ms() -> f64 {
    20.0
}

pub(crate) fn cold() -> (f64, f64) {
    (10.0, 0.2)
}

/// What is asked.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Requests a second at each node.
    pub rate: f64,
    /// Share of submits, whose effect may happen once.
    #[serde(default = "submits")]
    pub submits: f64,
    /// How long clients wait, in milliseconds.
    #[serde(default = "patience_ms")]
    pub patience_ms: u64,
}

pub(crate) fn submits() -> f64 {
    0.4
}

pub(crate) fn patience_ms() -> u64 {
    1_200
}

fn within(name: &'static str, value: f64, least: f64, most: f64) -> Result<(), BadScenario> {
    // Not a number is in no bounds.
    if (least..=most).contains(&value) {
        Ok(())
    } else {
        Err(BadScenario::Bound { name, value, least, most })
    }
}

impl Scenario {
    /// Reads one.
    ///
    /// # Errors
    /// What is wrong with it.
    pub fn parse(text: &str) -> Result<Self, BadScenario> {
        let scenario: Self = toml::from_str(text)?;
        scenario.check()?;
        Ok(scenario)
    }

    /// Whether it can be played.
    ///
    /// # Errors
    /// What is wrong with it.
    pub fn check(&self) -> Result<(), BadScenario> {
        let Fleet { nodes, servers, places, takes_ms, cold, .. } = &self.fleet;
        within("fleet.nodes", *nodes as f64, 1.0, MOST_NODES as f64)?;
        within("fleet.servers", *servers as f64, 1.0, MOST_SERVERS as f64)?;
        within("fleet.nodes times fleet.servers", (nodes * servers) as f64, 1.0, MOST_PAIRS as f64)?;
        // Each pair of members has two links more.
        let pairs = if self.fleet.members { nodes * (nodes - 1) } else { 0 };
        within("pairs of members", pairs as f64, 0.0, MOST_LINKED as f64)?;
        within("fleet.places", *places as f64, 1.0, 1_000.0)?;
        within("fleet.takes_ms", *takes_ms, 1.0, 10_000.0)?;
        within("fleet.cold, seconds", cold.0, 0.1, 120.0)?;
        within("fleet.cold, share", cold.1, 0.01, 1.0)?;
        within("load.rate at all nodes", self.load.rate * *nodes as f64, 0.1, MOST_RATE)?;
        within("load.submits", self.load.submits, 0.0, 1.0)?;
        within("load.patience_ms", self.load.patience_ms as f64, 100.0, 60_000.0)?;
        within("calm_s", self.calm_s[0], 1.0, LONGEST_S)?;
        within("calm_s", self.calm_s[1], 1.0, LONGEST_S)?;
        within("the whole run, in seconds", self.span_s(), 1.0, LONGEST_S)?;
        within("the number of faults", self.fault.len() as f64, 0.0, MOST_FAULTS as f64)?;
        let bad = |number: usize, text: String| Err(BadScenario::Fault { number: number + 1, text });
        if let Err(error) = self.fleet.links.check() {
            return bad(0, format!("fleet.links: {error}"));
        }
        for (number, fault) in self.fault.iter().enumerate() {
            if let Err(text) = self.check_fault(fault) {
                return bad(number, text);
            }
        }
        Ok(())
    }

    fn check_fault(&self, fault: &Fault) -> Result<(), String> {
        let times = |name: &str, value: f64, most: f64| {
            if (0.0..=most).contains(&value) {
                Ok(())
            } else {
                Err(format!("`{name}` is {value}, not from 0 to {most}"))
            }
        };
        times("at_s", fault.at_s, LONGEST_S)?;
        times("for_s", fault.for_s, LONGEST_S)?;
        let some = |what: &str, of: &[usize], most: usize| match of.iter().find(|n| **n >= most) {
            Some(number) => Err(format!("there is no {what} {number}: they count from 0 to {}", most - 1)),
            None if of.is_empty() => Err(format!("it names no {what}")),
            None => Ok(()),
        };
        let nodes = |of: &[usize]| some("node", of, self.fleet.nodes);
        let servers = |of: &[usize]| some("server", of, self.fleet.servers);
        match &fault.kind {
            Kind::Kill { nodes: of, .. }
            | Kind::Roll { nodes: of }
            | Kind::Stall { nodes: of }
            | Kind::Full { nodes: of }
            | Kind::Record { nodes: of } => nodes(of),
            Kind::Loop { nodes: of, every_s } => {
                // Faster than a process starts would be no more than down.
                if !(0.2..=60.0).contains(every_s) {
                    return Err(format!("`every_s` is {every_s}, not from 0.2 to 60"));
                }
                nodes(of)
            }
            Kind::Slow { nodes: of, share } => {
                if !(0.05..=0.95).contains(share) {
                    return Err(format!("`share` is {share}, not from 0.05 to 0.95"));
                }
                nodes(of)
            }
            Kind::Link { from, to, there, back, .. } => {
                for side in [from, to] {
                    match side {
                        Side::Nodes(of) => nodes(of)?,
                        Side::Servers(of) => servers(of)?,
                        Side::Clients | Side::Discovery => {}
                    }
                }
                let opens = matches!(
                    (from, to),
                    (Side::Clients, Side::Nodes(_)) | (Side::Nodes(_), Side::Servers(_) | Side::Discovery)
                );
                let members = matches!((from, to), (Side::Nodes(_), Side::Nodes(_))) && self.fleet.members;
                if !opens && !members {
                    return Err(
                        "connections go from clients to nodes, from nodes to servers or discovery, and between members"
                            .into(),
                    );
                }
                [there, back]
                    .into_iter()
                    .try_for_each(Conditions::check)
                    .map_err(|e: BadConditions| e.to_string())
            }
            Kind::ServerSlow { servers: of, factor } => {
                // Under one it would be faster than drawn, which is no fault.
                if !(1.0..=1_000.0).contains(factor) {
                    return Err(format!("`factor` is {factor}, not from 1 to 1000"));
                }
                servers(of)
            }
            Kind::ServerStall { servers: of }
            | Kind::ServerKill { servers: of }
            | Kind::ServerLie { servers: of, .. }
            | Kind::Drain { servers: of } => servers(of),
            Kind::Partition { groups } => {
                if !self.fleet.members || groups.len() < 2 {
                    return Err("a partition is of two groups of members at the least".into());
                }
                groups.iter().try_for_each(|group| nodes(group))
            }
            Kind::Burst { factor } => times("factor", *factor, 20.0),
        }
    }

    /// When the last fault ends, in seconds after the start of the load.
    #[must_use]
    pub fn faults_end_s(&self) -> f64 {
        self.calm_s[0] + self.fault.iter().map(|fault| fault.at_s + fault.for_s).fold(0.0, f64::max)
    }

    /// The whole span of the load, in seconds.
    #[must_use]
    pub fn span_s(&self) -> f64 {
        self.faults_end_s() + self.calm_s[1]
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const GOOD: &str = r#"
        name = "x"
        fleet = { nodes = 3, servers = 4 }
        load = { rate = 60 }
        calm_s = [3, 5]
        [[fault]]
        at_s = 0
        for_s = 5
        kind = "stall"
        nodes = [1]
        [[fault]]
        at_s = 1
        for_s = 2
        kind = "link"
        from = { nodes = [0] }
        to = "discovery"
        door = "silent"
        back = { cut = true }
    "#;

    /// Guards the form: what is written is what is read, and a drawn storm can be written, read and played.
    #[test]
    fn scenarios_are_read_as_written() {
        let scenario = Scenario::parse(GOOD).unwrap();
        assert_eq!((scenario.faults_end_s(), scenario.span_s()), (8.0, 13.0));
        assert_eq!(scenario.fault[1].kind.nodes(), [0]);
        assert_eq!(Scenario::parse(&toml::to_string(&scenario).unwrap()).unwrap(), scenario);
        for seed in 0..300 {
            let drawn = Scenario::drawn(seed, 5, 4);
            assert!(drawn.fault.len() >= 2);
            assert_eq!(Scenario::parse(&toml::to_string(&drawn).unwrap()).unwrap(), drawn, "seed {seed}");
            assert_eq!(Scenario::drawn(seed, 5, 4), drawn);
        }
    }

    /// Guards bounds: each wrong thing has one message that names it.
    #[test]
    fn what_cannot_be_played_is_told() {
        for (from, to, says) in [
            ("nodes = 3", "nodes = 51", "fleet.nodes"),
            ("nodes = 3", "nodes = 0", "fleet.nodes"),
            ("rate = 60", "rate = 6000", "load.rate"),
            ("nodes = [1]", "nodes = [3]", "fault 1: there is no node 3"),
            ("nodes = [1]", "nodes = []", "fault 1: it names no node"),
            ("for_s = 5", "for_s = -1", "fault 1: `for_s`"),
            ("for_s = 5", "for_s = nan", "fault 1: `for_s`"),
            ("for_s = 5", "for_s = 1e9", "the whole run"),
            ("\"discovery\"", "\"clients\"", "fault 2: connections go"),
            ("cut = true", "loss = 1.0", "fault 2: `loss`"),
            ("cut = true", "los = 0.5", "unknown field"),
            ("\"stall\"", "\"stale\"", "unknown variant"),
        ] {
            let text = GOOD.replacen(from, to, 1);
            let error = Scenario::parse(&text).expect_err(to).to_string();
            assert!(error.contains(says), "{to}: {error}");
        }
    }
}
