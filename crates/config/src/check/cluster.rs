//! The block `fleet`: the cluster that the node is a member of.

use std::net::SocketAddr;

use super::Checker;
use super::block_reader::BlockReader;
use super::names::{invalid_name, is_name};
use super::values::socket_address;
use crate::diagnostic::Diagnostic;
use crate::model::{Cluster, Spanned};

/// Maximum number of seeds; the membership protocol has the same limit.
const MAX_SEEDS: usize = 64;
/// Maximum number of `reach` settings: a node may need one for each other node.
const MAX_PEER_ADDRESSES: usize = 10_000;
/// Placeholder for a missing address, which is reported.
const MISSING_ADDRESS: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::UNSPECIFIED), 0);

impl Checker<'_> {
    pub(super) fn cluster(&mut self, block: &BlockReader<'_>) -> Spanned<Cluster> {
        let name = self.cluster_name(block);
        // Port 0 stands for any free port: other members learn the port from this node.
        let bind = |text: &str| text.parse::<SocketAddr>().or_else(|_| socket_address(text));
        let bind_address = self.required(block, "address", bind).unwrap_or(MISSING_ADDRESS);
        let advertise = |text: &str| socket_address(text).map(Some);
        let advertise_address = self.parsed(block, "told-as", None, advertise).flatten();
        if advertise_address.is_none() && bind_address.ip().is_unspecified() && block.has("address") {
            let span = block.spans.settings["address"];
            let message = format!("other members can't reach `{bind_address}`");
            let help = "set the address at which other members reach this node with `told-as ADDRESS`";
            self.report(Diagnostic::error("bad-address", span, message).help(help));
        }
        let seeds = self.seeds(block);
        let peer_addresses = self.peer_addresses(block);
        let cluster = Cluster { name, bind_address, advertise_address, seeds, peer_addresses };
        Spanned { value: cluster, spans: block.spans.clone() }
    }

    fn cluster_name(&mut self, block: &BlockReader<'_>) -> String {
        match self.value(block, "name") {
            Ok(Some(name)) if is_name(&name.text) => return name.text.into(),
            Ok(Some(name)) => self.report(invalid_name(&name, "fleet")),
            Ok(None) => self.report_missing(block, "name"),
            Err(_) => {}
        }
        String::new()
    }

    fn seeds(&mut self, block: &BlockReader<'_>) -> Vec<SocketAddr> {
        let Ok(Some(seeds)) = self.values(block, "seeds") else { return Vec::new() };
        if let Some(over) = seeds.get(MAX_SEEDS) {
            self.report(Diagnostic::error("too-many", over.span, format!("more than {MAX_SEEDS} seeds")));
        }
        seeds.iter().filter_map(|seed| self.read(seed, socket_address)).collect()
    }

    fn peer_addresses(&mut self, block: &BlockReader<'_>) -> Vec<(String, SocketAddr)> {
        let mut peers: Vec<(String, SocketAddr)> = Vec::new();
        for statement in block.statements("reach") {
            let Ok(words) = self.values_of(statement) else { continue };
            let [name, address] = &words[..] else {
                let message = "`reach` takes a node's name and the address at which this node reaches it";
                self.report(Diagnostic::error("setting-form", statement.span(), message));
                continue;
            };
            if !is_name(&name.text) {
                self.report(invalid_name(name, "node"));
            } else if peers.iter().any(|(known, _)| **known == *name.text) {
                let message = format!("`reach {}` is set twice", name.text);
                self.report(Diagnostic::error("set-twice", statement.span(), message));
            } else if peers.len() == MAX_PEER_ADDRESSES {
                let message = format!("more than {MAX_PEER_ADDRESSES} `reach` settings");
                self.report(Diagnostic::error("too-many", statement.span(), message));
                break;
            } else if let Some(address) = self.read(address, socket_address) {
                peers.push((name.text.to_string(), address));
            }
        }
        peers
    }
}
