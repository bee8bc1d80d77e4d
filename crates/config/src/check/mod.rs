//! Checks statements and converts them to a configuration. There is a module for each kind of block, and
//! `cross_checks` for checks that involve several entries.

mod block_reader;
mod class;
mod cluster;
mod constants;
mod cross_checks;
mod endpoint;
mod limits;
mod listener;
mod names;
mod node;
mod observability;
mod pool;
mod route;
mod schema;
mod unused;
mod values;

use std::collections::{BTreeMap, HashMap};

use crate::diagnostic::{Diagnostic, nearest};
use crate::model::{Config, Spanned};
use crate::syntax::{Statement, Word};
use constants::Constant;
use names::Names;

/// First words of the blocks at the top level of a file.
const BLOCK_KINDS: [&str; 9] =
    ["node", "listener", "pool", "class", "tenant", "route", "limits", "observe", "fleet"];
/// First words of all statements at the top level of a file, in the order in which messages list them.
const STATEMENT_KEYWORDS: [&str; 11] = [
    "node", "listener", "pool", "class", "tenant", "route", "limits", "observe", "fleet", "const", "include",
];

/// The state of a check.
struct Checker<'a> {
    diagnostics: &'a mut Vec<Diagnostic>,
    constants: BTreeMap<String, Constant<'a>>,
    /// Defined names, by kind.
    names: HashMap<&'static str, Names>,
}

/// The error for a value whose problem was already reported as a diagnostic.
struct AlreadyReported;

/// Converts statements to a configuration. Every problem is reported as a diagnostic; the result is `None` if
/// an entry is missing because of an error.
pub(crate) fn check(statements: &[Statement], diagnostics: &mut Vec<Diagnostic>) -> Option<Config> {
    let mut checker = Checker { diagnostics, constants: BTreeMap::new(), names: HashMap::new() };
    let blocks = checker.group_statements(statements);
    checker.check_constants();
    let blocks_of = |kind: &str| blocks.get(kind).map_or(&[][..], Vec::as_slice);
    // Names are defined first: an entry may be used before its block, and is defined even if its block has an
    // error.
    let named = ["listener", "pool", "class", "tenant", "route"];
    let [listeners, pools, classes, tenants, routes] =
        named.map(|kind| checker.named_blocks(kind, blocks_of(kind)));
    let node =
        checker.single_block("node", blocks_of("node"), Checker::node).unwrap_or_else(node::default_node);
    let limits = checker
        .single_block("limits", blocks_of("limits"), Checker::limits)
        .unwrap_or_else(|| Spanned::without_spans(limits::default_limits()));
    let observability = checker
        .single_block("observe", blocks_of("observe"), Checker::observability)
        .unwrap_or_else(|| Spanned::without_spans(observability::default_observability()));
    let cluster = checker.single_block("fleet", blocks_of("fleet"), Checker::cluster);
    // The settings of each block are freed as soon as its entry is converted: those of many routes take as
    // much memory as the routes.
    let listeners: Vec<_> = listeners.into_iter().map(|block| checker.listener(&block)).collect();
    let pools: Vec<_> = pools.into_iter().map(|block| checker.pool(&block, &node)).collect();
    let classes: Vec<_> = classes.into_iter().map(|block| checker.class(&block)).collect();
    let tenants: Vec<_> = tenants.into_iter().map(|block| checker.tenant(&block)).collect();
    let routes: Vec<_> = routes.into_iter().map(|block| checker.route(&block, &classes)).collect();
    checker.warn_of_unused_constants();
    let entries = cross_checks::Entries {
        limits: &limits,
        listeners: &listeners,
        pools: &pools,
        classes: &classes,
        tenants: &tenants,
        routes: &routes,
    };
    checker.cross_check(&entries);
    Some(Config {
        node,
        limits,
        observability,
        cluster,
        listeners: all_valid(listeners)?,
        pools: all_valid(pools)?,
        classes: all_valid(classes)?,
        tenants: all_valid(tenants)?,
        routes: all_valid(routes)?,
    })
}

/// All entries, or `None` if one is invalid.
fn all_valid<T>(entries: Vec<Option<T>>) -> Option<Vec<T>> {
    entries.into_iter().collect()
}

impl<'a> Checker<'a> {
    /// Defines the constants and returns the blocks by kind.
    fn group_statements<'s: 'a>(
        &mut self,
        statements: &'s [Statement],
    ) -> HashMap<&'static str, Vec<&'s Statement>> {
        let mut blocks: HashMap<&'static str, Vec<&Statement>> = HashMap::new();
        for statement in statements {
            let name = statement.name();
            if *name.text == *"const" {
                self.define_constant(statement);
            } else if let Some(kind) = BLOCK_KINDS.iter().find(|kind| ***kind == *name.text) {
                blocks.entry(kind).or_default().push(statement);
            } else {
                self.report_unknown_word(name, "is not a known statement", STATEMENT_KEYWORDS);
            }
        }
        blocks
    }

    fn report(&mut self, diagnostic: Diagnostic) {
        self.diagnostics.push(diagnostic);
    }

    /// Reports a word that is not one of the known ones, and suggests the most similar of these.
    fn report_unknown_word<'k>(&mut self, word: &Word, what: &str, known: impl IntoIterator<Item = &'k str>) {
        let known: Vec<_> = known.into_iter().collect();
        let help = match nearest(&word.text, known.iter().copied()) {
            Some(similar) => format!("did you mean `{similar}`?"),
            None => format!("known here: {}", known.join(", ")),
        };
        let message = format!("`{}` {what}", word.text);
        self.report(Diagnostic::error("unknown-word", word.span, message).help(help));
    }
}
