//! The endpoints of a pool: blocks `server`, or the setting `discovery`.

use std::collections::HashMap;

use super::Checker;
use super::block_reader::BlockReader;
use super::names::defined_twice;
use super::values::{endpoint_address, integer, socket_address, within};
use crate::diagnostic::Diagnostic;
use crate::keywords::DISCOVERY_MODES;
use crate::model::{Address, Endpoint, Node, PoolEndpoints, Protocol};
use crate::span::Span;
use crate::syntax::Statement;
use crate::units::parse_number;

/// Maximum number of endpoints of a pool.
const MAX_ENDPOINTS: usize = 10_000;

impl Checker<'_> {
    pub(super) fn endpoints(
        &mut self,
        pool: &BlockReader<'_>,
        node: &Node,
        protocol: Option<Protocol>,
    ) -> Option<PoolEndpoints> {
        let statements = pool.statements("server");
        if pool.has("discovery") {
            return self.discovery(pool, &statements);
        }
        if statements.is_empty() {
            let message = format!("the pool `{}` has no servers", pool.name);
            let help = "write `server NAME { address IP:PORT }`, or `discovery watch IP:PORT`";
            self.report(Diagnostic::error("no-servers", pool.spans.name, message).help(help));
            return None;
        }
        self.listed_endpoints(&statements, node, protocol).map(PoolEndpoints::Static)
    }

    /// Reads the `server` blocks of a pool; `None` if one is invalid.
    fn listed_endpoints(
        &mut self,
        statements: &[&Statement],
        node: &Node,
        protocol: Option<Protocol>,
    ) -> Option<Vec<Endpoint>> {
        let mut names: HashMap<&str, Span> = HashMap::new();
        let mut addresses: HashMap<Address, Span> = HashMap::new();
        let mut endpoints = Vec::new();
        let mut is_valid = true;
        for statement in statements {
            let Some(block) = self.read_block("server", statement, true) else {
                is_valid = false;
                continue;
            };
            if endpoints.len() == MAX_ENDPOINTS {
                let message = format!("more than {MAX_ENDPOINTS} servers in one pool");
                self.report(Diagnostic::error("too-many", block.spans.name, message));
                return None;
            }
            let word = &statement.words[1];
            if let Some(&first) = names.get(&*word.text) {
                self.report(defined_twice("server", word, first));
                is_valid = false;
                continue;
            }
            names.insert(&word.text, word.span);
            let Some(endpoint) = self.endpoint(&block, node) else {
                is_valid = false;
                continue;
            };
            is_valid &= self.check_address(&endpoint, protocol, &mut addresses);
            endpoints.push(endpoint);
        }
        is_valid.then_some(endpoints)
    }

    /// Reads `discovery MODE ADDRESS`. A pool with discovery can't have `server` blocks.
    fn discovery(&mut self, pool: &BlockReader<'_>, endpoints: &[&Statement]) -> Option<PoolEndpoints> {
        if let Some(endpoint) = endpoints.first() {
            let message = format!("the pool `{}` has both `server` and `discovery`", pool.name);
            let diagnostic = Diagnostic::error("two-sources", pool.spans.settings["discovery"], message);
            self.report(diagnostic.note(endpoint.name().span, "a server is here"));
            return None;
        }
        let words = self.values_of_form(pool, "discovery", "MODE ADDRESS").ok()??;
        let mode = self.choice(&words[0], "is not a discovery mode", &DISCOVERY_MODES);
        let address = self.read(&words[1], socket_address);
        Some(PoolEndpoints::Discovered { address: address?, mode: mode? })
    }

    fn endpoint(&mut self, block: &BlockReader<'_>, node: &Node) -> Option<Endpoint> {
        let address = self.required(block, "address", endpoint_address);
        let zone = match self.value(block, "zone") {
            Ok(Some(word)) => self.zone_index(node, &word),
            // An endpoint without a zone counts as local.
            Ok(None) => Some(node.zone),
            Err(_) => None,
        };
        let weight = self.parsed(block, "weight", 1.0, within(parse_number, "0.001", "1000"));
        let cell = self.parsed(block, "cell", 0, integer::<u16>);
        let (name, spans) = (block.name.clone(), block.spans.clone());
        Some(Endpoint { name, address: address?, zone: zone?, weight: weight?, cell: cell?, spans })
    }

    /// Checks that an address is used once in a pool, and that the protocol supports it.
    fn check_address(
        &mut self,
        endpoint: &Endpoint,
        protocol: Option<Protocol>,
        addresses: &mut HashMap<Address, Span>,
    ) -> bool {
        let mut is_valid = true;
        let span = endpoint.spans.settings["address"];
        if let Some(&first) = addresses.get(&endpoint.address) {
            let message = format!("two servers of one pool have the address {}", endpoint.address);
            self.report(Diagnostic::error("same-address", span, message).note(first, "first used here"));
            is_valid = false;
        }
        addresses.insert(endpoint.address.clone(), span);
        if let (Address::Unix(_), Some(Protocol::Http)) = (&endpoint.address, protocol) {
            let message = "a Unix domain socket is only allowed in pools with `protocol fastcgi`";
            self.report(Diagnostic::error("wrong-protocol", span, message));
            is_valid = false;
        }
        is_valid
    }
}
