//! Configuration of the platform's node: the JSON file named by `EDGE_CONFIG`, and the other `EDGE_*` variables.

use std::env;
use std::fs;
use std::io;
use std::net::SocketAddr;

use pumicehead_policy::deployment_settings::DeploymentSettings;
use pumicehead_policy::{Settings, SettingsError};
use serde::Deserialize;
use thiserror::Error;

use crate::net::discovery::EndpointList;

/// Minimum number of file descriptors that a node needs.
const MIN_DESCRIPTORS: usize = 128;
const BYTES_PER_MIB: usize = 1 << 20;

/// Why the configuration can't be used.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// `EDGE_CONFIG` is not set.
    #[error("EDGE_CONFIG is not set: it names the configuration file")]
    Unset,
    /// The file can't be read.
    #[error("configuration {path}: {source}")]
    Read {
        /// Path of the file.
        path: String,
        /// The I/O error.
        source: io::Error,
    },
    /// The file is not valid JSON or does not have the expected structure.
    #[error("configuration {path}: {source}")]
    Json {
        /// Path of the file.
        path: String,
        /// The parser's error.
        source: serde_json::Error,
    },
    /// A value is missing or invalid.
    #[error("configuration: `{name}` is {problem}")]
    Value {
        /// Name of the setting.
        name: &'static str,
        /// What is wrong with the value.
        problem: String,
    },
    /// The settings of the decision module are invalid.
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
    /// Memory limit in MiB.
    #[serde(rename = "memory_mb")]
    memory_mib: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { descriptors: 1024, memory_mib: 64 }
    }
}

/// A validated configuration.
pub struct Config {
    /// Name of the node, used in the log and, hashed, in the names of state files and recordings.
    pub name: String,
    /// Listening address for clients.
    pub listen: SocketAddr,
    /// Address of the discovery service.
    pub discovery: SocketAddr,
    /// Listening address for admin commands, if any.
    pub admin: Option<SocketAddr>,
    /// Seed for random numbers.
    pub seed: u64,
    /// Maximum number of file descriptors.
    pub max_descriptors: usize,
    /// Maximum memory in bytes.
    pub max_memory: usize,
    /// The last endpoint list known to the platform.
    pub last_list: EndpointList,
    /// The settings as written in the file, with names and limits.
    pub deployment: DeploymentSettings,
    /// The settings derived from `deployment` for the decision module.
    pub settings: Settings,
}

impl Config {
    /// Loads the configuration from the environment and the file that it names.
    ///
    /// # Errors
    /// Returns an error for the first value that is missing or invalid.
    pub fn load() -> Result<Self, ConfigError> {
        let file = read_file()?;
        let mut settings = file.deployment.settings()?;
        // The platform's nodes can't reach each other.
        settings.load_reports = false;
        let seed = file.seed.ok_or_else(|| invalid("seed", "missing"))?;
        let max_descriptors = file.limits.descriptors;
        if max_descriptors < MIN_DESCRIPTORS {
            let problem = format!("{max_descriptors}, less than {MIN_DESCRIPTORS}");
            return Err(invalid("limits.sockets", &problem));
        }
        Ok(Self {
            name: env::var("EDGE_NAME").ok().or(file.name).unwrap_or_default(),
            listen: required_address("listen", "EDGE_LISTEN", file.listen)?,
            discovery: required_address("discovery", "EDGE_DISCOVERY", file.discovery)?,
            admin: match env::var("EDGE_ADMIN").ok().or(file.admin) {
                Some(text) => Some(parse_address("admin", &text)?),
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

/// Reads the address of discovery from the file again. The environment is ignored, as the file is newer. The whole file must
/// be readable and its settings valid.
///
/// # Errors
/// Returns an error for the first value that is missing or invalid.
pub fn reload_discovery_address() -> Result<SocketAddr, ConfigError> {
    let file = read_file()?;
    file.deployment.settings()?;
    parse_address("discovery", &file.discovery.ok_or_else(|| invalid("discovery", "missing"))?)
}

fn read_file() -> Result<ConfigFile, ConfigError> {
    let path = env::var("EDGE_CONFIG").map_err(|_| ConfigError::Unset)?;
    let text =
        fs::read_to_string(&path).map_err(|source| ConfigError::Read { path: path.clone(), source })?;
    serde_json::from_str(&text).map_err(|source| ConfigError::Json { path, source })
}

fn invalid(name: &'static str, problem: &str) -> ConfigError {
    ConfigError::Value { name, problem: problem.into() }
}

/// Parses an address from an environment variable or, if that is not set, from the value in the file.
fn required_address(
    name: &'static str,
    variable: &str,
    file_value: Option<String>,
) -> Result<SocketAddr, ConfigError> {
    let text = env::var(variable).ok().or(file_value).ok_or_else(|| invalid(name, "missing"))?;
    parse_address(name, &text)
}

fn parse_address(name: &'static str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| invalid(name, &format!("`{text}`, not an IP:port")))
}
