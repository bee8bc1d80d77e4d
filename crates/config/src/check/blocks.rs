//! Each kind of block, with what its settings are when they are not written.

use std::collections::HashMap;
use std::net::SocketAddr;

use http::Method;
use pumicehead_policy::{DedupScope, Discovery, Nanos};
use pumicehead_route::{HeaderRule, HostPattern, Methods, Route as Pattern};

use super::reader::{Reader, address, header, server_address, small, within};
use super::{Check, reference, twice};
use crate::diag::Diagnostic;
use crate::model::{
    Address, Class, KeyOf, Limits, Listener, Members, Node, Places, Pool, Protocol, Repeats, Route, Server,
    Tenant, TenantOf,
};
use crate::span::Span;
use crate::syntax::Word;
use crate::units::{self, Fault};

const MILLISECOND: Nanos = 1_000_000;
const SECOND: Nanos = 1_000 * MILLISECOND;
/// Most zones: settings name zones with 16 bits, and each class keeps a mean for each.
const MOST_ZONES: usize = 256;
/// Most servers of a pool.
const MOST_SERVERS: usize = 10_000;
/// Most header conditions of a route.
const MOST_CONDITIONS: usize = 16;
/// Longest value of a header condition.
const LONGEST_VALUE: usize = 1_024;
/// Methods that change nothing at the server (RFC 9110 section 9.2.1); TRACE is never passed on.
pub(super) const SAFE: [Method; 3] = [Method::GET, Method::HEAD, Method::OPTIONS];
/// Statements of a route's `key` and `tenant`.
const KEY_FORM: &str = "write `key segment N`, `key last-segment` or `key header NAME`";

impl Node {
    pub(super) fn unwritten() -> Self {
        Self {
            name: "pumicehead".into(),
            zones: vec![String::new()],
            zone: 0,
            nodes: 1,
            number: 0,
            at: Places::default(),
        }
    }
}

impl Limits {
    pub(super) fn unwritten() -> Self {
        Self {
            memory: 64 << 20,
            descriptors: 1_024,
            held: 2_000,
            request_body: 64 << 10,
            answer_body: 1 << 20,
            request_time: 10 * SECOND,
            idle: 60 * SECOND,
            retry_after: SECOND,
            at: Places::default(),
        }
    }
}

impl Check<'_> {
    pub(super) fn node(&mut self, block: &Reader<'_>) -> Node {
        let mut node = Node { at: block.at.clone(), ..Node::unwritten() };
        if let Ok(Some(name)) = self.value(block, "name") {
            if super::is_name(&name.text) {
                node.name = name.text.into();
            } else {
                self.say(super::bad_name(&name, "node"));
            }
        }
        if let Ok(Some(zones)) = self.values(block, "zones") {
            if zones.len() > MOST_ZONES {
                let span = zones[MOST_ZONES].span;
                self.say(Diagnostic::error("too-many", span, format!("more than {MOST_ZONES} zones")));
            }
            for (place, zone) in zones.iter().enumerate() {
                if let Some(first) = zones[..place].iter().find(|other| other.text == zone.text) {
                    self.say(twice("zone", zone, first.span));
                }
            }
            node.zones = zones.into_iter().map(|zone| zone.text.into()).collect();
        }
        match self.value(block, "zone") {
            Ok(Some(zone)) => node.zone = self.zone(&node, &zone).unwrap_or(0),
            Ok(None) if node.zones.len() > 1 => {
                let span = block.at.values["zones"];
                let message = "the node names zones, but not its own";
                self.say(Diagnostic::error("missing-setting", span, message).help("write `zone NAME`"));
            }
            _ => {}
        }
        let nodes = within(small::<u32>, "1", "1000000");
        node.nodes = self.parsed(block, "nodes", 1, nodes).unwrap_or(1);
        node.number = self.parsed(block, "number", 0, small::<u32>).unwrap_or(0);
        if node.number >= node.nodes {
            let span = block.at.values.get("number").copied().unwrap_or(block.at.name);
            let message = format!("number {} of {} nodes: numbers begin at 0", node.number, node.nodes);
            self.say(Diagnostic::error("out-of-range", span, message));
        }
        node
    }

    fn zone(&mut self, node: &Node, word: &Word) -> Option<usize> {
        let place = node.zones.iter().position(|zone| **zone == *word.text);
        if place.is_none() {
            let known = node.zones.iter().map(String::as_str).filter(|zone| !zone.is_empty());
            let known: Vec<_> = known.collect();
            if known.is_empty() {
                let message = format!("the zone `{}` is not among the node's", word.text);
                let help = "write `zones NAME ...` and `zone NAME` in the `node` block";
                self.say(Diagnostic::error("unknown-name", word.span, message).help(help));
            } else {
                self.unknown(word, "is none of the node's zones", known);
            }
        }
        place
    }

    pub(super) fn limits(&mut self, block: &Reader<'_>) -> Limits {
        let unwritten = Limits::unwritten();
        let size = |least, most| within(units::size, least, most);
        let time = |least, most| within(units::time, least, most);
        let whole = |least, most| within(small::<usize>, least, most);
        let u = &unwritten;
        Limits {
            memory: self.parsed(block, "memory", u.memory, size("16MiB", "64GiB")).unwrap_or(u.memory),
            descriptors: self
                .parsed(block, "descriptors", u.descriptors, whole("128", "1000000"))
                .unwrap_or(u.descriptors),
            held: self.parsed(block, "held", u.held, whole("1", "1000000")).unwrap_or(u.held),
            request_body: self
                .parsed(block, "request-body", u.request_body, size("0B", "64MiB"))
                .unwrap_or(u.request_body),
            answer_body: self
                .parsed(block, "answer-body", u.answer_body, size("64KiB", "64MiB"))
                .unwrap_or(u.answer_body),
            request_time: self
                .parsed(block, "request-time", u.request_time, time("100ms", "10min"))
                .unwrap_or(u.request_time),
            idle: self.parsed(block, "idle", u.idle, time("1s", "1h")).unwrap_or(u.idle),
            retry_after: self
                .parsed(block, "retry-after", u.retry_after, time("1s", "1h"))
                .unwrap_or(u.retry_after),
            at: block.at.clone(),
        }
    }

    pub(super) fn listener(&mut self, block: &Reader<'_>) -> Option<Listener> {
        // Port 0 is any that is free, which the log names.
        let read = |text: &str| text.parse::<SocketAddr>().or_else(|_| address(text));
        let address = self.required(block, "address", read);
        let protocol = self.protocol(block)?;
        Some(Listener { name: block.name.clone(), address: address?, protocol, at: block.at.clone() })
    }

    fn protocol(&mut self, block: &Reader<'_>) -> Option<Protocol> {
        let known = [Protocol::Http, Protocol::FastCgi].map(|protocol| (protocol.name(), protocol));
        match self.value(block, "protocol") {
            Ok(Some(word)) => self.choice(&word, "is no protocol", &known),
            Ok(None) => Some(Protocol::Http),
            Err(()) => None,
        }
    }

    /// A path that is a FastCGI pool's own; empty where it is not written.
    fn fastcgi_path(&mut self, block: &Reader<'_>, name: &str, protocol: Option<Protocol>) -> Option<String> {
        let path = self.parsed(block, name, String::new(), |text| {
            let sound =
                text.starts_with('/') && !text.ends_with('/') && !text.split('/').any(|part| part == "..");
            let help = "write `/app`, without a slash at its end and without `..`";
            let fault = || Fault {
                code: "bad-path",
                message: format!("`{text}` is no path for `{name}`"),
                help: Some(help.into()),
            };
            if sound { Ok(text.to_owned()) } else { Err(fault()) }
        });
        if let (Some(&span), Some(Protocol::Http)) = (block.at.values.get(name), protocol) {
            let message = format!("`{name}` is for pools with `protocol fastcgi`");
            self.say(Diagnostic::error("wrong-protocol", span, message));
            return None;
        }
        path
    }

    // ---- Pools ----------------------------------------------------------------------------------

    pub(super) fn pool(&mut self, block: &Reader<'_>, node: &Node) -> Option<Pool> {
        let protocol = self.protocol(block);
        let script = self.fastcgi_path(block, "script", protocol);
        let root = self.fastcgi_path(block, "root", protocol);
        let members = self.members(block, node, protocol);
        let warm = match self.phrase(block, "warm-up", "SPAN from SHARE") {
            Ok(Some(words)) => {
                let span = self.read(&words[0], within(units::time, "0s", "1h"));
                let from = self.read(&words[1], within(units::share, "1%", "100%"));
                span.zip(from)
            }
            Ok(None) => Some((30 * SECOND, 0.1)),
            Err(()) => None,
        };
        let tips = match self.phrase(block, "tips-over", "MULTIPLE within SPAN") {
            Ok(Some(words)) => {
                let multiple = self.read(&words[0], within(units::number, "1", "1000"));
                let span = self.read(&words[1], within(units::time, "100ms", "10min"));
                multiple.zip(span)
            }
            Ok(None) => Some((2.0, 2 * SECOND)),
            Err(()) => None,
        };
        let time = |least, most| within(units::time, least, most);
        let connect = self.parsed(block, "connect-timeout", 250 * MILLISECOND, time("1ms", "1min"));
        let idle = self.parsed(block, "idle", 15 * SECOND, time("100ms", "1h"));
        let attempts = self.parsed(block, "attempts", 3, within(small::<u32>, "1", "10"));
        let hedge = match self.value(block, "hedge") {
            Ok(Some(word)) => {
                self.choice(&word, "is neither `on` nor `off`", &[("on", true), ("off", false)])
            }
            Ok(None) => Some(true),
            Err(()) => None,
        };
        let crossing = self.parsed(block, "crossing-price", 0.01, units::share);
        let ((warm_up, cold_from), (tips_at, tips_within)) = (warm?, tips?);
        Some(Pool {
            name: block.name.clone(),
            members: members?,
            protocol: protocol?,
            script: script?,
            root: root?,
            warm_up,
            cold_from,
            tips_at,
            tips_within,
            connect_timeout: connect?,
            idle: idle?,
            attempts: attempts?,
            hedge: hedge?,
            crossing: crossing?,
            at: block.at.clone(),
        })
    }

    fn members(&mut self, block: &Reader<'_>, node: &Node, protocol: Option<Protocol>) -> Option<Members> {
        let servers = block.blocks("server");
        if block.has("discovery") {
            if let Some(server) = servers.first() {
                let message = format!("the pool `{}` has both `server` and `discovery`", block.name);
                let span = block.at.values["discovery"];
                let diagnostic = Diagnostic::error("two-sources", span, message);
                self.say(diagnostic.note(server.name().span, "a server is here"));
                return None;
            }
            let words = self.phrase(block, "discovery", "MODE ADDRESS").ok()??;
            let modes = [("watch", Discovery::Poll), ("agent", Discovery::Push)];
            let mode = self.choice(&words[0], "is no way to discover servers", &modes);
            let address = self.read(&words[1], address);
            return Some(Members::Discovery { address: address?, mode: mode? });
        }
        if servers.is_empty() {
            let message = format!("the pool `{}` has no servers", block.name);
            let help = "write `server NAME { address IP:PORT }`, or `discovery watch IP:PORT`";
            self.say(Diagnostic::error("no-servers", block.at.name, message).help(help));
            return None;
        }
        let mut names: HashMap<&str, Span> = HashMap::new();
        let mut addresses: HashMap<Address, Span> = HashMap::new();
        let mut list = Vec::new();
        let mut sound = true;
        for statement in servers {
            let Some(inner) = self.reader("server", statement, true) else {
                sound = false;
                continue;
            };
            if list.len() == MOST_SERVERS {
                let message = format!("more than {MOST_SERVERS} servers in one pool");
                self.say(Diagnostic::error("too-many", inner.at.name, message));
                return None;
            }
            let word = &statement.words[1];
            if let Some(&first) = names.get(&*word.text) {
                self.say(twice("server", word, first));
                sound = false;
                continue;
            }
            names.insert(&word.text, word.span);
            let Some(server) = self.server(&inner, node) else {
                sound = false;
                continue;
            };
            let at = server.at.values["address"];
            if let Some(&first) = addresses.get(&server.address) {
                let message = format!("two servers of one pool at {}", server.address);
                self.say(Diagnostic::error("same-address", at, message).note(first, "the other is here"));
                sound = false;
            }
            addresses.insert(server.address.clone(), at);
            if let (Address::Unix(_), Some(Protocol::Http)) = (&server.address, protocol) {
                let message = "a socket of this machine is for pools with `protocol fastcgi`";
                self.say(Diagnostic::error("wrong-protocol", at, message));
                sound = false;
            }
            list.push(server);
        }
        sound.then_some(Members::Static(list))
    }

    fn server(&mut self, block: &Reader<'_>, node: &Node) -> Option<Server> {
        let address = self.required(block, "address", server_address);
        let zone = match self.value(block, "zone") {
            Ok(Some(word)) => self.zone(node, &word),
            // Without a word it is near: nothing is known to speak against it.
            Ok(None) => Some(node.zone),
            Err(()) => None,
        };
        let weight = self.parsed(block, "weight", 1.0, within(units::number, "0.001", "1000"));
        let cell = self.parsed(block, "cell", 0, small::<u16>);
        let (name, at) = (block.name.clone(), block.at.clone());
        Some(Server { name, address: address?, zone: zone?, weight: weight?, cell: cell?, at })
    }

    // ---- Classes and tenants --------------------------------------------------------------------

    pub(super) fn class(&mut self, block: &Reader<'_>) -> Option<Class> {
        let aim = self.required(block, "aim", within(units::time, "1ms", "10min"));
        let deadline = self.required(block, "deadline", within(units::time, "10ms", "10min"));
        if let (Some(aim), Some(deadline)) = (aim, deadline)
            && aim > deadline
        {
            let (aim, deadline) = (units::show_time(aim), units::show_time(deadline));
            let message = format!("the aim, {aim}, is over the deadline, {deadline}");
            let places = &block.at.values;
            let diagnostic = Diagnostic::error("aim-over-deadline", places["aim"], message);
            self.say(diagnostic.note(places["deadline"], "the deadline is here"));
        }
        let worth = self.parsed(block, "worth", 1.0, within(units::number, "0", "1000000"));
        let late_worth = self.parsed(block, "late-worth", 0.0, units::share);
        let repeats = self.repeats(block);
        let ordered = match self.value(block, "order") {
            Ok(Some(word)) => self.choice(&word, "is no order", &[("key", true), ("none", false)]),
            Ok(None) => Some(false),
            Err(()) => None,
        };
        Some(Class {
            name: block.name.clone(),
            aim: aim?,
            deadline: deadline?,
            worth: worth?,
            late_worth: late_worth?,
            repeats: repeats?,
            ordered: ordered?,
            at: block.at.clone(),
        })
    }

    fn repeats(&mut self, block: &Reader<'_>) -> Option<Repeats> {
        let Some(values) = self.values(block, "repeats").ok()? else {
            // Nothing to assume: the one guess may do harm, and the other does without retries.
            self.missing(block, "repeats");
            return None;
        };
        let kinds = [("safe", 0), ("unsafe", 1), ("keyed", 2)];
        let kind = self.choice(&values[0], "is none of `safe`, `keyed` and `unsafe`", &kinds)?;
        if kind == 2 {
            let words = self.phrase(block, "repeats", "keyed by HEADER within GROUP for SPAN").ok()??;
            let key = self.read(&words[0], header);
            let groups = [("pool", DedupScope::All), ("zone", DedupScope::Zone), ("cell", DedupScope::Cell)];
            let group = self.choice(&words[1], "is no group of servers", &groups);
            let window = self.read(&words[2], within(units::time, "1s", "30d"));
            return Some(Repeats::Keyed { header: key?, group: group?, window: window? });
        }
        if let Some(odd) = values.get(1) {
            let message = format!("`repeats {}` takes no more", values[0].text);
            self.say(Diagnostic::error("too-many-values", odd.span, message));
            return None;
        }
        Some(if kind == 0 { Repeats::Safe } else { Repeats::Unsafe })
    }

    pub(super) fn tenant(&mut self, block: &Reader<'_>) -> Option<Tenant> {
        let share = self.required(block, "share", units::share);
        let rate = self.required(block, "rate", units::rate);
        Some(Tenant { name: block.name.clone(), share: share?, rate: rate?, at: block.at.clone() })
    }

    // ---- Routes ---------------------------------------------------------------------------------

    pub(super) fn route(&mut self, block: &Reader<'_>, classes: &[Option<Class>]) -> Option<Route> {
        let host = self.parsed(block, "host", HostPattern::Any, |text| {
            text.parse().map_err(|fault| Fault {
                code: "bad-host",
                message: format!("`{text}` is no host: {fault}"),
                help: Some("write `example.org`, or `*.example.org` for all hosts under it".into()),
            })
        });
        let path = self.required(block, "path", |text| {
            text.parse().map_err(|fault| Fault {
                code: "bad-path",
                message: format!("`{text}` is no path: {fault}"),
                help: None,
            })
        });
        let headers = self.conditions(block);
        let class = self.used(block, "class");
        let pool = self.used(block, "pool");
        let written = self.methods(block);
        let tenant = self.tenant_of(block);
        let key = self.key_of(block);
        let (class, written) = (class?, written?);
        let safe = classes.get(class)?.as_ref().is_some_and(|class| class.repeats == Repeats::Safe);
        let methods = match written {
            // A class that says that repeats are harmless doesn't say it of every method.
            None if safe => Methods::Only(SAFE.to_vec()),
            None => Methods::Any,
            Some(list) => Methods::Only(list),
        };
        let pattern = Pattern { host: host?, path: path?, methods, headers: headers? };
        let (name, at) = (block.name.clone(), block.at.clone());
        Some(Route { name, pattern, class, pool: pool?, tenant: tenant?, key: key?, at })
    }

    fn used(&mut self, block: &Reader<'_>, kind: &'static str) -> Option<usize> {
        match self.value(block, kind).ok()? {
            Some(word) => self.place_of(kind, &word),
            None => {
                self.missing(block, kind);
                None
            }
        }
    }

    fn methods(&mut self, block: &Reader<'_>) -> Option<Option<Vec<Method>>> {
        let Some(words) = self.values(block, "method").ok()? else { return Some(None) };
        let known = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];
        let mut list = Vec::new();
        for word in &words {
            let Ok(method) = Method::from_bytes(word.text.as_bytes()) else {
                self.unknown(word, "is no method", known);
                return None;
            };
            if !known.contains(&&*word.text) {
                if matches!(&*word.text, "TRACE" | "CONNECT") {
                    let message = format!("{} is never passed on", word.text);
                    self.say(Diagnostic::error("unknown-word", word.span, message));
                    return None;
                }
                // Methods are told apart by case (RFC 9110 section 9.1): `get` is another one.
                let near = crate::diag::nearest(&word.text, known);
                if near.is_some() || *word.text != *word.text.to_uppercase() {
                    self.unknown(word, "is no known method", known);
                    return None;
                }
            }
            if list.contains(&method) {
                let message = format!("the method {} stands twice", word.text);
                self.say(Diagnostic::error("set-twice", word.span, message));
                return None;
            }
            list.push(method);
        }
        Some(Some(list))
    }

    fn conditions(&mut self, block: &Reader<'_>) -> Option<Vec<HeaderRule>> {
        let mut rules: Vec<HeaderRule> = Vec::new();
        let mut sound = true;
        for statement in block.blocks("header") {
            let Ok(words) = self.values_of(statement) else {
                sound = false;
                continue;
            };
            let (name, value) = match &words[..] {
                [name] => (name, None),
                [name, value] => (name, Some(value)),
                _ => {
                    let message = "`header` takes a name and at most one value";
                    let help = "quote a value that holds spaces";
                    self.say(Diagnostic::error("too-many-values", words[2].span, message).help(help));
                    sound = false;
                    continue;
                }
            };
            if let Some(value) =
                value.filter(|value| value.text.len() > LONGEST_VALUE || value.text.is_empty())
            {
                let message = format!("a value has 1 to {LONGEST_VALUE} bytes");
                self.say(Diagnostic::error("out-of-range", value.span, message));
                sound = false;
                continue;
            }
            let Some(name) = self.read(name, header) else {
                sound = false;
                continue;
            };
            let rule =
                HeaderRule { name: name.into(), value: value.map(|value| value.text.as_bytes().into()) };
            if rules.contains(&rule) {
                self.say(Diagnostic::error("set-twice", statement.span(), "the same condition stands twice"));
                sound = false;
            } else if rules.len() == MOST_CONDITIONS {
                let message = format!("more than {MOST_CONDITIONS} conditions on headers");
                self.say(Diagnostic::error("too-many", statement.span(), message));
                return None;
            }
            rules.push(rule);
        }
        // In one order, so that two routes with the same conditions are seen to be alike.
        rules.sort();
        sound.then_some(rules)
    }

    fn tenant_of(&mut self, block: &Reader<'_>) -> Option<TenantOf> {
        let Some(words) = self.values(block, "tenant").ok()? else { return Some(TenantOf::None) };
        match &words[..] {
            [name] => self.place_of("tenant", name).map(TenantOf::Fixed),
            [from, name] if *from.text == *"header" => self.read(name, header).map(TenantOf::Header),
            [first, ..] => {
                let span = words.iter().fold(first.span, |span, word| span.to(word.span));
                let help = "write `tenant NAME` or `tenant header FIELD`";
                let message = "`tenant` takes a name, or a header that holds one";
                self.say(Diagnostic::error("setting-form", span, message).help(help));
                None
            }
            [] => None,
        }
    }

    fn key_of(&mut self, block: &Reader<'_>) -> Option<KeyOf> {
        let Some(words) = self.values(block, "key").ok()? else { return Some(KeyOf::None) };
        let count = within(small::<usize>, "1", "64");
        match &words[..] {
            [one] if *one.text == *"last-segment" => Some(KeyOf::Last),
            [from, place] if *from.text == *"segment" => {
                self.read(place, count).map(|place| KeyOf::Segment(place - 1))
            }
            [from, name] if *from.text == *"header" => self.read(name, header).map(KeyOf::Header),
            [first, ..] => {
                debug_assert!(reference(first).is_none(), "constants are replaced by now");
                let span = words.iter().fold(first.span, |span, word| span.to(word.span));
                let message = "`key` says where the key of a request stands";
                self.say(Diagnostic::error("setting-form", span, message).help(KEY_FORM));
                None
            }
            [] => None,
        }
    }
}
