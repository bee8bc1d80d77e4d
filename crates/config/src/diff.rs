//! What differs in meaning between two configurations. Comments, layout, files and the order of entries don't show;
//! the order of two routes does where a request fits both.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::fmt;

use pumicehead_policy::{DedupScope, Discovery};
use pumicehead_resources::{self as resources, Delta, ResourceId};
use pumicehead_route::Methods;

use crate::model::{
    Class, Config, Fleet, KeyOf, Limits, Listener, Members, Node, Observe, Places, Pool, Repeats, Route,
    Server, Tenant, TenantOf,
};
use crate::span::{Sources, Span};
use crate::units::{show_size, show_time};

/// Most names that a change lists as affected.
const MOST_NAMED: usize = 4;

/// A configuration as entries with values in one form.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Facts {
    entries: BTreeMap<(&'static str, String), Entry>,
}

#[derive(Clone, Debug, Default, PartialEq)]
struct Entry {
    at: Places,
    values: BTreeMap<&'static str, String>,
}

/// One difference.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The kind of entry.
    pub kind: &'static str,
    /// Its name; empty where there is only one.
    pub name: String,
    /// What became of it.
    pub what: What,
    /// Where it stands: in the new configuration, or in the old one where it is gone.
    pub place: Span,
    /// Other entries that it has to do with.
    pub affects: Vec<String>,
}

/// What became of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum What {
    /// New.
    Added,
    /// Gone.
    Removed,
    /// A setting has another value.
    Changed {
        /// Which.
        setting: &'static str,
        /// Before.
        old: String,
        /// Now.
        new: String,
    },
    /// A route comes before another now that it came after, and requests fit both.
    Moved {
        /// The other.
        before: String,
    },
}

/// The values of a configuration, those that are not written included.
#[must_use]
pub fn facts(config: &Config) -> Facts {
    facts_of(config, &|_, _| true)
}

/// The values of the entries that are wanted, by kind and name.
fn facts_of(config: &Config, wanted: &dyn Fn(&'static str, &str) -> bool) -> Facts {
    let mut facts = Facts::default();
    let Config { node, listeners, pools, classes, tenants, routes, limits, observe, fleet } = config;
    let mut add = |kind, name: &str, at: &Places, values: Vec<(&'static str, String)>| {
        let entry = Entry { at: at.clone(), values: values.into_iter().collect() };
        facts.entries.insert((kind, name.to_owned()), entry);
    };
    let Node { name, zones, zone, nodes, number, at } = node;
    let values = vec![
        ("name", name.clone()),
        ("zones", zones.join(" ")),
        ("zone", zones[*zone].clone()),
        ("nodes", nodes.to_string()),
        ("number", number.to_string()),
    ];
    add("node", "", at, values);
    for Listener { name, address, protocol, at } in
        listeners.iter().filter(|one| wanted("listener", &one.name))
    {
        let values = vec![("address", address.to_string()), ("protocol", protocol.name().into())];
        add("listener", name, at, values);
    }
    for pool in pools {
        let Pool { name, members, protocol, script, root, warm_up, cold_from, tips_at, tips_within, .. } =
            pool;
        let Pool { connect_timeout, idle, attempts, hedge, crossing, at, .. } = pool;
        let mut values = vec![
            ("protocol", protocol.name().into()),
            ("script", script.clone()),
            ("root", root.clone()),
            ("warm-up", format!("{} from {}", show_time(*warm_up), percent(*cold_from))),
            ("tips-over", format!("{tips_at} within {}", show_time(*tips_within))),
            ("connect-timeout", show_time(*connect_timeout)),
            ("idle", show_time(*idle)),
            ("attempts", attempts.to_string()),
            ("hedge", if *hedge { "on" } else { "off" }.into()),
            ("crossing-price", percent(*crossing)),
        ];
        match members {
            Members::Static(servers) => {
                for Server { name: server, address, zone, weight, cell, at } in servers {
                    let key = server_key(server, name);
                    if !wanted("server", &key) {
                        continue;
                    }
                    let values = vec![
                        ("address", address.to_string()),
                        ("zone", zones[*zone].clone()),
                        ("weight", weight.to_string()),
                        ("cell", cell.to_string()),
                    ];
                    add("server", &key, at, values);
                }
            }
            Members::Discovery { address, mode } => {
                let mode = match mode {
                    Discovery::Poll => "watch",
                    Discovery::Push => "agent",
                };
                values.push(("discovery", format!("{mode} {address}")));
            }
        }
        if wanted("pool", name) {
            add("pool", name, at, values);
        }
    }
    for Class { name, aim, deadline, worth, late_worth, repeats, ordered, at } in
        classes.iter().filter(|one| wanted("class", &one.name))
    {
        let values = vec![
            ("aim", show_time(*aim)),
            ("deadline", show_time(*deadline)),
            ("worth", worth.to_string()),
            ("late-worth", percent(*late_worth)),
            ("repeats", show_repeats(repeats)),
            ("order", if *ordered { "key" } else { "none" }.into()),
        ];
        add("class", name, at, values);
    }
    for Tenant { name, share, rate, at } in tenants.iter().filter(|one| wanted("tenant", &one.name)) {
        add("tenant", name, at, vec![("share", percent(*share)), ("rate", format!("{rate}/s"))]);
    }
    for Route { name, pattern, class, pool, tenant, key, at } in
        routes.iter().filter(|one| wanted("route", &one.name))
    {
        let methods = match &pattern.methods {
            Methods::Any => "any".into(),
            Methods::Only(list) => {
                let mut names: Vec<_> = list.iter().map(|method| method.as_str()).collect();
                names.sort_unstable();
                names.join(" ")
            }
        };
        let headers = pattern.headers.iter().map(|rule| match &rule.value {
            None => rule.name.to_string(),
            Some(value) => format!("{} \"{}\"", rule.name, String::from_utf8_lossy(value)),
        });
        let values = vec![
            ("host", pattern.host.to_string()),
            ("path", pattern.path.to_string()),
            ("method", methods),
            ("header", headers.collect::<Vec<_>>().join(", ")),
            ("class", classes[*class].name.clone()),
            ("pool", pools[*pool].name.clone()),
            (
                "tenant",
                match tenant {
                    TenantOf::None => "none".into(),
                    TenantOf::Fixed(place) => tenants[*place].name.clone(),
                    TenantOf::Header(name) => format!("header {name}"),
                },
            ),
            (
                "key",
                match key {
                    KeyOf::None => "none".into(),
                    KeyOf::Segment(place) => format!("segment {}", place + 1),
                    KeyOf::Last => "last-segment".into(),
                    KeyOf::Header(name) => format!("header {name}"),
                },
            ),
        ];
        add("route", name, at, values);
    }
    let Limits { memory, descriptors, held, request_body, answer_body, request_time, idle, retry_after, at } =
        limits;
    let values = vec![
        ("memory", show_size(*memory)),
        ("descriptors", descriptors.to_string()),
        ("held", held.to_string()),
        ("request-body", show_size(*request_body)),
        ("answer-body", show_size(*answer_body)),
        ("request-time", show_time(*request_time)),
        ("idle", show_time(*idle)),
        ("retry-after", show_time(*retry_after)),
    ];
    add("limits", "", at, values);
    let Observe { calls, log, json, recorder, recordings, at } = observe;
    let values = vec![
        ("calls", calls.map_or("none".into(), |address| address.to_string())),
        ("log", log.clone()),
        ("log-form", if *json { "json" } else { "text" }.into()),
        ("recorder", if *recorder == 0 { "off".into() } else { show_size(*recorder) }),
        ("recordings", recordings.display().to_string()),
    ];
    add("observe", "", at, values);
    if let Some(Fleet { name, address, told_as, seeds, reach, at }) = fleet {
        let reach = reach.iter().map(|(name, address)| format!("{name} {address}")).collect::<Vec<_>>();
        let seeds = seeds.iter().map(ToString::to_string).collect::<Vec<_>>();
        let values = vec![
            ("name", name.clone()),
            ("address", address.to_string()),
            ("told-as", told_as.unwrap_or(*address).to_string()),
            ("seeds", seeds.join(" ")),
            ("reach", reach.join(", ")),
        ];
        add("fleet", "", at, values);
    }
    facts
}

fn percent(share: f64) -> String {
    // Shares are written in decimals, and 0.29 * 100.0 is not 29.
    let text = format!("{:.7}", share * 100.0);
    format!("{}%", text.trim_end_matches('0').trim_end_matches('.'))
}

fn show_repeats(repeats: &Repeats) -> String {
    match repeats {
        Repeats::Safe => "safe".into(),
        Repeats::Unsafe => "unsafe".into(),
        Repeats::Keyed { header, group, window } => {
            let group = match group {
                DedupScope::All => "pool",
                DedupScope::Zone => "zone",
                DedupScope::Cell => "cell",
            };
            format!("keyed by {header} within {group} for {}", show_time(*window))
        }
    }
}

impl Facts {
    /// The same without places: what two texts of one meaning share.
    #[must_use]
    pub fn without_places(mut self) -> Self {
        self.entries.values_mut().for_each(|entry| entry.at = Places::default());
        self
    }
}

/// What a server is called among the servers of all pools.
fn server_key(server: &str, pool: &str) -> String {
    format!("{server} of pool {pool}")
}

/// What differs, by kind and name.
#[must_use]
pub fn diff(old: &Config, new: &Config) -> Vec<Change> {
    match (old.snapshot(), new.snapshot()) {
        (Ok(before), Ok(after)) => diff_by(old, new, &before.difference(&after)),
        _ => diff_of(old, new, &|_, _| true),
    }
}

/// The same where the difference of the tables is known: only what it names is worded and compared, so that it costs no
/// more than the change.
#[must_use]
pub fn diff_by(old: &Config, new: &Config, delta: &Delta) -> Vec<Change> {
    let named: HashSet<_> = delta.changes.iter().filter_map(entry_of).collect();
    diff_of(old, new, &|kind, name| named.contains(&(kind, name.to_owned())))
}

/// Kind and name of the entry that a change is about; none where it is about the node or an order.
fn entry_of(change: &resources::Change) -> Option<(&'static str, String)> {
    let id = match change {
        resources::Change::Set(resource) => resource.id(),
        resources::Change::Remove(id) => id.clone(),
        resources::Change::Place { .. } => return None,
    };
    Some(match id {
        ResourceId::Node => return None,
        ResourceId::Listener(name) => ("listener", name.to_string()),
        ResourceId::Pool(name) => ("pool", name.to_string()),
        ResourceId::Backend { pool, name } => ("server", server_key(&name, &pool)),
        ResourceId::Class(name) => ("class", name.to_string()),
        ResourceId::Tenant(name) => ("tenant", name.to_string()),
        ResourceId::Route(name) => ("route", name.to_string()),
    })
}

fn diff_of(old: &Config, new: &Config, wanted: &dyn Fn(&'static str, &str) -> bool) -> Vec<Change> {
    let (before, after) = (facts_of(old, wanted).entries, facts_of(new, wanted).entries);
    let keys: BTreeSet<_> = before.keys().chain(after.keys()).collect();
    let mut changes = Vec::new();
    for key in keys {
        let (kind, name) = key;
        let mut push = |what, place, config| {
            let affects = affected(kind, name, config);
            changes.push(Change { kind, name: name.clone(), what, place, affects });
        };
        match (before.get(key), after.get(key)) {
            (None, Some(entry)) => push(What::Added, entry.at.name, new),
            (Some(entry), None) => push(What::Removed, entry.at.name, old),
            (Some(one), Some(other)) => {
                let settings: BTreeSet<_> = one.values.keys().chain(other.values.keys()).collect();
                for setting in settings {
                    let show =
                        |entry: &Entry| entry.values.get(setting).cloned().unwrap_or_else(|| "none".into());
                    let (old, now) = (show(one), show(other));
                    if old != now {
                        let place = other.at.values.get(setting).copied().unwrap_or(other.at.name);
                        push(What::Changed { setting, old, new: now }, place, new);
                    }
                }
            }
            (None, None) => {}
        }
    }
    moved(old, new, &mut changes);
    changes
}

/// Entries that lead to one that changed.
fn affected(kind: &str, name: &str, config: &Config) -> Vec<String> {
    let routes = |uses: &dyn Fn(&Route) -> bool| {
        config
            .routes
            .iter()
            .filter(|route| uses(route))
            .map(|route| format!("route {}", route.name))
            .collect()
    };
    match kind {
        "class" => routes(&|route| config.classes[route.class].name == name),
        "pool" => routes(&|route| config.pools[route.pool].name == name),
        "server" => {
            let pool = name.rsplit(' ').next().unwrap_or_default();
            routes(&|route| config.pools[route.pool].name == pool)
        }
        "tenant" => routes(&|route| match &route.tenant {
            TenantOf::Fixed(place) => config.tenants[*place].name == name,
            TenantOf::Header(_) => true,
            TenantOf::None => false,
        }),
        "route" => {
            let route = config.routes.iter().find(|route| route.name == name);
            let named = |route: &Route| {
                let (class, pool) = (&config.classes[route.class].name, &config.pools[route.pool].name);
                vec![format!("class {class}"), format!("pool {pool}")]
            };
            route.map(named).unwrap_or_default()
        }
        _ => Vec::new(),
    }
}

/// Routes whose order changed and that a request may both fit. Looked at is only what lies between the old and the
/// new place of a route that moved.
fn moved(old: &Config, new: &Config, changes: &mut Vec<Change>) {
    let was: HashMap<_, _> =
        old.routes.iter().enumerate().map(|(n, route)| (route.name.as_str(), n)).collect();
    let common: Vec<_> =
        new.routes.iter().filter_map(|route| Some((*was.get(route.name.as_str())?, route))).collect();
    // A route is out of order where one before it came later in the old order.
    let mut latest = 0;
    for (at, (place, route)) in common.iter().enumerate() {
        if *place < latest {
            let overtook = common[..at].iter().filter(|(other, _)| other > place);
            let overlapping = overtook.filter(|(_, other)| other.pattern.overlaps(&route.pattern));
            for (_, other) in overlapping {
                changes.push(Change {
                    kind: "route",
                    name: other.name.clone(),
                    what: What::Moved { before: route.name.clone() },
                    place: other.at.name,
                    affects: Vec::new(),
                });
            }
        }
        latest = latest.max(*place);
    }
}

/// A change as a line, with the place in the file.
pub struct Shown<'a> {
    /// The change.
    pub change: &'a Change,
    /// The texts of the configuration that its place is in.
    pub sources: &'a Sources,
}

impl fmt::Display for Shown<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Change { kind, name, what, place, affects } = self.change;
        f.write_str(kind)?;
        if !name.is_empty() {
            write!(f, " {name}")?;
        }
        match what {
            What::Added => f.write_str(": added")?,
            What::Removed => f.write_str(": removed")?,
            What::Changed { setting, old, new } => write!(f, ": {setting} {old} -> {new}")?,
            What::Moved { before } => write!(f, ": now before route {before}, and requests fit both")?,
        }
        if *place != Span::default() {
            write!(f, " ({})", self.sources.line(*place))?;
        }
        if !affects.is_empty() {
            let shown = affects.iter().take(MOST_NAMED).cloned().collect::<Vec<_>>().join(", ");
            write!(f, "; affects {shown}")?;
            if affects.len() > MOST_NAMED {
                write!(f, " and {} more", affects.len() - MOST_NAMED)?;
            }
        }
        Ok(())
    }
}
