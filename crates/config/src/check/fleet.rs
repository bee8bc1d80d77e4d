//! The block `fleet`: how this node and others know of each other.

use std::net::SocketAddr;

use super::reader::{Reader, address};
use super::{Check, bad_name, is_name};
use crate::diag::Diagnostic;
use crate::model::{Fleet, Places};

/// Most seeds, and most names with addresses of their own: as the link has it.
const MOST_SEEDS: usize = 64;
/// See [`MOST_SEEDS`]; a node may need one for each other node.
const MOST_REACHES: usize = 10_000;

impl Fleet {
    pub(super) fn unwritten() -> Self {
        let nowhere = SocketAddr::from(([0, 0, 0, 0], 0));
        Self {
            name: String::new(),
            address: nowhere,
            told_as: None,
            seeds: Vec::new(),
            reach: Vec::new(),
            at: Places::default(),
        }
    }
}

impl Check<'_> {
    pub(super) fn fleet(&mut self, block: &Reader<'_>) -> Fleet {
        let mut fleet = Fleet { at: block.at.clone(), ..Fleet::unwritten() };
        match self.value(block, "name") {
            Ok(Some(name)) if is_name(&name.text) => fleet.name = name.text.into(),
            Ok(Some(name)) => self.say(bad_name(&name, "fleet")),
            Ok(None) => self.missing(block, "name"),
            Err(()) => {}
        }
        // Any free port will do where others are told of it.
        let own = |text: &str| text.parse::<SocketAddr>().or_else(|_| address(text));
        fleet.address = self.required(block, "address", own).unwrap_or(fleet.address);
        fleet.told_as = self.parsed(block, "told-as", None, |text| address(text).map(Some)).flatten();
        if fleet.told_as.is_none() && fleet.address.ip().is_unspecified() && block.has("address") {
            let span = block.at.values["address"];
            let message = format!("others can't reach `{}`", fleet.address);
            let help = "write the address that others reach it at as `told-as ADDRESS`";
            self.say(Diagnostic::error("bad-address", span, message).help(help));
        }
        if let Ok(Some(seeds)) = self.values(block, "seeds") {
            if let Some(over) = seeds.get(MOST_SEEDS) {
                self.say(Diagnostic::error("too-many", over.span, format!("more than {MOST_SEEDS} seeds")));
            }
            fleet.seeds = seeds.iter().filter_map(|seed| self.read(seed, address)).collect();
        }
        for statement in block.blocks("reach") {
            let Ok(words) = self.values_of(statement) else { continue };
            let [name, at] = &words[..] else {
                let message = "`reach` takes a node's name and its address as this node reaches it";
                self.say(Diagnostic::error("setting-form", statement.span(), message));
                continue;
            };
            if !is_name(&name.text) {
                self.say(bad_name(name, "node"));
            } else if fleet.reach.iter().any(|(known, _)| **known == *name.text) {
                let message = format!("`reach {}` stands twice", name.text);
                self.say(Diagnostic::error("set-twice", statement.span(), message));
            } else if fleet.reach.len() == MOST_REACHES {
                let message = format!("more than {MOST_REACHES} names with addresses of their own");
                self.say(Diagnostic::error("too-many", statement.span(), message));
                break;
            } else if let Some(at) = self.read(at, address) {
                fleet.reach.push((name.text.to_string(), at));
            }
        }
        fleet
    }
}
