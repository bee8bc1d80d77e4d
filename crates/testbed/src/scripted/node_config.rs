//! The configuration of a node on the platform, as `EDGE_CONFIG` holds it.

use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;

use super::{Backend, Node, host, list, refusing};

/// The position of a node among nodes that share the endpoints, in its configuration.
#[derive(Clone, Copy, Debug)]
pub struct FleetPosition {
    /// Index of the node, from 0.
    pub number: u32,
    /// Number of nodes.
    pub nodes: u32,
}

/// How a node is configured and started.
pub struct Setup {
    /// The endpoint list that the node starts with.
    pub endpoint_list: String,
    /// Address of the discovery service.
    pub discovery: SocketAddr,
    /// Discovery mode: `subscribe` or another value of `membership_mode`.
    pub mode: &'static str,
    /// Latency objective of all classes, in milliseconds.
    pub latency_objective_ms: u64,
    /// More members of the `ceilings` object, each with a leading comma.
    pub ceilings: &'static str,
    /// Sets a discovery poll interval of 10 minutes in place of 200 ms.
    pub slow_polling: bool,
    /// Memory limit in MB.
    pub memory_mb: usize,
    /// Folder for the files of the admin listener; `None`: the node has no admin listener.
    pub folder: Option<PathBuf>,
    /// A listening socket that is handed over to the node, in place of one that it opens.
    pub socket: Option<TcpListener>,
    /// A shell command line that ends in an `exec` of the node, which is its `$0`.
    pub shell_line: Option<String>,
    /// Position of the node where several nodes share the endpoints.
    pub position: Option<FleetPosition>,
    /// Replacements made in the text of the configuration, as pairs of old and new text.
    pub replacements: &'static [(&'static str, &'static str)],
}

impl Setup {
    /// A node whose endpoint list has these backends, with a discovery address that refuses connections.
    pub fn of(backends: &[&Backend]) -> Self {
        let hosts: Vec<_> =
            backends.iter().enumerate().map(|(n, b)| host(&format!("s-{n}"), b.address, "active")).collect();
        Self {
            endpoint_list: list(1, true, &hosts),
            discovery: refusing(),
            mode: "subscribe",
            latency_objective_ms: 10_000,
            ceilings: "",
            slow_polling: false,
            memory_mb: 192,
            folder: None,
            socket: None,
            shell_line: None,
            position: None,
            replacements: &[],
        }
    }

    /// Starts the node with the discovery address in its environment too, as a deployment does.
    pub fn start_by_environment(self) -> Node {
        Node::start(&self, Some(self.discovery))
    }

    /// Starts the node.
    pub fn start(self) -> Node {
        Node::start(&self, None)
    }

    /// The text of the configuration.
    pub fn text(&self) -> String {
        self.replacements.iter().fold(self.positioned_text(), |text, (from, to)| {
            assert!(text.contains(from), "replacement text `{from}` not found in {text}");
            text.replace(from, to)
        })
    }

    /// Returns the text with the node's index, the number of nodes and a seed of its own where [`Self::position`] is set.
    fn positioned_text(&self) -> String {
        let text = self.plain_text();
        let Some(FleetPosition { number, nodes }) = self.position else { return text };
        text.replace("\"unheard\":{}", &format!("\"me\":{number},\"replicas_of_me\":{nodes}"))
            .replace("8c1f30d27a5be964", &format!("8c1f30d27a5b{number:04x}"))
    }

    fn plain_text(&self) -> String {
        let ask_every = if self.slow_polling { 600_000_000_000u64 } else { 200_000_000 };
        format!(
            r#"{{"name":"n0","listen":"127.0.0.1:0"{},"discovery":"{}","seed":"8c1f30d27a5be964",
            "limits":{{"cores":1.0,"memory_mb":{},"sockets":256}},"known":{},"settings":{}}}"#,
            if self.folder.is_some() { ",\"admin\":\"127.0.0.1:0\"" } else { "" },
            self.discovery,
            self.memory_mb,
            self.endpoint_list,
            settings(self.mode, self.latency_objective_ms, self.ceilings)
                .replace("\"ask_every_ns\":200000000", &format!("\"ask_every_ns\":{ask_every}"))
        )
    }
}

/// The `settings` object with one class of each kind of idempotency.
fn settings(mode: &str, latency_objective_ms: u64, more_ceilings: &str) -> String {
    let class = |name: &str, effect: &str| {
        let (target_ns, deadline_ns) = (latency_objective_ms * 1_000_000, 20_000_000_000u64);
        format!(
            r#"{{"name":"{name}","effect":"{effect}","dedup_scope":"all","window_ns":5000000000,"target_ns":{target_ns},"deadline_ns":{deadline_ns},"worth":1.0}}"#
        )
    };
    let classes = [class("read", "pure"), class("submit", "side_effect"), class("put", "token")];
    format!(
        r#"{{"classes":[{}],"zones":["a","b"],"kinds":["m"],"membership_mode":"{mode}","quantum_ns":5000000,"unheard":{{}},
        "rules":{{"ask_every_ns":200000000}},"ceilings":{{"max_attempts":3,"cancel":true,"parallel_tries":true,
        "retry_after":true,"max_retry_after_ns":2000000000,"conn_idle_ns":60000000000,"dial_timeout_ns":250000000{more_ceilings}}}}}"#,
        classes.join(",")
    )
}
