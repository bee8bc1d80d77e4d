//! Settings in the platform's format, as found in a node's configuration and in the simulator's first
//! message. Only this module maps their keys to the terms of the decision module. Unknown keys are ignored.

use serde::Deserialize;

use crate::{Class, DedupScope, Discovery, Idempotency, Nanos, Settings, SettingsError, Tenant, ZoneId};

/// Settings in the platform's format.
#[derive(Debug, Deserialize)]
#[serde(default)]
pub struct DeploymentSettings {
    /// Limits and permissions of the deployment.
    #[serde(rename = "ceilings")]
    pub limits: DeploymentLimits,
    /// The request classes.
    pub classes: Vec<ClassSettings>,
    #[serde(rename = "counted_by")]
    weight_unit: String,
    #[serde(rename = "me")]
    node_index: u32,
    #[serde(rename = "membership_mode")]
    discovery_mode: String,
    #[serde(rename = "my_zone")]
    zone: u16,
    #[serde(rename = "over_share_worth")]
    over_share_weight: f64,
    #[serde(rename = "prices")]
    costs: Costs,
    #[serde(rename = "quantum_ns")]
    tick_ns: Nanos,
    #[serde(rename = "replicas_of_me")]
    node_count: u32,
    rules: Rules,
    /// The tenants.
    pub tenants: Vec<TenantSettings>,
    #[serde(rename = "weights")]
    weight_mode: String,
    /// Names of the zones.
    pub zones: Vec<String>,
}

impl Default for DeploymentSettings {
    fn default() -> Self {
        Self {
            limits: DeploymentLimits::default(),
            classes: Vec::new(),
            weight_unit: "request".into(),
            node_index: 0,
            discovery_mode: "automatic".into(),
            zone: 0,
            over_share_weight: 1.0,
            costs: Costs::default(),
            tick_ns: 1_000_000,
            node_count: 1,
            rules: Rules::default(),
            tenants: Vec::new(),
            weight_mode: "off".into(),
            zones: Vec::new(),
        }
    }
}

/// Limits and permissions of the deployment, in the platform's format.
#[derive(Debug, Deserialize)]
#[serde(default)]
pub struct DeploymentLimits {
    #[serde(rename = "cancel")]
    cancellation: bool,
    /// Time after which endpoints close an idle connection.
    #[serde(rename = "conn_idle_ns")]
    pub connection_idle_timeout_ns: Nanos,
    /// Time after which a connection attempt has failed.
    #[serde(rename = "dial_timeout_ns")]
    pub connect_timeout_ns: Nanos,
    max_attempts: u32,
    /// Longest retry delay that clients honour.
    pub max_retry_after_ns: Nanos,
    /// Maximum number of open requests per node.
    #[serde(rename = "most_held")]
    pub max_open_requests: usize,
    #[serde(rename = "parallel_tries")]
    concurrent_attempts: bool,
    #[serde(rename = "peers")]
    load_reports: bool,
    retry_after: bool,
}

impl Default for DeploymentLimits {
    fn default() -> Self {
        Self {
            cancellation: false,
            connection_idle_timeout_ns: 15_000_000_000,
            connect_timeout_ns: 250_000_000,
            max_attempts: 1,
            max_retry_after_ns: 1_000_000_000,
            max_open_requests: 10_000,
            concurrent_attempts: false,
            load_reports: false,
            retry_after: false,
        }
    }
}

/// Costs as fractions of a request, in the platform's format.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Costs {
    #[serde(rename = "connection")]
    open_connection: f64,
    #[serde(rename = "cross_zone")]
    cross_zone_attempt: f64,
    #[serde(rename = "handshake")]
    new_connection: f64,
    #[serde(rename = "peer")]
    load_report: f64,
}

/// Rules of the platform, in its format.
#[derive(Debug, Deserialize)]
#[serde(default)]
struct Rules {
    #[serde(rename = "ask_every_ns")]
    poll_interval_ns: Nanos,
    #[serde(rename = "cold_from")]
    warmup_initial_fraction: f64,
    #[serde(rename = "cold_ns")]
    warmup_duration_ns: Nanos,
    #[serde(rename = "fall_multiple")]
    overload_multiple: f64,
    #[serde(rename = "fall_ns")]
    overload_duration_ns: Nanos,
    #[serde(rename = "full_unproven")]
    rejection_may_execute: bool,
    #[serde(rename = "hang_up_within_ns")]
    drain_idle_close_ns: Option<Nanos>,
    #[serde(rename = "order_settle_ns")]
    key_cooldown_ns: Nanos,
    #[serde(rename = "stop_sending_within_ns")]
    drain_grace_ns: Nanos,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            poll_interval_ns: 10_000_000_000,
            warmup_initial_fraction: 0.1,
            warmup_duration_ns: 30_000_000_000,
            overload_multiple: 2.0,
            overload_duration_ns: 2_000_000_000,
            rejection_may_execute: false,
            drain_idle_close_ns: None,
            key_cooldown_ns: 0,
            drain_grace_ns: 2_000_000_000,
        }
    }
}

/// A request class, in the platform's format.
#[derive(Debug, Deserialize)]
pub struct ClassSettings {
    #[serde(default, rename = "aim_stretch")]
    objective_per_work: f64,
    deadline_ns: Nanos,
    #[serde(default)]
    dedup_scope: Option<String>,
    #[serde(rename = "effect")]
    idempotency: String,
    #[serde(default, rename = "keep_order")]
    ordered_by_key: bool,
    #[serde(default, rename = "late_worth")]
    late_weight: f64,
    /// Its name.
    #[serde(default)]
    pub name: String,
    #[serde(rename = "target_ns")]
    latency_objective_ns: Nanos,
    #[serde(default, rename = "window_ns")]
    dedup_window_ns: Nanos,
    #[serde(default = "default_priority_weight", rename = "worth")]
    priority_weight: f64,
}

fn default_priority_weight() -> f64 {
    1.0
}

/// A tenant, in the platform's format.
#[derive(Debug, Deserialize)]
pub struct TenantSettings {
    #[serde(default)]
    allowance_per_s: f64,
    /// Its name.
    #[serde(default)]
    pub name: String,
    #[serde(default)]
    share: f64,
}

impl DeploymentSettings {
    /// Converts the settings to those of the decision module.
    ///
    /// # Errors
    /// If a value is unknown or out of range.
    pub fn settings(&self) -> Result<Settings, SettingsError> {
        let classes = self.classes.iter().map(ClassSettings::class).collect::<Result<_, _>>()?;
        let settings = Settings {
            node_index: self.node_index,
            node_count: self.node_count,
            zone: ZoneId(self.zone),
            zone_count: u16::try_from(self.zones.len()).map_err(|_| SettingsError::OutOfRange("zones"))?,
            classes,
            tenants: self.tenants.iter().map(TenantSettings::tenant).collect(),
            over_share_weight: self.over_share_weight,
            weight_by_work: self.weight_unit == "work",
            discovery: self.discovery()?,
            tick: self.tick_ns,
            max_attempts: self.limits.max_attempts,
            concurrent_attempts: self.limits.concurrent_attempts,
            cancellation: self.limits.cancellation,
            retry_after: self.limits.retry_after,
            max_retry_after: self.limits.max_retry_after_ns,
            connections_have_cost: self.costs.open_connection > 0.0 || self.costs.new_connection > 0.0,
            cross_zone_cost: self.costs.cross_zone_attempt,
            weight_is_capacity: matches!(self.weight_mode.as_str(), "nominal" | "rough"),
            load_reports: self.limits.load_reports,
            load_report_cost: self.costs.load_report,
            poll_interval: self.rules.poll_interval_ns,
            drain_grace: self.rules.drain_grace_ns,
            warmup_initial_fraction: self.rules.warmup_initial_fraction,
            warmup_duration: self.rules.warmup_duration_ns,
            overload_multiple: self.rules.overload_multiple,
            overload_duration: self.rules.overload_duration_ns,
            rejection_may_execute: self.rules.rejection_may_execute,
            key_cooldown: self.rules.key_cooldown_ns,
            drain_idle_close: self.rules.drain_idle_close_ns.filter(|&within| within > 0),
        };
        settings.check().map(|()| settings)
    }

    fn discovery(&self) -> Result<Discovery, SettingsError> {
        match self.discovery_mode.as_str() {
            "automatic" => Ok(Discovery::Push),
            "subscribe" => Ok(Discovery::Poll),
            _ => Err(SettingsError::OutOfRange("membership_mode")),
        }
    }
}

impl TenantSettings {
    fn tenant(&self) -> Tenant {
        Tenant { share: self.share, allowance_per_s: self.allowance_per_s }
    }
}

impl ClassSettings {
    fn class(&self) -> Result<Class, SettingsError> {
        Ok(Class {
            latency_objective: self.latency_objective_ns,
            objective_per_work: self.objective_per_work,
            deadline: self.deadline_ns,
            priority_weight: self.priority_weight,
            late_weight: self.late_weight,
            idempotency: self.idempotency()?,
            ordered_by_key: self.ordered_by_key,
        })
    }

    fn idempotency(&self) -> Result<Idempotency, SettingsError> {
        match self.idempotency.as_str() {
            "pure" => Ok(Idempotency::Idempotent),
            "token" => {
                let (scope, window) = (self.dedup_scope()?, self.dedup_window_ns);
                Ok(Idempotency::IdempotencyKey { scope, window })
            }
            "side_effect" => Ok(Idempotency::NotIdempotent),
            _ => Err(SettingsError::OutOfRange("effect")),
        }
    }

    fn dedup_scope(&self) -> Result<DedupScope, SettingsError> {
        match self.dedup_scope.as_deref() {
            Some("all") => Ok(DedupScope::All),
            Some("zone") => Ok(DedupScope::Zone),
            // The narrowest scope is the safe default.
            Some("cell") | None => Ok(DedupScope::Cell),
            Some(_) => Err(SettingsError::OutOfRange("dedup_scope")),
        }
    }
}
