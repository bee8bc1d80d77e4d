//! Reads a block's settings: which are there, each once, and of the right form.

use std::net::SocketAddr;

use super::{Check, bad_name, is_name};
use crate::diag::Diagnostic;
use crate::model::{Address, Places};
use crate::span::Span;
use crate::syntax::{Statement, Word};
use crate::units::{self, Fault};

/// Longest path of a socket: what Linux takes, less the byte that ends it.
const LONGEST_SOCKET_PATH: usize = 107;

/// A setting that a kind of block has.
pub(super) struct Setting {
    pub name: &'static str,
    /// May stand there more than once.
    pub many: bool,
    /// Is a block itself.
    pub block: bool,
}

/// A setting that may stand once.
pub(super) const fn one(name: &'static str) -> Setting {
    Setting { name, many: false, block: false }
}

/// A setting that may stand more than once.
pub(super) const fn many(name: &'static str) -> Setting {
    Setting { name, many: true, block: false }
}

/// A block that may stand more than once.
pub(super) const fn blocks(name: &'static str) -> Setting {
    Setting { name, many: true, block: true }
}

/// A block's settings.
pub(super) struct Reader<'s> {
    pub kind: &'static str,
    pub name: String,
    pub at: Places,
    /// In the order of the file: a list, since a block has a few and there may be thousands of blocks.
    settings: Vec<(&'static str, &'s Statement)>,
}

impl<'s> Reader<'s> {
    /// The blocks of a name.
    pub fn blocks(&self, name: &str) -> Vec<&'s Statement> {
        let named = self.settings.iter().filter(|(setting, _)| *setting == name);
        named.map(|(_, statement)| *statement).collect()
    }

    pub fn has(&self, name: &str) -> bool {
        self.first(name).is_some()
    }

    /// The first statement of a name.
    fn first(&self, name: &str) -> Option<&'s Statement> {
        let found = self.settings.iter().find(|(setting, _)| *setting == name);
        found.map(|(_, statement)| *statement)
    }
}

fn settings_of(kind: &str) -> &'static [Setting] {
    match kind {
        "node" => const { &[one("name"), one("zones"), one("zone"), one("nodes"), one("number")] },
        "listener" => const { &[one("address"), one("protocol")] },
        "pool" => {
            const {
                &[
                    blocks("server"),
                    one("discovery"),
                    one("protocol"),
                    one("script"),
                    one("root"),
                    one("warm-up"),
                    one("tips-over"),
                    one("connect-timeout"),
                    one("idle"),
                    one("attempts"),
                    one("hedge"),
                    one("crossing-price"),
                ]
            }
        }
        "server" => const { &[one("address"), one("zone"), one("weight"), one("cell")] },
        "class" => {
            const { &[one("aim"), one("deadline"), one("worth"), one("late-worth"), one("repeats"), one("order")] }
        }
        "tenant" => const { &[one("share"), one("rate")] },
        "route" => {
            const {
                &[
                    one("host"),
                    one("path"),
                    one("method"),
                    many("header"),
                    one("class"),
                    one("pool"),
                    one("tenant"),
                    one("key"),
                ]
            }
        }
        "limits" => {
            const {
                &[
                    one("memory"),
                    one("descriptors"),
                    one("held"),
                    one("request-body"),
                    one("answer-body"),
                    one("request-time"),
                    one("idle"),
                    one("retry-after"),
                ]
            }
        }
        "observe" => {
            const { &[one("calls"), one("log"), one("log-form"), one("recorder"), one("recordings")] }
        }
        "fleet" => const { &[one("name"), one("address"), one("told-as"), one("seeds"), many("reach")] },
        _ => &[],
    }
}

impl Check<'_> {
    /// Reads the head of a block and sorts its settings. `None` where it has no block or no proper name.
    pub(super) fn reader<'s>(
        &mut self,
        kind: &'static str,
        statement: &'s Statement,
        named: bool,
    ) -> Option<Reader<'s>> {
        let head = statement.name();
        let form = if named { format!("`{kind} NAME {{ ... }}`") } else { format!("`{kind} {{ ... }}`") };
        let name = match (named, &statement.words[1..]) {
            (false, []) => None,
            (true, [name]) => Some(name),
            (true, []) => {
                self.say(
                    Diagnostic::error("block-form", head.span, format!("a {kind} without a name")).help(form),
                );
                return None;
            }
            (_, [.., odd]) => {
                let message = format!("`{}` is one word too many for a `{kind}` block", odd.text);
                self.say(Diagnostic::error("block-form", odd.span, message).help(form));
                return None;
            }
        };
        if let Some(name) = name.filter(|name| !is_name(&name.text)) {
            self.say(bad_name(name, kind));
            return None;
        }
        let Some(block) = &statement.block else {
            self.say(
                Diagnostic::error("block-form", statement.span(), format!("a {kind} without a block"))
                    .help(form),
            );
            return None;
        };
        let known = settings_of(kind);
        let mut settings = Vec::with_capacity(block.statements.len());
        let mut firsts: Vec<Option<&Statement>> = vec![None; known.len()];
        let mut at = Places { name: name.map_or(head.span, |name| name.span), ..Places::default() };
        for inner in &block.statements {
            let word = inner.name();
            let place = known.iter().position(|setting| *setting.name == *word.text && !word.quoted);
            let Some(place) = place else {
                if *word.text == *"include" {
                    let message = "`include` stands outside of blocks only";
                    self.say(Diagnostic::error("include-form", word.span, message));
                } else {
                    let what = format!("is no setting of a `{kind}` block");
                    self.unknown(word, &what, known.iter().map(|setting| setting.name));
                }
                continue;
            };
            let setting = &known[place];
            if let Some(block) = inner.block.as_ref().filter(|_| !setting.block) {
                let message = format!("`{}` takes no block", setting.name);
                self.say(Diagnostic::error("setting-form", block.braces.0, message));
                continue;
            }
            if let Some(first) = firsts[place].filter(|_| !setting.many) {
                let message = format!("`{}` stands twice in one {kind}", setting.name);
                let first = first.name().span;
                self.say(Diagnostic::error("set-twice", word.span, message).note(first, "first set here"));
                continue;
            }
            at.values.insert_first(setting.name, inner.span());
            firsts[place].get_or_insert(inner);
            settings.push((setting.name, inner));
        }
        let name = name.map(|name| name.text.to_string()).unwrap_or_default();
        Some(Reader { kind, name, at, settings })
    }

    /// The values of a setting, with constants replaced: `Ok(None)` where it is not written, `Err` where it was
    /// and something is wrong with it.
    pub(super) fn values(&mut self, reader: &Reader<'_>, name: &str) -> Result<Option<Vec<Word>>, ()> {
        let Some(statement) = reader.first(name) else { return Ok(None) };
        self.values_of(statement).map(Some)
    }

    pub(super) fn values_of(&mut self, statement: &Statement) -> Result<Vec<Word>, ()> {
        let values = self.expand(&statement.words[1..]).ok_or(())?;
        if values.is_empty() {
            let message = format!("`{}` has no value", statement.name().text);
            self.say(Diagnostic::error("no-value", statement.span(), message));
            return Err(());
        }
        Ok(values)
    }

    /// The one value of a setting.
    pub(super) fn value(&mut self, reader: &Reader<'_>, name: &str) -> Result<Option<Word>, ()> {
        let Some(mut values) = self.values(reader, name)? else { return Ok(None) };
        if let Some(second) = values.get(1) {
            let message = format!("`{name}` takes one value");
            let mut units = units::TIMES.iter().chain(&units::SIZES).map(|(unit, _)| *unit);
            let help = match units.any(|unit| *unit == *second.text) {
                true => format!("write `{}{}`, without a space", values[0].text, second.text),
                false => "a statement ends with its line, or with `;`".into(),
            };
            self.say(Diagnostic::error("too-many-values", second.span, message).help(help));
            return Err(());
        }
        Ok(Some(values.remove(0)))
    }

    /// A setting that reads as `read` says; `None` where something is wrong with it.
    pub(super) fn parsed<T>(
        &mut self,
        reader: &Reader<'_>,
        name: &str,
        unwritten: T,
        read: impl Fn(&str) -> Result<T, Fault>,
    ) -> Option<T> {
        match self.value(reader, name).ok()? {
            None => Some(unwritten),
            Some(word) => self.read(&word, read),
        }
    }

    /// The same for a setting that must be written.
    pub(super) fn required<T>(
        &mut self,
        reader: &Reader<'_>,
        name: &str,
        read: impl Fn(&str) -> Result<T, Fault>,
    ) -> Option<T> {
        match self.value(reader, name).ok()? {
            Some(word) => self.read(&word, read),
            None => {
                self.missing(reader, name);
                None
            }
        }
    }

    pub(super) fn missing(&mut self, reader: &Reader<'_>, name: &str) {
        let of = if reader.name.is_empty() { String::new() } else { format!(" `{}`", reader.name) };
        let message = format!("the {}{of} has no `{name}`", reader.kind);
        self.say(Diagnostic::error("missing-setting", reader.at.name, message));
    }

    pub(super) fn read<T>(&mut self, word: &Word, read: impl Fn(&str) -> Result<T, Fault>) -> Option<T> {
        read(&word.text).map_err(|fault| self.fault(word.span, fault)).ok()
    }

    pub(super) fn fault(&mut self, span: Span, fault: Fault) {
        let mut diagnostic = Diagnostic::error(fault.code, span, fault.message);
        diagnostic.help = fault.help;
        self.say(diagnostic);
    }

    /// Values in a form such as `SPAN from SHARE`: every second word is the one of `between`.
    pub(super) fn phrase(
        &mut self,
        reader: &Reader<'_>,
        name: &str,
        form: &str,
    ) -> Result<Option<Vec<Word>>, ()> {
        let Some(values) = self.values(reader, name)? else { return Ok(None) };
        let parts: Vec<_> = form.split(' ').collect();
        // Words in small letters stand for themselves.
        let fits =
            |(word, part): (&Word, &&str)| part.chars().any(|c| c.is_uppercase()) || *word.text == **part;
        if values.len() != parts.len() || !values.iter().zip(&parts).all(fits) {
            let span = values.iter().fold(values[0].span, |span, word| span.to(word.span));
            let message = format!("`{name}` is not of the form `{name} {form}`");
            self.say(Diagnostic::error("setting-form", span, message));
            return Err(());
        }
        let shown = values.into_iter().zip(parts).filter(|(_, part)| part.chars().any(|c| c.is_uppercase()));
        Ok(Some(shown.map(|(word, _)| word).collect()))
    }

    /// One of some words.
    pub(super) fn choice<T: Copy>(&mut self, word: &Word, what: &str, known: &[(&str, T)]) -> Option<T> {
        let found = known.iter().find(|(name, _)| **name == *word.text).map(|(_, value)| *value);
        if found.is_none() {
            self.unknown(word, what, known.iter().map(|(name, _)| *name));
        }
        found
    }
}

/// A value within bounds; `least` and `most` are shown as they are written.
pub(super) fn within<T: PartialOrd>(
    read: impl Fn(&str) -> Result<T, Fault>,
    least: &str,
    most: &str,
) -> impl Fn(&str) -> Result<T, Fault> {
    let bounds = (read(least), read(most));
    let (least, most) = (least.to_owned(), most.to_owned());
    move |text| {
        let value = read(text)?;
        let (under, over) = (
            bounds.0.as_ref().is_ok_and(|least| value < *least),
            bounds.1.as_ref().is_ok_and(|most| value > *most),
        );
        let message = match (under, over) {
            (true, _) => format!("`{text}` is less than the least, `{least}`"),
            (_, true) => format!("`{text}` is more than the most, `{most}`"),
            _ => return Ok(value),
        };
        Err(Fault { code: "out-of-range", message, help: None })
    }
}

/// An address such as `127.0.0.1:8080`.
pub(super) fn address(text: &str) -> Result<SocketAddr, Fault> {
    let fault = |message: String, help: &str| Fault { code: "bad-address", message, help: Some(help.into()) };
    let address: SocketAddr = text.parse().map_err(|_| {
        let help = "write an IP address and a port, such as `127.0.0.1:8080` or `[::1]:8080`; names are not looked up";
        fault(format!("`{text}` is no address"), help)
    })?;
    if address.port() == 0 {
        return Err(fault(format!("`{text}` has no port"), "ports are 1 to 65535"));
    }
    Ok(address)
}

/// An address of a server, which may be a socket of this machine: `unix:/run/board.sock`.
pub(super) fn server_address(text: &str) -> Result<Address, Fault> {
    let Some(path) = text.strip_prefix("unix:") else { return address(text).map(Address::Tcp) };
    let message = match path {
        path if !path.starts_with('/') => format!("the path in `{text}` does not begin with `/`"),
        path if path.len() > LONGEST_SOCKET_PATH => {
            format!("`{text}` is too long: a socket's path has at most {LONGEST_SOCKET_PATH} bytes")
        }
        path => return Ok(Address::Unix(path.into())),
    };
    Err(Fault { code: "bad-address", message, help: None })
}

/// A header's name, in lower case.
pub(super) fn header(text: &str) -> Result<String, Fault> {
    http::HeaderName::from_bytes(text.as_bytes()).map(|name| name.as_str().to_owned()).map_err(|_| Fault {
        code: "bad-header",
        message: format!("`{text}` is no name of a header field"),
        help: None,
    })
}

/// A whole number that fits its place.
pub(super) fn small<T: TryFrom<u64>>(text: &str) -> Result<T, Fault> {
    let value = units::count(text)?;
    let message = format!("`{text}` is too large");
    T::try_from(value).map_err(|_| Fault { code: "too-large", message, help: None })
}
