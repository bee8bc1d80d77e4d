//! What a node is told at its start, by `EDGE_CONFIG` and the other `EDGE_*` variables.

use std::env;
use std::fs;
use std::io;
use std::net::SocketAddr;

use pumicehead_policy::deployment_settings::Boot;
use pumicehead_policy::{Settings, SettingsError};
use serde::Deserialize;
use thiserror::Error;

use crate::net::discovery::EndpointList;

/// Descriptors that a node must have at the least to serve anything.
const LEAST_SOCKETS: usize = 128;

/// Why a node can't start.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// No configuration is named.
    #[error("EDGE_CONFIG is not set: it names the configuration file")]
    Unset,
    /// The file can't be read.
    #[error("configuration {path}: {source}")]
    Read {
        /// Its path.
        path: String,
        /// Why.
        source: io::Error,
    },
    /// The file is not the expected JSON.
    #[error("configuration {path}: {source}")]
    Json {
        /// Its path.
        path: String,
        /// What the parser says.
        source: serde_json::Error,
    },
    /// A value is missing or has no meaning.
    #[error("configuration: `{name}` is {fault}")]
    Value {
        /// Its name.
        name: &'static str,
        /// What is wrong.
        fault: String,
    },
    /// The settings contradict themselves.
    #[error("configuration: {0}")]
    Settings(#[from] SettingsError),
}

#[derive(Deserialize)]
struct File {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    admin: Option<String>,
    seed: Option<String>,
    #[serde(default)]
    limits: Limits,
    #[serde(default)]
    known: Option<EndpointList>,
    settings: Boot,
}

#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    sockets: usize,
    memory_mb: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { sockets: 1024, memory_mb: 64 }
    }
}

/// A node's configuration, checked.
pub struct Config {
    /// Its name, for the log.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// Where staff call, if anywhere.
    pub admin: Option<SocketAddr>,
    /// For random numbers.
    pub seed: u64,
    /// Descriptors that it may hold.
    pub sockets: usize,
    /// Bytes of memory that it may hold.
    pub memory: usize,
    /// The list of backends as it last had it.
    pub known: EndpointList,
    /// The settings as written: names and limits.
    pub boot: Boot,
    /// The settings as the module takes them.
    pub settings: Settings,
}

impl Config {
    /// Reads the environment and the file it names.
    ///
    /// # Errors
    /// The first thing that is missing or malformed.
    pub fn load() -> Result<Self, ConfigError> {
        let file = read()?;
        let mut settings = file.settings.settings()?;
        // Nodes have no way to each other here: with notes off the module does without.
        settings.load_reports = false;
        let seed = file.seed.ok_or_else(|| fault("seed", "missing"))?;
        let sockets = file.limits.sockets;
        if sockets < LEAST_SOCKETS {
            return Err(fault("limits.sockets", &format!("{sockets}, less than {LEAST_SOCKETS}")));
        }
        Ok(Self {
            name: env::var("EDGE_NAME").ok().or(file.name).unwrap_or_default(),
            listen: address("listen", "EDGE_LISTEN", file.listen)?,
            discovery: address("discovery", "EDGE_DISCOVERY", file.discovery)?,
            admin: match env::var("EDGE_ADMIN").ok().or(file.admin) {
                Some(text) => Some(parse("admin", &text)?),
                None => None,
            },
            seed: u64::from_str_radix(&seed, 16).map_err(|error| fault("seed", &error.to_string()))?,
            sockets,
            memory: file.limits.memory_mb.saturating_mul(1 << 20),
            known: file.known.unwrap_or_default(),
            boot: file.settings,
            settings,
        })
    }
}

/// Where discovery is by now, from the file alone: it has been written since the environment was set, and must
/// be sound as a whole.
///
/// # Errors
/// The first thing that is missing or malformed.
pub fn reload_discovery_address() -> Result<SocketAddr, ConfigError> {
    let file = read()?;
    file.settings.settings()?;
    parse("discovery", &file.discovery.ok_or_else(|| fault("discovery", "missing"))?)
}

fn read() -> Result<File, ConfigError> {
    let path = env::var("EDGE_CONFIG").map_err(|_| ConfigError::Unset)?;
    let text =
        fs::read_to_string(&path).map_err(|source| ConfigError::Read { path: path.clone(), source })?;
    serde_json::from_str(&text).map_err(|source| ConfigError::Json { path, source })
}

fn fault(name: &'static str, fault: &str) -> ConfigError {
    ConfigError::Value { name, fault: fault.into() }
}

fn address(name: &'static str, var: &str, file: Option<String>) -> Result<SocketAddr, ConfigError> {
    let text = env::var(var).ok().or(file).ok_or_else(|| fault(name, "missing"))?;
    parse(name, &text)
}

fn parse(name: &'static str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| fault(name, &format!("`{text}`, not an IP:port")))
}
