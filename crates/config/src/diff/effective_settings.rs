//! All settings of a configuration in a normalized notation, including defaults.

use std::collections::BTreeMap;

use pumicehead_route::{HeaderRule, Methods};

use crate::keywords::{
    DEDUP_SCOPES, DISCOVERY_MODES, LOG_FORMS, ON_OFF_VALUES, ORDER_VALUES, PROTOCOL_VALUES, keyword,
};
use crate::model::{
    Class, ClassSettings, Cluster, Config, Endpoint, EntrySpans, Idempotency, KeySource, Limits, Listener,
    Node, Observability, Pool, PoolEndpoints, PoolSettings, Route, Spanned, Tenant, TenantSource,
};
use crate::units::{format_duration, format_size};

/// Kind and name of an entry; the name is empty for a kind with only one entry.
pub(super) type EntryKey = (&'static str, String);
/// Settings of an entry by keyword, in the notation of the configuration language.
type Settings = Vec<(&'static str, String)>;

/// All settings of a configuration, by entry.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EffectiveSettings {
    pub(super) entries: BTreeMap<EntryKey, EffectiveEntry>,
}

/// The settings of one entry.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct EffectiveEntry {
    pub spans: EntrySpans,
    pub settings: BTreeMap<&'static str, String>,
}

impl EffectiveSettings {
    /// Removes the spans. The results are equal for two texts with the same meaning.
    #[must_use]
    pub fn without_spans(mut self) -> Self {
        self.entries.values_mut().for_each(|entry| entry.spans = EntrySpans::default());
        self
    }
}

/// All settings of a configuration.
#[must_use]
pub fn effective_settings(config: &Config) -> EffectiveSettings {
    selected_settings(config, &|_, _| true)
}

/// The settings of the entries whose kind and name `is_selected` accepts. Entries of kinds with only one
/// entry are always included.
pub(super) fn selected_settings(
    config: &Config,
    is_selected: &dyn Fn(&'static str, &str) -> bool,
) -> EffectiveSettings {
    let mut collector = Collector { config, is_selected, found: EffectiveSettings::default() };
    collector.add("node", "", &config.node.spans, node(&config.node));
    config.listeners.iter().for_each(|listener| collector.listener(listener));
    config.pools.iter().for_each(|pool| collector.pool(pool));
    config.classes.iter().for_each(|class| collector.class(class));
    config.tenants.iter().for_each(|tenant| collector.tenant(tenant));
    config.routes.iter().for_each(|route| collector.route(route));
    collector.add("limits", "", &config.limits.spans, limits(&config.limits));
    collector.add("observe", "", &config.observability.spans, observability(&config.observability));
    if let Some(Spanned { value, spans }) = &config.cluster {
        collector.add("fleet", "", spans, cluster(value));
    }
    collector.found
}

/// The name of an endpoint among the endpoints of all pools.
pub(super) fn endpoint_entry_name(endpoint: &str, pool: &str) -> String {
    format!("{endpoint} of pool {pool}")
}

struct Collector<'a> {
    config: &'a Config,
    is_selected: &'a dyn Fn(&'static str, &str) -> bool,
    found: EffectiveSettings,
}

impl Collector<'_> {
    fn add(&mut self, kind: &'static str, name: &str, spans: &EntrySpans, settings: Settings) {
        let entry = EffectiveEntry { spans: spans.clone(), settings: settings.into_iter().collect() };
        self.found.entries.insert((kind, name.to_owned()), entry);
    }

    fn listener(&mut self, listener: &Listener) {
        let Listener { name, address, protocol, spans } = listener;
        if (self.is_selected)("listener", name) {
            let protocol = keyword(&PROTOCOL_VALUES, protocol).into();
            self.add("listener", name, spans, vec![("address", address.to_string()), ("protocol", protocol)]);
        }
    }

    fn pool(&mut self, pool: &Pool) {
        let Pool { name, endpoints, settings, spans } = pool;
        endpoints.listed().iter().for_each(|endpoint| self.endpoint(endpoint, name));
        if (self.is_selected)("pool", name) {
            self.add("pool", name, spans, pool_settings(settings, endpoints));
        }
    }

    fn endpoint(&mut self, endpoint: &Endpoint, pool: &str) {
        let Endpoint { name, address, zone, weight, cell, spans } = endpoint;
        let name = endpoint_entry_name(name, pool);
        if (self.is_selected)("server", &name) {
            let settings = vec![
                ("address", address.to_string()),
                ("zone", self.config.node.zones[*zone].clone()),
                ("weight", weight.to_string()),
                ("cell", cell.to_string()),
            ];
            self.add("server", &name, spans, settings);
        }
    }

    fn class(&mut self, class: &Class) {
        let Class { name, settings, spans } = class;
        if (self.is_selected)("class", name) {
            self.add("class", name, spans, class_settings(settings));
        }
    }

    fn tenant(&mut self, tenant: &Tenant) {
        let Tenant { name, share, allowance_per_s, spans } = tenant;
        if (self.is_selected)("tenant", name) {
            let rate = format!("{allowance_per_s}/s");
            self.add("tenant", name, spans, vec![("share", format_share(*share)), ("rate", rate)]);
        }
    }

    fn route(&mut self, route: &Route) {
        let Route { name, pattern, class, pool, tenant, key, spans } = route;
        if !(self.is_selected)("route", name) {
            return;
        }
        let Config { classes, pools, tenants, .. } = self.config;
        let headers: Vec<_> = pattern.headers.iter().map(format_header_rule).collect();
        let settings = vec![
            ("host", pattern.host.to_string()),
            ("path", pattern.path.to_string()),
            ("method", format_methods(&pattern.methods)),
            ("header", headers.join(", ")),
            ("class", classes[*class].name.clone()),
            ("pool", pools[*pool].name.clone()),
            ("tenant", format_tenant_source(tenant, tenants)),
            ("key", format_key_source(key)),
        ];
        self.add("route", name, spans, settings);
    }
}

fn node(node: &Node) -> Settings {
    let Node { name, zones, zone, node_count, node_index, spans: _ } = node;
    vec![
        ("name", name.clone()),
        ("zones", zones.join(" ")),
        ("zone", zones[*zone].clone()),
        ("nodes", node_count.to_string()),
        ("number", node_index.to_string()),
    ]
}

fn pool_settings(settings: &PoolSettings, endpoints: &PoolEndpoints) -> Settings {
    let PoolSettings { protocol, script_name, document_root, .. } = settings;
    let PoolSettings { warmup_duration, warmup_initial_fraction, .. } = settings;
    let PoolSettings { overload_multiple, overload_duration, .. } = settings;
    let PoolSettings { connect_timeout, idle_timeout, max_attempts, .. } = settings;
    let PoolSettings { concurrent_attempts, cross_zone_cost, .. } = settings;
    let warmup =
        format!("{} from {}", format_duration(*warmup_duration), format_share(*warmup_initial_fraction));
    let overload = format!("{overload_multiple} within {}", format_duration(*overload_duration));
    let mut settings = vec![
        ("protocol", keyword(&PROTOCOL_VALUES, protocol).into()),
        ("script", script_name.clone()),
        ("root", document_root.clone()),
        ("warm-up", warmup),
        ("tips-over", overload),
        ("connect-timeout", format_duration(*connect_timeout)),
        ("idle", format_duration(*idle_timeout)),
        ("attempts", max_attempts.to_string()),
        ("hedge", keyword(&ON_OFF_VALUES, concurrent_attempts).into()),
        ("crossing-price", format_share(*cross_zone_cost)),
    ];
    if let PoolEndpoints::Discovered { address, mode } = endpoints {
        settings.push(("discovery", format!("{} {address}", keyword(&DISCOVERY_MODES, mode))));
    }
    settings
}

fn class_settings(settings: &ClassSettings) -> Settings {
    let ClassSettings { latency_objective, deadline, priority_weight, .. } = settings;
    let ClassSettings { late_weight, idempotency, ordered_by_key, .. } = settings;
    vec![
        ("aim", format_duration(*latency_objective)),
        ("deadline", format_duration(*deadline)),
        ("worth", priority_weight.to_string()),
        ("late-worth", format_share(*late_weight)),
        ("repeats", format_idempotency(idempotency)),
        ("order", keyword(&ORDER_VALUES, ordered_by_key).into()),
    ]
}

fn limits(limits: &Limits) -> Settings {
    let Limits { memory_bytes, max_descriptors, max_active_requests, .. } = limits;
    let Limits { max_request_body_bytes, max_response_body_bytes, .. } = limits;
    let Limits { request_timeout, idle_timeout, max_retry_after, .. } = limits;
    vec![
        ("memory", format_size(*memory_bytes)),
        ("descriptors", max_descriptors.to_string()),
        ("held", max_active_requests.to_string()),
        ("request-body", format_size(*max_request_body_bytes)),
        ("answer-body", format_size(*max_response_body_bytes)),
        ("request-time", format_duration(*request_timeout)),
        ("idle", format_duration(*idle_timeout)),
        ("retry-after", format_duration(*max_retry_after)),
    ]
}

fn observability(observability: &Observability) -> Settings {
    let Observability { admin_address, log_filter, log_json, recorder_bytes, recording_directory } =
        observability;
    let recorder = if *recorder_bytes == 0 { "off".into() } else { format_size(*recorder_bytes) };
    vec![
        ("calls", admin_address.map_or("none".into(), |address| address.to_string())),
        ("log", log_filter.clone()),
        ("log-form", keyword(&LOG_FORMS, log_json).into()),
        ("recorder", recorder),
        ("recordings", recording_directory.display().to_string()),
    ]
}

fn cluster(cluster: &Cluster) -> Settings {
    let Cluster { name, bind_address, advertise_address, seeds, peer_addresses } = cluster;
    let peers: Vec<_> = peer_addresses.iter().map(|(name, address)| format!("{name} {address}")).collect();
    let seeds: Vec<_> = seeds.iter().map(ToString::to_string).collect();
    vec![
        ("name", name.clone()),
        ("address", bind_address.to_string()),
        ("told-as", advertise_address.unwrap_or(*bind_address).to_string()),
        ("seeds", seeds.join(" ")),
        ("reach", peers.join(", ")),
    ]
}

fn format_share(share: f64) -> String {
    // Rounded, because shares are given as decimals and `0.29 * 100.0` is not 29.
    let text = format!("{:.7}", share * 100.0);
    format!("{}%", text.trim_end_matches('0').trim_end_matches('.'))
}

fn format_idempotency(idempotency: &Idempotency) -> String {
    match idempotency {
        Idempotency::Idempotent => "safe".into(),
        Idempotency::NotIdempotent => "unsafe".into(),
        Idempotency::IdempotencyKey { header, scope, window } => {
            let scope = keyword(&DEDUP_SCOPES, scope);
            format!("keyed by {header} within {scope} for {}", format_duration(*window))
        }
    }
}

fn format_methods(methods: &Methods) -> String {
    match methods {
        Methods::Any => "any".into(),
        Methods::Only(list) => {
            let mut names: Vec<_> = list.iter().map(|method| method.as_str()).collect();
            names.sort_unstable();
            names.join(" ")
        }
    }
}

fn format_header_rule(rule: &HeaderRule) -> String {
    match &rule.value {
        None => rule.name.to_string(),
        Some(value) => format!("{} \"{}\"", rule.name, String::from_utf8_lossy(value)),
    }
}

fn format_tenant_source(source: &TenantSource, tenants: &[Tenant]) -> String {
    match source {
        TenantSource::None => "none".into(),
        TenantSource::Fixed(index) => tenants[*index].name.clone(),
        TenantSource::Header(name) => format!("header {name}"),
    }
}

fn format_key_source(source: &KeySource) -> String {
    match source {
        KeySource::None => "none".into(),
        KeySource::Segment(index) => format!("segment {}", index + 1),
        KeySource::Last => "last-segment".into(),
        KeySource::Header(name) => format!("header {name}"),
    }
}
