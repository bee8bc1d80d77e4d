//! Checks statements and makes a configuration of them: a module for each kind of block, and `cross_checks`
//! for what entries mean together.

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

/// Kinds of blocks of a file, by their first word.
const BLOCK_KINDS: [&str; 9] =
    ["node", "listener", "pool", "class", "tenant", "route", "limits", "observe", "fleet"];
/// All words that may begin a statement of a file, in the order in which messages list them.
const STATEMENT_KEYWORDS: [&str; 11] = [
    "node", "listener", "pool", "class", "tenant", "route", "limits", "observe", "fleet", "const", "include",
];

/// The state of a check.
struct Checker<'a> {
    diagnostics: &'a mut Vec<Diagnostic>,
    constants: BTreeMap<String, Constant<'a>>,
    /// Names that are defined, by kind.
    names: HashMap<&'static str, Names>,
}

/// The error of a value whose problem has been reported as a diagnostic.
struct Reported;

/// Makes a configuration of statements. Every problem is reported as a diagnostic; the result is `None` where
/// an error leaves an entry out.
pub(crate) fn check(statements: &[Statement], diagnostics: &mut Vec<Diagnostic>) -> Option<Config> {
    let mut checker = Checker { diagnostics, constants: BTreeMap::new(), names: HashMap::new() };
    let blocks = checker.sort_statements(statements);
    checker.check_constants();
    let of = |kind: &str| blocks.get(kind).map_or(&[][..], Vec::as_slice);
    // Names first: an entry may be defined after its use, and is defined even if its block has an error.
    let named = ["listener", "pool", "class", "tenant", "route"];
    let [listeners, pools, classes, tenants, routes] = named.map(|kind| checker.named_blocks(kind, of(kind)));
    let node = checker.single_block("node", of("node"), Checker::node).unwrap_or_else(node::default_node);
    let limits = checker
        .single_block("limits", of("limits"), Checker::limits)
        .unwrap_or_else(|| Spanned::unwritten(limits::default_limits()));
    let observability = checker
        .single_block("observe", of("observe"), Checker::observability)
        .unwrap_or_else(|| Spanned::unwritten(observability::default_observability()));
    let cluster = checker.single_block("fleet", of("fleet"), Checker::cluster);
    // Each block's settings are freed when its entry is made: those of many routes take as much memory as the
    // routes.
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
        listeners: all(listeners)?,
        pools: all(pools)?,
        classes: all(classes)?,
        tenants: all(tenants)?,
        routes: all(routes)?,
    })
}

/// All entries, or `None` if one could not be read.
fn all<T>(entries: Vec<Option<T>>) -> Option<Vec<T>> {
    entries.into_iter().collect()
}

impl<'a> Checker<'a> {
    /// Defines the constants, and returns the blocks by kind.
    fn sort_statements<'s: 'a>(
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
                self.report_unknown_word(name, "begins no statement", STATEMENT_KEYWORDS);
            }
        }
        blocks
    }

    fn report(&mut self, diagnostic: Diagnostic) {
        self.diagnostics.push(diagnostic);
    }

    /// Reports a word that is not among the known ones, and proposes the nearest of these.
    fn report_unknown_word<'k>(&mut self, word: &Word, what: &str, known: impl IntoIterator<Item = &'k str>) {
        let known: Vec<_> = known.into_iter().collect();
        let help = match nearest(&word.text, known.iter().copied()) {
            Some(near) => format!("did you mean `{near}`?"),
            None => format!("known here: {}", known.join(", ")),
        };
        let message = format!("`{}` {what}", word.text);
        self.report(Diagnostic::error("unknown-word", word.span, message).help(help));
    }
}
