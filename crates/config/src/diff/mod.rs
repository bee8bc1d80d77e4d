//! The semantic difference between two configurations. Comments, layout, files and the order of entries are
//! ignored, except for the order of two routes that can match the same request.

mod display;
mod effective_settings;

use std::collections::{BTreeSet, HashMap, HashSet};

use pumicehead_resources::{self as resources, Delta, ResourceId};

use crate::model::{Config, Route, TenantSource};
use crate::span::Span;

pub use display::DisplayChange;
use effective_settings::{EffectiveEntry, EntryKey, endpoint_entry_name, selected_settings};
pub use effective_settings::{EffectiveSettings, effective_settings};

/// One difference.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Kind of the entry.
    pub entry_kind: &'static str,
    /// Name of the entry; empty for a kind with only one entry.
    pub entry_name: String,
    /// What changed.
    pub kind: ChangeKind,
    /// Position in the new configuration, or in the old one if the entry was removed.
    pub span: Span,
    /// Other entries that the change affects.
    pub affects: Vec<String>,
}

/// What changed about an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeKind {
    /// The entry is new.
    Added,
    /// The entry was removed.
    Removed,
    /// A setting has another value.
    Changed {
        /// Keyword of the setting.
        setting: &'static str,
        /// Old value.
        old: String,
        /// New value.
        new: String,
    },
    /// A route is now before another one that it was after, and a request can match both.
    Moved {
        /// Name of the other route.
        before: String,
    },
}

/// Returns all differences, by kind and name.
#[must_use]
pub fn diff(old: &Config, new: &Config) -> Vec<Change> {
    match (old.snapshot(), new.snapshot()) {
        (Ok(before), Ok(after)) => diff_with_delta(old, new, &before.difference(&after)),
        _ => diff_selected(old, new, &|_, _| true),
    }
}

/// Returns all differences, given the difference of the snapshots. Only entries that the delta changes are
/// compared, so the cost depends on the size of the change.
#[must_use]
pub fn diff_with_delta(old: &Config, new: &Config, delta: &Delta) -> Vec<Change> {
    let changed: HashSet<_> = delta.changes.iter().filter_map(entry_key).collect();
    diff_selected(old, new, &|kind, name| changed.contains(&(kind, name.to_owned())))
}

/// Kind and name of the entry that a change is about; `None` for the node and for moves of routes.
fn entry_key(change: &resources::Change) -> Option<EntryKey> {
    let id = match change {
        resources::Change::Set(resource) => resource.id(),
        resources::Change::Remove(id) => id.clone(),
        resources::Change::MoveRoute { .. } => return None,
    };
    Some(match id {
        ResourceId::Node => return None,
        ResourceId::Listener(name) => ("listener", name.to_string()),
        ResourceId::Pool(name) => ("pool", name.to_string()),
        ResourceId::Endpoint { pool, name } => ("server", endpoint_entry_name(&name, &pool)),
        ResourceId::Class(name) => ("class", name.to_string()),
        ResourceId::Tenant(name) => ("tenant", name.to_string()),
        ResourceId::Route(name) => ("route", name.to_string()),
    })
}

fn diff_selected(
    old: &Config,
    new: &Config,
    is_selected: &dyn Fn(&'static str, &str) -> bool,
) -> Vec<Change> {
    let before = selected_settings(old, is_selected).entries;
    let after = selected_settings(new, is_selected).entries;
    let keys: BTreeSet<_> = before.keys().chain(after.keys()).collect();
    let mut changes = Vec::new();
    for key in keys {
        match (before.get(key), after.get(key)) {
            (None, Some(entry)) => changes.push(change(key, ChangeKind::Added, entry.spans.name, new)),
            (Some(entry), None) => changes.push(change(key, ChangeKind::Removed, entry.spans.name, old)),
            (Some(old_entry), Some(new_entry)) => diff_entry(key, old_entry, new_entry, new, &mut changes),
            (None, None) => {}
        }
    }
    diff_route_order(old, new, &mut changes);
    changes
}

/// A change of an entry, with the entries that it affects in `config`.
fn change((entry_kind, entry_name): &EntryKey, kind: ChangeKind, span: Span, config: &Config) -> Change {
    let affects = affected_entries(entry_kind, entry_name, config);
    Change { entry_kind, entry_name: entry_name.clone(), kind, span, affects }
}

/// Appends the settings of an entry whose values differ.
fn diff_entry(
    key: &EntryKey,
    old_entry: &EffectiveEntry,
    new_entry: &EffectiveEntry,
    new: &Config,
    changes: &mut Vec<Change>,
) {
    let keywords: BTreeSet<_> = old_entry.settings.keys().chain(new_entry.settings.keys()).collect();
    for setting in keywords {
        let value =
            |entry: &EffectiveEntry| entry.settings.get(setting).cloned().unwrap_or_else(|| "none".into());
        let (old_value, new_value) = (value(old_entry), value(new_entry));
        if old_value != new_value {
            let span = new_entry.spans.settings.get(setting).copied().unwrap_or(new_entry.spans.name);
            let kind = ChangeKind::Changed { setting, old: old_value, new: new_value };
            changes.push(change(key, kind, span, new));
        }
    }
}

/// The routes that use or may use a changed entry; for a changed route, the class and the pool that it uses.
fn affected_entries(kind: &str, name: &str, config: &Config) -> Vec<String> {
    let routes = |is_affected: &dyn Fn(&Route) -> bool| {
        let affected = config.routes.iter().filter(|route| is_affected(route));
        affected.map(|route| format!("route {}", route.name)).collect()
    };
    match kind {
        "class" => routes(&|route| config.classes[route.class].name == name),
        "pool" => routes(&|route| config.pools[route.pool].name == name),
        "server" => {
            let pool = name.rsplit(' ').next().unwrap_or_default();
            routes(&|route| config.pools[route.pool].name == pool)
        }
        "tenant" => routes(&|route| match &route.tenant {
            TenantSource::Fixed(index) => config.tenants[*index].name == name,
            TenantSource::Header(_) => true,
            TenantSource::None => false,
        }),
        "route" => {
            let route = config.routes.iter().find(|route| route.name == name);
            let class_and_pool = |route: &Route| {
                let (class, pool) = (&config.classes[route.class].name, &config.pools[route.pool].name);
                vec![format!("class {class}"), format!("pool {pool}")]
            };
            route.map(class_and_pool).unwrap_or_default()
        }
        _ => Vec::new(),
    }
}

/// Appends the pairs of routes whose order changed and that can match the same request. A route is compared
/// only with those that moved from after it to before it.
fn diff_route_order(old: &Config, new: &Config, changes: &mut Vec<Change>) {
    let old_positions: HashMap<_, _> =
        old.routes.iter().enumerate().map(|(index, route)| (route.name.as_str(), index)).collect();
    let old_position = |route: &Route| old_positions.get(route.name.as_str()).copied();
    let common: Vec<_> = new.routes.iter().filter_map(|route| Some((old_position(route)?, route))).collect();
    // A route was overtaken if an earlier one had a later position in the old order.
    let mut latest = 0;
    for (index, (position, route)) in common.iter().enumerate() {
        if *position < latest {
            let overtaking = common[..index].iter().filter(|(other, _)| other > position);
            let overlapping = overtaking.filter(|(_, other)| other.pattern.overlaps(&route.pattern));
            changes.extend(overlapping.map(|(_, other)| Change {
                entry_kind: "route",
                entry_name: other.name.clone(),
                kind: ChangeKind::Moved { before: route.name.clone() },
                span: other.spans.name,
                affects: Vec::new(),
            }));
        }
        latest = latest.max(*position);
    }
}
