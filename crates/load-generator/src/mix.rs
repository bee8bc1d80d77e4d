//! Contents of requests: classes, keys, sites, body sizes, and how long clients wait.

use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::schedule::{Schedule, random_unit};
use crate::trace::Entry;
use crate::{Nanos, SECOND};

/// Maximum number of keys of a class.
const MAX_KEYS: usize = 10_000_000;

/// A class of requests. Times are in milliseconds, as in the file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name; the first segment of the path with the platform's protocol.
    pub name: String,
    /// Share of the requests, relative to the shares of the other classes.
    pub share: f64,
    /// Method.
    pub method: String,
    /// Path; `{key}` stands for the key.
    pub path: String,
    /// Target latency; a later response is late.
    pub aim_ms: u64,
    /// Longest time that a client waits for a response.
    pub deadline_ms: u64,
    /// Number of keys.
    #[serde(default = "default_keys")]
    pub keys: usize,
    /// Skew of the popularity of keys: the exponent of Zipf's law; with 0 all keys are equally popular.
    #[serde(default)]
    pub zipf: f64,
    /// Minimum and maximum length of the body, in bytes.
    #[serde(default)]
    pub body: (usize, usize),
    /// Whether requests have an idempotency key.
    #[serde(default)]
    pub keyed: bool,
}

fn default_keys() -> usize {
    1
}

/// What requests are generated from.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Mix {
    /// Classes, at least one.
    pub classes: Vec<Class>,
    /// Accounts, chosen with equal probability. If there are any, each request names one.
    #[serde(default)]
    pub accounts: Vec<String>,
    /// Values of `Host`, chosen with equal probability.
    #[serde(default)]
    pub sites: Vec<String>,
    /// Whether clients retry once, with a new request id, after a rejection or a failure.
    #[serde(default)]
    pub retry: bool,
    /// Minimum and maximum share of its deadline after which a client gives up.
    #[serde(default = "default_patience")]
    pub patience: (f64, f64),
}

fn default_patience() -> (f64, f64) {
    (0.7, 1.0)
}

/// Why a mix is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("mix: {0}")]
pub struct MixError(String);

impl Default for Mix {
    /// Reads and submits, as in the ranking service.
    fn default() -> Self {
        let class = |name: &str, share, method: &str, path: &str, aim_ms, deadline_ms, body| Class {
            name: name.into(),
            share,
            method: method.into(),
            path: path.into(),
            aim_ms,
            deadline_ms,
            keys: 1_000,
            zipf: 1.0,
            body,
            keyed: false,
        };
        Self {
            classes: vec![
                class("board-read", 0.56, "GET", "/boards/{key}", 1_200, 6_000, (0, 0)),
                class("run-submit", 0.44, "POST", "/runs/{key}", 600, 1_200, (100, 400)),
            ],
            accounts: Vec::new(),
            sites: Vec::new(),
            retry: false,
            patience: default_patience(),
        }
    }
}

impl Mix {
    /// Validates the mix.
    ///
    /// # Errors
    /// The first invalid value.
    pub fn check(&self) -> Result<(), MixError> {
        let invalid = |text: String| Err(MixError(text));
        if self.classes.is_empty() {
            return invalid("no classes are configured".into());
        }
        let (min, max) = self.patience;
        if !(0.0 < min && min <= max && max <= 1.0) {
            return invalid(
                "`patience` must be two shares above 0 and at most 1, the lower one first".into(),
            );
        }
        for class in &self.classes {
            let name = &class.name;
            if !(class.share.is_finite() && class.share > 0.0) {
                return invalid(format!("{name}: `share` must be above 0"));
            }
            if class.aim_ms == 0 || class.deadline_ms == 0 {
                return invalid(format!("{name}: `aim_ms` and `deadline_ms` must be above 0"));
            }
            if class.keys == 0 || class.keys > MAX_KEYS || !(0.0..=10.0).contains(&class.zipf) {
                return invalid(format!("{name}: `keys` must be 1 to {MAX_KEYS}, and `zipf` 0 to 10"));
            }
            if class.body.0 > class.body.1 || class.body.1 > 64 << 20 {
                return invalid(format!("{name}: `body` must be a minimum and a maximum of at most 64 MiB"));
            }
            if class.method.parse::<hyper::Method>().is_err() || !class.path.starts_with('/') {
                return invalid(format!("{name}: `method` is invalid, or `path` does not start with `/`"));
            }
        }
        Ok(())
    }
}

/// A request to be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedRequest {
    /// Number in the schedule.
    pub number: u64,
    /// Intended time.
    pub at: Nanos,
    /// Index of the class.
    pub class: usize,
    /// Request target.
    pub path: String,
    /// Method, if it comes from a trace; otherwise the class has it.
    pub method: Option<String>,
    /// Index of the account in the mix.
    pub account: Option<usize>,
    /// Index of the site in the mix.
    pub site: Option<usize>,
    /// Length of the body, in bytes.
    pub body: usize,
    /// How long the client waits, from the intended time.
    pub client_timeout: Nanos,
}

/// Source of the requests of a run.
#[derive(Clone)]
pub enum Plan {
    /// Requests that are generated.
    Generated {
        /// Intended times.
        schedule: Schedule,
        /// Contents.
        mix: Mix,
        /// Source of the random choices.
        rng: Pcg64Mcg,
        /// Cumulative probabilities of the keys, by class.
        popularity: Vec<Vec<f64>>,
        /// Number of requests so far.
        number: u64,
    },
    /// Requests of a trace.
    Recorded {
        /// Remaining entries in reverse order.
        entries: Vec<Entry>,
        /// Mix with the classes.
        mix: Mix,
        /// Number of requests so far.
        number: u64,
    },
}

impl Plan {
    /// Creates a plan that generates requests of a mix at the times of a schedule.
    #[must_use]
    pub fn generated(schedule: Schedule, mix: Mix, seed: u64) -> Self {
        let popularity = mix.classes.iter().map(|class| zipf_cumulative(class.keys, class.zipf)).collect();
        // Independent of the schedule's random numbers, so that another mix has the same arrival times.
        let rng = Pcg64Mcg::seed_from_u64(seed ^ 0x6d69_7865_645f_7365);
        Self::Generated { schedule, mix, rng, popularity, number: 0 }
    }

    /// Creates a plan that replays recorded requests. Each belongs to the first class whose method and path prefix
    /// match it, or to the first class of the mix if there is none.
    #[must_use]
    pub fn recorded(mut entries: Vec<Entry>, mix: Mix) -> Self {
        entries.reverse();
        Self::Recorded { entries, mix, number: 0 }
    }

    /// Returns the mix.
    #[must_use]
    pub fn mix(&self) -> &Mix {
        match self {
            Self::Generated { mix, .. } | Self::Recorded { mix, .. } => mix,
        }
    }
}

impl Iterator for Plan {
    type Item = PlannedRequest;

    fn next(&mut self) -> Option<PlannedRequest> {
        match self {
            Self::Generated { schedule, mix, rng, popularity, number } => {
                let at = schedule.next()?;
                let total_share: f64 = mix.classes.iter().map(|class| class.share).sum();
                let mut sampled = random_unit(rng) * total_share;
                let class = mix.classes.iter().position(|class| {
                    sampled -= class.share;
                    sampled < 0.0
                });
                let class = class.unwrap_or(mix.classes.len() - 1);
                let settings = &mix.classes[class];
                let key = sample_rank(&popularity[class], random_unit(rng));
                let mut one_of =
                    |count: usize| (count > 0).then(|| (random_unit(rng) * count as f64) as usize);
                let (account, site) = (one_of(mix.accounts.len()), one_of(mix.sites.len()));
                let body = settings.body.0
                    + (random_unit(rng) * (settings.body.1 - settings.body.0 + 1) as f64) as usize;
                let (min, max) = mix.patience;
                let share = min + (max - min) * random_unit(rng);
                *number += 1;
                Some(PlannedRequest {
                    number: *number - 1,
                    at,
                    class,
                    path: settings.path.replace("{key}", &key.to_string()),
                    method: None,
                    account,
                    site,
                    body,
                    client_timeout: (settings.deadline_ms as f64 * 1e6 * share) as Nanos,
                })
            }
            Self::Recorded { entries, mix, number } => {
                let entry = entries.pop()?;
                let path_prefix = |class: &Class| class.path.split('{').next().unwrap_or_default().to_owned();
                let matches = |class: &Class| {
                    class.method == entry.method && entry.path.starts_with(&path_prefix(class))
                };
                let class = mix.classes.iter().position(matches).unwrap_or(0);
                *number += 1;
                Some(PlannedRequest {
                    number: *number - 1,
                    at: entry.at,
                    class,
                    path: entry.path,
                    method: Some(entry.method),
                    account: None,
                    site: None,
                    body: entry.body,
                    client_timeout: mix.classes[class].deadline_ms * (SECOND / 1_000),
                })
            }
        }
    }
}

/// Returns the cumulative probabilities of keys by rank according to Zipf's law.
fn zipf_cumulative(keys: usize, exponent: f64) -> Vec<f64> {
    let mut sum = 0.0;
    let mut sums: Vec<f64> = (1..=keys)
        .map(|rank| {
            sum += (rank as f64).powf(-exponent);
            sum
        })
        .collect();
    sums.iter_mut().for_each(|part| *part /= sum);
    sums
}

fn sample_rank(cumulative: &[f64], sampled: f64) -> usize {
    cumulative.partition_point(|sum| *sum <= sampled).min(cumulative.len().saturating_sub(1))
}
