//! Configuration of the platform's node: the JSON file that `EDGE_CONFIG` names, and the other `EDGE_*` variables.

use std::env;
use std::fs;
use std::io;
use std::net::SocketAddr;

use pumicehead_policy::deployment_settings::DeploymentSettings;
use pumicehead_policy::{Settings, SettingsError};
use serde::Deserialize;
use thiserror::Error;

use crate::net::discovery::EndpointList;

/// Fewest descriptors with which a node can serve.
const MIN_DESCRIPTORS: usize = 128;
const BYTES_PER_MIB: usize = 1 << 20;

/// A configuration that can't be used.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// `EDGE_CONFIG` is not set.
    #[error("EDGE_CONFIG is not set: it names the configuration file")]
    Unset,
    /// The file can't be read.
    #[error("configuration {path}: {source}")]
    Read {
        /// Its path.
        path: String,
        /// The operating system's error.
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
    #[error("configuration: `{name}` is {problem}")]
    Value {
        /// Its name.
        name: &'static str,
        /// What is wrong with it.
        problem: String,
    },
    /// The settings contradict themselves.
    #[error("configuration: {0}")]
    Settings(#[from] SettingsError),
}

#[derive(Deserialize)]
struct ConfigFile {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    admin: Option<String>,
    seed: Option<String>,
    #[serde(default)]
    limits: Limits,
    #[serde(default, rename = "known")]
    last_list: Option<EndpointList>,
    #[serde(rename = "settings")]
    deployment: DeploymentSettings,
}

#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    #[serde(rename = "sockets")]
    descriptors: usize,
    /// In MiB.
    #[serde(rename = "memory_mb")]
    memory_mib: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { descriptors: 1024, memory_mib: 64 }
    }
}

/// A checked configuration.
pub struct Config {
    /// Its name, for the log.
    pub name: String,
    /// Address for clients.
    pub listen: SocketAddr,
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Address for admin commands, if there is one.
    pub admin: Option<SocketAddr>,
    /// Seed of random numbers.
    pub seed: u64,
    /// Most file descriptors.
    pub max_descriptors: usize,
    /// Most memory in bytes.
    pub max_memory: usize,
    /// The endpoint list that the platform last knew.
    pub last_list: EndpointList,
    /// The settings as written, with names and limits.
    pub deployment: DeploymentSettings,
    /// The settings of the decision module.
    pub settings: Settings,
}

impl Config {
    /// Reads the environment and the file it names.
    ///
    /// # Errors
    /// The first thing that is missing or malformed.
    pub fn load() -> Result<Self, ConfigError> {
        let file = read()?;
        let mut settings = file.deployment.settings()?;
        // Nodes of the platform can't reach each other.
        settings.load_reports = false;
        let seed = file.seed.ok_or_else(|| invalid("seed", "missing"))?;
        let max_descriptors = file.limits.descriptors;
        if max_descriptors < MIN_DESCRIPTORS {
            let problem = format!("{max_descriptors}, less than {MIN_DESCRIPTORS}");
            return Err(invalid("limits.sockets", &problem));
        }
        Ok(Self {
            name: env::var("EDGE_NAME").ok().or(file.name).unwrap_or_default(),
            listen: address("listen", "EDGE_LISTEN", file.listen)?,
            discovery: address("discovery", "EDGE_DISCOVERY", file.discovery)?,
            admin: match env::var("EDGE_ADMIN").ok().or(file.admin) {
                Some(text) => Some(parse("admin", &text)?),
                None => None,
            },
            seed: u64::from_str_radix(&seed, 16).map_err(|error| invalid("seed", &error.to_string()))?,
            max_descriptors,
            max_memory: file.limits.memory_mib.saturating_mul(BYTES_PER_MIB),
            last_list: file.last_list.unwrap_or_default(),
            deployment: file.deployment,
            settings,
        })
    }
}

/// Reads discovery's address from the file again. The environment is not consulted, since the file is newer; the file must
/// be valid as a whole.
///
/// # Errors
/// The first thing that is missing or malformed.
pub fn reload_discovery_address() -> Result<SocketAddr, ConfigError> {
    let file = read()?;
    file.deployment.settings()?;
    parse("discovery", &file.discovery.ok_or_else(|| invalid("discovery", "missing"))?)
}

fn read() -> Result<ConfigFile, ConfigError> {
    let path = env::var("EDGE_CONFIG").map_err(|_| ConfigError::Unset)?;
    let text =
        fs::read_to_string(&path).map_err(|source| ConfigError::Read { path: path.clone(), source })?;
    serde_json::from_str(&text).map_err(|source| ConfigError::Json { path, source })
}

fn invalid(name: &'static str, problem: &str) -> ConfigError {
    ConfigError::Value { name, problem: problem.into() }
}

fn address(name: &'static str, var: &str, file: Option<String>) -> Result<SocketAddr, ConfigError> {
    let text = env::var(var).ok().or(file).ok_or_else(|| invalid(name, "missing"))?;
    parse(name, &text)
}

fn parse(name: &'static str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| invalid(name, &format!("`{text}`, not an IP:port")))
}
