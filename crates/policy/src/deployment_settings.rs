//! The settings text, as the simulator's first message and a node's configuration hold it: the one parser of
//! both. Unknown keys are skipped.

use serde::Deserialize;

use crate::{Class, DedupScope, Discovery, Idempotency, Nanos, Settings, SettingsError, Tenant, ZoneId};

/// Settings as they are written; unknown keys are ignored.
#[derive(Debug, Deserialize)]
#[serde(default)]
pub struct Boot {
    /// What the site permits.
    pub ceilings: Ceilings,
    /// The classes of requests.
    pub classes: Vec<BootClass>,
    counted_by: String,
    me: u32,
    membership_mode: String,
    my_zone: u16,
    over_share_worth: f64,
    prices: Prices,
    quantum_ns: Nanos,
    replicas_of_me: u32,
    rules: Rules,
    /// The tenants.
    pub tenants: Vec<BootTenant>,
    weights: String,
    /// The zones, by name.
    pub zones: Vec<String>,
}

impl Default for Boot {
    fn default() -> Self {
        Self {
            ceilings: Ceilings::default(),
            classes: Vec::new(),
            counted_by: "request".into(),
            me: 0,
            membership_mode: "automatic".into(),
            my_zone: 0,
            over_share_worth: 1.0,
            prices: Prices::default(),
            quantum_ns: 1_000_000,
            replicas_of_me: 1,
            rules: Rules::default(),
            tenants: Vec::new(),
            weights: "off".into(),
            zones: Vec::new(),
        }
    }
}

/// What the site permits, as written.
#[derive(Debug, Deserialize)]
#[serde(default)]
pub struct Ceilings {
    cancel: bool,
    /// Servers close a connection that has been idle for this long.
    pub conn_idle_ns: Nanos,
    /// A connection that is not up by then has failed.
    pub dial_timeout_ns: Nanos,
    max_attempts: u32,
    /// The longest advice that clients follow.
    pub max_retry_after_ns: Nanos,
    /// Requests that a node may hold open.
    pub most_held: usize,
    parallel_tries: bool,
    peers: bool,
    retry_after: bool,
}

impl Default for Ceilings {
    fn default() -> Self {
        Self {
            cancel: false,
            conn_idle_ns: 15_000_000_000,
            dial_timeout_ns: 250_000_000,
            max_attempts: 1,
            max_retry_after_ns: 1_000_000_000,
            most_held: 10_000,
            parallel_tries: false,
            peers: false,
            retry_after: false,
        }
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Prices {
    connection: f64,
    cross_zone: f64,
    handshake: f64,
    peer: f64,
}

#[derive(Debug, Deserialize)]
#[serde(default)]
struct Rules {
    ask_every_ns: Nanos,
    cold_from: f64,
    cold_ns: Nanos,
    fall_multiple: f64,
    fall_ns: Nanos,
    full_unproven: bool,
    hang_up_within_ns: Option<Nanos>,
    order_settle_ns: Nanos,
    stop_sending_within_ns: Nanos,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            ask_every_ns: 10_000_000_000,
            cold_from: 0.1,
            cold_ns: 30_000_000_000,
            fall_multiple: 2.0,
            fall_ns: 2_000_000_000,
            full_unproven: false,
            hang_up_within_ns: None,
            order_settle_ns: 0,
            stop_sending_within_ns: 2_000_000_000,
        }
    }
}

/// A class of requests, as written.
#[derive(Debug, Deserialize)]
pub struct BootClass {
    #[serde(default)]
    aim_stretch: f64,
    deadline_ns: Nanos,
    #[serde(default)]
    dedup_scope: Option<String>,
    effect: String,
    #[serde(default)]
    keep_order: bool,
    #[serde(default)]
    late_worth: f64,
    /// Its name.
    #[serde(default)]
    pub name: String,
    target_ns: Nanos,
    #[serde(default)]
    window_ns: Nanos,
    #[serde(default = "one")]
    worth: f64,
}

fn one() -> f64 {
    1.0
}

/// A tenant, as written.
#[derive(Debug, Deserialize)]
pub struct BootTenant {
    #[serde(default)]
    allowance_per_s: f64,
    /// Its name.
    #[serde(default)]
    pub name: String,
    #[serde(default)]
    share: f64,
}

impl Boot {
    /// What the module is told.
    ///
    /// # Errors
    /// A value without meaning, or values that contradict each other.
    pub fn settings(&self) -> Result<Settings, SettingsError> {
        let classes = self.classes.iter().map(BootClass::class).collect::<Result<_, _>>()?;
        let settings = Settings {
            node_index: self.me,
            node_count: self.replicas_of_me,
            zone: ZoneId(self.my_zone),
            zone_count: u16::try_from(self.zones.len()).map_err(|_| SettingsError::OutOfRange("zones"))?,
            classes,
            tenants: self
                .tenants
                .iter()
                .map(|t| Tenant { share: t.share, allowance_per_s: t.allowance_per_s })
                .collect(),
            over_share_weight: self.over_share_worth,
            weight_by_work: self.counted_by == "work",
            discovery: match self.membership_mode.as_str() {
                "automatic" => Discovery::Push,
                "subscribe" => Discovery::Poll,
                _ => return Err(SettingsError::OutOfRange("membership_mode")),
            },
            tick: self.quantum_ns,
            max_attempts: self.ceilings.max_attempts,
            concurrent_attempts: self.ceilings.parallel_tries,
            cancellation: self.ceilings.cancel,
            retry_after: self.ceilings.retry_after,
            max_retry_after: self.ceilings.max_retry_after_ns,
            connections_have_cost: self.prices.connection > 0.0 || self.prices.handshake > 0.0,
            cross_zone_cost: self.prices.cross_zone,
            weight_is_capacity: matches!(self.weights.as_str(), "nominal" | "rough"),
            load_reports: self.ceilings.peers,
            load_report_cost: self.prices.peer,
            poll_interval: self.rules.ask_every_ns,
            drain_grace: self.rules.stop_sending_within_ns,
            warmup_initial_fraction: self.rules.cold_from,
            warmup_duration: self.rules.cold_ns,
            overload_multiple: self.rules.fall_multiple,
            overload_duration: self.rules.fall_ns,
            rejection_may_execute: self.rules.full_unproven,
            key_cooldown: self.rules.order_settle_ns,
            drain_idle_close: self.rules.hang_up_within_ns.filter(|&within| within > 0),
        };
        settings.check().map(|()| settings)
    }
}

impl BootClass {
    fn class(&self) -> Result<Class, SettingsError> {
        let effect = match self.effect.as_str() {
            "pure" => Idempotency::Idempotent,
            "token" => Idempotency::IdempotencyKey { scope: self.group()?, window: self.window_ns },
            "side_effect" => Idempotency::NotIdempotent,
            _ => return Err(SettingsError::OutOfRange("effect")),
        };
        Ok(Class {
            latency_objective: self.target_ns,
            objective_per_work: self.aim_stretch,
            deadline: self.deadline_ns,
            priority_weight: self.worth,
            late_weight: self.late_worth,
            idempotency: effect,
            ordered_by_key: self.keep_order,
        })
    }

    fn group(&self) -> Result<DedupScope, SettingsError> {
        match self.dedup_scope.as_deref() {
            Some("all") => Ok(DedupScope::All),
            Some("zone") => Ok(DedupScope::Zone),
            // Without a word the narrowest group is the safe reading.
            Some("cell") | None => Ok(DedupScope::Cell),
            Some(_) => Err(SettingsError::OutOfRange("dedup_scope")),
        }
    }
}
