//! From statements to meaning. `blocks` reads each kind of block, `meaning` looks at what they mean together.

mod blocks;
mod fleet;
mod meaning;
mod observe;
mod reader;

use std::collections::{BTreeMap, HashMap};

use crate::diag::{Diagnostic, nearest};
use crate::model::{Config, Limits, Node, Observe};
use crate::span::Span;
use crate::syntax::{Statement, Word};
use reader::Reader;

/// Blocks of a file, by their first word.
const KINDS: [&str; 9] =
    ["node", "listener", "pool", "class", "tenant", "route", "limits", "observe", "fleet"];
/// All that may begin a statement of a file.
const TOP: [&str; 11] = [
    "node", "listener", "pool", "class", "tenant", "route", "limits", "observe", "fleet", "const", "include",
];
/// Most entries of one kind: places of classes and zones are 16-bit numbers in the decision module.
const MOST_ENTRIES: usize = 20_000;
/// Longest name.
const LONGEST_NAME: usize = 64;

/// A constant.
struct Constant<'a> {
    words: &'a [Word],
    span: Span,
    used: bool,
}

/// A name that was given, and whether its entry could be read.
#[derive(Clone, Copy)]
struct Named {
    place: usize,
    span: Span,
}

/// Names of one kind.
type Names = HashMap<String, Named>;

struct Check<'a> {
    diagnostics: &'a mut Vec<Diagnostic>,
    constants: BTreeMap<String, Constant<'a>>,
    names: HashMap<&'static str, Names>,
}

/// Makes a configuration of statements. Where anything is wrong there is a diagnostic for it, and where an error
/// leaves something out, nothing is returned.
pub(crate) fn check(statements: &[Statement], diagnostics: &mut Vec<Diagnostic>) -> Option<Config> {
    let mut check = Check { diagnostics, constants: BTreeMap::new(), names: HashMap::new() };
    let mut blocks: HashMap<&'static str, Vec<&Statement>> = HashMap::new();
    for statement in statements {
        let name = statement.name();
        if *name.text == *"const" {
            check.constant(statement);
        } else if let Some(kind) = KINDS.iter().find(|kind| ***kind == *name.text) {
            blocks.entry(kind).or_default().push(statement);
        } else {
            check.unknown(name, "begins no statement", TOP);
        }
    }
    check.check_constants();
    let of = |kind: &str| blocks.get(kind).map_or(&[][..], Vec::as_slice);
    // Names first: what is used may be defined later, and what is defined with a mistake is still defined.
    let named = ["listener", "pool", "class", "tenant", "route"].map(|kind| check.names_of(kind, of(kind)));
    let [listeners, pools, classes, tenants, routes] = named;
    let node = check.single("node", of("node"), Check::node).unwrap_or_else(Node::unwritten);
    let limits = check.single("limits", of("limits"), Check::limits).unwrap_or_else(Limits::unwritten);
    let observe = check.single("observe", of("observe"), Check::observe).unwrap_or_else(Observe::unwritten);
    let fleet = check.single("fleet", of("fleet"), Check::fleet);
    // Each block's settings are freed when its entry is made: of many routes they take as much as these.
    let listeners: Vec<_> = listeners.into_iter().map(|block| check.listener(&block)).collect();
    let pools: Vec<_> = pools.into_iter().map(|block| check.pool(&block, &node)).collect();
    let classes: Vec<_> = classes.into_iter().map(|block| check.class(&block)).collect();
    let tenants: Vec<_> = tenants.into_iter().map(|block| check.tenant(&block)).collect();
    let routes: Vec<_> = routes.into_iter().map(|block| check.route(&block, &classes)).collect();
    check.unused_constants();
    check.look(&limits, &listeners, &pools, &classes, &tenants, &routes);
    Some(Config {
        node,
        limits,
        observe,
        fleet,
        listeners: all(listeners)?,
        pools: all(pools)?,
        classes: all(classes)?,
        tenants: all(tenants)?,
        routes: all(routes)?,
    })
}

fn all<T>(list: Vec<Option<T>>) -> Option<Vec<T>> {
    list.into_iter().collect()
}

impl<'a> Check<'a> {
    fn say(&mut self, diagnostic: Diagnostic) {
        self.diagnostics.push(diagnostic);
    }

    fn unknown<'k>(&mut self, word: &Word, what: &str, known: impl IntoIterator<Item = &'k str>) {
        let mut diagnostic = Diagnostic::error("unknown-word", word.span, format!("`{}` {what}", word.text));
        let known: Vec<_> = known.into_iter().collect();
        let near = nearest(&word.text, known.iter().copied());
        diagnostic = match near {
            Some(near) => diagnostic.help(format!("did you mean `{near}`?")),
            None => diagnostic.help(format!("known here: {}", known.join(", "))),
        };
        self.say(diagnostic);
    }

    // ---- Constants ------------------------------------------------------------------------------

    fn constant(&mut self, statement: &'a Statement) {
        let [_, name, values @ ..] = &statement.words[..] else {
            return self.say(Diagnostic::error(
                "const-form",
                statement.span(),
                "`const` takes a name and a value",
            ));
        };
        if values.is_empty() || statement.block.is_some() {
            let message = format!("the constant `{}` has no value", name.text);
            return self.say(Diagnostic::error("const-form", name.span, message).help("`const NAME VALUE`"));
        }
        if !is_name(&name.text) || name.quoted {
            return self.say(bad_name(name, "constant"));
        }
        let constant = Constant { words: values, span: name.span, used: false };
        if let Some(first) = self.constants.get(&*name.text) {
            let first = first.span;
            return self.say(twice("constant", name, first));
        }
        self.constants.insert(name.text.to_string(), constant);
    }

    /// Circles and unknown names are told once, at the constants, not wherever these are used.
    fn check_constants(&mut self) {
        let mut faults = Vec::new();
        for (name, constant) in &self.constants {
            let mut chain = vec![name.as_str()];
            let mut at = constant;
            // Each constant's first circle only: one that leads into a circle further on is not in it.
            while let Some(word) = at.words.iter().find(|word| reference(word).is_some()) {
                let next = reference(word).unwrap_or_default();
                let Some(known) = self.constants.get(next) else { break };
                chain.push(next);
                if next == name {
                    if chain.iter().min() == Some(&name.as_str()) {
                        let message = format!("a constant that is made of itself: {}", chain.join(" -> "));
                        faults.push(Diagnostic::error("circular-constant", constant.span, message));
                    }
                    break;
                }
                if chain.len() > self.constants.len() {
                    break;
                }
                at = known;
            }
        }
        faults.into_iter().for_each(|fault| self.say(fault));
    }

    fn unused_constants(&mut self) {
        let unused = self.constants.iter().filter(|(_, constant)| !constant.used);
        let unused: Vec<_> = unused.map(|(name, constant)| (name.clone(), constant.span)).collect();
        for (name, span) in unused {
            self.say(Diagnostic::warning("unused", span, format!("the constant `{name}` is not used")));
        }
    }

    /// Words with constants replaced; `None` where one is unknown or circular.
    fn expand(&mut self, words: &[Word]) -> Option<Vec<Word>> {
        let mut out = Vec::new();
        self.expand_into(words, &mut out, 0).then_some(out)
    }

    fn expand_into(&mut self, words: &[Word], out: &mut Vec<Word>, depth: usize) -> bool {
        words.iter().all(|word| {
            let Some(name) = reference(word) else {
                out.push(word.clone());
                return true;
            };
            let count = self.constants.len();
            let Some(constant) = self.constants.get_mut(name) else {
                let known: Vec<_> = self.constants.keys().map(|known| format!("${known}")).collect();
                let near = nearest(&word.text, known.iter().map(String::as_str)).map(str::to_owned);
                let message = format!("there is no constant `{name}`");
                let mut diagnostic = Diagnostic::error("unknown-name", word.span, message);
                if let Some(near) = near {
                    diagnostic = diagnostic.help(format!("did you mean `{near}`?"));
                }
                self.say(diagnostic);
                return false;
            };
            constant.used = true;
            let words = constant.words;
            // A circle has been told of.
            depth <= count && self.expand_into(words, out, depth + 1)
        })
    }

    // ---- Names ----------------------------------------------------------------------------------

    /// The blocks of a kind that have names of their own, with these.
    fn names_of<'s>(&mut self, kind: &'static str, statements: &[&'s Statement]) -> Vec<Reader<'s>> {
        let mut names = Names::new();
        let mut readers = Vec::new();
        for statement in statements {
            let Some(reader) = self.reader(kind, statement, true) else { continue };
            if readers.len() == MOST_ENTRIES {
                let message = format!("more than {MOST_ENTRIES} entries of the kind {kind}");
                self.say(Diagnostic::error("too-many", reader.at.name, message));
                break;
            }
            let word = &statement.words[1];
            if let Some(first) = names.get(&reader.name) {
                self.say(twice(kind, word, first.span));
                continue;
            }
            names.insert(reader.name.clone(), Named { place: readers.len(), span: word.span });
            readers.push(reader);
        }
        self.names.insert(kind, names);
        readers
    }

    /// A block of which there may be one.
    fn single<T>(
        &mut self,
        kind: &'static str,
        statements: &[&Statement],
        read: impl Fn(&mut Self, &Reader<'_>) -> T,
    ) -> Option<T> {
        let (first, others) = statements.split_first()?;
        if let Some(other) = others.first() {
            self.say(twice_block(kind, other.name().span, first.name().span));
        }
        let reader = self.reader(kind, first, false)?;
        Some(read(self, &reader))
    }

    /// The place of an entry that is used by its name.
    fn place_of(&mut self, kind: &'static str, word: &Word) -> Option<usize> {
        let names = self.names.get(kind)?;
        if let Some(named) = names.get(&*word.text) {
            return Some(named.place);
        }
        let near = nearest(&word.text, names.keys().map(String::as_str));
        let help = match near {
            Some(near) => format!("did you mean `{near}`?"),
            None => format!("write a block `{kind} {} {{ ... }}`", word.text),
        };
        let message = format!("there is no {kind} `{}`", word.text);
        self.say(Diagnostic::error("unknown-name", word.span, message).help(help));
        None
    }
}

fn reference(word: &Word) -> Option<&str> {
    word.text.strip_prefix('$').filter(|_| !word.quoted)
}

fn is_name(text: &str) -> bool {
    let inside = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    let first = text.bytes().next().is_some_and(|b| b.is_ascii_alphabetic());
    first && text.len() <= LONGEST_NAME && text.bytes().all(inside)
}

fn bad_name(word: &Word, kind: &str) -> Diagnostic {
    let message = format!("`{}` is no name for a {kind}", word.text);
    Diagnostic::error("bad-name", word.span, message).help(format!(
        "a name begins with a letter, goes on with letters, digits, `-`, `_` and `.`, and has at most {LONGEST_NAME}"
    ))
}

fn twice(kind: &str, word: &Word, first: Span) -> Diagnostic {
    let message = format!("the {kind} `{}` is defined twice", word.text);
    Diagnostic::error("defined-twice", word.span, message).note(first, "first defined here")
}

fn twice_block(kind: &str, span: Span, first: Span) -> Diagnostic {
    Diagnostic::error("defined-twice", span, format!("a second `{kind}` block"))
        .note(first, "the first is here")
}
