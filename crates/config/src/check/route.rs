//! The block `route`.

use http::Method;
use pumicehead_route::{HeaderRule, HostPattern, Methods, PathPattern, Route as Pattern};

use super::Checker;
use super::block_reader::BlockReader;
use super::constants::referenced_constant;
use super::values::{header_name, integer, within};
use crate::diagnostic::{Diagnostic, nearest};
use crate::model::{Class, Idempotency, KeySource, Route, TenantSource};
use crate::syntax::{Statement, Word};
use crate::units::ValueError;

/// Maximum number of header conditions of a route.
const MAX_HEADER_RULES: usize = 16;
/// Longest value of a header condition, in bytes.
const MAX_HEADER_VALUE_BYTES: usize = 1_024;
/// Safe methods (RFC 9110 section 9.2.1), except for TRACE, which is never forwarded.
pub(super) const SAFE_METHODS: [Method; 3] = [Method::GET, Method::HEAD, Method::OPTIONS];
/// Methods that are accepted without a check for misspellings.
const KNOWN_METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];
const KEY_HELP: &str = "write `key segment N`, `key last-segment` or `key header NAME`";

impl Checker<'_> {
    pub(super) fn route(&mut self, block: &BlockReader<'_>, classes: &[Option<Class>]) -> Option<Route> {
        let host = self.parsed(block, "host", HostPattern::Any, parse_host);
        let path = self.required(block, "path", parse_path);
        let headers = self.header_rules(block);
        let class = self.referenced(block, "class");
        let pool = self.referenced(block, "pool");
        let methods = self.methods(block);
        let tenant = self.tenant_source(block);
        let key = self.key_source(block);
        let (class, methods) = (class?, methods.ok()?);
        let class_entry = classes.get(class)?.as_ref();
        let idempotent =
            class_entry.is_some_and(|class| class.settings.idempotency == Idempotency::Idempotent);
        let methods = match methods {
            // Only safe methods by default: an idempotent class does not make every method idempotent.
            None if idempotent => Methods::Only(SAFE_METHODS.to_vec()),
            None => Methods::Any,
            Some(list) => Methods::Only(list),
        };
        let pattern = Pattern { host: host?, path: path?, methods, headers: headers? };
        let (name, spans) = (block.name.clone(), block.spans.clone());
        Some(Route { name, pattern, class, pool: pool?, tenant: tenant?, key: key?, spans })
    }

    /// The index of the entry of a kind that the route refers to.
    fn referenced(&mut self, block: &BlockReader<'_>, kind: &'static str) -> Option<usize> {
        match self.value(block, kind).ok()? {
            Some(word) => self.index_of(kind, &word),
            None => {
                self.report_missing(block, kind);
                None
            }
        }
    }

    /// The methods of the setting `method`, if it is present.
    fn methods(&mut self, block: &BlockReader<'_>) -> Result<Option<Vec<Method>>, super::AlreadyReported> {
        let Some(words) = self.values(block, "method")? else { return Ok(None) };
        let mut methods = Vec::new();
        for word in &words {
            let method = self.method(word).ok_or(super::AlreadyReported)?;
            if methods.contains(&method) {
                let message = format!("the method {} is listed twice", word.text);
                self.report(Diagnostic::error("set-twice", word.span, message));
                return Err(super::AlreadyReported);
            }
            methods.push(method);
        }
        Ok(Some(methods))
    }

    fn method(&mut self, word: &Word) -> Option<Method> {
        let Ok(method) = Method::from_bytes(word.text.as_bytes()) else {
            self.report_unknown_word(word, "is not a method", KNOWN_METHODS);
            return None;
        };
        if KNOWN_METHODS.contains(&&*word.text) {
            return Some(method);
        }
        if matches!(&*word.text, "TRACE" | "CONNECT") {
            let message = format!("{} is never forwarded", word.text);
            self.report(Diagnostic::error("unknown-word", word.span, message));
            return None;
        }
        // Method names are case-sensitive (RFC 9110 section 9.1): `get` is not GET.
        let similar = nearest(&word.text, KNOWN_METHODS);
        if similar.is_some() || *word.text != *word.text.to_uppercase() {
            self.report_unknown_word(word, "is not a known method", KNOWN_METHODS);
            return None;
        }
        Some(method)
    }

    fn header_rules(&mut self, block: &BlockReader<'_>) -> Option<Vec<HeaderRule>> {
        let mut rules: Vec<HeaderRule> = Vec::new();
        let mut is_valid = true;
        for statement in block.statements("header") {
            let Some(rule) = self.header_rule(statement) else {
                is_valid = false;
                continue;
            };
            if rules.contains(&rule) {
                let message = "the same condition is set twice";
                self.report(Diagnostic::error("set-twice", statement.span(), message));
                is_valid = false;
            } else if rules.len() == MAX_HEADER_RULES {
                let message = format!("more than {MAX_HEADER_RULES} conditions on headers");
                self.report(Diagnostic::error("too-many", statement.span(), message));
                return None;
            }
            rules.push(rule);
        }
        // Sorted so that two routes with the same conditions are equal.
        rules.sort();
        is_valid.then_some(rules)
    }

    fn header_rule(&mut self, statement: &Statement) -> Option<HeaderRule> {
        let words = self.values_of(statement).ok()?;
        let (name, value) = match &words[..] {
            [name] => (name, None),
            [name, value] => (name, Some(value)),
            _ => {
                let message = "`header` takes a name and at most one value";
                let help = "quote a value that contains spaces";
                self.report(Diagnostic::error("too-many-values", words[2].span, message).help(help));
                return None;
            }
        };
        let allowed = 1..=MAX_HEADER_VALUE_BYTES;
        if let Some(value) = value.filter(|value| !allowed.contains(&value.text.len())) {
            let message = format!("a value must have 1 to {MAX_HEADER_VALUE_BYTES} bytes");
            self.report(Diagnostic::error("out-of-range", value.span, message));
            return None;
        }
        let name = self.read(name, header_name)?;
        Some(HeaderRule { name: name.into(), value: value.map(|value| value.text.as_bytes().into()) })
    }

    fn tenant_source(&mut self, block: &BlockReader<'_>) -> Option<TenantSource> {
        let Some(words) = self.values(block, "tenant").ok()? else { return Some(TenantSource::None) };
        match &words[..] {
            [name] => self.index_of("tenant", name).map(TenantSource::Fixed),
            [from, name] if *from.text == *"header" => self.read(name, header_name).map(TenantSource::Header),
            _ => {
                let message = "`tenant` takes a name, or a header that names the tenant";
                let help = "write `tenant NAME` or `tenant header FIELD`";
                self.report_form(&words, message, help);
                None
            }
        }
    }

    fn key_source(&mut self, block: &BlockReader<'_>) -> Option<KeySource> {
        let Some(words) = self.values(block, "key").ok()? else { return Some(KeySource::None) };
        let segment = within(integer::<usize>, "1", "64");
        match &words[..] {
            [last] if *last.text == *"last-segment" => Some(KeySource::Last),
            [from, number] if *from.text == *"segment" => {
                self.read(number, segment).map(|number| KeySource::Segment(number - 1))
            }
            [from, name] if *from.text == *"header" => self.read(name, header_name).map(KeySource::Header),
            _ => {
                debug_assert!(
                    words.first().is_none_or(|first| referenced_constant(first).is_none()),
                    "constants must have been replaced"
                );
                self.report_form(&words, "`key` takes the source of the key of a request", KEY_HELP);
                None
            }
        }
    }

    /// Reports values that are not of the right form.
    fn report_form(&mut self, words: &[Word], message: &str, help: &str) {
        if let Some(span) = words.iter().map(|word| word.span).reduce(|span, next| span.to(next)) {
            self.report(Diagnostic::error("setting-form", span, message).help(help));
        }
    }
}

fn parse_host(text: &str) -> Result<HostPattern, ValueError> {
    text.parse().map_err(|error| ValueError {
        code: "bad-host",
        message: format!("`{text}` is not a valid host: {error}"),
        help: Some("write `example.org`, or `*.example.org` for all its subdomains".into()),
    })
}

fn parse_path(text: &str) -> Result<PathPattern, ValueError> {
    text.parse().map_err(|error| ValueError {
        code: "bad-path",
        message: format!("`{text}` is not a valid path: {error}"),
        help: None,
    })
}
